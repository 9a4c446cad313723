// The quota of connections to engines, shared by all engines: a third of the descriptors. Client connections
// may take almost all of the rest (maxClientConnections() in serve/listener.cpp). Each connection holds a
// slot. When no slot is free, the connection that has been idle for longest, to whichever engine, is closed
// to free one; when none is idle, the engine that needs a slot waits until a connection ends or becomes idle.
// Engines wait in order of request.
//
// Guards against lists with more engines than descriptors, where one idle connection for each engine would
// use them all up. The cost is a handshake whenever sends go round more engines than there are slots.
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
  explicit ConnectionQuota(size_t maxSlots) : maxSlots_(maxSlots) {}
  ConnectionQuota(const ConnectionQuota&) = delete;
  ConnectionQuota& operator=(const ConnectionQuota&) = delete;

  // The slot of one connection, held for the lifetime of this object or until the quota reclaims it.
  class Slot {
   public:
    // `close` is called when the slot is reclaimed while its connection is idle; it has to close the
    // connection.
    Slot(ConnectionQuota& quota, std::function<void()> close) : quota_(quota), close_(std::move(close)) {
      ++quota_.slotsHeld_;
    }
    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;
    ~Slot() { release(); }

    void markIdle() {
      if (held_ && !idle_) {
        idle_ = true;
        idlePosition_ = quota_.idleSlots_.insert(quota_.idleSlots_.end(), this);
      }
      quota_.notifyWaiter();
    }
    void markBusy() {
      if (std::exchange(idle_, false))
        quota_.idleSlots_.erase(idlePosition_);
    }

   private:
    friend class ConnectionQuota;
    void release() {
      markBusy();
      if (!std::exchange(held_, false))
        return;
      --quota_.slotsHeld_;
      quota_.notifyWaiter();
    }
    ConnectionQuota& quota_;
    std::function<void()> close_;
    std::list<Slot*>::iterator idlePosition_;
    bool held_ = true;
    bool idle_ = false;
  };

  // Whether acquire() can serve a connection within the quota, if need be by closing an idle one.
  bool hasFreeSlot() const { return slotsHeld_ < maxSlots_ || !idleSlots_.empty(); }

  std::unique_ptr<Slot> acquire(std::function<void()> close) {
    while (slotsHeld_ >= maxSlots_ && !idleSlots_.empty()) {
      Slot& longestIdle = *idleSlots_.front();
      longestIdle.release();
      longestIdle.close_();
    }
    return std::make_unique<Slot>(*this, std::move(close));
  }

  // The system may be out of descriptors even within the quota: asks another owner to close an idle
  // connection. False if there is none to close.
  std::function<bool()> evictOther = [] { return false; };

  // Raises `signal` once when a slot may be free. A waiter that finds none then has to add itself again.
  void addWaiter(Signal& signal) {
    if (std::ranges::find(waiters_, &signal) == waiters_.end())
      waiters_.push_back(&signal);
  }
  void removeWaiter(Signal& signal) { std::erase(waiters_, &signal); }

  // Raises the signal of the first waiter if a slot is free.
  void notifyWaiter() {
    if (waiters_.empty() || !hasFreeSlot())
      return;
    Signal* first = waiters_.front();
    waiters_.pop_front();
    first->raise();
  }

 private:
  size_t maxSlots_;
  size_t slotsHeld_ = 0;
  std::list<Slot*> idleSlots_;  // the one idle for longest first
  std::deque<Signal*> waiters_;
};

}  // namespace elmcleat
