// Model of an engine: a processor-sharing server with priorities, in which commands spill when memory runs
// short, cached table groups save work, and a restarted engine warms up. Holds no clock: every call is given
// the time, in seconds.
#pragma once
#include <cstdint>
#include <list>
#include <optional>
#include <vector>

#include "lab/scenario.h"

namespace elmcleat::lab {

struct RunningSend {
  uint64_t send = 0;
  double remainingWork = 0;  // seconds on one core
  double work = 0;           // seconds on one core
  double memoryMb = 0;
  int threads = 1;
  int priority = 1;     // 0 to 3
  double workRate = 0;  // work done a second
};

class SimulatedEngine {
 public:
  explicit SimulatedEngine(const Fleet& fleet) : fleet_(fleet) {}

  // False if the process is down.
  bool startSend(double now, const RunningSend& send, uint64_t tableGroup);
  void cancelSend(double now, uint64_t send);
  void setPriority(double now, uint64_t send, int priority);
  // Removes and returns the sends that are complete.
  std::vector<RunningSend> takeFinished(double now);
  // When to call takeFinished next, if nothing changes before.
  std::optional<double> nextCompletion() const;

  // Multiplies run times by `factor`; 1 is normal speed.
  void setSlowdown(double now, double factor);
  void start(double now, bool cold);
  // Ends the process and returns the sends that were running.
  std::vector<RunningSend> stop(double now);

  bool up = true;
  bool silent = false;   // runs commands but sends no responses
  bool failing = false;  // answers every command with an error at once
  bool overloadedWhileCold = false;
  std::optional<double> startedAt;
  double coreSecondsDone = 0;
  size_t runningCount() const { return running_.size(); }
  double threads() const;                   // of all running sends
  double availableCores(double now) const;  // fewer while it warms up

 private:
  void advanceTo(double now);    // accounts for the work done since the last update
  void assignRates(double now);  // divides the cores among the running sends

  const Fleet& fleet_;
  std::vector<RunningSend> running_;
  std::list<uint64_t> warmTableGroups_;  // most recently used first
  double lastUpdate_ = 0;
  double slowdown_ = 1;
  std::vector<std::pair<double, double>>
      coldWork_;  // time of arrival and work of commands that came while it was cold
};

}  // namespace elmcleat::lab
