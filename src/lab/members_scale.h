// Membership at size, in virtual time: what a fleet of so many members in regions pays for being quiet, for
// losing some and having them back, for regions cut off from each other, for restarts without end. One plan
// file, several sizes with the same parts in each; what must hold is checked at every step.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lab/figures_file.h"
#include "lab/membership_simulation.h"

namespace elmcleat::lab {

struct MembersScene {
  enum class Kind { quiet, lost, apart, restarts };
  std::string name;
  Kind kind = Kind::quiet;
  double lasts = 30;       // seconds of it; the end of it, if it has one, takes 30 more
  double part = 0;         // lost: of the members; 0 is one
  double restartsAt = 0;   // restarts a second at the target; at other sizes in proportion
  double awayTime = 5;     // seconds from a member's goodbye to its start
  std::vector<int> sizes;  // those that it is played at
  int seeds = 100;         // at most so many at each
};

struct MembersPlan {
  std::vector<int> sizes, seeds{};  // how many seeds at each size
  int regions = 6, target = 2400;
  double limitBytes = 5000, limitCores = 0.03, limitMb = 256;
  std::vector<MembersScene> scenes{};
};
MembersPlan readMembersPlan(const std::string& path);  // throws ValidationErrors

// What one part of a scene took and cost.
struct Phase {
  std::string name;
  double agreedIn = 0;      // seconds until all held the same; below 0: not within the part
  double bytes = 0;         // a second and member, in and out
  double worst = 0;         // of the members together, in and out, in the worst 5 s
  double worstOfWorst = 0;  // the same of the member that had most
  double messages = 0;      // sent, a second and member
  double cores = 0;         // of one, a member
  double heldWrongly =
      0;  // part of what is held: mean, where restarts don't end; last, where regions are apart
  double wrongDowns = 0;  // of life that ran and could be reached, by all who found it
  double streamsAtOnce = 0, largest = 0;
};
struct SceneResult {
  std::vector<Phase> phases;
  std::string broken;  // what must hold and did not
};
SceneResult simulate(const MembersScene& scene, int size, int regions, uint64_t seed, int target = 2400);

// Bytes of a core that has heard of all, and of the wire's names. 0 under sanitizers, which keep their own
// heap.
double bytesOfCore(int size);

// Puts into `file` what an earlier run has of sizes and phases that this one did not play.
void addEarlier(FiguresFile& file, const FiguresFile& earlier);

// Plays all, on so many threads, the longest first; `done` is told after each, never twice at once.
FiguresFile runMembersScale(
    const MembersPlan& plan, int threads,
    const std::function<void(const FiguresFile& sofar, const std::string& line)>& done);

}  // namespace elmcleat::lab
