#include "budget/tree_scheduler.h"

#include <utility>

namespace elmcleat::budget {
namespace {

// Seconds of demand that are kept in reserve. Lending recently used cores at each lull would mean borrowing
// them back.
constexpr double kLongTermWindow = 10;

}  // namespace

TreeScheduler::TreeScheduler(const BudgetSettings& settings, int gateways)
    : tree_(settings, 1.0 / std::max(1, gateways)), gatewayShare_(1.0 / std::max(1, gateways)) {}

void TreeScheduler::reconfigure(const BudgetSettings& settings) {
  tree_.reconfigure(settings, gatewayShare_, now_);
}

void TreeScheduler::setQuotas(std::vector<shared::AvailableQuota> available) {
  if (!sharedQuotas_) {
    sharedQuotas_ = std::make_unique<SharedQuotas>();
    sharedQuotas_->rates = fleetRates(tree_.settings());
    sharedQuotas_->appliedCores.assign(sharedQuotas_->rates.size(), -1);
    sharedQuotas_->recentDemand.assign(sharedQuotas_->rates.size(), SlidingWindowSum(1));
    sharedQuotas_->longTermDemand.assign(sharedQuotas_->rates.size(), SlidingWindowSum(kLongTermWindow));
    for (size_t i = 0; i < sharedQuotas_->rates.size(); ++i)
      sharedQuotas_->byPath[sharedQuotas_->rates[i].path].push_back(i);
  }
  sharedQuotas_->available = std::move(available);
  applyQuotas();
}

void TreeScheduler::applyQuotas() {
  sharedQuotas_->nextExpiry = HUGE_VAL;
  for (size_t i = 0; i < sharedQuotas_->available.size(); ++i) {
    for (auto& [until, units] : sharedQuotas_->available[i].borrowed)
      if (until > now_)
        sharedQuotas_->nextExpiry = std::min(sharedQuotas_->nextExpiry, until);
    double cores = sharedQuotas_->available[i].availableAt(now_);
    if (std::exchange(sharedQuotas_->appliedCores[i], cores) != cores)
      tree_.setRate(sharedQuotas_->rates[i].path, sharedQuotas_->rates[i].isCeiling, cores, now_);
  }
}

std::vector<double> TreeScheduler::demand() {
  std::vector<double> cores;
  for (size_t i = 0; sharedQuotas_ && i < sharedQuotas_->rates.size(); ++i) {
    const BudgetNode* node = tree_.find(sharedQuotas_->rates[i].path);
    double longTerm = sharedQuotas_->longTermDemand[i].upperBound(now_) / kLongTermWindow;
    double credit = 0;
    double queued = 0;
    if (node) {
      credit = (sharedQuotas_->rates[i].isCeiling ? node->ceiling : node->guarantee).balance(now_);
      queued = node->queuedWork;
    }
    cores.push_back(longTerm +
                    std::max(queued + sharedQuotas_->recentDemand[i].upperBound(now_) - credit, 0.0));
  }
  return cores;
}

std::optional<WaitEstimate> TreeScheduler::estimateAtArrival(const Command& command) const {
  auto found = entries_.find(&command);
  return found == entries_.end() ? std::nullopt : found->second->estimate;
}

WaitEstimate TreeScheduler::estimateNow(const Command& command) const {
  auto found = entries_.find(&command);
  return found == entries_.end() ? WaitEstimate{}
                                 : waitEstimator_.estimateWait(found->second->queuedCommand, now_);
}

void TreeScheduler::advanceTo(double now) {
  now_ = std::max(now_, now);  // steps back of the clock are ignored
  waitEstimator_.advanceTo(now_);
  if (sharedQuotas_ && now_ >= sharedQuotas_->nextExpiry)
    applyQuotas();
}

void TreeScheduler::add(Command& command, const Arrival& arrival) {
  auto& entry = *(entries_[&command] = std::make_unique<Entry>());
  entry.command = &command;
  entry.queuedCommand.path.push_back(arrival.tenant.empty() ? "-" : arrival.tenant);
  for (auto& user : arrival.users)
    entry.queuedCommand.path.push_back(user);
  entry.queuedCommand.path.push_back(arrival.profile);
  entriesByQueuedCommand_[&entry.queuedCommand] = &entry;
  tree_.add(entry.queuedCommand, now_);
}

void TreeScheduler::enqueue(Command& command, double work, double memoryMb, bool again) {
  Entry& entry = entryFor(command);
  entry.queuedCommand.work = work;
  entry.queuedCommand.memoryMb = memoryMb;
  if (!entry.estimate && !entry.started)
    entry.estimate = waitEstimator_.commandArrived(entry.queuedCommand, now_);
  tree_.enqueue(entry.queuedCommand, again, now_);
  // Work that is queued again is no new demand.
  for (BudgetNode* node = sharedQuotas_ && !again ? entry.queuedCommand.leaf : nullptr; node;
       node = node->parent)
    if (auto rates = sharedQuotas_->byPath.find(node->path); rates != sharedQuotas_->byPath.end())
      for (size_t i : rates->second) {
        sharedQuotas_->recentDemand[i].add(now_, work);
        sharedQuotas_->longTermDemand[i].add(now_, work);
      }
}

void TreeScheduler::dequeue(Command& command) { tree_.dequeue(entryFor(command).queuedCommand, now_); }

Command* TreeScheduler::selectNext() {
  QueuedCommand* queuedCommand = tree_.selectNext(now_);
  return queuedCommand ? entriesByQueuedCommand_.at(queuedCommand)->command : nullptr;
}

void TreeScheduler::postpone(Command& command, double wait) {
  tree_.postpone(entryFor(command).queuedCommand, wait, now_);
}

void TreeScheduler::sendStarted(Command& command) {
  Entry& entry = entryFor(command);
  if (!std::exchange(entry.started, true)) {
    auto waited = waitEstimator_.commandStarted(entry.queuedCommand, now_);
    if (waitMeasured_ && waited)
      waitMeasured_(command, *entry.estimate, *waited);
  }
  tree_.sendStarted(entry.queuedCommand, now_);
}

void TreeScheduler::sendFinished(Command& command, double billed) {
  tree_.sendFinished(entryFor(command).queuedCommand, billed, now_);
}

void TreeScheduler::remove(Command& command) {
  auto found = entries_.find(&command);
  if (found == entries_.end())
    return;
  Entry& entry = *found->second;
  waitEstimator_.commandLeft(entry.queuedCommand);
  tree_.remove(entry.queuedCommand, now_);
  entriesByQueuedCommand_.erase(&entry.queuedCommand);
  entries_.erase(found);
}

bool TreeScheduler::isGuaranteed(Command& command) { return entryFor(command).queuedCommand.guaranteed; }

Preemption TreeScheduler::selectPreemption() {
  PreemptionVictim victim = tree_.selectVictim(now_);
  return {victim.command ? entriesByQueuedCommand_.at(victim.command)->command : nullptr, victim.cancel};
}

}  // namespace elmcleat::budget
