// Logging: `info() << ...` in front, spdlog behind. Lines go to standard error as text or as JSON, with fields
// beside the sentence, and never hold the program up: what the reader is too slow to take is dropped and counted, and
// so is what one thread writes in the moment in which another does.
#pragma once
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace elmcleat {

enum class LogLevel { debug, info, warn, error };
enum class LogFormat {
  text,
  json
};  // text: the sentence alone; JSON: an object a line, the fields as its keys

using LogFields = std::vector<std::pair<const char*, std::string>>;

class Log {
 public:
  static void setLevel(LogLevel least);
  static void setFormat(LogFormat form);
  static bool isEnabled(LogLevel level);
  static void write(LogLevel level, const std::string& text, const LogFields& fields = {});
};

// One line, written when the statement ends: LogLine(LogLevel::info).with("engine", id) << "engine " << id;
class LogLine {
 public:
  explicit LogLine(LogLevel level) : level_(level), shown_(Log::isEnabled(level)) {}
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;
  ~LogLine() {
    if (shown_)
      Log::write(level_, text_.str(), fields_);
  }
  template <typename T>
  LogLine& operator<<(const T& part) {
    if (shown_)
      text_ << part;
    return *this;
  }
  LogLine& with(const char* field, const std::string& value) {
    if (shown_)
      fields_.emplace_back(field, value);
    return *this;
  }

 private:
  LogLevel level_;
  bool shown_;
  std::ostringstream text_;
  LogFields fields_;
};

inline LogLine debug() { return LogLine(LogLevel::debug); }
inline LogLine info() { return LogLine(LogLevel::info); }
inline LogLine warn() { return LogLine(LogLevel::warn); }
inline LogLine error() { return LogLine(LogLevel::error); }

}  // namespace elmcleat
