// The budget tree: decides which of the queued commands may start now, and in which order. No I/O; callers
// pass the time.
//
// Hierarchical scheduling over nested queues with an index per level, so that an arrival, a selection and a
// completion cost O(depth x log children). Guarantees and ceilings are token buckets in their virtual-clock
// form: a bucket that fills at `rate` is stored as the time at which it was empty and needs no refilling.
// Order at each level:
//   1. nodes within their guarantee, first the one whose bucket was last empty longest ago (virtual clock,
//      Zhang 1990)
//   2. nodes that borrow: by priority, then by start tag, which advances by work / weight (start-time fair
//      queueing, Goyal 1996)
// Priority aging runs beside it: a share of all started work goes to the command that has been queued longest
// past its aging threshold. Bound: with R work started per second, an aged command that may start does so
// within (W + w) / (agedShare R) seconds, where W is the work of all older commands and w the largest work of
// one command.
#pragma once
#include <algorithm>
#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "budget/budget_settings.h"

namespace elmcleat::budget {

namespace bi = boost::intrusive;
using ListHook = bi::list_member_hook<bi::link_mode<bi::auto_unlink>>;
using SetHook = bi::set_member_hook<bi::link_mode<bi::auto_unlink>, bi::optimize_size<true>>;

// A token bucket in its virtual-clock form.
struct TokenBucket {
  double rate = 0;             // work per second
  double burst = 0;            // seconds of `rate` that may accumulate
  double emptyAt = -HUGE_VAL;  // in the future: the bucket is in debt until then
  // Accumulated work; negative: debt.
  double balance(double now) const { return (now - std::max(emptyAt, now - burst)) * rate; }
  bool hasCredit(double now) const { return rate > 0 && now >= emptyAt; }
  void charge(double now, double work) {
    if (rate > 0)
      emptyAt = std::max(emptyAt, now - burst) + work / rate;
  }
};

// The rate at which work leaves a queue while the queue is backlogged.
class DepartureRate {
 public:
  void setBacklogged(double now, bool backlogged);  // whether something is queued from now on
  void departed(double now, double work) {
    recent_[count_++ % kRecentCount] = {now, backlogClock(now), work};
  }
  // Work per second of backlogged time over the most recent departures and the time since the last one.
  // 0: too few departures.
  double rate(double now) const;

 private:
  static constexpr size_t kRecentCount = 16;
  struct Departure {
    double time = 0;
    double backlogClock = 0;
    double work = 0;
  };
  double backlogClock(double now) const {
    return backloggedTime_ + (backloggedSince_ >= 0 ? now - backloggedSince_ : 0);
  }
  Departure recent_[kRecentCount];
  size_t count_ = 0;
  double backloggedTime_ = 0;    // seconds, without the current backlog
  double backloggedSince_ = -1;  // negative: not backlogged
};

struct BudgetNode;

// A command as the tree sees it. The owner keeps it alive until remove().
struct QueuedCommand {
  BudgetNode* leaf = nullptr;
  std::vector<std::string> path;  // tenant, users, profile
  double work = 0;                // estimated
  double memoryMb = 0;            // estimated
  double queuedSince = -1;        // time of arrival; kept when the command is queued again
  uint64_t arrivalNumber = 0;     // in the order of arrival
  double startedAt = 0;
  bool queued = false;
  bool running = false;
  bool guaranteed = false;        // when queued, some guarantee on its path covered all commands queued there
  uint32_t payingGuarantees = 0;  // bit set: nodes from the leaf up whose guarantee paid for it
  int priority = 0;               // of its leaf when it started
  ListHook fifoHook;
  SetHook borrowedHook;
};

struct BudgetNode {
  // Class, negated priority, tag, id. Class 0 is within a guarantee, and its tag is the time at which the
  // bucket was empty; class 1 borrows, and its tag is the start tag.
  using Rank = std::tuple<int, int, double, uint64_t>;
  struct ByRank;
  struct ByAgingDeadline;
  struct ByTag;
  struct ByChange;

  std::string path;
  uint64_t id = 0;
  BudgetNode* parent = nullptr;
  NodeSettings settings;
  bool configured = false;  // has an entry in the settings: never evicted
  size_t children = 0;
  size_t commands = 0;  // from add() to remove()
  int depth = 0;

