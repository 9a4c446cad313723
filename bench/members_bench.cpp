// Membership by fleet size, in virtual time: seconds until all members agree, and the cost of a member in
// bytes and CPU time. Uses the real Membership and message codec, with delays of 0.5 to 3 ms. Prints one
// table; takes about a minute.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

#include "lab/membership_simulation.h"

using namespace elmcleat;
using lab::MembershipSimulation;

namespace {

constexpr double kConvergenceTimeout = 30;
constexpr double kPause = 5;  // between measurements
constexpr double kQuietDuration = 10;
constexpr double kPartitionDuration = 30;
constexpr double kWindow = 5;  // over which the worst traffic is taken

// Median and maximum of several times. A negative time counts as infinite.
struct Times {
  std::vector<double> sorted;
  void add(double time) {
    sorted.push_back(time < 0 ? 1e9 : time);
    std::ranges::sort(sorted);
  }
  double median() const { return sorted[sorted.size() / 2]; }
  double maximum() const { return sorted.back(); }
};

}  // namespace

// Arguments: the number of seeds, and the largest fleet.
int main(int count, char** arguments) {
  int seeds = count > 1 ? std::atoi(arguments[1]) : 5;
  int largest = count > 2 ? std::atoi(arguments[2]) : 1024;
  std::printf(
      "| members | start | one dies | one comes back | a tenth dies | seven in ten die | a third cut 30 s: "
      "agreed again | quiet: "
      "KB/s, core | worst 5 s: KB/s | streams a member in all | called down wrongly |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (int size : {10, 100, 300, 1024}) {
    if (size > largest)
      break;
    Times start;
    Times crash;
    Times restart;
    Times tenthCrash;
    Times mostCrash;
    Times healed;
    double quietRate = 0;
    double quietCpu = 0;
    double worstRate = 0;
    double streams = 0;
    int downs = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
      MembershipSimulation fleet(MembershipSimulation::settingsFor(size), uint64_t(seed));
      auto rate = [&](double seconds) { return double(fleet.bytes()) / size / seconds / 1000; };  // KB/s
      auto recordWorst = [&](double seconds) {
        if (seconds < 0)
          return;
        fleet.run(fleet.now() + std::max(kWindow - seconds, 0.0));
        worstRate = std::max(worstRate, rate(std::max(kWindow, seconds)));
        streams += double(fleet.streams()) / size;
        downs += fleet.downDetections();
      };
      fleet.startAll();
      double seconds = fleet.runUntilConverged(kConvergenceTimeout);
      start.add(seconds);
      recordWorst(seconds);
      fleet.run(fleet.now() + kPause);
      fleet.reset();
      fleet.run(fleet.now() + kQuietDuration);
      quietRate += rate(kQuietDuration) / seeds;
      quietCpu += fleet.cpu() / size / kQuietDuration / seeds;
      downs += fleet.downDetections();
      fleet.reset();
      fleet.kill(1);
      seconds = fleet.runUntilConverged(kConvergenceTimeout);
      crash.add(seconds);
      recordWorst(seconds);
      fleet.run(fleet.now() + kPause);
      fleet.reset();
      fleet.start(1);
      seconds = fleet.runUntilConverged(kConvergenceTimeout);
      restart.add(seconds);
      recordWorst(seconds);
      fleet.run(fleet.now() + kPause);
      fleet.reset();
      for (int i = 2; i < 2 + size / 10; ++i)
        fleet.kill(i);
      seconds = fleet.runUntilConverged(kConvergenceTimeout);
      tenthCrash.add(seconds);
      recordWorst(seconds);
      for (int i = 2; i < 2 + size / 10; ++i)
        fleet.start(i);
      fleet.runUntilConverged(kConvergenceTimeout);
      fleet.run(fleet.now() + kPause);
      fleet.reset();
      for (int i = 0; i < size * 7 / 10; ++i)
        fleet.kill(i);
      seconds = fleet.runUntilConverged(kConvergenceTimeout);
      mostCrash.add(seconds);
      recordWorst(seconds);
      fleet.reset();
      for (int i = 0; i < size * 7 / 10; ++i)
        fleet.start(i);
      fleet.runUntilConverged(kConvergenceTimeout);
      fleet.run(fleet.now() + kPause);
      std::vector<int> third;
      for (int i = 0; i < size / 3; ++i)
        third.push_back(i);
      fleet.partition(third);
      fleet.run(fleet.now() + kPartitionDuration);
      fleet.partition(third, false);
      fleet.reset();
      seconds = fleet.runUntilConverged(kConvergenceTimeout);
      healed.add(seconds);
      recordWorst(seconds);
      if (!fleet.violation().empty()) {
        std::printf("seed %d: %s\n", seed, fleet.violation().c_str());
        return 1;
      }
    }
    std::printf(
        "| %d | %.1f, %.1f | %.1f, %.1f | %.1f, %.1f | %.1f, %.1f | %.1f, %.1f | %.1f, %.1f | %.2f, %.5f | "
        "%.1f | %.1f | %d |\n",
        size, start.median(), start.maximum(), crash.median(), crash.maximum(), restart.median(),
        restart.maximum(), tenthCrash.median(), tenthCrash.maximum(), mostCrash.median(), mostCrash.maximum(),
        healed.median(), healed.maximum(), quietRate, quietCpu, worstRate, streams / seeds, downs);
    std::fflush(stdout);
  }
  return 0;
}
