// Who is there: claims, the wire, the core by itself, and many cores in virtual time under faults from a seed. A seed
// that fails prints itself: ELMCLEAT_SEED=n plays it alone, ELMCLEAT_SEEDS=n plays so many.
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

rc::Gen<MemberStatus> claims() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange<uint64_t>(1, 4), rc::gen::inRange<uint64_t>(0, 4),
                     rc::gen::inRange(0, 4)),
      [](auto parts) {
        return MemberStatus{std::get<0>(parts), std::get<1>(parts), MemberState(std::get<2>(parts))};
      });
}

Message from(MemberIndex who, MemberIndex to, uint64_t sequence, MessageKind kind = MessageKind::gossip,
             uint64_t instance = 10) {
  Message message;
  message.kind = kind, message.from = who, message.to = to, message.sequence = sequence;
  message.instance = instance, message.incarnation = 1;
  return message;
}

// A fleet that has found itself.
struct Together : MembershipSimulation {
  explicit Together(int count, uint64_t seed = 1) : MembershipSimulation(settingsFor(count), seed) {
    startAll();
    REQUIRE(runUntilConverged(10) >= 0);
  }
  void sound() { CHECK_EQ(violation(), ""); }
};

}  // namespace

TEST_CASE("claims: merging is a join, whatever the order and however often") {
  CHECK(rc::check([] {
    MemberStatus a = *claims(), b = *claims(), c = *claims();
    RC_ASSERT(mergedStatus(a, b) == mergedStatus(b, a));
    RC_ASSERT(mergedStatus(a, mergedStatus(b, c)) == mergedStatus(mergedStatus(a, b), c));
    RC_ASSERT(mergedStatus(a, a) == a);
  }));
}

TEST_CASE("cores that have heard the same rows hold the same, in any order and with copies") {
  CHECK(rc::check([] {
    auto plan = MembershipSimulation::settingsFor(6);
    auto rows = *rc::gen::container<std::vector<std::pair<int, MemberStatus>>>(
        rc::gen::pair(rc::gen::inRange(2, 6), claims()));
    auto shuffled = rows;
    for (size_t i = 0; i < rows.size(); ++i) {
      std::swap(shuffled[i], shuffled[*rc::gen::inRange<size_t>(i, rows.size())]);
      if (*rc::gen::arbitrary<bool>())
        shuffled.push_back(shuffled[i]);
    }
    auto digestAfter = [&](const auto& given) {
      Membership membership(plan, 0, {5, 1}, 1, 0);
      uint64_t sequence = 0;
      for (auto& [member, claim] : given) {
        Message message = from(1, 0, ++sequence);
        message.updates.push_back({member, claim});
        membership.receive(0, message);
      }
      return membership.snapshot(0).digest;
    };
    RC_ASSERT(digestAfter(rows) == digestAfter(shuffled));
  }));
}

