// Tests of membership in several real processes, with network faults between them. The statuses that a
// process holds are derived from the datagrams that the relay recorded, by merging all that it received and
// sent, never from its log.
#include <sys/ptrace.h>

#include "relay.h"

using namespace elmcleat::members;

namespace {

constexpr double kConvergenceTimeout = 12;  // seconds; ample even with sanitizers on a busy machine

struct TestFleet {
  explicit TestFleet(int count)
      : engines(1), relay(count), codec(settingsFor(count)), startTimes(size_t(count)) {
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
  static MembershipSettings settingsFor(int count) {
    MembershipSettings settings;
    settings.fleet = "test";
    for (int i = 0; i < count; ++i)
      settings.peers.push_back({"n" + std::to_string(i), {}});
    return settings;
  }
  void start(int member) {
    startTimes[size_t(member)] = now();
    services[size_t(member)]->start();
  }
  GatewayProcess& process(int member) { return *services[size_t(member)]; }
  // The status of `subject` that `observer` holds, according to the datagrams since its start.
  MemberStatus statusAt(int observer, int subject) {
    MemberStatus status;
    for (auto& [time, from, to, delivered, bytes] : relay.datagrams()) {
      if (time < startTimes[size_t(observer)] || (from != observer && (to != observer || !delivered)))
        continue;
      auto decoded = codec.decode(bytes);
      auto* message = std::get_if<Message>(&decoded);
      if (!message)
        continue;
      if (from == subject)
        status = mergedStatus(status, {message->instance, message->incarnation, MemberState::alive});
      for (auto& update : message->updates)
        if (update.member == subject)
          status = mergedStatus(status, update.status);
    }
    return status;
  }
  // Waits until each of `observers` sees each of `subjects` present, or absent. Returns false after a
  // time-out.
  bool waitUntilSeen(const std::vector<int>& observers, const std::vector<int>& subjects, bool present) {
    for (double end = now() + kConvergenceTimeout; now() < end; pause(0.1)) {
      bool all = true;
      for (int observer : observers)
        for (int subject : subjects)
          all = all && (observer == subject || statusAt(observer, subject).isPresent() == present);
      if (all)
        return true;
    }
    return false;
  }
  // How often `observer` has declared one of `subjects` down itself, before any other member reported it.
  int downDetections(int observer, const std::vector<int>& subjects) {
    int count = 0;
    std::map<int, MemberStatus> known;
    for (auto& [time, from, to, delivered, bytes] : relay.datagrams()) {
      auto decoded = codec.decode(bytes);
      auto* message = std::get_if<Message>(&decoded);
      if (!message)
        continue;
      for (auto& update : message->updates) {
        if (to == observer && delivered)
          known[update.member] = mergedStatus(known[update.member], update.status);
        bool isNew = from == observer && update.status.state == MemberState::down &&
                     update.status > known[update.member];
        count += isNew && std::ranges::find(subjects, update.member) != subjects.end();
        if (from == observer)
          known[update.member] = mergedStatus(known[update.member], update.status);
      }
    }
    return count;
  }
  // Sends a command through a process, and checks the response.
  void checkServes(int member) {
    auto client = process(member).client();
    client->write(post(++commands));
    engines.next().hit();
    CHECK_EQ(answer(*client), kServed);
  }

  EngineStubs engines;
  Relay relay;
  MessageCodec codec;
  std::vector<std::unique_ptr<GatewayProcess>> services;
  std::vector<double> startTimes;
  int commands = 0;
};
const std::vector<int> kAll = {0, 1, 2, 3, 4};

}  // namespace

TEST_CASE("one of five is killed and restarted; commands are served throughout") {
  TestFleet fleet(5);
  REQUIRE(fleet.waitUntilSeen(kAll, kAll, true));
  fleet.process(2).kill(SIGKILL);
  CHECK_EQ(fleet.process(2).status(), 1000 + SIGKILL);
  for (int i : {0, 1, 3, 4})
    fleet.checkServes(i);
  CHECK(fleet.waitUntilSeen({0, 1, 3, 4}, {2}, false));
  fleet.start(2);
  fleet.process(2).ready();
  CHECK(fleet.waitUntilSeen(kAll, kAll, true));
  for (int i : kAll)
    fleet.checkServes(i);
}

TEST_CASE(
    "rolling restart: each process announces that it leaves, none is declared down, commands are served") {
  TestFleet fleet(4);
  REQUIRE(fleet.waitUntilSeen({0, 1, 2, 3}, {0, 1, 2, 3}, true));
  for (int i = 0; i < 4; ++i) {
    fleet.process(i).kill(SIGTERM);
    CHECK_EQ(fleet.process(i).status(), 0);
    int other = (i + 1) % 4;
    CHECK(fleet.waitUntilSeen({other}, {i}, false));
    CHECK_EQ(fleet.statusAt(other, i).state, MemberState::left);
    fleet.checkServes(other);
    fleet.start(i);
    fleet.process(i).ready();
    CHECK(fleet.waitUntilSeen({0, 1, 2, 3}, {0, 1, 2, 3}, true));
  }
  for (int i = 0; i < 4; ++i)
    CHECK_EQ(fleet.downDetections(i, {0, 1, 2, 3}), 0);
}

TEST_CASE("two of five are partitioned, then one link is cut one way; all serve, and converge afterwards") {
  TestFleet fleet(5);
  REQUIRE(fleet.waitUntilSeen(kAll, kAll, true));
  fleet.relay.partition({3, 4}, true);
  CHECK(fleet.waitUntilSeen({0, 1, 2}, {3, 4}, false));
  CHECK(fleet.waitUntilSeen({3, 4}, {0, 1, 2}, false));
  for (int i : kAll)
    fleet.checkServes(i);
  fleet.relay.partition({3, 4}, false);
  CHECK(fleet.waitUntilSeen(kAll, kAll, true));
  fleet.relay.setConditions(0, 1, {.cut = true});  // indirect probes keep both alive
  pause(4);
  CHECK(fleet.waitUntilSeen(kAll, kAll, true));
}

TEST_CASE("a process stopped for longer than any suspicion declares none down, and is alive again") {
  TestFleet fleet(4);
  REQUIRE(fleet.waitUntilSeen({0, 1, 2, 3}, {0, 1, 2, 3}, true));
  fleet.process(1).kill(SIGSTOP);
  CHECK(fleet.waitUntilSeen({0, 2, 3}, {1}, false));
  pause(4);
  fleet.process(1).kill(SIGCONT);
  CHECK(fleet.waitUntilSeen({0, 1, 2, 3}, {0, 1, 2, 3}, true));
  fleet.checkServes(1);
  CHECK_EQ(fleet.downDetections(1, {0, 2, 3}), 0);
}

TEST_CASE("loss, duplication, reordering and damage on every link: none is declared down, damage is logged") {
  TestFleet fleet(4);
  fleet.relay.setAllConditions(
      {.cut = false, .delay = 0.005, .jitter = 0.03, .loss = 0.05, .duplication = 0.1, .damage = 0.05});
  REQUIRE(fleet.waitUntilSeen({0, 1, 2, 3}, {0, 1, 2, 3}, true));
  pause(6);
  for (int i = 0; i < 4; ++i) {
    fleet.checkServes(i);
    CHECK_EQ(fleet.downDetections(i, {0, 1, 2, 3}), 0);
    CHECK(fleet.process(i).logs("members: undecodable: "));
    CHECK_EQ(fleet.process(i).log().find("control-ended"), std::string::npos);
  }
}

TEST_CASE("duplicate name: at the same address the start fails, at another one the process is isolated") {
  TestFleet fleet(3);
  REQUIRE(fleet.waitUntilSeen({0, 1, 2}, {0, 1, 2}, true));
  auto startDuplicate = [&](Json section) {
    auto duplicate = std::make_unique<GatewayProcess>(fleet.engines, 1);
    duplicate->config["name"] = "n1";
    duplicate->config["settings"]["limits"]["peers"] = true;
    duplicate->gateway = Json{{"members", section}}.dump();
    duplicate->start();
    return duplicate;
  };
  auto sameAddress = startDuplicate(fleet.relay.section(1));
  CHECK_EQ(sameAddress->status(), 1);
  CHECK(sameAddress->logs("elmcleat: members: address-taken: n1 at "));
  Json elsewhere = fleet.relay.section(1);
  elsewhere["peers"][1]["at"] = textOf(Relay::freeAddress());
  // Bypasses the relay, so that its messages come from an address that is not n1's.
  elsewhere["peers"][0]["at"] = textOf(fleet.relay.realAddress(0));
  auto otherAddress = startDuplicate(elsewhere);
  otherAddress->ready();
  CHECK(fleet.process(0).logs("members: stranger: "));
  CHECK(otherAddress->logs("members: alone: "));
  CHECK(fleet.waitUntilSeen({0, 1, 2}, {0, 1, 2}, true));
  elsewhere["fleet"] = "another";
  elsewhere["peers"][1]["at"] = textOf(Relay::freeAddress());
  auto otherFleet = startDuplicate(elsewhere);
  CHECK(fleet.process(0).logs("members: other-fleet: "));
}

TEST_CASE("a stalled control thread is logged and costs no command; its snapshots are used when it resumes") {
  TestFleet fleet(3);
  REQUIRE(fleet.waitUntilSeen({0, 1, 2}, {0, 1, 2}, true));
  REQUIRE_EQ(fleet.process(0).threads("control").size(), 1);
  pid_t thread = fleet.process(0).threads("control")[0];
  REQUIRE_EQ(ptrace(PTRACE_SEIZE, thread, 0, 0), 0);
  REQUIRE_EQ(ptrace(PTRACE_INTERRUPT, thread, 0, 0), 0);
  CHECK(fleet.process(0).logs("members: control-silent: "));
  fleet.checkServes(0);
  CHECK(fleet.waitUntilSeen({1, 2}, {0}, false));  // the stopped thread answers no probes
  REQUIRE_EQ(waitpid(thread, nullptr, __WALL), thread);
  REQUIRE_EQ(ptrace(PTRACE_DETACH, thread, 0, 0), 0);
  CHECK(fleet.process(0).logs("members: the control thread publishes snapshots again"));
  CHECK(fleet.waitUntilSeen({0, 1, 2}, {0, 1, 2}, true));
  fleet.checkServes(0);
}
