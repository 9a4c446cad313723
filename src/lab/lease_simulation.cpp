#include "lab/lease_simulation.h"

#include <algorithm>

namespace elmcleat::lab {

using namespace shared;

namespace {

constexpr double kMaxClockOffset = 1e6;    // seconds, either way
constexpr size_t kMaxQueuedMessages = 64;  // of a paused member: its socket's buffer
constexpr double kMinWakeUpInterval = 1e-4;
constexpr double kQuotaTolerance = 1e-9;  // relative, of rounding

}  // namespace

LeaseSimulation::LeaseSimulation(LeaseSettings settings, uint64_t seed, double drift)
    : settings_(std::move(settings)),
      random_(seed),
      lastInstance_(seed << 20),
      hosts_(size_t(settings_.memberCount)),
      isCut_(size_t(settings_.memberCount), std::vector<bool>(size_t(settings_.memberCount))) {
  for (auto& host : hosts_) {
    host.clockOffset = random_.uniformBetween(-kMaxClockOffset, kMaxClockOffset);
    host.clockRate = 1 + random_.uniformBetween(-drift, drift);
    host.demands.resize(settings_.quotas.size());
  }
  for (int i = 0; i < settings_.memberCount; ++i)
    start(i);
}

void LeaseSimulation::start(int member) {
  Host& host = hosts_[size_t(member)];
  ++lastInstance_;
  host.leases = std::make_unique<LeaseManager>(settings_, member, lastInstance_, lastInstance_, clock(host));
  host.paused = false;
  host.queued.clear();
  for (size_t i = 0; i < host.demands.size(); ++i)
    host.leases->setDemand(i, host.demands[i]);
  step(member);
}

void LeaseSimulation::kill(int member) {
  hosts_[size_t(member)].leases.reset();
  hosts_[size_t(member)].paused = false;
  ++hosts_[size_t(member)].wakeUpVersion;
}

void LeaseSimulation::pause(int member, bool isPaused) {
  Host& host = hosts_[size_t(member)];
  if (!host.leases || host.paused == isPaused)
    return;
  host.paused = isPaused;
  ++host.wakeUpVersion;
  if (isPaused)
    return;
  for (auto& message : std::exchange(host.queued, {}))
    host.leases->receive(clock(host), message);
  step(member);
}

void LeaseSimulation::setDemand(int member, size_t quota, double units) {
  Host& host = hosts_[size_t(member)];
  host.demands[quota] = units;
  if (host.leases)
    host.leases->setDemand(quota, units);
}

void LeaseSimulation::partition(int from, int to, bool isCut) {
  auto inGroup = [&](int member) { return member >= from && member < to; };
  for (int a = 0; a < settings_.memberCount; ++a)
    for (int b = 0; b < settings_.memberCount; ++b)
      if (inGroup(a) != inGroup(b))
        cut(a, b, isCut);
}

// Lets a member do what is due, delivers what it sends, and schedules its next wake-up.
void LeaseSimulation::step(int member) {
  Host& host = hosts_[size_t(member)];
  host.leases->tick(clock(host));
  checkQuotas();  // a grant counts before its message is delivered
  for (auto& message : host.leases->takeOutgoing()) {
    ++messages_;
    for (int copy = 1 + (random_.uniform() < duplication); copy > 0; --copy) {
      if (random_.uniform() < loss)
        continue;
      double delay = random_.uniformBetween(minDelay, maxDelay) +
                     (random_.uniform() < lateShare ? lateDelay * random_.uniform() : 0);
      events_.schedule(now_ + delay, [this, message] {
        Host& to = hosts_[size_t(message.to)];
        if (isCut_[size_t(message.from)][size_t(message.to)] || !to.leases)
          return;
        if (to.paused)
          return void(to.queued.size() < kMaxQueuedMessages ? to.queued.push_back(message) : void());
        to.leases->receive(clock(to), message);
        step(message.to);
      });
    }
  }
  uint64_t version = ++host.wakeUpVersion;
  double wakeUpAt = (host.leases->nextWakeUp() - host.clockOffset) / host.clockRate;
  events_.schedule(std::max(wakeUpAt, now_ + kMinWakeUpInterval), [this, member, version] {
    if (hosts_[size_t(member)].wakeUpVersion == version)
      step(member);
  });
}

double LeaseSimulation::available(int member, size_t quota) const {
  const Host& host = hosts_[size_t(member)];
  return host.leases ? host.leases->available(quota, clock(host)) : 0;
}

double LeaseSimulation::available(size_t quota) const {
  double sum = 0;
  for (int i = 0; i < settings_.memberCount; ++i)
    sum += available(i, quota);
  return sum;
}

double LeaseSimulation::used(size_t quota) const {
  double sum = 0;
  for (int i = 0; i < settings_.memberCount; ++i)
    if (isRunning(i))
      sum += std::min(available(i, quota), hosts_[size_t(i)].demands[quota]);
  return sum;
}

void LeaseSimulation::checkQuotas() {
  if (!violation_.empty())
    return;
  for (size_t i = 0; i < settings_.quotas.size(); ++i)
    if (double sum = available(i); sum > settings_.quotas[i] * (1 + kQuotaTolerance))
      violation_ = "at " + std::to_string(now_) + ": " + std::to_string(sum) + " of " +
                   std::to_string(settings_.quotas[i]) + " may be used";
}

void LeaseSimulation::run(double until) {
  bool reached = false;
  events_.schedule(until, [&reached] { reached = true; });
  while (!reached && events_.runNext(now_)) {
  }
}

}  // namespace elmcleat::lab
