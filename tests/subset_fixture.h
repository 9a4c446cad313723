// What the tests of the view share: a fleet's settings and engines, a dispatcher that keeps what its view
// tells, and a model of what it should have told, worked out anew by sorting all dispatchers before each
// engine.
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

constexpr double kBegin = 1e9, kColdTime = 10;
constexpr EngineState kIn = EngineState::inService, kDraining = EngineState::draining,
                      kGone = EngineState::removed;

inline Settings settingsOf(int dispatchers, int ordinal) {
  Settings set;
  set.gatewayCount = dispatchers, set.ordinal = ordinal, set.coldDuration = kColdTime;
  set.profiles.resize(4);
  set.profiles[0].name = "any", set.profiles[1].name = "east", set.profiles[2].name = "large";
  set.profiles[1].allowedZones = {"e"}, set.profiles[2].allowedKinds = {"xxl", "xl"};
  set.profiles[3].name = "large too", set.profiles[3].allowedKinds = {"xl", "xxl"};
  set.tenants = {{"north", 1, 100}};
  return set;
}
constexpr int kClasses = 3;  // the fourth profile is of the third's
inline bool serves(int which, const ListedEngine& engine) {
  return which == 0 || (which == 1 ? engine.record.zone == "e" : engine.record.kind == "xl");
}

inline ListedEngine engineOf(uint32_t id, bool east, bool large, int64_t bornMs = 0) {
  ListedEngine one;
  one.record.id = id, one.record.zone = east ? "e" : "w", one.record.kind = large ? "xl" : "std";
  one.address = {0x0a000000 + id, 4200}, one.startedAtUnixMs = bornMs;
  return one;
}
inline std::vector<ListedEngine> enginesOf(uint32_t count) {  // a quarter east, an eighth large
  std::vector<ListedEngine> rows;
  for (uint32_t id = 1; id <= count; ++id)
    rows.push_back(engineOf(id, id % 4 == 0, id % 8 == 1));
  return rows;
}

inline int placeBySorting(uint32_t id, int ordinal, int dispatchers) {
  std::vector<std::pair<uint64_t, int>> order;
  for (int i = 0; i < dispatchers; ++i)
    order.push_back({~rendezvousWeight(id, uint32_t(i)), i});
  std::ranges::sort(order);
  return int(std::ranges::find(order, ordinal, &std::pair<uint64_t, int>::second) - order.begin());
}

struct SubsetHarness {
  EngineSubset view;
  std::map<uint32_t, ListedEngine> engines = {};  // in view, as told
  uint64_t told = 0;
  SubsetHarness(const SubsetSettings& plan, int dispatchers, int ordinal)
      : view(plan, settingsOf(dispatchers, ordinal)) {}

  void take(const std::vector<ListedEngine>& changes) {
    told += changes.size();
    for (auto& change : changes) {
      uint32_t id = change.record.id;
      if (change.record.state != kGone)
        engines.insert_or_assign(id, change);
      else if (engines.erase(id) == 0)
        throw std::logic_error("told as gone, and never told before");
    }
  }
  void whole(const std::vector<ListedEngine>& rows, double now = kBegin) {
    take(view.apply({1, true, rows}, now));
  }
  void changes(const std::vector<ListedEngine>& rows, double now = kBegin) {
    take(view.apply({1, false, rows}, now));
  }
  // All that comes by itself until then; `after` looks at each step.
  template <class After>
  void until(double end, After&& after) {
    for (int steps = 0; view.nextWakeUp() <= end; ++steps) {
      if (steps > 2000)
        throw std::logic_error("wakes without an end");
      double now = view.nextWakeUp();
      take(view.tick(now)), after(now);
    }
    take(view.tick(end)), after(end);
  }
  std::set<uint32_t> inService() const {
    std::set<uint32_t> ids;
    for (auto& [id, change] : engines)
      if (change.record.state == kIn)
        ids.insert(id);
    return ids;
  }
};

// What one dispatcher has been told and found, and what must be true then.
struct Model {
  SubsetSettings plan;
  int dispatchers, ordinal;
  std::map<uint32_t, ListedEngine> list = {}, latest = {};  // the latter with those that have gone
  std::set<uint32_t> unfit = {};
  std::map<uint32_t, int> places = {};

