// Scale test: real dispatcher processes, surrounded by simulated engines, a simulated change log and
// simulated clients, all on loopback. It is repeated at several numbers of engines, and records figures by
// that number. The run enforces its own limits on time, processes and memory, and removes its processes and
// files at the end.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "lab/figures_file.h"

namespace elmcleat::lab {

// One measurement. Times are in seconds.
struct Step {
  std::string action;        // "quiet", "changes", "connections", "commands", "drain", "zone" or "silent"
  std::string figurePrefix;  // first part of its figures' names
  double seconds = 3;
  double commandRate = 100;  // commands per second to each dispatcher
  double workSeconds = 0.005;
  double zoneAwaySeconds = 4;
  int drainCount = 4;
  std::vector<double> changeSpeeds{0, 1, 16};  // multiples of the day's average rate of changes
  std::vector<int> connectionCounts{};
};
struct ScaleRun {
  std::vector<int> engines;
  std::vector<std::string> variants;  // empty: all
  double settleSeconds = 2;
  std::vector<Step> steps;
};
// Bounds on all values of a figure, and on the exponent with which it grows from the smallest size to the
// largest.
struct Expectation {
  std::string figure;
  std::string variant;  // empty: all
  std::optional<double> minimum;
  std::optional<double> maximum;
  std::optional<double> minExponent;
  std::optional<double> maxExponent;
};
struct ScalePlan {
  Json document;
  std::string name;
  double maxSeconds = 60;
  int realDispatchers = 3;
  std::optional<int>
      configuredDispatchers;  // the count in the settings; default: engines / enginesPerDispatcher
  double enginesPerDispatcher = 44000.0 / 2400;
  std::map<std::string, Json> variants;  // gateway file by name; null: without one
  std::map<std::string, double> targets;
  std::map<std::string, double> limits;
  std::vector<Expectation> expectations;
  std::vector<ScaleRun> runs;
};
ScalePlan readScalePlan(const std::string& path);  // throws ValidationErrors

// Runs the plan with `program` as the dispatcher. A trial or step that fails, or exceeds a limit of the run,
// is recorded as missing.
FiguresFile runScale(const ScalePlan& plan, const std::string& program);
// The expectations that the figures do not meet, a line each.
std::vector<std::string> unmet(const ScalePlan& plan, const FiguresFile& file);

}  // namespace elmcleat::lab