  TokenBucket guarantee;
  TokenBucket ceiling;
  double memoryCeiling = HUGE_VAL;
  double sendsCeiling = HUGE_VAL;
  double memoryGuarantee = 0;
  double sendsGuarantee = 0;
  double memoryMb = 0;                // in use
  double sends = 0;                   // in flight
  double startTag = 0;                // among its siblings
  double virtualTime = 0;             // the least start tag among its children; never decreases
  size_t queued = 0;                  // commands queued here and below
  double queuedWork = 0;              // their work
  double postponedUntil = -HUGE_VAL;  // of a leaf whose command wasn't sent
  double yieldingSince = -1;          // first postponement since the last start; negative: none
  double idleSince = 0;
  DepartureRate departures;
  double meanLogWait = 0;  // moving average of the logarithm of measured waits; 0: none yet

  bool ready = false;  // a command here or below may start now
  Rank rank{};
  double agingDeadline = HUGE_VAL;  // when its oldest command that may start ages
  double changeAt = HUGE_VAL;       // when the node has to be refreshed by itself
  bi::list<QueuedCommand, bi::member_hook<QueuedCommand, ListHook, &QueuedCommand::fifoHook>,
           bi::constant_time_size<false>>
      fifo;
  SetHook rankHook, agingDeadlineHook, tagHook, changeHook;
  ListHook idleHook;

  struct ByRank {
    bool operator()(const BudgetNode& a, const BudgetNode& b) const { return a.rank < b.rank; }
  };
  struct ByAgingDeadline {
    bool operator()(const BudgetNode& a, const BudgetNode& b) const {
      return std::tie(a.agingDeadline, a.id) < std::tie(b.agingDeadline, b.id);
    }
  };
  struct ByTag {
    bool operator()(const BudgetNode& a, const BudgetNode& b) const {
      return std::tie(a.startTag, a.id) < std::tie(b.startTag, b.id);
    }
  };
  struct ByChange {
    bool operator()(const BudgetNode& a, const BudgetNode& b) const {
      return std::tie(a.changeAt, a.id) < std::tie(b.changeAt, b.id);
    }
  };
  // Ready children, by rank and by aging deadline.
  bi::set<BudgetNode, bi::member_hook<BudgetNode, SetHook, &BudgetNode::rankHook>, bi::compare<ByRank>,
          bi::constant_time_size<false>>
      byRank;
  bi::set<BudgetNode, bi::member_hook<BudgetNode, SetHook, &BudgetNode::agingDeadlineHook>,
          bi::compare<ByAgingDeadline>, bi::constant_time_size<false>>
      byAgingDeadline;
  // Ready and postponed children, by start tag.
  bi::set<BudgetNode, bi::member_hook<BudgetNode, SetHook, &BudgetNode::tagHook>, bi::compare<ByTag>,
          bi::constant_time_size<false>>
      byTag;
};

struct PreemptionVictim {
  QueuedCommand* command = nullptr;
  bool cancel = false;  // false: only its priority is lowered
};

class BudgetTree {
 public:
  // `gatewayShare`: the part of the fleet's traffic that this gateway serves, and of the amounts in the
  // settings, which are for the whole fleet.
  BudgetTree(const BudgetSettings& settings, double gatewayShare);
  BudgetTree(const BudgetTree&) = delete;
  BudgetTree& operator=(const BudgetTree&) = delete;

  // Applies other settings while commands are queued and running. Queued commands move to their new leaves.
  void reconfigure(const BudgetSettings& settings, double gatewayShare, double now);

  // Sets a node's guarantee or ceiling, in cores of this gateway. Accumulated work, or debt, keeps its
  // amount.
  void setRate(const std::string& path, bool ceiling, double cores, double now);

  void add(QueuedCommand& command, double now);                  // assigns its leaf
  void enqueue(QueuedCommand& command, bool again, double now);  // `again`: goes to the front of its queue
  void dequeue(QueuedCommand& command, double now);
  QueuedCommand* selectNext(double now);  // nullptr: no command may start now
  // The command was not sent: no engine had room, or it was not admitted. Its leaf is tried again after about
  // `wait` seconds.
  void postpone(QueuedCommand& command, double wait, double now);
  void sendStarted(QueuedCommand& command, double now);                  // charges the estimated work
  void sendFinished(QueuedCommand& command, double billed, double now);  // work measured; 0: no bill
  void remove(QueuedCommand& command, double now);

