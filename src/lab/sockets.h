// Runs a scenario on loopback sockets in real time: the real dispatcher, stand-in engines that speak the
// engine protocol, a stand-in change log, and HTTP clients. Arrivals are taken from a run in virtual time.
#pragma once
#include "lab/simulation.h"

namespace elmcleat::lab {

// `program` is the path of the dispatcher. Supports the disturbances burst, quiet and slow; throws
// ValidationErrors for any other, or if a dispatcher does not accept connections in time.
RunRecord runOnSockets(const Scenario& scenario, const RunRecord& virtualRun, const Variant& variant,
                       const std::string& program);

}  // namespace elmcleat::lab
