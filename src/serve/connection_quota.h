// The connections to engines, all together: a third of the descriptors, as many as clients may hold. Each holds a
// place. Where none is left, the connection that has been idle for longest, at whatever engine, makes room; where none
// is idle, who wants one waits for the next that ends or falls idle.
//
// Guards against lists with more engines than descriptors: one idle connection an engine would take them all. Hurts by
// handshakes where sends go round more engines than there are places.
#pragma once
#include <algorithm>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <utility>

#include "runtime/scheduler.h"

namespace elmcleat {

class ConnectionQuota {
 public:
  explicit ConnectionQuota(size_t most) : most_(most) {}
  ConnectionQuota(const ConnectionQuota&) = delete;
  ConnectionQuota& operator=(const ConnectionQuota&) = delete;

  class Slot {  // of one connection, for as long as this object lives
   public:
    // `close` is called when it has to make room while idle.
    Slot(ConnectionQuota& room, std::function<void()> close) : room_(room), close_(std::move(close)) {
      ++room_.held_;
    }
    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;
    ~Slot() { release(); }
    void markIdle() {
      if (held_ && !idle_)
        idle_ = true, at_ = room_.idle_.insert(room_.idle_.end(), this);
      room_.notifyWaiter();
    }
    void markBusy() {
      if (std::exchange(idle_, false))
        room_.idle_.erase(at_);
    }

   private:
    friend class ConnectionQuota;
    void release() {
      markBusy();
      if (!std::exchange(held_, false))
        return;
      --room_.held_;
      room_.notifyWaiter();
    }
    ConnectionQuota& room_;
    std::function<void()> close_;
    std::list<Slot*>::iterator at_;
    bool held_ = true, idle_ = false;
  };

  bool hasFreeSlot() const { return held_ < most_ || !idle_.empty(); }
  std::unique_ptr<Slot> acquire(std::function<void()> close) {
    while (held_ >= most_ && !idle_.empty()) {
      Slot& longest = *idle_.front();
      longest.release();
      longest.close_();
    }
    return std::make_unique<Slot>(*this, std::move(close));
  }

  // Descriptors may be short all the same: who else can give one up does. False: nobody.
  std::function<bool()> evictOther = [] { return false; };

  // Raised once when there may be a place; asked again by who finds none then.
  void addWaiter(Signal& signal) {
    if (std::ranges::find(waiting_, &signal) == waiting_.end())
      waiting_.push_back(&signal);
  }
  void removeWaiter(Signal& signal) { std::erase(waiting_, &signal); }
  // To the first who waits, if there is a place.
  void notifyWaiter() {
    if (waiting_.empty() || !hasFreeSlot())
      return;
    Signal* first = waiting_.front();
    waiting_.pop_front();
    first->raise();
  }

 private:
  size_t most_, held_ = 0;
  std::list<Slot*> idle_;  // the longest first
  std::deque<Signal*> waiting_;
};

}  // namespace elmcleat
