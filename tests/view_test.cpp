// Which engines a dispatcher uses: whatever the lists, their age and the way they came. What it should be is worked out
// here anew, by sorting all dispatchers before each engine.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "view/rank.h"
#include "view/view.h"

using namespace elmcleat;
using namespace elmcleat::view;

namespace {

constexpr double kBegin = 1e9, kColdTime = 10;
constexpr NodeState kIn = NodeState::inService, kDraining = NodeState::draining, kGone = NodeState::gone;

Settings settingsOf(int dispatchers, int ordinal) {
  Settings set;
  set.gateways = dispatchers, set.ordinal = ordinal, set.coldTime = kColdTime;
  set.profiles.resize(4);
  set.profiles[0].name = "any", set.profiles[1].name = "east", set.profiles[2].name = "large";
  set.profiles[1].zonesOpen = {"e"}, set.profiles[2].kindsOpen = {"xl", "xxl"};
  set.profiles[3] = set.profiles[2], set.profiles[3].name = "large too";
  set.tenants = {{"north", 1, 100}};
  return set;
}
constexpr int kClasses = 3;  // the fourth profile is of the third's
bool serves(int which, const Listing& engine) {
  return which == 0 || (which == 1 ? engine.row.zone == "e" : engine.row.kind == "xl");
}

Listing engineOf(uint32_t id, bool east, bool large, int64_t bornMs = 0) {
  Listing one;
  one.row.id = id, one.row.zone = east ? "e" : "w", one.row.kind = large ? "xl" : "std";
  one.address = {0x0a000000 + id, 4200}, one.bornMs = bornMs;
  return one;
}
std::vector<Listing> enginesOf(uint32_t count) {  // a quarter east, an eighth large
  std::vector<Listing> rows;
  for (uint32_t id = 1; id <= count; ++id) rows.push_back(engineOf(id, id % 4 == 0, id % 8 == 1));
  return rows;
}

int placeBySorting(uint32_t id, int ordinal, int dispatchers) {
  std::vector<std::pair<uint64_t, int>> order;
  for (int i = 0; i < dispatchers; ++i) order.push_back({~weightOf(id, uint32_t(i)), i});
  std::ranges::sort(order);
  return int(std::ranges::find(order, ordinal, &std::pair<uint64_t, int>::second) - order.begin());
}

struct Dispatcher {
  View view;
  std::map<uint32_t, Change> engines = {};  // in view, as told
  uint64_t told = 0;
  Dispatcher(const Plan& plan, int dispatchers, int ordinal) : view(plan, settingsOf(dispatchers, ordinal)) {}

  void take(const std::vector<Change>& changes) {
    told += changes.size();
    for (auto& change : changes) {
      uint32_t id = change.listing.row.id;
      if (change.listing.row.state != kGone)
        engines.insert_or_assign(id, change);
      else if (engines.erase(id) == 0)
        throw std::logic_error("told as gone, and never told before");
    }
  }
  void whole(const std::vector<Listing>& rows, double now = kBegin) { take(view.apply({1, true, rows}, now)); }
  void changes(const std::vector<Listing>& rows, double now = kBegin) {
    take(view.apply({1, false, rows}, now));
  }
  // All that comes by itself until then; `after` looks at each step.
  template <class After>
  void until(double end, After&& after) {
    for (int steps = 0; view.wakes() <= end; ++steps) {
      if (steps > 2000) throw std::logic_error("wakes without an end");
      double now = view.wakes();
      take(view.tick(now)), after(now);
    }
    take(view.tick(end)), after(end);
  }
  std::set<uint32_t> inService() const {
    std::set<uint32_t> ids;
    for (auto& [id, change] : engines)
      if (change.listing.row.state == kIn) ids.insert(id);
    return ids;
  }
};

// What one dispatcher has been told and found, and what must be true then.
struct Model {
  Plan plan;
  int dispatchers, ordinal;
  std::map<uint32_t, Listing> list = {};
  std::set<uint32_t> unfit = {};
  std::map<uint32_t, int> places = {};

