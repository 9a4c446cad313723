// Discrete-event simulation of a scenario in virtual time: simulated engines, gateways with the real policy
// and budget code, and clients, in one process without sockets. The same scenario, seed and variant give the
// same record.
#pragma once
#include "lab/run_record.h"

namespace elmcleat::lab {

// Which policy the gateways run: the software under test, or a baseline of baseline.h.
enum class Decider { module, random, fifo };

// What a run leaves out for comparison.
struct Variant {
  std::string name;
  Decider decider = Decider::module;
  bool budgets = true;
  bool bursts = true;
  bool leases = true;  // gateways share budgets by leases
  bool subset = true;  // each gateway uses only its subset of the engines
};

// plain: no budgets; apart: budgets without leases; whole: every gateway uses all engines; calm: no bursts;
// random and fifo: baselines, without budgets; any other name: everything on.
Variant variantNamed(const std::string& name);

RunRecord simulate(const Scenario& scenario, uint64_t seed, const Variant& variant);

}  // namespace elmcleat::lab
