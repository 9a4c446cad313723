// Tests of membership: the status lattice, the message codec, Membership by itself, and many instances of it
// in virtual time under random faults. A failing seed is printed: ELMCLEAT_SEED=n runs it alone,
// ELMCLEAT_SEEDS=n runs so many.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "lab/membership_simulation.h"
#include "members/membership_settings.h"
#include "seeds.h"
#include "wire.pb.h"

using namespace elmcleat;
using namespace elmcleat::members;
using lab::MembershipSimulation;

namespace {

rc::Gen<MemberStatus> anyStatus() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange<uint64_t>(1, 4), rc::gen::inRange<uint64_t>(0, 4),
                     rc::gen::inRange(0, 4)),
      [](auto parts) {
        return MemberStatus{std::get<0>(parts), std::get<1>(parts), MemberState(std::get<2>(parts))};
      });
}

Message messageFrom(MemberIndex sender, MemberIndex receiver, uint64_t sequence,
                    MessageKind kind = MessageKind::gossip, uint64_t instance = 10) {
  Message message;
  message.kind = kind;
  message.from = sender;
  message.to = receiver;
  message.sequence = sequence;
  message.instance = instance;
  message.incarnation = 1;
  return message;
}

// A fleet in which all members have joined and converged.
struct ConvergedFleet : MembershipSimulation {
  explicit ConvergedFleet(int count, uint64_t seed = 1) : MembershipSimulation(settingsFor(count), seed) {
    startAll();
    REQUIRE(runUntilConverged(10) >= 0);
  }
  void checkInvariants() { CHECK_EQ(violation(), ""); }
};

}  // namespace

TEST_CASE("member statuses: merging is commutative, associative and idempotent") {
  CHECK(rc::check([] {
    MemberStatus a = *anyStatus(), b = *anyStatus(), c = *anyStatus();
    RC_ASSERT(mergedStatus(a, b) == mergedStatus(b, a));
    RC_ASSERT(mergedStatus(a, mergedStatus(b, c)) == mergedStatus(mergedStatus(a, b), c));
    RC_ASSERT(mergedStatus(a, a) == a);
  }));
}

TEST_CASE("members that receive the same updates in any order and with duplicates hold the same statuses") {
  CHECK(rc::check([] {
    auto settings = MembershipSimulation::settingsFor(6);
    auto updates = *rc::gen::container<std::vector<std::pair<int, MemberStatus>>>(
        rc::gen::pair(rc::gen::inRange(2, 6), anyStatus()));
    auto shuffled = updates;
    for (size_t i = 0; i < updates.size(); ++i) {
      std::swap(shuffled[i], shuffled[*rc::gen::inRange<size_t>(i, updates.size())]);
      if (*rc::gen::arbitrary<bool>())
        shuffled.push_back(shuffled[i]);
    }
    auto digestAfter = [&](const auto& received) {
      Membership membership(settings, 0, {5, 1}, 1, 0);
      uint64_t sequence = 0;
      for (auto& [member, status] : received) {
        Message message = messageFrom(1, 0, ++sequence);
        message.updates.push_back({member, status});
        membership.receive(0, message);
      }
      return membership.snapshot(0).digest;
    };
    RC_ASSERT(digestAfter(updates) == digestAfter(shuffled));
  }));
}

