// The view by example: a dispatcher more, trouble and its end, what it costs, what it says.
#include <doctest/doctest.h>

#include <functional>

#include "subset_fixture.h"

using namespace scene;

TEST_CASE("steady: a dispatcher more takes its part from all views, and gives nothing to any") {
  constexpr int kDispatchers = 100, kUsers = 12, kEngines = 1000;
  auto rows = enginesOf(kEngines);
  int lost = 0, most = 0, gained = 0;
  for (int i = 0; i < kDispatchers; ++i) {
    SubsetHarness before(planOf(kUsers, 24, 4), kDispatchers, i),
        after(planOf(kUsers, 24, 4), kDispatchers + 1, i);
    before.whole(rows), after.whole(rows);
    int here = 0;
    for (auto& [id, told] : before.engines)
      here += !after.engines.contains(id);
    for (auto& [id, told] : after.engines)
      gained += told.record.rank.has_value() && !before.engines.contains(id);
    lost += here, most = std::max(most, here);
  }
  double part =
      double(kEngines) * kUsers / (kDispatchers + 1);  // of the new one: 119, each a view's one entry
  CHECK_EQ(gained, 0);
  CHECK_LT(std::abs(lost - part), 5 * std::sqrt(part));
  CHECK_LE(most, 8);  // 1.2 in the mean
}

TEST_CASE(
    "half of the view unfit: it widens at once, by the same order, and narrows late, in steps, never below "
    "need") {
  constexpr int kDispatchers = 100, kUsers = 10, kEngines = 2000;
  SubsetSettings plan{kUsers, 50, 4, 0.5, 30};
  SubsetHarness one(plan, kDispatchers, 7);
  Model model{plan, kDispatchers, 7};
  for (auto& row : enginesOf(kEngines))
    model.list[row.record.id] = row;
  one.whole(enginesOf(kEngines));
  size_t before = one.engines.size();
  CHECK_EQ(one.view.statistics().depth, kUsers);
  for (auto& [id, told] : one.engines)
    if (id % 3)
      one.view.setEjected(id, true), model.unfit.insert(id);
  CHECK_EQ(one.view.nextWakeUp(), kBegin);
  one.take(one.view.tick(kBegin));
  CHECK_EQ(model.broken(one, kBegin, true), "");
  CHECK_GT(one.engines.size(), before);
  size_t wide = one.engines.size();
  for (uint32_t id : model.unfit)
    one.view.setEjected(id, false);
  model.unfit.clear();
  one.until(kBegin + 29, [&](double) { CHECK_EQ(one.engines.size(), wide); });
  int reach = one.view.statistics().depth;
  one.until(kBegin + 60, [&](double now) {
    CHECK_EQ(model.broken(one, now), "");
    CHECK_GE(one.view.statistics().depth, reach - std::max(1, (reach - kUsers + 7) / 8));
    reach = one.view.statistics().depth;
  });
  CHECK_EQ(one.engines.size(), before);
  CHECK_EQ(one.view.nextWakeUp(), HUGE_VAL);
}

TEST_CASE("a class that loses its zone finds what is left of it, far beyond the usual bound; others stay") {
  constexpr int kDispatchers = 200;
  SubsetSettings plan{10, 20, 6, 0.5, 30};
  SubsetHarness one(plan, kDispatchers, 3);
  one.whole(enginesOf(1600));  // 400 east
  size_t others =
      std::ranges::count_if(one.engines, [](auto& told) { return told.second.record.zone == "w"; });
  CHECK_EQ(one.view.statistics().ranksComputed, 1600);
  std::vector<ListedEngine> lost;
  for (uint32_t id = 4; id <= 1600 - 20; id += 4)
    lost.push_back(engineOf(id, true, false)), lost.back().record.state = kGone;
  one.changes(lost);  // five are left
  auto east = [](auto& told) { return told.second.record.zone == "e"; };
  CHECK_EQ(std::ranges::count_if(one.engines, east), 5);
  CHECK_EQ(std::ranges::count_if(one.engines, std::not_fn(east)), others);
  CHECK_LE(one.view.statistics().ranksComputed, 1600 + 5);
  for (auto& row : lost)
    row.record.state = kIn, row.startedAtUnixMs = int64_t(kBegin * 1000);
  one.changes(lost);  // and back, cold: by the first alone, until they are warm
  for (auto& [id, told] : one.engines)
    CHECK((told.startedAtUnixMs == 0 || told.record.rank.has_value()));
  CHECK_LE(one.view.nextWakeUp(), kBegin + kColdTime);
  one.until(kBegin + 100, [](double) {});
  CHECK_EQ(one.view.statistics().depth, 10);
}