  int base() const { return std::min(plan.users, dispatchers); }
  int placeOf(uint32_t id) {
    auto [at, fresh] = places.try_emplace(id, 0);
    if (fresh) at->second = placeBySorting(id, ordinal, dispatchers);
    return at->second;
  }
  static bool cold(const Listing& one, double now) {
    return one.bornMs > 0 && now < double(one.bornMs) / 1000 + kColdTime;
  }
  int countOf(int which) const {
    return int(std::ranges::count_if(
        list, [&](auto& one) { return one.second.row.state == kIn && serves(which, one.second); }));
  }
  int boundOf(int which) const {
    int count = countOf(which), wide = 1;
    while (count > 0 && wide * count < 2 * dispatchers * plan.least) wide *= 2;
    return std::min(dispatchers, std::max(plan.mostUsers, wide));
  }
  int needOf(int which) const {
    double part = plan.usablePart * countOf(which) * base() / dispatchers;
    return std::max(std::min(plan.least, countOf(which)), int(std::ceil(part - 1e-9)));
  }
  int usableBefore(int which, int place, double now) {
    int usable = 0;
    for (auto& [id, one] : list)
      usable += one.row.state == kIn && serves(which, one) && !cold(one, now) && !unfit.contains(id) &&
                placeOf(id) < place;
    return usable;
  }
  // `fresh`: nothing was wide before, so nothing is in view that isn't needed.
  std::string broken(const Dispatcher& is, double now, bool fresh = false) {
    for (auto& [id, one] : list) {
      bool in = is.engines.contains(id), draining = one.row.state == kDraining;
      int place = placeOf(id);
      auto at = " engine " + std::to_string(id) + " at place " + std::to_string(place);
      if (place < base() && !in) return "missing:" + at;
      if (!in) continue;
      auto& told = is.engines.at(id);
      if (told.place != (place < base() ? place : -1)) return "told with another place:" + at;
      if (told.listing.address != one.address || told.listing.bornMs != one.bornMs ||
          told.listing.row.zone != one.row.zone || told.listing.row.state != one.row.state)
        return "told otherwise than listed:" + at;
      if (place < base() || draining) continue;
      if (cold(one, now)) return "cold and out of the first:" + at;
      bool allowed = false, inOrder = false, needed = false;
      for (int which = 0; which < kClasses; ++which) {
        if (!serves(which, one)) continue;
        allowed |= place < boundOf(which), needed |= usableBefore(which, place, now) < needOf(which);
        inOrder |= std::ranges::all_of(list, [&](auto& other) {
          return !serves(which, other.second) || other.second.row.state != kIn ||
                 cold(other.second, now) || placeOf(other.first) > place || is.engines.contains(other.first);
        });
      }
      if (!allowed) return "over the bound:" + at;
      if (!inOrder) return "nearer ones left out:" + at;
      if (fresh && !needed) return "not needed:" + at;
    }
    for (auto& [id, told] : is.engines)
      if (!list.contains(id)) return "not listed: " + std::to_string(id);
    for (int which = 0; which < kClasses; ++which) {
      int usable = 0;
      for (auto& [id, told] : is.engines)
        usable += told.listing.row.state == kIn && serves(which, told.listing) && !cold(list.at(id), now) &&
                  !unfit.contains(id);
      if (usable < std::min(needOf(which), usableBefore(which, boundOf(which), now)))
        return "too few of class " + std::to_string(which);
    }
    return is.view.figures().used == is.inService().size() ? "" : "used: counted otherwise";
  }
};

Plan planOf(int users, int mostUsers, int least, double usablePart = 0.5) {
  return {users, mostUsers, least, usablePart, 5};
}
// How one dispatcher's list changes: what happens, to which engine, in which way.
enum class What { whole, add, takeAway, drain, restart, move, unfit, fit, wait, waitLong, kinds };
using Step = std::tuple<int, uint32_t, int>;
auto steps() {
  auto step = rc::gen::tuple(rc::gen::inRange(0, int(What::kinds)), rc::gen::inRange<uint32_t>(1, 50),
                             rc::gen::inRange(0, 8));
  return rc::gen::container<std::vector<Step>>(step);
}

}  // namespace

TEST_CASE("a place is how many others stand before an engine, and each is held by one") {
  CHECK(rc::check([] {
    auto id = *rc::gen::arbitrary<uint32_t>();
    int dispatchers = *rc::gen::inRange(1, 300), cap = *rc::gen::inRange(1, 330);
    std::set<int> places;
    for (int i = 0; i < dispatchers; ++i) {
      int place = placeBySorting(id, i, dispatchers);
      RC_ASSERT(placeOf(id, i, dispatchers, cap) == std::min(place, cap));
      places.insert(place);
    }
    RC_ASSERT(int(places.size()) == dispatchers);
  }));
  std::vector<int> first(100);  // and none is favoured, with ids and ordinals that count up
  for (uint32_t id = 0; id < 20000; ++id)
    for (int i = 0; i < 100; ++i) first[size_t(i)] += placeOf(id, i, 100, 1) == 0;
  auto [least, most] = std::ranges::minmax(first);
  CHECK_GT(least, 200 - 5 * std::sqrt(200));
  CHECK_LT(most, 200 + 5 * std::sqrt(200));
}