TEST_CASE("codec: messages round-trip; damaged, foreign and too new ones are rejected with their error") {
  MembershipSettings settings = MembershipSimulation::settingsFor(4);
  MessageCodec codec(settings);
  Message message = messageFrom(1, 2, 7, MessageKind::ack);
  message.probe = 9;
  message.subject = 3;
  message.digest = 1234567;
  message.updates = {{3, {5, 6, MemberState::suspect}, 1}, {0, {8, 1, MemberState::left}}};
  message.bucketDigests = {1, 2, 3};
  message.payload = std::string("\0x", 2);
  std::string bytes = codec.encode(message);
  auto decoded = std::get<Message>(codec.decode(bytes));
  CHECK_EQ(decoded.updates.size(), 2);
  CHECK((decoded.updates[0].status == message.updates[0].status && decoded.updates[0].suspectedBy == 1 &&
         decoded.updates[1].suspectedBy == kNoMember));
  CHECK_EQ(decoded.payload, message.payload);
  CHECK((decoded.kind == MessageKind::ack && decoded.from == 1 && decoded.to == 2 && decoded.sequence == 7 &&
         decoded.probe == 9));
  CHECK((decoded.subject == 3 && decoded.digest == 1234567 &&
         decoded.bucketDigests == message.bucketDigests && decoded.instance == 10));

  auto errorOf = [&](const MessageCodec& reader, const std::string& input) {
    auto result = reader.decode(input);
    return std::holds_alternative<ErrorKind>(result) ? std::optional(std::get<ErrorKind>(result))
                                                     : std::nullopt;
  };
  for (size_t i = 0; i < bytes.size() * 8; ++i) {  // each single flipped bit
    std::string damaged = bytes;
    damaged[i / 8] = char(damaged[i / 8] ^ 1 << i % 8);
    CHECK_EQ(errorOf(codec, damaged), ErrorKind::undecodable);
  }
  for (size_t i = 0; i < bytes.size(); ++i)
    CHECK_EQ(errorOf(codec, bytes.substr(0, i)), ErrorKind::undecodable);
  CHECK_EQ(errorOf(codec, std::string(kMaxMessageBytes + 1, 'x')), ErrorKind::tooLarge);
  MembershipSettings otherFleet = settings;
  otherFleet.fleet = "another";
  CHECK_EQ(errorOf(MessageCodec(otherFleet), bytes), ErrorKind::fleetMismatch);
  MembershipSettings withoutSender = settings;  // n1 is not listed
  std::swap(withoutSender.peers[1], withoutSender.peers[3]);
  withoutSender.peers.pop_back();
  CHECK_EQ(errorOf(MessageCodec(withoutSender), bytes), ErrorKind::unknownSender);

  // From another version: unknown fields and unknown members are skipped; a message that requires a newer
  // reader is rejected.
  auto withChecksum = [&](const std::string& body) {
    uint64_t sum = checksum(body);
    std::string head(8, '\0');
    for (size_t i = 0; i < 8; ++i)
      head[i] = char(sum >> (8 * i) & 0xff);
    return head + body;
  };
  wire::Envelope envelope;
  REQUIRE(envelope.ParseFromString(bytes.substr(8)));
  auto* unlisted = envelope.add_rows();
  unlisted->set_name("n400");
  unlisted->set_instance(1);
  envelope.set_version(9);
  std::string body = envelope.SerializeAsString() + "\xfa\x7f\x03odd";  // an unknown field of length 3
  CHECK_EQ(std::get<Message>(codec.decode(withChecksum(body))).updates.size(), 2);
  envelope.set_reads(2);
  CHECK_EQ(errorOf(codec, withChecksum(envelope.SerializeAsString())), ErrorKind::unsupportedVersion);
  envelope.set_reads(1);
  envelope.mutable_rows(0)->set_incarnation(~uint64_t{0});  // no greater one would be left for a refutation
  CHECK_EQ(errorOf(codec, withChecksum(envelope.SerializeAsString())), ErrorKind::undecodable);
}

TEST_CASE("duplicates and messages before the replay window are counted and dropped") {
  Membership membership(MembershipSimulation::settingsFor(3), 0, {5, 1}, 1, 0);
  auto replays = [&] { return membership.snapshot(0).errorCounts[size_t(ErrorKind::replayed)]; };
  for (uint64_t sequence : {1, 3, 2, 200, 150})
    membership.receive(0, messageFrom(1, 0, sequence));
  CHECK_EQ(replays(), 0);
  for (uint64_t sequence : {3, 200, 150, 100})
    membership.receive(0, messageFrom(1, 0, sequence));
  CHECK_EQ(replays(), 4);
  // A new instance starts a new sequence; messages of the earlier one are dropped.
  membership.receive(0, messageFrom(1, 0, 1, MessageKind::gossip, 11));
  CHECK_EQ(replays(), 4);
  membership.receive(0, messageFrom(1, 0, 300, MessageKind::gossip, 10));
  CHECK_EQ(replays(), 5);
  membership.receive(0, messageFrom(1, 2, 5, MessageKind::gossip, 11));
  CHECK_EQ(membership.snapshot(0).errorCounts[size_t(ErrorKind::misdirected)], 1);
}

