// Tests of engine subsets in real processes, with faults between them. The engines that a process uses are
// those that its commands reached; which processes may use an engine is computed here from their rendezvous
// ranks.
#include "view_fleet.h"

namespace {

constexpr double kGrace = 0.3;  // seconds: drainGraceUs, and the timing error of the test

uint64_t unixMs() {
  return uint64_t(std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds(1));
}
Json viewSettings(double usablePart = 0.5) {
  return {{"users", 3}, {"mostUsers", 6}, {"least", 2}, {"usablePart", usablePart}, {"narrowAfterS", 1}};
}
size_t countOf(const std::string& text, const std::string& part) {
  size_t count = 0;
  for (size_t position = text.find(part); position != std::string::npos;
       position = text.find(part, position + 1))
    ++count;
  return count;
}
std::set<uint32_t> enginesOfZone(const SubsetFleet& fleet, int zone) {
  auto engines = fleet.listed;
  std::erase_if(engines, [&](uint32_t id) { return SubsetFleet::zoneOf(id) != zone; });
  return engines;
}

}  // namespace

TEST_CASE("each engine is used by the processes of its subset only, and all engines are used") {
  SubsetFleet fleet(8, {0, 1, 2, 3, 4, 5, 6, 7}, 240, viewSettings());
  fleet.startLoad();
  CHECK(SubsetFleet::waitFor([&] { return fleet.users().size() == 240; }));
  fleet.stopLoadAndCheck();
  CHECK_EQ(fleet.maxRankUsed(), 2);
  CHECK_LE(fleet.engines.mostOpen(), 3);  // one connection of each user suffices
}

TEST_CASE("a zone is lost and returns cold: no command is lost, and only its engines' users warm it") {
  // Subsets widen as soon as a few engines are missing.
  SubsetFleet fleet(6, {0, 1, 2, 3, 4, 5}, 240, viewSettings(1));
  CHECK(fleet.waitUntilUpToDate());
  for (int zone : {1, 2}) {  // removed by a whole list without it, then by changes
    auto lost = enginesOfZone(fleet, zone);
    auto rest = fleet.listed;
    for (uint32_t id : lost)
      rest.erase(id);
    std::set<uint32_t> addresses;
    for (uint32_t id : lost)
      addresses.insert(kFirstAddress + id);
    fleet.engines.set(EngineStubFarm::Way::late, addresses);
    fleet.startLoad();
    auto lostIsInUse = [&] {
      return std::ranges::any_of(fleet.sends(now() - 0.05),
                                 [&](auto& send) { return lost.contains(send.engine); });
    };
    CHECK(SubsetFleet::waitFor(lostIsInUse));
    if (zone == 1)
      fleet.changeLog.publish(true, fleet.records(rest));
    else
      fleet.changeLog.publish(false, fleet.records(lost, 2));
    std::string mark = ", event " + std::to_string(fleet.changeLog.last) + ":";
    for (auto& process : fleet.processes)
      CHECK(process->logs(mark));
    double loggedAt = now();
    auto closed = [&] {
      return std::ranges::all_of(addresses, [&](auto address) { return fleet.engines.open(address) == 0; });
    };
    CHECK(SubsetFleet::waitFor(closed));
    pause(2 * kGrace);
    for (auto& send : fleet.sends(loggedAt + kGrace))
      CHECK_FALSE(lost.contains(send.engine));

    fleet.engines.set(EngineStubFarm::Way::answers, addresses);
    double returnedAt = now();
    fleet.changeLog.publish(false, fleet.records(lost, 0, unixMs()));
    auto warming = [&] {
      std::set<uint32_t> used;
      for (auto& send : fleet.sends(returnedAt))
        used.insert(send.engine);
      return std::ranges::count_if(lost, [&](auto id) { return used.contains(id); }) >= 50;
    };
    CHECK(SubsetFleet::waitFor(warming, kColdTime));  // 50 of 60
    pause(std::max(0.0, returnedAt + kColdTime - now()));
    bool hasWidened = false;
    for (auto& send : fleet.sends(returnedAt)) {
      int rank = fleet.rankOf(send.process, send.engine);
      if (send.time < returnedAt + kColdTime - 0.1 && lost.contains(send.engine))
        CHECK_LT(rank, 3);
      hasWidened = hasWidened || rank >= 3;
    }
    CHECK(hasWidened);
    fleet.stopLoadAndCheck();
  }
  CHECK_LT(fleet.maxRankUsed(), 6);
}

