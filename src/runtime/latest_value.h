// Passes the latest value from one thread to another, by triple buffering: the writer owns one slot, the
// reader owns one, and the third is exchanged between them atomically. Values are immutable. Neither side
// ever waits for the other, and the reader neither allocates nor frees memory.
#pragma once
#include <array>
#include <atomic>
#include <memory>

namespace elmcleat {

template <typename T>
class LatestValue {
 public:
  // For the writer's thread only. Frees the value that the slot held before, which was published at least two
  // values ago.
  void publish(std::unique_ptr<const T> value) {
    slots_[writerSlot_] = std::move(value);
    writerSlot_ = exchanged_.exchange(writerSlot_ | kUnread, std::memory_order_acq_rel) & kSlotMask;
  }
  // For the reader's thread only: the last value published, or null. Valid until the next read().
  const T* read() {
    if (exchanged_.load(std::memory_order_relaxed) & kUnread)
      readerSlot_ = exchanged_.exchange(readerSlot_, std::memory_order_acq_rel) & kSlotMask;
    return slots_[readerSlot_].get();
  }

 private:
  static constexpr unsigned kUnread = 4;    // the exchanged slot holds a value that has not been read
  static constexpr unsigned kSlotMask = 3;  // the bits that hold the slot's index
  std::array<std::unique_ptr<const T>, 3> slots_;
  std::atomic<unsigned> exchanged_{1};
  unsigned writerSlot_ = 0;
  unsigned readerSlot_ = 2;
};

}  // namespace elmcleat