TEST_CASE("all members see a killed one down and a restarted one alive; one that leaves is not suspected") {
  for (int count : {3, 10, 60}) {
    ConvergedFleet fleet(count, 3);
    fleet.kill(1);
    CHECK(fleet.runUntilConverged(4) > 0);
    fleet.start(1);
    CHECK(fleet.runUntilConverged(3) > 0);
    fleet.reset();
    fleet.leave(2);
    double seconds = fleet.runUntilConverged(3);
    CHECK((seconds >= 0 && seconds < 1));  // less than the least suspicion time
    CHECK_EQ(fleet.membership(0).statusOf(2).state, MemberState::left);
    CHECK_EQ(fleet.downDetections(), 0);
    fleet.checkInvariants();
  }
}

TEST_CASE("on a bad network no running member is declared down") {
  ConvergedFleet fleet(30, 5);
  fleet.network.loss = 0.1;
  fleet.network.duplication = 0.1;
  fleet.network.maxDelay = 0.05;
  fleet.run(fleet.now() + 120);
  CHECK_EQ(fleet.downDetections(), 0);
  fleet.checkInvariants();
}

TEST_CASE("a link cut in one or both directions between two members: indirect probes keep them alive") {
  ConvergedFleet fleet(6, 7);
  fleet.cut(0, 1);
  fleet.cut(2, 3);
  fleet.cut(3, 2);
  fleet.run(fleet.now() + 60);
  CHECK_EQ(fleet.downDetections(), 0);
  CHECK(fleet.hasConverged());
  fleet.checkInvariants();
}

TEST_CASE("a third is partitioned for 30 s: each side sees its own; all converge within 3 s of the heal") {
  ConvergedFleet fleet(60, 11);
  std::vector<int> third;
  for (int i = 0; i < 20; ++i)
    third.push_back(i);
  fleet.partition(third);
  fleet.run(fleet.now() + 30);
  for (int i = 0; i < 60; ++i)
    CHECK_EQ(fleet.membership(i).snapshot(fleet.now()).presentMembers, i < 20 ? 20 : 40);
  fleet.partition(third, false);
  double seconds = fleet.runUntilConverged(3);
  CHECK(seconds > 0);
  fleet.checkInvariants();
}

TEST_CASE("a process that resumes after a stop declares no member down, and is alive again at once") {
  ConvergedFleet fleet(12, 13);
  fleet.kill(7);
  while (fleet.membership(4).statusOf(7).state != MemberState::suspect)
    fleet.run(fleet.now() + 0.01);
  // Member 4 is stopped while it suspects 7; the suspicion would end long before it resumes.
  fleet.pause(4);
  fleet.start(7);
  fleet.run(fleet.now() + 10);
  CHECK(fleet.hasConverged());  // all others see 4 down
  double promisesAllowedBefore = fleet.membership(4).snapshot(fleet.now()).promisesAllowedFrom;
  fleet.reset();
  fleet.resume(4);
  CHECK(fleet.runUntilConverged(3) > 0);
  fleet.run(fleet.now() + 5);
  CHECK_EQ(fleet.downDetections(4), 0);  // by 4: it was 4 itself that did not answer
  CHECK_EQ(fleet.suspicions(4), 0);
  CHECK(fleet.membership(4).snapshot(fleet.now()).promisesAllowedFrom >
        promisesAllowedBefore + 10);  // as after a restart
  fleet.checkInvariants();
}

TEST_CASE("a slow process declares no healthy member down") {
  ConvergedFleet fleet(12, 17);
  fleet.slow(3, 3.5);  // seconds of delay for what it receives: longer than a probe and any suspicion last
  fleet.run(fleet.now() + 120);
  CHECK_EQ(fleet.downDetections(3), 0);
  CHECK_GT(fleet.suspicions(3), 0);  // its probes do fail
  fleet.slow(3, 0);
  CHECK(fleet.runUntilConverged(5) >= 0);
  fleet.checkInvariants();
}

TEST_CASE("a restart with its clock set back keeps its name; of two processes with one name one is demoted") {
  ConvergedFleet fleet(8, 19);
  fleet.kill(2);
  fleet.run(fleet.now() + 0.3);  // no member has detected it yet
  fleet.start(2, -3600);
  CHECK(fleet.runUntilConverged(5) > 0);
  CHECK_FALSE(fleet.membership(2).isDemoted());
  fleet.leave(3);  // members that have left are not probed
  fleet.run(fleet.now() + 5);
  fleet.start(3, -3600);
  CHECK(fleet.runUntilConverged(2) > 0);
  fleet.startDuplicate(5);
  fleet.run(fleet.now() + 30);
  CHECK_NE(fleet.membership(5).isDemoted(), fleet.duplicateMembership(5)->isDemoted());
  const Membership& other =
      fleet.membership(5).isDemoted() ? fleet.membership(5) : *fleet.duplicateMembership(5);
  CHECK(other.snapshot(0).errorCounts[size_t(ErrorKind::duplicateName)] > 0);
  fleet.checkInvariants();
}

