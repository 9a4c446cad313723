#include "config/settings.h"

namespace elmcleat {
namespace {

using Names = std::vector<std::string>;

Profile readProfile(const Section& row) {
  Profile profile;
  profile.name = row.need<std::string>("name");
  profile.retrySafety = row.word<RetrySafety>("repeat", "idempotent",
                                              {{"idempotent", RetrySafety::replayable},
                                               {"deduplicated", RetrySafety::deduplicated},
                                               {"at_most_once", RetrySafety::nonReplayable}});
  profile.deduplicationScope = row.word<DeduplicationScope>("group", "all",
                                                            {{"all", DeduplicationScope::all},
                                                             {"zone", DeduplicationScope::zone},
                                                             {"cell", DeduplicationScope::cell}});
  profile.deduplicationWindow = row.seconds("memorySpanUs");
  profile.latencyTarget = row.seconds("aimUs");
  profile.latencyTargetStretch = row.get("aimStretch", 0.0);
  profile.clientTimeout = row.seconds("deadlineUs");
  profile.benefit = row.get("value", 1.0);
  profile.lateBenefitShare = row.get("lateWorth", 0.0);
  profile.ordered = row.get("sequential", false);
  profile.allowedZones = row.get("localitiesOpen", Names{});
  profile.allowedKinds = row.get("flavorsOpen", Names{});
  return profile;
}

}  // namespace

Settings readSettings(const Section& config) {
  Settings settings;
  settings.gatewayCount = config.get("balancers", 1);
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
      settings.profiles[i].bulkLoad = loads[i];
    if (i < yields.size())
      settings.profiles[i].yieldsToBulkLoads = yields[i];
  }
  auto kinds = config.get("flavors", Names{});
  auto cores = specifics.get("kindCores", std::vector<double>{});
  auto memory = specifics.get("memoryByKindMb", std::vector<double>{});
  for (size_t i = 0; i < kinds.size(); ++i)
    settings.engineKinds.push_back(
        {kinds[i], i < cores.size() ? cores[i] : 1.0, i < memory.size() ? memory[i] : 0.0});
  settings.memoryGrantsSupported = specifics.get("memoryHeeded", false);
  settings.prioritiesSupported = specifics.get("ranksHeeded", false);
  settings.maxMemoryGrantShare = specifics.get("maxGrantShare", 1.0);
  settings.memoryShortagePolicy =
      specifics.word<MemoryShortagePolicy>("outOfMemory", "line_up",
                                           {{"line_up", MemoryShortagePolicy::queue},
                                            {"cut", MemoryShortagePolicy::reduceGrant},
                                            {"overcommit", MemoryShortagePolicy::overcommit}});

  settings.overShareBenefitFactor = config.get("overShareWorth", 1.0);
  settings.crossZoneCost = config.part("charges").get("crossZone", 0.0);
  settings.engineListOnRequest = config.get<std::string>("membershipMode", "pushed") == "on_request";

  const Section rules = config.part("rules");
  settings.drainGracePeriod = rules.seconds("drainGraceUs");
  settings.coldCapacity = rules.get("coldFrom", 1.0);
  settings.coldDuration = rules.seconds("coldUs");
  settings.coldOverloadFactor = rules.get("fallMultiple", 0.0);
  settings.coldOverloadWindow = rules.seconds("fallUs");
  settings.keyQuietPeriod = rules.seconds("keyQuietUs");
  settings.retryBudgetWindow = rules.seconds("resendSpanUs");
  settings.retryBudgetMinimum = rules.get("spareAttempts", 0.0);
  settings.retryBudgetRatio = rules.get("furtherRatio", 0.0);

  const Section limits = config.part("limits");
  settings.maxSends = limits.get("maxAttempts", 1);
  settings.cancelSupported = limits.get("cancel", false);
  settings.probingSupported = limits.get("probing", false);
  settings.retryAfterSupported = limits.get("retryAfter", false);
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
