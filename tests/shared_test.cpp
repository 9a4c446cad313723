// Leases of fleet-wide quotas: under any faults the members together never use more than a quota, and unused
// parts move to the members with demand. ELMCLEAT_SEED=n runs one seed of the random faults, ELMCLEAT_SEEDS=n
// the first n.
#include <doctest/doctest.h>

#include <cstdlib>

#include "lab/lease_simulation.h"
#include "seeds.h"
#include "shared/lease_codec.h"

using namespace elmcleat;
using namespace elmcleat::shared;
using lab::LeaseSimulation;

namespace {

LeaseSettings leaseSettings(int members, std::vector<double> quotas = {100}) {
  LeaseSettings leaseSettings;
  leaseSettings.memberCount = members;
  leaseSettings.quotas = std::move(quotas);
  return leaseSettings;
}
const double kLeaseEnd = 2 + 4 * 0.1;  // seconds after which a lease and its guard times have passed

LeaseMessage leaseMessage(LeaseMessage::Kind kind, int from, int to, uint64_t instance, uint64_t number,
                          double units = 0) {
  return {kind, from, to, instance, number, {{0, units, 0}}};
}

}  // namespace

TEST_CASE("a quota moves to a tenth of the members within 2 s, and back to all members later") {
  LeaseSimulation fleet(leaseSettings(100, {100, 30}), 3);
  for (int i = 0; i < 100; ++i) {
    fleet.setDemand(i, 0, 0.9);
    fleet.setDemand(i, 1, 0.2);
  }
  fleet.run(10);
  CHECK_GT(fleet.used(0), 89.9);
  for (int i = 0; i < 100; ++i) {
    fleet.setDemand(i, 0, i < 10 ? 20 : 0);
    fleet.setDemand(i, 1, i >= 90 ? 6 : 0);
  }
  fleet.run(12);
  CHECK_GT(fleet.used(0), 97);  // all but the reserves of the others
  CHECK_GT(fleet.used(1), 0.97 * 30);
  for (int i = 0; i < 100; ++i)
    fleet.setDemand(i, 0, 0.9);
  fleet.run(12 + kLeaseEnd + 0.5);
  CHECK_GT(fleet.used(0), 88);
  CHECK_EQ(fleet.violation(), "");
}

TEST_CASE("with a third of the members partitioned, both sides keep using their own parts") {
  LeaseSimulation fleet(leaseSettings(90), 5);
  fleet.run(5);
  fleet.partition(0, 30, true);
  for (int i = 0; i < 90; ++i)
    fleet.setDemand(i, 0, i >= 30 && i < 39 ? 20 : 0);
  fleet.run(8 + kLeaseEnd);
  CHECK_GT(fleet.used(0), 60);
  CHECK_EQ(fleet.violation(), "");
}

TEST_CASE("a borrower that was suspended past the expiry of its lease uses no unit of it when it resumes") {
  LeaseSimulation fleet(leaseSettings(4), 7);
  fleet.setDemand(0, 0, 90);
  fleet.run(6);
  REQUIRE_GT(fleet.available(0, 0), 90);
  fleet.pause(0, true);
  fleet.run(6 + kLeaseEnd);
  CHECK_LE(fleet.available(0, 0), 25);  // by its own clock, before its first tick
  fleet.pause(0, false);
  CHECK_LE(fleet.available(0, 0), 25);
  fleet.run(12);
  CHECK_GT(fleet.available(0, 0), 90);
  CHECK_EQ(fleet.violation(), "");
}

TEST_CASE("a restarted lender uses only its reserve until the leases it may have granted have expired") {
  LeaseSimulation fleet(leaseSettings(4), 9);
  fleet.setDemand(0, 0, 90);
  fleet.run(6);
  for (int i = 1; i < 4; ++i) {
    fleet.kill(i);
    fleet.start(i);
    fleet.setDemand(i, 0, 25);
    CHECK_LE(fleet.available(i, 0), 25 * 0.02 + 1e-9);
  }
  fleet.run(6.5);
  CHECK_GT(fleet.available(0, 0), 70);  // its leases are valid although the lenders have forgotten them
  fleet.run(6 + kLeaseEnd + 1);
  for (int i = 1; i < 4; ++i)
    CHECK_GT(fleet.available(i, 0), 24);
  CHECK_EQ(fleet.violation(), "");
}

