// Sums over a sliding span of time, in fixed buckets that are used again in a ring.
#pragma once
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>

namespace elmcleat {

// Holds the last `span` seconds. upperBound() covers at least the span (one bucket more), so it never reports too
// little; lowerBound() leaves out the oldest, partly covered bucket, so it never reports too much.
class SlidingWindowSum {
 public:
  explicit SlidingWindowSum(double span = 1) : width_(span / (kBuckets - 2)) {}

  void add(double now, double value) {
    advanceTo(now);
    buckets_[static_cast<size_t>(head_) % kBuckets] += value;
  }
  double upperBound(double now) {
    advanceTo(now);
    double all = 0;
    for (double value : buckets_)
      all += value;
    return all;
  }
  double lowerBound(double now) {
    double all = upperBound(now);
    for (int64_t back = 1; back <= 2; ++back)
      all -= buckets_[static_cast<size_t>(head_ + back) % kBuckets];
    return all;
  }

 private:
  static constexpr int64_t kBuckets = 18;
  void advanceTo(double now) {
    auto slot = static_cast<int64_t>(std::floor(now / width_)) + kBuckets;
    if (slot - head_ >= kBuckets)
      buckets_.fill(0);
    else
      for (int64_t next = head_ + 1; next <= slot; ++next)
        buckets_[static_cast<size_t>(next) % kBuckets] = 0;
    if (slot > head_)
      head_ = slot;
  }
  double width_;
  int64_t head_ = 0;
  std::array<double, kBuckets> buckets_{};
};

}  // namespace elmcleat