  // Whether any node of its path is within its guarantee.
  bool isWithinGuarantee(const QueuedCommand& command, double now) const;
  // Whether the node's guarantee has room, now or shortly, for all that is queued there.
  bool guaranteeCovers(const BudgetNode& node, double now) const;
  // A borrowed send to preempt for a command that has waited past preemptionDelay; each send is returned
  // once.
  PreemptionVictim selectVictim(double now);
  // When selectNext() may answer differently, if no other call comes before.
  double nextWakeUp(double now) const;

  const BudgetSettings& settings() const { return settings_; }
  const BudgetNode& root() const { return *root_; }
  const BudgetNode* find(const std::string& path) const;
  size_t size() const { return nodes_.size(); }
  template <typename Visit>
  void forEachNode(Visit visit) const {
    for (auto& [path, node] : nodes_)
      visit(*node);
  }

 private:
  // The lowest priority first, then the latest start, which loses the least work.
  struct ByPreemptionOrder {
    bool operator()(const QueuedCommand& a, const QueuedCommand& b) const {
      return std::tuple(a.priority, -a.startedAt, a.arrivalNumber) <
             std::tuple(b.priority, -b.startedAt, b.arrivalNumber);
    }
  };
  static std::string pathOf(const std::vector<std::string>& names, size_t count);
  BudgetNode& leafFor(const std::vector<std::string>& names, double now);
  BudgetNode& nodeAt(const std::string& path, BudgetNode* parent);
  void configure(BudgetNode& node, const NodeSettings& nodeSettings);
  bool evictIdleNode(double now);
  void refresh(BudgetNode& from, double now);
  bool hasGuaranteeLeft(const BudgetNode& node, double now) const;
  bool isAtCeiling(const BudgetNode& node, double now) const;
  void refreshDue(double now);
  void markIdleIfUnused(BudgetNode& node, double now);
  void evictExpired(double now);
  BudgetNode& commonNode(BudgetNode* parent);

  BudgetSettings settings_;
  double gatewayShare_;
  std::unordered_map<std::string, const NodeEntry*> entries_;
  std::unordered_map<std::string, std::unique_ptr<BudgetNode>> nodes_;
  std::unique_ptr<BudgetNode> root_;
  bi::set<BudgetNode, bi::member_hook<BudgetNode, SetHook, &BudgetNode::changeHook>,
          bi::compare<BudgetNode::ByChange>, bi::constant_time_size<false>>
      timedChanges_;
  bi::list<BudgetNode, bi::member_hook<BudgetNode, ListHook, &BudgetNode::idleHook>,
           bi::constant_time_size<false>>
      idleNodes_;
  bi::set<QueuedCommand, bi::member_hook<QueuedCommand, SetHook, &QueuedCommand::borrowedHook>,
          bi::compare<ByPreemptionOrder>, bi::constant_time_size<false>>
      borrowed_;
  std::vector<QueuedCommand*> commands_;                        // from add() to remove(), in no order
  std::unordered_map<const QueuedCommand*, size_t> positions_;  // in commands_
  uint64_t nodeCount_ = 0;
  uint64_t arrivalCount_ = 0;
  const QueuedCommand* selectedByAge_ = nullptr;  // the last selection, if it was made by age
  double agingCredit_ = 0;                        // work that aged commands may start
  double agingCreditLimit_ = 0;
  double borrowersYieldUntil_ = -HUGE_VAL;  // until then nodes that borrow are not selected
  // A command that was postponed after it had waited for preemptionDelay may preempt a borrowed send until
  // claimUntil_. Of several such commands the strongest counts: one within its guarantee before one that
  // borrows, then the one of higher priority.
  double claimUntil_ = -HUGE_VAL;
  double lastPreemption_ = -HUGE_VAL;
  int claimPriority_ = 0;
  bool claimGuaranteed_ = false;
};

}  // namespace elmcleat::budget
