#include "budget/plan.h"

#include <map>
#include <set>
#include <sstream>

namespace elmcleat::budget {
namespace {

const Entry* entryOf(const Plan& plan, const std::string& name) {
  for (auto& entry : plan.entries)
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
  std::optional<double> Amounts::*amount;
};
constexpr Kind kKinds[] = {
    {"cores", &Amounts::cores}, {"memoryMb", &Amounts::memoryMb}, {"sends", &Amounts::sends}};

void checkTerms(const std::string& key, const Terms& terms, std::vector<Fault>& faults) {
  for (auto& kind : kKinds) {
    auto least = terms.guarantee.*kind.amount, most = terms.ceiling.*kind.amount;
    for (auto& [part, amount] : {std::pair("guarantee", least), std::pair("ceiling", most)})
      if (amount && !(std::isfinite(*amount) && *amount >= 0))
        faults.push_back({key + "." + part + "." + kind.name,
                          "is " + text(*amount) + "; it must be a finite number of at least 0"});
    if (least && most && *most < *least)
      faults.push_back({key + ".ceiling." + kind.name, "is " + text(*most) + ", below the guarantee of " +
                                                           text(*least) + "; it must be at least that"});
  }
  auto above = [&](const char* name, double value) {
    if (!(std::isfinite(value) && value > 0))
      faults.push_back({key + "." + name, "is " + text(value) + "; it must be a finite number above 0"});
  };
  above("burst", terms.burst), above("weight", terms.weight), above("ageAfter", terms.ageAfter);
}

}  // namespace

const Entry* parentOf(const Plan& plan, const Entry& entry) {
  return entryOf(plan, entry.parent.empty() ? pathParent(entry.name) : entry.parent);
}

std::vector<Fault> faultsOf(const Plan& plan) {
  std::vector<Fault> faults;
  std::map<const Entry*, Amounts> below;  // guarantees summed by parent; the root's under no entry
  std::set<std::string> names;
  for (size_t i = 0; i < plan.entries.size(); ++i) {
    const Entry& entry = plan.entries[i];
    std::string key = "nodes[" + std::to_string(i) + "]";
    checkTerms(key, entry.terms, faults);
    if (!names.insert(entry.name).second) {
      faults.push_back({key + ".name", "'" + entry.name + "' is there already; names must differ"});
      continue;
    }
    std::string wanted = entry.parent.empty() ? pathParent(entry.name) : entry.parent;
    const Entry* parent = entryOf(plan, wanted);
    if (!wanted.empty() && !parent) {
      faults.push_back({key + (entry.parent.empty() ? ".name" : ".parent"),
                        "'" + wanted + "' is no node; it must be the name of another entry"});
      continue;
    }
    bool cycle = false;
    const Entry* above = parent;
    for (size_t steps = 0; above && !cycle; ++steps, above = parentOf(plan, *above))
      cycle = above == &entry || steps > plan.entries.size();
    if (cycle) {
      faults.push_back(
          {key + ".parent", "'" + entry.name + "' stands above itself; parents must not go round"});
      continue;
    }
    for (auto& kind : kKinds)
      if (auto amount = entry.terms.guarantee.*kind.amount) {
        auto& sum = below[parent].*kind.amount;
        sum = sum.value_or(0) + *amount;
      }
  }
  for (auto& [parent, sum] : below) {
    for (auto& kind : kKinds) {
      auto given = parent ? parent->terms.guarantee.*kind.amount : std::nullopt;
      if (!parent && std::string(kind.name) == "cores" && plan.cores > 0)
        given = plan.cores;
      auto all = sum.*kind.amount;
      if (!given || !all || *all <= *given * (1 + 1e-9))
        continue;
      std::string key = "cores";
      for (size_t i = 0; parent && i < plan.entries.size(); ++i)
        if (&plan.entries[i] == parent)
          key = "nodes[" + std::to_string(i) + "].guarantee." + kind.name;
      faults.push_back({key, "is " + text(*given) + ", but " + text(*all) +
                                 " are guaranteed below it; guarantees must fit into what there is"});
    }
  }
  checkTerms("default", plan.otherwise, faults);
  if (!(plan.agedPart > 0 && plan.agedPart < 1))
    faults.push_back({"agedPart", "is " + text(plan.agedPart) + "; it must be above 0 and below 1"});
  return faults;
}

std::vector<FleetRate> fleetRates(const Plan& plan) {
  std::vector<FleetRate> rates;
  for (auto& [name, parent, terms] : plan.entries) {
    if (terms.guarantee.cores.value_or(0) > 0)
      rates.push_back({name, false, *terms.guarantee.cores});
    if (terms.ceiling.cores.value_or(0) > 0)
      rates.push_back({name, true, *terms.ceiling.cores});
  }
  return rates;
}

}  // namespace elmcleat::budget