TEST_CASE("the wire: what was written is read; what is damaged, foreign or too new is told and not used") {
  MembershipSettings plan = MembershipSimulation::settingsFor(4);
  MessageCodec wire(plan);
  Message message = from(1, 2, 7, MessageKind::ack);
  message.probe = 9, message.subject = 3, message.digest = 1234567;
  message.updates = {{3, {5, 6, MemberState::suspect}, 1}, {0, {8, 1, MemberState::left}}};
  message.bucketDigests = {1, 2, 3}, message.payload = std::string("\0x", 2);
  std::string bytes = wire.encode(message);
  auto back = std::get<Message>(wire.decode(bytes));
  CHECK_EQ(back.updates.size(), 2);
  CHECK((back.updates[0].status == message.updates[0].status && back.updates[0].suspectedBy == 1 &&
         back.updates[1].suspectedBy == kNoMember));
  CHECK_EQ(back.payload, message.payload);
  CHECK((back.kind == MessageKind::ack && back.from == 1 && back.to == 2 && back.sequence == 7 &&
         back.probe == 9));
  CHECK((back.subject == 3 && back.digest == 1234567 && back.bucketDigests == message.bucketDigests &&
         back.instance == 10));

  auto wrongOf = [&](const MessageCodec& reader, const std::string& what) {
    auto read = reader.decode(what);
    return std::holds_alternative<ErrorKind>(read) ? std::optional(std::get<ErrorKind>(read)) : std::nullopt;
  };
  for (size_t i = 0; i < bytes.size() * 8; ++i) {  // each single bit
    std::string damaged = bytes;
    damaged[i / 8] = char(damaged[i / 8] ^ 1 << i % 8);
    CHECK_EQ(wrongOf(wire, damaged), ErrorKind::undecodable);
  }
  for (size_t i = 0; i < bytes.size(); ++i)
    CHECK_EQ(wrongOf(wire, bytes.substr(0, i)), ErrorKind::undecodable);
  CHECK_EQ(wrongOf(wire, std::string(kMaxMessageBytes + 1, 'x')), ErrorKind::tooLarge);
  MembershipSettings other = plan;
  other.fleet = "another";
  CHECK_EQ(wrongOf(MessageCodec(other), bytes), ErrorKind::fleetMismatch);
  MembershipSettings fewer = plan;
  std::swap(fewer.peers[1], fewer.peers[3]), fewer.peers.pop_back();  // n1 is not listed there
  CHECK_EQ(wrongOf(MessageCodec(fewer), bytes), ErrorKind::unknownSender);

  // Another version's: unknown fields and unknown members are skipped, what it forbids to be read is not.
  auto sealed =
      [&](const std::string& body) {  // the sum is the writer's: take it from a message with that body
        uint64_t sum = checksum(body);
        std::string head(8, '\0');
        for (size_t i = 0; i < 8; ++i)
          head[i] = char(sum >> (8 * i) & 0xff);
        return head + body;
      };
  wire::Envelope envelope;
  REQUIRE(envelope.ParseFromString(bytes.substr(8)));
  auto* stranger = envelope.add_rows();
  stranger->set_name("n400"), stranger->set_instance(1);
  envelope.set_version(9);
  std::string body =
      envelope.SerializeAsString() + "\xfa\x7f\x03odd";  // a field that nobody knows, of length 3
  CHECK_EQ(std::get<Message>(wire.decode(sealed(body))).updates.size(), 2);
  envelope.set_reads(2);
  CHECK_EQ(wrongOf(wire, sealed(envelope.SerializeAsString())), ErrorKind::unsupportedVersion);
  envelope.set_reads(1),
      envelope.mutable_rows(0)->set_incarnation(~uint64_t{0});  // nothing could outbid that
  CHECK_EQ(wrongOf(wire, sealed(envelope.SerializeAsString())), ErrorKind::undecodable);
}

TEST_CASE("a message that came before, or is older than all that is remembered, is counted and not heard") {
  Membership membership(MembershipSimulation::settingsFor(3), 0, {5, 1}, 1, 0);
  auto replays = [&] { return membership.snapshot(0).errorCounts[size_t(ErrorKind::replayed)]; };
  for (uint64_t sequence : {1, 3, 2, 200, 150})
    membership.receive(0, from(1, 0, sequence));
  CHECK_EQ(replays(), 0);
  for (uint64_t sequence : {3, 200, 150, 100})
    membership.receive(0, from(1, 0, sequence));
  CHECK_EQ(replays(), 4);
  membership.receive(
      0, from(1, 0, 1, MessageKind::gossip, 11));  // another life counts anew; its earlier one is over
  CHECK_EQ(replays(), 4);
  membership.receive(0, from(1, 0, 300, MessageKind::gossip, 10));
  CHECK_EQ(replays(), 5);
  membership.receive(0, from(1, 2, 5, MessageKind::gossip, 11));
  CHECK_EQ(membership.snapshot(0).errorCounts[size_t(ErrorKind::misdirected)], 1);
}

