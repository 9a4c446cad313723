// The engine subset by example: scaling the dispatchers, ejections and recovery, cost, warnings and errors.
#include <doctest/doctest.h>

#include <functional>

#include "subset_fixture.h"

using namespace scene;

TEST_CASE("stability: an additional dispatcher takes its share from all subsets and adds no engine to any") {
  constexpr int kDispatchers = 100, kUsers = 12, kEngines = 1000;
  auto rows = makeEngines(kEngines);
  int lost = 0, most = 0, gained = 0;
  for (int i = 0; i < kDispatchers; ++i) {
    SubsetHarness before(makeSubsetSettings(kUsers, 24, 4), kDispatchers, i),
        after(makeSubsetSettings(kUsers, 24, 4), kDispatchers + 1, i);
    before.applyFullList(rows);
    after.applyFullList(rows);
    int here = 0;
    for (auto& [id, reported] : before.engines)
      here += !after.engines.contains(id);
    for (auto& [id, reported] : after.engines)
      gained += reported.record.rank.has_value() && !before.engines.contains(id);
    lost += here;
    most = std::max(most, here);
  }
  double part = double(kEngines) * kUsers / (kDispatchers + 1);  // of the new dispatcher: 119 entries
  CHECK_EQ(gained, 0);
  CHECK_LT(std::abs(lost - part), 5 * std::sqrt(part));
  CHECK_LE(most, 8);  // 1.2 on average
}

TEST_CASE(
    "with most of its engines ejected the subset widens at once, in rank order, and narrows late, in steps, "
    "never below what is required") {
  constexpr int kDispatchers = 100, kUsers = 10, kEngines = 2000;
  SubsetSettings subsetSettings{kUsers, 50, 4, 0.5, 30};
  SubsetHarness harness(subsetSettings, kDispatchers, 7);
  ReferenceModel model{subsetSettings, kDispatchers, 7};
  for (auto& row : makeEngines(kEngines))
    model.listed[row.record.id] = row;
  harness.applyFullList(makeEngines(kEngines));
  size_t before = harness.engines.size();
  CHECK_EQ(harness.subset.statistics().depth, kUsers);
  for (auto& [id, reported] : harness.engines)
    if (id % 3) {
      harness.subset.setEjected(id, true);
      model.ejected.insert(id);
    }
  CHECK_EQ(harness.subset.nextWakeUp(), kStartTime);
  harness.applyChanges(harness.subset.tick(kStartTime));
  CHECK_EQ(model.violation(harness, kStartTime, true), "");
  CHECK_GT(harness.engines.size(), before);
  size_t widened = harness.engines.size();
  for (uint32_t id : model.ejected)
    harness.subset.setEjected(id, false);
  model.ejected.clear();
  harness.runUntil(kStartTime + 29, [&](double) { CHECK_EQ(harness.engines.size(), widened); });
  int depth = harness.subset.statistics().depth;
  harness.runUntil(kStartTime + 60, [&](double now) {
    CHECK_EQ(model.violation(harness, now), "");
    CHECK_GE(harness.subset.statistics().depth, depth - std::max(1, (depth - kUsers + 7) / 8));
    depth = harness.subset.statistics().depth;
  });
  CHECK_EQ(harness.engines.size(), before);
  CHECK_EQ(harness.subset.nextWakeUp(), HUGE_VAL);
}