TEST_CASE(
    "the change log is silent, then sends the whole list: only engines that were removed are affected") {
  SubsetFleet fleet(8, {0, 3, 5, 6}, 240, viewSettings());
  fleet.startLoad();
  CHECK(fleet.waitUntilUpToDate());
  CHECK(SubsetFleet::waitFor([&] { return fleet.users().size() >= 150; }));
  fleet.stopLoadAndCheck();
  auto before = fleet.engines.made();
  for (bool removed : {false, true}) {
    fleet.changeLog.setSilent(true);
    CHECK(SubsetFleet::waitFor([&] { return fleet.changeLog.abandonedByMute(); }));
    auto listed = fleet.listed;
    if (removed)
      std::erase_if(listed, [](uint32_t id) { return id % 8 == 0; });
    fleet.changeLog.publish(true, fleet.records(listed));
    fleet.changeLog.setSilent(false);
    for (auto& process : fleet.processes)
      CHECK(SubsetFleet::waitFor(
          [&] { return countOf(process->log(), "change log: connected") >= 2 + size_t(removed); }));
    CHECK(fleet.waitUntilUpToDate());
    for (size_t i = 0; i < 4; ++i) {
      auto& process = *fleet.processes[i];
      if (removed)
        CHECK(process.logs("engines change by whole list, event 3"));
      CHECK_EQ(fleet.subsetChanges(i), 1 + removed);
      CHECK_EQ(process.log().find("no-engine"), std::string::npos);
    }
    if (!removed)
      CHECK_EQ(fleet.engines.made(), before);
  }
  auto removedAreClosed = [&] {
    for (uint32_t id = 8; id <= 240; id += 8)
      if (fleet.engines.open(kFirstAddress + id) > 0)
        return false;
    return true;
  };
  CHECK(SubsetFleet::waitFor(removedAreClosed));
  CHECK_EQ(fleet.engines.made().first, before.first);
  double from = now();
  fleet.startLoad();
  CHECK(SubsetFleet::waitFor([&] { return fleet.sends(from).size() > 1000; }));
  fleet.stopLoadAndCheck();
  for (auto& send : fleet.sends(from))
    CHECK_NE(send.engine % 8, 0);
  CHECK_EQ(fleet.maxRankUsed(), 2);
  for (size_t i = 0; i < 4; ++i) {  // engines outside the subset are not named in the log
    auto text = fleet.processes[i]->log();
    std::regex named("engine s-([0-9a-f]{8})|node ([0-9]+) ");
    for (std::sregex_iterator match(text.begin(), text.end(), named), end; match != end; ++match) {
      bool hex = (*match)[1].matched;
      CHECK_LT(fleet.rankOf(i, uint32_t(std::stoul((*match)[hex ? 1 : 2], nullptr, hex ? 16 : 10))), 3);
    }
  }
}

TEST_CASE("a process is killed and restarted with its ordinal: all subsets stay as they were") {
  SubsetFleet fleet(8, {1, 2, 4, 7}, 240, viewSettings());
  fleet.startLoad();
  std::set<uint32_t> added;
  for (uint32_t id = 241; id <= 280; ++id)
    added.insert(id);
  fleet.changeLog.publish(false, fleet.records(added));
  CHECK(fleet.waitUntilUpToDate());
  auto subset = [&](uint32_t last) {  // of the process with ordinal 1, among the first engines
    std::set<uint32_t> found;
    for (uint32_t id = 1; id <= last; ++id)
      if (fleet.rankOf(0, id) < 3)
        found.insert(id);
    return found;
  };
  auto used = [&](double from) {
    std::set<uint32_t> found;
    for (auto& send : fleet.sends(from))
      if (send.process == 0)
        found.insert(send.engine);
    return found;
  };
  CHECK(SubsetFleet::waitFor([&] { return used(0) == subset(280); }));
  fleet.loads[0]->stop();
  fleet.loads.erase(fleet.loads.begin());
  fleet.processes[0]->kill(SIGKILL);
  CHECK_EQ(fleet.processes[0]->status(), 1000 + SIGKILL);
  fleet.processes[0]->start();  // its configuration has the first 240; the change log has the others
  fleet.processes[0]->ready();
  double from = now();
  CHECK(fleet.waitUntilUpToDate());
  fleet.loads.push_back(std::make_unique<Load>(*fleet.processes[0], 0));
  CHECK(SubsetFleet::waitFor([&] { return used(from) == subset(280); }));
  fleet.stopLoadAndCheck();
  CHECK_EQ(fleet.maxRankUsed(), 2);
  for (size_t i = 1; i < 4; ++i)
    CHECK_EQ(fleet.subsetChanges(i), 2);  // at the start, and for the 40 engines that were added
}

