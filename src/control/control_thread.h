// The control thread: state that many processes share, kept apart from traffic, with a scheduler of its own. Traffic
// reads the latest view without waiting and judges it by its age; a control thread that hangs or ends costs what it
// tells, never a command. Absent unless the gateway file asks for it: no thread, no socket.
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

// What control state is to a traffic thread, at one moment.
struct ControlSnapshot {
  members::MembershipSnapshot members;
  std::vector<shared::AvailableQuota>
      quotas;  // of the rates that are shared, in the order of budget::fleetRates()
};

// Rates of budgets that go to where they are asked for.
struct QuotaSharing {
  shared::LeaseSettings settings;
  std::vector<budget::FleetRate> rates;
};

class ControlThread {
 public:
  // Binds the sockets, so that the start ends with what is wrong: members::Error. `name` is this process's; the clock is
  // that of both threads, so that ages can be told.
  ControlThread(const Clock& clock, const members::MembershipSettings& settings, const std::string& name,
                uint64_t seed, const std::optional<QuotaSharing>& sharing = {});
  ControlThread(const ControlThread&) = delete;
  ControlThread& operator=(const ControlThread&) = delete;
  ~ControlThread();

  // All that follows is for the traffic thread. The latest view, or null where there is none or it is too old to act on.
  const ControlSnapshot* latest(double now);
  // Looks now and then whether the control thread still tells something, and logs when that changes.
  void watch(Scheduler& traffic);
  // The latest of what may be used, whatever its age: each loan in it holds until its own end. `number` is that of its
  // view; once it is in force here, acknowledge(number) lets go what rests on it.
  const ControlSnapshot* latestQuotas() { return snapshot_.read(); }
  void acknowledge(uint64_t number) { acknowledged_.store(number, std::memory_order_release); }
  void setDemand(std::vector<double> cores) {
    demand_.publish(std::make_unique<const std::vector<double>>(std::move(cores)));
  }

  // Says goodbye to the others and ends the thread. It is given a bounded time; false: it hangs, and can't be waited for.
  bool stop();

 private:
  struct State;
  void run();
  void publishSnapshot(State& inside, double now);
  void exchangeLeases(State& inside, double now);
  Task leave(State& inside, const Descriptor& wake);

  const Clock& clock_;
  double startedAt_;
  std::unique_ptr<State> state_;
  LatestValue<ControlSnapshot> snapshot_;
  LatestValue<std::vector<double>> demand_;  // the other way: cores that there is use for
  std::atomic<uint64_t> acknowledged_{0};
  std::atomic<bool> ended_{false};
  int wake_ = -1;  // an eventfd: stop() has been called
  bool stalled_ = false;
  std::unique_ptr<Timer> watch_;
  std::thread thread_;
};

}  // namespace elmcleat
