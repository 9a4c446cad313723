// What a list of engines costs one gateway, by its length: a sweep with nothing in hand, a command from its arrival to
// its answer, and memory. The module by itself, no sockets.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "policy.h"
#include "view/engine_subset.h"

using namespace elmcleat;

namespace {

struct Sink : ActionSink {
  void send(Command& command, uint32_t, double, double) override { sent.push_back(&command); }
  void setPriorityAndMemory(Command&, int, double) override {}
  void cancel(Command&, int) override {}
  void shed(Command&, double) override { ++ended; }
  void fail(Command&) override { ++ended; }
  void probe(uint32_t) override {}
  void requestEngineList() override {}
  void scheduleWakeUp(double) override {}
  void log(const std::string&) override {}
  std::vector<Command*> sent;
  int ended = 0;
};

double seconds() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
long residentKb() {
  std::ifstream file("/proc/self/statm");
  long all = 0, resident = 0;
  file >> all >> resident;
  return resident * 4;
}

struct Cost {
  double sweep, command;  // us
  long memory, inUse;
};

// `plan`: a view of the list, of 2,400 dispatchers; none: the whole list.
Cost costOf(uint32_t engines, const view::SubsetSettings* plan) {
  Settings set;
  Profile quick;
  quick.name = "quick";
  quick.latencyTarget = 1;
  quick.latencyTargetStretch = 2;
  quick.clientTimeout = 5;
  quick.benefit = 1;
  set.profiles = {quick, quick, quick};
  set.profiles[1].name = "dear";
  set.profiles[2].name = "load";
  set.tenants = {{"north", 1, 0}};
  set.engineKinds = {{"eight", 8, 16000}};
  set.gatewayCount = 2400;
  set.ordinal = 7;
  set.maxSends = 3;
  set.coldCapacity = 0.4;
  set.coldDuration = 10;
  set.coldOverloadFactor = 2;
  set.coldOverloadWindow = 1;
  set.probingSupported = true;
  long before = residentKb();
  EngineListEvent whole{1, true, std::vector<ListedEngine>(engines)};
  for (uint32_t i = 0; i < engines; ++i) {
    whole.engines[i].record = {i + 1, "a", "eight", 0, EngineState::inService, {}};
    whole.engines[i].address = {0x0a000001 + i, 4100};
  }
  std::optional<view::EngineSubset> seen;
  if (plan)
    seen.emplace(*plan, set);
  std::vector<EngineRecord> rows;
  if (seen)
    for (auto& listing : seen->apply(whole, 0))
      rows.push_back(listing.record);
  else
    for (auto& listing : whole.engines)
      rows.push_back(listing.record);
  Sink sink;
  auto policy = createPolicy(seen ? seen->localSettings() : set, 7, sink);
  double now = 0;
  policy->advanceTo(now);
  policy->updateEngines(EngineListKind::full, rows);
  policy->decide();
  uint64_t number = 0;
  auto command = [&] {  // seven a second, each answered 20 ms later
    policy->advanceTo(now += 0.12);
    auto taken = policy->submit({"quick", "north", ++number % 97, {}, 0.02, 10, 5, {}});
    policy->decide();
    policy->advanceTo(now += 0.02);
    ResourceUsage usage{0.02, 10};
    for (Command* out : std::exchange(sink.sent, {}))
      out->sendFinished(Outcome::answered, 0.02, true, &usage, nullptr);
    policy->decide();
  };
  int times = rows.size() > 2000 ? 200 : 2000;
  for (int i = 0; i < 200; ++i)
    command();
  long after = residentKb();
  std::vector<double> sweeps, commands;
  for (int i = 0; i < times / 4; ++i) {
    double began = seconds();
    policy->advanceTo(now += 0.05);
    policy->decide();
    sweeps.push_back((seconds() - began) * 1e6);
  }
  for (int i = 0; i < times; ++i) {  // two settles with a sweep each belong to it: taken off below
    double began = seconds();
    command();
    commands.push_back((seconds() - began) * 1e6);
  }
  std::ranges::sort(sweeps);
  std::ranges::sort(commands);
  double sweep = sweeps[sweeps.size() / 2], each = commands[commands.size() / 2];
  return {sweep, std::max(each - sweep, 0.0), after - before, long(rows.size())};
}

}  // namespace

int main() {
  std::printf(
      "| engines listed | in use | sweep, us | part of a core at 20 sweeps a second | command, us | memory, "
      "KB |\n"
      "| --- | --- | --- | --- | --- | --- |\n");
  view::SubsetSettings plan;
  for (uint32_t engines : {10, 80, 344, 350, 1024, 4096, 16384, 44000})
    for (const view::SubsetSettings* which :
         {static_cast<const view::SubsetSettings*>(nullptr), &std::as_const(plan)}) {
      Cost cost = costOf(engines, which);
      std::printf("| %u%s | %ld | %.1f | %.4f | %.1f | %ld |\n", engines, which ? ", view" : "", cost.inUse,
                  cost.sweep, cost.sweep * 20e-6, cost.command, cost.memory);
    }
  return 0;
}
