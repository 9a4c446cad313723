#include "lab/lending.h"

#include <algorithm>

namespace elmcleat::lab {

using namespace shared;

Lending::Lending(LoanTerms terms, uint64_t seed, double drift)
    : terms_(std::move(terms)),
      chance_(seed),
      lives_(seed << 20),
      hosts_(size_t(terms_.members)),
      cut_(size_t(terms_.members), std::vector<bool>(size_t(terms_.members))) {
  for (auto& host : hosts_) {
    host.offset = chance_.uniformBetween(-1e6, 1e6), host.speed = 1 + chance_.uniformBetween(-drift, drift);
    host.wants.resize(terms_.amounts.size());
  }
  for (int i = 0; i < terms_.members; ++i)
    start(i);
}

void Lending::start(int member) {
  Host& host = hosts_[size_t(member)];
  ++lives_;
  host.loans = std::make_unique<Loans>(terms_, member, lives_, lives_, clock(host));
  host.paused = false, host.waiting.clear();
  for (size_t i = 0; i < host.wants.size(); ++i)
    host.loans->want(i, host.wants[i]);
  turn(member);
}

void Lending::kill(int member) {
  hosts_[size_t(member)].loans.reset(), hosts_[size_t(member)].paused = false,
                                        ++hosts_[size_t(member)].version;
}

void Lending::pause(int member, bool is) {
  Host& host = hosts_[size_t(member)];
  if (!host.loans || host.paused == is)
    return;
  host.paused = is, ++host.version;
  if (is)
    return;
  for (auto& letter : std::exchange(host.waiting, {}))
    host.loans->hear(clock(host), letter);
  turn(member);
}

void Lending::want(int member, size_t amount, double units) {
  Host& host = hosts_[size_t(member)];
  host.wants[amount] = units;
  if (host.loans)
    host.loans->want(amount, units);
}

void Lending::part(int from, int to, bool is) {
  auto inside = [&](int one) { return one >= from && one < to; };
  for (int a = 0; a < terms_.members; ++a)
    for (int b = 0; b < terms_.members; ++b)
      if (inside(a) != inside(b))
        cut(a, b, is);
}

void Lending::turn(int member) {
  Host& host = hosts_[size_t(member)];
  host.loans->tick(clock(host));
  check();  // what is granted counts before the letter is on its way
  for (auto& letter : host.loans->out()) {
    ++letters_;
    for (int copy = 1 + (chance_.uniform() < copies); copy > 0; --copy) {
      if (chance_.uniform() < loss)
        continue;
      double way = chance_.uniformBetween(least, most) +
                   (chance_.uniform() < lateShare ? late * chance_.uniform() : 0);
      events_.at(now_ + way, [this, letter] {
        Host& to = hosts_[size_t(letter.to)];
        if (cut_[size_t(letter.from)][size_t(letter.to)] || !to.loans)
          return;
        if (to.paused)
          return void(to.waiting.size() < 64 ? to.waiting.push_back(letter) : void());
        to.loans->hear(clock(to), letter);
        turn(letter.to);
      });
    }
  }
  uint64_t version = ++host.version;
  double wakes = (host.loans->wakes() - host.offset) / host.speed;
  events_.at(std::max(wakes, now_ + 1e-4), [this, member, version] {
    if (hosts_[size_t(member)].version == version)
      turn(member);
  });
}

double Lending::usable(int member, size_t amount) const {
  const Host& host = hosts_[size_t(member)];
  return host.loans ? host.loans->usable(amount, clock(host)) : 0;
}

double Lending::usable(size_t amount) const {
  double all = 0;
  for (int i = 0; i < terms_.members; ++i)
    all += usable(i, amount);
  return all;
}

double Lending::used(size_t amount) const {
  double all = 0;
  for (int i = 0; i < terms_.members; ++i)
    if (runs(i))
      all += std::min(usable(i, amount), hosts_[size_t(i)].wants[amount]);
  return all;
}

void Lending::check() {
  if (!broken_.empty())
    return;
  for (size_t i = 0; i < terms_.amounts.size(); ++i)
    if (double all = usable(i); all > terms_.amounts[i] * (1 + 1e-9))
      broken_ = "at " + std::to_string(now_) + ": " + std::to_string(all) + " of " +
                std::to_string(terms_.amounts[i]) + " may be used";
}

void Lending::run(double until) {
  bool reached = false;
  events_.at(until, [&reached] { reached = true; });
  while (!reached && events_.next(now_)) {
  }
}

}  // namespace elmcleat::lab
