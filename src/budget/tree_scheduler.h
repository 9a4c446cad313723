// TreeScheduler: implements the module's BudgetScheduler by a BudgetTree, with wait estimates and with rates
// shared between gateways. No I/O; callers pass the time.
#pragma once
#include <cmath>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include "budget/budget_tree.h"
#include "budget/wait_estimator.h"
#include "policy.h"
#include "shared/available_quota.h"
#include "sliding_window_sum.h"

namespace elmcleat::budget {

class TreeScheduler final : public BudgetScheduler {
 public:
  // `gateways`: number of gateways that share the amounts of the settings.
  TreeScheduler(const BudgetSettings& settings, int gateways);
  void reconfigure(const BudgetSettings& settings);  // keeps queued and running commands

  // Sets the rates that are shared with other gateways, in the order of fleetRates(settings). From the first
  // call they replace this gateway's equal part of each rate. Borrowed parts expire by themselves.
  void setQuotas(std::vector<shared::AvailableQuota> available);
  // Cores that this gateway has use for, for each shared rate, by the recent demand and the queued work.
  std::vector<double> demand();
  bool hasSharedQuotas() const { return sharedQuotas_ != nullptr; }

  // The wait estimate that a command got on arrival, and the one that it would get now.
  std::optional<WaitEstimate> estimateAtArrival(const Command& command) const;
  WaitEstimate estimateNow(const Command& command) const;
  // Sets a callback for the first start of each command that has an estimate: the estimate and the seconds
  // queued.
  void onWaitMeasured(std::function<void(Command&, WaitEstimate, double)> callback) {
    waitMeasured_ = std::move(callback);
  }

  const BudgetTree& tree() const { return tree_; }

  // BudgetScheduler
  void advanceTo(double now) override;
  void add(Command& command, const Arrival& arrival) override;
  void enqueue(Command& command, double work, double memoryMb, bool again) override;
  void dequeue(Command& command) override;
  Command* selectNext() override;
  void postpone(Command& command, double wait) override;
  void sendStarted(Command& command) override;
  void sendFinished(Command& command, double billed) override;
  void remove(Command& command) override;
  bool isGuaranteed(Command& command) override;
  Preemption selectPreemption() override;
  double nextWakeUp() override { return tree_.nextWakeUp(now_); }

 private:
  struct Entry {
    QueuedCommand queuedCommand;
    Command* command = nullptr;
    std::optional<WaitEstimate> estimate;  // on arrival
    bool started = false;                  // at least once
  };
  struct SharedQuotas {
    std::vector<FleetRate> rates;
    std::vector<shared::AvailableQuota> available;
    std::vector<double> appliedCores;                             // as set in the tree
    std::vector<SlidingWindowSum> recentDemand;                   // work queued in the last second
    std::vector<SlidingWindowSum> longTermDemand;                 // work queued in the last kLongTermWindow
    std::unordered_map<std::string, std::vector<size_t>> byPath;  // indices into `rates`
    double nextExpiry = -HUGE_VAL;                                // of anything borrowed
  };
  void applyQuotas();
  Entry& entryFor(const Command& command) const { return *entries_.at(&command); }

  std::unique_ptr<SharedQuotas> sharedQuotas_;  // nullptr: an equal part of each rate
  BudgetTree tree_;
  WaitEstimator waitEstimator_;
  double gatewayShare_;
  double now_ = 0;
  std::unordered_map<const Command*, std::unique_ptr<Entry>> entries_;
  std::unordered_map<const QueuedCommand*, Entry*> entriesByQueuedCommand_;
  std::function<void(Command&, WaitEstimate, double)> waitMeasured_;
};

}  // namespace elmcleat::budget
