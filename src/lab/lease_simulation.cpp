#include "lab/lease_simulation.h"

#include <algorithm>

namespace elmcleat::lab {

using namespace shared;

LeaseSimulation::LeaseSimulation(LeaseSettings terms, uint64_t seed, double drift)
    : settings_(std::move(terms)),
      chance_(seed),
      lives_(seed << 20),
      hosts_(size_t(settings_.memberCount)),
      cut_(size_t(settings_.memberCount), std::vector<bool>(size_t(settings_.memberCount))) {
  for (auto& host : hosts_) {
    host.offset = chance_.uniformBetween(-1e6, 1e6), host.speed = 1 + chance_.uniformBetween(-drift, drift);
    host.wants.resize(settings_.quotas.size());
  }
  for (int i = 0; i < settings_.memberCount; ++i)
    start(i);
}

void LeaseSimulation::start(int member) {
  Host& host = hosts_[size_t(member)];
  ++lives_;
  host.leases = std::make_unique<LeaseManager>(settings_, member, lives_, lives_, clock(host));
  host.paused = false, host.waiting.clear();
  for (size_t i = 0; i < host.wants.size(); ++i)
    host.leases->setDemand(i, host.wants[i]);
  turn(member);
}

void LeaseSimulation::kill(int member) {
  hosts_[size_t(member)].leases.reset(), hosts_[size_t(member)].paused = false,
                                         ++hosts_[size_t(member)].version;
}

void LeaseSimulation::pause(int member, bool is) {
  Host& host = hosts_[size_t(member)];
  if (!host.leases || host.paused == is)
    return;
  host.paused = is, ++host.version;
  if (is)
    return;
  for (auto& message : std::exchange(host.waiting, {}))
    host.leases->receive(clock(host), message);
  turn(member);
}

void LeaseSimulation::setDemand(int member, size_t amount, double units) {
  Host& host = hosts_[size_t(member)];
  host.wants[amount] = units;
  if (host.leases)
    host.leases->setDemand(amount, units);
}

void LeaseSimulation::partition(int from, int to, bool is) {
  auto inside = [&](int one) { return one >= from && one < to; };
  for (int a = 0; a < settings_.memberCount; ++a)
    for (int b = 0; b < settings_.memberCount; ++b)
      if (inside(a) != inside(b))
        cut(a, b, is);
}

void LeaseSimulation::turn(int member) {
  Host& host = hosts_[size_t(member)];
  host.leases->tick(clock(host));
  check();  // what is granted counts before the letter is on its way
  for (auto& message : host.leases->takeOutgoing()) {
    ++letters_;
    for (int copy = 1 + (chance_.uniform() < duplication); copy > 0; --copy) {
      if (chance_.uniform() < loss)
        continue;
      double way = chance_.uniformBetween(minDelay, maxDelay) +
                   (chance_.uniform() < lateShare ? lateDelay * chance_.uniform() : 0);
      events_.schedule(now_ + way, [this, message] {
        Host& to = hosts_[size_t(message.to)];
        if (cut_[size_t(message.from)][size_t(message.to)] || !to.leases)
          return;
        if (to.paused)
          return void(to.waiting.size() < 64 ? to.waiting.push_back(message) : void());
        to.leases->receive(clock(to), message);
        turn(message.to);
      });
    }
  }
  uint64_t version = ++host.version;
  double wakes = (host.leases->nextWakeUp() - host.offset) / host.speed;
  events_.schedule(std::max(wakes, now_ + 1e-4), [this, member, version] {
    if (hosts_[size_t(member)].version == version)
      turn(member);
  });
}

double LeaseSimulation::available(int member, size_t amount) const {
  const Host& host = hosts_[size_t(member)];
  return host.leases ? host.leases->available(amount, clock(host)) : 0;
}

double LeaseSimulation::available(size_t amount) const {
  double all = 0;
  for (int i = 0; i < settings_.memberCount; ++i)
    all += available(i, amount);
  return all;
}

double LeaseSimulation::used(size_t amount) const {
  double all = 0;
  for (int i = 0; i < settings_.memberCount; ++i)
    if (isRunning(i))
      all += std::min(available(i, amount), hosts_[size_t(i)].wants[amount]);
  return all;
}

void LeaseSimulation::check() {
  if (!broken_.empty())
    return;
  for (size_t i = 0; i < settings_.quotas.size(); ++i)
    if (double all = available(i); all > settings_.quotas[i] * (1 + 1e-9))
      broken_ = "at " + std::to_string(now_) + ": " + std::to_string(all) + " of " +
                std::to_string(settings_.quotas[i]) + " may be used";
}

void LeaseSimulation::run(double until) {
  bool reached = false;
  events_.schedule(until, [&reached] { reached = true; });
  while (!reached && events_.runNext(now_)) {
  }
}

}  // namespace elmcleat::lab
