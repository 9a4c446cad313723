// Budgets as somebody has set them: what each node of the tree may have, and what is wrong with that. No I/O.
#pragma once
#include <cmath>
#include <optional>
#include <string>
#include <vector>

namespace elmcleat::budget {

struct ResourceAmounts {           // absent: nothing is said of it
  std::optional<double> cores;     // work a second, of all gateways together
  std::optional<double> memoryMb;  // in use at engines at once
  std::optional<double> sends;     // out at once
};

struct NodeSettings {
  ResourceAmounts guarantee, ceiling;
  double burst = 1;           // seconds of the guarantee, or of the ceiling, that may be put by
  double weight = 1;          // of what others leave
  int priority = 1;           // who borrows first; the higher, the sooner
  double agingThreshold = 2;  // seconds held after which a command's claim goes by its age
};

struct NodeEntry {
  std::string name;    // a tenant's; or of what lies below: TENANT/USER, TENANT/:PROFILE
  std::string parent;  // another entry's name; empty: the tree's root, or what the name's own path says
  NodeSettings settings;
};

enum class PreemptionMode { off, lowerPriority, cancel };

struct BudgetSettings {
  double totalCores = 0;    // what there is to be guaranteed; 0: not said
  std::string actorHeader;  // the request header that names users below the tenant; empty: none
  size_t maxNodes = 4096;   // of the tree; without room a command falls under its parent's common node
  double idleTimeout = 60;  // seconds after which an unused node without an entry goes
  double agedShare = 0.1;   // part of the work started that goes by age alone, while something is old enough
  double borrowerYieldTime = 0.3;  // seconds for which who borrows waits for one within its guarantee
  PreemptionMode preemptionMode = PreemptionMode::lowerPriority;
  double preemptionDelay = 0.25;  // seconds held within a guarantee, before what others borrowed is preempted
  bool adviseRetryAfter = false;  // a Retry-After on what is shed, from the estimate of the wait
  NodeSettings defaults;          // of nodes without an entry
  std::vector<NodeEntry> entries;
};

struct ValidationError {
  std::string key, message;  // the key's path below the section; what was found and what is allowed
};
// All that no schema can say: parents that are not there, cycles, more guaranteed than there is. Empty: sound.
std::vector<ValidationError> validate(const BudgetSettings& settings);

// The rates that a plan sets for the whole fleet, in the order of its entries: they may be shared between gateways.
struct FleetRate {
  std::string path;  // the node's
  bool isCeiling = false;
  double cores = 0;
  bool operator==(const FleetRate&) const = default;
  std::string name() const { return path + (isCeiling ? "#ceiling" : "#guarantee"); }
};
std::vector<FleetRate> fleetRates(const BudgetSettings& settings);

// The entry under which `entry` stands, by its parent or by its path; none: the root.
const NodeEntry* parentOf(const BudgetSettings& settings, const NodeEntry& entry);

}  // namespace elmcleat::budget
