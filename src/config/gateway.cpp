#include "config/gateway.h"

#include <algorithm>

#include "gateway_schema.h"  // made from schemas/ when the program is built

namespace elmcleat {
namespace {

budget::Amounts readAmounts(const Section& section) {
  budget::Amounts amounts;
  if (section.has("cores"))
    amounts.cores = section.need<double>("cores");
  if (section.has("memoryMb"))
    amounts.memoryMb = section.need<double>("memoryMb");
  if (section.has("sends"))
    amounts.sends = section.need<double>("sends");
  return amounts;
}

budget::Terms readTerms(const Section& section, const budget::Terms& otherwise) {
  budget::Terms terms = otherwise;
  terms.guarantee = readAmounts(section.part("guarantee"));
  if (section.has("ceiling"))
    terms.ceiling = readAmounts(section.part("ceiling"));
  terms.burst = section.get("burstS", otherwise.burst);
  terms.weight = section.get("weight", otherwise.weight);
  terms.priority = section.get("priority", otherwise.priority);
  terms.ageAfter = section.get("ageAfterS", otherwise.ageAfter);
  return terms;
}

}  // namespace

budget::Plan readBudgets(const Section& section) {
  budget::Plan plan;
  plan.cores = section.get("cores", plan.cores);
  plan.actor = section.get("actor", plan.actor);
  plan.maxNodes = section.get("maxNodes", plan.maxNodes);
  plan.idle = section.get("idleS", plan.idle);
  plan.agedPart = section.get("agedPart", plan.agedPart);
  plan.yield = section.get("yieldS", plan.yield);
  plan.preempt = section.word<budget::Preempt>("preempt", "lower",
                                               {{"off", budget::Preempt::off},
                                                {"lower", budget::Preempt::lower},
                                                {"cancel", budget::Preempt::cancel}});
  plan.preemptAfter = section.get("preemptAfterS", plan.preemptAfter);
  plan.tellWaits = section.get("tellWaits", plan.tellWaits);
  plan.otherwise = readTerms(section.part("default"), plan.otherwise);
  for (auto& row : section.rows("nodes"))
    plan.entries.push_back(
        {row.need<std::string>("name"), row.get<std::string>("parent", ""), readTerms(row, plan.otherwise)});
  return plan;
}

members::Plan readMembers(const Section& section) {
  members::Plan plan;
  plan.fleet = section.need<std::string>("fleet");
  for (auto& row : section.rows("peers")) {
    members::Peer peer{row.need<std::string>("name"), {}};
    // What is no address is told below, with all other faults.
    peer.at = readAddress(row.need<std::string>("at")).value_or(Address{});
    plan.peers.push_back(peer);
  }
  plan.period = section.get("periodS", plan.period);
  plan.suspectLeast = section.get("suspectLeastS", plan.suspectLeast);
  plan.suspectMost = section.get("suspectMostS", plan.suspectMost);
  plan.longestPromise = section.get("longestPromiseS", plan.longestPromise);
  return plan;
}

shared::LoanTerms readShared(const Section& section, int members, const budget::Plan& budgets) {
  shared::LoanTerms terms;
  terms.members = members;
  terms.kept = section.get("keptPart", terms.kept);
  terms.length = section.get("loanS", terms.length), terms.guard = section.get("guardS", terms.guard);
  for (auto& rate : budget::fleetRates(budgets))
    terms.amounts.push_back(rate.cores);
  return terms;
}

view::Plan readView(const Section& section) {
  view::Plan plan;
  plan.users = section.get("users", plan.users);
  plan.mostUsers = section.get("mostUsers", std::max(plan.mostUsers, plan.users));
  plan.least = section.get("least", plan.least);
  plan.usablePart = section.get("usablePart", plan.usablePart);
  plan.narrowAfter = section.get("narrowAfterS", plan.narrowAfter);
  return plan;
}

GatewayConfig readGateway(const Json& document, const std::string& path) {
  auto faults = schemaFaults(document, kGatewaySchema, path);
  GatewayConfig config;
  // Each section by itself; what is of a wrong type the schema has told, and better.
  auto read = [&](const char* name, auto&& section) {
    if (!document.is_object() || !document.contains(name))
      return;
    try {
      section(Section(document[name], name));
    } catch (const std::invalid_argument& fault) {
      if (faults.empty())
        faults.push_back(path + ": " + fault.what());
    } catch (const Json::exception& fault) {
      if (faults.empty())
        faults.push_back(path + ": " + name + ": " + fault.what());
    }
  };
  read("budgets", [&](const Section& section) {
    config.budgets = readBudgets(section);
    for (auto& fault : budget::faultsOf(*config.budgets))
      faults.push_back(path + ": budgets." + fault.key + ": " + fault.why);
  });
  read("members", [&](const Section& section) {
    config.members = readMembers(section);
    auto rows = section.rows("peers");
    for (size_t i = 0; i < rows.size(); ++i)
      if (auto at = rows[i].need<std::string>("at"); !readAddress(at))
        faults.push_back(path + ": " + rows[i].nameOf("at") + ": found '" + at +
                         "'; allowed is an IPv4 address and a port");
    for (auto& flaw : members::flawsOf(*config.members))
      faults.push_back(path + ": members." + flaw.key + ": " + flaw.why);
  });
  read("shared", [&](const Section& section) {
    if (!config.members || !config.budgets) {
      faults.push_back(path +
                       ": shared: needs the sections members and budgets: they say with whom and what");
      return;
    }
    config.shared = readShared(section, int(config.members->peers.size()), *config.budgets);
    for (auto& flaw : shared::flawsOf(*config.shared))
      faults.push_back(path + ": shared." + flaw.key + ": " + flaw.why);
    if (config.shared->length + 2 * config.shared->guard > config.members->longestPromise)
      faults.push_back(path + ": shared.loanS: with its guards it is longer than members.longestPromiseS");
    if (config.shared->amounts.empty())
      faults.push_back(path +
                       ": shared: budgets name no guarantee and no ceiling in cores: nothing is shared");
  });
  read("view", [&](const Section& section) {
    config.view = readView(section);
    for (auto& flaw : view::flawsOf(*config.view))
      faults.push_back(path + ": view." + flaw.key + ": " + flaw.why);
  });
  if (!faults.empty())
    throw Faults(std::move(faults));
  return config;
}

GatewayConfig readGateway(const std::string& path) { return readGateway(readJson(path), path); }

}  // namespace elmcleat
