// Fleet-wide amounts: whatever happens, what all may use together never exceeds them; and what there is gets to where it
// is wanted. ELMCLEAT_SEED=n plays one seed of the random faults, ELMCLEAT_SEEDS=n so many.
#include <doctest/doctest.h>

#include <cstdlib>

#include "lab/lease_simulation.h"
#include "seeds.h"
#include "shared/lease_codec.h"

using namespace elmcleat;
using namespace elmcleat::shared;
using lab::LeaseSimulation;

namespace {

LeaseSettings terms(int members, std::vector<double> amounts = {100}) {
  LeaseSettings terms;
  terms.memberCount = members, terms.quotas = std::move(amounts);
  return terms;
}
const double kOver = 2 + 4 * 0.1;  // seconds: a loan and its guards

LeaseMessage letter(LeaseMessage::Kind kind, int from, int to, uint64_t life, uint64_t number,
                    double units = 0) {
  return {kind, from, to, life, number, {{0, units, 0}}};
}

}  // namespace

TEST_CASE("what moves to a tenth of the members is usable there within 2 s, and again by all later") {
  LeaseSimulation fleet(terms(100, {100, 30}), 3);
  for (int i = 0; i < 100; ++i)
    fleet.setDemand(i, 0, 0.9), fleet.setDemand(i, 1, 0.2);
  fleet.run(10);
  CHECK_GT(fleet.used(0), 89.9);
  for (int i = 0; i < 100; ++i)
    fleet.setDemand(i, 0, i < 10 ? 20 : 0), fleet.setDemand(i, 1, i >= 90 ? 6 : 0);
  fleet.run(12);
  CHECK_GT(fleet.used(0), 97);  // all but what the others keep
  CHECK_GT(fleet.used(1), 0.97 * 30);
  for (int i = 0; i < 100; ++i)
    fleet.setDemand(i, 0, 0.9);
  fleet.run(12 + kOver + 0.5);
  CHECK_GT(fleet.used(0), 88);
  CHECK_EQ(fleet.violation(), "");
}

TEST_CASE("with a third cut off the rest uses its own parts; those apart use theirs") {
  LeaseSimulation fleet(terms(90), 5);
  fleet.run(5);
  fleet.partition(0, 30, true);
  for (int i = 0; i < 90; ++i)
    fleet.setDemand(i, 0, i >= 30 && i < 39 ? 20 : 0);
  fleet.run(8 + kOver);
  CHECK_GT(fleet.used(0), 60);
  CHECK_EQ(fleet.violation(), "");
}

TEST_CASE("a borrower that was stopped past the end of its loan has not one unit of it when it goes on") {
  LeaseSimulation fleet(terms(4), 7);
  fleet.setDemand(0, 0, 90);
  fleet.run(6);
  REQUIRE_GT(fleet.available(0, 0), 90);
  fleet.pause(0, true);
  fleet.run(6 + kOver);
  CHECK_LE(fleet.available(0, 0), 25);  // by its own clock, before it has done anything
  fleet.pause(0, false);
  CHECK_LE(fleet.available(0, 0), 25);
  fleet.run(12);
  CHECK_GT(fleet.available(0, 0), 90);
  CHECK_EQ(fleet.violation(), "");
}

TEST_CASE("a lender that starts anew uses what it keeps alone until what it may have lent is over") {
  LeaseSimulation fleet(terms(4), 9);
  fleet.setDemand(0, 0, 90);
  fleet.run(6);
  for (int i = 1; i < 4; ++i) {
    fleet.kill(i), fleet.start(i);
    fleet.setDemand(i, 0, 25);
    CHECK_LE(fleet.available(i, 0), 25 * 0.02 + 1e-9);
  }
  fleet.run(6.5);
  CHECK_GT(fleet.available(0, 0), 70);  // its loans hold for now, though nobody remembers them
  fleet.run(6 + kOver + 1);
  for (int i = 1; i < 4; ++i)
    CHECK_GT(fleet.available(i, 0), 24);
  CHECK_EQ(fleet.violation(), "");
}