TEST_CASE(
    "a class that loses most of its engines finds the remaining ones beyond the usual bound; others stay") {
  constexpr int kDispatchers = 200;
  SubsetSettings subsetSettings{10, 20, 6, 0.5, 30};
  SubsetHarness harness(subsetSettings, kDispatchers, 3);
  harness.applyFullList(makeEngines(1600));  // 400 east
  size_t others = std::ranges::count_if(harness.engines,
                                        [](auto& reported) { return reported.second.record.zone == "w"; });
  CHECK_EQ(harness.subset.statistics().ranksComputed, 1600);
  std::vector<ListedEngine> lost;
  for (uint32_t id = 4; id <= 1600 - 20; id += 4) {
    lost.push_back(makeEngine(id, true, false));
    lost.back().record.state = kRemoved;
  }
  harness.applyDelta(lost);  // five remain
  auto east = [](auto& reported) { return reported.second.record.zone == "e"; };
  CHECK_EQ(std::ranges::count_if(harness.engines, east), 5);
  CHECK_EQ(std::ranges::count_if(harness.engines, std::not_fn(east)), others);
  CHECK_LE(harness.subset.statistics().ranksComputed, 1600 + 5);
  for (auto& row : lost) {
    row.record.state = kInService;
    row.startedAtUnixMs = int64_t(kStartTime * 1000);
  }
  harness.applyDelta(lost);  // back again, cold: used by the first dispatchers only until they are warm
  for (auto& [id, reported] : harness.engines)
    CHECK((reported.startedAtUnixMs == 0 || reported.record.rank.has_value()));
  CHECK_LE(harness.subset.nextWakeUp(), kStartTime + kColdDuration);
  harness.runUntil(kStartTime + 100, [](double) {});
  CHECK_EQ(harness.subset.statistics().depth, 10);
}

TEST_CASE(
    "all engines cold: the first dispatchers use them, no subset widens, a dispatcher without engines warns "
    "once") {
  SubsetSettings subsetSettings{4, 16, 4, 0.5, 30};
  std::vector<ListedEngine> rows;
  for (uint32_t id = 1; id <= 10; ++id)
    rows.push_back(makeEngine(id, true, true, int64_t(kStartTime * 1000)));
  int users = 0, none = 0;
  for (int i = 0; i < 100; ++i) {
    SubsetHarness harness(subsetSettings, 100, i);
    harness.applyFullList(rows);
    users += int(harness.engines.size());
    auto lines = harness.subset.takeWarnings();
    CHECK_EQ(lines.size(), harness.engines.empty() ? 3 : 0);  // any, east, large
    CHECK(harness.subset.takeWarnings().empty());
    if (!harness.engines.empty())
      continue;
    ++none;
    CHECK_EQ(lines[2].find("view: no-engine-in-view: class large: "), 0);
    CHECK_EQ(
        lines[1].find(
            "view: no-engine-in-view: class east: none of its 10 engines can be used: 0 in view are ejected"),
        0);
    harness.runUntil(kStartTime + kColdDuration, [](double) {});
    CHECK_GE(harness.engines.size(), 4);
    CHECK(harness.subset.takeWarnings().empty());
    for (int round = 0; round < 3; ++round) {  // four, eight, then all ten engines
      CHECK(harness.subset.takeWarnings().empty());
      for (auto& [id, reported] : harness.engines)
        harness.subset.setEjected(id, true);
      harness.runUntil(kStartTime + kColdDuration, [](double) {});
    }
    CHECK_EQ(harness.engines.size(), 10);
    CHECK_EQ(harness.subset.takeWarnings().size(), 3);  // again, because the class could be served in between
  }
  CHECK_EQ(users, 40);
  CHECK_GT(none, 50);
}

TEST_CASE("ejected engines stay while their class is short of engines, and a restart ends the ejection") {
  SubsetSettings subsetSettings{2, 40, 4, 0.5, 5};
  SubsetHarness harness(subsetSettings, 40, 0);
  std::vector<ListedEngine> rows;
  for (uint32_t id = 1; id <= 10; ++id)
    rows.push_back(makeEngine(id, true, false));
  harness.applyFullList(rows);
  while (harness.engines.size() < 10) {
    for (auto& [id, reported] : harness.engines)
      harness.subset.setEjected(id, true);
    harness.runUntil(kStartTime, [](double) {});
  }
  for (auto& [id, reported] : harness.engines)
    harness.subset.setEjected(id, true);
  uint64_t reported = harness.reported;
  harness.runUntil(kStartTime + 100, [](double) {});
  CHECK_EQ(harness.reported, reported);
  CHECK_EQ(harness.subset.takeWarnings().size(), 2);
  rows[0].startedAtUnixMs = 5;  // warm
  harness.applyDelta({rows[0]}, kStartTime + 100);
  CHECK(harness.subset.takeWarnings().empty());
  harness.subset.setEjected(1, true);
  harness.applyChanges(harness.subset.tick(kStartTime + 100));
  CHECK_EQ(harness.subset.takeWarnings().size(), 2);
  harness.runUntil(kStartTime + 200, [](double) {});
  CHECK_EQ(harness.subset.statistics().depth, 2);  // the rest is kept as ejected only
  CHECK_EQ(harness.engines.size(), 10);
  for (uint32_t id = 11; id <= 1000; ++id)
    rows.push_back(makeEngine(id, true, false));
  harness.applyFullList(
      rows, kStartTime + 200);  // enough within the base depth: ejected engines are no longer kept
  for (auto& [id, listing] : harness.engines)
    CHECK_GE(listing.record.rank.value_or(-1), 0);
}