TEST_CASE("a member that resumes after an hour with its old state does not disturb the others") {
  ConvergedFleet fleet(10, 23);
  fleet.pause(6);
  fleet.run(fleet.now() + 5);
  for (int i = 0; i < 3; ++i)
    fleet.kill(i);
  fleet.run(fleet.now() + 20);
  for (int i = 0; i < 3; ++i)
    fleet.start(i);
  fleet.run(fleet.now() + 3600);
  fleet.resume(6);
  CHECK(fleet.runUntilConverged(3) > 0);
  fleet.checkInvariants();
}

TEST_CASE("after a start no promises are allowed until those of an earlier instance have expired") {
  MembershipSettings settings = MembershipSimulation::settingsFor(3);
  settings.maxPromiseDuration = 20;
  Membership membership(settings, 0, {5, 1}, 1, 100);
  CHECK(membership.snapshot(100).promisesAllowedFrom >= 120);
}

TEST_CASE("random faults: the invariants hold at every step, and all members converge after the faults") {
  auto [first, last] = seedsToPlay();
  double longest = 0;
  int slowestSeed = 0;
  for (int seed = first; seed <= last; ++seed) {
    CAPTURE(seed);
    Pcg32 random{uint64_t(seed)};
    int count = 3 + int(random.next() % 22);
    MembershipSimulation fleet(MembershipSimulation::settingsFor(count), uint64_t(seed));
    fleet.startAll();
    fleet.network.loss = random.uniformBetween(0, 0.2);
    fleet.network.duplication = random.uniformBetween(0, 0.2);
    fleet.network.maxDelay = random.uniformBetween(0.002, 0.1);
    auto anyMember = [&] { return int(random.next() % uint32_t(count)); };
    std::vector<bool> paused(static_cast<size_t>(count));
    for (int step = 0; step < 25; ++step) {
      fleet.run(fleet.now() + random.uniformBetween(0.1, 3));
      int member = anyMember();
      bool isDead = !fleet.isRunning(member) && !paused[size_t(member)];
      switch (random.next() % 7) {
        case 0:
          if (!isDead) {
            fleet.kill(member);
            paused[size_t(member)] = false;
          }
          break;
        case 1:
          fleet.kill(member);
          fleet.start(member, random.uniformBetween(-5, 5));
          paused[size_t(member)] = false;
          break;
        case 2:
          if (fleet.isRunning(member)) {
            fleet.pause(member);
            paused[size_t(member)] = true;
          }
          break;
        case 3:
          if (paused[size_t(member)]) {
            fleet.resume(member);
            paused[size_t(member)] = false;
          }
          break;
        case 4:
          fleet.cut(member, anyMember());
          break;
        case 5:
          fleet.partition({member, anyMember()}, random.next() % 2);
          break;
        case 6:
          if (fleet.isRunning(member))
            fleet.leave(member);
          break;
      }
    }
    for (int i = 0; i < count; ++i) {
      if (paused[size_t(i)])
        fleet.resume(i);
      for (int j = 0; j < count; ++j)
        fleet.cut(i, j, false);
    }
    fleet.network = {};
    // A single survivor with a raised local health multiplier takes 15 s to declare the last of the others
    // down.
    double seconds = fleet.runUntilConverged(20);
    CHECK(seconds >= 0);
    if (seconds > longest) {
      longest = seconds;
      slowestSeed = seed;
    }
    REQUIRE_EQ(fleet.violation(), "");
  }
  MESSAGE("longest time to converge after the faults: ", longest, " s, seed ", slowestSeed);
}

TEST_CASE("docs/on-call.md lists every error, and every error has a remedy") {
  std::stringstream page;
  page << std::ifstream(ON_CALL).rdbuf();
  for (size_t i = 0; i < kErrorKinds; ++i) {
    std::string row = "| `" + std::string(nameOf(ErrorKind(i))) + "` |";
    CHECK_MESSAGE(page.str().find(row) != std::string::npos, row);
    CHECK(std::string(remedyOf(ErrorKind(i))).size() > 20);
  }
}
