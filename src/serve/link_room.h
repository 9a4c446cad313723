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

class LinkRoom {
 public:
  explicit LinkRoom(size_t most) : most_(most) {}
  LinkRoom(const LinkRoom&) = delete;
  LinkRoom& operator=(const LinkRoom&) = delete;

  class Place {  // of one connection, for as long as this object lives
   public:
    // `close` is called when it has to make room while idle.
    Place(LinkRoom& room, std::function<void()> close) : room_(room), close_(std::move(close)) {
      ++room_.held_;
    }
    Place(const Place&) = delete;
    Place& operator=(const Place&) = delete;
    ~Place() { leave(); }
    void idle() {
      if (held_ && !idle_)
        idle_ = true, at_ = room_.idle_.insert(room_.idle_.end(), this);
      room_.offer();
    }
    void busy() {
      if (std::exchange(idle_, false))
        room_.idle_.erase(at_);
    }

   private:
    friend class LinkRoom;
    void leave() {
      busy();
      if (!std::exchange(held_, false))
        return;
      --room_.held_;
      room_.offer();
    }
    LinkRoom& room_;
    std::function<void()> close_;
    std::list<Place*>::iterator at_;
    bool held_ = true, idle_ = false;
  };

  bool any() const { return held_ < most_ || !idle_.empty(); }
  std::unique_ptr<Place> take(std::function<void()> close) {
    while (held_ >= most_ && !idle_.empty()) {
      Place& longest = *idle_.front();
      longest.leave();
      longest.close_();
    }
    return std::make_unique<Place>(*this, std::move(close));
  }

  // Descriptors may be short all the same: who else can give one up does. False: nobody.
  std::function<bool()> evict = [] { return false; };

  // Raised once when there may be a place; asked again by who finds none then.
  void wait(Signal& signal) {
    if (std::ranges::find(waiting_, &signal) == waiting_.end())
      waiting_.push_back(&signal);
  }
  void forget(Signal& signal) { std::erase(waiting_, &signal); }
  // To the first who waits, if there is a place.
  void offer() {
    if (waiting_.empty() || !any())
      return;
    Signal* first = waiting_.front();
    waiting_.pop_front();
    first->raise();
  }

 private:
  size_t most_, held_ = 0;
  std::list<Place*> idle_;  // the longest first
  std::deque<Signal*> waiting_;
};

}  // namespace elmcleat