TEST_CASE("all cold: the first use them, nobody widens, and one line tells who has none") {
  SubsetSettings plan{4, 16, 4, 0.5, 30};
  std::vector<ListedEngine> rows;
  for (uint32_t id = 1; id <= 10; ++id)
    rows.push_back(engineOf(id, true, true, int64_t(kBegin * 1000)));
  int users = 0, none = 0;
  for (int i = 0; i < 100; ++i) {
    SubsetHarness one(plan, 100, i);
    one.whole(rows);
    users += int(one.engines.size());
    auto lines = one.view.takeWarnings();
    CHECK_EQ(lines.size(), one.engines.empty() ? 3 : 0);  // any, east, large
    CHECK(one.view.takeWarnings().empty());
    if (!one.engines.empty())
      continue;
    ++none;
    CHECK_EQ(lines[2].find("view: no-engine-in-view: class large: "), 0);
    CHECK_EQ(lines[1].find(
                 "view: no-engine-in-view: class east: none of its 10 engines can be used: 0 in view rest"),
             0);
    one.until(kBegin + kColdTime, [](double) {});
    CHECK_GE(one.engines.size(), 4);
    CHECK(one.view.takeWarnings().empty());
    for (int round = 0; round < 3; ++round) {  // four, eight, all ten of them
      CHECK(one.view.takeWarnings().empty());
      for (auto& [id, told] : one.engines)
        one.view.setEjected(id, true);
      one.until(kBegin + kColdTime, [](double) {});
    }
    CHECK_EQ(one.engines.size(), 10);
    CHECK_EQ(one.view.takeWarnings().size(), 3);  // again, as it could be served in between
  }
  CHECK_EQ(users, 40);
  CHECK_GT(none, 50);
}

TEST_CASE("what was found unfit stays while its class is short, and is forgotten by a restart") {
  SubsetSettings plan{2, 40, 4, 0.5, 5};
  SubsetHarness one(plan, 40, 0);
  std::vector<ListedEngine> rows;
  for (uint32_t id = 1; id <= 10; ++id)
    rows.push_back(engineOf(id, true, false));
  one.whole(rows);
  while (one.engines.size() < 10) {
    for (auto& [id, told] : one.engines)
      one.view.setEjected(id, true);
    one.until(kBegin, [](double) {});
  }
  for (auto& [id, told] : one.engines)
    one.view.setEjected(id, true);
  uint64_t told = one.told;
  one.until(kBegin + 100, [](double) {});
  CHECK_EQ(one.told, told);
  CHECK_EQ(one.view.takeWarnings().size(), 2);
  rows[0].startedAtUnixMs = 5;  // long warm
  one.changes({rows[0]}, kBegin + 100);
  CHECK(one.view.takeWarnings().empty());
  one.view.setEjected(1, true);
  one.take(one.view.tick(kBegin + 100));
  CHECK_EQ(one.view.takeWarnings().size(), 2);
  one.until(kBegin + 200, [](double) {});
  CHECK_EQ(one.view.statistics().depth, 2);  // by now it is by what it keeps alone
  CHECK_EQ(one.engines.size(), 10);
  for (uint32_t id = 11; id <= 1000; ++id)
    rows.push_back(engineOf(id, true, false));
  one.whole(rows, kBegin + 200);  // enough among the first: nothing is kept any more
  for (auto& [id, near] : one.engines)
    CHECK_GE(near.record.rank.value_or(-1), 0);
}

TEST_CASE("what was found unfit is forgotten when it leaves the view") {
  SubsetSettings plan{2, 40, 4, 0.5, 5};
  SubsetHarness one(plan, 40, 0);
  Model model{plan, 40, 0};
  for (auto& row : enginesOf(40))
    model.put(row);
  one.whole(enginesOf(40));
  auto wide = std::ranges::find_if(one.engines, [](auto& told) { return !told.second.record.rank; });
  REQUIRE(wide != one.engines.end());
  uint32_t id = wide->first;
  one.view.setEjected(id, true);
  one.whole(enginesOf(1000));  // enough among the first
  one.until(kBegin + 100, [](double) {});
  REQUIRE_FALSE(one.engines.contains(id));
  one.whole(enginesOf(40), kBegin + 100);
  CHECK(one.engines.contains(id));
  CHECK_EQ(model.broken(one, kBegin + 100, true), "");  // it counts as usable: nobody is in view in its place
}

TEST_CASE("who is in view because it is wide drains as others do; a clock set back puts nothing off") {
  SubsetSettings plan{1, 40, 4, 0.5, 5};
  SubsetHarness one(plan, 40, 0);
  one.whole(enginesOf(40));
  auto wide = std::ranges::find_if(one.engines, [](auto& told) { return !told.second.record.rank; });
  REQUIRE(wide != one.engines.end());
  ListedEngine row = wide->second;
  row.record.state = kDraining;
  one.changes({row});
  REQUIRE(one.engines.contains(row.record.id));
  CHECK_EQ(one.engines.at(row.record.id).record.state, kDraining);
  row.record.state = kGone;
  one.changes({row});
  CHECK_FALSE(one.engines.contains(row.record.id));
  one.whole(enginesOf(400));  // enough among the first
  CHECK_EQ(one.view.nextWakeUp(), kBegin + 5);
  one.take(one.view.tick(kBegin - 3600));
  CHECK_EQ(one.view.nextWakeUp(), kBegin - 3600 + 5);
}