  void put(const ListedEngine& row) {  // or take away; who starts anew is fit
    auto [at, fresh] = latest.try_emplace(row.record.id, row);
    if (at->second.startedAtUnixMs != row.startedAtUnixMs || at->second.address != row.address)
      unfit.erase(row.record.id);
    at->second = row;
    row.record.state == kGone ? void(list.erase(row.record.id))
                              : void(list.insert_or_assign(row.record.id, row));
  }
  int base() const { return std::min(plan.usersPerEngine, dispatchers); }
  int placeOf(uint32_t id) {
    auto [at, fresh] = places.try_emplace(id, 0);
    if (fresh)
      at->second = placeBySorting(id, ordinal, dispatchers);
    return at->second;
  }
  static bool cold(const ListedEngine& one, double now) {
    return one.startedAtUnixMs > 0 && now < double(one.startedAtUnixMs) / 1000 + kColdTime;
  }
  int countOf(int which) const {
    return int(std::ranges::count_if(
        list, [&](auto& one) { return one.second.record.state == kIn && serves(which, one.second); }));
  }
  int boundOf(int which) const {
    int count = countOf(which), wide = 1;
    while (count > 0 && wide * count < 2 * dispatchers * plan.minEnginesPerClass)
      wide *= 2;
    return std::min(dispatchers, std::max(plan.maxUsersPerEngine, wide));
  }
  int needOf(int which) const {
    double part = plan.minUsableShare * countOf(which) * base() / dispatchers;
    return std::max(std::min(plan.minEnginesPerClass, countOf(which)), int(std::ceil(part - 1e-9)));
  }
  int usableBefore(int which, int place, double now) {
    int usable = 0;
    for (auto& [id, one] : list)
      usable += one.record.state == kIn && serves(which, one) && !cold(one, now) && !unfit.contains(id) &&
                placeOf(id) < place;
    return usable;
  }
  // `settled`: long ago, so nothing is in view that isn't needed.
  std::string broken(const SubsetHarness& is, double now, bool settled = false) {
    for (auto& [id, one] : list) {
      bool in = is.engines.contains(id), draining = one.record.state == kDraining;
      int place = placeOf(id);
      auto at = " engine " + std::to_string(id) + " at place " + std::to_string(place);
      if (place < base() && !in)
        return "missing:" + at;
      if (!in)
        continue;
      auto& told = is.engines.at(id);
      if (told.record.rank.value_or(-1) != (place < base() ? place : -1))
        return "told with another place:" + at;
      if (told.address != one.address || told.startedAtUnixMs != one.startedAtUnixMs ||
          told.record.zone != one.record.zone || told.record.state != one.record.state)
        return "told otherwise than listed:" + at;
      if (place < base() || draining)
        continue;
      if (cold(one, now))
        return "cold and out of the first:" + at;
      bool allowed = false, inOrder = false, needed = false;
      for (int which = 0; which < kClasses; ++which) {
        if (!serves(which, one))
          continue;
        allowed |= place < boundOf(which), needed |= usableBefore(which, place, now) < needOf(which);
        inOrder |= std::ranges::all_of(list, [&](auto& other) {
          return !serves(which, other.second) || other.second.record.state != kIn ||
                 cold(other.second, now) || placeOf(other.first) > place || is.engines.contains(other.first);
        });
      }
      if (!allowed)
        return "over the bound:" + at;
      if (!inOrder)
        return "nearer ones left out:" + at;
      if (settled && !needed)
        return "not needed:" + at;
    }
    for (auto& [id, told] : is.engines)
      if (!list.contains(id))
        return "not listed: " + std::to_string(id);
    for (int which = 0; which < kClasses; ++which) {
      int usable = 0;
      for (auto& [id, told] : is.engines)
        usable +=
            told.record.state == kIn && serves(which, told) && !cold(list.at(id), now) && !unfit.contains(id);
      if (usable < std::min(needOf(which), usableBefore(which, boundOf(which), now)))
        return "too few of class " + std::to_string(which);
    }
    return is.view.statistics().inUse == is.inService().size() ? "" : "used: counted otherwise";
  }
};

inline SubsetSettings planOf(int users, int mostUsers, int least, double usablePart = 0.5) {
  return {users, mostUsers, least, usablePart, 5};
}

}  // namespace scene