TEST_CASE("messages of an earlier instance, duplicates, late answers and invalid messages have no effect") {
  LeaseManager manager(leaseSettings(3, {90}), 0, 5, 1, 0);
  manager.setDemand(0, 60);
  manager.tick(3);
  auto requests = manager.takeOutgoing();
  REQUIRE_EQ(requests.size(), 2);
  int lender = requests[0].to;
  double own = manager.available(0, 3);
  CHECK_EQ(own, 30);
  manager.receive(3.1, leaseMessage(LeaseMessage::Kind::grant, lender, 0, 4, requests[0].requestNumber,
                                    20));  // of another instance
  manager.receive(3.1, leaseMessage(LeaseMessage::Kind::grant, lender, 0, 5, requests[0].requestNumber + 7,
                                    20));  // not requested
  manager.receive(
      3.1, leaseMessage(LeaseMessage::Kind::grant, 0, 0, 5, requests[0].requestNumber, 20));  // from itself
  manager.receive(
      3.1, leaseMessage(LeaseMessage::Kind::grant, 7, 0, 5, requests[0].requestNumber, 20));  // no member
  LeaseMessage invalid = leaseMessage(LeaseMessage::Kind::grant, lender, 0, 5, requests[0].requestNumber, -3);
  manager.receive(3.1, invalid);
  invalid.items = {{9, 1, 0}};
  manager.receive(3.1, invalid);
  CHECK_EQ(manager.rejectedMessages(), 6);
  CHECK_EQ(manager.available(0, 3.1), own);
  manager.receive(3.2, leaseMessage(LeaseMessage::Kind::grant, lender, 0, 5, requests[0].requestNumber,
                                    1000));  // no more than a member owns
  CHECK_EQ(manager.available(0, 3.2), own + 30);
  manager.receive(3.3, leaseMessage(LeaseMessage::Kind::grant, lender, 0, 5, requests[0].requestNumber,
                                    10));  // a duplicate
  CHECK_EQ(manager.available(0, 3.3), own + 30);
  CHECK_EQ(manager.available(0, 3 + 2 - 0.1), own);  // counted from the request
  CHECK_EQ(manager.availableQuota(0, 3.3).availableAt(3 + 2 - 0.1), own);
}

TEST_CASE(
    "encoding goes by name and total: quotas that differ between two members are left out, garbage is "
    "rejected") {
  LeaseCodec here({"a#guarantee", "b#ceiling", "c#ceiling"}, {10, 20, 30});
  LeaseCodec there({"c#ceiling", "a#guarantee", "b#ceiling"}, {30, 10, 21});
  LeaseMessage sent{LeaseMessage::Kind::grant, 1, 2, 7, 9, {{0, 1.5, 0.25}, {1, 2, 0}, {2, 3, 0}}};
  std::string bytes = here.encode(sent);
  auto read = there.decode(bytes, 1, 2);
  REQUIRE(read);
  CHECK((read->kind == sent.kind && read->from == 1 && read->to == 2 && read->instance == 7 &&
         read->requestNumber == 9));
  REQUIRE_EQ(read->items.size(), 2);  // b has another total there
  CHECK((read->items[0].quota == 1 && read->items[0].units == 1.5 && read->items[0].lendable == 0.25));
  CHECK((read->items[1].quota == 0 && read->items[1].units == 3));
  CHECK_FALSE(there.decode("\x08\x07", 1, 2));  // an unknown kind
  CHECK_FALSE(there.decode("garbage", 1, 2));
}

TEST_CASE("invalid lease settings are reported") {
  LeaseSettings bad = leaseSettings(0, {1, 0});
  bad.guardTime = 1;
  bad.reservedShare = 2;
  auto errors = validate(bad);
  CHECK_EQ(errors.size(), 4);
  CHECK(validate(leaseSettings(3)).empty());
}

TEST_CASE(
    "random faults: the quota is never exceeded at any step, and all of it is usable again afterwards") {
  auto [first, last] = seedsToPlay();
  for (int seed = first; seed <= last; ++seed) {
    CAPTURE(seed);
    Pcg32 random{uint64_t(seed)};
    int count = 2 + int(random.next() % 24);
    LeaseSimulation fleet(leaseSettings(count, {100, 7}), uint64_t(seed), 0.02);
    fleet.loss = random.uniformBetween(0, 0.3);
    fleet.duplication = random.uniformBetween(0, 0.3);
    fleet.lateShare = random.uniformBetween(0, 0.5);
    fleet.lateDelay = random.uniformBetween(0, 6);
    auto anyMember = [&] { return int(random.next() % uint32_t(count)); };
    for (int step = 0; step < 60; ++step) {
      fleet.run(fleet.now() + random.uniformBetween(0.01, 1));
      int member = anyMember();
      switch (random.next() % 6) {
        case 0:
          fleet.kill(member);
          break;
        case 1:
          fleet.kill(member);
          fleet.start(member);
          break;
        case 2:
          fleet.pause(member, random.next() % 2);
          break;
        case 3:
          fleet.cut(member, anyMember(), random.next() % 2);
          break;
        default:
          fleet.setDemand(member, random.next() % 2, random.next() % 3 ? random.uniformBetween(0, 60) : 0);
      }
    }
    REQUIRE_EQ(fleet.violation(), "");
    for (int a = 0; a < count; ++a) {
      fleet.pause(a, false);
      if (!fleet.isRunning(a))
        fleet.start(a);
      fleet.setDemand(a, 0, a ? 0 : 200);
      fleet.setDemand(a, 1, a ? 0 : 200);
      for (int b = 0; b < count; ++b)
        fleet.cut(a, b, false);
    }
    fleet.loss = fleet.duplication = fleet.lateShare = 0;
    fleet.run(fleet.now() + 2 * kLeaseEnd + 6);
    CHECK_GT(fleet.used(0), 96);
    CHECK_GT(fleet.used(1), 0.96 * 7);
    REQUIRE_EQ(fleet.violation(), "");
  }
}
