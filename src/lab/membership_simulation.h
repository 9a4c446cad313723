// Discrete-event simulation of many members in virtual time: the real Membership and the real message codec,
// over a network that delays, loses, duplicates, reorders and cuts messages, and processes that pause, crash
// and restart. There are no sockets and no threads; the same seed gives the same run. Invariants are checked
// at every step.
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

struct NetworkConditions {   // of all links that are not cut
  double minDelay = 0.0005;  // seconds, one way
  double maxDelay = 0.003;
  double loss = 0;  // share of the messages
  double duplication = 0;
};

class MembershipSimulation {
 public:
  MembershipSimulation(members::MembershipSettings settings, uint64_t seed);
  static members::MembershipSettings settingsFor(int count);

  void start(int member, double clockOffset = 0);  // as a new instance; offset of its clock in seconds
  void startAll();
  void kill(int member);
  void leave(int member);
  void pause(int member);  // it does nothing; messages to it are queued
  void resume(int member);
  void startDuplicate(
      int member);  // a second process under the same name, which receives a part of its messages
  void cut(int from, int to, bool isCut = true);                     // one direction
  void partition(const std::vector<int>& group, bool isCut = true);  // the group from all others, both ways
  void slow(int member, double delay);                               // seconds more for every message to it

  NetworkConditions network;
  // Splits the members in order into regions of equal size. 0: none, and `network` holds for all links.
  void setRegionCount(int count) { regionCount_ = count; }
  NetworkConditions regionNetwork{.minDelay = 0.03, .maxDelay = 0.08};  // of links between regions
  int regionOf(int member) const { return int(size_t(member) * size_t(regionCount_) / hosts_.size()); }
  void run(double until);
  double now() const { return now_; }
  Pcg32& random() { return random_; }

  bool isRunning(int member) const {
    return bool(hosts_[size_t(member)].membership) && !hosts_[size_t(member)].paused;
  }
  const members::Membership& membership(int member) const { return *hosts_[size_t(member)].membership; }
  const members::Membership* duplicateMembership(int member) const {
    return duplicates_.empty() || duplicates_[0].member != member ? nullptr : duplicates_[0].membership.get();
  }
  // Whether every running member holds exactly the running members to be present.
  bool hasConverged() const;
  // Seconds until then; negative if it takes longer than `timeout`.
  double runUntilConverged(double timeout);
  // Running members that `by` (all members, if negative) itself found to be down, or suspected; each time
  // counts.
  int downDetections(int by = -1) const { return countOf(downDetections_, by); }
  int suspicions(int by = -1) const { return countOf(suspicions_, by); }
  // Of the down detections: those of an instance that runs, with no cut link between the two.
  int falseDownDetections() const { return falseDownDetections_; }
  double inaccurateShare() const;  // of the states that running members hold of others

  // Totals of all members since reset().
  void reset();
  uint64_t bytes() const { return bytes_; }
  uint64_t messages() const { return messages_; }
  uint64_t streams() const { return streams_; }
  double cpu() const { return cpu_; }                                 // CPU seconds of membership and codec
  size_t largestMessage() const { return largestMessage_; }           // bytes
  int maxConcurrentStreams() const { return maxConcurrentStreams_; }  // at one member, in and out
  const Traffic& traffic(int member) const { return traffic_[size_t(member)]; }  // in and out
  const Traffic& totalTraffic() const { return totalTraffic_; }

  const std::string& violation() const { return violation_; }  // the first broken invariant; empty: none

 private:
  struct Host {
    int member = 0;
    std::unique_ptr<members::Membership> membership;
    bool paused = false;
    double extraDelay = 0;
    uint64_t wakeUpVersion = 0;                      // only the wake-up with this version is valid
    std::vector<std::string> queued;                 // messages that arrived while it was paused
    std::vector<members::MemberStatus> lastChecked;  // the status of each member when last checked
    size_t nextChecked = 0;                          // the member with which the next round of checks begins
    int streams = 0;                                 // in transit to and from it
    members::ProcessInstance highestOwn;             // the highest that it gave for itself, in any instance
  };

  static int countOf(const std::vector<int>& byMember, int member) {
    return member >= 0 ? byMember[size_t(member)] : std::accumulate(byMember.begin(), byMember.end(), 0);
  }
  void step(Host& host, const std::string* bytes);
  void deliver(int from, Host& to, const std::string& bytes);
  void checkInvariants(Host& host);
  bool checkStatusOf(Host& host, int other);
  bool reportViolation(const Host& host, const std::string& what) {
    violation_ = "at " + std::to_string(now_) + " n" + std::to_string(host.member) + ": " + what;
    return false;
  }
  bool isAccurate(const Host& host, int other) const {
    return host.membership->statusOf(other).isPresent() == isRunning(other);
  }
  Host& host(int member) { return hosts_[size_t(member)]; }

  members::MembershipSettings settings_;
  members::MessageCodec codec_;
  Pcg32 random_;
  EventQueue events_;
  double now_ = 0;
  std::vector<Host> hosts_;
  std::vector<Host> duplicates_;  // at most one
  std::vector<std::vector<bool>> isCut_;
  uint64_t bytes_ = 0;
  uint64_t messages_ = 0;
  uint64_t streams_ = 0;
  uint64_t lastSeed_ = 0;
  double cpu_ = 0;
  std::vector<int> downDetections_;  // by the member that detected
  std::vector<int> suspicions_;
  int falseDownDetections_ = 0;
  int maxConcurrentStreams_ = 0;
  int regionCount_ = 0;
  size_t largestMessage_ = 0;
  std::vector<Traffic> traffic_;
  Traffic totalTraffic_;
  std::vector<int> changed_;  // members whose status may have changed in this step
  // The pair that disagreed when last checked.
  mutable size_t disagreeingHost_ = 0;
  mutable size_t disagreeingMember_ = 0;
  std::string violation_;
};

}  // namespace elmcleat::lab
