#include "config/settings.h"

namespace elmcleat {
namespace {

using Names = std::vector<std::string>;

Profile readProfile(const Section& row) {
  Profile profile;
  profile.name = row.required<std::string>("name");
  profile.retrySafety = row.choice<RetrySafety>("repeat", "idempotent",
                                                {{"idempotent", RetrySafety::replayable},
                                                 {"deduplicated", RetrySafety::deduplicated},
                                                 {"at_most_once", RetrySafety::nonReplayable}});
  profile.deduplicationScope = row.choice<DeduplicationScope>("group", "all",
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
  for (auto& row : config.items("classes"))
    settings.profiles.push_back(readProfile(row));
  for (auto& row : config.items("accounts"))
    settings.tenants.push_back(
        {row.required<std::string>("name"), row.get("fraction", 1.0), row.get("quotaPerS", 0.0)});

  const Section specifics = config.subsection("specifics");
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
      specifics.choice<MemoryShortagePolicy>("outOfMemory", "line_up",
                                             {{"line_up", MemoryShortagePolicy::queue},
                                              {"cut", MemoryShortagePolicy::reduceGrant},
                                              {"overcommit", MemoryShortagePolicy::overcommit}});

  settings.overShareBenefitFactor = config.get("overShareWorth", 1.0);
  settings.crossZoneCost = config.subsection("charges").get("crossZone", 0.0);
  settings.engineListOnRequest = config.get<std::string>("membershipMode", "pushed") == "on_request";

  const Section rules = config.subsection("rules");
  settings.drainGracePeriod = rules.seconds("drainGraceUs");
  settings.coldCapacity = rules.get("coldFrom", 1.0);
  settings.coldDuration = rules.seconds("coldUs");
  settings.coldOverloadFactor = rules.get("fallMultiple", 0.0);
  settings.coldOverloadWindow = rules.seconds("fallUs");
  settings.keyQuietPeriod = rules.seconds("keyQuietUs");
  settings.retryBudgetWindow = rules.seconds("resendSpanUs");
  settings.retryBudgetMinimum = rules.get("spareAttempts", 0.0);
  settings.retryBudgetRatio = rules.get("furtherRatio", 0.0);

  const Section limits = config.subsection("limits");
  settings.maxSends = limits.get("maxAttempts", 1);
  settings.cancelSupported = limits.get("cancel", false);
  settings.probingSupported = limits.get("probing", false);
  settings.retryAfterSupported = limits.get("retryAfter", false);
  settings.maxRetryAfter = limits.seconds("maxRetryAfterUs");
  return settings;
}

ConnectionSettings readConnectionSettings(const Section& config) {
  ConnectionSettings settings;
  settings.zones = config.required<Names>("localities");
  settings.kinds = config.required<Names>("flavors");
  const Section limits = config.subsection("limits");
  settings.sendsPerConnection = limits.required<int>("streamsPerConn");
  if (settings.sendsPerConnection < 1)
    limits.fail("streamsPerConn", "must be at least 1");
  auto positiveDuration = [&](const char* key) {
    limits.required<double>(key);
    double duration = limits.seconds(key);
    if (!(duration > 0))
      limits.fail(key, "must be above 0");
    return duration;
  };
  settings.connectTimeout = positiveDuration("connectTimeoutUs");
  settings.idleTimeout = positiveDuration("connIdleUs");
  settings.statusInterval = config.subsection("specifics").seconds("progressPaceUs");
  settings.loadReports = config.subsection("report").get<std::string>("how", "off") != "off";
  return settings;
}

}  // namespace elmcleat