TEST_CASE("an engine has its users, each with a place of its own, whatever lists they have") {
  CHECK(rc::check([] {
    int dispatchers = *rc::gen::inRange(1, 20);
    Plan plan = planOf(*rc::gen::inRange(1, 8), 8 + *rc::gen::inRange(0, 8), *rc::gen::inRange(1, 4));
    auto ids = *rc::gen::unique<std::vector<uint32_t>>(rc::gen::arbitrary<uint32_t>());
    int64_t born = int64_t(kBegin * 1000);
    std::map<uint32_t, std::set<int>> users, listers;
    std::map<uint32_t, int> all;
    int bound = 0;
    for (int i = 0; i < dispatchers; ++i) {
      Dispatcher one(plan, dispatchers, i);
      Model model{plan, dispatchers, i};
      auto known = *rc::gen::container<std::vector<bool>>(ids.size(), rc::gen::weightedElement<bool>({{4, true}, {1, false}}));
      for (size_t e = 0; e < ids.size(); ++e)  // a fifth is cold
        if (known[e]) model.list[ids[e]] = engineOf(ids[e], ids[e] % 2, ids[e] % 3 == 0, ids[e] % 5 ? 0 : born);
      for (auto& [id, row] : model.list) one.changes({row}), listers[id].insert(i);
      for (size_t e = 0; e < ids.size(); e += 2) one.view.rests(ids[e], true);
      one.take(one.view.tick(kBegin));
      for (auto& [id, told] : one.engines) {
        ++all[id];
        if (told.place >= 0) RC_ASSERT(users[id].insert(told.place).second);
        RC_ASSERT((told.place >= 0 || id % 5 != 0));  // cold
      }
      for (int which = 0; which < kClasses; ++which) bound = std::max(bound, model.boundOf(which));
    }
    int first = std::min(plan.users, dispatchers);
    for (auto& [id, by] : listers) {
      std::set<int> should;
      for (int i : by)
        if (int place = placeBySorting(id, i, dispatchers); place < first) should.insert(place);
      RC_ASSERT(users[id] == should);
      if (int(by.size()) == dispatchers) RC_ASSERT(int(should.size()) == first);
      RC_ASSERT(all[id] <= bound);
    }
  }));
}

TEST_CASE("whatever comes, a view is in order, within its bound, has enough, and forgets how it came about") {
  CHECK(rc::check([] {
    int dispatchers = *rc::gen::inRange(1, 40), users = *rc::gen::inRange(1, 10);
    Plan plan = planOf(users, users + *rc::gen::inRange(0, 12), *rc::gen::inRange(1, 6),
                       *rc::gen::element(0.0, 0.5, 1.0));
    int ordinal = *rc::gen::inRange(0, dispatchers);
    Dispatcher one(plan, dispatchers, ordinal);
    Model model{plan, dispatchers, ordinal};
    double now = kBegin;
    auto sound = [&](double at) {
      std::erase_if(model.unfit, [&](uint32_t id) { return !one.engines.contains(id); });
      RC_ASSERT(model.broken(one, at) == "");
    };
    for (auto& [kind, id, way] : *steps()) {
      Listing row = engineOf(id, way & 1, way & 2, way & 4 ? int64_t(now * 1000) - 5000 : 0);
      if (auto known = model.list.find(id); known != model.list.end() && What(kind) != What::add) row = known->second;
      std::vector<Listing> rows;
      switch (What(kind)) {
        case What::whole: {  // of all that is known up to some id, and some that are not
          std::erase_if(model.list, [&](auto& known) { return known.first > id + 20; });
          for (uint32_t more = id; more < id + uint32_t(way) * 3; ++more)
            model.list.try_emplace(more, engineOf(more, more % 3 == 0, more % 4 == 0));
          for (auto& [known, listing] : model.list) rows.push_back(listing);
          std::ranges::reverse(rows);
          if (!rows.empty()) rows.insert(rows.begin(), engineOf(rows[0].row.id, false, true, 99));  // not the last
          one.whole(rows, now);
          break;
        }
        case What::takeAway: row.row.state = kGone; break;
        case What::drain: row.row.state = kDraining; break;
        case What::restart:
          row.bornMs = int64_t(now * 1000), row.row.state = kIn, row.address.port = uint16_t(row.address.port + way);
          break;
        case What::move: row.row.zone = row.row.zone == "e" ? "w" : "e"; break;
        case What::unfit:
        case What::fit:
          for (auto& [near, told] : one.engines)
            if (int(near % 8) <= way)
              one.view.rests(near, What(kind) == What::unfit),
                  What(kind) == What::unfit ? void(model.unfit.insert(near)) : void(model.unfit.erase(near));
          break;
        case What::wait: now += way / 4.0; break;
        case What::waitLong: now += way * 3; break;
        default: break;
      }
      if (std::set{What::add, What::takeAway, What::drain, What::restart, What::move}.contains(What(kind))) {
        auto known = model.list.find(id);
        if (known != model.list.end() && (known->second.bornMs != row.bornMs || known->second.address != row.address))
          model.unfit.erase(id);
        model.list.insert_or_assign(id, row);
        if (row.row.state == kGone) model.list.erase(id);
        one.changes({row}, now);
      }
      one.until(now, sound);
      uint64_t told = one.told;
      one.take(one.view.tick(now));
      RC_ASSERT(one.told == told);  // nothing more, until it wakes
    }
    for (auto& [id, told] : one.engines) one.view.rests(id, false);
    model.unfit.clear();
    one.until(now + 1000, sound);
    Dispatcher anew(plan, dispatchers, ordinal);
    std::vector<Listing> rows;
    for (auto& [id, row] : model.list) rows.push_back(row);
    anew.whole(rows, now + 1000);
    RC_ASSERT(model.broken(anew, now + 1000, true) == "");
    RC_ASSERT(anew.inService() == one.inService());
    RC_ASSERT(one.view.wakes() == HUGE_VAL);
  }));
}
