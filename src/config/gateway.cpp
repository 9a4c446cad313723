#include "config/gateway.h"

#include <algorithm>

#include "gateway_schema.h"  // made from schemas/ when the program is built

namespace elmcleat {
namespace {

budget::ResourceAmounts readAmounts(const Section& section) {
  budget::ResourceAmounts amounts;
  if (section.has("cores"))
    amounts.cores = section.need<double>("cores");
  if (section.has("memoryMb"))
    amounts.memoryMb = section.need<double>("memoryMb");
  if (section.has("sends"))
    amounts.sends = section.need<double>("sends");
  return amounts;
}

budget::NodeSettings readTerms(const Section& section, const budget::NodeSettings& otherwise) {
  budget::NodeSettings terms = otherwise;
  terms.guarantee = readAmounts(section.part("guarantee"));
  if (section.has("ceiling"))
    terms.ceiling = readAmounts(section.part("ceiling"));
  terms.burst = section.get("burstS", otherwise.burst);
  terms.weight = section.get("weight", otherwise.weight);
  terms.priority = section.get("priority", otherwise.priority);
  terms.agingThreshold = section.get("ageAfterS", otherwise.agingThreshold);
  return terms;
}

}  // namespace

budget::BudgetSettings readBudgets(const Section& section) {
  budget::BudgetSettings plan;
  plan.totalCores = section.get("cores", plan.totalCores);
  plan.actorHeader = section.get("actor", plan.actorHeader);
  plan.maxNodes = section.get("maxNodes", plan.maxNodes);
  plan.idleTimeout = section.get("idleS", plan.idleTimeout);
  plan.agedShare = section.get("agedPart", plan.agedShare);
  plan.borrowerYieldTime = section.get("yieldS", plan.borrowerYieldTime);
  plan.preemptionMode =
      section.word<budget::PreemptionMode>("preempt", "lower",
                                           {{"off", budget::PreemptionMode::off},
                                            {"lower", budget::PreemptionMode::lowerPriority},
                                            {"cancel", budget::PreemptionMode::cancel}});
  plan.preemptionDelay = section.get("preemptAfterS", plan.preemptionDelay);
  plan.adviseRetryAfter = section.get("tellWaits", plan.adviseRetryAfter);
  plan.defaults = readTerms(section.part("default"), plan.defaults);
  for (auto& row : section.rows("nodes"))
    plan.entries.push_back(
        {row.need<std::string>("name"), row.get<std::string>("parent", ""), readTerms(row, plan.defaults)});
  return plan;
}

members::MembershipSettings readMembers(const Section& section) {
  members::MembershipSettings plan;
  plan.fleet = section.need<std::string>("fleet");
  for (auto& row : section.rows("peers")) {
    members::Peer peer{row.need<std::string>("name"), {}};
    // What is no address is told below, with all other faults.
    peer.address = readAddress(row.need<std::string>("at")).value_or(Address{});
    plan.peers.push_back(peer);
  }
  plan.probeInterval = section.get("periodS", plan.probeInterval);
  plan.minSuspicionTime = section.get("suspectLeastS", plan.minSuspicionTime);
  plan.maxSuspicionTime = section.get("suspectMostS", plan.maxSuspicionTime);
  plan.maxPromiseDuration = section.get("longestPromiseS", plan.maxPromiseDuration);
  return plan;
}

shared::LeaseSettings readShared(const Section& section, int members, const budget::BudgetSettings& budgets) {
  shared::LeaseSettings terms;
  terms.memberCount = members;
  terms.reservedShare = section.get("keptPart", terms.reservedShare);
  terms.leaseDuration = section.get("loanS", terms.leaseDuration),
  terms.guardTime = section.get("guardS", terms.guardTime);
  for (auto& rate : budget::fleetRates(budgets))
    terms.quotas.push_back(rate.cores);
  return terms;
}

view::SubsetSettings readView(const Section& section) {
  view::SubsetSettings plan;
  plan.usersPerEngine = section.get("users", plan.usersPerEngine);
  plan.maxUsersPerEngine = section.get("mostUsers", std::max(plan.maxUsersPerEngine, plan.usersPerEngine));
  plan.minEnginesPerClass = section.get("least", plan.minEnginesPerClass);
  plan.minUsableShare = section.get("usablePart", plan.minUsableShare);
  plan.narrowingDelay = section.get("narrowAfterS", plan.narrowingDelay);
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
    for (auto& fault : budget::validate(*config.budgets))
      faults.push_back(path + ": budgets." + fault.key + ": " + fault.message);
  });
  read("members", [&](const Section& section) {
    config.members = readMembers(section);
    auto rows = section.rows("peers");
    for (size_t i = 0; i < rows.size(); ++i)
      if (auto at = rows[i].need<std::string>("at"); !readAddress(at))
        faults.push_back(path + ": " + rows[i].nameOf("at") + ": found '" + at +
                         "'; allowed is an IPv4 address and a port");
    for (auto& flaw : members::validate(*config.members))
      faults.push_back(path + ": members." + flaw.key + ": " + flaw.message);
  });
  read("shared", [&](const Section& section) {
    if (!config.members || !config.budgets) {
      faults.push_back(path +
                       ": shared: needs the sections members and budgets: they say with whom and what");
      return;
    }
    config.shared = readShared(section, int(config.members->peers.size()), *config.budgets);
    for (auto& flaw : shared::validate(*config.shared))
      faults.push_back(path + ": shared." + flaw.key + ": " + flaw.message);
    if (config.shared->leaseDuration + 2 * config.shared->guardTime > config.members->maxPromiseDuration)
      faults.push_back(path + ": shared.loanS: with its guards it is longer than members.longestPromiseS");
    if (config.shared->quotas.empty())
      faults.push_back(path +
                       ": shared: budgets name no guarantee and no ceiling in cores: nothing is shared");
  });
  read("view", [&](const Section& section) {
    config.view = readView(section);
    for (auto& flaw : view::validate(*config.view))
      faults.push_back(path + ": view." + flaw.key + ": " + flaw.message);
  });
  if (!faults.empty())
    throw Faults(std::move(faults));
  return config;
}

GatewayConfig readGateway(const std::string& path) { return readGateway(readJson(path), path); }

}  // namespace elmcleat
