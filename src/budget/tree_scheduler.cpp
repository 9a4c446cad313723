#include "budget/tree_scheduler.h"

#include <utility>

namespace elmcleat::budget {
namespace {

// What has been asked for of late is asked for again: who lends it away at each lull has to borrow it back.
constexpr double kLong = 10;  // seconds

}  // namespace

TreeScheduler::TreeScheduler(const BudgetSettings& settings, int gateways)
    : tree_(settings, 1.0 / std::max(1, gateways)), gatewayShare_(1.0 / std::max(1, gateways)) {}

void TreeScheduler::reconfigure(const BudgetSettings& settings) {
  tree_.reconfigure(settings, gatewayShare_, now_);
}

void TreeScheduler::setQuotas(std::vector<shared::AvailableQuota> usable) {
  if (!shared_) {
    shared_ = std::make_unique<Shared>();
    shared_->rates = fleetRates(tree_.settings());
    shared_->inForce.assign(shared_->rates.size(), -1),
        shared_->asked.assign(shared_->rates.size(), SlidingWindowSum(1));
    shared_->askedLong.assign(shared_->rates.size(), SlidingWindowSum(kLong));
    for (size_t i = 0; i < shared_->rates.size(); ++i)
      shared_->byPath[shared_->rates[i].path].push_back(i);
  }
  shared_->usable = std::move(usable);
  apply();
}

void TreeScheduler::apply() {
  shared_->changesAt = HUGE_VAL;
  for (size_t i = 0; i < shared_->usable.size(); ++i) {
    for (auto& [until, units] : shared_->usable[i].borrowed)
      if (until > now_)
        shared_->changesAt = std::min(shared_->changesAt, until);
    double cores = shared_->usable[i].availableAt(now_);
    if (std::exchange(shared_->inForce[i], cores) != cores)
      tree_.setRate(shared_->rates[i].path, shared_->rates[i].isCeiling, cores, now_);
  }
}

std::vector<double> TreeScheduler::demand() {
  std::vector<double> wants;
  for (size_t i = 0; shared_ && i < shared_->rates.size(); ++i) {
    const BudgetNode* node = tree_.find(shared_->rates[i].path);
    double usual = shared_->askedLong[i].upperBound(now_) / kLong, putBy = 0, held = 0;
    if (node)
      putBy = (shared_->rates[i].isCeiling ? node->ceiling : node->guarantee).balance(now_),
      held = node->queuedWork;
    wants.push_back(usual + std::max(held + shared_->asked[i].upperBound(now_) - putBy, 0.0));
  }
  return wants;
}

std::optional<WaitEstimate> TreeScheduler::estimateAtArrival(const Command& command) const {
  auto found = entries_.find(&command);
  return found == entries_.end() ? std::nullopt : found->second->told;
}

WaitEstimate TreeScheduler::estimateNow(const Command& command) const {
  auto found = entries_.find(&command);
  return found == entries_.end() ? WaitEstimate{} : waits_.estimateWait(found->second->queuedCommand, now_);
}

void TreeScheduler::advanceTo(double now) {
  now_ = std::max(now_, now);  // a clock that steps back is not followed
  waits_.advanceTo(now_);
  if (shared_ && now_ >= shared_->changesAt)
    apply();
}

void TreeScheduler::add(Command& command, const Arrival& arrival) {
  auto& entry = *(entries_[&command] = std::make_unique<Entry>());
  entry.command = &command;
  entry.queuedCommand.path.push_back(arrival.tenant.empty() ? "-" : arrival.tenant);
  for (auto& user : arrival.users)
    entry.queuedCommand.path.push_back(user);
  entry.queuedCommand.path.push_back(arrival.profile);
  items_[&entry.queuedCommand] = &entry;
  tree_.add(entry.queuedCommand, now_);
}

void TreeScheduler::enqueue(Command& command, double work, double memoryMb, bool again) {
  Entry& entry = entryOf(command);
  entry.queuedCommand.work = work, entry.queuedCommand.memoryMb = memoryMb;
  if (!entry.told && !entry.begun)
    entry.told = waits_.commandArrived(entry.queuedCommand, now_);
  tree_.enqueue(entry.queuedCommand, again, now_);
  for (BudgetNode* node = shared_ && !again ? entry.queuedCommand.leaf : nullptr; node; node = node->parent)
    if (auto rates = shared_->byPath.find(node->path); rates != shared_->byPath.end())
      for (size_t i : rates->second)
        shared_->asked[i].add(now_, work), shared_->askedLong[i].add(now_, work);
}

void TreeScheduler::dequeue(Command& command) { tree_.dequeue(entryOf(command).queuedCommand, now_); }

Command* TreeScheduler::selectNext() {
  QueuedCommand* item = tree_.selectNext(now_);
  return item ? items_.at(item)->command : nullptr;
}

void TreeScheduler::postpone(Command& command, double wait) {
  tree_.postpone(entryOf(command).queuedCommand, wait, now_);
}

void TreeScheduler::sendStarted(Command& command) {
  Entry& entry = entryOf(command);
  if (!std::exchange(entry.begun, true)) {
    auto held = waits_.commandStarted(entry.queuedCommand, now_);
    if (waitMeasured_ && held)
      waitMeasured_(command, *entry.told, *held);
  }
  tree_.sendStarted(entry.queuedCommand, now_);
}

void TreeScheduler::sendFinished(Command& command, double billed) {
  tree_.sendFinished(entryOf(command).queuedCommand, billed, now_);
}

void TreeScheduler::remove(Command& command) {
  auto found = entries_.find(&command);
  if (found == entries_.end())
    return;
  Entry& entry = *found->second;
  waits_.commandLeft(entry.queuedCommand);
  tree_.remove(entry.queuedCommand, now_);
  items_.erase(&entry.queuedCommand);
  entries_.erase(found);
}

bool TreeScheduler::isGuaranteed(Command& command) { return entryOf(command).queuedCommand.guaranteed; }

Preemption TreeScheduler::selectPreemption() {
  PreemptionVictim victim = tree_.selectVictim(now_);
  return {victim.command ? items_.at(victim.command)->command : nullptr, victim.cancel};
}

}  // namespace elmcleat::budget
