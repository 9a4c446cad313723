// Virtual time: engines, gateways with the real module and the real budgets, and clients, in one process without
// sockets. The same scenario and seed give the same record to the byte.
#pragma once
#include "lab/record.h"

namespace elmcleat::lab {

enum class Deciding { module, random, fifo };  // what decides in the gateways

struct Variant {
  std::string name;
  Deciding deciding = Deciding::module;
  bool budgets = true, bursts = true, sharing = true, view = true;
};
Variant variantNamed(const std::string& name);  // plain, apart, whole, calm, random, fifo

Record play(const Scenario& scene, uint64_t seed, const Variant& variant);

}  // namespace elmcleat::lab
