// Event queue of the discrete-event simulations: a binary heap ordered by time; events of the same time run
// in the order in which they were scheduled, so that runs are repeatable.
#pragma once
#include <algorithm>
#include <cstdint>
#include <functional>
#include <tuple>
#include <utility>
#include <vector>

namespace elmcleat::lab {

class EventQueue {
 public:
  // Schedules `action` for `time`, in seconds of virtual time.
  void schedule(double time, std::function<void()> action) {
    heap_.push_back({time, ++scheduledCount_, std::move(action)});
    std::push_heap(heap_.begin(), heap_.end(), isLater);
  }
  // Sets `now` to the time of the next event and runs it; false if there is none. `now` never goes back.
  bool runNext(double& now) {
    if (heap_.empty())
      return false;
    std::pop_heap(heap_.begin(), heap_.end(), isLater);
    Event event = std::move(heap_.back());
    heap_.pop_back();
    now = std::max(now, event.time);
    event.action();
    return true;
  }

 private:
  struct Event {
    double time;
    uint64_t sequence;
    std::function<void()> action;
  };
  static bool isLater(const Event& a, const Event& b) {
    return std::tie(a.time, a.sequence) > std::tie(b.time, b.sequence);
  }
  std::vector<Event> heap_;
  uint64_t scheduledCount_ = 0;
};

}  // namespace elmcleat::lab
