#include "runtime/log.h"

#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>

namespace elmcleat {
namespace {

Level least = Level::info;
unsigned long dropped = 0;

// Standard error is shared with whoever started the program, so it is not made non-blocking. poll() promises
// room for PIPE_BUF bytes; a line never is longer.
constexpr size_t kLongest = 1024;

bool put(std::string line) {
  if (line.size() > kLongest) line.resize(kLongest);
  line += '\n';
  pollfd ready{STDERR_FILENO, POLLOUT, 0};
  if (::poll(&ready, 1, 0) != 1 || !(ready.revents & POLLOUT)) return false;
  return ::write(STDERR_FILENO, line.data(), line.size()) >= 0;
}

}  // namespace

void Log::filter(Level level) { least = level; }
bool Log::shows(Level level) { return level >= least; }

void Log::write(Level level, const std::string& text) {
  static constexpr const char* names[] = {"debug", "info", "warn", "error"};
  double time = std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
  char head[48];
  std::snprintf(head, sizeof head, "%.3f %s ", time, names[static_cast<int>(level)]);
  if (dropped > 0 && put(std::string(head) + std::to_string(dropped) + " log lines dropped")) dropped = 0;
  if (!put(head + text)) ++dropped;
}

}  // namespace elmcleat
