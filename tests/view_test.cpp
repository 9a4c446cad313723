// Which engines a dispatcher uses: whatever the lists, their age and the way they came.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "subset_fixture.h"

using namespace scene;

namespace {

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
      RC_ASSERT(rendezvousRank(id, i, dispatchers, cap) == std::min(place, cap));
      places.insert(place);
    }
    RC_ASSERT(int(places.size()) == dispatchers);
  }));
  std::vector<int> first(100);  // and none is favoured, with ids and ordinals that count up
  for (uint32_t id = 0; id < 20000; ++id)
    for (int i = 0; i < 100; ++i)
      first[size_t(i)] += rendezvousRank(id, i, 100, 1) == 0;
  int both = 0;  // nor does one follow from another: 2,000 engines, 99 pairs, a hundredth of them by chance
  for (uint32_t id = 0; id < 2000; ++id)
    for (int i = 0; i < 99; ++i)
      both += rendezvousRank(id, i + 1, 100, 10) < 10 && rendezvousRank(id + 1, i, 100, 10) < 10;
  CHECK_LT(std::abs(both - 1980), 5 * std::sqrt(1980));
  auto [least, most] = std::ranges::minmax(first);
  CHECK_GT(least, 200 - 5 * std::sqrt(200));
  CHECK_LT(most, 200 + 5 * std::sqrt(200));
}

TEST_CASE("an engine has its users, each with a place of its own, whatever lists they have") {
  CHECK(rc::check([] {
    int dispatchers = *rc::gen::inRange(1, 20);
    SubsetSettings plan =
        planOf(*rc::gen::inRange(1, 8), 8 + *rc::gen::inRange(0, 8), *rc::gen::inRange(1, 4));
    auto ids = *rc::gen::unique<std::vector<uint32_t>>(rc::gen::arbitrary<uint32_t>());
    int64_t born = int64_t(kBegin * 1000);
    std::map<uint32_t, std::set<int>> users, listers;
    std::map<uint32_t, int> all;
    int bound = 0;
    for (int i = 0; i < dispatchers; ++i) {
      SubsetHarness one(plan, dispatchers, i);
      Model model{plan, dispatchers, i};
      auto known = *rc::gen::container<std::vector<bool>>(
          ids.size(), rc::gen::weightedElement<bool>({{4, true}, {1, false}}));
      for (size_t e = 0; e < ids.size(); ++e)  // a fifth is cold
        if (known[e])
          model.list[ids[e]] = engineOf(ids[e], ids[e] % 2, ids[e] % 3 == 0, ids[e] % 5 ? 0 : born);
      for (auto& [id, row] : model.list)
        one.changes({row}), listers[id].insert(i);
      for (size_t e = 0; e < ids.size(); e += 2)
        one.view.setEjected(ids[e], true);
      one.take(one.view.tick(kBegin));
      for (auto& [id, told] : one.engines) {
        ++all[id];
        if (told.record.rank)
          RC_ASSERT(users[id].insert(*told.record.rank).second);
        RC_ASSERT((told.record.rank || id % 5 != 0));  // cold
      }
      for (int which = 0; which < kClasses; ++which)
        bound = std::max(bound, model.boundOf(which));
    }
    int first = std::min(plan.usersPerEngine, dispatchers);
    for (auto& [id, by] : listers) {
      std::set<int> should;
      for (int i : by)
        if (int place = placeBySorting(id, i, dispatchers); place < first)
          should.insert(place);
      RC_ASSERT(users[id] == should);
      if (int(by.size()) == dispatchers)
        RC_ASSERT(int(should.size()) == first);
      RC_ASSERT(all[id] <= bound);
    }
  }));
}

