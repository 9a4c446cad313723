// WaitEstimator: estimates how long a command that arrives now will be queued, as quantiles. No I/O; callers
// pass the time.
//
// The raw estimate is the queued work ahead of the command over the departure rate of its queue. Each profile
// has one factor per quantile, which follows that quantile of the ratio of measured wait to raw estimate
// (stochastic approximation of a quantile, Robbins and Monro 1951, in logarithms, with a constant step): a
// wait above the factor raises it in proportion to the quantile, one below lowers it in proportion to the
// rest. A command that is still queued counts as soon as it passes the factor, not when it starts, so that a
// slowdown shows before the queue has drained. A command that ends without a start takes that back, because
// its wait was never completed. Factors are compared with measured waits, not with the estimates given on
// arrival: old estimates would make them oscillate.
#pragma once
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "budget/budget_tree.h"

namespace elmcleat::budget {

// Seconds in the queue.
struct WaitEstimate {
  double median = 0;
  double p90 = 0;
};

class WaitEstimator {
 public:
  // The estimate for a command that would be queued at this leaf now. Does not change the estimator.
  WaitEstimate estimateWait(const QueuedCommand& command, double now) const;
  // Estimates the wait of a command and follows it from now on. To be called before the command is queued.
  WaitEstimate commandArrived(const QueuedCommand& command, double now);
  // The command starts for the first time: its wait is measured. Returns the seconds queued; nullopt if the
  // command is not known.
  std::optional<double> commandStarted(const QueuedCommand& command, double now);
  void commandLeft(const QueuedCommand& command);  // ended without a start
  void advanceTo(double now);                      // counts the commands that have passed their factors

 private:
  // Slightly above the median and 0.9: commands that are shed are never measured.
  static constexpr std::array<double, 2> kQuantiles = {0.52, 0.92};
  struct Factors {
    std::array<double, 2> log{0.0, 1.0};  // natural logarithms, by quantile
  };
  struct Pending {
    Factors* factors = nullptr;
    double queuedAt = 0;
    double rawEstimate = 0;
    std::array<bool, 2> missed{};  // whether the wait has passed the factor, by quantile
  };
  struct Deadline {  // when a pending command passes its factor
    double time;
    uint64_t arrivalNumber;
    size_t quantile;                                                           // index
    bool operator<(const Deadline& other) const { return time > other.time; }  // the earliest on top
  };
  static double queueDelay(const QueuedCommand& command, double now);
  static double rawEstimate(const QueuedCommand& command, double now);
  std::string profileKey(const QueuedCommand& command) const;

  std::map<std::string, Factors> factors_;  // by profile
  std::unordered_map<uint64_t, Pending> pending_;
  std::priority_queue<Deadline> deadlines_;
};

}  // namespace elmcleat::budget
