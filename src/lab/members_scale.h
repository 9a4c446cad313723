// The cost of membership by fleet size, in virtual time: for a fleet of members in regions that is idle,
// loses members and gets them back, is partitioned between regions, or is restarted continuously. One plan
// file lists the sizes, and the scenes to simulate at each. Invariants are checked at every step.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lab/figures_file.h"
#include "lab/membership_simulation.h"

namespace elmcleat::lab {

struct MembersScene {
  enum class Kind { quiet, lost, apart, restarts };  // apart: regions are partitioned from each other
  std::string name;
  Kind kind = Kind::quiet;
  double duration = 30;          // seconds; a recovery phase, where the scene has one, takes 30 more
  double lostShare = 0;          // lost: of the members; 0 is one member
  double restartsPerSecond = 0;  // restarts: at the target size; at others in proportion
  double restartDowntime = 5;    // seconds from a member's leave message to its start
  std::vector<int> sizes;        // at which it is simulated
  int seeds = 100;               // at most this many at each size
};

struct MembersPlan {
  std::vector<int> sizes;
  std::vector<int> seeds{};  // number of seeds at each size
  int regions = 6;
  int target = 2400;
  double limitBytes = 5000;
  double limitCores = 0.03;
  double limitMb = 256;
  std::vector<MembersScene> scenes{};
};
MembersPlan readMembersPlan(const std::string& path);  // throws ValidationErrors

// Measurements of one phase of a scene.
struct Phase {
  std::string name;
  double convergenceTime = 0;            // seconds until all members agreed; negative: not within the phase
  double bytesPerSecond = 0;             // of each member, sent and received
  double worstBytesPerSecond = 0;        // mean of the members, sent and received, over the worst 5 s
  double worstMemberBytesPerSecond = 0;  // the same of the member with most
  double messagesPerSecond = 0;          // sent by each member
  double cores = 0;                      // CPU of each member
  double inaccurateShare = 0;            // of the states held: mean (restarts), or at the end (apart)
  double falseDowns = 0;  // down verdicts on instances that ran and were reachable, by all members
  double maxConcurrentStreams = 0;
  double largestMessage = 0;  // bytes
};
struct SceneResult {
  std::vector<Phase> phases;
  std::string violation;  // the first invariant that was broken; empty: none
};
SceneResult simulate(const MembersScene& scene, int size, int regions, uint64_t seed, int target = 2400);

// Heap bytes of a membership that knows all members, with its message codec. 0 under sanitizers, which use a
// heap of their own.
double membershipBytes(int size);

// Copies from an earlier run into `file` the sizes and phases that `file` lacks.
void addEarlier(FiguresFile& file, const FiguresFile& earlier);

// Runs all scenes on the given number of threads, the longest first. `done` is called after each, under a
// lock.
FiguresFile runMembersScale(
    const MembersPlan& plan, int threads,
    const std::function<void(const FiguresFile& current, const std::string& line)>& done);

}  // namespace elmcleat::lab
