// Discrete-event simulation of many members' leases in virtual time: clocks with offsets and drift, messages
// that are delayed, lost, duplicated and reordered, cut links, and processes that pause, crash and restart
// without state. After every step the sum of what all members may use is compared with the quota. The same
// seed gives the same run.
#pragma once
#include <memory>
#include <string>
#include <vector>

#include "lab/event_queue.h"
#include "pcg32.h"
#include "shared/lease_manager.h"

namespace elmcleat::lab {

class LeaseSimulation {
 public:
  // `drift`: the largest deviation of a clock's rate from 1.
  LeaseSimulation(shared::LeaseSettings settings, uint64_t seed, double drift = 1e-3);

  // Of all messages: delays in seconds, and shares.
  double minDelay = 0.001;
  double maxDelay = 0.005;
  double loss = 0;
  double duplication = 0;
  double lateShare = 0;  // of the messages: delayed by up to lateDelay more
  double lateDelay = 0;

  void setDemand(int member, size_t quota, double units);
  void kill(int member);
  void start(int member);  // as a new instance
  void pause(int member, bool isPaused);
  void cut(int from, int to, bool isCut) { isCut_[size_t(from)][size_t(to)] = isCut; }
  void partition(int from, int to, bool isCut);  // members from..to-1 from all others, both ways
  void run(double until);
  double now() const { return now_; }
  bool isRunning(int member) const { return hosts_[size_t(member)].leases && !hosts_[size_t(member)].paused; }

  double available(int member, size_t quota) const;  // 0: not running
  double available(size_t quota) const;              // to all members, paused ones included
  double used(size_t quota) const;                   // of that, as far as there is demand
  const std::string& violation() const { return violation_; }
  uint64_t messages() const { return messages_; }

 private:
  struct Host {
    std::unique_ptr<shared::LeaseManager> leases;
    double clockOffset = 0;
    double clockRate = 1;
    bool paused = false;
    uint64_t wakeUpVersion = 0;                // only the wake-up with this version is valid
    std::vector<shared::LeaseMessage> queued;  // messages that arrived while it was paused
    std::vector<double> demands;
  };
  double clock(const Host& host) const { return host.clockOffset + host.clockRate * now_; }
  void step(int member);
  void checkQuotas();

  shared::LeaseSettings settings_;
  Pcg32 random_;
  EventQueue events_;
  double now_ = 0;
  uint64_t lastInstance_ = 0;
  uint64_t messages_ = 0;
  std::vector<Host> hosts_;
  std::vector<std::vector<bool>> isCut_;
  std::string violation_;
};

}  // namespace elmcleat::lab
