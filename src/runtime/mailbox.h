// An actor's mailbox: calls that it makes on itself, in the order posted, when its turn comes.
#pragma once
#include <deque>
#include <functional>
#include <utility>

#include "runtime/scheduler.h"

namespace elmcleat {

class Mailbox {
 public:
  using Call = std::function<void()>;

  explicit Mailbox(Signal& signal) : signal_(signal) {}
  void post(Call call) {
    calls_.push_back(std::move(call));
    signal_.raise();
  }
  bool empty() const { return calls_.empty(); }
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
