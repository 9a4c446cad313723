// The tree of budgets: who of those that are held may start now, and who comes first. Pure; told the time.
//
// A queue of the design's nested queues, with an index over each level, so that an arrival, a pick and an ending
// cost (depth x log children). What a node may have is reckoned by virtual clocks: a bucket that fills at `rate`
// is the time at which it was empty, and needs no refilling. Order at each level:
//   1. who is within its guarantee, the one first whose bucket was empty longest ago (virtual clock, Zhang 1990)
//   2. who borrows: by priority, then by start tag, work over weight (start-time fair queueing, Goyal 1996)
// Beside it stands the lane of the old: a part of all work started goes to whoever is held longest past its
// ageing time. Bound: with R work a second started, an old command that may start does so within
// (W + w) / (agedPart R) s, W being the work of what is older and w the largest of one command.
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

#include "budget/plan.h"

namespace elmcleat::budget {

namespace bi = boost::intrusive;
using ListHook = bi::list_member_hook<bi::link_mode<bi::auto_unlink>>;
using SetHook = bi::set_member_hook<bi::link_mode<bi::auto_unlink>, bi::optimize_size<true>>;

// What a node may take at a rate, with some seconds of it put by.
struct Bucket {
  double rate = 0, burst = 0;  // work a second; seconds
  double emptyAt = -HUGE_VAL;  // later than now: in debt until then
  double work(double now) const { return (now - std::max(emptyAt, now - burst)) * rate; }  // put by, or owed
  bool open(double now) const { return rate > 0 && now >= emptyAt; }
  void pay(double now, double work) {
    if (rate > 0)
      emptyAt = std::max(emptyAt, now - burst) + work / rate;
  }
};

// How fast a queue goes: what has left it of late, over the time in which something was held.
class Drain {
 public:
  void busy(double now, bool holds);  // whether something is held from now on
  void left(double now, double work) { last_[count_++ % kKept] = {now, clock(now), work}; }
  // Work a second while something is held, over the last ones, the time since the last included; 0: can't tell.
  double rate(double now) const;

 private:
  static constexpr size_t kKept = 16;
  struct Leaving {
    double at = 0, clock = 0, work = 0;
  };
  double clock(double now) const { return spent_ + (since_ >= 0 ? now - since_ : 0); }
  Leaving last_[kKept];
  size_t count_ = 0;
  double spent_ = 0, since_ = -1;  // seconds in which something was held; since when it is
};

struct Node;

// A command as the tree sees it; its owner keeps it until forget().
struct Item {
  Node* leaf = nullptr;
  std::vector<std::string> actor;  // tenant, users, profile
  double work = 0, memoryMb = 0;   // what is reckoned for it
  double heldAt = -1;              // since its arrival; kept when it is held again
  uint64_t number = 0;             // in the order of arrival
  double startedAt = 0;
  bool held = false, out = false;
  bool covered = false;  // when it was held, a guarantee of its path had room for all that it held
  uint32_t rights = 0;   // of its path, from the leaf up: whose guarantee paid for it
  int priority = 0;      // of its leaf, at its start
  ListHook inFifo;
  SetHook inBorrowed;
};

struct Node {
  using Rank = std::tuple<int, int, double, uint64_t>;  // class, priority, tag, id
  struct ByRank;
  struct ByDue;
  struct ByTag;
  struct ByChange;

  std::string path;
  uint64_t id = 0;
  Node* parent = nullptr;
  Terms terms;
  bool listed = false;             // has an entry of its own: stays
  size_t children = 0, taken = 0;  // nodes below; commands that are here until they are forgotten
  int depth = 0;

  Bucket right, cap;
  double memoryCap = HUGE_VAL, sendsCap = HUGE_VAL, memoryRight = 0, sendsRight = 0;
  double memoryMb = 0, sends = 0;  // in use
  double start = 0,
         reached = 0;         // its tag among its siblings; the least one among its children, never falling
  size_t held = 0;            // commands held here and below
  double heldWork = 0;        // and their work
  double wakeAt = -HUGE_VAL;  // of a leaf that lost its draw
  double yieldFrom = -1;      // first draw lost since its last start; below 0: none
  double idleSince = 0;
  Drain drain;
  double waitLog = 0;  // a running mean of the logarithm of waits here; 0: none yet

  bool ready = false;  // something here may start now
  Rank rank{};
  double due = HUGE_VAL, changeAt = HUGE_VAL;
  bi::list<Item, bi::member_hook<Item, ListHook, &Item::inFifo>, bi::constant_time_size<false>> fifo;
  SetHook inRank, inDue, inTag, inChange;
  ListHook inIdle;

