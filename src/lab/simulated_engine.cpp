#include "lab/simulated_engine.h"

#include <algorithm>
#include <cmath>

namespace elmcleat::lab {

double SimulatedEngine::threads() const {
  double all = 0;
  for (auto& one : running_)
    all += one.threads;
  return all;
}

double SimulatedEngine::availableCores(double now) const {
  double warm = startedAt && fleet_.coldDuration > 0
                    ? std::clamp((now - *startedAt) / fleet_.coldDuration, 0.0, 1.0)
                    : 1;
  return fleet_.hardware.cores * (fleet_.coldCapacity + (1 - fleet_.coldCapacity) * warm);
}

void SimulatedEngine::advanceTo(double now) {
  for (auto& one : running_) {
    one.remainingWork -= one.workRate * (now - lastUpdate_);
    coreSecondsDone += one.workRate * (now - lastUpdate_);
  }
  lastUpdate_ = now;
}

// Cores go 1 : 4 : 8 : 16 by priority where they are short, none to more than its threads; past the knee less is done.
void SimulatedEngine::assignRates(double now) {
  static constexpr double kWeights[] = {1, 4, 8, 16};
  double all = threads(), able = availableCores(now) * fleet_.hardware.speed / slowdown_;
  if (double over = all / std::max(availableCores(now), 1e-9) - fleet_.saturationThreadsPerCore; over > 0)
    able /= 1 + fleet_.throughputLossPerThread * over;
  double memory = 0;
  for (auto& one : running_)
    memory += one.memoryMb, one.workRate = 0;
  double spill = fleet_.hardware.memoryMb > 0 && memory > fleet_.hardware.memoryMb
                     ? 1 + fleet_.spillCost * (1 - fleet_.hardware.memoryMb / memory)
                     : 1;
  double left = able;
  std::vector<RunningSend*> open;
  for (auto& one : running_)
    open.push_back(&one);
  while (!open.empty() && left > 1e-12) {
    double weights = 0;
    for (auto* one : open)
      weights += kWeights[std::clamp(one->priority, 0, 3)] * one->threads;
    bool full = false;
    double given = 0;
    for (auto* one : open) {
      double most = one->threads * fleet_.hardware.speed / slowdown_;
      double part = left * kWeights[std::clamp(one->priority, 0, 3)] * one->threads / weights;
      if (part >= most)
        one->workRate = most, given += most, full = true;
    }
    if (!full) {
      for (auto* one : open)
        one->workRate = left * kWeights[std::clamp(one->priority, 0, 3)] * one->threads / weights;
      break;
    }
    left -= given;
    std::erase_if(open, [](auto* one) { return one->workRate > 0; });
  }
  for (auto& one : running_)
    one.workRate /= spill;
}

bool SimulatedEngine::startSend(double now, const RunningSend& send, uint64_t tableGroup) {
  if (!up)
    return false;
  advanceTo(now);
  RunningSend one = send;
  bool warm = std::ranges::find(warmTableGroups_, tableGroup) != warmTableGroups_.end();
  warmTableGroups_.remove(tableGroup), warmTableGroups_.push_front(tableGroup);
  if (warmTableGroups_.size() > size_t(fleet_.warmTableGroups))
    warmTableGroups_.pop_back();
  if (warm)
    one.remainingWork *= 1 - fleet_.warmSavings;
  running_.push_back(one);
  if (fleet_.coldOverloadFactor > 0 && startedAt &&
      now < *startedAt + fleet_.coldDuration) {  // is it pushed over?
    coldWork_.emplace_back(now, one.work);
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
  std::vector<RunningSend> over;
  std::erase_if(running_,
                [&](auto& one) { return one.remainingWork <= 1e-9 && (over.push_back(one), true); });
  assignRates(now);
  return over;
}

std::optional<double> SimulatedEngine::nextCompletion() const {
  std::optional<double> at;
  for (auto& one : running_)
    if (one.workRate > 0)
      at = std::min(at.value_or(HUGE_VAL), lastUpdate_ + std::max(0.0, one.remainingWork) / one.workRate);
  // While it warms up its cores change: rates are looked at again before long.
  if (at && startedAt && lastUpdate_ < *startedAt + fleet_.coldDuration)
    at = std::min(*at, lastUpdate_ + 0.25);
  return at;
}

void SimulatedEngine::setSlowdown(double now, double factor) {
  advanceTo(now), slowdown_ = factor, assignRates(now);
}

void SimulatedEngine::start(double now, bool cold) {
  lastUpdate_ = now, up = true, overloadedWhileCold = false, warmTableGroups_.clear(), coldWork_.clear();
  startedAt = cold ? std::optional(now) : std::nullopt;
}

std::vector<RunningSend> SimulatedEngine::stop(double now) {
  advanceTo(now);
  up = false;
  return std::exchange(running_, {});
}

}  // namespace elmcleat::lab
