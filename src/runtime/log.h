// Logging: `info() << ...` in front, spdlog behind. Lines go to standard error as text or as JSON, with fields
// beside the sentence, and never hold the program up: what the reader is too slow to take is dropped and counted, and
// so is what one thread writes in the moment in which another does.
#pragma once
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace elmcleat {

enum class Level { debug, info, warn, error };
enum class LogForm {
  text,
  json
};  // text: the sentence alone; JSON: an object a line, the fields as its keys

using LogFields = std::vector<std::pair<const char*, std::string>>;

class Log {
 public:
  static void filter(Level least);
  static void form(LogForm form);
  static bool shows(Level level);
  static void write(Level level, const std::string& text, const LogFields& fields = {});
};

// One line, written when the statement ends: LogLine(Level::info).with("engine", id) << "engine " << id;
class LogLine {
 public:
  explicit LogLine(Level level) : level_(level), shown_(Log::shows(level)) {}
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
  Level level_;
  bool shown_;
  std::ostringstream text_;
  LogFields fields_;
};

inline LogLine debug() { return LogLine(Level::debug); }
inline LogLine info() { return LogLine(Level::info); }
inline LogLine warn() { return LogLine(Level::warn); }
inline LogLine error() { return LogLine(Level::error); }

}  // namespace elmcleat
