#include "runtime/scheduler.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <system_error>

namespace elmcleat {
namespace {

constexpr int kMaxEvents = 512;  // of one epoll_wait()

}  // namespace

// --- signals
Signal::~Signal() { forget(); }

void Signal::forget() {
  waiter_ = nullptr;
  if (std::exchange(queued_, false)) {
    scheduler_.ready_.remove(this);
    scheduler_.afterOthers_.remove(this);
  }
}

void Signal::raise() {
  raised_ = true;
  if (!waiter_ || queued_)
    return;
  queued_ = true;
  scheduler_.ready_.push_back(this);
}

void Signal::Wait::await_suspend(std::coroutine_handle<> waiter) {
  signal_.waiter_ = waiter_ = waiter;
  if (!afterOthers_)
    return;
  signal_.queued_ = true;
  signal_.scheduler_.afterOthers_.push_back(&signal_);
}

// --- timers
void Timer::set(double time) {
  clear();
  entry_ = scheduler_.timers_.emplace(time, this);
  set_ = true;
}

void Timer::clear() {
  if (std::exchange(set_, false))
    scheduler_.timers_.erase(entry_);
}

// --- descriptors
Descriptor::Descriptor(Scheduler& scheduler, int fd, Signal& signal)
    : scheduler_(scheduler), fd_(fd), signal_(signal) {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.ptr = this;
  if (::epoll_ctl(scheduler_.epoll_, EPOLL_CTL_ADD, fd_, &event) < 0) {
    int error = errno;
    ::close(fd_);
    throw std::system_error(error, std::generic_category(), "epoll_ctl");
  }
}

void Descriptor::close() {
  if (fd_ < 0)
    return;
  ::close(fd_);
  fd_ = -1;
}

// --- the event loop
Scheduler::Scheduler(const Clock& clock) : clock_(clock), epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
  if (epoll_ < 0)
    throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

Scheduler::~Scheduler() { ::close(epoll_); }

// Resumes coroutines in the order in which their signals were raised. Input that arrived first is therefore
// read first, so commands with the same key keep their order.
void Scheduler::resumeReady() {
  while (!ready_.empty()) {
    Signal* signal = ready_.front();
    ready_.pop_front();
    signal->queued_ = false;
    std::exchange(signal->waiter_, nullptr).resume();
  }
}

void Scheduler::fireTimers(double until) {
  while (!timers_.empty() && timers_.begin()->first <= until) {
    Timer* timer = timers_.begin()->second;
    timer->clear();
    auto callback = timer->callback_;  // a copy: the call may destroy the timer
    callback();
  }
}

// Waits for the next event or timer, if it may wait and nothing is ready, and raises the signals of the
// descriptors concerned in the order of their events.
void Scheduler::poll(bool mayWait) {
  int timeoutMs = -1;
  if (!ready_.empty() || !mayWait)
    timeoutMs = 0;
  else if (!timers_.empty()) {
    double timeLeft = timers_.begin()->first - now();
    timeoutMs = static_cast<int>(std::clamp(std::ceil(timeLeft * 1e3), 0.0, 1e6));
  }
  epoll_event events[kMaxEvents];
  int count = ::epoll_wait(epoll_, events, kMaxEvents, timeoutMs);
  if (count < 0 && errno != EINTR)
    throw std::system_error(errno, std::generic_category(), "epoll_wait");
  for (int i = 0; i < count; ++i) {
    auto& descriptor = *static_cast<Descriptor*>(events[i].data.ptr);
    descriptor.mayBeReadable_ |= (events[i].events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
    descriptor.hungUp_ |= (events[i].events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
    descriptor.signal_.raise();  // only queues its coroutine, so no descriptor is closed during this loop
  }
}

void Scheduler::run() {
  for (stopped_ = false; !stopped_;) {
    double pollStart = now();
    auto deferred = std::exchange(afterOthers_, {});
    poll(deferred.empty());
    // Only timers that were due before the sockets were polled are fired: all input that arrived in time has
    // been read by then, even if the process was suspended for a while.
    ready_.splice(ready_.end(), deferred);
    resumeReady();
    if (!stopped_)
      fireTimers(pollStart);
    resumeReady();
    pendingDestruction_.clear();
  }
}

}  // namespace elmcleat
