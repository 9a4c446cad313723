// Properties of the engine subset, for random lists and random sequences of changes.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "subset_fixture.h"

using namespace scene;

namespace {

// A random step: the action, the engine's id, and a variant of the action.
enum class Action { fullList, add, remove, drain, restart, move, eject, recover, wait, waitLong, count };
using Step = std::tuple<int, uint32_t, int>;
auto steps() {
  auto step = rc::gen::tuple(rc::gen::inRange(0, int(Action::count)), rc::gen::inRange<uint32_t>(1, 50),
                             rc::gen::inRange(0, 8));
  return rc::gen::container<std::vector<Step>>(step);
}

}  // namespace

TEST_CASE(
    "the rank is the number of dispatchers with a greater weight, and each rank belongs to one dispatcher") {
  CHECK(rc::check([] {
    auto id = *rc::gen::arbitrary<uint32_t>();
    int dispatchers = *rc::gen::inRange(1, 300), limit = *rc::gen::inRange(1, 330);
    std::set<int> ranks;
    for (int i = 0; i < dispatchers; ++i) {
      int rank = rankBySorting(id, i, dispatchers);
      RC_ASSERT(rendezvousRank(id, i, dispatchers, limit) == std::min(rank, limit));
      ranks.insert(rank);
    }
    RC_ASSERT(int(ranks.size()) == dispatchers);
  }));
  std::vector<int> first(100);  // no dispatcher is favoured by consecutive ids and ordinals
  for (uint32_t id = 0; id < 20000; ++id)
    for (int i = 0; i < 100; ++i)
      first[size_t(i)] += rendezvousRank(id, i, 100, 1) == 0;
  int both = 0;  // nor are ranks correlated: 2,000 engines, 99 pairs, a hundredth of them by chance
  for (uint32_t id = 0; id < 2000; ++id)
    for (int i = 0; i < 99; ++i)
      both += rendezvousRank(id, i + 1, 100, 10) < 10 && rendezvousRank(id + 1, i, 100, 10) < 10;
  CHECK_LT(std::abs(both - 1980), 5 * std::sqrt(1980));
  auto [least, most] = std::ranges::minmax(first);
  CHECK_GT(least, 200 - 5 * std::sqrt(200));
  CHECK_LT(most, 200 + 5 * std::sqrt(200));
}

TEST_CASE("an engine has usersPerEngine users with distinct ranks, whatever lists the dispatchers have") {
  CHECK(rc::check([] {
    int dispatchers = *rc::gen::inRange(1, 20);
    SubsetSettings subsetSettings =
        makeSubsetSettings(*rc::gen::inRange(1, 8), 8 + *rc::gen::inRange(0, 8), *rc::gen::inRange(1, 4));
    auto ids = *rc::gen::unique<std::vector<uint32_t>>(rc::gen::arbitrary<uint32_t>());
    int64_t born = int64_t(kStartTime * 1000);
    std::map<uint32_t, std::set<int>> users, listers;
    std::map<uint32_t, int> all;
    int bound = 0;
    for (int i = 0; i < dispatchers; ++i) {
      SubsetHarness harness(subsetSettings, dispatchers, i);
      ReferenceModel model{subsetSettings, dispatchers, i};
      auto known = *rc::gen::container<std::vector<bool>>(
          ids.size(), rc::gen::weightedElement<bool>({{4, true}, {1, false}}));
      for (size_t e = 0; e < ids.size(); ++e)  // a fifth of the engines is cold
        if (known[e])
          model.listed[ids[e]] = makeEngine(ids[e], ids[e] % 2, ids[e] % 3 == 0, ids[e] % 5 ? 0 : born);
      for (auto& [id, row] : model.listed) {
        harness.applyDelta({row});
        listers[id].insert(i);
      }
      for (size_t e = 0; e < ids.size(); e += 2)
        harness.subset.setEjected(ids[e], true);
      harness.applyChanges(harness.subset.tick(kStartTime));
      for (auto& [id, reported] : harness.engines) {
        ++all[id];
        if (reported.record.rank)
          RC_ASSERT(users[id].insert(*reported.record.rank).second);
        RC_ASSERT((reported.record.rank || id % 5 != 0));  // cold
      }
      for (int classIndex = 0; classIndex < kClasses; ++classIndex)
        bound = std::max(bound, model.maxDepth(classIndex));
    }
    int first = std::min(subsetSettings.usersPerEngine, dispatchers);
    for (auto& [id, by] : listers) {
      std::set<int> should;
      for (int i : by)
        if (int rank = rankBySorting(id, i, dispatchers); rank < first)
          should.insert(rank);
      RC_ASSERT(users[id] == should);
      if (int(by.size()) == dispatchers)
        RC_ASSERT(int(should.size()) == first);
      RC_ASSERT(all[id] <= bound);
    }
  }));
}

