#include "lab/scenario.h"

#include "config/gateway_config.h"
#include "scenario_schema.h"

namespace elmcleat::lab {
namespace {

Disturbance readDisturbance(const Section& row) {
  Disturbance disturbance;
  disturbance.kind = row.required<std::string>("kind");
  disturbance.start = row.required<double>("at"), disturbance.duration = row.get("lasts", 1e9);
  disturbance.team = row.get<std::string>("team", "");
  disturbance.factor = row.get("times", 1.0), disturbance.engineShare = row.get("part", 1.0);
  disturbance.zone = row.get<std::string>("zone", ""),
  disturbance.steps = row.get("steps", disturbance.steps);
  if (row.has("budgets"))
    disturbance.budgetSettings = readBudgetSettings(row.subsection("budgets"));
  return disturbance;
}

}  // namespace

Scenario readScenario(const std::string& path) {
  Json document = readJson(path);
  auto errors = validateSchema(document, kScenarioSchema, path);
  if (!errors.empty())
    throw ValidationErrors(std::move(errors));
  const Section file(document);
  Scenario scenario;
  scenario.name = file.required<std::string>("name"),
  scenario.description = file.get<std::string>("about", "");
  scenario.duration = file.get("lasts", scenario.duration),
  scenario.measuredFrom = file.get("from", scenario.measuredFrom);
  scenario.retries = file.get("retries", 0.0);

  const Section fleet = file.subsection("fleet");
  Fleet& f = scenario.fleet;
  f.engines = fleet.get("engines", f.engines), f.gateways = fleet.get("gateways", f.gateways);
  f.hardware.cores = fleet.get("cores", f.hardware.cores),
  f.hardware.memoryMb = fleet.get("memoryMb", f.hardware.memoryMb);
  f.hardware.speed = fleet.get("speed", f.hardware.speed);
  f.zones = fleet.get("zones", f.zones);
  f.networkDelay = fleet.get("delay", f.networkDelay), f.listLag = fleet.get("listLag", f.listLag);
  f.loadReports = fleet.get("reports", f.loadReports);
  f.saturationThreadsPerCore = fleet.get("knee", f.saturationThreadsPerCore),
  f.throughputLossPerThread = fleet.get("fall", f.throughputLossPerThread);
  f.spillCost = fleet.get("spillCost", f.spillCost);
  f.coldCapacity = fleet.get("coldFrom", f.coldCapacity),
  f.coldDuration = fleet.get("coldTime", f.coldDuration);
  f.coldOverloadFactor = fleet.get("fallMultiple", f.coldOverloadFactor),
  f.coldOverloadWindow = fleet.get("fallTime", f.coldOverloadWindow);

  Settings& set = scenario.settings;
  set.gatewayCount = f.gateways, set.zone = f.zones.front();
  set.engineKinds = {{f.hardware.name, f.hardware.cores, f.hardware.memoryMb}};
  set.coldCapacity = f.coldCapacity, set.coldDuration = f.coldDuration,
  set.coldOverloadFactor = f.coldOverloadFactor, set.coldOverloadWindow = f.coldOverloadWindow;
  set.maxSends = fleet.get("maxSends", 3);
  set.cancelSupported = fleet.get("cancel", true), set.prioritiesSupported = fleet.get("priorities", true);
  for (auto& row : file.items("profiles")) {
    Profile profile;
    profile.name = row.required<std::string>("name");
    profile.latencyTarget = row.get("target", 1.0),
    profile.latencyTargetStretch = row.get("targetStretch", 2.0);
    profile.clientTimeout = row.get("clientTimeout", 5.0);
    profile.benefit = row.get("benefit", 1.0), profile.lateBenefitShare = row.get("lateShare", 0.0);
    profile.threads = row.get("threads", 1), profile.ordered = row.get("ordered", false);
    profile.retrySafety = row.choice<RetrySafety>("effect", "replayable",
                                                  {{"replayable", RetrySafety::replayable},
                                                   {"uniqued", RetrySafety::deduplicated},
                                                   {"non-replayable", RetrySafety::nonReplayable}});
    profile.deduplicationWindow = row.get("memorySpan", 60.0);
    set.profiles.push_back(profile);
    scenario.workByProfile.push_back(
        {row.get("work", 0.2), row.get("spread", 0.5), row.get("memoryMb", 0.0)});
  }
  double shares = 0;
  for (auto& row : file.items("teams")) {
    Team& team = scenario.teams.emplace_back();
    team.name = row.required<std::string>("name"), team.rate = row.get("rate", 10.0);
    team.users = row.get("users", 0), team.workPerEstimate = row.get("estimateOver", 1.0);
    team.gatewayShare = row.get("gates", 1.0);
    for (auto& mix : row.items("mix"))
      team.mix.push_back({mix.required<std::string>("profile"), mix.get("part", 1.0)});
    if (team.mix.empty())
      for (auto& profile : set.profiles)
        team.mix.push_back({profile.name, 1});
    shares += row.get("share", team.rate);
    set.tenants.push_back({team.name, row.get("share", team.rate), row.get("quota", 0.0)});
  }
  for (auto& tenant : set.tenants)
    tenant.share /= shares;
  for (auto& row : file.items("troubles"))
    scenario.disturbances.push_back(readDisturbance(row));
  if (file.has("budgets")) {
    scenario.budgets = readBudgetSettings(file.subsection("budgets")),
    scenario.budgetsJson = document["budgets"];
    for (auto& error : budget::validate(*scenario.budgets))
      errors.push_back(path + ": budgets." + error.key + ": " + error.message);
  }
  if (file.has("shared") && scenario.budgets) {
    const Section section = file.subsection("shared");
    auto leases = readLeaseSettings(section, f.gateways, *scenario.budgets);
    for (auto& error : shared::validate(leases))
      errors.push_back(path + ": shared." + error.key + ": " + error.message);
    scenario.leases = leases;
  }
  if (file.has("view")) {
    scenario.subset = readSubsetSettings(file.subsection("view"));
    for (auto& error : view::validate(*scenario.subset))
      errors.push_back(path + ": view." + error.key + ": " + error.message);
  }
  scenario.comparedVariants = file.get("against", scenario.comparedVariants);
  for (auto& row : file.items("expect")) {
    FigureBounds expect{row.required<std::string>("figure"), {}, {}};
    if (row.has("least"))
      expect.minimum = row.required<double>("least");
    if (row.has("most"))
      expect.maximum = row.required<double>("most");
    scenario.expectations.push_back(expect);
  }
  auto isProfile = [&](const std::string& name) {
    for (auto& profile : set.profiles)
      if (profile.name == name)
        return true;
    return false;
  };
  for (size_t i = 0; i < scenario.teams.size(); ++i)
    for (auto& mix : scenario.teams[i].mix)
      if (!isProfile(mix.profile))
        errors.push_back(path + ": teams[" + std::to_string(i) + "].mix: '" + mix.profile +
                         "' is no profile here");
  if (!errors.empty())
    throw ValidationErrors(std::move(errors));
  return scenario;
}

}  // namespace elmcleat::lab
