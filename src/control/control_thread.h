// The control thread runs the protocols that processes share, membership and leases of quotas, on a scheduler
// of its own, apart from the traffic thread. It publishes immutable snapshots, which the traffic thread reads
// by a wait-free exchange and judges by their age: a control thread that stalls or fails costs the shared
// state, but no command. It exists only if the gateway file configures it; otherwise there is neither a
// thread nor a socket.
#pragma once
#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "budget/budget_settings.h"
#include "members/membership_settings.h"
#include "members/snapshot.h"
#include "runtime/latest_value.h"
#include "runtime/scheduler.h"
#include "shared/lease_manager.h"

namespace elmcleat {

// The control state at one moment, as published to the traffic thread.
struct ControlSnapshot {
  members::MembershipSnapshot members;
  // Of the rates that are shared, in the order of budget::fleetRates().
  std::vector<shared::AvailableQuota> quotas;
};

// The rates of budgets that the members of the fleet lease to each other on demand.
struct QuotaSharing {
  shared::LeaseSettings settings;
  std::vector<budget::FleetRate> rates;
};

class ControlThread {
 public:
  // Binds the sockets and starts the thread. Throws members::Error if the settings do not list `name`, the
  // name of this process, or its address is in use. Both threads use the clock, so that the ages of snapshots
  // are valid.
  ControlThread(const Clock& clock, const members::MembershipSettings& settings, const std::string& name,
                uint64_t seed, const std::optional<QuotaSharing>& sharing = {});
  ControlThread(const ControlThread&) = delete;
  ControlThread& operator=(const ControlThread&) = delete;
  // Ends the whole process if the thread does not stop in time, because it still uses the members of this
  // object.
  ~ControlThread();

  // The following functions are for the traffic thread only.

  // The latest snapshot, or null if there is none or it is too old to act on. Logs when that changes.
  const ControlSnapshot* latest(double now);
  // Starts the watchdog: a timer that checks the age of the latest snapshot, so that a stall is logged
  // without traffic.
  void watch(Scheduler& traffic);
  // The latest snapshot whatever its age, for its quotas: each lease in them is valid until its own end. Once
  // they are applied, acknowledge() with the number of the snapshot's `members` releases the grants and
  // returns that depend on it.
  const ControlSnapshot* latestQuotas() { return snapshot_.read(); }
  void acknowledge(uint64_t number) { acknowledged_.store(number, std::memory_order_release); }
  // The cores that this process could use of each shared rate.
  void setDemand(std::vector<double> cores) {
    demand_.publish(std::make_unique<const std::vector<double>>(std::move(cores)));
  }

  // Announces to the other members that this process leaves, and ends the thread. Returns false if the thread
  // does not end within a bounded time; it cannot be joined then.
  bool stop();

 private:
  struct State;
  void run();
  void publishSnapshot(State& state, double now);
  void exchangeLeases(State& state, double now);
  Task awaitStop(State& state, const Descriptor& stopEvent);

  const Clock& clock_;
  double startedAt_;
  std::unique_ptr<State> state_;  // used by the control thread only, once it runs
  LatestValue<ControlSnapshot> snapshot_;
  LatestValue<std::vector<double>> demand_;  // from the traffic thread to the control thread
  std::atomic<uint64_t> acknowledged_{0};
  std::atomic<bool> ended_{false};
  int stopEvent_ = -1;  // an eventfd, written by stop()
  bool stalled_ = false;
  std::unique_ptr<Timer> watchdog_;
  std::thread thread_;
};

}  // namespace elmcleat