TEST_CASE("who dies is known to be down to all, who comes back to be there; who leaves is not suspected") {
  for (int count : {3, 10, 60}) {
    Together fleet(count, 3);
    fleet.kill(1);
    CHECK(fleet.runUntilConverged(4) > 0);
    fleet.start(1);
    CHECK(fleet.runUntilConverged(3) > 0);
    fleet.reset();
    fleet.leave(2);
    double took = fleet.runUntilConverged(3);
    CHECK((took >= 0 && took < 1));  // sooner than any suspicion ends
    CHECK_EQ(fleet.membership(0).statusOf(2).state, MemberState::left);
    CHECK_EQ(fleet.downDetections(), 0);
    fleet.sound();
  }
}

TEST_CASE("on a bad network nobody who runs is called down") {
  Together fleet(30, 5);
  fleet.network.loss = 0.1, fleet.network.duplication = 0.1, fleet.network.maxDelay = 0.05;
  fleet.run(fleet.now() + 120);
  CHECK_EQ(fleet.downDetections(), 0);
  fleet.sound();
}

TEST_CASE("a link that works one way only, or not at all, between two: others speak for them") {
  Together fleet(6, 7);
  fleet.cut(0, 1), fleet.cut(2, 3), fleet.cut(3, 2);
  fleet.run(fleet.now() + 60);
  CHECK_EQ(fleet.downDetections(), 0);
  CHECK(fleet.hasConverged());
  fleet.sound();
}

TEST_CASE("a third is cut off for 30 s: each side knows its own, and all agree within 3 s of the end") {
  Together fleet(60, 11);
  std::vector<int> third;
  for (int i = 0; i < 20; ++i)
    third.push_back(i);
  fleet.partition(third);
  fleet.run(fleet.now() + 30);
  for (int i = 0; i < 60; ++i)
    CHECK_EQ(fleet.membership(i).snapshot(fleet.now()).presentMembers, i < 20 ? 20 : 40);
  fleet.partition(third, false);
  double took = fleet.runUntilConverged(3);
  CHECK(took > 0);
  fleet.sound();
}

TEST_CASE("a process that stood still blames nobody when it goes on, and is there again at once") {
  Together fleet(12, 13);
  fleet.kill(7);
  while (fleet.membership(4).statusOf(7).state != MemberState::suspect)
    fleet.run(fleet.now() + 0.01);
  fleet.pause(4), fleet.start(7);  // its suspicion would have ended long before it goes on
  fleet.run(fleet.now() + 10);
  CHECK(fleet.hasConverged());  // it is down to all
  double promised = fleet.membership(4).snapshot(fleet.now()).promisesAllowedFrom;
  fleet.reset();
  fleet.resume(4);
  CHECK(fleet.runUntilConverged(3) > 0);
  fleet.run(fleet.now() + 5);
  CHECK_EQ(fleet.downDetections(4), 0);  // seen from it: it was us who did not answer
  CHECK_EQ(fleet.suspicions(4), 0);
  CHECK(fleet.membership(4).snapshot(fleet.now()).promisesAllowedFrom >
        promised + 10);  // nothing is promised meanwhile
  fleet.sound();
}

TEST_CASE("a slow process declares none of the quick ones down") {
  Together fleet(12, 17);
  fleet.slow(3, 3.5);  // what comes waits: far longer than a probe may take, or a suspicion
  fleet.run(fleet.now() + 120);
  CHECK_EQ(fleet.downDetections(3), 0);
  CHECK_GT(fleet.suspicions(3), 0);  // it has every reason, as it sees it
  fleet.slow(3, 0);
  CHECK(fleet.runUntilConverged(5) >= 0);
  fleet.sound();
}

