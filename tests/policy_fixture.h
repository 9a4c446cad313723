// Test fixture for the decision module: a clock, commands by name, and a text trace of the module's actions
// that is compared with a file in tests/traces. The texts of the trace are the files' format.
#pragma once
#include <doctest/doctest.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>
#include <utility>

#include "policy.h"

namespace elmcleat {

// The module, its host and its clock.
struct PolicyFixture : ActionSink {
  explicit PolicyFixture(Settings given, uint64_t policySeed = 7)
      : settings(std::move(given)), seed(policySeed) {
    restart();
  }

  // Two zones, one kind of engine, two tenants and three profiles.
  static Settings site() {
    Settings settings;
    Profile quick;
    quick.name = "quick";
    quick.latencyTarget = 1;
    quick.latencyTargetStretch = 2;
    quick.clientTimeout = 5;
    quick.benefit = 1;
    Profile dear;
    dear.name = "dear";
    dear.latencyTarget = 2;
    dear.latencyTargetStretch = 2.5;
    dear.clientTimeout = 15;
    dear.benefit = 8;
    dear.threads = 2;
    dear.lateBenefitShare = 0.3;
    Profile load;
    load.name = "load";
    load.latencyTarget = 4;
    load.latencyTargetStretch = 3;
    load.clientTimeout = 25;
    load.benefit = 5;
    load.retrySafety = RetrySafety::nonReplayable;
    load.lateBenefitShare = 0.5;
    settings.profiles = {quick, dear, load};
    settings.tenants = {{"north", 0.75, 0}, {"south", 0.25, 0}};
    settings.engineKinds = {{"eight", 8, 16000}};
    settings.maxSends = 6;
    settings.coldCapacity = 0.4;
    settings.coldDuration = 10;
    settings.coldOverloadFactor = 2;
    settings.coldOverloadWindow = 1;
    return settings;
  }
  // Replaces the module by a new one, as when the process restarts.
  void restart() {
    commands.clear();
    at.clear();
    wakes.clear();
    policy = createPolicy(settings, seed, *this);
    policy->advanceTo(now);
  }

  // Passes a list of engines to the module; odd ids are in zone a, even ids in zone b.
  void nodes(std::vector<uint32_t> ids, EngineState state = EngineState::inService,
             std::optional<double> started = {}, EngineListKind kind = EngineListKind::full) {
    std::vector<EngineRecord> rows;
    for (uint32_t id : ids)
      rows.push_back({id, id % 2 ? "a" : "b", "eight", 0, state, started});
    policy->updateEngines(kind, rows);
    policy->decide();
  }
  // Submits a command: `work` in core-seconds, `memory` in MB, `left` the seconds until the client gives up
  // (0: those of the profile).
  void take(const std::string& name, const std::string& profile, double work,
            const std::string& tenant = "north", uint64_t tables = 1, std::optional<uint64_t> key = {},
            double left = 0, double memory = 0) {
    for (auto& known : settings.profiles)
      if (known.name == profile && left == 0)
        left = known.clientTimeout;
    commands[name] = policy->submit({profile, tenant, tables, key, work, memory, left});
    policy->decide();
  }
  // Ends the command's send.
  void ends(const std::string& name, Outcome outcome, double took = 0.01, bool final = false) {
    commands.at(name)->sendFinished(outcome, took, final || outcome == Outcome::answered, nullptr, nullptr);
    policy->decide();
  }
  // Advances the clock, with the wake-ups that the module has requested.
  void to(double time) {
    while (!wakes.empty() && wakes.begin()->first <= time) {
      now = std::max(now, wakes.begin()->first);
      wakes.erase(wakes.begin());
      policy->advanceTo(now);
      policy->decide();
    }
    now = time;
    policy->advanceTo(now);
  }
  std::string nameOf(Command& command) const {
    for (auto& [name, known] : commands)
      if (known.get() == &command)
        return name;
    return "new";  // within submit(), before its handle is known
  }
  template <typename... Figures>
  void print(const char* format, Figures... figures) {
    char line[160];
    std::snprintf(line, sizeof line, format, figures...);
    trace << line << '\n';
  }
  // Adds a comment to the trace.
  void annotate(const std::string& text) { trace << "# " << text << '\n'; }

  void send(Command& command, uint32_t engine, double timeout, double) override {
    print("%.3f send %s to %u, time-out %.2f", now, nameOf(command).c_str(), engine, timeout);
    ++sent[engine];
    at[nameOf(command)] = engine;
  }
  void setPriorityAndMemory(Command& command, int priority, double memoryMb) override {
    print("%.3f terms %s %d, %.0f MB", now, nameOf(command).c_str(), priority, memoryMb);
  }
  void cancel(Command& command, int sendIndex) override {
    print("%.3f cancel %s send %d", now, nameOf(command).c_str(), sendIndex);
  }
  void shed(Command& command, double retryAfter) override {
    print("%.3f shed %s, come back in %.1f", now, nameOf(command).c_str(), retryAfter);
  }
  void fail(Command& command) override { print("%.3f fail %s", now, nameOf(command).c_str()); }
  void probe(uint32_t engine) override { print("%.3f probe %u", now, engine); }
  void requestEngineList() override { print("%.3f follow the list", now); }
  void scheduleWakeUp(double time) override { wakes[time] = true; }
  void log(const std::string& line) override { print("%.3f log: %s", now, line.c_str()); }

  // Compares the trace with tests/traces/FILE.txt. With ELMCLEAT_KEEP=1 it overwrites the file first, to be
  // reviewed before it is committed.
  void checkTrace(const std::string& file) {
    std::string path = std::string(TRACES) + file + ".txt";
    if (std::getenv("ELMCLEAT_KEEP"))
      std::ofstream(path) << trace.str();
    std::ifstream expectedFile(path);
    std::stringstream expected;
    expected << expectedFile.rdbuf();
    CHECK_EQ(trace.str(), expected.str());
  }

  Settings settings;
  uint64_t seed;
  double now = 100;  // seconds
  std::map<std::string, std::shared_ptr<Command>> commands;
  std::map<std::string, uint32_t> at;  // engine of a command's last send
  std::map<uint32_t, int> sent;        // sends by engine
  std::map<double, bool> wakes;        // requested wake-ups by time
  std::ostringstream trace;
  std::unique_ptr<Policy> policy;
};

}  // namespace elmcleat
