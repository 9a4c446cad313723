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

// Standard error is shared with whoever started the program, so it is not made non-blocking. poll() promises
// room for PIPE_BUF bytes; a line never is longer.
constexpr size_t kLongest = 1024;

// One thread at a time, or the room that poll() promised to one were taken by the other and write() would wait. Who
// comes second tries for some microseconds and then loses its line: nobody waits for a thread that may stand still.
constexpr int kTries = 2000;

bool put(const char* bytes, size_t count) {
  static std::atomic_flag writing = ATOMIC_FLAG_INIT;
  for (int tries = 0; writing.test_and_set(std::memory_order_acquire); ++tries)
    if (tries == kTries)
      return false;
  pollfd ready{STDERR_FILENO, POLLOUT, 0};
  bool room = ::poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT);
  bool written = room && ::write(STDERR_FILENO, bytes, count) >= 0;
  writing.clear(std::memory_order_release);
  return written;
}

// What all threads heed; each has a writer of its own.
std::atomic<LogLevel> least{LogLevel::info};
std::atomic<LogFormat> shape{LogFormat::text};

class LossySink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 protected:
  void sink_it_(const spdlog::details::log_msg& line) override {
    if (dropped_ > 0) {
      spdlog::details::log_msg told = line;
      std::string words = std::to_string(dropped_) + " log lines dropped";
      if (json)
        words = nlohmann::json{{"message", words}, {"dropped", dropped_}}.dump().substr(1);
      told.payload = words;
      if (write(told))
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
    if (bytes.size() > kLongest)
      bytes.resize(kLongest), bytes.push_back('\n');
    return put(bytes.data(), bytes.size());
  }
  unsigned long dropped_ = 0;

 public:
  bool json = false;
};

class LevelName final : public spdlog::custom_flag_formatter {  // ours, as the on-call page has them
 public:
  void format(const spdlog::details::log_msg& line, const std::tm&, spdlog::memory_buf_t& to) override {
    std::string_view name = line.level == spdlog::level::debug  ? "debug"
                            : line.level == spdlog::level::info ? "info"
                            : line.level == spdlog::level::warn ? "warn"
                                                                : "error";
    to.append(name.data(), name.data() + name.size());
  }
  std::unique_ptr<custom_flag_formatter> clone() const override { return std::make_unique<LevelName>(); }
};

spdlog::level::level_enum of(LogLevel level) {
  static constexpr spdlog::level::level_enum levels[] = {spdlog::level::debug, spdlog::level::info,
                                                         spdlog::level::warn, spdlog::level::err};
  return levels[static_cast<int>(level)];
}

struct Writer {
  Writer() : sink(std::make_shared<LossySink>()), logger("elmcleat", sink) {
    logger.set_level(spdlog::level::trace);  // `least` has been asked
    sink->json = shape == LogFormat::json;
    pattern();
  }
  void pattern() {
    auto formatter = std::make_unique<spdlog::pattern_formatter>(spdlog::pattern_time_type::utc, "\n");
    formatter->add_flag<LevelName>('*');
    formatter->set_pattern(sink->json ? R"({"time":%E.%e,"level":"%*",%v)" : "%E.%e %* %v");
    logger.set_formatter(std::move(formatter));
  }
  std::shared_ptr<LossySink> sink;
  spdlog::logger logger;
};

Writer& writer() {
  static thread_local Writer one;
  return one;
}

}  // namespace

void Log::setLevel(LogLevel level) { least.store(level, std::memory_order_relaxed); }
bool Log::isEnabled(LogLevel level) { return level >= least.load(std::memory_order_relaxed); }
void Log::setFormat(LogFormat form) {
  shape = form, writer().sink->json = form == LogFormat::json, writer().pattern();
}

void Log::write(LogLevel level, const std::string& text, const LogFields& fields) {
  if (!writer().sink->json)
    return writer().logger.log(of(level), std::string_view(text));
  nlohmann::json line;
  for (auto& [field, value] : fields)
    line[field] = value;
  line["message"] = text.size() < kLongest / 2 ? text : text.substr(0, kLongest / 2);
  auto replace = nlohmann::json::error_handler_t::replace;  // bytes of strangers may be no UTF-8
  writer().logger.log(of(level), std::string_view(line.dump(-1, ' ', false, replace).substr(1)));
}

}  // namespace elmcleat
