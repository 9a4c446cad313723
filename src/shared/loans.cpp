#include "shared/loans.h"

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

std::vector<Flaw> flawsOf(const LoanTerms& terms) {
  std::vector<Flaw> flaws;
  for (size_t i = 0; i < terms.amounts.size(); ++i)
    if (!(terms.amounts[i] > 0 && std::isfinite(terms.amounts[i])))
      flaws.push_back({"amounts[" + std::to_string(i) + "]", "must be above 0"});
  if (terms.members < 1)
    flaws.push_back({"members", "is below 1"});
  if (!(terms.kept >= 0 && terms.kept <= 1))
    flaws.push_back({"keptPart", "must be from 0 to 1"});
  if (!(terms.length > 0))
    flaws.push_back({"loanS", "must be above 0"});
  if (!(terms.guard >= 0 && 2 * terms.guard < terms.length * kRenew))
    flaws.push_back({"guardS", "must be below a quarter of loanS: no loan could be renewed before its end"});
  return flaws;
}

Loans::Loans(const LoanTerms& terms, int self, uint64_t life, uint64_t seed, double now)
    : terms_(terms),
      self_(self),
      life_(life),
      chance_(seed),
      nextTick_(now + kTick * chance_.uniform()),
      lendsFrom_(now + terms.length + 2 * terms.guard),
      nextAsk_(now),
      lines_(terms.amounts.size()),
      there_(size_t(terms.members), true) {}

void Loans::want(size_t amount, double units) { lines_[amount].want = std::max(units, 0.0); }

// --- what there is
double Loans::lentOut(size_t amount, double now) const {
  double all = 0;
  for (auto& [borrower, loans] : lines_[amount].lent) {
    double most = 0;
    for (auto& loan : loans)
      if (now < loan.until)
        most = std::max(most, loan.units);
    all += most;
  }
  return all;
}

double Loans::unitsOf(const std::vector<Borrowed>& loans, size_t amount, double now) {
  double most = 0;
  for (auto& loan : loans)
    if (now < loan.until)
      most = std::max(most, loan.units[amount]);
  return most;
}