TEST_CASE("whatever comes, a view is in order, within its bound, has enough, and forgets how it came about") {
  CHECK(rc::check([] {
    int dispatchers = *rc::gen::inRange(1, 40), users = *rc::gen::inRange(1, 10);
    SubsetSettings plan = planOf(users, users + *rc::gen::inRange(0, 12), *rc::gen::inRange(1, 6),
                                 *rc::gen::element(0.0, 0.5, 1.0));
    int ordinal = *rc::gen::inRange(0, dispatchers);
    SubsetHarness one(plan, dispatchers, ordinal);
    Model model{plan, dispatchers, ordinal};
    double now = kBegin;
    auto sound = [&](double at) {
      std::erase_if(model.unfit, [&](uint32_t id) { return !one.engines.contains(id); });
      RC_ASSERT(model.broken(one, at) == "");
    };
    for (auto& [kind, id, way] : *steps()) {
      ListedEngine row = engineOf(id, way & 1, way & 2, way & 4 ? int64_t(now * 1000) - 5000 : 0);
      if (auto known = model.list.find(id); known != model.list.end() && What(kind) != What::add)
        row = known->second;
      std::vector<ListedEngine> rows;
      switch (What(kind)) {
        case What::whole: {  // of all that is known up to some id, and some that are not
          std::erase_if(model.list, [&](auto& known) {
            return known.first > id + 20 || known.first % 9 == uint32_t(way);
          });
          for (uint32_t more = id; more < id + uint32_t(way) * 3; ++more)
            if (!model.list.contains(more))
              model.put(engineOf(more, more % 3 == 0, more % 4 == 0));
          for (auto& [known, listing] : model.list)
            rows.push_back(listing);
          std::ranges::reverse(rows);
          if (!rows.empty())
            rows.insert(rows.begin(), engineOf(rows[0].record.id, false, true, 99));  // not the last
          one.whole(rows, now);
          break;
        }
        case What::takeAway:
          row.record.state = kGone;
          break;
        case What::drain:
          row.record.state = kDraining;
          break;
        case What::restart:
          row.startedAtUnixMs = int64_t(now * 1000), row.record.state = kIn,
          row.address.port = uint16_t(row.address.port + way);
          break;
        case What::move:
          row.record.zone = row.record.zone == "e" ? "w" : "e";
          break;
        case What::unfit:
        case What::fit:
          for (auto& [near, told] : one.engines)
            if (int(near % 8) <= way)
              one.view.setEjected(near, What(kind) == What::unfit),
                  What(kind) == What::unfit ? void(model.unfit.insert(near)) : void(model.unfit.erase(near));
          break;
        case What::wait:
          now += way / 4.0;
          break;
        case What::waitLong:
          now += way * 3;
          break;
        default:
          break;
      }
      if (std::set{What::add, What::takeAway, What::drain, What::restart, What::move}.contains(What(kind))) {
        model.put(row);
        one.changes({row}, now);
      }
      one.until(now, sound);
      uint64_t told = one.told;
      one.take(one.view.tick(now));
      RC_ASSERT(one.told == told);  // nothing more, until it wakes
    }
    one.until(now + 500, sound);
    RC_ASSERT(model.broken(one, now + 500, true) == "");
    for (auto& [id, told] : one.engines)
      one.view.setEjected(id, false);
    model.unfit.clear();
    one.until(now + 1000, sound);
    SubsetHarness anew(plan, dispatchers, ordinal);
    std::vector<ListedEngine> rows;
    for (auto& [id, row] : model.list)
      rows.push_back(row);
    anew.whole(rows, now + 1000);
    RC_ASSERT(model.broken(anew, now + 1000, true) == "");
    RC_ASSERT(anew.inService() == one.inService());
    RC_ASSERT(one.view.nextWakeUp() == HUGE_VAL);
  }));
}

TEST_CASE("steady: an engine more or less moves one entry in its users' views, and nothing else") {
  CHECK(rc::check([] {
    constexpr int kDispatchers = 20;
    auto id = *rc::gen::inRange<uint32_t>(1, 600);
    auto rows = enginesOf(400);
    std::vector<SubsetHarness> all;
    for (int i = 0; i < kDispatchers; ++i)
      all.emplace_back(planOf(8, 16, 4), kDispatchers, i), all[i].whole(rows);
    ListedEngine row = engineOf(id, false, false);
    row.address.port = 1, row.record.state = *rc::gen::element(kIn, kGone, kDraining);
    int users = 0;
    for (auto& one : all) {
      uint64_t told = one.told;
      one.changes({row});
      RC_ASSERT(one.told - told <= 1);
      users += int(one.told - told);
    }
    RC_ASSERT(users == (id <= 400 || row.record.state != kGone ? 8 : 0));
  }));
}
