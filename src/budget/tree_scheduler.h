// The budgets as the module meets them (BudgetScheduler): a tree, and waits told by it. Pure; told the time.
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
  // `gateways`: how many share what the plan gives.
  TreeScheduler(const BudgetSettings& settings, int gateways);
  void reconfigure(const BudgetSettings& settings);  // with commands held and out

  // Rates that are shared with other gateways, in the order of fleetRates(plan), instead of an equal part of each. Until
  // when they hold stands in them: it is looked at before each decision.
  void setQuotas(std::vector<shared::AvailableQuota> usable);
  std::vector<double>
  demand();  // of the same: cores that there is use for here, by the last second and what is held
  bool hasSharedQuotas() const { return shared_ != nullptr; }

  // What a command was told when it came; and what it would be told if it came again now.
  std::optional<WaitEstimate> estimateAtArrival(const Command& command) const;
  WaitEstimate estimateNow(const Command& command) const;
  // Called when a command that was told something starts for the first time: told, and seconds held.
  void onWaitMeasured(std::function<void(Command&, WaitEstimate, double)> hear) {
    waitMeasured_ = std::move(hear);
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
    std::optional<WaitEstimate> told;
    bool begun = false;
  };
  struct Shared {
    std::vector<FleetRate> rates;
    std::vector<shared::AvailableQuota> usable;
    std::vector<double> inForce;                     // cores
    std::vector<SlidingWindowSum> asked, askedLong;  // work, over one second and over ten
    std::unordered_map<std::string, std::vector<size_t>> byPath;
    double changesAt = -HUGE_VAL;  // when something of what is usable ends
  };
  void apply();
  Entry& entryOf(const Command& command) const { return *entries_.at(&command); }

  std::unique_ptr<Shared> shared_;  // none: an equal part of all
  BudgetTree tree_;
  WaitEstimator waits_;
  double gatewayShare_, now_ = 0;
  std::unordered_map<const Command*, std::unique_ptr<Entry>> entries_;
  std::unordered_map<const QueuedCommand*, Entry*> items_;
  std::function<void(Command&, WaitEstimate, double)> waitMeasured_;
};

}  // namespace elmcleat::budget
