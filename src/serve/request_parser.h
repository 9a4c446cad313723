// What a client's request asks for, checked here so that nothing that the module can't take gets to it.
#pragma once
#include <optional>
#include <string>

#include "policy.h"
#include "protocol/http.h"
#include "serve/request_context.h"

namespace elmcleat {

// The command, or the status to answer and what is wrong. `came` is when the first byte of it did.
struct ParsedRequest {
  std::optional<CommandRequest> request;
  int status = 0;
  std::string error;
};
// `actor`: the header that names users below the tenant, with / between them; empty: none.
ParsedRequest parseCommandRequest(HttpRequest&& request, const Settings& settings, double came,
                                  const std::string& actor = "");

}  // namespace elmcleat
