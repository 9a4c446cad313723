#include "lab/scenario.h"

#include "config/gateway_config.h"
#include "scenario_schema.h"

namespace elmcleat::lab {
namespace {

Disturbance readTrouble(const Section& row) {
  Disturbance disturbance;
  disturbance.kind = row.required<std::string>("kind");
  disturbance.at = row.required<double>("at"), disturbance.lasts = row.get("lasts", 1e9);
  disturbance.team = row.get<std::string>("team", "");
  disturbance.times = row.get("times", 1.0), disturbance.part = row.get("part", 1.0);
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
  Scenario scene;
  scene.name = file.required<std::string>("name"), scene.about = file.get<std::string>("about", "");
  scene.duration = file.get("lasts", scene.duration),
  scene.measuredFrom = file.get("from", scene.measuredFrom);
  scene.retries = file.get("retries", 0.0);

  const Section fleet = file.subsection("fleet");
  Fleet& f = scene.fleet;
  f.engines = fleet.get("engines", f.engines), f.gateways = fleet.get("gateways", f.gateways);
  f.hardware.cores = fleet.get("cores", f.hardware.cores),
  f.hardware.memoryMb = fleet.get("memoryMb", f.hardware.memoryMb);
  f.hardware.speed = fleet.get("speed", f.hardware.speed);
  f.zones = fleet.get("zones", f.zones);
  f.delay = fleet.get("delay", f.delay), f.listLag = fleet.get("listLag", f.listLag);
  f.reports = fleet.get("reports", f.reports);
  f.knee = fleet.get("knee", f.knee), f.fall = fleet.get("fall", f.fall);
  f.spillCost = fleet.get("spillCost", f.spillCost);
  f.coldFrom = fleet.get("coldFrom", f.coldFrom), f.coldTime = fleet.get("coldTime", f.coldTime);
  f.fallMultiple = fleet.get("fallMultiple", f.fallMultiple), f.fallTime = fleet.get("fallTime", f.fallTime);

  Settings& set = scene.settings;
  set.gatewayCount = f.gateways, set.zone = f.zones.front();
  set.engineKinds = {{f.hardware.name, f.hardware.cores, f.hardware.memoryMb}};
  set.coldCapacity = f.coldFrom, set.coldDuration = f.coldTime, set.coldOverloadFactor = f.fallMultiple,
  set.coldOverloadWindow = f.fallTime;
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
    scene.work.push_back({row.get("work", 0.2), row.get("spread", 0.5), row.get("memoryMb", 0.0)});
  }
  double all = 0;
  for (auto& row : file.items("teams")) {
    Team& team = scene.teams.emplace_back();
    team.name = row.required<std::string>("name"), team.rate = row.get("rate", 10.0);
    team.users = row.get("users", 0), team.estimateOver = row.get("estimateOver", 1.0);
    team.gates = row.get("gates", 1.0);
    for (auto& mix : row.items("mix"))
      team.mix.push_back({mix.required<std::string>("profile"), mix.get("part", 1.0)});
    if (team.mix.empty())
      for (auto& profile : set.profiles)
        team.mix.push_back({profile.name, 1});
    all += row.get("share", team.rate);
    set.tenants.push_back({team.name, row.get("share", team.rate), row.get("quota", 0.0)});
  }
  for (auto& tenant : set.tenants)
    tenant.share /= all;
  for (auto& row : file.items("troubles"))
    scene.disturbances.push_back(readTrouble(row));
  if (file.has("budgets")) {
    scene.budgets = readBudgetSettings(file.subsection("budgets")), scene.budgetsText = document["budgets"];
    for (auto& fault : budget::validate(*scene.budgets))
      errors.push_back(path + ": budgets." + fault.key + ": " + fault.message);
  }
  if (file.has("shared") && scene.budgets) {
    const Section section = file.subsection("shared");
    auto terms = readLeaseSettings(section, f.gateways, *scene.budgets);
    for (auto& error : shared::validate(terms))
      errors.push_back(path + ": shared." + error.key + ": " + error.message);
    scene.shared = terms;
  }
  if (file.has("view")) {
    scene.view = readSubsetSettings(file.subsection("view"));
    for (auto& error : view::validate(*scene.view))
      errors.push_back(path + ": view." + error.key + ": " + error.message);
  }
  scene.comparedVariants = file.get("against", scene.comparedVariants);
  for (auto& row : file.items("expect")) {
    FigureBounds expect{row.required<std::string>("figure"), {}, {}};
    if (row.has("least"))
      expect.least = row.required<double>("least");
    if (row.has("most"))
      expect.most = row.required<double>("most");
    scene.expect.push_back(expect);
  }
  auto known = [&](const std::string& name) {
    for (auto& profile : set.profiles)
      if (profile.name == name)
        return true;
    return false;
  };
  for (size_t i = 0; i < scene.teams.size(); ++i)
    for (auto& mix : scene.teams[i].mix)
      if (!known(mix.profile))
        errors.push_back(path + ": teams[" + std::to_string(i) + "].mix: '" + mix.profile +
                         "' is no profile here");
  if (!errors.empty())
    throw ValidationErrors(std::move(errors));
  return scene;
}

}  // namespace elmcleat::lab
