#include "budget/office.h"

#include <utility>

namespace elmcleat::budget {
namespace {

// What has been asked for of late is asked for again: who lends it away at each lull has to borrow it back.
constexpr double kLong = 10;  // seconds

}  // namespace

Office::Office(const Plan& plan, int gateways)
    : tree_(plan, 1.0 / std::max(1, gateways)), part_(1.0 / std::max(1, gateways)) {}

void Office::change(const Plan& plan) { tree_.change(plan, part_, now_); }

void Office::share(std::vector<shared::Usable> usable) {
  if (!shared_) {
    shared_ = std::make_unique<Shared>();
    shared_->rates = fleetRates(tree_.plan());
    shared_->inForce.assign(shared_->rates.size(), -1),
        shared_->asked.assign(shared_->rates.size(), SlidingWindowSum(1));
    shared_->askedLong.assign(shared_->rates.size(), SlidingWindowSum(kLong));
    for (size_t i = 0; i < shared_->rates.size(); ++i)
      shared_->byPath[shared_->rates[i].path].push_back(i);
  }
  shared_->usable = std::move(usable);
  apply();
}

void Office::apply() {
  shared_->changesAt = HUGE_VAL;
  for (size_t i = 0; i < shared_->usable.size(); ++i) {
    for (auto& [until, units] : shared_->usable[i].borrowed)
      if (until > now_)
        shared_->changesAt = std::min(shared_->changesAt, until);
    double cores = shared_->usable[i].at(now_);
    if (std::exchange(shared_->inForce[i], cores) != cores)
      tree_.rate(shared_->rates[i].path, shared_->rates[i].ceiling, cores, now_);
  }
}

std::vector<double> Office::wants() {
  std::vector<double> wants;
  for (size_t i = 0; shared_ && i < shared_->rates.size(); ++i) {
    const Node* node = tree_.find(shared_->rates[i].path);
    double usual = shared_->askedLong[i].upperBound(now_) / kLong, putBy = 0, held = 0;
    if (node)
      putBy = (shared_->rates[i].ceiling ? node->cap : node->right).work(now_), held = node->heldWork;
    wants.push_back(usual + std::max(held + shared_->asked[i].upperBound(now_) - putBy, 0.0));
  }
  return wants;
}

std::optional<Estimate> Office::told(const Command& command) const {
  auto found = entries_.find(&command);
  return found == entries_.end() ? std::nullopt : found->second->told;
}

Estimate Office::again(const Command& command) const {
  auto found = entries_.find(&command);
  return found == entries_.end() ? Estimate{} : waits_.would(found->second->item, now_);
}

void Office::advanceTo(double now) {
  now_ = std::max(now_, now);  // a clock that steps back is not followed
  waits_.at(now_);
  if (shared_ && now_ >= shared_->changesAt)
    apply();
}

void Office::add(Command& command, const Arrival& arrival) {
  auto& entry = *(entries_[&command] = std::make_unique<Entry>());
  entry.command = &command;
  entry.item.actor.push_back(arrival.tenant.empty() ? "-" : arrival.tenant);
  for (auto& user : arrival.users)
    entry.item.actor.push_back(user);
  entry.item.actor.push_back(arrival.profile);
  items_[&entry.item] = &entry;
  tree_.take(entry.item, now_);
}

void Office::enqueue(Command& command, double work, double memoryMb, bool again) {
  Entry& entry = entryOf(command);
  entry.item.work = work, entry.item.memoryMb = memoryMb;
  if (!entry.told && !entry.begun)
    entry.told = waits_.arrives(entry.item, now_);
  tree_.hold(entry.item, again, now_);
  for (Node* node = shared_ && !again ? entry.item.leaf : nullptr; node; node = node->parent)
    if (auto rates = shared_->byPath.find(node->path); rates != shared_->byPath.end())
      for (size_t i : rates->second)
        shared_->asked[i].add(now_, work), shared_->askedLong[i].add(now_, work);
}

void Office::dequeue(Command& command) { tree_.unhold(entryOf(command).item, now_); }

Command* Office::selectNext() {
  Item* item = tree_.next(now_);
  return item ? items_.at(item)->command : nullptr;
}

void Office::postpone(Command& command, double wait) { tree_.lost(entryOf(command).item, wait, now_); }

void Office::sendStarted(Command& command) {
  Entry& entry = entryOf(command);
  if (!std::exchange(entry.begun, true)) {
    auto held = waits_.started(entry.item, now_);
    if (hear_ && held)
      hear_(command, *entry.told, *held);
  }
  tree_.started(entry.item, now_);
}

void Office::sendFinished(Command& command, double billed) {
  tree_.ended(entryOf(command).item, billed, now_);
}

void Office::remove(Command& command) {
  auto found = entries_.find(&command);
  if (found == entries_.end())
    return;
  Entry& entry = *found->second;
  waits_.left(entry.item);
  tree_.forget(entry.item, now_);
  items_.erase(&entry.item);
  entries_.erase(found);
}

bool Office::isGuaranteed(Command& command) { return entryOf(command).item.covered; }

Preemption Office::selectPreemption() {
  Victim victim = tree_.victim(now_);
  return {victim.item ? items_.at(victim.item)->command : nullptr, victim.cancel};
}

}  // namespace elmcleat::budget
