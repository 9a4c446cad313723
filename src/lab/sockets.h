// The same day on sockets and in real time: the program itself, stand-in engines that speak the engines' lines, a
// stand-in change log, and clients over HTTP, all on loopback. Arrivals are those of the run in virtual time.
#pragma once
#include "lab/simulation.h"

namespace elmcleat::lab {

// `program`: the dispatcher. Plays bursts, quiet teams and slow engines; throws ValidationErrors for any other trouble, or if a
// dispatcher does not come up.
RunRecord runOnSockets(const Scenario& scene, const RunRecord& virtualRun, const Variant& variant,
                       const std::string& program);

}  // namespace elmcleat::lab
