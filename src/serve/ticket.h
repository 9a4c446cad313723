// A command on its way through the program: what was asked, who asked, and the module's handle.
#pragma once
#include <cmath>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "policy.h"
#include "serve/answer.h"

namespace elmcleat {

struct Ask {  // what a front door has read and checked
  std::string id, profile, tenant;
  std::vector<std::string> users;  // below the tenant, where budgets name the header that tells them
  std::string token;               // of uniqued commands: engines know a repeat by it
  std::string statement;           // as it came
  uint64_t tables = 0;
  std::optional<uint64_t> key;
  double work = 0, memoryMb = 0;  // estimates; 0: none
  double endsAt = 0;              // when the client gives up, by what it told and when we read it
  // A client counts from when it sent, and its answer has to get there: an attempt that is not over by then is given up,
  // or the answer would find nobody. The protocol allows 50 ms for ways and clocks, and 10 ms are for our own turn; seen:
  // clients that had gone up to 56 ms before the end that they had told.
  static constexpr double kWay = 0.06;
  double answerBy() const { return endsAt - kWay; }
};

// Whoever asked: a connection of one of the protocols that clients speak.
class Asker {
 public:
  virtual ~Asker() = default;
  virtual void answer(Answer answer) = 0;  // called once at most, and never after a withdrawal
  virtual void dismiss() = 0;              // another connection has withdrawn the command: no answer comes
  virtual bool present() = 0;              // whether it still waits, as looked at this very moment
};

struct Ticket {
  Ask ask;
  Asker* asker = nullptr;            // none once it is answered or withdrawn
  std::shared_ptr<Command> command;  // none until the module has it
  std::optional<int> priority;
  int sends = 0;
  double beginBy = HUGE_VAL;  // the send that is out must not begin after this
  bool out = false;           // a send has no outcome yet
  bool over = false;          // answered or withdrawn
  // Whether somebody still waits for it. False from the moment in which its client is seen to have gone, before the
  // module hears of that.
  bool wanted() const { return asker != nullptr; }
};

}  // namespace elmcleat
