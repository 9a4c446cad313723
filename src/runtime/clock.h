// The process's clock: monotonic seconds since its creation, with conversion to and from Unix time. On Linux
// it advances while the process is stopped (SIGSTOP), but not while the machine is suspended.
#pragma once
#include <chrono>
#include <cstdint>

namespace elmcleat {

class Clock {
 public:
  double now() const { return seconds(std::chrono::steady_clock::now() - start_); }
  // Converts a Unix time in milliseconds to this clock; times before its start are negative.
  double fromUnix(int64_t ms) const { return static_cast<double>(ms) / 1e3 - startUnix_; }
  // Converts a time of this clock to Unix time in seconds.
  double toUnix(double time) const { return time + startUnix_; }

 private:
  template <typename Duration>
  static double seconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
  }
  std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
  double startUnix_ = seconds(std::chrono::system_clock::now().time_since_epoch());
};

}  // namespace elmcleat