// The greatest of the loans of one lender, as steps that add up: each adds what those that last longer leave out.
Usable Loans::parts(size_t amount, double now) const {
  double own = terms_.own(amount), kept = own * terms_.kept;
  Usable parts{mayLend(now) ? own - lentOut(amount, now) : kept, {}};
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
double Loans::spare(size_t amount, double now) const {
  if (!mayLend(now))
    return 0;
  double own = terms_.own(amount), lent = lentOut(amount, now);
  double free = own - lent - std::max(lines_[amount].want * kMargin, own * terms_.kept);
  return free > kCrumb * own ? free : 0;
}

double Loans::missing(size_t amount, double now) const {
  double wanted = std::min(lines_[amount].want * kMargin, terms_.amounts[amount]);
  return std::max(wanted - usable(amount, now), 0.0);
}

// --- letters
void Loans::hear(double now, const Letter& letter) {
  bool sound = letter.from >= 0 && letter.from < terms_.members && letter.from != self_ && letter.to == self_;
  for (auto& line : letter.lines)
    sound = sound && line.amount < lines_.size() && std::isfinite(line.units) && line.units >= 0 &&
            line.spare >= 0;
  if (!sound)
    return void(++refused_);
  switch (letter.kind) {
    case Letter::Kind::ask:
      return grant(now, letter);
    case Letter::Kind::grant:
      return granted(now, letter);
    case Letter::Kind::giveBack:
      return returned(letter);
  }
}

// A renewal takes no more than it adds: what the borrower has of us already counts towards what it asks for.
void Loans::grant(double now, const Letter& ask) {
  Letter answer{Letter::Kind::grant, self_, ask.from, ask.life, ask.number, {}};
  for (auto& line : ask.lines) {
    auto& loans = lines_[line.amount].lent[ask.from];
    std::erase_if(loans, [&](auto& loan) { return now >= loan.until; });
    double has = 0;
    for (auto& loan : loans)
      has = std::max(has, loan.units);
    double lends = std::min(line.units, has + spare(line.amount, now));
    // Its own use comes first again: what it wants back it doesn't renew.
    double own = terms_.own(line.amount),
           use = std::max(lines_[line.amount].want * kMargin, own * terms_.kept);
    double others = lentOut(line.amount, now) - has;
    lends = mayLend(now) ? std::clamp(lends, 0.0, std::max(own - others - use, 0.0)) : 0;
    if (lends > 0)
      loans.push_back({ask.life, ask.number, lends, now + terms_.length + terms_.guard});
    answer.lines.push_back({line.amount, lends, spare(line.amount, now)});
  }
  out_.push_back(std::move(answer));
}

// Only the answer to the last ask of this life counts: an earlier one may be over at the lender already.
void Loans::granted(double now, const Letter& grant) {
  auto asked = asked_.find(grant.from);
  if (grant.life != life_ || asked == asked_.end() || asked->second.number != grant.number)
    return void(++refused_);
  double at = asked->second.at, until = at + terms_.length - terms_.guard;
  asked_.erase(asked);
  Borrowed loan{at, until, std::vector<double>(lines_.size())};
  double got = 0, most = 0;
  for (auto& line : grant.lines) {
    double own = terms_.own(line.amount);
    loan.units[line.amount] = std::min(line.units, own);  // no member has more to lend
    got += line.units / own, most = std::max(most, line.spare / own);
  }
  spares_[grant.from] = {most, now};
  reach_ = got > kCrumb ? std::min(2 * reach_, kReachMost) : std::max(reach_ - 1, kReachLeast);
  if (got > kCrumb)
    pause_ = 0, nextAsk_ = now;
  if (now < until)
    borrowed_[grant.from].push_back(std::move(loan));
}

// Harmless to believe at any time: the borrower has stopped before it said so, and uses nothing up to that number later.
void Loans::returned(const Letter& letter) {
  for (auto& line : lines_)
    if (auto loans = line.lent.find(letter.from); loans != line.lent.end())
      std::erase_if(loans->second,
                    [&](auto& loan) { return loan.life == letter.life && loan.number <= letter.number; });
}

void Loans::ask(int lender, double now, const std::vector<double>& units) {
  Letter letter{Letter::Kind::ask, self_, lender, life_, ++asks_, {}};
  for (size_t i = 0; i < units.size(); ++i)
    if (units[i] > 0)
      letter.lines.push_back({uint32_t(i), units[i], 0});
  asked_[lender] = {asks_, now};
  out_.push_back(std::move(letter));
}

// --- ticks
void Loans::tick(double now) {
  if (now < nextTick_)
    return;
  nextTick_ = now + kTick;
  forget(now);
  giveBack(now);
  std::vector<double> missing(lines_.size());
  double most = 0;  // in parts of one member
  for (size_t i = 0; i < lines_.size(); ++i)
    missing[i] = this->missing(i, now), most = std::max(most, missing[i] / terms_.own(i));
  // What was borrowed and is still of use is asked for again in time; at once where its lender has more that is missing.
  for (auto& [lender, loans] : borrowed_) {
    auto told = spares_.find(lender);
    bool more = most > kCrumb && told != spares_.end() && told->second.first > kCrumb;
    if (asked_.contains(lender) || (!more && now < loans.back().askedAt + kRenew * terms_.length))
      continue;
    std::vector<double> units(lines_.size());
    for (size_t i = 0; i < lines_.size(); ++i)
      units[i] = std::min(unitsOf(loans, i, now) + missing[i], terms_.own(i));
    ask(lender, now, units);
  }
  if (most <= kCrumb)
    return void((reach_ = kReachLeast, pause_ = 0, nextAsk_ = now));
  if (now < nextAsk_)
    return;
  pause_ = std::clamp(2 * pause_, kTick, kPauseMost), nextAsk_ = now + pause_;
  for (int lender : lenders(now, std::min(reach_, size_t(2 * most) + 1))) {
    std::vector<double> units(lines_.size());
    for (size_t i = 0; i < lines_.size(); ++i)
      units[i] = std::min(missing[i], terms_.own(i));
    ask(lender, now, units);
  }
}

// Those that had something left a moment ago, the most first; then others, by chance.
std::vector<int> Loans::lenders(double now, size_t most) {
  std::vector<std::pair<double, int>> known;
  std::vector<int> others, picked;
  for (int i = 0; i < terms_.members; ++i) {
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
void Loans::giveBack(double now) {
  std::vector<std::pair<double, int>> bySize;
  for (auto& [lender, loans] : borrowed_) {
    double all = 0;
    for (size_t i = 0; i < lines_.size(); ++i)
      all += unitsOf(loans, i, now) / terms_.own(i);
    bySize.push_back({all, lender});
  }
  std::ranges::sort(bySize);
  for (auto& [size, lender] : bySize) {
    bool needed = false;
    for (size_t i = 0; i < lines_.size(); ++i) {
      double units = unitsOf(borrowed_.at(lender), i, now);
      needed |= units > 0 && usable(i, now) - units < lines_[i].want * kMargin;
    }
    if (needed)
      continue;
    borrowed_.erase(lender), asked_.erase(lender);
    out_.push_back({Letter::Kind::giveBack, self_, lender, life_, asks_, {}});
  }
}

void Loans::forget(double now) {
  for (auto& [lender, loans] : borrowed_)
    std::erase_if(loans, [&](auto& loan) { return now >= loan.until; });
  std::erase_if(borrowed_, [](auto& it) { return it.second.empty(); });
  std::erase_if(asked_, [&](auto& it) { return now >= it.second.at + kAnswer; });
  std::erase_if(spares_, [&](auto& it) { return now > it.second.second + kKnown; });
  for (auto& line : lines_) {
    for (auto& [borrower, loans] : line.lent)
      std::erase_if(loans, [&](auto& loan) { return now >= loan.until; });
    std::erase_if(line.lent, [](auto& it) { return it.second.empty(); });
  }
}

}  // namespace elmcleat::shared
