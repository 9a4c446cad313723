#include "budget/budget_settings.h"

#include <map>
#include <set>
#include <sstream>

namespace elmcleat::budget {
namespace {

const NodeEntry* entryOf(const BudgetSettings& settings, const std::string& name) {
  for (auto& entry : settings.entries)
    if (entry.name == name)
      return &entry;
  return nullptr;
}

std::string pathParent(const std::string& name) {
  auto slash = name.rfind('/');
  return slash == std::string::npos ? "" : name.substr(0, slash);
}

std::string text(double value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

struct Kind {
  const char* name;
  std::optional<double> ResourceAmounts::*amount;
};
constexpr Kind kKinds[] = {{"cores", &ResourceAmounts::cores},
                           {"memoryMb", &ResourceAmounts::memoryMb},
                           {"sends", &ResourceAmounts::sends}};

void checkTerms(const std::string& key, const NodeSettings& nodeSettings,
                std::vector<ValidationError>& errors) {
  for (auto& kind : kKinds) {
    auto least = nodeSettings.guarantee.*kind.amount, most = nodeSettings.ceiling.*kind.amount;
    for (auto& [part, amount] : {std::pair("guarantee", least), std::pair("ceiling", most)})
      if (amount && !(std::isfinite(*amount) && *amount >= 0))
        errors.push_back({key + "." + part + "." + kind.name,
                          "is " + text(*amount) + "; it must be a finite number of at least 0"});
    if (least && most && *most < *least)
      errors.push_back({key + ".ceiling." + kind.name, "is " + text(*most) + ", below the guarantee of " +
                                                           text(*least) + "; it must be at least that"});
  }
  auto above = [&](const char* name, double value) {
    if (!(std::isfinite(value) && value > 0))
      errors.push_back({key + "." + name, "is " + text(value) + "; it must be a finite number above 0"});
  };
  above("burst", nodeSettings.burst), above("weight", nodeSettings.weight),
      above("ageAfter", nodeSettings.agingThreshold);
}

}  // namespace

const NodeEntry* parentOf(const BudgetSettings& settings, const NodeEntry& entry) {
  return entryOf(settings, entry.parent.empty() ? pathParent(entry.name) : entry.parent);
}

std::vector<ValidationError> validate(const BudgetSettings& settings) {
  std::vector<ValidationError> errors;
  std::map<const NodeEntry*, ResourceAmounts>
      below;  // guarantees summed by parent; the root's under no entry
  std::set<std::string> names;
  for (size_t i = 0; i < settings.entries.size(); ++i) {
    const NodeEntry& entry = settings.entries[i];
    std::string key = "nodes[" + std::to_string(i) + "]";
    checkTerms(key, entry.settings, errors);
    if (!names.insert(entry.name).second) {
      errors.push_back({key + ".name", "'" + entry.name + "' is there already; names must differ"});
      continue;
    }
    std::string wanted = entry.parent.empty() ? pathParent(entry.name) : entry.parent;
    const NodeEntry* parent = entryOf(settings, wanted);
    if (!wanted.empty() && !parent) {
      errors.push_back({key + (entry.parent.empty() ? ".name" : ".parent"),
                        "'" + wanted + "' is no node; it must be the name of another entry"});
      continue;
    }
    bool cycle = false;
    const NodeEntry* above = parent;
    for (size_t steps = 0; above && !cycle; ++steps, above = parentOf(settings, *above))
      cycle = above == &entry || steps > settings.entries.size();
    if (cycle) {
      errors.push_back(
          {key + ".parent", "'" + entry.name + "' stands above itself; parents must not go round"});
      continue;
    }
    for (auto& kind : kKinds)
      if (auto amount = entry.settings.guarantee.*kind.amount) {
        auto& sum = below[parent].*kind.amount;
        sum = sum.value_or(0) + *amount;
      }
  }
  for (auto& [parent, sum] : below) {
    for (auto& kind : kKinds) {
      auto given = parent ? parent->settings.guarantee.*kind.amount : std::nullopt;
      if (!parent && std::string(kind.name) == "cores" && settings.totalCores > 0)
        given = settings.totalCores;
      auto all = sum.*kind.amount;
      if (!given || !all || *all <= *given * (1 + 1e-9))
        continue;
      std::string key = "cores";
      for (size_t i = 0; parent && i < settings.entries.size(); ++i)
        if (&settings.entries[i] == parent)
          key = "nodes[" + std::to_string(i) + "].guarantee." + kind.name;
      errors.push_back({key, "is " + text(*given) + ", but " + text(*all) +
                                 " are guaranteed below it; guarantees must fit into what there is"});
    }
  }
  checkTerms("default", settings.defaults, errors);
  if (!(settings.agedShare > 0 && settings.agedShare < 1))
    errors.push_back({"agedPart", "is " + text(settings.agedShare) + "; it must be above 0 and below 1"});
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
