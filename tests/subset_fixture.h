// Fixture of the engine subset's tests: settings and engines of a fleet, a harness that keeps what its subset
// reports, and a reference model of what it must report, computed by sorting all dispatchers by weight for
// each engine.
#pragma once
#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <stdexcept>

#include "view/engine_subset.h"
#include "view/rendezvous_rank.h"

namespace scene {

using namespace elmcleat;
using namespace elmcleat::view;

constexpr double kStartTime = 1e9, kColdDuration = 10;
constexpr EngineState kInService = EngineState::inService, kDraining = EngineState::draining,
                      kRemoved = EngineState::removed;

inline Settings makeSettings(int dispatchers, int ordinal) {
  Settings settings;
  settings.gatewayCount = dispatchers;
  settings.ordinal = ordinal;
  settings.coldDuration = kColdDuration;
  settings.profiles.resize(4);
  settings.profiles[0].name = "any";
  settings.profiles[1].name = "east";
  settings.profiles[2].name = "large";
  settings.profiles[1].allowedZones = {"e"};
  settings.profiles[2].allowedKinds = {"xxl", "xl"};
  settings.profiles[3].name = "large too";
  settings.profiles[3].allowedKinds = {"xl", "xxl"};
  settings.tenants = {{"north", 1, 100}};
  return settings;
}
constexpr int kClasses = 3;  // the fourth profile has the class of the third
inline bool serves(int classIndex, const ListedEngine& engine) {
  return classIndex == 0 || (classIndex == 1 ? engine.record.zone == "e" : engine.record.kind == "xl");
}

inline ListedEngine makeEngine(uint32_t id, bool east, bool large, int64_t startedAtUnixMs = 0) {
  ListedEngine engine;
  engine.record.id = id;
  engine.record.zone = east ? "e" : "w";
  engine.record.kind = large ? "xl" : "std";
  engine.address = {0x0a000000 + id, 4200};
  engine.startedAtUnixMs = startedAtUnixMs;
  return engine;
}
inline std::vector<ListedEngine> makeEngines(uint32_t count) {  // a quarter in the east, an eighth large
  std::vector<ListedEngine> listedEngines;
  for (uint32_t id = 1; id <= count; ++id)
    listedEngines.push_back(makeEngine(id, id % 4 == 0, id % 8 == 1));
  return listedEngines;
}

inline int rankBySorting(uint32_t id, int ordinal, int dispatchers) {
  std::vector<std::pair<uint64_t, int>> order;
  for (int i = 0; i < dispatchers; ++i)
    order.push_back({~rendezvousWeight(id, uint32_t(i)), i});
  std::ranges::sort(order);
  return int(std::ranges::find(order, ordinal, &std::pair<uint64_t, int>::second) - order.begin());
}

struct SubsetHarness {
  EngineSubset subset;
  std::map<uint32_t, ListedEngine> engines = {};  // in the subset, as reported
  uint64_t reported = 0;
  SubsetHarness(const SubsetSettings& subsetSettings, int dispatchers, int ordinal)
      : subset(subsetSettings, makeSettings(dispatchers, ordinal)) {}

  void applyChanges(const std::vector<ListedEngine>& changes) {
    reported += changes.size();
    for (auto& change : changes) {
      uint32_t id = change.record.id;
      if (change.record.state != kRemoved)
        engines.insert_or_assign(id, change);
      else if (engines.erase(id) == 0)
        throw std::logic_error("reported as removed but never reported before");
    }
  }
  void applyFullList(const std::vector<ListedEngine>& listedEngines, double now = kStartTime) {
    applyChanges(subset.apply({1, true, listedEngines}, now));
  }
  void applyDelta(const std::vector<ListedEngine>& listedEngines, double now = kStartTime) {
    applyChanges(subset.apply({1, false, listedEngines}, now));
  }
  // Ticks at each wake-up until `end`; calls `after` with the time of each step.
  template <class After>
  void runUntil(double end, After&& after) {
    for (int steps = 0; subset.nextWakeUp() <= end; ++steps) {
      if (steps > 2000)
        throw std::logic_error("wake-ups without end");
      double now = subset.nextWakeUp();
      applyChanges(subset.tick(now));
      after(now);
    }
    applyChanges(subset.tick(end));
    after(end);
  }
  std::set<uint32_t> inService() const {
    std::set<uint32_t> ids;
    for (auto& [id, change] : engines)
      if (change.record.state == kInService)
        ids.insert(id);
    return ids;
  }
};

// The list and ejections that one dispatcher has seen, and what its subset must be then.
struct ReferenceModel {
  SubsetSettings subsetSettings;
  int dispatchers, ordinal;
  std::map<uint32_t, ListedEngine> listed = {}, known = {};  // `known` includes removed engines
  std::set<uint32_t> ejected = {};
  std::map<uint32_t, int> ranks = {};

