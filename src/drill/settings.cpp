#include "settings.h"

namespace elmcleat::drill {
namespace {

const Json& part(const Json& config, const char* name) {
  static const Json none = Json::object();
  auto found = config.find(name);
  return found == config.end() || found->is_null() ? none : *found;
}

Profile readProfile(const Json& row) {
  Profile profile;
  profile.name = row.at("name").get<std::string>();
  profile.effect = named<Effect>(field<std::string>(row, "repeat", "idempotent"),
                                 {{"idempotent", Effect::replayable},
                                  {"deduplicated", Effect::uniqued},
                                  {"at_most_once", Effect::nonReplayable}});
  profile.group = named<Group>(field<std::string>(row, "group", "all"),
                               {{"all", Group::all}, {"zone", Group::zone}, {"cell", Group::cell}});
  profile.memorySpan = seconds(row, "memorySpanUs");
  profile.target = seconds(row, "aimUs");
  profile.targetStretch = field(row, "aimStretch", 0.0);
  profile.clientTimeout = seconds(row, "deadlineUs");
  profile.benefit = field(row, "value", 1.0);
  profile.lateShare = field(row, "lateWorth", 0.0);
  profile.ordered = field(row, "sequential", false);
  profile.zonesOpen = field(row, "localitiesOpen", std::vector<std::string>{});
  profile.kindsOpen = field(row, "flavorsOpen", std::vector<std::string>{});
  return profile;
}

}  // namespace

Settings readSettings(const Json& config) {
  Settings settings;
  settings.gateways = field(config, "balancers", 1);
  settings.zone = field<std::string>(config, "zone", "");
  for (auto& row : part(config, "classes")) settings.profiles.push_back(readProfile(row));
  for (auto& row : part(config, "accounts"))
    settings.tenants.push_back(
        {row.at("name").get<std::string>(), field(row, "fraction", 1.0), field(row, "quotaPerS", 0.0)});

  const Json& specifics = part(config, "specifics");
  auto threads = field(specifics, "dop", std::vector<int>{});
  auto loads = field(specifics, "isLoad", std::vector<bool>{});
  auto yields = field(specifics, "yieldsToLoads", std::vector<bool>{});
  for (size_t i = 0; i < settings.profiles.size(); ++i) {
    if (i < threads.size()) settings.profiles[i].threads = threads[i];
    if (i < loads.size()) settings.profiles[i].load = loads[i];
    if (i < yields.size()) settings.profiles[i].yields = yields[i];
  }
  auto kinds = field(config, "flavors", std::vector<std::string>{});
  auto cores = field(specifics, "kindCores", std::vector<double>{});
  auto memory = field(specifics, "memoryByKindMb", std::vector<double>{});
  for (size_t i = 0; i < kinds.size(); ++i)
    settings.kinds.push_back(
        {kinds[i], i < cores.size() ? cores[i] : 1.0, i < memory.size() ? memory[i] : 0.0});
  settings.grants = field(specifics, "memoryHeeded", false);
  settings.priorities = field(specifics, "ranksHeeded", false);
  settings.maxGrantShare = field(specifics, "maxGrantShare", 1.0);
  settings.shortMemory = named<ShortMemory>(
      field<std::string>(specifics, "outOfMemory", "line_up"),
      {{"line_up", ShortMemory::lineUp}, {"cut", ShortMemory::cut}, {"overcommit", ShortMemory::overcommit}});

  settings.overShareWorth = field(config, "overShareWorth", 1.0);
  settings.crossZoneCharge = field(part(config, "charges"), "crossZone", 0.0);
  settings.askForList = field<std::string>(config, "membershipMode", "pushed") == "on_request";

  const Json& rules = part(config, "rules");
  settings.drainGrace = seconds(rules, "drainGraceUs");
  settings.coldFrom = field(rules, "coldFrom", 1.0);
  settings.coldTime = seconds(rules, "coldUs");
  settings.fallMultiple = field(rules, "fallMultiple", 0.0);
  settings.fallTime = seconds(rules, "fallUs");
  settings.keyQuiet = seconds(rules, "keyQuietUs");
  settings.furtherSpan = seconds(rules, "resendSpanUs");
  settings.furtherFree = field(rules, "spareAttempts", 0.0);
  settings.furtherShare = field(rules, "furtherRatio", 0.0);

  const Json& limits = part(config, "limits");
  settings.maxSends = field(limits, "maxAttempts", 1);
  settings.cancel = field(limits, "cancel", false);
  settings.probing = field(limits, "probing", false);
  settings.retryAfter = field(limits, "retryAfter", false);
  settings.maxRetryAfter = seconds(limits, "maxRetryAfterUs");
  return settings;
}

}  // namespace elmcleat::drill
