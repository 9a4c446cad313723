// The laboratory: the engine model, the rule checks (which have to find violations) and repeatability.
#include <doctest/doctest.h>

#include <map>

#include "lab/report.h"
#include "lab/simulated_engine.h"
#include "lab/simulation.h"

using namespace elmcleat;
using namespace elmcleat::lab;

namespace {

Scenario shortScenario(const std::string& file = "budget-burst") {
  Scenario scenario = readScenario(std::string(SCENARIOS) + file + ".json");
  scenario.duration = 25;
  return scenario;
}
// One team and one non-replayable profile.
Scenario minimalScenario() {
  Scenario scenario;
  Profile load;
  load.name = "load", load.retrySafety = RetrySafety::nonReplayable, load.clientTimeout = 5;
  scenario.settings.profiles = {load}, scenario.teams = {{"a", 1, 0, 1, 1, {}}};
  scenario.settings.maxSends = 3, scenario.duration = 100;
  return scenario;
}
// A record of one command, submitted at 1 s, with these events.
RunRecord recordOf(std::vector<RunEvent> rows) {
  RunRecord record;
  record.commands.push_back({0, 0, 0, 1, 0.1, 2, 6, 0, 0});
  rows.insert(rows.begin(), {1, RunEventKind::submitted, 0, 0, 0});
  record.events = std::move(rows);
  return record;
}

}  // namespace

TEST_CASE("an engine shares its cores by threads and priority, and no command gets more than its threads") {
  Fleet fleet;
  fleet.hardware.cores = 4, fleet.throughputLossPerThread = 0, fleet.warmSavings = 0;
  SimulatedEngine engine(fleet);
  engine.startSend(0, {1, 2, 2, 0, 1, 1, 0}, 1);
  CHECK_EQ(*engine.nextCompletion(), doctest::Approx(2));  // one thread uses one core
  for (uint64_t i = 2; i <= 8; ++i)
    engine.startSend(0, {i, 2, 2, 0, 1, 1, 0}, i);
  CHECK_EQ(*engine.nextCompletion(), doctest::Approx(4));  // eight sends share four cores
  engine.setPriority(0, 1, 3);
  CHECK_EQ(*engine.nextCompletion(), doctest::Approx(2));  // its priority gives it a whole core again
  auto over = engine.takeFinished(2);
  REQUIRE_EQ(over.size(), 1);
  CHECK_EQ(over[0].send, 1);
  engine.cancelSend(2, 2), engine.cancelSend(2, 3), engine.cancelSend(2, 4);
  CHECK_EQ(*engine.nextCompletion(),
           doctest::Approx(2 + 2 - 3.0 / 7 * 2));  // one core each for the remaining four
  CHECK_EQ(engine.stop(3).size(), 4);
  CHECK_FALSE(engine.startSend(3, {9, 1, 1, 0, 1, 1, 0}, 1));
}

TEST_CASE("memory that runs short makes commands spill, a warm group saves work, a cold engine falls over") {
  Fleet fleet;
  fleet.hardware.cores = 4, fleet.hardware.memoryMb = 100, fleet.spillCost = 1.5, fleet.warmSavings = 0.5;
  SimulatedEngine engine(fleet);
  engine.startSend(0, {1, 1, 1, 150, 1, 1, 0}, 7);
  CHECK_EQ(*engine.nextCompletion(), doctest::Approx(1.5));  // a third of the memory is missing
  engine.cancelSend(0, 1);
  engine.startSend(0, {2, 1, 1, 10, 1, 1, 0}, 7);
  CHECK_EQ(*engine.nextCompletion(), doctest::Approx(0.5));
  fleet.coldCapacity = 0.25, fleet.coldDuration = 10, fleet.coldOverloadFactor = 2,
  fleet.coldOverloadWindow = 1;
  SimulatedEngine cold(fleet);
  cold.start(0, true);
  cold.startSend(0, {1, 2, 2, 0, 1, 1, 0}, 1);  // twice the one core that it has while cold
  CHECK_FALSE(cold.overloadedWhileCold);
  cold.startSend(0.1, {2, 1, 1, 0, 1, 1, 0}, 2);
  CHECK(cold.overloadedWhileCold);
}

