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

struct Scene : Outlet {
  explicit Scene(Settings given, uint64_t chance = 7) : settings(std::move(given)), seed(chance) {
    restart();
  }

  static Settings site() {
    Settings set;
    Profile quick, dear, load;
    quick.name = "quick", quick.target = 1, quick.targetStretch = 2, quick.clientTimeout = 5,
    quick.benefit = 1;
    dear.name = "dear", dear.target = 2, dear.targetStretch = 2.5, dear.clientTimeout = 15, dear.benefit = 8;
    dear.threads = 2, dear.lateShare = 0.3;
    load.name = "load", load.target = 4, load.targetStretch = 3, load.clientTimeout = 25, load.benefit = 5;
    load.effect = Effect::nonReplayable, load.lateShare = 0.5;
    set.profiles = {quick, dear, load};
    set.tenants = {{"north", 0.75, 0}, {"south", 0.25, 0}};
    set.kinds = {{"eight", 8, 16000}};
    set.maxSends = 6, set.coldFrom = 0.4, set.coldTime = 10, set.fallMultiple = 2, set.fallTime = 1;
    return set;
  }
  void restart() {
    commands.clear(), at.clear(), wakes.clear(), gateway = openGateway(settings, seed, *this),
                                                 gateway->at(now);
  }

  void nodes(std::vector<uint32_t> ids, NodeState state = NodeState::inService,
             std::optional<double> started = {}, ListKind kind = ListKind::full) {
    std::vector<NodeRow> rows;
    for (uint32_t id : ids)
      rows.push_back({id, id % 2 ? "a" : "b", "eight", 0, state, started});
    gateway->list(kind, rows), gateway->settle();
  }
  void take(const std::string& name, const std::string& profile, double work,
            const std::string& tenant = "north", uint64_t tables = 1, std::optional<uint64_t> key = {},
            double left = 0, double memory = 0) {
    for (auto& p : settings.profiles)
      if (p.name == profile && left == 0)
        left = p.clientTimeout;
    commands[name] = gateway->take({profile, tenant, tables, key, work, memory, left}), gateway->settle();
  }
  void ends(const std::string& name, Outcome what, double took = 0.01, bool final = false) {
    commands.at(name)->outcome(what, took, final || what == Outcome::answered, nullptr, nullptr);
    gateway->settle();
  }
  void to(double time) {  // fires what wakes on the way
    while (!wakes.empty() && wakes.begin()->first <= time) {
      now = std::max(now, wakes.begin()->first), wakes.erase(wakes.begin());
      gateway->at(now), gateway->settle();
    }
    now = time, gateway->at(now);
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
  void terms(Command& c, int rank, double mb) override {
    print("%.3f terms %s %d, %.0f MB", now, name(c).c_str(), rank, mb);
  }
  void cancel(Command& c, int send) override { print("%.3f cancel %s send %d", now, name(c).c_str(), send); }
  void shed(Command& c, double wait) override {
    print("%.3f shed %s, come back in %.1f", now, name(c).c_str(), wait);
  }
  void fail(Command& c) override { print("%.3f fail %s", now, name(c).c_str()); }
  void probe(uint32_t node) override { print("%.3f probe %u", now, node); }
  void followList() override { print("%.3f follow the list", now); }
  void wake(double when) override { wakes[when] = true; }
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
  std::unique_ptr<Gateway> gateway;
};

}  // namespace elmcleat
