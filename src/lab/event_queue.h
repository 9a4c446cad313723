// What is to happen in virtual time, the earliest first; at one time in the order in which it was planned.
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
  void schedule(double time, std::function<void()> act) {
    heap_.push_back({time, ++count_, std::move(act)});
    std::push_heap(heap_.begin(), heap_.end(), later);
  }
  bool runNext(double& now) {
    if (heap_.empty())
      return false;
    std::pop_heap(heap_.begin(), heap_.end(), later);
    One one = std::move(heap_.back());
    heap_.pop_back();
    now = std::max(now, one.at);
    one.act();
    return true;
  }

 private:
  struct One {
    double at;
    uint64_t number;
    std::function<void()> act;
  };
  static bool later(const One& a, const One& b) {
    return std::tie(a.at, a.number) > std::tie(b.at, b.number);
  }
  std::vector<One> heap_;
  uint64_t count_ = 0;
};

}  // namespace elmcleat::lab