TEST_CASE("an ejection is dropped when the engine leaves the subset") {
  SubsetSettings subsetSettings{2, 40, 4, 0.5, 5};
  SubsetHarness harness(subsetSettings, 40, 0);
  ReferenceModel model{subsetSettings, 40, 0};
  for (auto& row : makeEngines(40))
    model.update(row);
  harness.applyFullList(makeEngines(40));
  auto widened =
      std::ranges::find_if(harness.engines, [](auto& reported) { return !reported.second.record.rank; });
  REQUIRE(widened != harness.engines.end());
  uint32_t id = widened->first;
  harness.subset.setEjected(id, true);
  harness.applyFullList(makeEngines(1000));  // enough within the base depth
  harness.runUntil(kStartTime + 100, [](double) {});
  REQUIRE_FALSE(harness.engines.contains(id));
  harness.applyFullList(makeEngines(40), kStartTime + 100);
  CHECK(harness.engines.contains(id));
  CHECK_EQ(model.violation(harness, kStartTime + 100, true),
           "");  // it counts as usable, so no other engine replaces it
}

TEST_CASE(
    "engines of a widened subset drain like others; a clock that is set back does not delay narrowing") {
  SubsetSettings subsetSettings{1, 40, 4, 0.5, 5};
  SubsetHarness harness(subsetSettings, 40, 0);
  harness.applyFullList(makeEngines(40));
  auto widened =
      std::ranges::find_if(harness.engines, [](auto& reported) { return !reported.second.record.rank; });
  REQUIRE(widened != harness.engines.end());
  ListedEngine row = widened->second;
  row.record.state = kDraining;
  harness.applyDelta({row});
  REQUIRE(harness.engines.contains(row.record.id));
  CHECK_EQ(harness.engines.at(row.record.id).record.state, kDraining);
  row.record.state = kRemoved;
  harness.applyDelta({row});
  CHECK_FALSE(harness.engines.contains(row.record.id));
  harness.applyFullList(makeEngines(400));  // enough within the base depth
  CHECK_EQ(harness.subset.nextWakeUp(), kStartTime + 5);
  harness.applyChanges(harness.subset.tick(kStartTime - 3600));
  CHECK_EQ(harness.subset.nextWakeUp(), kStartTime - 3600 + 5);
}

TEST_CASE("the cost grows with the changes, not with the list") {
  for (uint32_t engines : {1000u, 4000u}) {
    SubsetHarness harness(makeSubsetSettings(8, 32, 8), 400, 5);
    auto rows = makeEngines(engines);
    harness.applyFullList(rows);
    CHECK_EQ(harness.subset.statistics().ranksComputed, engines);
    CHECK_EQ(harness.subset.statistics().listed, engines);
    uint64_t reported = harness.reported;
    harness.applyFullList(rows);
    harness.applyDelta({});
    harness.applyChanges(harness.subset.tick(kStartTime + 1));
    for (auto& row : rows)
      row.record.cell = row.record.id % 2 ? 0 : 1;
    harness.applyFullList(rows);
    CHECK_EQ(harness.subset.statistics().ranksComputed, engines);  // changed engines keep their ranks
    CHECK_EQ(harness.reported - reported,
             std::ranges::count_if(harness.engines, [](auto& e) { return e.first % 2 == 0; }));
    reported = harness.reported;
    std::vector<ListedEngine> more;
    for (uint32_t id = 100001; id <= 100010; ++id)
      more.push_back(makeEngine(id, false, false));
    harness.applyDelta(more);
    CHECK_EQ(harness.subset.statistics().ranksComputed, engines + 10);
    CHECK_LE(harness.reported - reported, 10);
    harness.applyFullList({});
    CHECK(harness.engines.empty());
    CHECK_EQ(harness.subset.statistics().listed, 0);
  }
}

