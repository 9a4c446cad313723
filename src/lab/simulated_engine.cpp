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

double SimulatedEngine::cores(double now) const {
  double warm =
      startedAt && fleet_.coldTime > 0 ? std::clamp((now - *startedAt) / fleet_.coldTime, 0.0, 1.0) : 1;
  return fleet_.hardware.cores * (fleet_.coldFrom + (1 - fleet_.coldFrom) * warm);
}

void SimulatedEngine::pass(double now) {
  for (auto& one : running_) {
    one.left -= one.rate * (now - last_);
    busy += one.rate * (now - last_);
  }
  last_ = now;
}

// Cores go 1 : 4 : 8 : 16 by priority where they are short, none to more than its threads; past the knee less is done.
void SimulatedEngine::share(double now) {
  static constexpr double kWeights[] = {1, 4, 8, 16};
  double all = threads(), able = cores(now) * fleet_.hardware.speed / times_;
  if (double over = all / std::max(cores(now), 1e-9) - fleet_.knee; over > 0)
    able /= 1 + fleet_.fall * over;
  double memory = 0;
  for (auto& one : running_)
    memory += one.memoryMb, one.rate = 0;
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
      double most = one->threads * fleet_.hardware.speed / times_;
      double part = left * kWeights[std::clamp(one->priority, 0, 3)] * one->threads / weights;
      if (part >= most)
        one->rate = most, given += most, full = true;
    }
    if (!full) {
      for (auto* one : open)
        one->rate = left * kWeights[std::clamp(one->priority, 0, 3)] * one->threads / weights;
      break;
    }
    left -= given;
    std::erase_if(open, [](auto* one) { return one->rate > 0; });
  }
  for (auto& one : running_)
    one.rate /= spill;
}

bool SimulatedEngine::begin(double now, const RunningSend& send, uint64_t tables) {
  if (!up)
    return false;
  pass(now);
  RunningSend one = send;
  bool warm = std::ranges::find(warm_, tables) != warm_.end();
  warm_.remove(tables), warm_.push_front(tables);
  if (warm_.size() > size_t(fleet_.warmGroups))
    warm_.pop_back();
  if (warm)
    one.left *= 1 - fleet_.warmSaves;
  running_.push_back(one);
  if (fleet_.fallMultiple > 0 && startedAt && now < *startedAt + fleet_.coldTime) {  // is it pushed over?
    coldWork_.emplace_back(now, one.work);
    double sum = 0;
    for (auto& [at, work] : coldWork_)
      if (at > now - fleet_.fallTime)
        sum += work;
    if (sum > fleet_.fallMultiple * cores(now) * fleet_.fallTime)
      overloadedWhileCold = true;
  }
  share(now);
  return true;
}

void SimulatedEngine::drop(double now, uint64_t send) {
  pass(now);
  std::erase_if(running_, [&](auto& one) { return one.send == send; });
  share(now);
}

void SimulatedEngine::setPriority(double now, uint64_t send, int priority) {
  pass(now);
  for (auto& one : running_)
    if (one.send == send)
      one.priority = priority;
  share(now);
}

std::vector<RunningSend> SimulatedEngine::finished(double now) {
  pass(now);
  std::vector<RunningSend> over;
  std::erase_if(running_, [&](auto& one) { return one.left <= 1e-9 && (over.push_back(one), true); });
  share(now);
  return over;
}

std::optional<double> SimulatedEngine::nextEnd() const {
  std::optional<double> at;
  for (auto& one : running_)
    if (one.rate > 0)
      at = std::min(at.value_or(HUGE_VAL), last_ + std::max(0.0, one.left) / one.rate);
  // While it warms up its cores change: rates are looked at again before long.
  if (at && startedAt && last_ < *startedAt + fleet_.coldTime)
    at = std::min(*at, last_ + 0.25);
  return at;
}

void SimulatedEngine::slow(double now, double times) { pass(now), times_ = times, share(now); }

void SimulatedEngine::start(double now, bool cold) {
  last_ = now, up = true, overloadedWhileCold = false, warm_.clear(), coldWork_.clear();
  startedAt = cold ? std::optional(now) : std::nullopt;
}

std::vector<RunningSend> SimulatedEngine::stop(double now) {
  pass(now);
  up = false;
  return std::exchange(running_, {});
}

}  // namespace elmcleat::lab
