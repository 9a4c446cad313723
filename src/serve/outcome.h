// Maps the end of a connection, or an engine's response, to the outcome of a send or probe that the module is
// given.
#pragma once
#include "policy.h"
#include "protocol/engine_protocol.h"
#include "runtime/close_reason.h"

namespace elmcleat {

// The outcome of a send whose connection ended; `started`: its first byte had been transmitted.
Outcome outcomeOf(CloseReason reason, bool started);
// The outcome of a send or probe to which the engine responded.
Outcome outcomeOf(ResponseKind kind);

}  // namespace elmcleat
