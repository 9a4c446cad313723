// Honest waits: how long a command that comes now will be held, with a stated sureness. Pure; told the time.
//
// The base is the work held before it over the rate at which its queue goes while something is held there. For each
// profile two factors, one a sureness, follow the quantiles of what was seen over its base (stochastic approximation
// of a quantile, Robbins and Monro 1951, in logs, with a step that does not shrink): more seen than the factor says
// raises it by its sureness, less lowers it by the rest. What still is held counts as soon as it passes the factor, not
// when it starts: a slowdown shows before the queue has drained. What ends without a start takes that back, since
// nobody waited to the end. Factors are compared with what is seen, not with what was told: else what was told long
// ago would swing them.
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

struct WaitEstimate {  // seconds held: no longer, with a sureness of a half, and of nine in ten
  double median = 0, p90 = 0;
};

class WaitEstimator {
 public:
  // What a command would be told that came to this leaf now.
  WaitEstimate estimateWait(const QueuedCommand& item, double now) const;
  // Comes; told before it is held.
  WaitEstimate commandArrived(const QueuedCommand& item, double now);
  // Its first start: the wait is over, and known. Seconds held; none if it was told nothing.
  std::optional<double> commandStarted(const QueuedCommand& item, double now);
  void commandLeft(const QueuedCommand& item);  // ended without a start
  void advanceTo(double now);                   // counts what was told and has passed

 private:
  static constexpr std::array<double, 2> kSure = {0.52, 0.92};  // a little more: who is shed never counts
  struct Factors {
    std::array<double, 2> log{0.0, 1.0};
  };
  struct Pending {
    Factors* factors = nullptr;
    double heldAt = 0, base = 0;
    std::array<bool, 2> missed{};
  };
  struct Due {
    double at;
    uint64_t number;
    size_t which;
    bool operator<(const Due& other) const { return at > other.at; }  // the soonest on top
  };
  static double base(const QueuedCommand& item, double now);
  static double reckoned(const QueuedCommand& item, double now);
  std::string keyOf(const QueuedCommand& item) const;

  std::map<std::string, Factors> factors_;  // by profile
  std::unordered_map<uint64_t, Pending> pending_;
  std::priority_queue<Due> due_;
};

}  // namespace elmcleat::budget
