// Logging to standard error: `info() << ...`, implemented with spdlog. A line is written as text or as a JSON
// object with fields beside the message. Logging never blocks the program: lines are dropped and counted
// while the reader of standard error is too slow, or while another thread is writing.
#pragma once
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace elmcleat {

enum class LogLevel { debug, info, warn, error };
// text: the message alone; json: one object a line, with the fields as its keys.
enum class LogFormat { text, json };

using LogFields = std::vector<std::pair<const char*, std::string>>;

// The log of the process; safe to use from all threads.
class Log {
 public:
  static void setLevel(LogLevel minLevel);
  static void setFormat(LogFormat format);  // for threads that have not logged yet, and the calling one
  static bool isEnabled(LogLevel level);
  static void write(LogLevel level, const std::string& text, const LogFields& fields = {});
};

// One line, written by the destructor: LogLine(LogLevel::info).with("engine", id) << "engine " << id;
class LogLine {
 public:
  explicit LogLine(LogLevel level) : level_(level), enabled_(Log::isEnabled(level)) {}
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;
  ~LogLine() {
    if (enabled_)
      Log::write(level_, text_.str(), fields_);
  }
  // Appends to the message.
  template <typename T>
  LogLine& operator<<(const T& part) {
    if (enabled_)
      text_ << part;
    return *this;
  }
  // Adds a field, which only the JSON format writes.
  LogLine& with(const char* field, const std::string& value) {
    if (enabled_)
      fields_.emplace_back(field, value);
    return *this;
  }

 private:
  LogLevel level_;
  bool enabled_;
  std::ostringstream text_;
  LogFields fields_;
};

inline LogLine debug() { return LogLine(LogLevel::debug); }
inline LogLine info() { return LogLine(LogLevel::info); }
inline LogLine warn() { return LogLine(LogLevel::warn); }
inline LogLine error() { return LogLine(LogLevel::error); }

}  // namespace elmcleat
