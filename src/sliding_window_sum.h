// Sum over a sliding time window, kept in a ring of buckets of equal width.
#pragma once
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>

namespace elmcleat {

// Sum of the values added within the last `window` seconds. Buckets leave the ring whole, so the exact sum is
// bracketed: upperBound() covers between one and two buckets more than the window, lowerBound() leaves the
// two oldest buckets out. The time that is passed in must not go back.
class SlidingWindowSum {
 public:
  explicit SlidingWindowSum(double window = 1) : bucketWidth_(window / (kBuckets - 2)) {}

  void add(double now, double value) {
    advanceTo(now);
    buckets_[static_cast<size_t>(head_) % kBuckets] += value;
  }
  // Never less than the sum over the window.
  double upperBound(double now) {
    advanceTo(now);
    double sum = 0;
    for (double value : buckets_)
      sum += value;
    return sum;
  }
  // Never more than the sum over the window.
  double lowerBound(double now) {
    double sum = upperBound(now);
    for (int64_t back = 1; back <= 2; ++back)
      sum -= buckets_[static_cast<size_t>(head_ + back) % kBuckets];
    return sum;
  }

 private:
  static constexpr int64_t kBuckets = 18;
  void advanceTo(double now) {
    auto bucket = static_cast<int64_t>(std::floor(now / bucketWidth_)) + kBuckets;
    if (bucket - head_ >= kBuckets)
      buckets_.fill(0);
    else
      for (int64_t next = head_ + 1; next <= bucket; ++next)
        buckets_[static_cast<size_t>(next) % kBuckets] = 0;
    if (bucket > head_)
      head_ = bucket;
  }
  double bucketWidth_;  // seconds
  int64_t head_ = 0;    // number of the newest bucket, counted from the clock's origin
  std::array<double, kBuckets> buckets_{};
};

}  // namespace elmcleat
