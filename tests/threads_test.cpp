// What two threads share: the hand-over of views, the log, the control thread itself. Built and run under
// ThreadSanitizer as well.
#include <doctest/doctest.h>

#include <atomic>
#include <thread>

#include "control/control_thread.h"
#include "runtime/log.h"
#include "service.h"

using namespace elmcleat;

TEST_CASE(
    "the latest of what one thread makes: whole, never older than the one before, the last one in the end") {
  struct Pair {
    uint64_t one, two;
  };
  LatestValue<Pair> latest;
  CHECK_EQ(latest.read(), nullptr);
  constexpr uint64_t kCount = 100'000;
  std::thread writer([&] {
    for (uint64_t i = 1; i <= kCount; ++i)
      latest.publish(std::make_unique<const Pair>(Pair{i, ~i}));
  });
  uint64_t last = 0;
  bool whole = true, onward = true;
  while (last < kCount) {
    const Pair* pair = latest.read();
    if (!pair)
      continue;
    whole = whole && pair->two == ~pair->one, onward = onward && pair->one >= last;
    last = pair->one;
  }
  writer.join();
  CHECK(whole);
  CHECK(onward);
  CHECK_EQ(latest.read()->one, kCount);  // and it stays until there is another
}

TEST_CASE("two control threads find each other, tell their views, and end when told") {
  Clock clock;
  sockaddr_in one = Listener().address, two = Listener().address;
  auto own = [](const sockaddr_in& at) { return Address{ntohl(at.sin_addr.s_addr), ntohs(at.sin_port)}; };
  members::MembershipSettings plan;
  plan.fleet = "threads", plan.peers = {{"n0", own(one)}, {"n1", own(two)}};
  ControlThread first(clock, plan, "n0", 1), second(clock, plan, "n1", 2);
  auto there = [&](ControlThread& control) {
    const ControlSnapshot* told = control.latest(clock.now());
    return told ? told->members.presentMembers : 0;
  };
  auto until = [&](size_t wanted) {
    for (double end = now() + 8; now() < end; pause(0.01)) {
      info() << "the other thread writes as well";  // to the same log, at the same time
      if (there(first) == wanted)
        return true;
    }
    return false;
  };
  CHECK(until(2));
  CHECK(second.stop());
  CHECK(until(1));                                                       // it said goodbye
  CHECK_THROWS_AS(ControlThread(clock, plan, "n2", 3), members::Error);  // no such name
  CHECK_THROWS_AS(ControlThread(clock, plan, "n0", 3), members::Error);  // taken
  CHECK_EQ(first.latest(clock.now() + 60), nullptr);                     // too old to act on
  CHECK_NE(first.latest(clock.now()), nullptr);
  CHECK(first.stop());
}

TEST_CASE("a rate goes by loans from one control thread to the other, once the lender's traffic heeds it") {
  Clock clock;
  sockaddr_in one = Listener().address, two = Listener().address;
  members::MembershipSettings plan;
  plan.fleet = "threads";
  for (auto& at : {one, two})
    plan.peers.push_back(
        {"n" + std::to_string(plan.peers.size()), {ntohl(at.sin_addr.s_addr), ntohs(at.sin_port)}});
  QuotaSharing sharing;
  sharing.settings.memberCount = 2, sharing.settings.quotas = {10}, sharing.rates = {{"a", false, 10}};
  ControlThread borrower(clock, plan, "n0", 1, sharing), lender(clock, plan, "n1", 2, sharing);
  auto look = [&](ControlThread& control, double want, bool heeds) {  // as a traffic thread does
    const ControlSnapshot* told = control.latestQuotas();
    control.setDemand({want});
    if (heeds)
      control.acknowledge(told->members.number);
    return told->quotas[0].availableAt(clock.now());
  };
  double most = 0;
  for (double end = now() + 4; now() < end; pause(0.005)) {
    look(lender, 0, false);  // its traffic hangs: nothing goes out
    most = std::max(most, look(borrower, 9, true));
  }
  CHECK_LE(most, 5);
  bool got = false;
  for (double end = now() + 8; !got && now() < end; pause(0.005)) {
    double lends = look(lender, 0, true), borrows = look(borrower, 9, true);
    CHECK_LE(lends + borrows, 10.0000001);
    got = borrows > 8.9;
  }
  CHECK(got);
}
