#include "budget/tree.h"

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

void Drain::busy(double now, bool holds) {
  if (holds && since_ < 0)
    since_ = now;
  if (!holds && since_ >= 0)
    spent_ += now - since_, since_ = -1;
}

double Drain::rate(double now) const {
  size_t seen = std::min(count_, kKept), used = 0;
  double work = 0, oldest = 0;
  for (size_t i = 0; i < seen; ++i) {  // newest first
    const Leaving& one = last_[(count_ - 1 - i) % kKept];
    if (used > 3 && one.at < now - kDrainSpan)
      break;
    if (++used < seen)
      work += one.work;  // what left at the span's beginning left before it
    oldest = one.clock;
  }
  return used >= 4 ? work / std::max(clock(now) - oldest, kLeastSpan) : 0;
}

Tree::Tree(const Plan& plan, double part) : plan_(plan), part_(part), root_(std::make_unique<Node>()) {
  for (auto& entry : plan_.entries)
    entries_[entry.name] = &entry;
  for (auto& entry : plan_.entries)
    nodeAt(entry.name, nullptr);
}

std::string Tree::pathOf(const std::vector<std::string>& actor, size_t words) {
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

const Node* Tree::find(const std::string& path) const {
  auto found = nodes_.find(path);
  return found == nodes_.end() ? nullptr : found->second.get();
}

void Tree::set(Node& node, const Terms& terms) {
  node.terms = terms;
  auto rate = [&](Bucket& bucket, const std::optional<double>& cores) {
    bucket.rate = cores.value_or(0) * part_, bucket.burst = terms.burst;
  };
  rate(node.right, terms.guarantee.cores), rate(node.cap, terms.ceiling.cores);
  auto scaled = [&](const std::optional<double>& amount, double otherwise) {
    return amount ? *amount * part_ : otherwise;
  };
  node.memoryRight = scaled(terms.guarantee.memoryMb, 0), node.sendsRight = scaled(terms.guarantee.sends, 0);
  node.memoryCap = scaled(terms.ceiling.memoryMb, HUGE_VAL);
  node.sendsCap = scaled(terms.ceiling.sends, HUGE_VAL);
}

// The node of a path. `above`: its parent, unless an entry says another.
Node& Tree::nodeAt(const std::string& path, Node* above) {
  if (auto found = nodes_.find(path); found != nodes_.end())
    return *found->second;
  auto entry = entries_.find(path);
  if (entry != entries_.end()) {
    const Entry* over = parentOf(plan_, *entry->second);
    above = over ? &nodeAt(over->name, nullptr) : root_.get();
  }
  auto& node = *(nodes_[path] = std::make_unique<Node>());
  node.path = path, node.id = ++nodeCount_, node.parent = above, node.depth = above->depth + 1;
  node.listed = entry != entries_.end();
  node.start = above->reached;
  Terms terms = node.listed ? entry->second->terms : plan_.otherwise;
  if (!node.listed && above->parent)  // what has no entry is as urgent as what it belongs to
    terms.priority = above->terms.priority, terms.ageAfter = above->terms.ageAfter;
  set(node, terms);
  ++above->children, above->inIdle.unlink();
  return node;
}

// Without room for more nodes, those that would get one share one under the nearest node with an entry.
Node& Tree::common(Node* above) {
  while (above != root_.get() && !above->listed)
    above = above->parent;
  return nodeAt(above->path + "/*", above);
}

Node& Tree::leafFor(const std::vector<std::string>& actor, double now) {
  std::vector<std::string> paths;
  Node* known = root_.get();
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
  ++known->taken, known->inIdle.unlink();  // it must not go to make room for its own
  bool room = true;
  while (room && nodes_.size() + missing > plan_.maxNodes)
    room = makeRoom(now);
  --known->taken;
  if (!room) {
    Node& shared = common(known);
    idleIfUnused(*known, now);
    return shared;
  }
  Node* at = root_.get();
  for (auto& path : paths)
    at = &nodeAt(path, at);
  return *at;
}

// The longest idle node goes, unless it still owes what it took beyond its ceiling, and what it leaves empty above.
bool Tree::makeRoom(double now) {
  for (auto& node : idle_) {
    if (node.cap.rate > 0 && !node.cap.open(now))
      continue;
    for (Node* at = &node; at->parent && !at->listed && at->children == 0 && at->taken == 0;) {
      Node* parent = at->parent;
      at->inChange.unlink(), at->inIdle.unlink();
      --parent->children;
      nodes_.erase(std::string(at->path));
      at = parent;
      if (at->cap.rate > 0 && !at->cap.open(now)) {
        idleIfUnused(*at, now);
        break;
      }
    }
    return true;
  }
  return false;
}

void Tree::idleIfUnused(Node& node, double now) {
  if (&node == root_.get() || node.listed || node.children > 0 || node.taken > 0)
    return;
  if (node.inIdle.is_linked())
    return;
  node.idleSince = now;
  idle_.push_back(node);
}

void Tree::dropIdle(double now) {
  while (!idle_.empty() && idle_.front().idleSince < now - plan_.idle)
    if (!makeRoom(now))
      break;
}

// --- what a node may do
bool Tree::entitled(const Node& node, double now) const {
  if (node.right.rate > 0)
    return node.right.open(now);
  return (node.sendsRight > 0 && node.sends < node.sendsRight) ||
         (node.memoryRight > 0 && node.memoryMb < node.memoryRight);
}

// One that uses nothing may start one command, however small its ceiling: it pays for it afterwards.
bool Tree::blocked(const Node& node, double now) const {
  if (node.terms.ceiling.cores && !node.cap.open(now))
    return true;
  if (node.sends <= 0)
    return node.sendsCap <= 0 || node.memoryCap <= 0;
  if (node.sends >= node.sendsCap)
    return true;
  double next = node.fifo.empty() ? 0 : node.fifo.front().memoryMb;
  return node.memoryMb + next >= node.memoryCap;
}

// Files a node anew after a change, and those above it.
void Tree::refresh(Node& from, double now) {
  for (Node* node = &from; node; node = node->parent) {
    node->inRank.unlink(), node->inDue.unlink(), node->inTag.unlink(), node->inChange.unlink();
    node->changeAt = HUGE_VAL;
    node->ready = false;
    if (node->held == 0)
      continue;
    bool asleep = !node->fifo.empty() && node->wakeAt > now, shut = blocked(*node, now);
    bool any = node->fifo.empty() ? !node->byRank.empty() : !asleep;
    node->ready = any && !shut;
    if (!shut && node->parent && (node->ready || asleep || !node->byTag.empty()))
      node->parent->byTag.insert(*node);
    if (!node->fifo.empty() && asleep)
      node->changeAt = node->wakeAt;
    if (shut && node->cap.rate > 0 && node->cap.emptyAt > now)
      node->changeAt = node->cap.emptyAt;
    bool own = entitled(*node, now);
    if (node->ready && !own && node->right.rate > 0)
      node->changeAt = std::min(node->changeAt, node->right.emptyAt);
    if (node->changeAt < HUGE_VAL)
      changes_.insert(*node);
    if (!node->ready)
      continue;
    const Node* first = node->fifo.empty() ? &*node->byRank.begin() : nullptr;
    bool through = first && std::get<0>(first->rank) == 0;
    if (own || through)
      node->rank = {0, 0, own ? node->right.emptyAt : std::get<2>(first->rank), node->id};
    else
      node->rank = {1, -node->terms.priority, node->start, node->id};
    node->due = first ? node->byDue.begin()->due : node->fifo.front().heldAt + node->terms.ageAfter;
    if (!node->parent)
      continue;
    node->parent->byRank.insert(*node), node->parent->byDue.insert(*node);
  }
}

void Tree::advance(double now) {
  while (!changes_.empty() && changes_.begin()->changeAt <= now)
    refresh(*changes_.begin(), now);
}

// --- commands
void Tree::take(Item& item, double now) {
  item.number = ++itemCount_, item.heldAt = now;
  item.leaf = &leafFor(item.actor, now);
  item.leaf->inIdle.unlink(), ++item.leaf->taken;
  places_[&item] = items_.size();
  items_.push_back(&item);
  dropIdle(now);
}

void Tree::hold(Item& item, bool again, double now) {
  Node& leaf = *item.leaf;
  for (Node* node = &leaf; node->parent; node = node->parent) {
    if (node->held > 0)
      break;
    node->start = std::max(node->start, node->parent->reached);  // an empty queue keeps no credit
  }
  for (Node* node = &leaf; node; node = node->parent)
    ++node->held, node->heldWork += item.work, node->drain.busy(now, true);
  item.covered = false;
  for (Node* node = &leaf; node && !item.covered; node = node->parent)
    item.covered = covers(*node, now);
  if (again)
    leaf.fifo.push_front(item);
  else
    leaf.fifo.push_back(item);
  item.held = true;
  refresh(leaf, now);
}

void Tree::unhold(Item& item, double now) {
  if (!std::exchange(item.held, false))
    return;
  item.inFifo.unlink();
  for (Node* node = item.leaf; node; node = node->parent) {
    --node->held, node->heldWork = node->held ? std::max(0.0, node->heldWork - item.work) : 0;
    node->drain.left(now, item.work);
    if (node->held == 0)
      node->drain.busy(now, false);
  }
  refresh(*item.leaf, now);
}

Item* Tree::next(double now) {
  advance(now);
  byAge_ = nullptr;
  if (root_->byRank.empty())
    return nullptr;
  Node* at = root_.get();
  if (lane_ >= 0 && root_->byDue.begin()->due <= now) {
    while (at->fifo.empty())
      at = &*at->byDue.begin();
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
void Tree::lost(Item& item, double wait, double now) {
  Node& leaf = *item.leaf;
  bool entitledNow = within(item, now);
  if (entitledNow) {
    wait *= kEntitledWait;
    if (leaf.yieldFrom < 0)
      leaf.yieldFrom = now;
    if (now < leaf.yieldFrom + plan_.yield)
      yieldUntil_ = std::max(yieldUntil_, now + wait);
  } else {
    double ahead = 0;  // in commands, of the share by weight
    for (Node* node = &leaf; node->parent; node = node->parent)
      if (!node->parent->byTag.empty())
        ahead = std::max(ahead, (node->start - node->parent->byTag.begin()->start) * node->terms.weight);
    wait *= 1 + std::clamp(ahead / std::max(item.work, 1e-6) - 1, 0.0, kMostAhead);
    wait *= std::max(1.0, double(std::min(nodes_.size(), root_->held)) / kDraws);
    wait = std::min(wait, kLongestWait);
  }
  bool old = now >= item.heldAt + plan_.preemptAfter;
  bool stronger = entitledNow != claimEntitled_ ? entitledNow : leaf.terms.priority >= claimPriority_;
  if (old && (now >= claimUntil_ || stronger))
    claimEntitled_ = entitledNow, claimPriority_ = leaf.terms.priority, claimUntil_ = now + kClaimLasts;
  leaf.wakeAt = now + wait;
  refresh(leaf, now);
}

void Tree::started(Item& item, double now) {
  bool aged = std::exchange(byAge_, nullptr) == &item;
  laneMost_ = std::max(laneMost_ * 0.999, 2 * item.work);
  if (aged)
    lane_ -= item.work;
  else
    lane_ = std::min(lane_ + item.work * plan_.agedPart / (1 - plan_.agedPart), laneMost_);
  item.out = true, item.startedAt = now, item.rights = 0, item.priority = item.leaf->terms.priority;
  item.leaf->yieldFrom = -1;
  uint32_t level = 1;
  for (Node* node = item.leaf; node; node = node->parent, level <<= 1) {
    if (entitled(*node, now))
      item.rights |= level, node->right.pay(now, item.work);
    else if (item.rights == 0 && node->parent) {
      auto& tags = node->parent->byTag;
      double least = tags.empty() ? node->start : std::min(node->start, tags.begin()->start);
      node->parent->reached = std::max(node->parent->reached, least);
      node->start += item.work / node->terms.weight;
    }
    node->cap.pay(now, item.work);
    node->memoryMb += item.memoryMb, node->sends += 1;
  }
  if (item.rights == 0)
    borrowed_.insert(item);
  else
    yieldUntil_ = -HUGE_VAL;
  refresh(*item.leaf, now);
}

// What it cost beside what was reckoned is charged, or paid back, to whoever paid for it.
void Tree::ended(Item& item, double billed, double now) {
  if (!std::exchange(item.out, false))
    return;
  item.inBorrowed.unlink();
  double more = billed > 0 ? billed - item.work : 0;
  uint32_t level = 1;
  bool paid = false;
  for (Node* node = item.leaf; node; node = node->parent, level <<= 1) {
    node->memoryMb = std::max(0.0, node->memoryMb - item.memoryMb), node->sends -= 1;
    if (item.rights & level)
      node->right.pay(now, more), paid = true;
    else if (!paid && node->parent)
      node->start += more / node->terms.weight;
    node->cap.pay(now, more);
  }
  if (billed > 0)
    item.work = billed;
  refresh(*item.leaf, now);
}

void Tree::forget(Item& item, double now) {
  auto place = places_.find(&item);
  if (place == places_.end())
    return;
  unhold(item, now);
  ended(item, 0, now);
  size_t at = place->second;
  items_[at] = items_.back(), places_[items_[at]] = at;
  items_.pop_back(), places_.erase(&item);
  --item.leaf->taken, idleIfUnused(*item.leaf, now);
  item.leaf = nullptr;
}

bool Tree::within(const Item& item, double now) const {
  for (const Node* node = item.leaf; node; node = node->parent)
    if (entitled(*node, now))
      return true;
  return false;
}

bool Tree::covers(const Node& node, double now) const {
  if (node.right.rate > 0)
    return node.heldWork <= node.right.work(now) + kSoon * node.right.rate;
  return node.sendsRight > 0 && double(node.held) + node.sends <= node.sendsRight;
}

Victim Tree::victim(double now) {
  if (plan_.preempt == Preempt::off || now >= claimUntil_ || now < lastVictim_ + kVictimEvery)
    return {};
  if (borrowed_.empty())
    return {};
  Item& first = *borrowed_.begin();
  if (!claimEntitled_ && first.priority >= claimPriority_)
    return {};
  first.inBorrowed.unlink();
  lastVictim_ = now;
  return {&first, plan_.preempt == Preempt::cancel};
}

double Tree::wakes(double now) const {
  double at = changes_.empty() ? HUGE_VAL : changes_.begin()->changeAt;
  if (!root_->byRank.empty())
    at = std::min(at, std::max(yieldUntil_, now));
  return at;
}

void Tree::rate(const std::string& path, bool ceiling, double cores, double now) {
  auto found = nodes_.find(path);
  if (found == nodes_.end())
    return;
  Bucket& bucket = ceiling ? found->second->cap : found->second->right;
  if (bucket.rate > 0 && cores > 0)
    bucket.emptyAt = now - bucket.work(now) / cores;
  bucket.rate = cores;
  refresh(*found->second, now);
}

// The tree is made anew: what is held finds its leaf in the order of arrival, what is out is charged no second time.
// Buckets of nodes that stay keep what they owe.
void Tree::change(const Plan& plan, double part, double now) {
  Tree made(plan, part);
  for (auto& [path, node] : nodes_) {
    if (!made.nodes_.contains(path))
      continue;
    Node& same = *made.nodes_[path];
    same.right.emptyAt = node->right.emptyAt, same.cap.emptyAt = node->cap.emptyAt;
  }
  std::ranges::sort(items_, {}, [](Item* item) { return item->number; });
  for (Item* item : items_) {
    bool wasHeld = item->held, wasOut = item->out;
    double since = item->heldAt;
    uint64_t number = item->number;
    item->inFifo.unlink(), item->inBorrowed.unlink();
    item->held = item->out = false;
    made.take(*item, now);
    item->heldAt = since, item->number = number;
    if (wasHeld)
      made.hold(*item, false, now);
    if (!wasOut)
      continue;
    item->out = true;
    if (item->rights == 0)
      made.borrowed_.insert(*item);
    item->rights = 0;
    for (Node* node = item->leaf; node; node = node->parent)
      node->memoryMb += item->memoryMb, node->sends += 1;
    made.refresh(*item->leaf, now);
  }
  made.itemCount_ = itemCount_;
  plan_ = plan, part_ = part;
  entries_.clear();
  for (auto& entry : plan_.entries)
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
