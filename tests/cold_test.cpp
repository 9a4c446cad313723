// Rule 4 over a whole fleet, with the modules alone: what hundreds of gateways together send to an engine
// that has just started, in any window of coldOverloadWindow seconds.
#include <doctest/doctest.h>

#include <cmath>
#include <deque>
#include <map>
#include <queue>

#include "null_action_sink.h"
#include "pcg32.h"
#include "policy.h"

using namespace elmcleat;

namespace {

constexpr uint32_t kColdEngine = 1;
constexpr double kMeanWork = 0.05;  // seconds of work per command, on average

struct ColdSend {
  double time;
  double work;
};

struct Gateway final : NullActionSink {  // its clock differs by up to what the protocol allows
  Gateway(const Settings& settings, uint64_t seed, double skew, std::vector<ColdSend>& sends)
      : clockSkew(skew), coldSends(sends), policy(createPolicy(settings, seed, *this)) {}
  void send(Command& command, uint32_t node, double, double) override {
    double work = workOf.at(&command);
    completions.push({now + (node == kColdEngine ? 2.5 : 1) * work, &command});
    if (node == kColdEngine)
      coldSends.push_back({now, work});
  }
  void shed(Command& command, double) override { workOf.erase(&command); }
  void fail(Command& command) override { workOf.erase(&command); }

  void step(double time, double arrivals, Pcg32& random) {
    now = time;
    policy->advanceTo(time + clockSkew);
    while (!completions.empty() && completions.top().first <= time) {
      Command* command = completions.top().second;
      completions.pop();
      ResourceUsage usage{workOf.at(command), 0};
      command->sendFinished(Outcome::answered, usage.work, true, &usage, nullptr);
      workOf.erase(command);
      commands.erase(command);
    }
    for (pendingArrivals += arrivals; pendingArrivals >= 1; --pendingArrivals) {
      double work = -std::log(1 - random.uniform()) * kMeanWork;
      auto command = policy->submit({"quick", "north", random.next() % 8, {}, work, 0, 5});
      workOf[command.get()] = work;
      commands[command.get()] = command;
    }
    policy->decide();
  }

  double clockSkew;
  double now = 0;
  double pendingArrivals = 0;
  std::vector<ColdSend>& coldSends;
  std::unique_ptr<Policy> policy;
  std::map<Command*, double> workOf;
  std::map<Command*, std::shared_ptr<Command>> commands;
  using Completion = std::pair<double, Command*>;
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>> completions;
};

// The most work sent to the cold engine in one window, in commands of mean work, over the bound. `coldWork`:
// the total.
double worstWindow(int gateways, uint64_t seed, double& coldWork) {
  Settings settings;
  Profile quick;
  quick.name = "quick";
  quick.latencyTarget = 1;
  quick.latencyTargetStretch = 2;
  quick.clientTimeout = 5;
  quick.benefit = 1;
  settings.profiles = {quick};
  settings.tenants = {{"north", 1, 0}};
  settings.engineKinds = {{"eight", 8, 0}};
  settings.gatewayCount = gateways;
  settings.maxSends = 3;
  settings.coldCapacity = 0.4;
  settings.coldDuration = 10;
  settings.coldOverloadFactor = 2;
  settings.coldOverloadWindow = 1.5;
  Pcg32 random(seed);
  std::vector<ColdSend> coldSends;
  std::vector<std::unique_ptr<Gateway>> fleet;
  std::vector<double> trafficShare;  // of the fleet's commands: some gateways get several times the mean
  double shareSum = 0;
  for (int i = 0; i < gateways; ++i) {
    settings.ordinal = i;
    fleet.push_back(std::make_unique<Gateway>(settings, seed * 1000 + uint64_t(i),
                                              random.uniformBetween(-0.05, 0.05), coldSends));
    shareSum += trafficShare.emplace_back(0.2 + 2 * std::pow(random.uniform(), 3));
  }
  double rate =
      0.9 * 5 * 8 /
      kMeanWork;  // commands per second: almost fills five engines; four of them are removed when the cold one starts
  for (double time = 100; time < 112; time += 0.01)
    for (size_t i = 0; i < fleet.size(); ++i) {
      if (time == 100 || (time >= 103 && time < 103.005)) {
        fleet[i]->policy->advanceTo(time + fleet[i]->clockSkew);
        std::vector<EngineRecord> records;
        for (uint32_t id = time < 103 ? 2 : 1; id <= (time < 103 ? 6 : 2); ++id)
          records.push_back({id, "a", "eight", 0, EngineState::inService, {}});
        if (time >= 103)
          records.front().startedAt = 103;  // read by each gateway's own clock
        fleet[i]->policy->updateEngines(EngineListKind::full, records);
      }
      fleet[i]->step(time, rate * trafficShare[i] / shareSum * 0.01, random);
    }
  double allowed = settings.coldOverloadFactor * settings.coldCapacity * 8 * settings.coldOverloadWindow /
                   kMeanWork,
         window = 0, worst = 0;
  coldWork = 0;
  std::deque<ColdSend> windowSends;
  for (auto& one : coldSends) {  // ordered by the fleet's time
    if (one.time > 103 + settings.coldDuration / 2)
      break;  // the allowance has grown by then
    windowSends.push_back(one);
    window += one.work / kMeanWork;
    coldWork += one.work;
    for (; windowSends.front().time <= one.time - settings.coldOverloadWindow; windowSends.pop_front())
      window -= windowSends.front().work / kMeanWork;
    worst = std::max(worst, window);
  }
  return worst / (allowed + 2 * std::sqrt(allowed) + 2);
}

}  // namespace

TEST_CASE(
    "all gateways together send a cold engine at most N + 2 sqrt(N) + 2 commands in a window, and use it") {
  for (auto [gateways, seeds] : {std::pair{5, 12}, {20, 8}, {30, 8}, {350, 3}}) {
    double worst = 0, work = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
      double coldWork = 0;
      worst = std::max(worst, worstWindow(gateways, uint64_t(seed), coldWork));
      work += coldWork / seeds;
    }
    MESSAGE(gateways << " gateways: " << worst << " of the bound at most, " << work
                     << " s of work in the mean");
    CHECK_LT(worst, 1);
    CHECK_GT(work, 0.25);  // in five seconds: the engine is not left idle
  }
}
