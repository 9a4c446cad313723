// Bytes by the second, of one member or of all, in virtual time: the sum, and the worst 5 s that begin with a
// second.
#pragma once
#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <numeric>

namespace elmcleat::lab {

class Traffic {
 public:
  static constexpr size_t kSeconds = 5;

  explicit Traffic(double began = 0) : began_(began) {}
  void add(double now, size_t bytes) {
    auto second = uint64_t(std::max(now - began_, 0.0));
    for (uint64_t i = second_ + 1; i <= std::min(second, second_ + kSeconds); ++i)
      lately_[i % kSeconds] = 0;
    second_ = std::max(second, second_);
    lately_[second_ % kSeconds] += bytes, bytes_ += bytes;
    worst_ = std::max(worst_, std::accumulate(lately_.begin(), lately_.end(), uint64_t{0}));
  }
  uint64_t bytes() const { return bytes_; }
  double worst() const { return double(worst_) / double(kSeconds); }  // bytes a second

 private:
  double began_;
  std::array<uint64_t, kSeconds> lately_{};
  uint64_t second_ = 0, bytes_ = 0, worst_ = 0;
};

}  // namespace elmcleat::lab
