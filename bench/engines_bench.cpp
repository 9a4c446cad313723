// Cost of an engine list for one gateway, by its length: a sweep without commands, a command from its arrival
// to its answer, and memory. The module alone, without sockets.
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

struct RecordingSink : ActionSink {
  void send(Command& command, uint32_t, double, double) override { sent.push_back(&command); }
  void setPriorityAndMemory(Command&, int, double) override {}
  void cancel(Command&, int) override {}
  void shed(Command&, double) override { ++endedCount; }
  void fail(Command&) override { ++endedCount; }
  void probe(uint32_t) override {}
  void requestEngineList() override {}
  void scheduleWakeUp(double) override {}
  void log(const std::string&) override {}
  std::vector<Command*> sent;
  int endedCount = 0;
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

// `subsetSettings`: uses the subset of one of 2,400 dispatchers; nullptr: the whole list.
Cost measure(uint32_t engines, const view::SubsetSettings* subsetSettings) {
  Settings settings;
  Profile quick;
  quick.name = "quick";
  quick.latencyTarget = 1;
  quick.latencyTargetStretch = 2;
  quick.clientTimeout = 5;
  quick.benefit = 1;
  settings.profiles = {quick, quick, quick};
  settings.profiles[1].name = "dear";
  settings.profiles[2].name = "load";
  settings.tenants = {{"north", 1, 0}};
  settings.engineKinds = {{"eight", 8, 16000}};
  settings.gatewayCount = 2400;
  settings.ordinal = 7;
  settings.maxSends = 3;
  settings.coldCapacity = 0.4;
  settings.coldDuration = 10;
  settings.coldOverloadFactor = 2;
  settings.coldOverloadWindow = 1;
  settings.probingSupported = true;
  long before = residentKb();
  EngineListEvent whole{1, true, std::vector<ListedEngine>(engines)};
  for (uint32_t i = 0; i < engines; ++i) {
    whole.engines[i].record = {i + 1, "a", "eight", 0, EngineState::inService, {}};
    whole.engines[i].address = {0x0a000001 + i, 4100};
  }
  std::optional<view::EngineSubset> subset;
  if (subsetSettings)
    subset.emplace(*subsetSettings, settings);
  std::vector<EngineRecord> rows;
  if (subset)
    for (auto& listing : subset->apply(whole, 0))
      rows.push_back(listing.record);
  else
    for (auto& listing : whole.engines)
      rows.push_back(listing.record);
  RecordingSink sink;
  auto policy = createPolicy(subset ? subset->localSettings() : settings, 7, sink);
  double now = 0;
  policy->advanceTo(now);
  policy->updateEngines(EngineListKind::full, rows);
  policy->decide();
  uint64_t number = 0;
  auto command = [&] {  // seven per second, each answered 20 ms later
    policy->advanceTo(now += 0.12);
    auto submitted = policy->submit({"quick", "north", ++number % 97, {}, 0.02, 10, 5, {}});
    policy->decide();
    policy->advanceTo(now += 0.02);
    ResourceUsage usage{0.02, 10};
    for (Command* started : std::exchange(sink.sent, {}))
      started->sendFinished(Outcome::answered, 0.02, true, &usage, nullptr);
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
  for (int i = 0; i < times; ++i) {  // includes decisions with a sweep each, which is subtracted below
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
  view::SubsetSettings subsetSettings;
  for (uint32_t engines : {10, 80, 344, 350, 1024, 4096, 16384, 44000})
    for (const view::SubsetSettings* chosen :
         {static_cast<const view::SubsetSettings*>(nullptr), &std::as_const(subsetSettings)}) {
      Cost cost = measure(engines, chosen);
      std::printf("| %u%s | %ld | %.1f | %.4f | %.1f | %ld |\n", engines, chosen ? ", view" : "", cost.inUse,
                  cost.sweep, cost.sweep * 20e-6, cost.command, cost.memory);
    }
  return 0;
}
