// A single-threaded event loop: edge-triggered epoll, a ready queue, timers, and coroutines that await
// signals.
//
// A Task owns its coroutine: destroying the Task destroys the coroutine at the point where it is suspended.
// Its waits are removed too, since Signal, Timer and Descriptor unregister from the scheduler in their
// destructors. A coroutine never destroys itself: its owner passes it to Scheduler::destroyLater().
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

// A coroutine that is owned by this object and starts at start().
class Task {
 public:
  struct promise_type {
    Task get_return_object() { return Task(std::coroutine_handle<promise_type>::from_promise(*this)); }
    std::suspend_always initial_suspend() noexcept { return {}; }
    std::suspend_always final_suspend() noexcept { return {}; }
    void return_void() {}
    // Never reached: actors catch the exceptions that their input may cause.
    void unhandled_exception() { std::terminate(); }
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

// An awaitable event for one waiting coroutine, an actor: raised by its mailbox, its sockets and its timers.
// A signal raised while no coroutine waits is kept, so that no event is lost between two waits.
class Signal {
 public:
  explicit Signal(Scheduler& scheduler) : scheduler_(scheduler) {}
  Signal(const Signal&) = delete;
  Signal& operator=(const Signal&) = delete;
  ~Signal();

  // Marks the signal as raised and queues its waiting coroutine, if any, to be resumed.
  void raise();

  // The awaitable. It is part of the waiting coroutine's frame, so destroying the coroutine ends the wait.
  class Wait {
   public:
    Wait(Signal& signal, bool afterOthers) : signal_(signal), afterOthers_(afterOthers) {}
    Wait(const Wait&) = delete;
    Wait& operator=(const Wait&) = delete;
    ~Wait() {
      if (waiter_ && signal_.waiter_ == waiter_)
        signal_.forget();
    }
    bool await_ready() { return !afterOthers_ && std::exchange(signal_.raised_, false); }
    void await_suspend(std::coroutine_handle<> waiter);
    void await_resume() {
      if (!afterOthers_)
        signal_.raised_ = false;
    }

   private:
    Signal& signal_;
    bool afterOthers_;
    std::coroutine_handle<> waiter_;
  };
  Wait operator co_await() { return {*this, false}; }
  // Yields: waits until every coroutine that is ready by now, here or by an event pending in the kernel, has
  // run. A signal raised meanwhile is kept.
  Wait afterOthers() { return {*this, true}; }

 private:
  friend class Scheduler;
  // Drops the waiting coroutine and leaves the ready queue.
  void forget();

  Scheduler& scheduler_;
  std::coroutine_handle<> waiter_;
  bool raised_ = false;
  bool queued_ = false;  // in one of the scheduler's queues
};

// A one-shot timer. set() replaces an earlier time; the callback may destroy the timer.
class Timer {
 public:
  Timer(Scheduler& scheduler, std::function<void()> callback)
      : scheduler_(scheduler), callback_(std::move(callback)) {}
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  ~Timer() { clear(); }
  void set(double time);  // on the scheduler's clock
  void clear();
  bool isSet() const { return set_; }

 private:
  friend class Scheduler;
  Scheduler& scheduler_;
  std::function<void()> callback_;
  std::multimap<double, Timer*>::iterator entry_;  // valid while set_
  bool set_ = false;
};

// An open file descriptor, which it owns, registered with edge-triggered epoll: its signal is raised whenever
// the descriptor may have become readable or writable.
class Descriptor {
 public:
  // Closes `fd` and throws std::system_error if it can't be registered.
  Descriptor(Scheduler& scheduler, int fd, Signal& signal);
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  ~Descriptor() { close(); }
  int fd() const { return fd_; }
  void close();
  // Whether there may be input: set by an epoll event, cleared by the reader once it has read everything.
  bool mayBeReadable() const { return mayBeReadable_; }
  bool hungUp() const { return hungUp_; }  // the peer has closed: there is an end of file or an error to read
  // Once the peer has closed, the descriptor stays readable, as no further event will report its end of file.
  void clearReadable() { mayBeReadable_ = hungUp_; }

 private:
  friend class Scheduler;
  Scheduler& scheduler_;
  int fd_;
  Signal& signal_;
  bool mayBeReadable_ = true;
  bool hungUp_ = false;
};

// The event loop. All its objects are used on its thread only.
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
  // Keeps the object until the end of the current iteration of the loop, when none of its coroutines is
  // running.
  void destroyLater(std::shared_ptr<void> object) { pendingDestruction_.push_back(std::move(object)); }

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
  std::list<Signal*> ready_;        // to be resumed, in the order raised
  std::list<Signal*> afterOthers_;  // to be resumed after all that was ready before
  std::multimap<double, Timer*> timers_;
  std::vector<std::shared_ptr<void>> pendingDestruction_;
};

}  // namespace elmcleat
