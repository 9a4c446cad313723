#include "budget/budget_tree.h"

#include <algorithm>
#include <utility>

namespace elmcleat::budget {
namespace {

constexpr double kDrainSpan = 3, kLeastSpan = 1e-3;  // seconds that tell how fast a queue goes
constexpr double kSoon = 1;                          // seconds of a guarantee that cover what is held
constexpr double kVictimEvery = 0.05;                // seconds between two that give way
constexpr double kClaimLasts = 0.3;                  // seconds for which a lost draw stands for a claim
constexpr double kEntitledWait = 0.5;                // of the drawn wait, for who is within its guarantee
constexpr double kDraws = 64;       // leaves that draw side by side; more draw rarer: a draw costs a look at
                                    // every engine
constexpr double kMostAhead = 8;    // commands ahead of its share that make a leaf draw later
constexpr double kLongestWait = 1;  // seconds until a leaf draws again, whatever stretches it

}  // namespace

void DepartureRate::setBacklogged(double now, bool holds) {
  if (holds && since_ < 0)
    since_ = now;
  if (!holds && since_ >= 0)
    spent_ += now - since_, since_ = -1;
}

double DepartureRate::rate(double now) const {
  size_t seen = std::min(count_, kKept), used = 0;
  double work = 0, oldest = 0;
  for (size_t i = 0; i < seen; ++i) {  // newest first
    const Departure& one = last_[(count_ - 1 - i) % kKept];
    if (used > 3 && one.at < now - kDrainSpan)
      break;
    if (++used < seen)
      work += one.work;  // what left at the span's beginning left before it
    oldest = one.clock;
  }
  return used >= 4 ? work / std::max(clock(now) - oldest, kLeastSpan) : 0;
}

BudgetTree::BudgetTree(const BudgetSettings& settings, double part)
    : settings_(settings), gatewayShare_(part), root_(std::make_unique<BudgetNode>()) {
  for (auto& entry : settings_.entries)
    entries_[entry.name] = &entry;
  for (auto& entry : settings_.entries)
    nodeAt(entry.name, nullptr);
}

std::string BudgetTree::pathOf(const std::vector<std::string>& actor, size_t words) {
  std::string path;
  for (size_t i = 0; i < words; ++i) {
    if (i > 0)
      path += '/';
    if (i + 1 == actor.size())
      path += ':';  // a profile never is taken for a user of its name
    path += actor[i];
  }
  return path;
}

const BudgetNode* BudgetTree::find(const std::string& path) const {
  auto found = nodes_.find(path);
  return found == nodes_.end() ? nullptr : found->second.get();
}

void BudgetTree::configure(BudgetNode& node, const NodeSettings& nodeSettings) {
  node.settings = nodeSettings;
  auto rate = [&](TokenBucket& bucket, const std::optional<double>& cores) {
    bucket.rate = cores.value_or(0) * gatewayShare_, bucket.burst = nodeSettings.burst;
  };
  rate(node.guarantee, nodeSettings.guarantee.cores), rate(node.ceiling, nodeSettings.ceiling.cores);
  auto scaled = [&](const std::optional<double>& amount, double otherwise) {
    return amount ? *amount * gatewayShare_ : otherwise;
  };
  node.memoryGuarantee = scaled(nodeSettings.guarantee.memoryMb, 0),
  node.sendsGuarantee = scaled(nodeSettings.guarantee.sends, 0);
  node.memoryCeiling = scaled(nodeSettings.ceiling.memoryMb, HUGE_VAL);
  node.sendsCeiling = scaled(nodeSettings.ceiling.sends, HUGE_VAL);
}

// The node of a path. `above`: its parent, unless an entry says another.
BudgetNode& BudgetTree::nodeAt(const std::string& path, BudgetNode* above) {
  if (auto found = nodes_.find(path); found != nodes_.end())
    return *found->second;
  auto entry = entries_.find(path);
  if (entry != entries_.end()) {
    const NodeEntry* over = parentOf(settings_, *entry->second);
    above = over ? &nodeAt(over->name, nullptr) : root_.get();
  }
  auto& node = *(nodes_[path] = std::make_unique<BudgetNode>());
  node.path = path, node.id = ++nodeCount_, node.parent = above, node.depth = above->depth + 1;
  node.configured = entry != entries_.end();
  node.startTag = above->virtualTime;
  NodeSettings nodeSettings = node.configured ? entry->second->settings : settings_.defaults;
  if (!node.configured && above->parent)  // what has no entry is as urgent as what it belongs to
    nodeSettings.priority = above->settings.priority,
    nodeSettings.agingThreshold = above->settings.agingThreshold;
  configure(node, nodeSettings);
  ++above->children, above->idleHook.unlink();
  return node;
}

// Without room for more nodes, those that would get one share one under the nearest node with an entry.
BudgetNode& BudgetTree::common(BudgetNode* above) {
  while (above != root_.get() && !above->configured)
    above = above->parent;
  return nodeAt(above->path + "/*", above);
}

BudgetNode& BudgetTree::leafFor(const std::vector<std::string>& actor, double now) {
  std::vector<std::string> paths;
  BudgetNode* known = root_.get();
  size_t missing = 0;
  for (size_t words = 1; words <= actor.size(); ++words) {
    paths.push_back(pathOf(actor, words));
    if (auto found = nodes_.find(paths.back()); found != nodes_.end())
      known = found->second.get();
    else
      ++missing;
  }
  if (missing == 0)
    return *known;
  ++known->commands, known->idleHook.unlink();  // it must not go to make room for its own
  bool room = true;
  while (room && nodes_.size() + missing > settings_.maxNodes)
    room = evictIdleNode(now);
  --known->commands;
  if (!room) {
    BudgetNode& shared = common(known);
    idleIfUnused(*known, now);
    return shared;
  }
  BudgetNode* at = root_.get();
  for (auto& path : paths)
    at = &nodeAt(path, at);
  return *at;
}

// The longest idle node goes, unless it still owes what it took beyond its ceiling, and what it leaves empty above.
bool BudgetTree::evictIdleNode(double now) {
  for (auto& node : idle_) {
    if (node.ceiling.rate > 0 && !node.ceiling.hasCredit(now))
      continue;
    for (BudgetNode* at = &node; at->parent && !at->configured && at->children == 0 && at->commands == 0;) {
      BudgetNode* parent = at->parent;
      at->changeHook.unlink(), at->idleHook.unlink();
      --parent->children;
      nodes_.erase(std::string(at->path));
      at = parent;
      if (at->ceiling.rate > 0 && !at->ceiling.hasCredit(now)) {
        idleIfUnused(*at, now);
        break;
      }
    }
    return true;
  }
  return false;
}

void BudgetTree::idleIfUnused(BudgetNode& node, double now) {
  if (&node == root_.get() || node.configured || node.children > 0 || node.commands > 0)
    return;
  if (node.idleHook.is_linked())
    return;
  node.idleSince = now;
  idle_.push_back(node);
}

void BudgetTree::dropIdle(double now) {
  while (!idle_.empty() && idle_.front().idleSince < now - settings_.idleTimeout)
    if (!evictIdleNode(now))
      break;
}

// --- what a node may do
bool BudgetTree::entitled(const BudgetNode& node, double now) const {
  if (node.guarantee.rate > 0)
    return node.guarantee.hasCredit(now);
  return (node.sendsGuarantee > 0 && node.sends < node.sendsGuarantee) ||
         (node.memoryGuarantee > 0 && node.memoryMb < node.memoryGuarantee);
}

// One that uses nothing may start one command, however small its ceiling: it pays for it afterwards.
bool BudgetTree::blocked(const BudgetNode& node, double now) const {
  if (node.settings.ceiling.cores && !node.ceiling.hasCredit(now))
    return true;
  if (node.sends <= 0)
    return node.sendsCeiling <= 0 || node.memoryCeiling <= 0;
  if (node.sends >= node.sendsCeiling)
    return true;
  double next = node.fifo.empty() ? 0 : node.fifo.front().memoryMb;
  return node.memoryMb + next >= node.memoryCeiling;
}

// Files a node anew after a change, and those above it.
void BudgetTree::refresh(BudgetNode& from, double now) {
  for (BudgetNode* node = &from; node; node = node->parent) {
    node->rankHook.unlink(), node->agingDeadlineHook.unlink(), node->tagHook.unlink(),
        node->changeHook.unlink();
    node->changeAt = HUGE_VAL;
    node->ready = false;
    if (node->queued == 0)
      continue;
    bool asleep = !node->fifo.empty() && node->postponedUntil > now, shut = blocked(*node, now);
    bool any = node->fifo.empty() ? !node->byRank.empty() : !asleep;
    node->ready = any && !shut;
    if (!shut && node->parent && (node->ready || asleep || !node->byTag.empty()))
      node->parent->byTag.insert(*node);
    if (!node->fifo.empty() && asleep)
      node->changeAt = node->postponedUntil;
    if (shut && node->ceiling.rate > 0 && node->ceiling.emptyAt > now)
      node->changeAt = node->ceiling.emptyAt;
    bool own = entitled(*node, now);
    if (node->ready && !own && node->guarantee.rate > 0)
      node->changeAt = std::min(node->changeAt, node->guarantee.emptyAt);
    if (node->changeAt < HUGE_VAL)
      changes_.insert(*node);
    if (!node->ready)
      continue;
    const BudgetNode* first = node->fifo.empty() ? &*node->byRank.begin() : nullptr;
    bool through = first && std::get<0>(first->rank) == 0;
    if (own || through)
      node->rank = {0, 0, own ? node->guarantee.emptyAt : std::get<2>(first->rank), node->id};
    else
      node->rank = {1, -node->settings.priority, node->startTag, node->id};
    node->agingDeadline = first ? node->byAgingDeadline.begin()->agingDeadline
                                : node->fifo.front().queuedSince + node->settings.agingThreshold;
    if (!node->parent)
      continue;
    node->parent->byRank.insert(*node), node->parent->byAgingDeadline.insert(*node);
  }
}

void BudgetTree::advance(double now) {
  while (!changes_.empty() && changes_.begin()->changeAt <= now)
    refresh(*changes_.begin(), now);
}

// --- commands
void BudgetTree::add(QueuedCommand& item, double now) {
  item.arrivalNumber = ++itemCount_, item.queuedSince = now;
  item.leaf = &leafFor(item.path, now);
  item.leaf->idleHook.unlink(), ++item.leaf->commands;
  places_[&item] = items_.size();
  items_.push_back(&item);
  dropIdle(now);
}

void BudgetTree::enqueue(QueuedCommand& item, bool again, double now) {
  BudgetNode& leaf = *item.leaf;
  for (BudgetNode* node = &leaf; node->parent; node = node->parent) {
    if (node->queued > 0)
      break;
    node->startTag = std::max(node->startTag, node->parent->virtualTime);  // an empty queue keeps no credit
  }
  for (BudgetNode* node = &leaf; node; node = node->parent)
    ++node->queued, node->queuedWork += item.work, node->departures.setBacklogged(now, true);
  item.guaranteed = false;
  for (BudgetNode* node = &leaf; node && !item.guaranteed; node = node->parent)
    item.guaranteed = guaranteeCovers(*node, now);
  if (again)
    leaf.fifo.push_front(item);
  else
    leaf.fifo.push_back(item);
  item.queued = true;
  refresh(leaf, now);
}

void BudgetTree::dequeue(QueuedCommand& item, double now) {
  if (!std::exchange(item.queued, false))
    return;
  item.fifoHook.unlink();
  for (BudgetNode* node = item.leaf; node; node = node->parent) {
    --node->queued, node->queuedWork = node->queued ? std::max(0.0, node->queuedWork - item.work) : 0;
    node->departures.departed(now, item.work);
    if (node->queued == 0)
      node->departures.setBacklogged(now, false);
  }
  refresh(*item.leaf, now);
}

QueuedCommand* BudgetTree::selectNext(double now) {
  advance(now);
  byAge_ = nullptr;
  if (root_->byRank.empty())
    return nullptr;
  BudgetNode* at = root_.get();
  if (lane_ >= 0 && root_->byAgingDeadline.begin()->agingDeadline <= now) {
    while (at->fifo.empty())
      at = &*at->byAgingDeadline.begin();
    byAge_ = &at->fifo.front();
    return &at->fifo.front();
  }
  // Places that a guarantee draws for are not drawn for by who borrows: else chance, not right, shares them out.
  if (std::get<0>(root_->byRank.begin()->rank) == 1 && now < yieldUntil_)
    return nullptr;
  while (at->fifo.empty())
    at = &*at->byRank.begin();
  return &at->fifo.front();
}

// Who is within its guarantee draws again soon, and who borrows lets it, but not for long: what it waits for may be
// a place that nobody else wants. Who is ahead of its share by weight draws later.
void BudgetTree::postpone(QueuedCommand& item, double wait, double now) {
  BudgetNode& leaf = *item.leaf;
  bool entitledNow = isWithinGuarantee(item, now);
  if (entitledNow) {
    wait *= kEntitledWait;
    if (leaf.yieldingSince < 0)
      leaf.yieldingSince = now;
    if (now < leaf.yieldingSince + settings_.borrowerYieldTime)
      yieldUntil_ = std::max(yieldUntil_, now + wait);
  } else {
    double ahead = 0;  // in commands, of the share by weight
    for (BudgetNode* node = &leaf; node->parent; node = node->parent)
      if (!node->parent->byTag.empty())
        ahead =
            std::max(ahead, (node->startTag - node->parent->byTag.begin()->startTag) * node->settings.weight);
    wait *= 1 + std::clamp(ahead / std::max(item.work, 1e-6) - 1, 0.0, kMostAhead);
    wait *= std::max(1.0, double(std::min(nodes_.size(), root_->queued)) / kDraws);
    wait = std::min(wait, kLongestWait);
  }
  bool old = now >= item.queuedSince + settings_.preemptionDelay;
  bool stronger = entitledNow != claimEntitled_ ? entitledNow : leaf.settings.priority >= claimPriority_;
  if (old && (now >= claimUntil_ || stronger))
    claimEntitled_ = entitledNow, claimPriority_ = leaf.settings.priority, claimUntil_ = now + kClaimLasts;
  leaf.postponedUntil = now + wait;
  refresh(leaf, now);
}

void BudgetTree::sendStarted(QueuedCommand& item, double now) {
  bool aged = std::exchange(byAge_, nullptr) == &item;
  laneMost_ = std::max(laneMost_ * 0.999, 2 * item.work);
  if (aged)
    lane_ -= item.work;
  else
    lane_ = std::min(lane_ + item.work * settings_.agedShare / (1 - settings_.agedShare), laneMost_);
  item.running = true, item.startedAt = now, item.payingGuarantees = 0,
  item.priority = item.leaf->settings.priority;
  item.leaf->yieldingSince = -1;
  uint32_t level = 1;
  for (BudgetNode* node = item.leaf; node; node = node->parent, level <<= 1) {
    if (entitled(*node, now))
      item.payingGuarantees |= level, node->guarantee.charge(now, item.work);
    else if (item.payingGuarantees == 0 && node->parent) {
      auto& tags = node->parent->byTag;
      double least = tags.empty() ? node->startTag : std::min(node->startTag, tags.begin()->startTag);
      node->parent->virtualTime = std::max(node->parent->virtualTime, least);
      node->startTag += item.work / node->settings.weight;
    }
    node->ceiling.charge(now, item.work);
    node->memoryMb += item.memoryMb, node->sends += 1;
  }
  if (item.payingGuarantees == 0)
    borrowed_.insert(item);
  else
    yieldUntil_ = -HUGE_VAL;
  refresh(*item.leaf, now);
}

// What it cost beside what was reckoned is charged, or paid back, to whoever paid for it.
void BudgetTree::sendFinished(QueuedCommand& item, double billed, double now) {
  if (!std::exchange(item.running, false))
    return;
  item.borrowedHook.unlink();
  double more = billed > 0 ? billed - item.work : 0;
  uint32_t level = 1;
  bool paid = false;
  for (BudgetNode* node = item.leaf; node; node = node->parent, level <<= 1) {
    node->memoryMb = std::max(0.0, node->memoryMb - item.memoryMb), node->sends -= 1;
    if (item.payingGuarantees & level)
      node->guarantee.charge(now, more), paid = true;
    else if (!paid && node->parent)
      node->startTag += more / node->settings.weight;
    node->ceiling.charge(now, more);
  }
  if (billed > 0)
    item.work = billed;
  refresh(*item.leaf, now);
}

void BudgetTree::remove(QueuedCommand& item, double now) {
  auto place = places_.find(&item);
  if (place == places_.end())
    return;
  dequeue(item, now);
  sendFinished(item, 0, now);
  size_t at = place->second;
  items_[at] = items_.back(), places_[items_[at]] = at;
  items_.pop_back(), places_.erase(&item);
  --item.leaf->commands, idleIfUnused(*item.leaf, now);
  item.leaf = nullptr;
}

bool BudgetTree::isWithinGuarantee(const QueuedCommand& item, double now) const {
  for (const BudgetNode* node = item.leaf; node; node = node->parent)
    if (entitled(*node, now))
      return true;
  return false;
}

bool BudgetTree::guaranteeCovers(const BudgetNode& node, double now) const {
  if (node.guarantee.rate > 0)
    return node.queuedWork <= node.guarantee.balance(now) + kSoon * node.guarantee.rate;
  return node.sendsGuarantee > 0 && double(node.queued) + node.sends <= node.sendsGuarantee;
}

PreemptionVictim BudgetTree::selectVictim(double now) {
  if (settings_.preemptionMode == PreemptionMode::off || now >= claimUntil_ ||
      now < lastVictim_ + kVictimEvery)
    return {};
  if (borrowed_.empty())
    return {};
  QueuedCommand& first = *borrowed_.begin();
  if (!claimEntitled_ && first.priority >= claimPriority_)
    return {};
  first.borrowedHook.unlink();
  lastVictim_ = now;
  return {&first, settings_.preemptionMode == PreemptionMode::cancel};
}

double BudgetTree::nextWakeUp(double now) const {
  double at = changes_.empty() ? HUGE_VAL : changes_.begin()->changeAt;
  if (!root_->byRank.empty())
    at = std::min(at, std::max(yieldUntil_, now));
  return at;
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

// The tree is made anew: what is held finds its leaf in the order of arrival, what is out is charged no second time.
// Buckets of nodes that stay keep what they owe.
void BudgetTree::reconfigure(const BudgetSettings& settings, double part, double now) {
  BudgetTree made(settings, part);
  for (auto& [path, node] : nodes_) {
    if (!made.nodes_.contains(path))
      continue;
    BudgetNode& same = *made.nodes_[path];
    same.guarantee.emptyAt = node->guarantee.emptyAt, same.ceiling.emptyAt = node->ceiling.emptyAt;
  }
  std::ranges::sort(items_, {}, [](QueuedCommand* item) { return item->arrivalNumber; });
  for (QueuedCommand* item : items_) {
    bool wasHeld = item->queued, wasOut = item->running;
    double since = item->queuedSince;
    uint64_t number = item->arrivalNumber;
    item->fifoHook.unlink(), item->borrowedHook.unlink();
    item->queued = item->running = false;
    made.add(*item, now);
    item->queuedSince = since, item->arrivalNumber = number;
    if (wasHeld)
      made.enqueue(*item, false, now);
    if (!wasOut)
      continue;
    item->running = true;
    if (item->payingGuarantees == 0)
      made.borrowed_.insert(*item);
    item->payingGuarantees = 0;
    for (BudgetNode* node = item->leaf; node; node = node->parent)
      node->memoryMb += item->memoryMb, node->sends += 1;
    made.refresh(*item->leaf, now);
  }
  made.itemCount_ = itemCount_;
  settings_ = settings, gatewayShare_ = part;
  entries_.clear();
  for (auto& entry : settings_.entries)
    entries_[entry.name] = &entry;
  changes_.clear(), idle_.clear();
  nodes_.swap(made.nodes_), root_.swap(made.root_);
  changes_.swap(made.changes_), idle_.swap(made.idle_), borrowed_.swap(made.borrowed_);
  items_.swap(made.items_), places_.swap(made.places_);
  std::swap(nodeCount_, made.nodeCount_);
  made.items_.clear();
  byAge_ = nullptr, yieldUntil_ = -HUGE_VAL;
}

}  // namespace elmcleat::budget
