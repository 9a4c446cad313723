// The latest of what one thread makes for another: an immutable value, handed over by one atomic exchange. Neither
// side ever waits for the other, allocates or frees on the reader's part: three places, of which the writer has one,
// the reader one, and one lies between them.
#pragma once
#include <array>
#include <atomic>
#include <memory>

namespace elmcleat {

template <typename T>
class LatestValue {
 public:
  // The writer's thread alone. What lay in its place, two values ago or more, is freed here.
  void publish(std::unique_ptr<const T> value) {
    places_[back_] = std::move(value);
    back_ = between_.exchange(back_ | kNews, std::memory_order_acq_rel) & kPlace;
  }
  // The reader's thread alone: the last value put, or null. It stays until the next read().
  const T* read() {
    if (between_.load(std::memory_order_relaxed) & kNews)
      front_ = between_.exchange(front_, std::memory_order_acq_rel) & kPlace;
    return places_[front_].get();
  }

 private:
  static constexpr unsigned kNews = 4, kPlace = 3;
  std::array<std::unique_ptr<const T>, 3> places_;
  std::atomic<unsigned> between_{1};
  unsigned back_ = 0, front_ = 2;
};

}  // namespace elmcleat
