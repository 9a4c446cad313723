// Several real processes with faults between them. What each holds of the others is read off what the relays recorded:
// the join of all that it was told and has told, never what it says of itself in a log.
#include <sys/ptrace.h>

#include "relay.h"

using namespace elmcleat::members;

namespace {

constexpr double kAgree = 12;  // seconds; far more than it takes, sanitized and on a busy machine too

struct Team {
  explicit Team(int count) : engines(1), relay(count), wire(planOf(count)), starts(size_t(count)) {
    for (int i = 0; i < count; ++i) {
      services.push_back(std::make_unique<GatewayProcess>(engines, 1));
      services.back()->config["name"] = "n" + std::to_string(i);
      services.back()->config["settings"]["limits"]["peers"] = true;
      services.back()->gateway = Json{{"members", relay.section(i)}}.dump();
      start(i);
    }
    for (auto& service : services)
      service->ready();
  }
  static MembershipSettings planOf(int count) {
    MembershipSettings plan;
    plan.fleet = "test";
    for (int i = 0; i < count; ++i)
      plan.peers.push_back({"n" + std::to_string(i), {}});
    return plan;
  }
  void start(int member) {
    starts[size_t(member)] = now();
    services[size_t(member)]->start();
  }
  GatewayProcess& at(int member) { return *services[size_t(member)]; }
  // What `who` holds of `whom`, by the record since its start.
  MemberStatus held(int who, int whom) {
    MemberStatus most;
    for (auto& [time, from, to, delivered, bytes] : relay.passed()) {
      if (time < starts[size_t(who)] || (from != who && (to != who || !delivered)))
        continue;
      auto read = wire.decode(bytes);
      auto* message = std::get_if<Message>(&read);
      if (!message)
        continue;
      if (from == whom)
        most = mergedStatus(most, {message->instance, message->incarnation, MemberState::alive});
      for (auto& row : message->updates)
        if (row.member == whom)
          most = mergedStatus(most, row.status);
    }
    return most;
  }
  // Before long each of `who` holds each of `whom` to be there, or not to be.
  bool holds(const std::vector<int>& who, const std::vector<int>& whom, bool there) {
    for (double end = now() + kAgree; now() < end; pause(0.1)) {
      bool all = true;
      for (int a : who)
        for (int b : whom)
          all = all && (a == b || held(a, b).isPresent() == there);
      if (all)
        return true;
    }
    return false;
  }
  // How often `who` has called `whom` down as its own finding, before anybody told it.
  int calledDown(int who, const std::vector<int>& whom) {
    int times = 0;
    std::map<int, MemberStatus> heard;
    for (auto& [time, from, to, delivered, bytes] : relay.passed()) {
      auto read = wire.decode(bytes);
      auto* message = std::get_if<Message>(&read);
      if (!message)
        continue;
      for (auto& row : message->updates) {
        if (to == who && delivered)
          heard[row.member] = mergedStatus(heard[row.member], row.status);
        bool news = from == who && row.status.state == MemberState::down && row.status > heard[row.member];
        times += news && std::ranges::find(whom, row.member) != whom.end();
        if (from == who)
          heard[row.member] = mergedStatus(heard[row.member], row.status);
      }
    }
    return times;
  }
  void serves(int member) {  // a command, there and back
    auto client = at(member).client();
    client->write(post(++commands));
    engines.next().hit();
    CHECK_EQ(answer(*client), kServed);
  }

  EngineStubs engines;
  Relay relay;
  MessageCodec wire;
  std::vector<std::unique_ptr<GatewayProcess>> services;
  std::vector<double> starts;
  int commands = 0;
};
const std::vector<int> kAll = {0, 1, 2, 3, 4};

}  // namespace

TEST_CASE("one of five is killed, and comes back; commands go on all the while") {
  Team team(5);
  REQUIRE(team.holds(kAll, kAll, true));
  team.at(2).kill(SIGKILL);
  CHECK_EQ(team.at(2).status(), 1000 + SIGKILL);
  for (int i : {0, 1, 3, 4})
    team.serves(i);
  CHECK(team.holds({0, 1, 3, 4}, {2}, false));
  team.start(2), team.at(2).ready();
  CHECK(team.holds(kAll, kAll, true));
  for (int i : kAll)
    team.serves(i);
}

TEST_CASE(
    "restarts one after the other: each says goodbye, nobody is called down, every command is answered") {
  Team team(4);
  REQUIRE(team.holds({0, 1, 2, 3}, {0, 1, 2, 3}, true));
  for (int i = 0; i < 4; ++i) {
    team.at(i).kill(SIGTERM);
    CHECK_EQ(team.at(i).status(), 0);
    int other = (i + 1) % 4;
    CHECK(team.holds({other}, {i}, false));
    CHECK_EQ(team.held(other, i).state, MemberState::left);
    team.serves(other);
    team.start(i), team.at(i).ready();
    CHECK(team.holds({0, 1, 2, 3}, {0, 1, 2, 3}, true));
  }
  for (int i = 0; i < 4; ++i)
    CHECK_EQ(team.calledDown(i, {0, 1, 2, 3}), 0);
}

