// The context of a request on its way through the gateway: the parsed command, the responder that waits for
// the response, and the module's handle. Client connection, dispatcher and engine share it.
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

// A command as a client connection has parsed and validated it.
struct CommandRequest {
  std::string id;
  std::string profile;
  std::string tenant;
  std::vector<std::string> users;  // below the tenant, if the budgets name a header for them
  RetrySafety retrySafety = RetrySafety::replayable;  // of the profile
  std::string token;      // of deduplicated commands: engines recognise a repeat by it
  std::string statement;  // as received
  uint64_t tableGroup = 0;
  std::optional<uint64_t> orderingKey;
  double estimatedWork = 0;      // core-seconds; 0: no estimate
  double estimatedMemoryMb = 0;  // 0: no estimate
  double clientDeadline =
      0;  // when the client gives up: the time that it stated, from when the request was read

  // Seconds before clientDeadline by which a send is abandoned, because its response would come too late.
  // The client counts from when it sent the request, and the response has to reach it: the protocol allows 50
  // ms for network and clocks, and 10 ms are for our own turn. Clients were seen to leave up to 56 ms before
  // the deadline that they stated.
  static constexpr double kResponseMargin = 0.06;
  double responseDeadline() const { return clientDeadline - kResponseMargin; }
};

// Receives the response to a command: a connection of one of the client protocols.
class Responder {
 public:
  virtual ~Responder() = default;
  // Called at most once, and never after the command was withdrawn.
  virtual void respond(Response response) = 0;
  // Another connection has withdrawn the command: no response will follow.
  virtual void abandon() = 0;
  // Whether the client is still connected. Looks at the socket at the time of the call.
  virtual bool isConnected() = 0;
};

struct RequestContext {
  CommandRequest request;
  Responder* responder = nullptr;    // none once the command is answered or withdrawn
  std::shared_ptr<Command> command;  // the module's handle; none until the module has the command
  std::optional<int> priority;       // 0 (lowest) to 3; none: the module has set none
  int sends = 0;                     // not used
  double startDeadline = HUGE_VAL;   // the send in flight must not start after this
  bool sendInFlight = false;         // a send has no outcome yet
  bool finished = false;             // answered or withdrawn
  bool mayHaveRun = false;           // a send has ended that may have run

  // Whether a client still waits for the response. False from the moment at which its disconnect is seen,
  // which is before the module is informed.
  bool isAwaited() const { return responder != nullptr; }
};

}  // namespace elmcleat
