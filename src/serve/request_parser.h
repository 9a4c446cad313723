// Parses and validates a client's command request, so that nothing reaches the module that it can't handle.
#pragma once
#include <optional>
#include <string>

#include "policy.h"
#include "protocol/http.h"
#include "serve/request_context.h"

namespace elmcleat {

// The command, or the HTTP status to respond with and the reason.
struct ParsedRequest {
  std::optional<CommandRequest> request;
  int status = 0;
  std::string error;
};
// `receivedAt`: when the request's first byte was read. `actorHeader`: the header that names users below the
// tenant, separated by /; empty if there is none.
ParsedRequest parseCommandRequest(HttpRequest&& request, const Settings& settings, double receivedAt,
                                  const std::string& actorHeader = "");

}  // namespace elmcleat
