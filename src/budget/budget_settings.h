// Settings of the budget tree (the section `budgets` of the gateway file): the guarantee and ceiling of each
// node, and their validation beyond the schema. No I/O.
#pragma once
#include <cmath>
#include <optional>
#include <string>
#include <vector>

namespace elmcleat::budget {

// An amount of each resource. Absent: not limited, or not guaranteed.
struct ResourceAmounts {
  std::optional<double> cores;     // work per second, summed over all gateways
  std::optional<double> memoryMb;  // in use at engines at the same time
  std::optional<double> sends;     // in flight at the same time
};

// The budget of one node of the tree.
struct NodeSettings {
  ResourceAmounts guarantee;
  ResourceAmounts ceiling;
  double burst = 1;           // seconds of the guarantee, or of the ceiling, that may accumulate as credit
  double weight = 1;          // relative share, among siblings, of the capacity that others leave unused
  int priority = 1;           // order of borrowing: higher priorities borrow first
  double agingThreshold = 2;  // seconds in the queue after which a command is also scheduled by its age
};

// A node that the section lists.
struct NodeEntry {
  std::string name;    // a tenant, or a node below one: TENANT/USER, TENANT/:PROFILE
  std::string parent;  // name of another entry; empty: the name's own path decides, and without one the root
  NodeSettings settings;
};

// What happens to a borrowed send while a stronger command waits: nothing, its priority at the engine is
// lowered, or it is also cancelled if the command is replayable.
enum class PreemptionMode { off, lowerPriority, cancel };

// The section `budgets` as a whole.
struct BudgetSettings {
  double totalCores = 0;    // capacity that guarantees must fit into; 0: not given
  std::string actorHeader;  // request header that names the users below a tenant; empty: none
  size_t maxNodes = 4096;   // beyond it, commands share a common node under their parent
  double idleTimeout = 60;  // seconds after which an unused node without an entry is removed
  double agedShare = 0.1;   // share of the started work that is scheduled by age alone, while any has aged
  double borrowerYieldTime = 0.3;  // seconds for which borrowers yield to a leaf within its guarantee
  PreemptionMode preemptionMode = PreemptionMode::lowerPriority;
  double preemptionDelay = 0.25;  // seconds in the queue before borrowed sends are preempted
  bool adviseRetryAfter = false;  // adds Retry-After to shed commands, from the wait estimate
  NodeSettings defaults;          // of nodes without an entry
  std::vector<NodeEntry> entries;
};

// A setting that is not valid.
struct ValidationError {
  std::string key;      // path below the section
  std::string message;  // what was found and what is allowed
};
// Checks what the schema cannot express: unknown parents, cycles, guarantees beyond the capacity above them.
// Returns an empty list if the settings are valid.
std::vector<ValidationError> validate(const BudgetSettings& settings);

// A rate that the settings give for the whole fleet. Gateways may share it by leases.
struct FleetRate {
  std::string path;  // of the node
  bool isCeiling = false;
  double cores = 0;
  bool operator==(const FleetRate&) const = default;
  std::string name() const { return path + (isCeiling ? "#ceiling" : "#guarantee"); }
};
// In the order of the entries; of one entry, the guarantee before the ceiling.
std::vector<FleetRate> fleetRates(const BudgetSettings& settings);

// The parent entry of `entry`, by its `parent` or its path; nullptr: the root.
const NodeEntry* parentOf(const BudgetSettings& settings, const NodeEntry& entry);

}  // namespace elmcleat::budget
