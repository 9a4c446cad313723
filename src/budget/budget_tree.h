// The tree of budgets: who of those that are held may start now, and who comes first. Pure; told the time.
//
// A queue of the design's nested queues, with an index over each level, so that an arrival, a pick and an ending
// cost (depth x log children). What a node may have is reckoned by virtual clocks: a bucket that fills at `rate`
// is the time at which it was empty, and needs no refilling. Order at each level:
//   1. who is within its guarantee, the one first whose bucket was empty longest ago (virtual clock, Zhang 1990)
//   2. who borrows: by priority, then by start tag, work over weight (start-time fair queueing, Goyal 1996)
// Beside it stands the lane of the old: a part of all work started goes to whoever is held longest past its
// ageing time. Bound: with R work a second started, an old command that may start does so within
// (W + w) / (agedShare R) s, W being the work of what is older and w the largest of one command.
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

// What a node may take at a rate, with some seconds of it put by.
struct TokenBucket {
  double rate = 0, burst = 0;  // work a second; seconds
  double emptyAt = -HUGE_VAL;  // later than now: in debt until then
  double balance(double now) const {
    return (now - std::max(emptyAt, now - burst)) * rate;
  }  // put by, or owed
  bool hasCredit(double now) const { return rate > 0 && now >= emptyAt; }
  void charge(double now, double work) {
    if (rate > 0)
      emptyAt = std::max(emptyAt, now - burst) + work / rate;
  }
};

// How fast a queue goes: what has left it of late, over the time in which something was held.
class DepartureRate {
 public:
  void setBacklogged(double now, bool holds);  // whether something is held from now on
  void departed(double now, double work) { last_[count_++ % kKept] = {now, clock(now), work}; }
  // Work a second while something is held, over the last ones, the time since the last included; 0: can't tell.
  double rate(double now) const;

 private:
  static constexpr size_t kKept = 16;
  struct Departure {
    double at = 0, clock = 0, work = 0;
  };
  double clock(double now) const { return spent_ + (since_ >= 0 ? now - since_ : 0); }
  Departure last_[kKept];
  size_t count_ = 0;
  double spent_ = 0, since_ = -1;  // seconds in which something was held; since when it is
};

struct BudgetNode;

// A command as the tree sees it; its owner keeps it until remove().
struct QueuedCommand {
  BudgetNode* leaf = nullptr;
  std::vector<std::string> path;  // tenant, users, profile
  double work = 0, memoryMb = 0;  // what is reckoned for it
  double queuedSince = -1;        // since its arrival; kept when it is held again
  uint64_t arrivalNumber = 0;     // in the order of arrival
  double startedAt = 0;
  bool queued = false, running = false;
  bool guaranteed = false;        // when it was held, a guarantee of its path had room for all that it held
  uint32_t payingGuarantees = 0;  // of its path, from the leaf up: whose guarantee paid for it
  int priority = 0;               // of its leaf, at its start
  ListHook fifoHook;
  SetHook borrowedHook;
};

struct BudgetNode {
  using Rank = std::tuple<int, int, double, uint64_t>;  // class, priority, tag, id
  struct ByRank;
  struct ByAgingDeadline;
  struct ByTag;
  struct ByChange;

  std::string path;
  uint64_t id = 0;
  BudgetNode* parent = nullptr;
  NodeSettings settings;
  bool configured = false;            // has an entry of its own: stays
  size_t children = 0, commands = 0;  // nodes below; commands that are here until they are forgotten
  int depth = 0;

  TokenBucket guarantee, ceiling;
  double memoryCeiling = HUGE_VAL, sendsCeiling = HUGE_VAL, memoryGuarantee = 0, sendsGuarantee = 0;
  double memoryMb = 0, sends = 0;  // in use
  double startTag = 0,
         virtualTime = 0;  // its tag among its siblings; the least one among its children, never falling
  size_t queued = 0;       // commands held here and below
  double queuedWork = 0;   // and their work
  double postponedUntil = -HUGE_VAL;  // of a leaf that lost its draw
  double yieldingSince = -1;          // first draw lost since its last start; below 0: none
  double idleSince = 0;
  DepartureRate departures;
  double meanLogWait = 0;  // a running mean of the logarithm of waits here; 0: none yet

  bool ready = false;  // something here may start now
  Rank rank{};
  double agingDeadline = HUGE_VAL, changeAt = HUGE_VAL;
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
  // Children that are ready, by rank and by age.
  bi::set<BudgetNode, bi::member_hook<BudgetNode, SetHook, &BudgetNode::rankHook>, bi::compare<ByRank>,
          bi::constant_time_size<false>>
      byRank;
  bi::set<BudgetNode, bi::member_hook<BudgetNode, SetHook, &BudgetNode::agingDeadlineHook>,
          bi::compare<ByAgingDeadline>, bi::constant_time_size<false>>
      byAgingDeadline;
  // And by tag, with those that wait for a draw.
  bi::set<BudgetNode, bi::member_hook<BudgetNode, SetHook, &BudgetNode::tagHook>, bi::compare<ByTag>,
          bi::constant_time_size<false>>
      byTag;
};

