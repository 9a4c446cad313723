// Virtual time: engines, gateways with the real module and the real budgets, and clients, in one process without
// sockets. The same scenario and seed give the same record to the byte.
#pragma once
#include "lab/run_record.h"

namespace elmcleat::lab {

enum class Decider { module, random, fifo };  // what decides in the gateways

struct Variant {
  std::string name;
  Decider deciding = Decider::module;
  bool budgets = true, bursts = true, sharing = true, view = true;
};
Variant variantNamed(const std::string& name);  // plain, apart, whole, calm, random, fifo

RunRecord simulate(const Scenario& scene, uint64_t seed, const Variant& variant);

}  // namespace elmcleat::lab