TEST_CASE("work grows with what changes, not with the list") {
  for (uint32_t engines : {1000u, 4000u}) {
    SubsetHarness one(planOf(8, 32, 8), 400, 5);
    auto rows = enginesOf(engines);
    one.whole(rows);
    CHECK_EQ(one.view.statistics().ranksComputed, engines);
    CHECK_EQ(one.view.statistics().listed, engines);
    uint64_t told = one.told;
    one.whole(rows), one.changes({}), one.take(one.view.tick(kBegin + 1));
    for (auto& row : rows)
      row.record.cell = row.record.id % 2 ? 0 : 1;
    one.whole(rows);
    CHECK_EQ(one.view.statistics().ranksComputed, engines);  // changed rows keep their places
    CHECK_EQ(one.told - told, std::ranges::count_if(one.engines, [](auto& e) { return e.first % 2 == 0; }));
    told = one.told;
    std::vector<ListedEngine> more;
    for (uint32_t id = 100001; id <= 100010; ++id)
      more.push_back(engineOf(id, false, false));
    one.changes(more);
    CHECK_EQ(one.view.statistics().ranksComputed, engines + 10);
    CHECK_LE(one.told - told, 10);
    one.whole({});
    CHECK(one.engines.empty());
    CHECK_EQ(one.view.statistics().listed, 0);
  }
}

TEST_CASE("a list that began short, or was lost, leaves nothing behind when it has grown") {
  SubsetHarness one(planOf(8, 32, 8), 400, 5);
  Model model{planOf(8, 32, 8), 400, 5};
  for (auto& row : enginesOf(4000))
    model.put(row);
  for (uint32_t id = 1; id <= 3; ++id)
    one.changes({enginesOf(3)[id - 1]});
  CHECK_EQ(one.view.statistics().rankedEngines, 3);  // of so few all are in view everywhere
  auto rows = enginesOf(30);
  one.whole(rows);
  for (uint32_t id = 31; id <= 2000; ++id)
    rows.push_back(engineOf(id, false, false));
  one.whole(rows);  // of four large ones the places are still needed
  CHECK_EQ(one.view.statistics().ranksComputed, 2000);
  for (int times = 0; times < 2; ++times) {
    one.whole(enginesOf(4000)), one.until(kBegin + 100, [](double) {});
    CHECK_EQ(model.broken(one, kBegin + 100, true), "");
    CHECK_LT(one.view.statistics().rankedEngines, 4000 * 2 * 32 / 400);
    one.whole({});
    CHECK_EQ(one.view.statistics().rankedEngines, 0);
  }
}

TEST_CASE("what the module is told in place of the settings") {
  Settings few = EngineSubset(planOf(8, 16, 4), settingsOf(200, 3)).localSettings(),
           all = EngineSubset(planOf(8, 16, 4), settingsOf(5, 3)).localSettings();
  CHECK_EQ(few.gatewayCount, 8);
  CHECK_EQ(few.ordinal, -1);
  CHECK_EQ(few.tenants[0].quota, doctest::Approx(100.0 * 8 / 200));
  CHECK_EQ(all.gatewayCount, 5);
  CHECK_EQ(all.tenants[0].quota, 100);
}

TEST_CASE("what is wrong is told by its key, what was found and what is allowed") {
  auto said = [](int dispatchers, int ordinal) -> std::string {
    try {
      EngineSubset(SubsetSettings{}, settingsOf(dispatchers, ordinal));
    } catch (const Error& error) {
      CHECK_EQ(error.subject, "settings.ordinal");
      CHECK_EQ(error.kind, ordinal < 0 ? ErrorKind::ordinalMissing : ErrorKind::ordinalOutOfRange);
      return error.what();
    }
    return "";
  };
  CHECK_EQ(said(3, -1).find("view: ordinal-missing: settings.ordinal: found none; allowed is 0 to 2; let"),
           0);
  CHECK_EQ(said(3, 3).find(
               "view: ordinal-too-large: settings.ordinal: found 3 with settings.balancers 3; allowed is "
               "0 to 2; correct"),
           0);
  CHECK_EQ(said(3, 2), "");
  CHECK(validate(SubsetSettings{}).empty());
  std::string flaws;
  for (auto& flaw : validate({0, -1, 0, 1.5, 0}))
    flaws += flaw.key + ": " + flaw.message + "\n";
  CHECK_EQ(flaws,
           "users: found 0; allowed is 1 or more\nmostUsers: found -1; allowed is users or more, which is 0\n"
           "least: found 0; allowed is 1 or more\nusablePart: found 1.5; allowed is 0 to 1\n"
           "narrowAfterS: found 0; allowed is more than 0\n");
  std::set<std::string> names;
  for (size_t i = 0; i < kErrorKinds; ++i)
    names.insert(nameOf(ErrorKind(i)));
  CHECK(names ==
        std::set<std::string>{"counts-differ", "no-engine-in-view", "ordinal-missing", "ordinal-too-large"});
}