TEST_CASE("a restart whose clock went back gets its name again; of two under one name exactly one goes on") {
  Together fleet(8, 19);
  fleet.kill(2);
  fleet.run(fleet.now() + 0.3);  // nobody has noticed yet
  fleet.start(2, -3600);
  CHECK(fleet.runUntilConverged(5) > 0);
  CHECK_FALSE(fleet.membership(2).isDemoted());
  fleet.leave(3);  // whoever left is asked no more
  fleet.run(fleet.now() + 5);
  fleet.start(3, -3600);
  CHECK(fleet.runUntilConverged(2) > 0);
  fleet.startDuplicate(5);
  fleet.run(fleet.now() + 30);
  CHECK_NE(fleet.membership(5).isDemoted(), fleet.duplicateMembership(5)->isDemoted());
  const Membership& other =
      fleet.membership(5).isDemoted() ? fleet.membership(5) : *fleet.duplicateMembership(5);
  CHECK(other.snapshot(0).errorCounts[size_t(ErrorKind::duplicateName)] > 0);
  fleet.sound();
}

TEST_CASE("a member that comes back after an hour with its old state takes nothing down with it") {
  Together fleet(10, 23);
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
  fleet.sound();
}

TEST_CASE("who starts promises nothing until whatever an earlier life promised is over") {
  MembershipSettings plan = MembershipSimulation::settingsFor(3);
  plan.maxPromiseDuration = 20;
  Membership membership(plan, 0, {5, 1}, 1, 100);
  CHECK(membership.snapshot(100).promisesAllowedFrom >= 120);
}

TEST_CASE("random faults: what must hold does at every step, and all agree when the faults are over") {
  auto [first, last] = seedsToPlay();
  double longest = 0;
  int slowest = 0;
  for (int seed = first; seed <= last; ++seed) {
    CAPTURE(seed);
    Pcg32 chance{uint64_t(seed)};
    int count = 3 + int(chance.next() % 22);
    MembershipSimulation fleet(MembershipSimulation::settingsFor(count), uint64_t(seed));
    fleet.startAll();
    fleet.network.loss = chance.uniformBetween(0, 0.2),
    fleet.network.duplication = chance.uniformBetween(0, 0.2);
    fleet.network.maxDelay = chance.uniformBetween(0.002, 0.1);
    auto any = [&] { return int(chance.next() % uint32_t(count)); };
    std::vector<bool> paused(static_cast<size_t>(count));
    for (int step = 0; step < 25; ++step) {
      fleet.run(fleet.now() + chance.uniformBetween(0.1, 3));
      int who = any();
      bool dead = !fleet.isRunning(who) && !paused[size_t(who)];
      switch (chance.next() % 7) {
        case 0:
          if (!dead)
            fleet.kill(who), paused[size_t(who)] = false;
          break;
        case 1:
          fleet.kill(who), fleet.start(who, chance.uniformBetween(-5, 5)), paused[size_t(who)] = false;
          break;
        case 2:
          if (fleet.isRunning(who))
            fleet.pause(who), paused[size_t(who)] = true;
          break;
        case 3:
          if (paused[size_t(who)])
            fleet.resume(who), paused[size_t(who)] = false;
          break;
        case 4:
          fleet.cut(who, any());
          break;
        case 5:
          fleet.partition({who, any()}, chance.next() % 2);
          break;
        case 6:
          if (fleet.isRunning(who))
            fleet.leave(who);
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
    double took = fleet.runUntilConverged(
        20);  // a lone survivor, strained, takes 15 s to call the last of the others down
    CHECK(took >= 0);
    if (took > longest)
      longest = took, slowest = seed;
    REQUIRE_EQ(fleet.violation(), "");
  }
  MESSAGE("longest until agreed after the faults: ", longest, " s, seed ", slowest);
}

TEST_CASE("every fault has its line in the on-call page, with what an operator can do") {
  std::stringstream page;
  page << std::ifstream(ON_CALL).rdbuf();
  for (size_t i = 0; i < kErrorKinds; ++i) {
    std::string row = "| `" + std::string(nameOf(ErrorKind(i))) + "` |";
    CHECK_MESSAGE(page.str().find(row) != std::string::npos, row);
    CHECK(std::string(remedyOf(ErrorKind(i))).size() > 20);
  }
}
