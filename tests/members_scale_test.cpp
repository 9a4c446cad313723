// How the cost of membership grows with the fleet, in bytes and messages counted in virtual time, which are
// the same on every machine; and that partitioned regions and continuous restarts break no invariant.
#include "lab/members_scale.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace elmcleat;
using namespace elmcleat::lab;
using Kind = MembersScene::Kind;

namespace {

constexpr int kFewMembers = 38;
constexpr int kManyMembers = 150;
constexpr int kRegions = 6;

MembersScene sceneOf(Kind kind, double duration, double lostShare = 0, double restartsPerSecond = 0) {
  MembersScene scene;
  scene.name = "scene";
  scene.kind = kind;
  scene.duration = duration;
  scene.lostShare = lostShare;
  if (restartsPerSecond > 0)
    scene.restartsPerSecond = restartsPerSecond;
  return scene;
}

std::vector<Phase> phasesOf(const MembersScene& scene, int size, uint64_t seed = 1) {
  SceneResult result = simulate(scene, size, kRegions, seed);
  REQUIRE_EQ(result.violation, "");
  for (auto& phase : result.phases)
    CHECK_EQ(phase.falseDowns, 0);
  return result.phases;
}

}  // namespace

TEST_CASE("traffic: the worst 5 s, also across seconds without traffic") {
  Traffic traffic(100);
  for (int i = 0; i < 4; ++i)
    traffic.add(100.5 + i, 10);
  CHECK_EQ(traffic.worst(), 8);
  traffic.add(107.9, 10);  // within 5 s of only one of the four before
  CHECK_EQ(traffic.worst(), 8);
  traffic.add(150, 25);
  traffic.add(152, 25);
  CHECK_EQ(traffic.worst(), 10);
  traffic.add(155.1, 1);  // more than 5 s after the one at 150
  CHECK_EQ(traffic.worst(), 10);
  CHECK_EQ(traffic.bytes(), 101);
}

TEST_CASE("hasConverged, which resumes at the last pair that disagreed, agrees with a check of all pairs") {
  MembershipSimulation fleet(MembershipSimulation::settingsFor(20), 4);
  fleet.setRegionCount(4);
  int converged = 0;
  int diverged = 0;
  auto compare = [&](int steps) {
    for (int i = 0; i < steps; ++i) {
      fleet.run(fleet.now() + 0.05);
      REQUIRE_EQ(fleet.hasConverged(), fleet.inaccurateShare() == 0);
      ++(fleet.hasConverged() ? converged : diverged);
    }
  };
  fleet.startAll();
  compare(60);
  for (int member : {3, 19, 0}) {
    fleet.kill(member);
    compare(100);
    fleet.start(member);
    compare(30);
    fleet.pause(member);
    compare(30);
    fleet.resume(member);
    compare(40);
    fleet.leave(member);
    compare(30);
    fleet.start(member);
    compare(30);
  }
  CHECK_GT(converged, 100);
  CHECK_GT(diverged, 100);
}

TEST_CASE("quiet: the messages of a member don't grow with the fleet, its bytes hardly") {
  auto few = phasesOf(sceneOf(Kind::quiet, 30), kFewMembers);
  auto many = phasesOf(sceneOf(Kind::quiet, 30), kManyMembers);
  for (auto* phases : {&few, &many})
    CHECK(phases->at(1).messagesPerSecond < 4.05);  // 2 pings and 2 acks
  CHECK(many.at(1).bytesPerSecond < 1.1 * few.at(1).bytesPerSecond);
  CHECK(many.at(1).worstMemberBytesPerSecond < 1.5 * few.at(1).worstMemberBytesPerSecond);
}

