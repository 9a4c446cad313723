#include "budget/wait_estimator.h"

#include <algorithm>
#include <cmath>

namespace elmcleat::budget {
namespace {

constexpr double kLogStep = 0.08;  // of a factor's logarithm per measured wait
constexpr double kMinWait = 0.01;  // seconds added to raw estimates: a draw takes longer than shorter waits
constexpr double kQueueDelayWeight = 0.5;  // of the queue delay against the mean of recent waits
constexpr double kMeanWaitStep = 0.1;      // of the moving average of waits
constexpr double kMinMeasuredWait = 0.02;  // seconds; shorter waits are not counted
constexpr double kMinSpread = 1.25;        // of p90 over the median; a trend outruns a narrower one
constexpr double kMaxLogFactor = 5;        // bounds a factor's logarithm on both sides
constexpr size_t kMaxProfiles = 256;       // with factors of their own; the others share one

}  // namespace

// Uses the nearest queue on the path with a known departure rate: the command's own queue is assumed to
// depart in proportion to it.
double WaitEstimator::queueDelay(const QueuedCommand& command, double now) {
  for (const BudgetNode* node = command.leaf; node; node = node->parent) {
    double rate = node->departures.rate(now);
    if (rate > 0)
      return (node->queuedWork + command.work / 2) / rate;
  }
  return 0;
}

std::string WaitEstimator::profileKey(const QueuedCommand& command) const {
  std::string profile = command.path.empty() ? "" : command.path.back();
  return factors_.size() >= kMaxProfiles && !factors_.contains(profile) ? "" : profile;
}

double WaitEstimator::rawEstimate(const QueuedCommand& command, double now) {
  bool empty = command.leaf && command.leaf->queued == 0 && command.leaf->departures.rate(now) > 0;
  double byQueue = kMinWait + (empty ? 0 : queueDelay(command, now));
  if (!command.leaf || command.leaf->meanLogWait == 0)
    return byQueue;
  // Geometric mean: the queue shows recent changes, measured waits show what the draws add to it.
  return std::pow(byQueue, kQueueDelayWeight) *
         std::pow(kMinWait + std::exp(command.leaf->meanLogWait), 1 - kQueueDelayWeight);
}

WaitEstimate WaitEstimator::estimateWait(const QueuedCommand& command, double now) const {
  auto found = factors_.find(profileKey(command));
  Factors factors = found == factors_.end() ? Factors{} : found->second;
  double raw = rawEstimate(command, now);
  double median = raw * std::exp(factors.log[0]);
  return {median, std::max(median * kMinSpread, raw * std::exp(factors.log[1]))};
}

WaitEstimate WaitEstimator::commandArrived(const QueuedCommand& command, double now) {
  Factors& factors = factors_[profileKey(command)];
  WaitEstimate estimate = estimateWait(command, now);
  Pending& pending = pending_[command.arrivalNumber] = {&factors, now, rawEstimate(command, now), {}};
  for (size_t i = 0; i < kQuantiles.size(); ++i)
    deadlines_.push({now + pending.rawEstimate * std::exp(factors.log[i]), command.arrivalNumber, i});
  return estimate;
}

void WaitEstimator::advanceTo(double now) {
  while (!deadlines_.empty() && deadlines_.top().time < now) {
    Deadline deadline = deadlines_.top();
    deadlines_.pop();
    auto found = pending_.find(deadline.arrivalNumber);
    if (found == pending_.end())
      continue;
    Pending& pending = found->second;
    double& log = pending.factors->log[deadline.quantile];
    double passedAt = pending.queuedAt + pending.rawEstimate * std::exp(log);
    if (passedAt >= now) {  // the factor has grown since
      deadlines_.push({passedAt, deadline.arrivalNumber, deadline.quantile});
      continue;
    }
    pending.missed[deadline.quantile] = true;
    log = std::min(log + kLogStep * kQuantiles[deadline.quantile], kMaxLogFactor);
  }
}

std::optional<double> WaitEstimator::commandStarted(const QueuedCommand& command, double now) {
  advanceTo(now);
  auto found = pending_.find(command.arrivalNumber);
  if (found == pending_.end())
    return std::nullopt;
  Pending& pending = found->second;
  double wait = now - pending.queuedAt;
  bool counts = wait > kMinMeasuredWait;  // an immediate start carries no information on waits
  for (size_t i = 0; counts && i < kQuantiles.size(); ++i) {
    double& log = pending.factors->log[i];
    if (!pending.missed[i])
      log = std::max(log - kLogStep * (1 - kQuantiles[i]), -kMaxLogFactor);
  }
  if (counts && command.leaf) {
    double& mean = command.leaf->meanLogWait;
    mean = mean == 0 ? std::log(wait) : mean + kMeanWaitStep * (std::log(wait) - mean);
  }
  pending_.erase(found);
  return wait;
}

void WaitEstimator::commandLeft(const QueuedCommand& command) {
  auto found = pending_.find(command.arrivalNumber);
  if (found == pending_.end())
    return;
  for (size_t i = 0; i < kQuantiles.size(); ++i)
    if (found->second.missed[i])
      found->second.factors->log[i] -= kLogStep * kQuantiles[i];
  pending_.erase(found);
}

}  // namespace elmcleat::budget
