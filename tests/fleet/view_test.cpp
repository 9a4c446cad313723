// Real processes with views, and faults between them. What each uses is read off what reached the engines; who may use
// an engine is worked out here, by the order of dispatchers before it.
#include "view_fleet.h"

namespace {

constexpr double kGrace = 0.3;  // drainGraceUs, and what clocks are worth

uint64_t unixMs() {
  return uint64_t(std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds(1));
}
Json planOf(double usablePart = 0.5) {
  return {{"users", 3}, {"mostUsers", 6}, {"least", 2}, {"usablePart", usablePart}, {"narrowAfterS", 1}};
}
size_t countOf(const std::string& text, const std::string& part) {
  size_t count = 0;
  for (size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
    ++count;
  return count;
}
std::set<uint32_t> zone(const Fleet& fleet, int which) {
  auto found = fleet.listed;
  std::erase_if(found, [&](uint32_t id) { return Fleet::zoneOf(id) != which; });
  return found;
}

}  // namespace

TEST_CASE("an engine is reached by its users alone, and all engines are reached") {
  Fleet fleet(8, {0, 1, 2, 3, 4, 5, 6, 7}, 240, planOf());
  fleet.load();
  CHECK(Fleet::soon([&] { return fleet.users().size() == 240; }));
  fleet.answered();
  CHECK_EQ(fleet.farthest(), 2);
  CHECK_LE(fleet.crowd.mostOpen(), 3);  // one of each user, while there are enough
}

TEST_CASE("a zone goes and comes back cold: no command is lost, its users alone warm it") {
  Fleet fleet(6, {0, 1, 2, 3, 4, 5}, 240, planOf(1));  // views are wide as soon as a few are missing
  CHECK(fleet.allTold());
  for (int which : {1, 2}) {  // by a whole list without it, and engine by engine
    auto lost = zone(fleet, which), rest = fleet.listed;
    for (uint32_t id : lost)
      rest.erase(id);
    std::set<uint32_t> at;
    for (uint32_t id : lost)
      at.insert(kFirst + id);
    fleet.crowd.set(EngineStubFarm::Way::late, at);
    fleet.load();
    auto inHand = [&] {
      return std::ranges::any_of(fleet.sends(now() - 0.05),
                                 [&](auto& one) { return lost.contains(one.engine); });
    };
    CHECK(Fleet::soon(inHand));
    which == 1 ? fleet.log.tell(true, fleet.records(rest)) : fleet.log.tell(false, fleet.records(lost, 2));
    std::string mark = ", event " + std::to_string(fleet.log.last) + ":";
    for (auto& service : fleet.services)
      CHECK(service->logs(mark));
    double told = now();
    auto closed = [&] {
      return std::ranges::all_of(at, [&](auto one) { return fleet.crowd.open(one) == 0; });
    };
    CHECK(Fleet::soon(closed));
    pause(2 * kGrace);
    for (auto& sent : fleet.sends(told + kGrace))
      CHECK_FALSE(lost.contains(sent.engine));

    fleet.crowd.set(EngineStubFarm::Way::answers, at);
    double back = now();
    fleet.log.tell(false, fleet.records(lost, 0, unixMs()));
    auto warming = [&] {
      std::set<uint32_t> used;
      for (auto& sent : fleet.sends(back))
        used.insert(sent.engine);
      return std::ranges::count_if(lost, [&](auto id) { return used.contains(id); }) >= 50;
    };
    CHECK(Fleet::soon(warming, kColdTime));  // 50 of 60
    pause(std::max(0.0, back + kColdTime - now()));
    bool wide = false;
    for (auto& sent : fleet.sends(back)) {
      int place = fleet.place(sent.process, sent.engine);
      if (sent.at < back + kColdTime - 0.1 && lost.contains(sent.engine))
        CHECK_LT(place, 3);
      wide = wide || place >= 3;
    }
    CHECK(wide);
    fleet.answered();
  }
  CHECK_LT(fleet.farthest(), 6);
}

TEST_CASE("the change log falls silent and comes back whole: nothing is done anew, but for what has gone") {
  Fleet fleet(8, {0, 3, 5, 6}, 240, planOf());
  fleet.load();
  CHECK(fleet.allTold());
  CHECK(Fleet::soon([&] { return fleet.users().size() >= 150; }));
  fleet.answered();
  auto before = fleet.crowd.made();
  for (bool gone : {false, true}) {
    fleet.log.silent(true);
    CHECK(Fleet::soon([&] { return fleet.log.given(); }));
    auto listed = fleet.listed;
    if (gone)
      std::erase_if(listed, [](uint32_t id) { return id % 8 == 0; });
    fleet.log.tell(true, fleet.records(listed));
    fleet.log.silent(false);
    for (auto& service : fleet.services)
      CHECK(
          Fleet::soon([&] { return countOf(service->log(), "change log: connected") >= 2 + size_t(gone); }));
    CHECK(fleet.allTold());
    for (size_t i = 0; i < 4; ++i) {
      auto& service = *fleet.services[i];
      if (gone)
        CHECK(service.logs("engines change by whole list, event 3"));
      CHECK_EQ(fleet.viewLines(i), 1 + gone);
      CHECK_EQ(service.log().find("no-engine"), std::string::npos);
    }
    if (!gone)
      CHECK_EQ(fleet.crowd.made(), before);
  }
  auto left = [&] {
    for (uint32_t id = 8; id <= 240; id += 8)
      if (fleet.crowd.open(kFirst + id) > 0)
        return false;
    return true;
  };
  CHECK(Fleet::soon(left));
  CHECK_EQ(fleet.crowd.made().first, before.first);
  double from = now();
  fleet.load();
  CHECK(Fleet::soon([&] { return fleet.sends(from).size() > 1000; }));
  fleet.answered();
  for (auto& sent : fleet.sends(from))
    CHECK_NE(sent.engine % 8, 0);
  CHECK_EQ(fleet.farthest(), 2);
  for (size_t i = 0; i < 4; ++i) {  // what is out of view is named nowhere
    auto text = fleet.services[i]->log();
    std::regex named("engine s-([0-9a-f]{8})|node ([0-9]+) ");
    for (std::sregex_iterator at(text.begin(), text.end(), named), end; at != end; ++at) {
      bool hex = (*at)[1].matched;
      CHECK_LT(fleet.place(i, uint32_t(std::stoul((*at)[hex ? 1 : 2], nullptr, hex ? 16 : 10))), 3);
    }
  }
}

TEST_CASE("a process dies and returns with its ordinal: its view is what it was, and no other's changes") {
  Fleet fleet(8, {1, 2, 4, 7}, 240, planOf());
  fleet.load();
  std::set<uint32_t> more;
  for (uint32_t id = 241; id <= 280; ++id)
    more.insert(id);
  fleet.log.tell(false, fleet.records(more));
  CHECK(fleet.allTold());
  auto view = [&](uint32_t last) {  // of the process with ordinal 1
    std::set<uint32_t> found;
    for (uint32_t id = 1; id <= last; ++id)
      if (fleet.place(0, id) < 3)
        found.insert(id);
    return found;
  };
  auto used = [&](double from) {
    std::set<uint32_t> found;
    for (auto& sent : fleet.sends(from))
      if (sent.process == 0)
        found.insert(sent.engine);
    return found;
  };
  CHECK(Fleet::soon([&] { return used(0) == view(280); }));
  fleet.loads[0]->stop();
  fleet.loads.erase(fleet.loads.begin());
  fleet.services[0]->kill(SIGKILL);
  CHECK_EQ(fleet.services[0]->status(), 1000 + SIGKILL);
  fleet.services[0]->start();  // it knows the first 240, and reads on from there
  fleet.services[0]->ready();
  double from = now();
  CHECK(fleet.allTold());
  fleet.loads.push_back(std::make_unique<Load>(*fleet.services[0], 0));
  CHECK(Fleet::soon([&] { return used(from) == view(280); }));
  fleet.answered();
  CHECK_EQ(fleet.farthest(), 2);
  for (size_t i = 1; i < 4; ++i)
    CHECK_EQ(fleet.viewLines(i), 2);  // its start, and the forty
}

TEST_CASE("two processes with one ordinal: an engine has one user more at most, all commands are answered") {
  Fleet fleet(5, {0, 1, 2, 3, 4, 2}, 240, planOf());
  fleet.load();
  CHECK(Fleet::soon(
      [&] { return std::ranges::any_of(fleet.users(), [](auto& one) { return one.second.size() == 4; }); }));
  pause(1);
  fleet.answered();
  CHECK_EQ(fleet.farthest(), 2);
  for (auto& [engine, users] : fleet.users())
    CHECK_LE(users.size(), 3 + users.contains(5));
}

TEST_CASE(
    "engines in view hang or refuse: the view widens, commands go on, and it narrows when they are back") {
  Fleet fleet(16, {0, 9, 12}, 96, planOf());
  std::set<uint32_t> hang, refuse;  // two thirds of what the first uses
  int mine = 0;
  for (uint32_t id : fleet.listed)
    if (fleet.place(0, id) < 3 && ++mine % 3 > 0)
      (mine % 3 == 1 ? hang : refuse).insert(kFirst + id);
  fleet.crowd.set(EngineStubFarm::Way::hangs, hang), fleet.crowd.set(EngineStubFarm::Way::refuses, refuse);
  Load load(*fleet.services[0], 0, 24);
  auto& service = *fleet.services[0];
  CHECK(service.logs("by its own width"));
  CHECK(Fleet::soon([&] { return fleet.farthest(0, 0) >= 3; }));
  int served = load.served;
  CHECK(Fleet::soon([&] { return load.served > served + 300; }));
  auto ill = hang;
  ill.merge(refuse);
  fleet.crowd.set(EngineStubFarm::Way::answers, ill);
  CHECK(Fleet::soon([&] {
    auto text = service.log();
    auto last = text.rfind("engines change by its own width");
    return last != std::string::npos && text.find("reach 3", last) != std::string::npos;
  }));
  pause(kGrace);
  double from = now();
  CHECK(Fleet::soon([&] { return fleet.sends(from).size() > 300; }));
  load.stop();
  CHECK_EQ(fleet.farthest(from), 2);
  CHECK_LT(fleet.farthest(), 6);
  CHECK_EQ(load.told["none"], 0);
  CHECK_EQ(load.told["200"] + load.told["503"] + load.told["500"], load.asked);
  for (size_t i : {1, 2})
    CHECK_EQ(fleet.viewLines(i), 1);  // whom nobody asks finds nothing unfit
}

TEST_CASE("all engines within the bound start: the view goes no farther") {
  Fleet fleet(16, {0}, 96, planOf());
  auto near = fleet.listed;
  std::erase_if(near, [&](uint32_t id) { return fleet.place(0, id) >= 6; });
  double from = now();
  fleet.log.tell(false, fleet.records(near, 0, unixMs()));
  CHECK(fleet.services[0]->logs("engines change by changes, event 2"));
  fleet.load();
  pause(std::max(0.0, from + kColdTime - 0.1 - now()));
  CHECK_GT(fleet.sends().size(), 0);
  CHECK_EQ(fleet.farthest(), 2);  // who is cold is for its users alone
  fleet.answered();
}

TEST_CASE("what is wrong at a start ends it with one line; another view at SIGHUP changes nothing") {
  EngineStubs none(0);
  Json view{{"view", planOf()}}, both = view;
  both["members"] = {
      {"fleet", "test"},
      {"peers", {{{"name", "n3"}, {"at", "127.0.0.1:9"}}, {{"name", "n4"}, {"at", "127.0.0.1:10"}}}}};
  Json missing{{"balancers", 4}}, large{{"balancers", 4}, {"ordinal", 4}},
      fine{{"balancers", 4}, {"ordinal", 3}};
  for (auto& [settings, own, name] : {std::tuple{missing, view, "view: ordinal-missing: "},
                                      std::tuple{large, view, "view: ordinal-too-large: "},
                                      std::tuple{fine, both, "view: counts-differ: "}}) {
    GatewayProcess service(none, 0);
    service.config["settings"].update(settings);
    service.config["settings"]["limits"]["peers"] = true;
    service.gateway = own.dump();
    service.start();
    CHECK_EQ(service.status(), 1);
    CHECK_EQ(countOf(service.log(), "\n"), 1);
    CHECK_EQ(countOf(service.log(), name), 1);
  }
  Fleet fleet(8, {0}, 96, planOf());
  auto& service = *fleet.services[0];
  service.kill(SIGHUP);
  CHECK(service.logs("configuration: read again"));
  service.ready();  // so all of that signal's work is done
  CHECK_EQ(countOf(service.log(), "view: as it was"), 0);
  view["view"]["users"] = 5;
  service.own(view.dump()), service.kill(SIGHUP);
  CHECK(service.logs("view: as it was"));
  fleet.load();
  CHECK(Fleet::soon([&] { return fleet.sends().size() > 500; }));
  fleet.answered();
  CHECK_EQ(fleet.farthest(), 2);
  CHECK_EQ(countOf(service.log(), "view: as it was"), 1);
}

TEST_CASE(
    "a class whose engines all start, and are others' to warm: told once, shed, and served once they are "
    "warm") {
  Fleet fleet(8, {0}, 24, planOf());
  auto& service = *fleet.services[0];
  auto others = fleet.listed;
  std::erase_if(others, [&](uint32_t id) { return fleet.place(0, id) < 3; });
  fleet.log.tell(true, fleet.records(others, 0, unixMs()));
  CHECK(service.logs("view: no-engine-in-view: class quick"));
  auto client = service.client();
  client->write(post(1, "quick", 500));
  CHECK_EQ(answer(*client), kBusy);
  CHECK(fleet.sends().empty());
  fleet.log.tell(true, fleet.records(others, 0, unixMs() - 1));  // another start
  client->write(post(2, "quick", 500));
  CHECK_EQ(answer(*client), kBusy);
  CHECK(fleet.sends().empty());
  CHECK(service.logs("by its own width"));  // warm
  client->write(post(3));
  CHECK_EQ(answer(*client), kServed);
  CHECK_EQ(countOf(service.log(), "no-engine-in-view"), 1);
}

TEST_CASE("ordered commands in hand at an engine that leaves the view end there, or go with their client") {
  EngineStubs engines(2);
  GatewayProcess service(engines, 2);
  auto id = [](int place) {  // the first engine where the dispatcher 0 of two stands there
    for (uint32_t one = 1;; ++one)
      if (elmcleat::view::rendezvousRank(one, 0, 2, 2) == place)
        return one;
  };
  auto& hosts = service.config["known"]["results"][0]["fleet"]["hosts"];
  for (int i : {0, 1})
    hosts[size_t(i)]["host"] = "s-0000000" + std::to_string(id(i));
  service.config["settings"]["balancers"] = 2, service.config["settings"]["ordinal"] = 0;
  service.config["settings"]["specifics"]["progressPaceUs"] = 8000000;  // these stand-ins write no notes
  service.gateway = R"({"view": {"users": 1, "mostUsers": 2, "least": 1, "narrowAfterS": 1}})";
  service.start(), service.ready();
  auto log = service.follower();
  log->write(change(2, id(0), 1, engines.address(0)));  // it drains: the other comes into view
  CHECK(service.logs("reach 2"));
  std::vector<std::unique_ptr<StubConnection>> clients;
  auto ask = [&](int number, const std::string& key) {
    clients.push_back(service.client());
    clients.back()->write(post(number, "load", 9000, kToken + "Req-Key: " + key + "\r\n"));
  };
  ask(1, idOf(100));
  EngineRequestLine one = engines.next();
  ask(2, idOf(200));
  EngineRequestLine two = engines.next();
  CHECK_EQ(one.engine + two.engine, 2);
  ask(3, idOf(100)), ask(4, idOf(200));  // behind them
  log->write(change(3, id(0), 0, engines.address(0)));
  CHECK(service.logs("by its own width, event 3: 1 of 2 in use, reach 1"));
  clients[1]->close();  // withdrawn; what runs there ends first all the same
  CHECK_EQ(engines.next(300).verb, "");
  two.hit();
  EngineRequestLine four = engines.next();
  CHECK_EQ(four.id + std::to_string(four.engine), idOf(4) + "0");
  four.hit();
  CHECK_EQ(answer(*clients[3]), kServed);
  one.hit();
  CHECK_EQ(answer(*clients[0]), kServed);
  EngineRequestLine three = engines.next();
  CHECK_EQ(three.id + std::to_string(three.engine), idOf(3) + "0");
  three.hit();
  CHECK_EQ(answer(*clients[2]), kServed);
  CHECK_EQ(engines.next(300).verb, "");
  CHECK_EQ(engines.closed, 2);  // both of the one that has left
}