TEST_CASE(
    "after any sequence of changes a subset is in rank order, bounded and sufficient, and independent of its "
    "history") {
  CHECK(rc::check([] {
    int dispatchers = *rc::gen::inRange(1, 40), users = *rc::gen::inRange(1, 10);
    SubsetSettings subsetSettings = makeSubsetSettings(
        users, users + *rc::gen::inRange(0, 12), *rc::gen::inRange(1, 6), *rc::gen::element(0.0, 0.5, 1.0));
    int ordinal = *rc::gen::inRange(0, dispatchers);
    SubsetHarness harness(subsetSettings, dispatchers, ordinal);
    ReferenceModel model{subsetSettings, dispatchers, ordinal};
    double now = kStartTime;
    auto checkInvariants = [&](double at) {
      std::erase_if(model.ejected, [&](uint32_t id) { return !harness.engines.contains(id); });
      RC_ASSERT(model.violation(harness, at) == "");
    };
    for (auto& [kind, id, variant] : *steps()) {
      ListedEngine row =
          makeEngine(id, variant & 1, variant & 2, variant & 4 ? int64_t(now * 1000) - 5000 : 0);
      if (auto known = model.listed.find(id); known != model.listed.end() && Action(kind) != Action::add)
        row = known->second;
      std::vector<ListedEngine> rows;
      switch (Action(kind)) {
        case Action::fullList: {  // of all known engines up to some id, and some new ones
          std::erase_if(model.listed, [&](auto& known) {
            return known.first > id + 20 || known.first % 9 == uint32_t(variant);
          });
          for (uint32_t more = id; more < id + uint32_t(variant) * 3; ++more)
            if (!model.listed.contains(more))
              model.update(makeEngine(more, more % 3 == 0, more % 4 == 0));
          for (auto& [known, listing] : model.listed)
            rows.push_back(listing);
          std::ranges::reverse(rows);
          if (!rows.empty())
            rows.insert(rows.begin(),
                        makeEngine(rows[0].record.id, false, true, 99));  // superseded by a later entry
          harness.applyFullList(rows, now);
          break;
        }
        case Action::remove:
          row.record.state = kRemoved;
          break;
        case Action::drain:
          row.record.state = kDraining;
          break;
        case Action::restart:
          row.startedAtUnixMs = int64_t(now * 1000);
          row.record.state = kInService;
          row.address.port = uint16_t(row.address.port + variant);
          break;
        case Action::move:
          row.record.zone = row.record.zone == "e" ? "w" : "e";
          break;
        case Action::eject:
        case Action::recover:
          for (auto& [engine, reported] : harness.engines)
            if (int(engine % 8) <= variant) {
              harness.subset.setEjected(engine, Action(kind) == Action::eject);
              Action(kind) == Action::eject ? void(model.ejected.insert(engine))
                                            : void(model.ejected.erase(engine));
            }
          break;
        case Action::wait:
          now += variant / 4.0;
          break;
        case Action::waitLong:
          now += variant * 3;
          break;
        default:
          break;
      }
      if (std::set{Action::add, Action::remove, Action::drain, Action::restart, Action::move}.contains(
              Action(kind))) {
        model.update(row);
        harness.applyDelta({row}, now);
      }
      harness.runUntil(now, checkInvariants);
      uint64_t reported = harness.reported;
      harness.applyChanges(harness.subset.tick(now));
      RC_ASSERT(harness.reported == reported);  // no further change before the next wake-up
    }
    harness.runUntil(now + 500, checkInvariants);
    RC_ASSERT(model.violation(harness, now + 500, true) == "");
    for (auto& [id, reported] : harness.engines)
      harness.subset.setEjected(id, false);
    model.ejected.clear();
    harness.runUntil(now + 1000, checkInvariants);
    SubsetHarness fresh(subsetSettings, dispatchers, ordinal);
    std::vector<ListedEngine> rows;
    for (auto& [id, row] : model.listed)
      rows.push_back(row);
    fresh.applyFullList(rows, now + 1000);
    RC_ASSERT(model.violation(fresh, now + 1000, true) == "");
    RC_ASSERT(fresh.inService() == harness.inService());
    RC_ASSERT(harness.subset.nextWakeUp() == HUGE_VAL);
  }));
}

TEST_CASE(
    "stability: adding or removing an engine changes one entry in the subsets of its users, and nothing "
    "else") {
  CHECK(rc::check([] {
    constexpr int kDispatchers = 20;
    auto id = *rc::gen::inRange<uint32_t>(1, 600);
    auto rows = makeEngines(400);
    std::vector<SubsetHarness> all;
    for (int i = 0; i < kDispatchers; ++i) {
      all.emplace_back(makeSubsetSettings(8, 16, 4), kDispatchers, i);
      all[i].applyFullList(rows);
    }
    ListedEngine row = makeEngine(id, false, false);
    row.address.port = 1;
    row.record.state = *rc::gen::element(kInService, kRemoved, kDraining);
    int users = 0;
    for (auto& harness : all) {
      uint64_t reported = harness.reported;
      harness.applyDelta({row});
      RC_ASSERT(harness.reported - reported <= 1);
      users += int(harness.reported - reported);
    }
    RC_ASSERT(users == (id <= 400 || row.record.state != kRemoved ? 8 : 0));
  }));
}
