// Rule 4 over a whole fleet, on the module by itself: what hundreds of gateways together send to an engine that has just
// started, in any window of the time that the settings name.
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

constexpr uint32_t kCold = 1;
constexpr double kMean = 0.05;  // seconds of work a command, in the mean

struct Landed {
  double at, work;
};

struct Member final : NullActionSink {  // one gateway: its clock is off by as much as the protocol allows for
  Member(const Settings& settings, uint64_t seed, double skew, std::vector<Landed>& landed)
      : off(skew), landed(landed), policy(createPolicy(settings, seed, *this)) {}
  void send(Command& command, uint32_t node, double, double) override {
    double work = works.at(&command);
    ends.push({now + (node == kCold ? 2.5 : 1) * work, &command});
    if (node == kCold)
      landed.push_back({now, work});
  }
  void shed(Command& command, double) override { works.erase(&command); }
  void fail(Command& command) override { works.erase(&command); }

  void step(double time, double arrivals, Pcg32& chance) {
    now = time;
    policy->advanceTo(time + off);
    while (!ends.empty() && ends.top().first <= time) {
      Command* command = ends.top().second;
      ends.pop();
      ResourceUsage usage{works.at(command), 0};
      command->sendFinished(Outcome::answered, usage.work, true, &usage, nullptr);
      works.erase(command), held.erase(command);
    }
    for (due += arrivals; due >= 1; --due) {
      double work = -std::log(1 - chance.uniform()) * kMean;
      auto command = policy->submit({"quick", "north", chance.next() % 8, {}, work, 0, 5});
      works[command.get()] = work, held[command.get()] = command;
    }
    policy->decide();
  }

  double off, now = 0, due = 0;
  std::vector<Landed>& landed;
  std::unique_ptr<Policy> policy;
  std::map<Command*, double> works;
  std::map<Command*, std::shared_ptr<Command>> held;
  using End = std::pair<double, Command*>;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends;
};

// The most that landed on the cold engine in one window, in commands of mean work, over what is allowed there.
double most(int gateways, uint64_t seed, double& sum) {
  Settings set;
  Profile quick;
  quick.name = "quick", quick.latencyTarget = 1, quick.latencyTargetStretch = 2, quick.clientTimeout = 5,
  quick.benefit = 1;
  set.profiles = {quick}, set.tenants = {{"north", 1, 0}}, set.engineKinds = {{"eight", 8, 0}};
  set.gatewayCount = gateways, set.maxSends = 3;
  set.coldCapacity = 0.4, set.coldDuration = 10, set.coldOverloadFactor = 2, set.coldOverloadWindow = 1.5;
  Pcg32 chance(seed);
  std::vector<Landed> landed;
  std::vector<std::unique_ptr<Member>> members;
  std::vector<double> part;  // of the fleet's commands: some see several times the mean
  double parts = 0;
  for (int i = 0; i < gateways; ++i) {
    set.ordinal = i;
    members.push_back(
        std::make_unique<Member>(set, seed * 1000 + uint64_t(i), chance.uniformBetween(-0.05, 0.05), landed));
    parts += part.emplace_back(0.2 + 2 * std::pow(chance.uniform(), 3));
  }
  double rate =
      0.9 * 5 * 8 / kMean;  // commands a second: five engines are all but full, and four of them go at once
  for (double time = 100; time < 112; time += 0.01)
    for (size_t i = 0; i < members.size(); ++i) {
      if (time == 100 || (time >= 103 && time < 103.005)) {
        members[i]->policy->advanceTo(time + members[i]->off);
        std::vector<EngineRecord> rows;
        for (uint32_t id = time < 103 ? 2 : 1; id <= (time < 103 ? 6 : 2); ++id)
          rows.push_back({id, "a", "eight", 0, EngineState::inService, {}});
        if (time >= 103)
          rows.front().startedAt = 103;  // in each one's own clock, as the list tells it
        members[i]->policy->updateEngines(EngineListKind::full, rows);
      }
      members[i]->step(time, rate * part[i] / parts * 0.01, chance);
    }
  double allowed = set.coldOverloadFactor * set.coldCapacity * 8 * set.coldOverloadWindow / kMean, window = 0,
         worst = 0;
  sum = 0;
  std::deque<Landed> in;
  for (auto& one : landed) {  // in the order of time, which is the fleet's
    if (one.at > 103 + set.coldDuration / 2)
      break;  // by then what is allowed has grown
    in.push_back(one), window += one.work / kMean, sum += one.work;
    for (; in.front().at <= one.at - set.coldOverloadWindow; in.pop_front())
      window -= in.front().work / kMean;
    worst = std::max(worst, window);
  }
  return worst / (allowed + 2 * std::sqrt(allowed) + 2);
}

}  // namespace

TEST_CASE("all gateways together send a cold engine no more than N and twice its root and two, and use it") {
  for (auto [gateways, seeds] : {std::pair{5, 12}, {20, 8}, {30, 8}, {350, 3}}) {
    double highest = 0, work = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
      double sum = 0;
      highest = std::max(highest, most(gateways, uint64_t(seed), sum));
      work += sum / seeds;
    }
    MESSAGE(gateways << " gateways: " << highest << " of the bound at most, " << work
                     << " s of work in the mean");
    CHECK_LT(highest, 1);
    CHECK_GT(work, 0.25);  // in five seconds: it is not left idle
  }
}
