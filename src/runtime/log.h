// Logging: iostreams with a level filter. Lines go to standard error and never hold the program up: what the
// reader of the log is too slow to take is dropped and counted.
#pragma once
#include <sstream>
#include <string>

namespace elmcleat {

enum class Level { debug, info, warn, error };

class Log {
 public:
  static void filter(Level least);
  static bool shows(Level level);
  static void write(Level level, const std::string& text);
};

// One line, written when the statement ends: LogLine(Level::info) << "engine " << id;
class LogLine {
 public:
  explicit LogLine(Level level) : level_(level), shown_(Log::shows(level)) {}
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;
  ~LogLine() {
    if (shown_) Log::write(level_, text_.str());
  }
  template <typename T>
  LogLine& operator<<(const T& part) {
    if (shown_) text_ << part;
    return *this;
  }

 private:
  Level level_;
  bool shown_;
  std::ostringstream text_;
};

inline LogLine debug() { return LogLine(Level::debug); }
inline LogLine info() { return LogLine(Level::info); }
inline LogLine warn() { return LogLine(Level::warn); }
inline LogLine error() { return LogLine(Level::error); }

}  // namespace elmcleat
