#include "config/settings.h"

namespace elmcleat {
namespace {

using Names = std::vector<std::string>;

Profile readProfile(const Section& row) {
  Profile profile;
  profile.name = row.need<std::string>("name");
  profile.effect = row.word<Effect>("repeat", "idempotent",
                                    {{"idempotent", Effect::replayable},
                                     {"deduplicated", Effect::uniqued},
                                     {"at_most_once", Effect::nonReplayable}});
  profile.group =
      row.word<Group>("group", "all", {{"all", Group::all}, {"zone", Group::zone}, {"cell", Group::cell}});
  profile.memorySpan = row.seconds("memorySpanUs");
  profile.target = row.seconds("aimUs");
  profile.targetStretch = row.get("aimStretch", 0.0);
  profile.clientTimeout = row.seconds("deadlineUs");
  profile.benefit = row.get("value", 1.0);
  profile.lateShare = row.get("lateWorth", 0.0);
  profile.ordered = row.get("sequential", false);
  profile.zonesOpen = row.get("localitiesOpen", Names{});
  profile.kindsOpen = row.get("flavorsOpen", Names{});
  return profile;
}

}  // namespace

Settings readSettings(const Section& config) {
  Settings settings;
  settings.gateways = config.get("balancers", 1);
  settings.ordinal = config.get("ordinal", -1);
  settings.zone = config.get<std::string>("zone", "");
  for (auto& row : config.rows("classes"))
    settings.profiles.push_back(readProfile(row));
  for (auto& row : config.rows("accounts"))
    settings.tenants.push_back(
        {row.need<std::string>("name"), row.get("fraction", 1.0), row.get("quotaPerS", 0.0)});

  const Section specifics = config.part("specifics");
  auto threads = specifics.get("dop", std::vector<int>{});
  auto loads = specifics.get("isLoad", std::vector<bool>{});
  auto yields = specifics.get("yieldsToLoads", std::vector<bool>{});
  for (size_t i = 0; i < settings.profiles.size(); ++i) {
    if (i < threads.size())
      settings.profiles[i].threads = threads[i];
    if (i < loads.size())
      settings.profiles[i].load = loads[i];
    if (i < yields.size())
      settings.profiles[i].yields = yields[i];
  }
  auto kinds = config.get("flavors", Names{});
  auto cores = specifics.get("kindCores", std::vector<double>{});
  auto memory = specifics.get("memoryByKindMb", std::vector<double>{});
  for (size_t i = 0; i < kinds.size(); ++i)
    settings.kinds.push_back(
        {kinds[i], i < cores.size() ? cores[i] : 1.0, i < memory.size() ? memory[i] : 0.0});
  settings.grants = specifics.get("memoryHeeded", false);
  settings.priorities = specifics.get("ranksHeeded", false);
  settings.maxGrantShare = specifics.get("maxGrantShare", 1.0);
  settings.shortMemory = specifics.word<ShortMemory>(
      "outOfMemory", "line_up",
      {{"line_up", ShortMemory::lineUp}, {"cut", ShortMemory::cut}, {"overcommit", ShortMemory::overcommit}});

  settings.overShareWorth = config.get("overShareWorth", 1.0);
  settings.crossZoneCharge = config.part("charges").get("crossZone", 0.0);
  settings.askForList = config.get<std::string>("membershipMode", "pushed") == "on_request";

  const Section rules = config.part("rules");
  settings.drainGrace = rules.seconds("drainGraceUs");
  settings.coldFrom = rules.get("coldFrom", 1.0);
  settings.coldTime = rules.seconds("coldUs");
  settings.fallMultiple = rules.get("fallMultiple", 0.0);
  settings.fallTime = rules.seconds("fallUs");
  settings.keyQuiet = rules.seconds("keyQuietUs");
  settings.furtherSpan = rules.seconds("resendSpanUs");
  settings.furtherFree = rules.get("spareAttempts", 0.0);
  settings.furtherShare = rules.get("furtherRatio", 0.0);

  const Section limits = config.part("limits");
  settings.maxSends = limits.get("maxAttempts", 1);
  settings.cancel = limits.get("cancel", false);
  settings.probing = limits.get("probing", false);
  settings.retryAfter = limits.get("retryAfter", false);
  settings.maxRetryAfter = limits.seconds("maxRetryAfterUs");
  return settings;
}

LinkSettings readLinkSettings(const Section& config) {
  LinkSettings links;
  links.zones = config.need<Names>("localities");
  links.kinds = config.need<Names>("flavors");
  const Section limits = config.part("limits");
  links.sendsPerConnection = limits.need<int>("streamsPerConn");
  if (links.sendsPerConnection < 1)
    limits.fault("streamsPerConn", "must be at least 1");
  auto span = [&](const char* key) {
    limits.need<double>(key);
    double time = limits.seconds(key);
    if (!(time > 0))
      limits.fault(key, "must be above 0");
    return time;
  };
  links.connectTimeout = span("connectTimeoutUs");
  links.idle = span("connIdleUs");
  links.noteEvery = config.part("specifics").seconds("progressPaceUs");
  links.reports = config.part("report").get<std::string>("how", "off") != "off";
  return links;
}

}  // namespace elmcleat
