// Tests of what the control thread and the traffic thread share: the snapshot exchange, the log, and
// ControlThread itself. They are also built and run under ThreadSanitizer.
#include <doctest/doctest.h>

#include <atomic>
#include <thread>

#include "control/control_thread.h"
#include "runtime/log.h"
#include "service.h"

using namespace elmcleat;

TEST_CASE("snapshot exchange: values arrive whole and in order, and the last one is kept") {
  struct Pair {
    uint64_t value, complement;
  };
  LatestValue<Pair> latest;
  CHECK_EQ(latest.read(), nullptr);
  constexpr uint64_t kCount = 100'000;
  std::thread writer([&] {
    for (uint64_t i = 1; i <= kCount; ++i)
      latest.publish(std::make_unique<const Pair>(Pair{i, ~i}));
  });
  uint64_t last = 0;
  bool isWhole = true, inOrder = true;
  while (last < kCount) {
    const Pair* pair = latest.read();
    if (!pair)
      continue;
    isWhole = isWhole && pair->complement == ~pair->value;
    inOrder = inOrder && pair->value >= last;
    last = pair->value;
  }
  writer.join();
  CHECK(isWhole);
  CHECK(inOrder);
  CHECK_EQ(latest.read()->value, kCount);  // kept until the next one
}

TEST_CASE("two control threads discover each other, publish snapshots, and stop") {
  Clock clock;
  sockaddr_in firstAddress = Listener().address;
  sockaddr_in secondAddress = Listener().address;
  auto addressOf = [](const sockaddr_in& native) {
    return Address{ntohl(native.sin_addr.s_addr), ntohs(native.sin_port)};
  };
  members::MembershipSettings settings;
  settings.fleet = "threads";
  settings.peers = {{"n0", addressOf(firstAddress)}, {"n1", addressOf(secondAddress)}};
  ControlThread first(clock, settings, "n0", 1);
  ControlThread second(clock, settings, "n1", 2);
  auto presentMembers = [&](ControlThread& control) {
    const ControlSnapshot* snapshot = control.latest(clock.now());
    return snapshot ? snapshot->members.presentMembers : 0;
  };
  auto reaches = [&](size_t wanted) {
    for (double end = now() + 8; now() < end; pause(0.01)) {
      info() << "concurrent line of the traffic thread";  // while the control threads write to the same log
      if (presentMembers(first) == wanted)
        return true;
    }
    return false;
  };
  CHECK(reaches(2));
  CHECK(second.stop());
  CHECK(reaches(1));  // it has announced that it leaves
  CHECK_THROWS_AS(ControlThread(clock, settings, "n2", 3), members::Error);  // not listed
  CHECK_THROWS_AS(ControlThread(clock, settings, "n0", 3), members::Error);  // address in use
  CHECK_EQ(first.latest(clock.now() + 60), nullptr);                         // too old to act on
  CHECK_NE(first.latest(clock.now()), nullptr);
  CHECK(first.stop());
}

TEST_CASE("a control thread leases quota to another only after its traffic has acknowledged the snapshot") {
  Clock clock;
  sockaddr_in borrowerAddress = Listener().address;
  sockaddr_in lenderAddress = Listener().address;
  members::MembershipSettings settings;
  settings.fleet = "threads";
  for (auto& native : {borrowerAddress, lenderAddress})
    settings.peers.push_back({"n" + std::to_string(settings.peers.size()),
                              {ntohl(native.sin_addr.s_addr), ntohs(native.sin_port)}});
  QuotaSharing sharing;
  sharing.settings.memberCount = 2;
  sharing.settings.quotas = {10};
  sharing.rates = {{"a", false, 10}};
  ControlThread borrower(clock, settings, "n0", 1, sharing);
  ControlThread lender(clock, settings, "n1", 2, sharing);
  // What a traffic thread does with each snapshot; returns the quota that it may use.
  auto applySnapshot = [&](ControlThread& control, double demand, bool acknowledges) {
    const ControlSnapshot* snapshot = control.latestQuotas();
    control.setDemand({demand});
    if (acknowledges)
      control.acknowledge(snapshot->members.number);
    return snapshot->quotas[0].availableAt(clock.now());
  };
  double mostBorrowed = 0;
  for (double end = now() + 4; now() < end; pause(0.005)) {
    applySnapshot(lender, 0, false);  // its traffic is stalled: no grant may be sent
    mostBorrowed = std::max(mostBorrowed, applySnapshot(borrower, 9, true));
  }
  CHECK_LE(mostBorrowed, 5);
  bool hasBorrowed = false;
  for (double end = now() + 8; !hasBorrowed && now() < end; pause(0.005)) {
    double lenderQuota = applySnapshot(lender, 0, true);
    double borrowerQuota = applySnapshot(borrower, 9, true);
    CHECK_LE(lenderQuota + borrowerQuota, 10.0000001);
    hasBorrowed = borrowerQuota > 8.9;
  }
  CHECK(hasBorrowed);
}
