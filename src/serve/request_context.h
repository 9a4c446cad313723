// A command on its way through the program: what was asked, who asked, and the module's handle.
#pragma once
#include <cmath>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "policy.h"
#include "serve/response.h"

namespace elmcleat {

struct CommandRequest {  // what a front door has read and checked
  std::string id, profile, tenant;
  std::vector<std::string> users;  // below the tenant, where budgets name the header that tells them
  std::string token;               // of uniqued commands: engines know a repeat by it
  std::string statement;           // as it came
  uint64_t tableGroup = 0;
  std::optional<uint64_t> orderingKey;
  double estimatedWork = 0, estimatedMemoryMb = 0;  // estimates; 0: none
  double clientDeadline = 0;  // when the client gives up, by what it told and when we read it
  // A client counts from when it sent, and its answer has to get there: an attempt that is not over by then is given up,
  // or the answer would find nobody. The protocol allows 50 ms for ways and clocks, and 10 ms are for our own turn; seen:
  // clients that had gone up to 56 ms before the end that they had told.
  static constexpr double kResponseMargin = 0.06;
  double responseDeadline() const { return clientDeadline - kResponseMargin; }
};

// Whoever asked: a connection of one of the protocols that clients speak.
class Responder {
 public:
  virtual ~Responder() = default;
  virtual void respond(Response response) = 0;  // called once at most, and never after a withdrawal
  virtual void abandon() = 0;      // another connection has withdrawn the command: no answer comes
  virtual bool isConnected() = 0;  // whether it still waits, as looked at this very moment
};

struct RequestContext {
  CommandRequest request;
  Responder* responder = nullptr;    // none once it is answered or withdrawn
  std::shared_ptr<Command> command;  // none until the module has it
  std::optional<int> priority;
  int sends = 0;
  double startDeadline = HUGE_VAL;  // the send that is out must not begin after this
  bool sendInFlight = false;        // a send has no outcome yet
  bool finished = false;            // answered or withdrawn
  // Whether somebody still waits for it. False from the moment in which its client is seen to have gone, before the
  // module hears of that.
  bool isAwaited() const { return responder != nullptr; }
};

}  // namespace elmcleat