  struct ByRank {
    bool operator()(const Node& a, const Node& b) const { return a.rank < b.rank; }
  };
  struct ByDue {
    bool operator()(const Node& a, const Node& b) const {
      return std::tie(a.due, a.id) < std::tie(b.due, b.id);
    }
  };
  struct ByTag {
    bool operator()(const Node& a, const Node& b) const {
      return std::tie(a.start, a.id) < std::tie(b.start, b.id);
    }
  };
  struct ByChange {
    bool operator()(const Node& a, const Node& b) const {
      return std::tie(a.changeAt, a.id) < std::tie(b.changeAt, b.id);
    }
  };
  // Children that are ready, by rank and by age.
  bi::set<Node, bi::member_hook<Node, SetHook, &Node::inRank>, bi::compare<ByRank>,
          bi::constant_time_size<false>>
      byRank;
  bi::set<Node, bi::member_hook<Node, SetHook, &Node::inDue>, bi::compare<ByDue>,
          bi::constant_time_size<false>>
      byDue;
  // And by tag, with those that wait for a draw.
  bi::set<Node, bi::member_hook<Node, SetHook, &Node::inTag>, bi::compare<ByTag>,
          bi::constant_time_size<false>>
      byTag;
};

struct Victim {
  Item* item = nullptr;
  bool cancel = false;  // else its priority is lowered
};

class Tree {
 public:
  // `part`: of all gateways' traffic that is this one's; the plan's amounts are for all together.
  Tree(const Plan& plan, double part);
  Tree(const Tree&) = delete;
  Tree& operator=(const Tree&) = delete;

  // Another plan, with commands held and out: what is held finds its place under the new one.
  void change(const Plan& plan, double part, double now);

  // A node's guarantee or ceiling from now on, in cores of this gateway; what is put by, or owed, stays the same work.
  void rate(const std::string& path, bool ceiling, double cores, double now);

  void take(Item& item, double now);                  // has come: finds its leaf
  void hold(Item& item, bool again, double now);      // waits for its turn
  void unhold(Item& item, double now);                // no longer
  Item* next(double now);                             // whose turn it is; none: nobody may start now
  void lost(Item& item, double wait, double now);     // no place, or its draw was lost: it draws again later
  void started(Item& item, double now);               // is out; what it costs is charged
  void ended(Item& item, double billed, double now);  // no longer; 0: no bill
  void forget(Item& item, double now);

  bool within(const Item& item, double now) const;  // some node of its path is within its guarantee
  bool covers(const Node& node,
              double now) const;   // its guarantee has room for all that it holds, before long
  Victim victim(double now);       // what gives way to a guarantee that has waited, once each
  double wakes(double now) const;  // when next() may have another answer, if nothing happens before

  const Plan& plan() const { return plan_; }
  const Node& root() const { return *root_; }
  const Node* find(const std::string& path) const;
  size_t size() const { return nodes_.size(); }
  template <typename Visit>
  void each(Visit visit) const {
    for (auto& [path, node] : nodes_)
      visit(*node);
  }

 private:
  struct ByGiveWay {  // the least priority first, then the latest start: the least work is lost
    bool operator()(const Item& a, const Item& b) const {
      return std::tuple(a.priority, -a.startedAt, a.number) < std::tuple(b.priority, -b.startedAt, b.number);
    }
  };
  static std::string pathOf(const std::vector<std::string>& actor, size_t words);
  Node& leafFor(const std::vector<std::string>& actor, double now);
  Node& nodeAt(const std::string& path, Node* above);
  void set(Node& node, const Terms& terms);
  bool makeRoom(double now);
  void refresh(Node& from, double now);
  bool entitled(const Node& node, double now) const;
  bool blocked(const Node& node, double now) const;
  void advance(double now);
  void idleIfUnused(Node& node, double now);
  void dropIdle(double now);
  Node& common(Node* above);

  Plan plan_;
  double part_;
  std::unordered_map<std::string, const Entry*> entries_;
  std::unordered_map<std::string, std::unique_ptr<Node>> nodes_;
  std::unique_ptr<Node> root_;
  bi::set<Node, bi::member_hook<Node, SetHook, &Node::inChange>, bi::compare<Node::ByChange>,
          bi::constant_time_size<false>>
      changes_;
  bi::list<Node, bi::member_hook<Node, ListHook, &Node::inIdle>, bi::constant_time_size<false>> idle_;
  bi::set<Item, bi::member_hook<Item, SetHook, &Item::inBorrowed>, bi::compare<ByGiveWay>,
          bi::constant_time_size<false>>
      borrowed_;
  std::vector<Item*> items_;  // all that were taken, for change(); holes are closed by swapping
  std::unordered_map<const Item*, size_t> places_;
  uint64_t nodeCount_ = 0, itemCount_ = 0;
  const Item* byAge_ = nullptr;     // the last pick, if age gave it
  double lane_ = 0, laneMost_ = 0;  // work that the old may start; its most
  double yieldUntil_ = -HUGE_VAL;
  double claimUntil_ = -HUGE_VAL, lastVictim_ = -HUGE_VAL;
  int claimPriority_ = 0;
  bool claimEntitled_ = false;
};

}  // namespace elmcleat::budget
