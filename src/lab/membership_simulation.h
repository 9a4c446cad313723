// Many members in virtual time: the real cores and the real wire format, with a network between them that
// delays, loses, copies, reorders and cuts, and processes that stop, die and start again. No sockets, no
// threads. The same seed gives the same run. What must hold at every step is checked at every step.
#pragma once
#include <cstdint>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

#include "lab/event_queue.h"
#include "lab/traffic.h"
#include "members/membership.h"
#include "members/message_codec.h"
#include "pcg32.h"

namespace elmcleat::lab {

struct NetworkConditions {                     // of all links that are not cut
  double minDelay = 0.0005, maxDelay = 0.003;  // seconds on the way
  double loss = 0, duplication = 0;            // parts of the messages
};

class MembershipSimulation {
 public:
  MembershipSimulation(members::MembershipSettings settings, uint64_t seed);
  static members::MembershipSettings settingsFor(int count);

  void start(int member, double clockOff = 0);  // a new life; its clock is off by so many seconds
  void startAll();
  void kill(int member);
  void leave(int member);
  void pause(int member);  // it stands still, and what comes waits for it
  void resume(int member);
  void startDuplicate(int member);  // another process under the same name, reached by some as that member
  void cut(int from, int to, bool is = true);                     // one direction
  void partition(const std::vector<int>& apart, bool is = true);  // these from all others, both ways
  void slow(int member, double by);                               // what comes to it waits for so long

  NetworkConditions network;
  void regions(int count) { regions_ = count; }  // members in order; 0: `weather` is everywhere
  NetworkConditions regionNetwork{.minDelay = 0.03, .maxDelay = 0.08};  // of links between regions
  int regionOf(int member) const { return int(size_t(member) * size_t(regions_) / hosts_.size()); }
  void run(double until);
  double now() const { return now_; }
  Pcg32& chance() { return chance_; }

  bool isRunning(int member) const {
    return bool(hosts_[size_t(member)].membership) && !hosts_[size_t(member)].paused;
  }
  const members::Membership& membership(int member) const { return *hosts_[size_t(member)].membership; }
  const members::Membership* duplicateMembership(int member) const {
    return seconds_.empty() || seconds_[0].member != member ? nullptr : seconds_[0].membership.get();
  }
  // Whether all that run hold the same: there is who runs, and nobody else.
  bool hasConverged() const;
  // Seconds until then, or a negative number if it takes longer than `most`.
  double runUntilConverged(double most);
  // Members that run and that `by` (all, if below 0) found to be down itself, or suspected, each time.
  int downDetections(int by = -1) const { return sum(downs_, by); }
  int suspicions(int by = -1) const { return sum(suspicions_, by); }
  // Of the downs: the life that was called down runs, and no link between the two is cut.
  int falseDownDetections() const { return wrongDowns_; }
  double inaccurateShare() const;  // part of all that is held of others by those that run

  // Of all members together, since reset().
  void reset();
  uint64_t bytes() const { return bytes_; }
  uint64_t messages() const { return messages_; }
  uint64_t streams() const { return streams_; }
  double cpu() const { return cpu_; }          // seconds of this thread that cores and wire have taken
  size_t largest() const { return largest_; }  // bytes of a message
  int streamsAtOnce() const { return streamsAtOnce_; }  // at one member, coming and going, at most
  const Traffic& traffic(int member) const { return traffic_[size_t(member)]; }  // in and out
  const Traffic& all() const { return all_; }

  const std::string& violation() const { return broken_; }  // the first thing that must hold and did not

 private:
  struct Host {
    int member = 0;
    std::unique_ptr<members::Membership> membership;
    bool paused = false;
    double slow = 0;
    uint64_t version = 0;                     // of its next wake
    std::vector<std::string> waiting;         // what came while it stood still
    std::vector<members::MemberStatus> held;  // what it held of each when that was last looked at
    size_t next = 0;                          // of them, the first that is looked at in the next turn
    int streams = 0;                          // on their way to and from it
    members::ProcessInstance highest;         // the greatest claim that it made of itself in any life
  };

  static int sum(const std::vector<int>& by, int one) {
    return one >= 0 ? by[size_t(one)] : std::accumulate(by.begin(), by.end(), 0);
  }
  void turn(Host& host, const std::string* bytes);
  void deliver(int from, Host& to, const std::string& bytes);
  void check(Host& host);
  bool checkClaim(Host& host, int of);
  bool breaks(const Host& host, const std::string& what) {
    broken_ = "at " + std::to_string(now_) + " n" + std::to_string(host.member) + ": " + what;
    return false;
  }
  bool held(const Host& host, int other) const {  // rightly
    return host.membership->statusOf(other).isPresent() == isRunning(other);
  }
  Host& host(int member) { return hosts_[size_t(member)]; }

  members::MembershipSettings settings_;
  members::MessageCodec codec_;
  Pcg32 chance_;
  EventQueue events_;
  double now_ = 0;
  std::vector<Host> hosts_, seconds_;
  std::vector<std::vector<bool>> cut_;
  uint64_t bytes_ = 0, messages_ = 0, streams_ = 0, seeds_ = 0;
  double cpu_ = 0;
  std::vector<int> downs_, suspicions_;  // by who found it
  int wrongDowns_ = 0, streamsAtOnce_ = 0, regions_ = 0;
  size_t largest_ = 0;
  std::vector<Traffic> traffic_;
  Traffic all_;
  std::vector<int> touched_;                    // of whom something may have changed in this turn
  mutable size_t wrongHost_ = 0, wrongOf_ = 0;  // two that did not agree when that was last looked at
  std::string broken_;
};

}  // namespace elmcleat::lab