TEST_CASE("a list that was short or empty leaves no ranks behind once it has grown") {
  SubsetHarness harness(makeSubsetSettings(8, 32, 8), 400, 5);
  ReferenceModel model{makeSubsetSettings(8, 32, 8), 400, 5};
  for (auto& row : makeEngines(4000))
    model.update(row);
  for (uint32_t id = 1; id <= 3; ++id)
    harness.applyDelta({makeEngines(3)[id - 1]});
  CHECK_EQ(harness.subset.statistics().rankedEngines, 3);  // so few that all are in every subset
  auto rows = makeEngines(30);
  harness.applyFullList(rows);
  for (uint32_t id = 31; id <= 2000; ++id)
    rows.push_back(makeEngine(id, false, false));
  harness.applyFullList(rows);  // ranks of the four large engines are still needed
  CHECK_EQ(harness.subset.statistics().ranksComputed, 2000);
  for (int times = 0; times < 2; ++times) {
    harness.applyFullList(makeEngines(4000));
    harness.runUntil(kStartTime + 100, [](double) {});
    CHECK_EQ(model.violation(harness, kStartTime + 100, true), "");
    CHECK_LT(harness.subset.statistics().rankedEngines, 4000 * 2 * 32 / 400);
    harness.applyFullList({});
    CHECK_EQ(harness.subset.statistics().rankedEngines, 0);
  }
}

TEST_CASE("the module's local settings") {
  Settings few = EngineSubset(makeSubsetSettings(8, 16, 4), makeSettings(200, 3)).localSettings(),
           all = EngineSubset(makeSubsetSettings(8, 16, 4), makeSettings(5, 3)).localSettings();
  CHECK_EQ(few.gatewayCount, 8);
  CHECK_EQ(few.ordinal, -1);
  CHECK_EQ(few.tenants[0].quota, doctest::Approx(100.0 * 8 / 200));
  CHECK_EQ(all.gatewayCount, 5);
  CHECK_EQ(all.tenants[0].quota, 100);
}

TEST_CASE("errors name the key, what was found and what is allowed") {
  auto errorText = [](int dispatchers, int ordinal) -> std::string {
    try {
      EngineSubset(SubsetSettings{}, makeSettings(dispatchers, ordinal));
    } catch (const Error& error) {
      CHECK_EQ(error.subject, "settings.ordinal");
      CHECK_EQ(error.kind, ordinal < 0 ? ErrorKind::ordinalMissing : ErrorKind::ordinalOutOfRange);
      return error.what();
    }
    return "";
  };
  CHECK_EQ(
      errorText(3, -1).find("view: ordinal-missing: settings.ordinal: found none; allowed is 0 to 2; have"),
      0);
  CHECK_EQ(errorText(3, 3).find(
               "view: ordinal-too-large: settings.ordinal: found 3 with settings.balancers 3; allowed is "
               "0 to 2; correct"),
           0);
  CHECK_EQ(errorText(3, 2), "");
  CHECK(validate(SubsetSettings{}).empty());
  std::string errors;
  for (auto& error : validate({0, -1, 0, 1.5, 0}))
    errors += error.key + ": " + error.message + "\n";
  CHECK_EQ(errors,
           "users: found 0; allowed is 1 or more\nmostUsers: found -1; allowed is users or more, which is 0\n"
           "least: found 0; allowed is 1 or more\nusablePart: found 1.5; allowed is 0 to 1\n"
           "narrowAfterS: found 0; allowed is more than 0\n");
  std::set<std::string> names;
  for (size_t i = 0; i < kErrorKinds; ++i)
    names.insert(nameOf(ErrorKind(i)));
  CHECK(names ==
        std::set<std::string>{"counts-differ", "no-engine-in-view", "ordinal-missing", "ordinal-too-large"});
}
