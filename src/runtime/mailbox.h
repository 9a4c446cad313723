// An actor's mailbox: calls posted to the actor, run by it in the order posted. Used on the scheduler's
// thread only.
#pragma once
#include <deque>
#include <functional>
#include <utility>

#include "runtime/scheduler.h"

namespace elmcleat {

class Mailbox {
 public:
  using Call = std::function<void()>;

  // `signal` is raised at each post; the actor waits for it and then calls runAll().
  explicit Mailbox(Signal& signal) : signal_(signal) {}
  void post(Call call) {
    calls_.push_back(std::move(call));
    signal_.raise();
  }
  bool empty() const { return calls_.empty(); }
  // Runs all posted calls, those included that they post themselves.
  void runAll() {
    while (!calls_.empty()) {
      Call call = std::move(calls_.front());
      calls_.pop_front();
      call();
    }
  }

 private:
  Signal& signal_;
  std::deque<Call> calls_;
};

}  // namespace elmcleat
