// The scheduler: one thread, one epoll, timers and coroutines that wait for signals.
//
// Who owns a Task owns its coroutine: destroying the Task ends the coroutine where it waits, and all that it
// waits for is forgotten, since Signal, Timer and Descriptor leave the scheduler in their destructors. A
// coroutine never destroys itself: its owner hands it to Scheduler::destroyLater(), which lets go of it later.
#pragma once
#include <coroutine>
#include <cstdint>
#include <deque>
#include <exception>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "runtime/clock.h"

namespace elmcleat {

class Scheduler;

// A coroutine that starts when told to and is owned by this object.
class Task {
 public:
  struct promise_type {
    Task get_return_object() { return Task(std::coroutine_handle<promise_type>::from_promise(*this)); }
    std::suspend_always initial_suspend() noexcept { return {}; }
    std::suspend_always final_suspend() noexcept { return {}; }
    void return_void() {}
    void unhandled_exception() { std::terminate(); }  // each actor catches what its input may cause
  };

  Task() = default;
  explicit Task(std::coroutine_handle<promise_type> handle) : handle_(handle) {}
  Task(Task&& other) noexcept : handle_(std::exchange(other.handle_, nullptr)) {}
  Task& operator=(Task&& other) noexcept {
    std::swap(handle_, other.handle_);
    return *this;
  }
  ~Task() {
    if (handle_)
      handle_.destroy();
  }
  void start() { handle_.resume(); }
  bool done() const { return !handle_ || handle_.done(); }

 private:
  std::coroutine_handle<promise_type> handle_;
};

// What an actor waits for: raised by its mailbox, its sockets and its timers. A signal raised while nobody
// waits is kept, so that no news is lost between two waits.
class Signal {
 public:
  explicit Signal(Scheduler& scheduler) : scheduler_(scheduler) {}
  Signal(const Signal&) = delete;
  Signal& operator=(const Signal&) = delete;
  ~Signal();

  void raise();

  // A wait lives in the coroutine that waits; should that be destroyed, nobody waits any more.
  class Wait {
   public:
    Wait(Signal& signal, bool others) : signal_(signal), others_(others) {}
    Wait(const Wait&) = delete;
    Wait& operator=(const Wait&) = delete;
    ~Wait() {
      if (waiter_ && signal_.waiter_ == waiter_)
        signal_.forget();
    }
    bool await_ready() { return !others_ && std::exchange(signal_.raised_, false); }
    void await_suspend(std::coroutine_handle<> waiter);
    void await_resume() {
      if (!others_)
        signal_.raised_ = false;
    }

   private:
    Signal& signal_;
    bool others_;
    std::coroutine_handle<> waiter_;
  };
  Wait operator co_await() { return {*this, false}; }
  // Waits until all that is ready by now, here or in the system, has had its turn; news that comes meanwhile
  // is kept.
  Wait afterOthers() { return {*this, true}; }

 private:
  friend class Scheduler;
  void forget();

  Scheduler& scheduler_;
  std::coroutine_handle<> waiter_;
  bool raised_ = false, queued_ = false;
};

// Calls a function once, at a time that may be moved or cleared.
class Timer {
 public:
  Timer(Scheduler& scheduler, std::function<void()> act) : scheduler_(scheduler), act_(std::move(act)) {}
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  ~Timer() { clear(); }
  void set(double at);
  void clear();
  bool isSet() const { return set_; }

 private:
  friend class Scheduler;
  Scheduler& scheduler_;
  std::function<void()> act_;
  std::multimap<double, Timer*>::iterator place_;
  bool set_ = false;
};

// An open descriptor, watched edge by edge: its signal is raised whenever it may have become ready.
class Descriptor {
 public:
  Descriptor(Scheduler& scheduler, int fd, Signal& signal);
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  ~Descriptor() { close(); }
  int fd() const { return fd_; }
  void close();
  // Whether there may be something to read: set by the system's news, cleared by whoever has read it all.
  bool mayBeReadable() const { return news_; }
  bool hungUp() const { return hungUp_; }  // the other side has closed: there is an end to be read
  void clearReadable() { news_ = hungUp_; }

 private:
  friend class Scheduler;
  Scheduler& scheduler_;
  int fd_;
  Signal& signal_;
  bool news_ = true, hungUp_ = false;
};

class Scheduler {
 public:
  explicit Scheduler(const Clock& clock);
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;
  ~Scheduler();

  double now() const { return clock_.now(); }
  const Clock& clock() const { return clock_; }
  void run();  // until stop()
  void stop() { stopped_ = true; }
  // Keeps what is over until no coroutine of it can be running.
  void destroyLater(std::shared_ptr<void> over) { buried_.push_back(std::move(over)); }

 private:
  friend class Signal;
  friend class Timer;
  friend class Descriptor;
  void poll(bool mayWait);
  void resumeReady();
  void fireTimers(double until);

  const Clock& clock_;
  int epoll_;
  bool stopped_ = false;
  std::list<Signal*> ready_, afterOthers_;
  std::multimap<double, Timer*> timers_;
  std::vector<std::shared_ptr<void>> buried_;
};

}  // namespace elmcleat