TEST_CASE("letters of an earlier life, copies, late answers and nonsense move nothing") {
  LeaseManager one(terms(3, {90}), 0, 5, 1, 0);
  one.setDemand(0, 60);
  one.tick(3);
  auto asks = one.takeOutgoing();
  REQUIRE_EQ(asks.size(), 2);
  int lender = asks[0].to;
  double own = one.available(0, 3);
  CHECK_EQ(own, 30);
  one.receive(3.1,
              letter(LeaseMessage::Kind::grant, lender, 0, 4, asks[0].requestNumber, 20));  // another life's
  one.receive(3.1,
              letter(LeaseMessage::Kind::grant, lender, 0, 5, asks[0].requestNumber + 7, 20));  // never asked
  one.receive(3.1, letter(LeaseMessage::Kind::grant, 0, 0, 5, asks[0].requestNumber, 20));      // from itself
  one.receive(3.1, letter(LeaseMessage::Kind::grant, 7, 0, 5, asks[0].requestNumber, 20));      // nobody
  LeaseMessage odd = letter(LeaseMessage::Kind::grant, lender, 0, 5, asks[0].requestNumber, -3);
  one.receive(3.1, odd);
  odd.items = {{9, 1, 0}};
  one.receive(3.1, odd);
  CHECK_EQ(one.rejectedMessages(), 6);
  CHECK_EQ(one.available(0, 3.1), own);
  one.receive(3.2, letter(LeaseMessage::Kind::grant, lender, 0, 5, asks[0].requestNumber,
                          1000));  // no more than a member has
  CHECK_EQ(one.available(0, 3.2), own + 30);
  one.receive(3.3, letter(LeaseMessage::Kind::grant, lender, 0, 5, asks[0].requestNumber, 10));  // a copy
  CHECK_EQ(one.available(0, 3.3), own + 30);
  CHECK_EQ(one.available(0, 3 + 2 - 0.1), own);  // counted from the ask
  CHECK_EQ(one.availableQuota(0, 3.3).availableAt(3 + 2 - 0.1), own);
}

TEST_CASE(
    "letters as bytes: by name and amount; what differs between two files is left out, garbage is none") {
  LeaseCodec here({"a#guarantee", "b#ceiling", "c#ceiling"}, {10, 20, 30});
  LeaseCodec there({"c#ceiling", "a#guarantee", "b#ceiling"}, {30, 10, 21});
  LeaseMessage sent{LeaseMessage::Kind::grant, 1, 2, 7, 9, {{0, 1.5, 0.25}, {1, 2, 0}, {2, 3, 0}}};
  std::string bytes = here.encode(sent);
  auto read = there.decode(bytes, 1, 2);
  REQUIRE(read);
  CHECK((read->kind == sent.kind && read->from == 1 && read->to == 2 && read->instance == 7 &&
         read->requestNumber == 9));
  REQUIRE_EQ(read->items.size(), 2);  // b is another amount there
  CHECK((read->items[0].quota == 1 && read->items[0].units == 1.5 && read->items[0].lendable == 0.25));
  CHECK((read->items[1].quota == 0 && read->items[1].units == 3));
  CHECK_FALSE(there.decode("\x08\x07", 1, 2));  // a kind that is none
  CHECK_FALSE(there.decode("garbage", 1, 2));
}

TEST_CASE("terms: what no loan could hold by is told") {
  LeaseSettings bad = terms(0, {1, 0});
  bad.guardTime = 1, bad.reservedShare = 2;
  auto flaws = validate(bad);
  CHECK_EQ(flaws.size(), 4);
  CHECK(validate(terms(3)).empty());
}

TEST_CASE("random faults: never over the amount, at any step; and all of it is usable again afterwards") {
  auto [first, last] = seedsToPlay();
  for (int seed = first; seed <= last; ++seed) {
    CAPTURE(seed);
    Pcg32 chance{uint64_t(seed)};
    int count = 2 + int(chance.next() % 24);
    LeaseSimulation fleet(terms(count, {100, 7}), uint64_t(seed), 0.02);
    fleet.loss = chance.uniformBetween(0, 0.3), fleet.duplication = chance.uniformBetween(0, 0.3);
    fleet.lateShare = chance.uniformBetween(0, 0.5), fleet.lateDelay = chance.uniformBetween(0, 6);
    auto any = [&] { return int(chance.next() % uint32_t(count)); };
    for (int step = 0; step < 60; ++step) {
      fleet.run(fleet.now() + chance.uniformBetween(0.01, 1));
      int who = any();
      switch (chance.next() % 6) {
        case 0:
          fleet.kill(who);
          break;
        case 1:
          fleet.kill(who), fleet.start(who);
          break;
        case 2:
          fleet.pause(who, chance.next() % 2);
          break;
        case 3:
          fleet.cut(who, any(), chance.next() % 2);
          break;
        default:
          fleet.setDemand(who, chance.next() % 2, chance.next() % 3 ? chance.uniformBetween(0, 60) : 0);
      }
    }
    REQUIRE_EQ(fleet.violation(), "");
    for (int a = 0; a < count; ++a) {
      fleet.pause(a, false);
      if (!fleet.isRunning(a))
        fleet.start(a);
      fleet.setDemand(a, 0, a ? 0 : 200), fleet.setDemand(a, 1, a ? 0 : 200);
      for (int b = 0; b < count; ++b)
        fleet.cut(a, b, false);
    }
    fleet.loss = fleet.duplication = fleet.lateShare = 0;
    fleet.run(fleet.now() + 2 * kOver + 6);
    CHECK_GT(fleet.used(0), 96);
    CHECK_GT(fleet.used(1), 0.96 * 7);
    REQUIRE_EQ(fleet.violation(), "");
  }
}
