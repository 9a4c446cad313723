#include "lab/simulated_engine.h"

#include <algorithm>
#include <cmath>

namespace elmcleat::lab {

constexpr double kWarmUpUpdate = 0.25;  // seconds

double SimulatedEngine::threads() const {
  double sum = 0;
  for (auto& send : running_)
    sum += send.threads;
  return sum;
}

double SimulatedEngine::availableCores(double now) const {
  double warmth = startedAt && fleet_.coldDuration > 0
                      ? std::clamp((now - *startedAt) / fleet_.coldDuration, 0.0, 1.0)
                      : 1;
  return fleet_.hardware.cores * (fleet_.coldCapacity + (1 - fleet_.coldCapacity) * warmth);
}

void SimulatedEngine::advanceTo(double now) {
  for (auto& one : running_) {
    one.remainingWork -= one.workRate * (now - lastUpdate_);
    coreSecondsDone += one.workRate * (now - lastUpdate_);
  }
  lastUpdate_ = now;
}

// Weighted max-min fair sharing (water-filling): cores go 1 : 4 : 8 : 16 by priority, times threads, and no
// send gets more than one core per thread. Above the saturation point the total throughput falls; sends slow
// down when memory is short.
void SimulatedEngine::assignRates(double now) {
  static constexpr double kWeights[] = {1, 4, 8, 16};
  double allThreads = threads();
  double capacity = availableCores(now) * fleet_.hardware.speed / slowdown_;
  if (double excess = allThreads / std::max(availableCores(now), 1e-9) - fleet_.saturationThreadsPerCore;
      excess > 0)
    capacity /= 1 + fleet_.throughputLossPerThread * excess;
  double memory = 0;
  for (auto& send : running_) {
    memory += send.memoryMb;
    send.workRate = 0;
  }
  double spill = fleet_.hardware.memoryMb > 0 && memory > fleet_.hardware.memoryMb
                     ? 1 + fleet_.spillCost * (1 - fleet_.hardware.memoryMb / memory)
                     : 1;
  double remaining = capacity;
  std::vector<RunningSend*> open;  // sends without a rate yet
  for (auto& send : running_)
    open.push_back(&send);
  while (!open.empty() && remaining > 1e-12) {
    double weights = 0;
    for (auto* send : open)
      weights += kWeights[std::clamp(send->priority, 0, 3)] * send->threads;
    bool anyAtLimit = false;
    double assigned = 0;
    for (auto* send : open) {
      double limit = send->threads * fleet_.hardware.speed / slowdown_;
      double share = remaining * kWeights[std::clamp(send->priority, 0, 3)] * send->threads / weights;
      if (share >= limit) {
        send->workRate = limit;
        assigned += limit;
        anyAtLimit = true;
      }
    }
    if (!anyAtLimit) {
      for (auto* send : open)
        send->workRate = remaining * kWeights[std::clamp(send->priority, 0, 3)] * send->threads / weights;
      break;
    }
    remaining -= assigned;
    std::erase_if(open, [](auto* send) { return send->workRate > 0; });
  }
  for (auto& send : running_)
    send.workRate /= spill;
}

bool SimulatedEngine::startSend(double now, const RunningSend& send, uint64_t tableGroup) {
  if (!up)
    return false;
  advanceTo(now);
  RunningSend running = send;
  bool warm = std::ranges::find(warmTableGroups_, tableGroup) != warmTableGroups_.end();
  warmTableGroups_.remove(tableGroup);
  warmTableGroups_.push_front(tableGroup);
  if (warmTableGroups_.size() > size_t(fleet_.warmTableGroups))
    warmTableGroups_.pop_back();
  if (warm)
    running.remainingWork *= 1 - fleet_.warmSavings;
  running_.push_back(running);
  if (fleet_.coldOverloadFactor > 0 && startedAt && now < *startedAt + fleet_.coldDuration) {
    coldWork_.emplace_back(now, running.work);
    double sum = 0;
    for (auto& [at, work] : coldWork_)
      if (at > now - fleet_.coldOverloadWindow)
        sum += work;
    if (sum > fleet_.coldOverloadFactor * availableCores(now) * fleet_.coldOverloadWindow)
      overloadedWhileCold = true;
  }
  assignRates(now);
  return true;
}

void SimulatedEngine::cancelSend(double now, uint64_t send) {
  advanceTo(now);
  std::erase_if(running_, [&](auto& one) { return one.send == send; });
  assignRates(now);
}

void SimulatedEngine::setPriority(double now, uint64_t send, int priority) {
  advanceTo(now);
  for (auto& one : running_)
    if (one.send == send)
      one.priority = priority;
  assignRates(now);
}

std::vector<RunningSend> SimulatedEngine::takeFinished(double now) {
  advanceTo(now);
  std::vector<RunningSend> finished;
  std::erase_if(running_,
                [&](auto& one) { return one.remainingWork <= 1e-9 && (finished.push_back(one), true); });
  assignRates(now);
  return finished;
}

std::optional<double> SimulatedEngine::nextCompletion() const {
  std::optional<double> at;
  for (auto& one : running_)
    if (one.workRate > 0)
      at = std::min(at.value_or(HUGE_VAL), lastUpdate_ + std::max(0.0, one.remainingWork) / one.workRate);
  // Rates depend on the cores, which change while the engine warms up: update them at least every
  // kWarmUpUpdate.
  if (at && startedAt && lastUpdate_ < *startedAt + fleet_.coldDuration)
    at = std::min(*at, lastUpdate_ + kWarmUpUpdate);
  return at;
}

void SimulatedEngine::setSlowdown(double now, double factor) {
  advanceTo(now);
  slowdown_ = factor;
  assignRates(now);
}

void SimulatedEngine::start(double now, bool cold) {
  lastUpdate_ = now;
  up = true;
  overloadedWhileCold = false;
  warmTableGroups_.clear();
  coldWork_.clear();
  startedAt = cold ? std::optional(now) : std::nullopt;
}

std::vector<RunningSend> SimulatedEngine::stop(double now) {
  advanceTo(now);
  up = false;
  return std::exchange(running_, {});
}

}  // namespace elmcleat::lab
