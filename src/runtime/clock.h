// Time as the program sees it: seconds since its start.
#pragma once
#include <chrono>
#include <cstdint>

namespace elmcleat {

class Clock {
 public:
  double now() const { return seconds(std::chrono::steady_clock::now() - start_); }
  // A Unix time in milliseconds, on this clock; times before the start are negative.
  double fromUnix(int64_t ms) const { return static_cast<double>(ms) / 1e3 - startUnix_; }
  double toUnix(double at) const { return at + startUnix_; }  // and back, in seconds

 private:
  template <typename Span>
  static double seconds(Span span) {
    return std::chrono::duration<double>(span).count();
  }
  std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
  double startUnix_ = seconds(std::chrono::system_clock::now().time_since_epoch());
};

}  // namespace elmcleat
