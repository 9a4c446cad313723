// Every way in which a connection, or an exchange on it, can end.
#pragma once
#include "policy.h"
#include "protocol/engine_protocol.h"
#include "runtime/close_reason.h"

namespace elmcleat {

// What the module is told of a send whose connection ended; `begun`: its first byte had gone out.
Outcome outcomeOf(CloseReason ending, bool begun);
// What it is told of a send, or a probe, that the engine answered.
Outcome outcomeOf(ResponseKind word);

}  // namespace elmcleat
