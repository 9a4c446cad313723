#include "config/gateway_config.h"

#include <algorithm>

#include "gateway_schema.h"  // generated from schemas/ by the build

namespace elmcleat {
namespace {

budget::ResourceAmounts readAmounts(const Section& section) {
  budget::ResourceAmounts amounts;
  if (section.has("cores"))
    amounts.cores = section.required<double>("cores");
  if (section.has("memoryMb"))
    amounts.memoryMb = section.required<double>("memoryMb");
  if (section.has("sends"))
    amounts.sends = section.required<double>("sends");
  return amounts;
}

// The settings of one budget node; absent keys keep the defaults, but the guarantee is never inherited.
budget::NodeSettings readNodeSettings(const Section& section, const budget::NodeSettings& defaults) {
  budget::NodeSettings settings = defaults;
  settings.guarantee = readAmounts(section.subsection("guarantee"));
  if (section.has("ceiling"))
    settings.ceiling = readAmounts(section.subsection("ceiling"));
  settings.burst = section.get("burstS", defaults.burst);
  settings.weight = section.get("weight", defaults.weight);
  settings.priority = section.get("priority", defaults.priority);
  settings.agingThreshold = section.get("ageAfterS", defaults.agingThreshold);
  return settings;
}

}  // namespace

budget::BudgetSettings readBudgetSettings(const Section& section) {
  budget::BudgetSettings settings;
  settings.totalCores = section.get("cores", settings.totalCores);
  settings.actorHeader = section.get("actor", settings.actorHeader);
  settings.maxNodes = section.get("maxNodes", settings.maxNodes);
  settings.idleTimeout = section.get("idleS", settings.idleTimeout);
  settings.agedShare = section.get("agedPart", settings.agedShare);
  settings.borrowerYieldTime = section.get("yieldS", settings.borrowerYieldTime);
  settings.preemptionMode =
      section.choice<budget::PreemptionMode>("preempt", "lower",
                                             {{"off", budget::PreemptionMode::off},
                                              {"lower", budget::PreemptionMode::lowerPriority},
                                              {"cancel", budget::PreemptionMode::cancel}});
  settings.preemptionDelay = section.get("preemptAfterS", settings.preemptionDelay);
  settings.adviseRetryAfter = section.get("tellWaits", settings.adviseRetryAfter);
  settings.defaults = readNodeSettings(section.subsection("default"), settings.defaults);
  for (auto& node : section.items("nodes"))
    settings.entries.push_back({node.required<std::string>("name"), node.get<std::string>("parent", ""),
                                readNodeSettings(node, settings.defaults)});
  return settings;
}

members::MembershipSettings readMembershipSettings(const Section& section) {
  members::MembershipSettings settings;
  settings.fleet = section.required<std::string>("fleet");
  for (auto& item : section.items("peers")) {
    members::Peer peer{item.required<std::string>("name"), {}};
    // readGatewayConfig() reports an invalid address, together with all other errors.
    peer.address = parseAddress(item.required<std::string>("at")).value_or(Address{});
    settings.peers.push_back(peer);
  }
  settings.probeInterval = section.get("periodS", settings.probeInterval);
  settings.minSuspicionTime = section.get("suspectLeastS", settings.minSuspicionTime);
  settings.maxSuspicionTime = section.get("suspectMostS", settings.maxSuspicionTime);
  settings.maxPromiseDuration = section.get("longestPromiseS", settings.maxPromiseDuration);
  return settings;
}

shared::LeaseSettings readLeaseSettings(const Section& section, int memberCount,
                                        const budget::BudgetSettings& budgets) {
  shared::LeaseSettings settings;
  settings.memberCount = memberCount;
  settings.reservedShare = section.get("keptPart", settings.reservedShare);
  settings.leaseDuration = section.get("loanS", settings.leaseDuration);
  settings.guardTime = section.get("guardS", settings.guardTime);
  for (auto& rate : budget::fleetRates(budgets))
    settings.quotas.push_back(rate.cores);
  return settings;
}

view::SubsetSettings readSubsetSettings(const Section& section) {
  view::SubsetSettings settings;
  settings.usersPerEngine = section.get("users", settings.usersPerEngine);
  settings.maxUsersPerEngine =
      section.get("mostUsers", std::max(settings.maxUsersPerEngine, settings.usersPerEngine));
  settings.minEnginesPerClass = section.get("least", settings.minEnginesPerClass);
  settings.minUsableShare = section.get("usablePart", settings.minUsableShare);
  settings.narrowingDelay = section.get("narrowAfterS", settings.narrowingDelay);
  return settings;
}

GatewayConfig readGatewayConfig(const Json& document, const std::string& path) {
  auto errors = validateSchema(document, kGatewaySchema, path);
  GatewayConfig config;
  // Reads one section. Where the schema has found errors already, a value of the wrong type is among them, so
  // it is not reported again.
  auto readSection = [&](const char* name, auto&& reader) {
    if (!document.is_object() || !document.contains(name))
      return;
    try {
      reader(Section(document[name], name));
    } catch (const std::invalid_argument& error) {
      if (errors.empty())
        errors.push_back(path + ": " + error.what());
    } catch (const Json::exception& error) {
      if (errors.empty())
        errors.push_back(path + ": " + name + ": " + error.what());
    }
  };
  readSection("budgets", [&](const Section& section) {
    config.budgets = readBudgetSettings(section);
    for (auto& error : budget::validate(*config.budgets))
      errors.push_back(path + ": budgets." + error.key + ": " + error.message);
  });
  readSection("members", [&](const Section& section) {
    config.members = readMembershipSettings(section);
    auto peers = section.items("peers");
    for (size_t i = 0; i < peers.size(); ++i)
      if (auto address = peers[i].required<std::string>("at"); !parseAddress(address))
        errors.push_back(path + ": " + peers[i].pathOf("at") + ": found '" + address +
                         "'; allowed is an IPv4 address and a port");
    for (auto& error : members::validate(*config.members))
      errors.push_back(path + ": members." + error.key + ": " + error.message);
  });
  readSection("shared", [&](const Section& section) {
    if (!config.members || !config.budgets) {
      errors.push_back(
          path +
          ": shared: needs the sections members and budgets, which name the peers and the amounts to share");
      return;
    }
    config.leases = readLeaseSettings(section, int(config.members->peers.size()), *config.budgets);
    for (auto& error : shared::validate(*config.leases))
      errors.push_back(path + ": shared." + error.key + ": " + error.message);
    if (config.leases->leaseDuration + 2 * config.leases->guardTime > config.members->maxPromiseDuration)
      errors.push_back(path + ": shared.loanS: with two guard times it exceeds members.longestPromiseS");
    if (config.leases->quotas.empty())
      errors.push_back(
          path +
          ": shared: budgets define no guarantee and no ceiling in cores, so there is nothing to share");
  });
  readSection("view", [&](const Section& section) {
    config.subset = readSubsetSettings(section);
    for (auto& error : view::validate(*config.subset))
      errors.push_back(path + ": view." + error.key + ": " + error.message);
  });
  if (!errors.empty())
    throw ValidationErrors(std::move(errors));
  return config;
}

GatewayConfig readGatewayConfig(const std::string& path) { return readGatewayConfig(readJson(path), path); }

}  // namespace elmcleat
