#include "shared/lease_manager.h"

#include <algorithm>
#include <cmath>

namespace elmcleat::shared {
namespace {

constexpr double kTick = 0.1;       // seconds between two looks at what is missing
constexpr double kMargin = 1.02;    // what is wanted is met a little above
constexpr double kRenew = 0.5;      // part of a loan's length after which it is asked for again
constexpr double kAnswer = 0.4;     // seconds after which an ask without an answer may be followed by another
constexpr double kKnown = 1;        // seconds for which a lender's word on what it has left counts
constexpr double kPauseMost = 0.8;  // seconds between asks while nobody gives: it doubles up to that
constexpr size_t kReachLeast = 2, kReachMost = 32;
constexpr double kCrumb = 1e-9;  // of an amount: less is nothing

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
  if (!(settings.guardTime >= 0 && 2 * settings.guardTime < settings.leaseDuration * kRenew))
    errors.push_back({"guardS", "must be below a quarter of loanS: no loan could be renewed before its end"});
  return errors;
}

LeaseManager::LeaseManager(const LeaseSettings& settings, int self, uint64_t life, uint64_t seed, double now)
    : settings_(settings),
      self_(self),
      life_(life),
      chance_(seed),
      nextTick_(now + kTick * chance_.uniform()),
      lendsFrom_(now + settings.leaseDuration + 2 * settings.guardTime),
      nextAsk_(now),
      quotas_(settings.quotas.size()),
      there_(size_t(settings.memberCount), true) {}

void LeaseManager::setDemand(size_t amount, double units) { quotas_[amount].want = std::max(units, 0.0); }

// --- what there is
double LeaseManager::lentOut(size_t amount, double now) const {
  double all = 0;
  for (auto& [borrower, loans] : quotas_[amount].lent) {
    double most = 0;
    for (auto& loan : loans)
      if (now < loan.until)
        most = std::max(most, loan.units);
    all += most;
  }
  return all;
}

double LeaseManager::unitsOf(const std::vector<BorrowedLease>& loans, size_t amount, double now) {
  double most = 0;
  for (auto& loan : loans)
    if (now < loan.until)
      most = std::max(most, loan.units[amount]);
  return most;
}

// The greatest of the loans of one lender, as steps that add up: each adds what those that last longer leave out.
AvailableQuota LeaseManager::availableQuota(size_t amount, double now) const {
  double own = settings_.ownQuota(amount), kept = own * settings_.reservedShare;
  AvailableQuota parts{mayLend(now) ? own - lentOut(amount, now) : kept, {}};
  for (auto& [lender, loans] : borrowed_) {
    double most = 0;
    for (auto loan = loans.rbegin(); loan != loans.rend(); ++loan) {  // later asked for, longer lasting
      if (now >= loan->until || loan->units[amount] <= most)
        continue;
      parts.borrowed.push_back({loan->until, loan->units[amount] - most});
      most = loan->units[amount];
    }
  }
  return parts;
}

// What this member has no use for. Who borrows lends nothing.
double LeaseManager::spare(size_t amount, double now) const {
  if (!mayLend(now))
    return 0;
  double own = settings_.ownQuota(amount), lent = lentOut(amount, now);
  double free = own - lent - std::max(quotas_[amount].want * kMargin, own * settings_.reservedShare);
  return free > kCrumb * own ? free : 0;
}

double LeaseManager::missing(size_t amount, double now) const {
  double wanted = std::min(quotas_[amount].want * kMargin, settings_.quotas[amount]);
  return std::max(wanted - available(amount, now), 0.0);
}

// --- letters
void LeaseManager::receive(double now, const LeaseMessage& message) {
  bool sound = message.from >= 0 && message.from < settings_.memberCount && message.from != self_ &&
               message.to == self_;
  for (auto& line : message.items)
    sound = sound && line.quota < quotas_.size() && std::isfinite(line.units) && line.units >= 0 &&
            line.lendable >= 0;
  if (!sound)
    return void(++refused_);
  switch (message.kind) {
    case LeaseMessage::Kind::request:
      return grant(now, message);
    case LeaseMessage::Kind::grant:
      return granted(now, message);
    case LeaseMessage::Kind::release:
      return returned(message);
  }
}

// A renewal takes no more than it adds: what the borrower has of us already counts towards what it asks for.
void LeaseManager::grant(double now, const LeaseMessage& request) {
  LeaseMessage answer{LeaseMessage::Kind::grant, self_, request.from, request.instance,
                      request.requestNumber,     {}};
  for (auto& line : request.items) {
    auto& loans = quotas_[line.quota].lent[request.from];
    std::erase_if(loans, [&](auto& loan) { return now >= loan.until; });
    double has = 0;
    for (auto& loan : loans)
      has = std::max(has, loan.units);
    double lends = std::min(line.units, has + spare(line.quota, now));
    // Its own use comes first again: what it wants back it doesn't renew.
    double own = settings_.ownQuota(line.quota),
           use = std::max(quotas_[line.quota].want * kMargin, own * settings_.reservedShare);
    double others = lentOut(line.quota, now) - has;
    lends = mayLend(now) ? std::clamp(lends, 0.0, std::max(own - others - use, 0.0)) : 0;
    if (lends > 0)
      loans.push_back({request.instance, request.requestNumber, lends,
                       now + settings_.leaseDuration + settings_.guardTime});
    answer.items.push_back({line.quota, lends, spare(line.quota, now)});
  }
  out_.push_back(std::move(answer));
}

// Only the answer to the last ask of this life counts: an earlier one may be over at the lender already.
void LeaseManager::granted(double now, const LeaseMessage& grant) {
  auto asked = asked_.find(grant.from);
  if (grant.instance != life_ || asked == asked_.end() || asked->second.number != grant.requestNumber)
    return void(++refused_);
  double at = asked->second.at, until = at + settings_.leaseDuration - settings_.guardTime;
  asked_.erase(asked);
  BorrowedLease loan{at, until, std::vector<double>(quotas_.size())};
  double got = 0, most = 0;
  for (auto& line : grant.items) {
    double own = settings_.ownQuota(line.quota);
    loan.units[line.quota] = std::min(line.units, own);  // no member has more to lend
    got += line.units / own, most = std::max(most, line.lendable / own);
  }
  spares_[grant.from] = {most, now};
  reach_ = got > kCrumb ? std::min(2 * reach_, kReachMost) : std::max(reach_ - 1, kReachLeast);
  if (got > kCrumb)
    pause_ = 0, nextAsk_ = now;
  if (now < until)
    borrowed_[grant.from].push_back(std::move(loan));
}

// Harmless to believe at any time: the borrower has stopped before it said so, and uses nothing up to that number later.
void LeaseManager::returned(const LeaseMessage& message) {
  for (auto& line : quotas_)
    if (auto loans = line.lent.find(message.from); loans != line.lent.end())
      std::erase_if(loans->second, [&](auto& loan) {
        return loan.life == message.instance && loan.number <= message.requestNumber;
      });
}

void LeaseManager::ask(int lender, double now, const std::vector<double>& units) {
  LeaseMessage message{LeaseMessage::Kind::request, self_, lender, life_, ++asks_, {}};
  for (size_t i = 0; i < units.size(); ++i)
    if (units[i] > 0)
      message.items.push_back({uint32_t(i), units[i], 0});
  asked_[lender] = {asks_, now};
  out_.push_back(std::move(message));
}

// --- ticks
void LeaseManager::tick(double now) {
  if (now < nextTick_)
    return;
  nextTick_ = now + kTick;
  forget(now);
  giveBack(now);
  std::vector<double> missing(quotas_.size());
  double most = 0;  // in parts of one member
  for (size_t i = 0; i < quotas_.size(); ++i)
    missing[i] = this->missing(i, now), most = std::max(most, missing[i] / settings_.ownQuota(i));
  // What was borrowed and is still of use is asked for again in time; at once where its lender has more that is missing.
  for (auto& [lender, loans] : borrowed_) {
    auto told = spares_.find(lender);
    bool more = most > kCrumb && told != spares_.end() && told->second.first > kCrumb;
    if (asked_.contains(lender) || (!more && now < loans.back().askedAt + kRenew * settings_.leaseDuration))
      continue;
    std::vector<double> units(quotas_.size());
    for (size_t i = 0; i < quotas_.size(); ++i)
      units[i] = std::min(unitsOf(loans, i, now) + missing[i], settings_.ownQuota(i));
    ask(lender, now, units);
  }
  if (most <= kCrumb)
    return void((reach_ = kReachLeast, pause_ = 0, nextAsk_ = now));
  if (now < nextAsk_)
    return;
  pause_ = std::clamp(2 * pause_, kTick, kPauseMost), nextAsk_ = now + pause_;
  for (int lender : lenders(now, std::min(reach_, size_t(2 * most) + 1))) {
    std::vector<double> units(quotas_.size());
    for (size_t i = 0; i < quotas_.size(); ++i)
      units[i] = std::min(missing[i], settings_.ownQuota(i));
    ask(lender, now, units);
  }
}

// Those that had something left a moment ago, the most first; then others, by chance.
std::vector<int> LeaseManager::lenders(double now, size_t most) {
  std::vector<std::pair<double, int>> known;
  std::vector<int> others, picked;
  for (int i = 0; i < settings_.memberCount; ++i) {
    if (i == self_ || !there_[size_t(i)] || asked_.contains(i) || borrowed_.contains(i))
      continue;
    auto told = spares_.find(i);
    if (told == spares_.end() || now > told->second.second + kKnown)
      others.push_back(i);
    else if (told->second.first > kCrumb)
      known.push_back({-told->second.first, i});
  }
  std::ranges::sort(known);
  for (auto& [spare, lender] : known)
    if (picked.size() < most)
      picked.push_back(lender);
  while (picked.size() < most && !others.empty()) {
    std::swap(others[chance_.next() % others.size()], others.back());
    picked.push_back(others.back()), others.pop_back();
  }
  return picked;
}

// A loan of which nothing is needed goes back whole, the smallest first.
void LeaseManager::giveBack(double now) {
  std::vector<std::pair<double, int>> bySize;
  for (auto& [lender, loans] : borrowed_) {
    double all = 0;
    for (size_t i = 0; i < quotas_.size(); ++i)
      all += unitsOf(loans, i, now) / settings_.ownQuota(i);
    bySize.push_back({all, lender});
  }
  std::ranges::sort(bySize);
  for (auto& [size, lender] : bySize) {
    bool needed = false;
    for (size_t i = 0; i < quotas_.size(); ++i) {
      double units = unitsOf(borrowed_.at(lender), i, now);
      needed |= units > 0 && available(i, now) - units < quotas_[i].want * kMargin;
    }
    if (needed)
      continue;
    borrowed_.erase(lender), asked_.erase(lender);
    out_.push_back({LeaseMessage::Kind::release, self_, lender, life_, asks_, {}});
  }
}

void LeaseManager::forget(double now) {
  for (auto& [lender, loans] : borrowed_)
    std::erase_if(loans, [&](auto& loan) { return now >= loan.until; });
  std::erase_if(borrowed_, [](auto& it) { return it.second.empty(); });
  std::erase_if(asked_, [&](auto& it) { return now >= it.second.at + kAnswer; });
  std::erase_if(spares_, [&](auto& it) { return now > it.second.second + kKnown; });
  for (auto& line : quotas_) {
    for (auto& [borrower, loans] : line.lent)
      std::erase_if(loans, [&](auto& loan) { return now >= loan.until; });
    std::erase_if(line.lent, [](auto& it) { return it.second.empty(); });
  }
}

}  // namespace elmcleat::shared