TEST_CASE("two processes with one ordinal: an engine has at most one more user, all commands are answered") {
  SubsetFleet fleet(5, {0, 1, 2, 3, 4, 2}, 240, viewSettings());
  fleet.startLoad();
  CHECK(SubsetFleet::waitFor([&] {
    return std::ranges::any_of(fleet.users(), [](auto& entry) { return entry.second.size() == 4; });
  }));
  pause(1);
  fleet.stopLoadAndCheck();
  CHECK_EQ(fleet.maxRankUsed(), 2);
  for (auto& [engine, users] : fleet.users())
    CHECK_LE(users.size(), 3 + users.contains(5));
}

TEST_CASE("engines of the subset hang or refuse: the subset widens, and narrows after their recovery") {
  SubsetFleet fleet(16, {0, 9, 12}, 96, viewSettings());
  // Together two thirds of the subset of the first process.
  std::set<uint32_t> hanging;
  std::set<uint32_t> refusing;
  int subsetSize = 0;
  for (uint32_t id : fleet.listed)
    if (fleet.rankOf(0, id) < 3 && ++subsetSize % 3 > 0)
      (subsetSize % 3 == 1 ? hanging : refusing).insert(kFirstAddress + id);
  fleet.engines.set(EngineStubFarm::Way::hangs, hanging);
  fleet.engines.set(EngineStubFarm::Way::refuses, refusing);
  Load load(*fleet.processes[0], 0, 24);
  auto& process = *fleet.processes[0];
  CHECK(process.logs("by its own width"));
  CHECK(SubsetFleet::waitFor([&] { return fleet.maxRankUsed(0, 0) >= 3; }));
  int served = load.served;
  CHECK(SubsetFleet::waitFor([&] { return load.served > served + 300; }));
  auto failing = hanging;
  failing.merge(refusing);
  fleet.engines.set(EngineStubFarm::Way::answers, failing);
  CHECK(SubsetFleet::waitFor([&] {
    auto text = process.log();
    auto last = text.rfind("engines change by its own width");
    return last != std::string::npos && text.find("reach 3", last) != std::string::npos;
  }));
  pause(kGrace);
  double from = now();
  CHECK(SubsetFleet::waitFor([&] { return fleet.sends(from).size() > 300; }));
  load.stop();
  CHECK_EQ(fleet.maxRankUsed(from), 2);
  CHECK_LT(fleet.maxRankUsed(), 6);
  CHECK_EQ(load.responses["none"], 0);
  CHECK_EQ(load.responses["200"] + load.responses["503"] + load.responses["500"], load.sent);
  for (size_t i : {1, 2})
    CHECK_EQ(fleet.subsetChanges(i), 1);  // a process without commands detects no failures
}

TEST_CASE("all engines within the rank limit are starting: the subset does not widen beyond it") {
  SubsetFleet fleet(16, {0}, 96, viewSettings());
  auto withinLimit = fleet.listed;
  std::erase_if(withinLimit, [&](uint32_t id) { return fleet.rankOf(0, id) >= 6; });
  double from = now();
  fleet.changeLog.publish(false, fleet.records(withinLimit, 0, unixMs()));
  CHECK(fleet.processes[0]->logs("engines change by changes, event 2"));
  fleet.startLoad();
  pause(std::max(0.0, from + kColdTime - 0.1 - now()));
  CHECK_GT(fleet.sends().size(), 0);
  CHECK_EQ(fleet.maxRankUsed(), 2);  // cold engines are used by the processes of their subset only
  fleet.stopLoadAndCheck();
}

TEST_CASE("invalid settings end the start with one line; a changed section at SIGHUP has no effect") {
  EngineStubs noEngines(0);
  Json view{{"view", viewSettings()}};
  Json withMembers = view;
  withMembers["members"] = {
      {"fleet", "test"},
      {"peers", {{{"name", "n3"}, {"at", "127.0.0.1:9"}}, {{"name", "n4"}, {"at", "127.0.0.1:10"}}}}};
  Json missing{{"balancers", 4}};
  Json tooLarge{{"balancers", 4}, {"ordinal", 4}};
  Json valid{{"balancers", 4}, {"ordinal", 3}};
  for (auto& [settings, gateway, name] : {std::tuple{missing, view, "view: ordinal-missing: "},
                                          std::tuple{tooLarge, view, "view: ordinal-too-large: "},
                                          std::tuple{valid, withMembers, "view: counts-differ: "}}) {
    GatewayProcess process(noEngines, 0);
    process.config["settings"].update(settings);
    process.config["settings"]["limits"]["peers"] = true;
    process.gateway = gateway.dump();
    process.start();
    CHECK_EQ(process.status(), 1);
    CHECK_EQ(countOf(process.log(), "\n"), 1);
    CHECK_EQ(countOf(process.log(), name), 1);
  }
  SubsetFleet fleet(8, {0}, 96, viewSettings());
  auto& process = *fleet.processes[0];
  process.kill(SIGHUP);
  CHECK(process.logs("configuration: reloaded"));
  process.ready();  // the work after the signal is done then
  CHECK_EQ(countOf(process.log(), "view: unchanged"), 0);
  view["view"]["users"] = 5;
  process.own(view.dump());
  process.kill(SIGHUP);
  CHECK(process.logs("view: unchanged"));
  fleet.startLoad();
  CHECK(SubsetFleet::waitFor([&] { return fleet.sends().size() > 500; }));
  fleet.stopLoadAndCheck();
  CHECK_EQ(fleet.maxRankUsed(), 2);
  CHECK_EQ(countOf(process.log(), "view: unchanged"), 1);
}

