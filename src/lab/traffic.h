// Network traffic in virtual time, of one member or of all: total bytes, and the peak rate over any 5
// consecutive whole seconds.
#pragma once
#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <numeric>

namespace elmcleat::lab {

class Traffic {
 public:
  static constexpr size_t kWindowSeconds = 5;

  explicit Traffic(double startTime = 0) : startTime_(startTime) {}
  void add(double now, size_t bytes) {
    auto second = uint64_t(std::max(now - startTime_, 0.0));
    for (uint64_t i = currentSecond_ + 1; i <= std::min(second, currentSecond_ + kWindowSeconds); ++i)
      recentBytes_[i % kWindowSeconds] = 0;
    currentSecond_ = std::max(second, currentSecond_);
    recentBytes_[currentSecond_ % kWindowSeconds] += bytes;
    totalBytes_ += bytes;
    peakWindowBytes_ =
        std::max(peakWindowBytes_, std::accumulate(recentBytes_.begin(), recentBytes_.end(), uint64_t{0}));
  }
  uint64_t bytes() const { return totalBytes_; }
  // Peak rate in bytes a second.
  double worst() const { return double(peakWindowBytes_) / double(kWindowSeconds); }

 private:
  double startTime_;
  std::array<uint64_t, kWindowSeconds> recentBytes_{};  // by second, modulo the window
  uint64_t currentSecond_ = 0;
  uint64_t totalBytes_ = 0;
  uint64_t peakWindowBytes_ = 0;
};

}  // namespace elmcleat::lab
