// Many members' loans in virtual time: clocks that differ and run at other speeds, letters that are delayed, lost,
// copied and overtaken, cuts, processes that stop, die and start anew having forgotten all. After every step the sum of
// what all may use is compared with the amount. The same seed gives the same run.
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
  LeaseSimulation(shared::LeaseSettings terms, uint64_t seed, double drift = 1e-3);

  double minDelay = 0.001, maxDelay = 0.005, loss = 0, duplication = 0;  // of all letters; seconds, parts
  double lateShare = 0, lateDelay = 0;                                   // a part of them takes up to so long

  void setDemand(int member, size_t amount, double units);
  void kill(int member);
  void start(int member);  // a new life
  void pause(int member, bool is);
  void cut(int from, int to, bool is) { cut_[size_t(from)][size_t(to)] = is; }
  void partition(int from, int to, bool is);  // members from..to-1 from all others, both ways
  void run(double until);
  double now() const { return now_; }
  bool isRunning(int member) const { return hosts_[size_t(member)].leases && !hosts_[size_t(member)].paused; }

  double available(int member, size_t amount) const;  // 0: it does not run
  double available(size_t amount) const;              // of all together, those included that stand still
  double used(size_t amount) const;                   // of that, what they want
  const std::string& violation() const { return broken_; }
  uint64_t messages() const { return letters_; }

 private:
  struct Host {
    std::unique_ptr<shared::LeaseManager> leases;
    double offset = 0, speed = 1;
    bool paused = false;
    uint64_t version = 0;
    std::vector<shared::LeaseMessage> waiting;
    std::vector<double> wants;
  };
  double clock(const Host& host) const { return host.offset + host.speed * now_; }
  void turn(int member);
  void check();

  shared::LeaseSettings settings_;
  Pcg32 chance_;
  EventQueue events_;
  double now_ = 0;
  uint64_t lives_ = 0, letters_ = 0;
  std::vector<Host> hosts_;
  std::vector<std::vector<bool>> cut_;
  std::string broken_;
};

}  // namespace elmcleat::lab
