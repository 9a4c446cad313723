// The budgets as the module meets them (BudgetScheduler): a tree, and waits told by it. Pure; told the time.
#pragma once
#include <cmath>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include "budget/tree.h"
#include "budget/waits.h"
#include "policy.h"
#include "shared/usable.h"
#include "sliding_window_sum.h"

namespace elmcleat::budget {

class Office final : public BudgetScheduler {
 public:
  // `gateways`: how many share what the plan gives.
  Office(const Plan& plan, int gateways);
  void change(const Plan& plan);  // with commands held and out

  // Rates that are shared with other gateways, in the order of fleetRates(plan), instead of an equal part of each. Until
  // when they hold stands in them: it is looked at before each decision.
  void share(std::vector<shared::Usable> usable);
  std::vector<double>
  wants();  // of the same: cores that there is use for here, by the last second and what is held
  bool shares() const { return shared_ != nullptr; }

  // What a command was told when it came; and what it would be told if it came again now.
  std::optional<Estimate> told(const Command& command) const;
  Estimate again(const Command& command) const;
  // Called when a command that was told something starts for the first time: told, and seconds held.
  void onWait(std::function<void(Command&, Estimate, double)> hear) { hear_ = std::move(hear); }

  const Tree& tree() const { return tree_; }

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
  double nextWakeUp() override { return tree_.wakes(now_); }

 private:
  struct Entry {
    Item item;
    Command* command = nullptr;
    std::optional<Estimate> told;
    bool begun = false;
  };
  struct Shared {
    std::vector<FleetRate> rates;
    std::vector<shared::Usable> usable;
    std::vector<double> inForce;                     // cores
    std::vector<SlidingWindowSum> asked, askedLong;  // work, over one second and over ten
    std::unordered_map<std::string, std::vector<size_t>> byPath;
    double changesAt = -HUGE_VAL;  // when something of what is usable ends
  };
  void apply();
  Entry& entryOf(const Command& command) const { return *entries_.at(&command); }

  std::unique_ptr<Shared> shared_;  // none: an equal part of all
  Tree tree_;
  Waits waits_;
  double part_, now_ = 0;
  std::unordered_map<const Command*, std::unique_ptr<Entry>> entries_;
  std::unordered_map<const Item*, Entry*> items_;
  std::function<void(Command&, Estimate, double)> hear_;
};

}  // namespace elmcleat::budget
