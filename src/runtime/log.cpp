#include "runtime/log.h"

#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace elmcleat {
namespace {

// Standard error is shared with the process that started the program, so it is not made non-blocking. When
// poll() reports it as writable, PIPE_BUF bytes can be written without blocking; no line is longer than that.
constexpr size_t kMaxLineBytes = 1024;

// Only one thread may write at a time: otherwise another could take the room that poll() reported, and
// write() would block. A second thread spins for some microseconds and then drops its line, so that no thread
// waits for one that may have been preempted.
constexpr int kMaxLockAttempts = 2000;

// Writes to standard error without blocking. Returns whether the bytes were written.
bool writeToStderr(const char* bytes, size_t count) {
  static std::atomic_flag writing = ATOMIC_FLAG_INIT;
  for (int attempts = 0; writing.test_and_set(std::memory_order_acquire); ++attempts)
    if (attempts == kMaxLockAttempts)
      return false;
  pollfd standardError{STDERR_FILENO, POLLOUT, 0};
  bool writable = ::poll(&standardError, 1, 0) == 1 && (standardError.revents & POLLOUT);
  bool written = writable && ::write(STDERR_FILENO, bytes, count) >= 0;
  writing.clear(std::memory_order_release);
  return written;
}

// Shared by all threads; each thread has its own logger.
std::atomic<LogLevel> minLevel{LogLevel::info};
std::atomic<LogFormat> sharedFormat{LogFormat::text};

// A sink that drops lines instead of blocking, and reports their number before the next line that it can
// write.
class LossySink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 protected:
  void sink_it_(const spdlog::details::log_msg& line) override {
    if (dropped_ > 0) {
      spdlog::details::log_msg notice = line;
      std::string message = std::to_string(dropped_) + " log lines dropped";
      if (json)
        message = nlohmann::json{{"message", message}, {"dropped", dropped_}}.dump().substr(1);
      notice.payload = message;
      if (write(notice))
        dropped_ = 0;
    }
    if (!write(line))
      ++dropped_;
  }
  void flush_() override {}

 private:
  bool write(const spdlog::details::log_msg& line) {
    spdlog::memory_buf_t bytes;
    formatter_->format(line, bytes);
    if (bytes.size() > kMaxLineBytes) {
      bytes.resize(kMaxLineBytes);
      bytes.push_back('\n');
    }
    return writeToStderr(bytes.data(), bytes.size());
  }
  unsigned long dropped_ = 0;

 public:
  bool json = false;
};

// Writes the level's name as documented for operators, which is not always spdlog's.
class LevelNameFormatter final : public spdlog::custom_flag_formatter {
 public:
  void format(const spdlog::details::log_msg& line, const std::tm&, spdlog::memory_buf_t& output) override {
    std::string_view name = line.level == spdlog::level::debug  ? "debug"
                            : line.level == spdlog::level::info ? "info"
                            : line.level == spdlog::level::warn ? "warn"
                                                                : "error";
    output.append(name.data(), name.data() + name.size());
  }
  std::unique_ptr<custom_flag_formatter> clone() const override {
    return std::make_unique<LevelNameFormatter>();
  }
};

spdlog::level::level_enum toSpdlogLevel(LogLevel level) {
  static constexpr spdlog::level::level_enum kLevels[] = {spdlog::level::debug, spdlog::level::info,
                                                          spdlog::level::warn, spdlog::level::err};
  return kLevels[static_cast<int>(level)];
}

// The logger of one thread. It needs no lock, except in writeToStderr().
struct ThreadLogger {
  ThreadLogger() : sink(std::make_shared<LossySink>()), logger("elmcleat", sink) {
    logger.set_level(spdlog::level::trace);  // Log::isEnabled() has filtered by level before
    sink->json = sharedFormat == LogFormat::json;
    setPattern();
  }
  // In the JSON format the pattern writes the start of the object, and the payload (%v) all that follows.
  void setPattern() {
    auto formatter = std::make_unique<spdlog::pattern_formatter>(spdlog::pattern_time_type::utc, "\n");
    formatter->add_flag<LevelNameFormatter>('*');
    formatter->set_pattern(sink->json ? R"({"time":%E.%e,"level":"%*",%v)" : "%E.%e %* %v");
    logger.set_formatter(std::move(formatter));
  }
  std::shared_ptr<LossySink> sink;
  spdlog::logger logger;
};

ThreadLogger& threadLogger() {
  static thread_local ThreadLogger logger;
  return logger;
}

}  // namespace

void Log::setLevel(LogLevel level) { minLevel.store(level, std::memory_order_relaxed); }
bool Log::isEnabled(LogLevel level) { return level >= minLevel.load(std::memory_order_relaxed); }
void Log::setFormat(LogFormat format) {
  sharedFormat = format;
  threadLogger().sink->json = format == LogFormat::json;
  threadLogger().setPattern();
}

void Log::write(LogLevel level, const std::string& text, const LogFields& fields) {
  if (!threadLogger().sink->json)
    return threadLogger().logger.log(toSpdlogLevel(level), std::string_view(text));
  nlohmann::json line;
  for (auto& [field, value] : fields)
    line[field] = value;
  line["message"] = text.size() < kMaxLineBytes / 2 ? text : text.substr(0, kMaxLineBytes / 2);
  // Bytes received from outside may be invalid UTF-8.
  auto replace = nlohmann::json::error_handler_t::replace;
  threadLogger().logger.log(toSpdlogLevel(level),
                            std::string_view(line.dump(-1, ' ', false, replace).substr(1)));
}

}  // namespace elmcleat
