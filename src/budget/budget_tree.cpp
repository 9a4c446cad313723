#include "budget/budget_tree.h"

#include <algorithm>
#include <utility>

namespace elmcleat::budget {
namespace {

constexpr double kRateWindow = 3;             // seconds of departures that give a queue's rate
constexpr double kMinRateWindow = 1e-3;       // seconds
constexpr size_t kMinDepartures = 4;          // for a rate; kept even if they are older than the window
constexpr double kCoverageHorizon = 1;        // seconds of a guarantee that may cover queued work in advance
constexpr double kPreemptionInterval = 0.05;  // seconds between two preemptions
constexpr double kClaimDuration = 0.3;        // seconds for which a postponement justifies a preemption
constexpr double kGuaranteedRetryFactor = 0.5;  // of the drawn wait, for commands within a guarantee
// Leaves that draw side by side. With more of them each draws more rarely: a draw costs a look at every
// engine.
constexpr double kConcurrentDraws = 64;
// A leaf is postponed for longer by each command that it is ahead of its fair share, up to this many.
constexpr double kMaxCommandsAhead = 8;
constexpr double kMaxPostponement = 1;       // seconds, for borrowers, after all factors
constexpr double kCreditLimitDecay = 0.999;  // of agingCreditLimit_, per start
constexpr double kCreditLimitWork = 2;       // agingCreditLimit_ in times the largest recent work

}  // namespace

void DepartureRate::setBacklogged(double now, bool backlogged) {
  if (backlogged && backloggedSince_ < 0)
    backloggedSince_ = now;
  if (!backlogged && backloggedSince_ >= 0) {
    backloggedTime_ += now - backloggedSince_;
    backloggedSince_ = -1;
  }
}

double DepartureRate::rate(double now) const {
  size_t known = std::min(count_, kRecentCount);
  size_t used = 0;
  double work = 0;
  double oldest = 0;
  for (size_t i = 0; i < known; ++i) {  // newest first
    const Departure& departure = recent_[(count_ - 1 - i) % kRecentCount];
    if (used >= kMinDepartures && departure.time < now - kRateWindow)
      break;
    if (++used < known)
      work += departure.work;  // the oldest departure only marks the beginning of the interval
    oldest = departure.backlogClock;
  }
  return used >= kMinDepartures ? work / std::max(backlogClock(now) - oldest, kMinRateWindow) : 0;
}

BudgetTree::BudgetTree(const BudgetSettings& settings, double gatewayShare)
    : settings_(settings), gatewayShare_(gatewayShare), root_(std::make_unique<BudgetNode>()) {
  for (auto& entry : settings_.entries)
    entries_[entry.name] = &entry;
  for (auto& entry : settings_.entries)
    nodeAt(entry.name, nullptr);
}

std::string BudgetTree::pathOf(const std::vector<std::string>& names, size_t count) {
  std::string path;
  for (size_t i = 0; i < count; ++i) {
    if (i > 0)
      path += '/';
    if (i + 1 == names.size())
      path += ':';  // tells a profile from a user of the same name
    path += names[i];
  }
  return path;
}

const BudgetNode* BudgetTree::find(const std::string& path) const {
  auto found = nodes_.find(path);
  return found == nodes_.end() ? nullptr : found->second.get();
}

void BudgetTree::configure(BudgetNode& node, const NodeSettings& nodeSettings) {
  node.settings = nodeSettings;
  auto setRate = [&](TokenBucket& bucket, const std::optional<double>& cores) {
    bucket.rate = cores.value_or(0) * gatewayShare_;
    bucket.burst = nodeSettings.burst;
  };
  setRate(node.guarantee, nodeSettings.guarantee.cores);
  setRate(node.ceiling, nodeSettings.ceiling.cores);
  auto scaled = [&](const std::optional<double>& amount, double fallback) {
    return amount ? *amount * gatewayShare_ : fallback;
  };
  node.memoryGuarantee = scaled(nodeSettings.guarantee.memoryMb, 0);
  node.sendsGuarantee = scaled(nodeSettings.guarantee.sends, 0);
  node.memoryCeiling = scaled(nodeSettings.ceiling.memoryMb, HUGE_VAL);
  node.sendsCeiling = scaled(nodeSettings.ceiling.sends, HUGE_VAL);
}

// Returns the node of a path and creates it if needed, under `parent` unless its entry names another one.
BudgetNode& BudgetTree::nodeAt(const std::string& path, BudgetNode* parent) {
  if (auto found = nodes_.find(path); found != nodes_.end())
    return *found->second;
  auto entry = entries_.find(path);
  if (entry != entries_.end()) {
    const NodeEntry* parentEntry = parentOf(settings_, *entry->second);
    parent = parentEntry ? &nodeAt(parentEntry->name, nullptr) : root_.get();
  }
  auto& node = *(nodes_[path] = std::make_unique<BudgetNode>());
  node.path = path;
  node.id = ++nodeCount_;
  node.parent = parent;
  node.depth = parent->depth + 1;
  node.configured = entry != entries_.end();
  node.startTag = parent->virtualTime;
  NodeSettings nodeSettings = node.configured ? entry->second->settings : settings_.defaults;
  if (!node.configured && parent->parent) {  // nodes without an entry inherit the urgency of their parent
    nodeSettings.priority = parent->settings.priority;
    nodeSettings.agingThreshold = parent->settings.agingThreshold;
  }
  configure(node, nodeSettings);
  ++parent->children;
  parent->idleHook.unlink();
  return node;
}

// The node that stands in for nodes beyond maxNodes: one under the nearest ancestor with an entry, shared by
// all of them.
BudgetNode& BudgetTree::commonNode(BudgetNode* parent) {
  while (parent != root_.get() && !parent->configured)
    parent = parent->parent;
  return nodeAt(parent->path + "/*", parent);
}

BudgetNode& BudgetTree::leafFor(const std::vector<std::string>& names, double now) {
  std::vector<std::string> paths;
  BudgetNode* deepest = root_.get();  // of those that exist
  size_t missing = 0;
  for (size_t length = 1; length <= names.size(); ++length) {
    paths.push_back(pathOf(names, length));
    if (auto found = nodes_.find(paths.back()); found != nodes_.end())
      deepest = found->second.get();
    else
      ++missing;
  }
  if (missing == 0)
    return *deepest;
  ++deepest->commands;  // keeps it from being evicted to make room for its own children
  deepest->idleHook.unlink();
  bool room = true;
  while (room && nodes_.size() + missing > settings_.maxNodes)
    room = evictIdleNode(now);
  --deepest->commands;
  if (!room) {
    BudgetNode& substitute = commonNode(deepest);
    markIdleIfUnused(*deepest, now);
    return substitute;
  }
  BudgetNode* node = root_.get();
  for (auto& path : paths)
    node = &nodeAt(path, node);
  return *node;
}

// Evicts the node that has been idle longest, and the ancestors that this leaves unused. A node that is still
// in debt to its ceiling stays, or its debt would be forgotten. Returns false if no node can be evicted.
bool BudgetTree::evictIdleNode(double now) {
  for (auto& idle : idleNodes_) {
    if (idle.ceiling.rate > 0 && !idle.ceiling.hasCredit(now))
      continue;
    for (BudgetNode* node = &idle;
         node->parent && !node->configured && node->children == 0 && node->commands == 0;) {
      BudgetNode* parent = node->parent;
      node->changeHook.unlink();
      node->idleHook.unlink();
      --parent->children;
      nodes_.erase(std::string(node->path));
      node = parent;
      if (node->ceiling.rate > 0 && !node->ceiling.hasCredit(now)) {
        markIdleIfUnused(*node, now);
        break;
      }
    }
    return true;
  }
  return false;
}

void BudgetTree::markIdleIfUnused(BudgetNode& node, double now) {
  if (&node == root_.get() || node.configured || node.children > 0 || node.commands > 0)
    return;
  if (node.idleHook.is_linked())
    return;
  node.idleSince = now;
  idleNodes_.push_back(node);
}

void BudgetTree::evictExpired(double now) {
  while (!idleNodes_.empty() && idleNodes_.front().idleSince < now - settings_.idleTimeout)
    if (!evictIdleNode(now))
      break;
}

// --- what a node may start
bool BudgetTree::hasGuaranteeLeft(const BudgetNode& node, double now) const {
  if (node.guarantee.rate > 0)
    return node.guarantee.hasCredit(now);
  return (node.sendsGuarantee > 0 && node.sends < node.sendsGuarantee) ||
         (node.memoryGuarantee > 0 && node.memoryMb < node.memoryGuarantee);
}

// A node without running commands may start one however small its ceiling is: it goes into debt for it.
bool BudgetTree::isAtCeiling(const BudgetNode& node, double now) const {
  if (node.settings.ceiling.cores && !node.ceiling.hasCredit(now))
    return true;
  if (node.sends <= 0)
    return node.sendsCeiling <= 0 || node.memoryCeiling <= 0;
  if (node.sends >= node.sendsCeiling)
    return true;
  double nextMemoryMb = node.fifo.empty() ? 0 : node.fifo.front().memoryMb;
  return node.memoryMb + nextMemoryMb >= node.memoryCeiling;
}

// Updates the index entries of a node and of all its ancestors after a change.
void BudgetTree::refresh(BudgetNode& from, double now) {
  for (BudgetNode* node = &from; node; node = node->parent) {
    node->rankHook.unlink();
    node->agingDeadlineHook.unlink();
    node->tagHook.unlink();
    node->changeHook.unlink();
    node->changeAt = HUGE_VAL;
    node->ready = false;
    if (node->queued == 0)
      continue;
    bool postponed = !node->fifo.empty() && node->postponedUntil > now;
    bool atCeiling = isAtCeiling(*node, now);
    bool hasCandidate = node->fifo.empty() ? !node->byRank.empty() : !postponed;
    node->ready = hasCandidate && !atCeiling;
    if (!atCeiling && node->parent && (node->ready || postponed || !node->byTag.empty()))
      node->parent->byTag.insert(*node);
    // The node is refreshed again when its postponement or its debt ends.
    if (!node->fifo.empty() && postponed)
      node->changeAt = node->postponedUntil;
    if (atCeiling && node->ceiling.rate > 0 && node->ceiling.emptyAt > now)
      node->changeAt = node->ceiling.emptyAt;
    bool withinGuarantee = hasGuaranteeLeft(*node, now);
    if (node->ready && !withinGuarantee && node->guarantee.rate > 0)
      node->changeAt = std::min(node->changeAt, node->guarantee.emptyAt);
    if (node->changeAt < HUGE_VAL)
      timedChanges_.insert(*node);
    if (!node->ready)
      continue;
    // A guarantee of a descendant ranks its ancestors too.
    const BudgetNode* first = node->fifo.empty() ? &*node->byRank.begin() : nullptr;
    bool guaranteedBelow = first && std::get<0>(first->rank) == 0;
    if (withinGuarantee || guaranteedBelow)
      node->rank = {0, 0, withinGuarantee ? node->guarantee.emptyAt : std::get<2>(first->rank), node->id};
    else
      node->rank = {1, -node->settings.priority, node->startTag, node->id};
    node->agingDeadline = first ? node->byAgingDeadline.begin()->agingDeadline
                                : node->fifo.front().queuedSince + node->settings.agingThreshold;
    if (!node->parent)
      continue;
    node->parent->byRank.insert(*node), node->parent->byAgingDeadline.insert(*node);
  }
}

void BudgetTree::refreshDue(double now) {
  while (!timedChanges_.empty() && timedChanges_.begin()->changeAt <= now)
    refresh(*timedChanges_.begin(), now);
}

// --- commands
void BudgetTree::add(QueuedCommand& command, double now) {
  command.arrivalNumber = ++arrivalCount_;
  command.queuedSince = now;
  command.leaf = &leafFor(command.path, now);
  command.leaf->idleHook.unlink();
  ++command.leaf->commands;
  positions_[&command] = commands_.size();
  commands_.push_back(&command);
  evictExpired(now);
}

void BudgetTree::enqueue(QueuedCommand& command, bool again, double now) {
  BudgetNode& leaf = *command.leaf;
  for (BudgetNode* node = &leaf; node->parent; node = node->parent) {
    if (node->queued > 0)
      break;
    node->startTag =
        std::max(node->startTag, node->parent->virtualTime);  // an idle queue accumulates no credit
  }
  for (BudgetNode* node = &leaf; node; node = node->parent) {
    ++node->queued;
    node->queuedWork += command.work;
    node->departures.setBacklogged(now, true);
  }
  command.guaranteed = false;
  for (BudgetNode* node = &leaf; node && !command.guaranteed; node = node->parent)
    command.guaranteed = guaranteeCovers(*node, now);
  if (again)
    leaf.fifo.push_front(command);
  else
    leaf.fifo.push_back(command);
  command.queued = true;
  refresh(leaf, now);
}

void BudgetTree::dequeue(QueuedCommand& command, double now) {
  if (!std::exchange(command.queued, false))
    return;
  command.fifoHook.unlink();
  for (BudgetNode* node = command.leaf; node; node = node->parent) {
    --node->queued;
    node->queuedWork = node->queued ? std::max(0.0, node->queuedWork - command.work) : 0;
    node->departures.departed(now, command.work);
    if (node->queued == 0)
      node->departures.setBacklogged(now, false);
  }
  refresh(*command.leaf, now);
}

QueuedCommand* BudgetTree::selectNext(double now) {
  refreshDue(now);
  selectedByAge_ = nullptr;
  if (root_->byRank.empty())
    return nullptr;
  BudgetNode* node = root_.get();
  // Aging: the oldest command comes first while there is credit for it.
  if (agingCredit_ >= 0 && root_->byAgingDeadline.begin()->agingDeadline <= now) {
    while (node->fifo.empty())
      node = &*node->byAgingDeadline.begin();
    selectedByAge_ = &node->fifo.front();
    return &node->fifo.front();
  }
  // Borrowers do not draw for engines that a guaranteed command is drawing for: otherwise chance, not the
  // guarantee, would divide them.
  if (std::get<0>(root_->byRank.begin()->rank) == 1 && now < borrowersYieldUntil_)
    return nullptr;
  while (node->fifo.empty())
    node = &*node->byRank.begin();
  return &node->fifo.front();
}

// A command within a guarantee draws again soon, and borrowers yield to it, but not for long: the engine that
// it waits for may be one that no other command wants. A borrower that is ahead of its fair share draws
// later.
void BudgetTree::postpone(QueuedCommand& command, double wait, double now) {
  BudgetNode& leaf = *command.leaf;
  bool guaranteedNow = isWithinGuarantee(command, now);
  if (guaranteedNow) {
    wait *= kGuaranteedRetryFactor;
    if (leaf.yieldingSince < 0)
      leaf.yieldingSince = now;
    if (now < leaf.yieldingSince + settings_.borrowerYieldTime)
      borrowersYieldUntil_ = std::max(borrowersYieldUntil_, now + wait);
  } else {
    double ahead = 0;  // work beyond the fair share
    for (BudgetNode* node = &leaf; node->parent; node = node->parent)
      if (!node->parent->byTag.empty())
        ahead =
            std::max(ahead, (node->startTag - node->parent->byTag.begin()->startTag) * node->settings.weight);
    // 1e-6 avoids a division by 0.
    wait *= 1 + std::clamp(ahead / std::max(command.work, 1e-6) - 1, 0.0, kMaxCommandsAhead);
    wait *= std::max(1.0, double(std::min(nodes_.size(), root_->queued)) / kConcurrentDraws);
    wait = std::min(wait, kMaxPostponement);
  }
  // Only the strongest claim is kept: a guarantee before borrowing, then the higher priority.
  bool mayPreempt = now >= command.queuedSince + settings_.preemptionDelay;
  bool stronger =
      guaranteedNow != claimGuaranteed_ ? guaranteedNow : leaf.settings.priority >= claimPriority_;
  if (mayPreempt && (now >= claimUntil_ || stronger)) {
    claimGuaranteed_ = guaranteedNow;
    claimPriority_ = leaf.settings.priority;
    claimUntil_ = now + kClaimDuration;
  }
  leaf.postponedUntil = now + wait;
  refresh(leaf, now);
}

void BudgetTree::sendStarted(QueuedCommand& command, double now) {
  bool aged = std::exchange(selectedByAge_, nullptr) == &command;
  agingCreditLimit_ = std::max(agingCreditLimit_ * kCreditLimitDecay, kCreditLimitWork * command.work);
  if (aged)
    agingCredit_ -= command.work;
  else
    agingCredit_ = std::min(agingCredit_ + command.work * settings_.agedShare / (1 - settings_.agedShare),
                            agingCreditLimit_);
  command.running = true;
  command.startedAt = now;
  command.payingGuarantees = 0;
  command.priority = command.leaf->settings.priority;
  command.leaf->yieldingSince = -1;
  uint32_t levelBit = 1;  // of payingGuarantees
  for (BudgetNode* node = command.leaf; node; node = node->parent, levelBit <<= 1) {
    if (hasGuaranteeLeft(*node, now)) {
      command.payingGuarantees |= levelBit;
      node->guarantee.charge(now, command.work);
    } else if (command.payingGuarantees == 0 && node->parent) {  // borrowed up to this level
      auto& tags = node->parent->byTag;
      double least = tags.empty() ? node->startTag : std::min(node->startTag, tags.begin()->startTag);
      node->parent->virtualTime = std::max(node->parent->virtualTime, least);
      node->startTag += command.work / node->settings.weight;
    }
    node->ceiling.charge(now, command.work);
    node->memoryMb += command.memoryMb;
    node->sends += 1;
  }
  if (command.payingGuarantees == 0)
    borrowed_.insert(command);
  else
    borrowersYieldUntil_ = -HUGE_VAL;
  refresh(*command.leaf, now);
}

// The difference between the billed and the estimated work is charged, or refunded, to the nodes that paid
// for it.
void BudgetTree::sendFinished(QueuedCommand& command, double billed, double now) {
  if (!std::exchange(command.running, false))
    return;
  command.borrowedHook.unlink();
  double difference = billed > 0 ? billed - command.work : 0;
  uint32_t levelBit = 1;  // of payingGuarantees
  bool paid = false;
  for (BudgetNode* node = command.leaf; node; node = node->parent, levelBit <<= 1) {
    node->memoryMb = std::max(0.0, node->memoryMb - command.memoryMb);
    node->sends -= 1;
    if (command.payingGuarantees & levelBit) {
      node->guarantee.charge(now, difference);
      paid = true;
    } else if (!paid && node->parent)
      node->startTag += difference / node->settings.weight;
    node->ceiling.charge(now, difference);
  }
  if (billed > 0)
    command.work = billed;
  refresh(*command.leaf, now);
}

void BudgetTree::remove(QueuedCommand& command, double now) {
  auto found = positions_.find(&command);
  if (found == positions_.end())
    return;
  dequeue(command, now);
  sendFinished(command, 0, now);
  size_t position = found->second;
  commands_[position] = commands_.back();  // the last one takes its position
  positions_[commands_[position]] = position;
  commands_.pop_back();
  positions_.erase(&command);
  --command.leaf->commands;
  markIdleIfUnused(*command.leaf, now);
  command.leaf = nullptr;
}

bool BudgetTree::isWithinGuarantee(const QueuedCommand& command, double now) const {
  for (const BudgetNode* node = command.leaf; node; node = node->parent)
    if (hasGuaranteeLeft(*node, now))
      return true;
  return false;
}

bool BudgetTree::guaranteeCovers(const BudgetNode& node, double now) const {
  if (node.guarantee.rate > 0)
    return node.queuedWork <= node.guarantee.balance(now) + kCoverageHorizon * node.guarantee.rate;
  return node.sendsGuarantee > 0 && double(node.queued) + node.sends <= node.sendsGuarantee;
}

PreemptionVictim BudgetTree::selectVictim(double now) {
  if (settings_.preemptionMode == PreemptionMode::off || now >= claimUntil_ ||
      now < lastPreemption_ + kPreemptionInterval)
    return {};
  if (borrowed_.empty())
    return {};
  QueuedCommand& first = *borrowed_.begin();
  if (!claimGuaranteed_ && first.priority >= claimPriority_)
    return {};
  first.borrowedHook.unlink();
  lastPreemption_ = now;
  return {&first, settings_.preemptionMode == PreemptionMode::cancel};
}

double BudgetTree::nextWakeUp(double now) const {
  double wakeUp = timedChanges_.empty() ? HUGE_VAL : timedChanges_.begin()->changeAt;
  if (!root_->byRank.empty())
    wakeUp = std::min(wakeUp, std::max(borrowersYieldUntil_, now));
  return wakeUp;
}

void BudgetTree::setRate(const std::string& path, bool ceiling, double cores, double now) {
  auto found = nodes_.find(path);
  if (found == nodes_.end())
    return;
  TokenBucket& bucket = ceiling ? found->second->ceiling : found->second->guarantee;
  if (bucket.rate > 0 && cores > 0)
    bucket.emptyAt = now - bucket.balance(now) / cores;
  bucket.rate = cores;
  refresh(*found->second, now);
}

// Builds a new tree and takes it over. Queued commands are assigned to their leaves in the order of arrival;
// running commands are not charged again. Buckets of nodes that exist in both trees keep their credit or
// debt.
void BudgetTree::reconfigure(const BudgetSettings& settings, double gatewayShare, double now) {
  BudgetTree next(settings, gatewayShare);
  for (auto& [path, node] : nodes_) {
    if (!next.nodes_.contains(path))
      continue;
    BudgetNode& nextNode = *next.nodes_[path];
    nextNode.guarantee.emptyAt = node->guarantee.emptyAt;
    nextNode.ceiling.emptyAt = node->ceiling.emptyAt;
  }
  std::ranges::sort(commands_, {}, [](QueuedCommand* command) { return command->arrivalNumber; });
  for (QueuedCommand* command : commands_) {
    bool wasQueued = command->queued;
    bool wasRunning = command->running;
    double queuedSince = command->queuedSince;
    uint64_t arrivalNumber = command->arrivalNumber;
    command->fifoHook.unlink();
    command->borrowedHook.unlink();
    command->running = false;
    command->queued = false;
    next.add(*command, now);
    command->queuedSince = queuedSince;
    command->arrivalNumber = arrivalNumber;
    if (wasQueued)
      next.enqueue(*command, false, now);
    if (!wasRunning)
      continue;
    command->running = true;
    if (command->payingGuarantees == 0)
      next.borrowed_.insert(*command);
    command->payingGuarantees = 0;
    for (BudgetNode* node = command->leaf; node; node = node->parent) {
      node->memoryMb += command->memoryMb;
      node->sends += 1;
    }
    next.refresh(*command->leaf, now);
  }
  next.arrivalCount_ = arrivalCount_;
  settings_ = settings;
  gatewayShare_ = gatewayShare;
  entries_.clear();
  for (auto& entry : settings_.entries)
    entries_[entry.name] = &entry;
  timedChanges_.clear();
  idleNodes_.clear();
  nodes_.swap(next.nodes_);
  root_.swap(next.root_);
  timedChanges_.swap(next.timedChanges_);
  idleNodes_.swap(next.idleNodes_);
  borrowed_.swap(next.borrowed_);
  commands_.swap(next.commands_);
  positions_.swap(next.positions_);
  std::swap(nodeCount_, next.nodeCount_);
  next.commands_.clear();
  selectedByAge_ = nullptr;
  borrowersYieldUntil_ = -HUGE_VAL;
}

}  // namespace elmcleat::budget