TEST_CASE("a class with starting engines of other subsets only: logged once, shed, and served once warm") {
  SubsetFleet fleet(8, {0}, 24, viewSettings());
  auto& process = *fleet.processes[0];
  auto others = fleet.listed;
  std::erase_if(others, [&](uint32_t id) { return fleet.rankOf(0, id) < 3; });
  fleet.changeLog.publish(true, fleet.records(others, 0, unixMs()));
  CHECK(process.logs("view: no-engine-in-view: class quick"));
  auto client = process.client();
  client->write(post(1, "quick", 500));
  CHECK_EQ(answer(*client), kBusy);
  CHECK(fleet.sends().empty());
  fleet.changeLog.publish(true, fleet.records(others, 0, unixMs() - 1));  // the engines start again
  client->write(post(2, "quick", 500));
  CHECK_EQ(answer(*client), kBusy);
  CHECK(fleet.sends().empty());
  CHECK(process.logs("by its own width"));  // the engines are warm
  client->write(post(3));
  CHECK_EQ(answer(*client), kServed);
  CHECK_EQ(countOf(process.log(), "no-engine-in-view"), 1);
}

TEST_CASE(
    "ordered commands at an engine that leaves the subset end there, or are withdrawn with their client") {
  EngineStubs engines(2);
  GatewayProcess process(engines, 2);
  // The first engine for which dispatcher 0 of two has this rendezvous rank.
  auto engineWithRank = [](int rank) {
    for (uint32_t id = 1;; ++id)
      if (elmcleat::view::rendezvousRank(id, 0, 2, 2) == rank)
        return id;
  };
  auto& hosts = process.config["known"]["results"][0]["fleet"]["hosts"];
  for (int i : {0, 1})
    hosts[size_t(i)]["host"] = "s-0000000" + std::to_string(engineWithRank(i));
  process.config["settings"]["balancers"] = 2;
  process.config["settings"]["ordinal"] = 0;
  process.config["settings"]["specifics"]["progressPaceUs"] = 8000000;  // the engine stubs report no progress
  process.gateway = R"({"view": {"users": 1, "mostUsers": 2, "least": 1, "narrowAfterS": 1}})";
  process.start();
  process.ready();
  auto log = process.follower();
  // The engine drains, and the other one comes into the subset.
  log->write(change(2, engineWithRank(0), 1, engines.address(0)));
  CHECK(process.logs("reach 2"));
  std::vector<std::unique_ptr<StubConnection>> clients;
  auto sendCommand = [&](int number, const std::string& key) {
    clients.push_back(process.client());
    clients.back()->write(post(number, "load", 9000, kToken + "Req-Key: " + key + "\r\n"));
  };
  sendCommand(1, idOf(100));
  EngineRequestLine first = engines.next();
  sendCommand(2, idOf(200));
  EngineRequestLine second = engines.next();
  CHECK_EQ(first.engine + second.engine, 2);
  // Queued behind the first two.
  sendCommand(3, idOf(100));
  sendCommand(4, idOf(200));
  log->write(change(3, engineWithRank(0), 0, engines.address(0)));
  CHECK(process.logs("by its own width, event 3: 1 of 2 in use, reach 1"));
  clients[1]->close();  // its command is withdrawn, but the engine still ends it before the next one
  CHECK_EQ(engines.next(300).verb, "");
  second.hit();
  EngineRequestLine fourth = engines.next();
  CHECK_EQ(fourth.id + std::to_string(fourth.engine), idOf(4) + "0");
  fourth.hit();
  CHECK_EQ(answer(*clients[3]), kServed);
  first.hit();
  CHECK_EQ(answer(*clients[0]), kServed);
  EngineRequestLine third = engines.next();
  CHECK_EQ(third.id + std::to_string(third.engine), idOf(3) + "0");
  third.hit();
  CHECK_EQ(answer(*clients[2]), kServed);
  CHECK_EQ(engines.next(300).verb, "");
  CHECK_EQ(engines.closed, 2);  // both connections of the engine that left the subset
}
