#include "shared/lease_manager.h"

#include <algorithm>
#include <cmath>

namespace elmcleat::shared {
namespace {

constexpr double kTickInterval = 0.1;    // seconds
constexpr double kDemandMargin = 1.02;   // factor: slightly more than the demand is kept and requested
constexpr double kRenewalPoint = 0.5;    // part of leaseDuration after which a lease is renewed
constexpr double kRequestTimeout = 0.4;  // seconds after which an unanswered request may be repeated
constexpr double kLendableLifetime = 1;  // seconds for which a lender's report of lendable units is used
constexpr double kMaxBackoff = 0.8;      // seconds between requests while none is granted
constexpr size_t kMinFanout = 2;         // members asked per tick
constexpr size_t kMaxFanout = 32;
constexpr double kNegligibleShare = 1e-9;  // of a member's own quota: less counts as nothing

}  // namespace

std::vector<ValidationError> validate(const LeaseSettings& settings) {
  std::vector<ValidationError> errors;
  for (size_t i = 0; i < settings.quotas.size(); ++i)
    if (!(settings.quotas[i] > 0 && std::isfinite(settings.quotas[i])))
      errors.push_back({"amounts[" + std::to_string(i) + "]", "must be above 0"});
  if (settings.memberCount < 1)
    errors.push_back({"members", "is below 1"});
  if (!(settings.reservedShare >= 0 && settings.reservedShare <= 1))
    errors.push_back({"keptPart", "must be from 0 to 1"});
  if (!(settings.leaseDuration > 0))
    errors.push_back({"loanS", "must be above 0"});
  if (!(settings.guardTime >= 0 && 2 * settings.guardTime < settings.leaseDuration * kRenewalPoint))
    errors.push_back(
        {"guardS", "must be below a quarter of loanS, or no lease could be renewed before it expires"});
  return errors;
}

LeaseManager::LeaseManager(const LeaseSettings& settings, int self, uint64_t instance, uint64_t seed,
                           double now)
    : settings_(settings),
      self_(self),
      instance_(instance),
      random_(seed),
      nextTick_(now + kTickInterval * random_.uniform()),
      lendsFrom_(now + settings.leaseDuration + 2 * settings.guardTime),
      nextRequest_(now),
      quotas_(settings.quotas.size()),
      alive_(size_t(settings.memberCount), true) {}

void LeaseManager::setDemand(size_t quota, double units) { quotas_[quota].demand = std::max(units, 0.0); }

// --- quotas

// Of the leases to one borrower only the largest counts.
double LeaseManager::grantedUnits(size_t quota, double now) const {
  double total = 0;
  for (auto& [borrower, leases] : quotas_[quota].granted) {
    double largest = 0;
    for (auto& lease : leases)
      if (now < lease.until)
        largest = std::max(largest, lease.units);
    total += largest;
  }
  return total;
}

// Of the leases from one lender only the largest counts.
double LeaseManager::borrowedUnits(const std::vector<BorrowedLease>& leases, size_t quota, double now) {
  double largest = 0;
  for (auto& lease : leases)
    if (now < lease.until)
      largest = std::max(largest, lease.units[quota]);
  return largest;
}

// The maximum over the leases of each lender as parts that add up: each lease adds what later expiring ones
// lack.
AvailableQuota LeaseManager::availableQuota(size_t quota, double now) const {
  double own = settings_.ownQuota(quota);
  double reserved = own * settings_.reservedShare;
  AvailableQuota available{mayLend(now) ? own - grantedUnits(quota, now) : reserved, {}};
  for (auto& [lender, leases] : borrowed_) {
    double largest = 0;
    for (auto lease = leases.rbegin(); lease != leases.rend(); ++lease) {  // the latest expiry first
      if (now >= lease->until || lease->units[quota] <= largest)
        continue;
      available.borrowed.push_back({lease->until, lease->units[quota] - largest});
      largest = lease->units[quota];
    }
  }
  return available;
}

// Own units that this member has no use for. A member that borrows has none.
double LeaseManager::lendableUnits(size_t quota, double now) const {
  if (!mayLend(now))
    return 0;
  double own = settings_.ownQuota(quota);
  double granted = grantedUnits(quota, now);
  double unused =
      own - granted - std::max(quotas_[quota].demand * kDemandMargin, own * settings_.reservedShare);
  return unused > kNegligibleShare * own ? unused : 0;
}

double LeaseManager::missingUnits(size_t quota, double now) const {
  double wanted = std::min(quotas_[quota].demand * kDemandMargin, settings_.quotas[quota]);
  return std::max(wanted - available(quota, now), 0.0);
}

// --- messages
void LeaseManager::receive(double now, const LeaseMessage& message) {
  bool valid = message.from >= 0 && message.from < settings_.memberCount && message.from != self_ &&
               message.to == self_;
  for (auto& item : message.items)
    valid = valid && item.quota < quotas_.size() && std::isfinite(item.units) && item.units >= 0 &&
            item.lendable >= 0;
  if (!valid)
    return void(++rejected_);
  switch (message.kind) {
    case LeaseMessage::Kind::request:
      return handleRequest(now, message);
    case LeaseMessage::Kind::grant:
      return handleGrant(now, message);
    case LeaseMessage::Kind::release:
      return handleRelease(message);
  }
}

// A request names the total that the borrower wants of this lender: units that it has already count towards
// it, so that a renewal takes only the difference.
void LeaseManager::handleRequest(double now, const LeaseMessage& request) {
  LeaseMessage grant{LeaseMessage::Kind::grant, self_, request.from, request.instance,
                     request.requestNumber,     {}};
  for (auto& item : request.items) {
    auto& leases = quotas_[item.quota].granted[request.from];
    std::erase_if(leases, [&](auto& lease) { return now >= lease.until; });
    double already = 0;
    for (auto& lease : leases)
      already = std::max(already, lease.units);
    double units = std::min(item.units, already + lendableUnits(item.quota, now));
    // The lender's own demand comes first: what it needs back it does not renew.
    double own = settings_.ownQuota(item.quota);
    double needed = std::max(quotas_[item.quota].demand * kDemandMargin, own * settings_.reservedShare);
    double toOthers = grantedUnits(item.quota, now) - already;
    units = mayLend(now) ? std::clamp(units, 0.0, std::max(own - toOthers - needed, 0.0)) : 0;
    if (units > 0)
      leases.push_back({request.instance, request.requestNumber, units,
                        now + settings_.leaseDuration + settings_.guardTime});
    grant.items.push_back({item.quota, units, lendableUnits(item.quota, now)});
  }
  outgoing_.push_back(std::move(grant));
}

// Accepts only the answer to the last request of this instance: leases of earlier requests may have expired
// at the lender.
void LeaseManager::handleGrant(double now, const LeaseMessage& grant) {
  auto pending = pendingRequests_.find(grant.from);
  if (grant.instance != instance_ || pending == pendingRequests_.end() ||
      pending->second.number != grant.requestNumber)
    return void(++rejected_);
  double requestedAt = pending->second.time;
  double until = requestedAt + settings_.leaseDuration - settings_.guardTime;
  pendingRequests_.erase(pending);
  BorrowedLease lease{requestedAt, until, std::vector<double>(quotas_.size())};
  double granted = 0;   // in parts of a member's own quota, over all quotas
  double lendable = 0;  // the largest part of any quota
  for (auto& item : grant.items) {
    double own = settings_.ownQuota(item.quota);
    lease.units[item.quota] = std::min(item.units, own);  // no member has more to lend
    granted += item.units / own;
    lendable = std::max(lendable, item.lendable / own);
  }
  knownLendable_[grant.from] = {lendable, now};
  fanout_ =
      granted > kNegligibleShare ? std::min(2 * fanout_, kMaxFanout) : std::max(fanout_ - 1, kMinFanout);
  if (granted > kNegligibleShare) {
    backoff_ = 0;
    nextRequest_ = now;
  }
  if (now < until)
    borrowed_[grant.from].push_back(std::move(lease));
}

// Safe however late it arrives: the borrower stopped using the leases before it sent the release, and uses
// nothing up to that request number afterwards.
void LeaseManager::handleRelease(const LeaseMessage& release) {
  for (auto& quota : quotas_)
    if (auto found = quota.granted.find(release.from); found != quota.granted.end())
      std::erase_if(found->second, [&](auto& lease) {
        return lease.instance == release.instance && lease.requestNumber <= release.requestNumber;
      });
}

void LeaseManager::sendRequest(int lender, double now, const std::vector<double>& units) {
  LeaseMessage request{LeaseMessage::Kind::request, self_, lender, instance_, ++requestCount_, {}};
  for (size_t i = 0; i < units.size(); ++i)
    if (units[i] > 0)
      request.items.push_back({uint32_t(i), units[i], 0});
  pendingRequests_[lender] = {requestCount_, now};
  outgoing_.push_back(std::move(request));
}

// --- periodic work
void LeaseManager::tick(double now) {
  if (now < nextTick_)
    return;
  nextTick_ = now + kTickInterval;
  removeExpired(now);
  releaseUnneeded(now);
  std::vector<double> missing(quotas_.size());
  double largestMissing = 0;  // in parts of a member's own quota
  for (size_t i = 0; i < quotas_.size(); ++i) {
    missing[i] = missingUnits(i, now);
    largestMissing = std::max(largestMissing, missing[i] / settings_.ownQuota(i));
  }
  // Leases that are still needed are renewed in time, and at once if their lender has more of what is
  // missing.
  for (auto& [lender, leases] : borrowed_) {
    auto known = knownLendable_.find(lender);
    bool hasMore = largestMissing > kNegligibleShare && known != knownLendable_.end() &&
                   known->second.first > kNegligibleShare;
    if (pendingRequests_.contains(lender) ||
        (!hasMore && now < leases.back().requestedAt + kRenewalPoint * settings_.leaseDuration))
      continue;
    std::vector<double> units(quotas_.size());
    for (size_t i = 0; i < quotas_.size(); ++i)
      units[i] = std::min(borrowedUnits(leases, i, now) + missing[i], settings_.ownQuota(i));
    sendRequest(lender, now, units);
  }
  if (largestMissing <= kNegligibleShare) {
    fanout_ = kMinFanout;
    backoff_ = 0;
    nextRequest_ = now;
    return;
  }
  if (now < nextRequest_)
    return;
  backoff_ = std::clamp(2 * backoff_, kTickInterval, kMaxBackoff);
  nextRequest_ = now + backoff_;
  // At most about twice as many members as it would take if each lent all of its quota.
  for (int lender : selectLenders(now, std::min(fanout_, size_t(2 * largestMissing) + 1))) {
    std::vector<double> units(quotas_.size());
    for (size_t i = 0; i < quotas_.size(); ++i)
      units[i] = std::min(missing[i], settings_.ownQuota(i));
    sendRequest(lender, now, units);
  }
}

// Members that recently reported lendable units, the largest first; then others at random.
std::vector<int> LeaseManager::selectLenders(double now, size_t limit) {
  std::vector<std::pair<double, int>> known;  // negated part of its own quota, member
  std::vector<int> unknown;
  std::vector<int> selected;
  for (int i = 0; i < settings_.memberCount; ++i) {
    if (i == self_ || !alive_[size_t(i)] || pendingRequests_.contains(i) || borrowed_.contains(i))
      continue;
    auto found = knownLendable_.find(i);
    if (found == knownLendable_.end() || now > found->second.second + kLendableLifetime)
      unknown.push_back(i);
    else if (found->second.first > kNegligibleShare)
      known.push_back({-found->second.first, i});
  }
  std::ranges::sort(known);
  for (auto& [negatedShare, lender] : known)
    if (selected.size() < limit)
      selected.push_back(lender);
  while (selected.size() < limit && !unknown.empty()) {
    std::swap(unknown[random_.next() % unknown.size()], unknown.back());
    selected.push_back(unknown.back());
    unknown.pop_back();
  }
  return selected;
}

// Releases the leases of a lender once none of their units is needed, the smallest first.
void LeaseManager::releaseUnneeded(double now) {
  std::vector<std::pair<double, int>> bySize;
  for (auto& [lender, leases] : borrowed_) {
    double size = 0;  // in parts of a member's own quota
    for (size_t i = 0; i < quotas_.size(); ++i)
      size += borrowedUnits(leases, i, now) / settings_.ownQuota(i);
    bySize.push_back({size, lender});
  }
  std::ranges::sort(bySize);
  for (auto& [size, lender] : bySize) {
    bool needed = false;
    for (size_t i = 0; i < quotas_.size(); ++i) {
      double units = borrowedUnits(borrowed_.at(lender), i, now);
      needed |= units > 0 && available(i, now) - units < quotas_[i].demand * kDemandMargin;
    }
    if (needed)
      continue;
    borrowed_.erase(lender);
    pendingRequests_.erase(lender);
    outgoing_.push_back({LeaseMessage::Kind::release, self_, lender, instance_, requestCount_, {}});
  }
}

void LeaseManager::removeExpired(double now) {
  for (auto& [lender, leases] : borrowed_)
    std::erase_if(leases, [&](auto& lease) { return now >= lease.until; });
  std::erase_if(borrowed_, [](auto& entry) { return entry.second.empty(); });
  std::erase_if(pendingRequests_, [&](auto& entry) { return now >= entry.second.time + kRequestTimeout; });
  std::erase_if(knownLendable_, [&](auto& entry) { return now > entry.second.second + kLendableLifetime; });
  for (auto& quota : quotas_) {
    for (auto& [borrower, leases] : quota.granted)
      std::erase_if(leases, [&](auto& lease) { return now >= lease.until; });
    std::erase_if(quota.granted, [](auto& entry) { return entry.second.empty(); });
  }
}

}  // namespace elmcleat::shared
