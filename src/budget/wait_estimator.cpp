#include "budget/wait_estimator.h"

#include <algorithm>
#include <cmath>

namespace elmcleat::budget {
namespace {

constexpr double kStep = 0.08;   // of a factor's logarithm, a miss
constexpr double kLeast = 0.01;  // seconds; what is told below it counts for nothing: a draw takes longer
constexpr double kQueuePart = 0.5, kWaitStep = 0.1;
constexpr double kWaited = 0.02;   // seconds; less is no wait
constexpr double kSpread = 1.25;   // nine in ten over a half, at least: a trend outruns the narrow ones
constexpr double kLogMost = 5;     // a factor's logarithm, at most and at least
constexpr size_t kProfiles = 256;  // with factors of their own

}  // namespace

// The nearest queue above that tells how fast it goes: the command's own goes as fast as it, for its part.
double WaitEstimator::base(const QueuedCommand& item, double now) {
  for (const BudgetNode* node = item.leaf; node; node = node->parent) {
    double rate = node->departures.rate(now);
    if (rate > 0)
      return (node->queuedWork + item.work / 2) / rate;
  }
  return 0;
}

std::string WaitEstimator::keyOf(const QueuedCommand& item) const {
  std::string profile = item.path.empty() ? "" : item.path.back();
  return factors_.size() >= kProfiles && !factors_.contains(profile) ? "" : profile;
}

double WaitEstimator::reckoned(const QueuedCommand& item, double now) {
  bool empty = item.leaf && item.leaf->queued == 0 && item.leaf->departures.rate(now) > 0;
  double byQueue = kLeast + (empty ? 0 : base(item, now));
  if (!item.leaf || item.leaf->meanLogWait == 0)
    return byQueue;
  // In the mean of logarithms: the queue tells what is new, waits of late what draws add to it.
  return std::pow(byQueue, kQueuePart) * std::pow(kLeast + std::exp(item.leaf->meanLogWait), 1 - kQueuePart);
}

WaitEstimate WaitEstimator::estimateWait(const QueuedCommand& item, double now) const {
  auto found = factors_.find(keyOf(item));
  Factors factors = found == factors_.end() ? Factors{} : found->second;
  double all = reckoned(item, now), half = all * std::exp(factors.log[0]);
  return {half, std::max(half * kSpread, all * std::exp(factors.log[1]))};
}

WaitEstimate WaitEstimator::commandArrived(const QueuedCommand& item, double now) {
  Factors& factors = factors_[keyOf(item)];
  WaitEstimate estimate = estimateWait(item, now);
  Pending& pending = pending_[item.arrivalNumber] = {&factors, now, reckoned(item, now), {}};
  for (size_t i = 0; i < kSure.size(); ++i)
    due_.push({now + pending.base * std::exp(factors.log[i]), item.arrivalNumber, i});
  return estimate;
}

void WaitEstimator::advanceTo(double now) {
  while (!due_.empty() && due_.top().at < now) {
    Due one = due_.top();
    due_.pop();
    auto found = pending_.find(one.number);
    if (found == pending_.end())
      continue;
    Pending& pending = found->second;
    double& log = pending.factors->log[one.which];
    double passes = pending.heldAt + pending.base * std::exp(log);
    if (passes >= now) {  // the factor has grown since
      due_.push({passes, one.number, one.which});
      continue;
    }
    pending.missed[one.which] = true;
    log = std::min(log + kStep * kSure[one.which], kLogMost);
  }
}

std::optional<double> WaitEstimator::commandStarted(const QueuedCommand& item, double now) {
  advanceTo(now);
  auto found = pending_.find(item.arrivalNumber);
  if (found == pending_.end())
    return std::nullopt;
  Pending& pending = found->second;
  double held = now - pending.heldAt;
  bool waited = held > kWaited;  // who starts at once says nothing of waits
  for (size_t i = 0; waited && i < kSure.size(); ++i) {
    double& log = pending.factors->log[i];
    if (!pending.missed[i])
      log = std::max(log - kStep * (1 - kSure[i]), -kLogMost);
  }
  if (waited && item.leaf) {
    double& mean = item.leaf->meanLogWait;
    mean = mean == 0 ? std::log(held) : mean + kWaitStep * (std::log(held) - mean);
  }
  pending_.erase(found);
  return held;
}

void WaitEstimator::commandLeft(const QueuedCommand& item) {
  auto found = pending_.find(item.arrivalNumber);
  if (found == pending_.end())
    return;
  for (size_t i = 0; i < kSure.size(); ++i)
    if (found->second.missed[i])
      found->second.factors->log[i] -= kStep * kSure[i];
  pending_.erase(found);
}

}  // namespace elmcleat::budget
