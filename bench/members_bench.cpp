// Membership at size, in virtual time: how long until all agree, what it costs a member in bytes and processor time.
// Real cores and the real wire format; delays of 0.5 to 3 ms on the way. Prints one table; takes a minute or so.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

#include "lab/membership_simulation.h"

using namespace elmcleat;
using lab::MembershipSimulation;

namespace {

// The median and the longest of several; a negative one counts as never.
struct Times {
  std::vector<double> all;
  void add(double time) { all.push_back(time < 0 ? 1e9 : time), std::ranges::sort(all); }
  double half() const { return all[all.size() / 2]; }
  double most() const { return all.back(); }
};

}  // namespace

int main(int count, char** words) {
  int seeds = count > 1 ? std::atoi(words[1]) : 5, largest = count > 2 ? std::atoi(words[2]) : 1024;
  std::printf(
      "| members | start | one dies | one comes back | a tenth dies | seven in ten die | a third cut 30 s: "
      "agreed again | quiet: "
      "KB/s, core | worst 5 s: KB/s | streams a member in all | called down wrongly |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (int size : {10, 100, 300, 1024}) {
    if (size > largest)
      break;
    Times start, dies, back, tenth, most, healed;
    double quietBytes = 0, quietCpu = 0, worst = 0, streams = 0;
    int downs = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
      MembershipSimulation fleet(MembershipSimulation::settingsFor(size), uint64_t(seed));
      auto rate = [&](double span) { return double(fleet.bytes()) / size / span / 1000; };
      auto busiest = [&](double took) {
        if (took < 0)
          return;
        fleet.run(fleet.now() + std::max(5 - took, 0.0));
        worst = std::max(worst, rate(std::max(5.0, took)));
        streams += double(fleet.streams()) / size, downs += fleet.downDetections();
      };
      fleet.startAll();
      double took = fleet.runUntilConverged(30);
      start.add(took), busiest(took);
      fleet.run(fleet.now() + 5), fleet.reset();
      fleet.run(fleet.now() + 10);
      quietBytes += rate(10) / seeds, quietCpu += fleet.cpu() / size / 10 / seeds;
      downs += fleet.downDetections();
      fleet.reset(), fleet.kill(1), took = fleet.runUntilConverged(30), dies.add(took), busiest(took);
      fleet.run(fleet.now() + 5), fleet.reset();
      fleet.start(1), took = fleet.runUntilConverged(30), back.add(took), busiest(took);
      fleet.run(fleet.now() + 5), fleet.reset();
      for (int i = 2; i < 2 + size / 10; ++i)
        fleet.kill(i);
      took = fleet.runUntilConverged(30), tenth.add(took), busiest(took);
      for (int i = 2; i < 2 + size / 10; ++i)
        fleet.start(i);
      fleet.runUntilConverged(30), fleet.run(fleet.now() + 5), fleet.reset();
      for (int i = 0; i < size * 7 / 10; ++i)
        fleet.kill(i);
      took = fleet.runUntilConverged(30), most.add(took), busiest(took), fleet.reset();
      for (int i = 0; i < size * 7 / 10; ++i)
        fleet.start(i);
      fleet.runUntilConverged(30), fleet.run(fleet.now() + 5);
      std::vector<int> third;
      for (int i = 0; i < size / 3; ++i)
        third.push_back(i);
      fleet.partition(third), fleet.run(fleet.now() + 30), fleet.partition(third, false), fleet.reset();
      took = fleet.runUntilConverged(30), healed.add(took), busiest(took);
      if (!fleet.violation().empty())
        return std::printf("seed %d: %s\n", seed, fleet.violation().c_str()), 1;
    }
    std::printf(
        "| %d | %.1f, %.1f | %.1f, %.1f | %.1f, %.1f | %.1f, %.1f | %.1f, %.1f | %.1f, %.1f | %.2f, %.5f | "
        "%.1f | %.1f | %d |\n",
        size, start.half(), start.most(), dies.half(), dies.most(), back.half(), back.most(), tenth.half(),
        tenth.most(), most.half(), most.most(), healed.half(), healed.most(), quietBytes, quietCpu, worst,
        streams / seeds, downs);
    std::fflush(stdout);
  }
  return 0;
}