TEST_CASE(
    "one member crashes: the cost of each doesn't grow with the fleet, except for the one that returns") {
  auto few = phasesOf(sceneOf(Kind::lost, 15), kFewMembers);
  auto many = phasesOf(sceneOf(Kind::lost, 15), kManyMembers);
  for (size_t i : {size_t(0), size_t(1)}) {
    CHECK(many.at(i).worstBytesPerSecond < 1.25 * few.at(i).worstBytesPerSecond);
    CHECK((few.at(i).convergenceTime >= 0 && few.at(i).convergenceTime < 4));
    CHECK((many.at(i).convergenceTime >= 0 && many.at(i).convergenceTime < 4));
  }
  CHECK(many.at(1).worstMemberBytesPerSecond <
        1.25 * kManyMembers / kFewMembers *
            few.at(1).worstMemberBytesPerSecond);  // it receives the full state
}

TEST_CASE("all start: the cost grows at most in proportion to the fleet") {
  auto few = phasesOf(sceneOf(Kind::quiet, 1), kFewMembers);
  auto many = phasesOf(sceneOf(Kind::quiet, 1), kManyMembers);
  CHECK(many.at(0).worstBytesPerSecond < double(kManyMembers) / kFewMembers * few.at(0).worstBytesPerSecond);
  CHECK(many.at(0).largestMessage < double(kManyMembers) / kFewMembers * few.at(0).largestMessage);
  CHECK((many.at(0).convergenceTime > 0 && many.at(0).convergenceTime < 3));
}

TEST_CASE("a region is lost and returns: the cost grows at most in proportion to the fleet") {
  auto few = phasesOf(sceneOf(Kind::lost, 20, 1.0 / 6), kFewMembers);
  auto many = phasesOf(sceneOf(Kind::lost, 20, 1.0 / 6), kManyMembers);
  for (size_t i : {size_t(0), size_t(1)}) {
    CHECK(many.at(i).worstBytesPerSecond <
          double(kManyMembers) / kFewMembers * few.at(i).worstBytesPerSecond);
    CHECK((many.at(i).convergenceTime > 0 && many.at(i).convergenceTime < 5));
  }
}

TEST_CASE("partitioned regions: each knows its own members, and all agree within 3 s after the partition") {
  for (int size : {kFewMembers, kManyMembers}) {
    auto phases = phasesOf(sceneOf(Kind::apart, 120), size, 2);
    CHECK((phases.at(1).convergenceTime > 0 && phases.at(1).convergenceTime < 3));
    CHECK_EQ(phases.at(0).inaccurateShare, 0);
  }
}

TEST_CASE("a day's restarts in 24 minutes: no false down verdicts, and all agree soon after") {
  for (int size : {kFewMembers, kManyMembers}) {
    auto phases = phasesOf(sceneOf(Kind::restarts, 60, 0, 12.5), size);
    CHECK(phases.at(0).inaccurateShare < 0.1);
    CHECK((phases.at(1).convergenceTime >= 0 && phases.at(1).convergenceTime < 2));
    CHECK(phases.at(0).messagesPerSecond < 12);
    CHECK(phases.at(0).bytesPerSecond < (size == kFewMembers ? 1100 : 3000));
  }
}

TEST_CASE("loss of a tenth of the messages between regions: some suspicions, no false down verdicts") {
  MembershipSimulation fleet(MembershipSimulation::settingsFor(60), 6);
  fleet.setRegionCount(kRegions);
  fleet.startAll();
  REQUIRE(fleet.runUntilConverged(10) >= 0);
  fleet.regionNetwork.loss = 0.1;
  fleet.run(fleet.now() + 60);
  CHECK_GT(fleet.suspicions(), 0);
  CHECK_EQ(fleet.falseDownDetections(), 0);
  CHECK_EQ(fleet.violation(), "");
}

TEST_CASE("the plan in the repository is valid; a missing one is refused") {
  MembersPlan plan = readMembersPlan(PLAN);
  CHECK_EQ(plan.sizes, std::vector{38, 150, 600, 2400});
  CHECK_EQ(plan.seeds.size(), plan.sizes.size());
  CHECK(std::ranges::any_of(plan.scenes, [](auto& scene) { return scene.kind == Kind::restarts; }));
  CHECK_THROWS_AS(readMembersPlan(std::string(PLAN) + ".absent"), ValidationErrors);
}
