// A stage for the module: a clock, commands by name, and a printed trace of what the module does.
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

struct PolicyFixture : ActionSink {
  explicit PolicyFixture(Settings given, uint64_t chance = 7) : settings(std::move(given)), seed(chance) {
    restart();
  }

  static Settings site() {
    Settings set;
    Profile quick, dear, load;
    quick.name = "quick", quick.latencyTarget = 1, quick.latencyTargetStretch = 2, quick.clientTimeout = 5,
    quick.benefit = 1;
    dear.name = "dear", dear.latencyTarget = 2, dear.latencyTargetStretch = 2.5, dear.clientTimeout = 15,
    dear.benefit = 8;
    dear.threads = 2, dear.lateBenefitShare = 0.3;
    load.name = "load", load.latencyTarget = 4, load.latencyTargetStretch = 3, load.clientTimeout = 25,
    load.benefit = 5;
    load.retrySafety = RetrySafety::nonReplayable, load.lateBenefitShare = 0.5;
    set.profiles = {quick, dear, load};
    set.tenants = {{"north", 0.75, 0}, {"south", 0.25, 0}};
    set.engineKinds = {{"eight", 8, 16000}};
    set.maxSends = 6, set.coldCapacity = 0.4, set.coldDuration = 10, set.coldOverloadFactor = 2,
    set.coldOverloadWindow = 1;
    return set;
  }
  void restart() {
    commands.clear(), at.clear(), wakes.clear(), policy = createPolicy(settings, seed, *this),
                                                 policy->advanceTo(now);
  }

  void nodes(std::vector<uint32_t> ids, EngineState state = EngineState::inService,
             std::optional<double> started = {}, EngineListKind kind = EngineListKind::full) {
    std::vector<EngineRecord> rows;
    for (uint32_t id : ids)
      rows.push_back({id, id % 2 ? "a" : "b", "eight", 0, state, started});
    policy->updateEngines(kind, rows), policy->decide();
  }
  void take(const std::string& name, const std::string& profile, double work,
            const std::string& tenant = "north", uint64_t tables = 1, std::optional<uint64_t> key = {},
            double left = 0, double memory = 0) {
    for (auto& p : settings.profiles)
      if (p.name == profile && left == 0)
        left = p.clientTimeout;
    commands[name] = policy->submit({profile, tenant, tables, key, work, memory, left}), policy->decide();
  }
  void ends(const std::string& name, Outcome what, double took = 0.01, bool final = false) {
    commands.at(name)->sendFinished(what, took, final || what == Outcome::answered, nullptr, nullptr);
    policy->decide();
  }
  void to(double time) {  // fires what wakes on the way
    while (!wakes.empty() && wakes.begin()->first <= time) {
      now = std::max(now, wakes.begin()->first), wakes.erase(wakes.begin());
      policy->advanceTo(now), policy->decide();
    }
    now = time, policy->advanceTo(now);
  }
  std::string name(Command& command) const {
    for (auto& [known, held] : commands)
      if (held.get() == &command)
        return known;
    return "new";  // before its handle is known
  }
  template <typename... Figures>
  void print(const char* format, Figures... figures) {
    char line[160];
    std::snprintf(line, sizeof line, format, figures...);
    trace << line << '\n';
  }
  void say(const std::string& text) { trace << "# " << text << '\n'; }

  void send(Command& c, uint32_t node, double timeout, double) override {
    print("%.3f send %s to %u, time-out %.2f", now, name(c).c_str(), node, timeout);
    ++sent[node], at[name(c)] = node;
  }
  void setPriorityAndMemory(Command& c, int rank, double mb) override {
    print("%.3f terms %s %d, %.0f MB", now, name(c).c_str(), rank, mb);
  }
  void cancel(Command& c, int send) override { print("%.3f cancel %s send %d", now, name(c).c_str(), send); }
  void shed(Command& c, double wait) override {
    print("%.3f shed %s, come back in %.1f", now, name(c).c_str(), wait);
  }
  void fail(Command& c) override { print("%.3f fail %s", now, name(c).c_str()); }
  void probe(uint32_t node) override { print("%.3f probe %u", now, node); }
  void requestEngineList() override { print("%.3f follow the list", now); }
  void scheduleWakeUp(double when) override { wakes[when] = true; }
  void log(const std::string& line) override { print("%.3f log: %s", now, line.c_str()); }

  // The trace against the kept one; ELMCLEAT_KEEP=1 keeps the new one, to be read before it is committed.
  void check(const std::string& file) {
    std::string path = std::string(TRACES) + file + ".txt";
    if (std::getenv("ELMCLEAT_KEEP"))
      std::ofstream(path) << trace.str();
    std::ifstream kept(path);
    std::stringstream text;
    text << kept.rdbuf();
    CHECK_EQ(trace.str(), text.str());
  }

  Settings settings;
  uint64_t seed;
  double now = 100;
  std::map<std::string, std::shared_ptr<Command>> commands;
  std::map<std::string, uint32_t> at;
  std::map<uint32_t, int> sent;
  std::map<double, bool> wakes;
  std::ostringstream trace;
  std::unique_ptr<Policy> policy;
};

}  // namespace elmcleat