TEST_CASE("checkers find what breaks a rule, and pass what does not") {
  auto broken = [](std::vector<RunEvent> rows) {
    auto lines = findRuleViolations(minimalScenario(), recordOf(std::move(rows)));
    return lines.empty() ? std::string() : lines[0].substr(0, 6);
  };
  RunEvent sent{1, RunEventKind::sent, 0, 1, 0}, ran{1.1, RunEventKind::started, 0, 1, 0},
      over{2, RunEventKind::sendFinished, 0, 1, 0};
  RunEvent answered{2, RunEventKind::answered, 0, 1, 0}, shed{2, RunEventKind::shed, 0, 1, 0},
      failed{2, RunEventKind::failed, 0, 1, 0};
  CHECK_EQ(broken({sent, ran, over, answered}), "");
  CHECK_EQ(broken({sent, over, sent, ran, over, answered}), "");  // the first send never started
  CHECK_EQ(broken({}), "rule 1");                                 // no answer
  CHECK_EQ(broken({sent, ran, over, answered, answered}), "rule 1");
  CHECK_EQ(broken({answered, sent}), "rule 1");
  CHECK_EQ(broken({{6.2, RunEventKind::failed, 0, 1, 0}}), "rule 1");  // after the client timeout
  CHECK_EQ(broken({sent, sent, over, over, failed}), "rule 2");
  CHECK_EQ(broken({sent, ran, over, sent, over, failed}), "rule 2");
  CHECK_EQ(broken({sent, ran, over, shed}), "rule 2");
  CHECK_EQ(broken({{0.5, RunEventKind::drained, 0, 1, 0}, sent, over, failed}), "rule 3");
  CHECK_EQ(broken({{0.9, RunEventKind::drained, 0, 1, 0}, sent, over, failed}), "");
  CHECK_EQ(
      broken(
          {{0.5, RunEventKind::drained, 0, 1, 0}, {0.6, RunEventKind::listed, 0, 1, 0}, sent, over, failed}),
      "");
  CHECK_EQ(broken({sent, over, sent, over, sent, over, sent, over, failed}), "rule 7");
  auto record = recordOf({answered});
  record.coldOverloads = 1;
  CHECK_EQ(findRuleViolations(minimalScenario(), record).at(0).substr(0, 6), "rule 4");
}

TEST_CASE("the same scenario and seed give the same record, and the baselines another one") {
  auto scenario = shortScenario();
  auto first = simulate(scenario, 3, variantNamed("")), again = simulate(scenario, 3, variantNamed(""));
  REQUIRE_EQ(first.events.size(), again.events.size());
  bool same = true;
  for (size_t i = 0; i < first.events.size(); ++i)
    same &= first.events[i].time == again.events[i].time && first.events[i].kind == again.events[i].kind &&
            first.events[i].command == again.events[i].command &&
            first.events[i].node == again.events[i].node;
  CHECK(same);
  for (auto name : {"plain", "random", "fifo"}) {
    auto other = simulate(scenario, 3, variantNamed(name));
    CHECK_EQ(other.commands.size(), first.commands.size());  // the same arrivals
    CHECK_NE(other.events.size(), first.events.size());
  }
  CHECK_NE(simulate(scenario, 4, variantNamed("")).commands.size(), first.commands.size());
}

TEST_CASE("drains, lost, silent, failing and slow engines: rules hold, and each costs something") {
  auto scenario = shortScenario();
  scenario.disturbances.clear();
  double calm = computeFigures(scenario, simulate(scenario, 1, variantNamed("")))["benefit"];
  for (auto kind : {"drain", "lose", "silent", "failing", "slow"}) {
    CAPTURE(kind);
    scenario.disturbances = {{kind, 8, 8, "", 4, 0.75, {}}};
    auto record = simulate(scenario, 1, variantNamed(""));
    CHECK_EQ(findRuleViolations(scenario, record).size(), 0);
    CHECK_LT(computeFigures(scenario, record)["benefit"], calm);
  }
}

TEST_CASE("a scenario's faults come all at once") {
  std::string path = std::string(SCENARIOS) + "../../build-none.json";
  CHECK_THROWS_AS(readScenario(path), ValidationErrors);
}

TEST_CASE("a view bounds who uses an engine; a zone alone is lost, and a roll replaces its part in steps") {
  Scenario scenario = readScenario(std::string(SCENARIOS) + "view-small.json");
  scenario.duration = 12, scenario.disturbances.clear(),
  scenario.subset->usersPerEngine = scenario.subset->maxUsersPerEngine = 4;
  scenario.fleet.gateways = scenario.settings.gatewayCount = 24;
  auto mostUsers = [&](const char* variant) {
    return computeFigures(scenario, simulate(scenario, 1, variantNamed(variant))).at("engines.users.most");
  };
  CHECK_LE(mostUsers(""), scenario.subset->usersPerEngine);
  CHECK_GT(mostUsers("whole"), scenario.subset->usersPerEngine);
  auto told = [&](RunEventKind mark) {  // engines, by one gateway
    std::map<uint32_t, int> times;
    RunRecord record = simulate(scenario, 1, variantNamed(""));
    CHECK_EQ(findRuleViolations(scenario, record).size(), 0);
    for (auto& row : record.events)
      if (row.kind == mark && row.gateway == 5)
        ++times[row.node];
    return times;
  };
  Disturbance lost{"lose", 3, 3, "", 1, 1, {}};
  lost.zone = "z3", scenario.disturbances = {lost};
  auto nodes = told(RunEventKind::drained);
  CHECK_EQ(nodes.size(), 28);
  for (auto& [node, times] : nodes)
    CHECK_EQ(node % 16, 3);
  Disturbance roll{"roll", 1, 4, "", 1, 0.3, {}};
  roll.steps = 4, scenario.disturbances = {roll};
  CHECK_EQ(told(RunEventKind::listed).size(), 132);  // each once, when it came back
}
