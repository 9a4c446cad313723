#include "budget/budget_settings.h"

#include <map>
#include <set>
#include <sstream>

namespace elmcleat::budget {
namespace {

const NodeEntry* findEntry(const BudgetSettings& settings, const std::string& name) {
  for (auto& entry : settings.entries)
    if (entry.name == name)
      return &entry;
  return nullptr;
}

std::string parentPath(const std::string& name) {
  auto slash = name.rfind('/');
  return slash == std::string::npos ? "" : name.substr(0, slash);
}

std::string formatNumber(double value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

struct ResourceKind {
  const char* name;
  std::optional<double> ResourceAmounts::*amount;
};
constexpr ResourceKind kResourceKinds[] = {{"cores", &ResourceAmounts::cores},
                                           {"memoryMb", &ResourceAmounts::memoryMb},
                                           {"sends", &ResourceAmounts::sends}};

// Relative tolerance for sums of guarantees.
constexpr double kRoundingTolerance = 1e-9;

void validateNode(const std::string& key, const NodeSettings& nodeSettings,
                  std::vector<ValidationError>& errors) {
  for (auto& kind : kResourceKinds) {
    auto guarantee = nodeSettings.guarantee.*kind.amount;
    auto ceiling = nodeSettings.ceiling.*kind.amount;
    for (auto& [part, amount] : {std::pair("guarantee", guarantee), std::pair("ceiling", ceiling)})
      if (amount && !(std::isfinite(*amount) && *amount >= 0))
        errors.push_back({key + "." + part + "." + kind.name,
                          "is " + formatNumber(*amount) + "; it must be a finite number of at least 0"});
    if (guarantee && ceiling && *ceiling < *guarantee)
      errors.push_back(
          {key + ".ceiling." + kind.name, "is " + formatNumber(*ceiling) + ", below the guarantee of " +
                                              formatNumber(*guarantee) + "; it must be at least that"});
  }
  auto requirePositive = [&](const char* name, double value) {
    if (!(std::isfinite(value) && value > 0))
      errors.push_back(
          {key + "." + name, "is " + formatNumber(value) + "; it must be a finite number above 0"});
  };
  requirePositive("burst", nodeSettings.burst);
  requirePositive("weight", nodeSettings.weight);
  requirePositive("ageAfter", nodeSettings.agingThreshold);
}

}  // namespace

const NodeEntry* parentOf(const BudgetSettings& settings, const NodeEntry& entry) {
  return findEntry(settings, entry.parent.empty() ? parentPath(entry.name) : entry.parent);
}

std::vector<ValidationError> validate(const BudgetSettings& settings) {
  std::vector<ValidationError> errors;
  // Sums of the children's guarantees by parent; nullptr is the root.
  std::map<const NodeEntry*, ResourceAmounts> guaranteedBelow;
  std::set<std::string> names;
  for (size_t i = 0; i < settings.entries.size(); ++i) {
    const NodeEntry& entry = settings.entries[i];
    std::string key = "nodes[" + std::to_string(i) + "]";
    validateNode(key, entry.settings, errors);
    if (!names.insert(entry.name).second) {
      errors.push_back({key + ".name", "'" + entry.name + "' is a duplicate; names must be unique"});
      continue;
    }
    std::string parentName = entry.parent.empty() ? parentPath(entry.name) : entry.parent;
    const NodeEntry* parent = findEntry(settings, parentName);
    if (!parentName.empty() && !parent) {
      errors.push_back({key + (entry.parent.empty() ? ".name" : ".parent"),
                        "'" + parentName + "' is not a node; it must be the name of another entry"});
      continue;
    }
    bool cycle = false;
    const NodeEntry* ancestor = parent;
    for (size_t steps = 0; ancestor && !cycle; ++steps, ancestor = parentOf(settings, *ancestor))
      cycle = ancestor == &entry || steps > settings.entries.size();
    if (cycle) {
      errors.push_back(
          {key + ".parent", "'" + entry.name + "' is its own ancestor; parents must not form a cycle"});
      continue;
    }
    for (auto& kind : kResourceKinds)
      if (auto amount = entry.settings.guarantee.*kind.amount) {
        auto& sum = guaranteedBelow[parent].*kind.amount;
        sum = sum.value_or(0) + *amount;
      }
  }
  // The root offers the total cores, if they are given.
  for (auto& [parent, sum] : guaranteedBelow) {
    for (auto& kind : kResourceKinds) {
      auto available = parent ? parent->settings.guarantee.*kind.amount : std::nullopt;
      if (!parent && std::string(kind.name) == "cores" && settings.totalCores > 0)
        available = settings.totalCores;
      auto guaranteed = sum.*kind.amount;
      if (!available || !guaranteed || *guaranteed <= *available * (1 + kRoundingTolerance))
        continue;
      std::string key = "cores";
      for (size_t i = 0; parent && i < settings.entries.size(); ++i)
        if (&settings.entries[i] == parent)
          key = "nodes[" + std::to_string(i) + "].guarantee." + kind.name;
      errors.push_back({key, "is " + formatNumber(*available) + ", but " + formatNumber(*guaranteed) +
                                 " are guaranteed below it; the sum of guarantees must not exceed it"});
    }
  }
  validateNode("default", settings.defaults, errors);
  if (!(settings.agedShare > 0 && settings.agedShare < 1))
    errors.push_back(
        {"agedPart", "is " + formatNumber(settings.agedShare) + "; it must be above 0 and below 1"});
  return errors;
}

std::vector<FleetRate> fleetRates(const BudgetSettings& settings) {
  std::vector<FleetRate> rates;
  for (auto& [name, parent, nodeSettings] : settings.entries) {
    if (nodeSettings.guarantee.cores.value_or(0) > 0)
      rates.push_back({name, false, *nodeSettings.guarantee.cores});
    if (nodeSettings.ceiling.cores.value_or(0) > 0)
      rates.push_back({name, true, *nodeSettings.ceiling.cores});
  }
  return rates;
}

}  // namespace elmcleat::budget