struct PreemptionVictim {
  QueuedCommand* command = nullptr;
  bool cancel = false;  // else its priority is lowered
};

class BudgetTree {
 public:
  // `part`: of all gateways' traffic that is this one's; the plan's amounts are for all together.
  BudgetTree(const BudgetSettings& settings, double part);
  BudgetTree(const BudgetTree&) = delete;
  BudgetTree& operator=(const BudgetTree&) = delete;

  // Another plan, with commands held and out: what is held finds its place under the new one.
  void reconfigure(const BudgetSettings& settings, double part, double now);

  // A node's guarantee or ceiling from now on, in cores of this gateway; what is put by, or owed, stays the same work.
  void setRate(const std::string& path, bool ceiling, double cores, double now);

  void add(QueuedCommand& item, double now);                  // has come: finds its leaf
  void enqueue(QueuedCommand& item, bool again, double now);  // waits for its turn
  void dequeue(QueuedCommand& item, double now);              // no longer
  QueuedCommand* selectNext(double now);                      // whose turn it is; none: nobody may start now
  void postpone(QueuedCommand& item, double wait,
                double now);                          // no place, or its draw was lost: it draws again later
  void sendStarted(QueuedCommand& item, double now);  // is out; what it costs is charged
  void sendFinished(QueuedCommand& item, double billed, double now);  // no longer; 0: no bill
  void remove(QueuedCommand& item, double now);

  bool isWithinGuarantee(const QueuedCommand& item,
                         double now) const;  // some node of its path is within its guarantee
  bool guaranteeCovers(const BudgetNode& node,
                       double now) const;     // its guarantee has room for all that it holds, before long
  PreemptionVictim selectVictim(double now);  // what gives way to a guarantee that has waited, once each
  double nextWakeUp(
      double now) const;  // when selectNext() may have another answer, if nothing happens before

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
  struct ByPreemptionOrder {  // the least priority first, then the latest start: the least work is lost
    bool operator()(const QueuedCommand& a, const QueuedCommand& b) const {
      return std::tuple(a.priority, -a.startedAt, a.arrivalNumber) <
             std::tuple(b.priority, -b.startedAt, b.arrivalNumber);
    }
  };
  static std::string pathOf(const std::vector<std::string>& actor, size_t words);
  BudgetNode& leafFor(const std::vector<std::string>& actor, double now);
  BudgetNode& nodeAt(const std::string& path, BudgetNode* above);
  void configure(BudgetNode& node, const NodeSettings& nodeSettings);
  bool evictIdleNode(double now);
  void refresh(BudgetNode& from, double now);
  bool entitled(const BudgetNode& node, double now) const;
  bool blocked(const BudgetNode& node, double now) const;
  void advance(double now);
  void idleIfUnused(BudgetNode& node, double now);
  void dropIdle(double now);
  BudgetNode& common(BudgetNode* above);

  BudgetSettings settings_;
  double gatewayShare_;
  std::unordered_map<std::string, const NodeEntry*> entries_;
  std::unordered_map<std::string, std::unique_ptr<BudgetNode>> nodes_;
  std::unique_ptr<BudgetNode> root_;
  bi::set<BudgetNode, bi::member_hook<BudgetNode, SetHook, &BudgetNode::changeHook>,
          bi::compare<BudgetNode::ByChange>, bi::constant_time_size<false>>
      changes_;
  bi::list<BudgetNode, bi::member_hook<BudgetNode, ListHook, &BudgetNode::idleHook>,
           bi::constant_time_size<false>>
      idle_;
  bi::set<QueuedCommand, bi::member_hook<QueuedCommand, SetHook, &QueuedCommand::borrowedHook>,
          bi::compare<ByPreemptionOrder>, bi::constant_time_size<false>>
      borrowed_;
  std::vector<QueuedCommand*> items_;  // all that were taken, for reconfigure(); holes are closed by swapping
  std::unordered_map<const QueuedCommand*, size_t> places_;
  uint64_t nodeCount_ = 0, itemCount_ = 0;
  const QueuedCommand* byAge_ = nullptr;  // the last pick, if age gave it
  double lane_ = 0, laneMost_ = 0;        // work that the old may start; its most
  double yieldUntil_ = -HUGE_VAL;
  double claimUntil_ = -HUGE_VAL, lastVictim_ = -HUGE_VAL;
  int claimPriority_ = 0;
  bool claimEntitled_ = false;
};

}  // namespace elmcleat::budget