TEST_CASE(
    "two of five are cut off, both ways, then one way only; each side serves, and all agree afterwards") {
  Team team(5);
  REQUIRE(team.holds(kAll, kAll, true));
  team.relay.part({3, 4}, true);
  CHECK(team.holds({0, 1, 2}, {3, 4}, false));
  CHECK(team.holds({3, 4}, {0, 1, 2}, false));
  for (int i : kAll)
    team.serves(i);
  team.relay.part({3, 4}, false);
  CHECK(team.holds(kAll, kAll, true));
  team.relay.set(0, 1, {.cut = true});  // one way, between two: the others speak for them
  pause(4);
  CHECK(team.holds(kAll, kAll, true));
}

TEST_CASE("a process that was stopped for longer than any suspicion blames nobody, and is there again") {
  Team team(4);
  REQUIRE(team.holds({0, 1, 2, 3}, {0, 1, 2, 3}, true));
  team.at(1).kill(SIGSTOP);
  CHECK(team.holds({0, 2, 3}, {1}, false));
  pause(4);
  team.at(1).kill(SIGCONT);
  CHECK(team.holds({0, 1, 2, 3}, {0, 1, 2, 3}, true));
  team.serves(1);
  CHECK_EQ(team.calledDown(1, {0, 2, 3}), 0);
}

TEST_CASE(
    "loss, copies, disorder and damage on every link: nobody is called down, damage is told and not "
    "believed") {
  Team team(4);
  team.relay.all({.cut = false, .delay = 0.005, .jitter = 0.03, .loss = 0.05, .copies = 0.1, .damage = 0.05});
  REQUIRE(team.holds({0, 1, 2, 3}, {0, 1, 2, 3}, true));
  pause(6);
  for (int i = 0; i < 4; ++i) {
    team.serves(i);
    CHECK_EQ(team.calledDown(i, {0, 1, 2, 3}), 0);
    CHECK(team.at(i).logs("members: undecodable: "));
    CHECK_EQ(team.at(i).log().find("control-ended"), std::string::npos);
  }
}

TEST_CASE("two under one name: on one address the second does not start, on another it is nobody's member") {
  Team team(3);
  REQUIRE(team.holds({0, 1, 2}, {0, 1, 2}, true));
  auto second = [&](Json section) {
    auto made = std::make_unique<GatewayProcess>(team.engines, 1);
    made->config["name"] = "n1", made->config["settings"]["limits"]["peers"] = true;
    made->gateway = Json{{"members", section}}.dump();
    made->start();
    return made;
  };
  auto same = second(team.relay.section(1));
  CHECK_EQ(same->status(), 1);
  CHECK(same->logs("elmcleat: members: address-taken: n1 at "));
  Json elsewhere = team.relay.section(1);
  elsewhere["peers"][1]["at"] = textOf(Relay::free());
  elsewhere["peers"][0]["at"] =
      textOf(team.relay.real(0));  // past the relay, from an address that is not n1's
  auto other = second(elsewhere);
  other->ready();
  CHECK(team.at(0).logs("members: stranger: "));
  CHECK(other->logs("members: alone: "));
  CHECK(team.holds({0, 1, 2}, {0, 1, 2}, true));
  elsewhere["fleet"] = "another", elsewhere["peers"][1]["at"] = textOf(Relay::free());
  auto foreign = second(elsewhere);
  CHECK(team.at(0).logs("members: other-fleet: "));
}

TEST_CASE("the control thread hangs: commands go on, traffic says so, and goes on with it when it wakes") {
  Team team(3);
  REQUIRE(team.holds({0, 1, 2}, {0, 1, 2}, true));
  REQUIRE_EQ(team.at(0).threads("control").size(), 1);
  pid_t thread = team.at(0).threads("control")[0];
  REQUIRE_EQ(ptrace(PTRACE_SEIZE, thread, 0, 0), 0);
  REQUIRE_EQ(ptrace(PTRACE_INTERRUPT, thread, 0, 0), 0);
  CHECK(team.at(0).logs("members: control-silent: "));
  team.serves(0);
  CHECK(team.holds({1, 2}, {0}, false));  // among members it is gone
  REQUIRE_EQ(waitpid(thread, nullptr, __WALL), thread);
  REQUIRE_EQ(ptrace(PTRACE_DETACH, thread, 0, 0), 0);
  CHECK(team.at(0).logs("members: the control thread tells again"));
  CHECK(team.holds({0, 1, 2}, {0, 1, 2}, true));
  team.serves(0);
}