  void update(const ListedEngine& engine) {  // or removes it; a restarted engine is not ejected
    auto [entry, inserted] = known.try_emplace(engine.record.id, engine);
    if (entry->second.startedAtUnixMs != engine.startedAtUnixMs || entry->second.address != engine.address)
      ejected.erase(engine.record.id);
    entry->second = engine;
    engine.record.state == kRemoved ? void(listed.erase(engine.record.id))
                                    : void(listed.insert_or_assign(engine.record.id, engine));
  }
  int baseDepth() const { return std::min(subsetSettings.usersPerEngine, dispatchers); }
  int rankOf(uint32_t id) {
    auto [entry, inserted] = ranks.try_emplace(id, 0);
    if (inserted)
      entry->second = rankBySorting(id, ordinal, dispatchers);
    return entry->second;
  }
  static bool isCold(const ListedEngine& engine, double now) {
    return engine.startedAtUnixMs > 0 && now < double(engine.startedAtUnixMs) / 1000 + kColdDuration;
  }
  int listedCount(int classIndex) const {
    return int(std::ranges::count_if(listed, [&](auto& engine) {
      return engine.second.record.state == kInService && serves(classIndex, engine.second);
    }));
  }
  int maxDepth(int classIndex) const {
    int count = listedCount(classIndex), depth = 1;
    while (count > 0 && depth * count < 2 * dispatchers * subsetSettings.minEnginesPerClass)
      depth *= 2;
    return std::min(dispatchers, std::max(subsetSettings.maxUsersPerEngine, depth));
  }
  int requiredEngines(int classIndex) const {
    double part = subsetSettings.minUsableShare * listedCount(classIndex) * baseDepth() / dispatchers;
    return std::max(std::min(subsetSettings.minEnginesPerClass, listedCount(classIndex)),
                    int(std::ceil(part - 1e-9)));
  }
  int usableBelow(int classIndex, int rank, double now) {
    int usable = 0;
    for (auto& [id, engine] : listed)
      usable += engine.record.state == kInService && serves(classIndex, engine) && !isCold(engine, now) &&
                !ejected.contains(id) && rankOf(id) < rank;
    return usable;
  }
  // The first violation found, or an empty string. `settled`: the last change was long ago, so the subset
  // holds no engine that is not needed.
  std::string violation(const SubsetHarness& harness, double now, bool settled = false) {
    for (auto& [id, engine] : listed) {
      bool inSubset = harness.engines.contains(id), draining = engine.record.state == kDraining;
      int rank = rankOf(id);
      auto where = " engine " + std::to_string(id) + " at rank " + std::to_string(rank);
      if (rank < baseDepth() && !inSubset)
        return "missing:" + where;
      if (!inSubset)
        continue;
      auto& reported = harness.engines.at(id);
      if (reported.record.rank.value_or(-1) != (rank < baseDepth() ? rank : -1))
        return "reported with another rank:" + where;
      if (reported.address != engine.address || reported.startedAtUnixMs != engine.startedAtUnixMs ||
          reported.record.zone != engine.record.zone || reported.record.state != engine.record.state)
        return "reported otherwise than listed:" + where;
      if (rank < baseDepth() || draining)
        continue;
      if (isCold(engine, now))
        return "cold and beyond the base depth:" + where;
      bool allowed = false, inOrder = false, needed = false;
      for (int classIndex = 0; classIndex < kClasses; ++classIndex) {
        if (!serves(classIndex, engine))
          continue;
        allowed |= rank < maxDepth(classIndex);
        needed |= usableBelow(classIndex, rank, now) < requiredEngines(classIndex);
        inOrder |= std::ranges::all_of(listed, [&](auto& other) {
          return !serves(classIndex, other.second) || other.second.record.state != kInService ||
                 isCold(other.second, now) || rankOf(other.first) > rank ||
                 harness.engines.contains(other.first);
        });
      }
      if (!allowed)
        return "beyond the maximum depth:" + where;
      if (!inOrder)
        return "engines of lower rank left out:" + where;
      if (settled && !needed)
        return "not needed:" + where;
    }
    for (auto& [id, reported] : harness.engines)
      if (!listed.contains(id))
        return "not listed: " + std::to_string(id);
    for (int classIndex = 0; classIndex < kClasses; ++classIndex) {
      int usable = 0;
      for (auto& [id, reported] : harness.engines)
        usable += reported.record.state == kInService && serves(classIndex, reported) &&
                  !isCold(listed.at(id), now) && !ejected.contains(id);
      if (usable < std::min(requiredEngines(classIndex), usableBelow(classIndex, maxDepth(classIndex), now)))
        return "too few of class " + std::to_string(classIndex);
    }
    return harness.subset.statistics().inUse == harness.inService().size()
               ? ""
               : "inUse differs from the engines in service";
  }
};

inline SubsetSettings makeSubsetSettings(int users, int mostUsers, int least, double usablePart = 0.5) {
  return {users, mostUsers, least, usablePart, 5};
}

}  // namespace scene
