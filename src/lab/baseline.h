// Gateways to measure against; never a part of the program.
#pragma once
#include <cmath>
#include <deque>
#include <map>

#include "pcg32.h"
#include "policy.h"

namespace elmcleat::lab {

// One queue, first in, first out; `random`: each command goes out at once, to any engine in service.
class Baseline final : public Gateway {
 public:
  Baseline(const Settings& settings, uint64_t seed, Outlet& outlet, bool random)
      : settings_(settings), chance_(seed), outlet_(outlet), random_(random) {}
  void at(double now) override { now_ = now; }
  std::shared_ptr<Command> take(const Arrival& arrival) override {
    auto one = std::make_shared<One>(*this);
    one->endsAt = now_ + arrival.timeLeft;
    for (auto& profile : settings_.profiles)
      if (profile.name == arrival.profile)
        one->threads = profile.threads;
    queue_.push_back(one);
    return one;
  }
  void list(ListKind kind, const std::vector<NodeRow>& rows) override {
    if (kind == ListKind::error)
      return;
    for (auto& row : rows) {
      if (row.state != NodeState::inService)
        out_.erase(row.id);
      else
        out_.try_emplace(row.id, 0);
    }
  }
  void probed(uint32_t, Outcome, const Report*) override {}
  void settle() override {
    while (!queue_.empty()) {
      auto one = queue_.front();
      auto place = best();
      bool late = now_ > one->endsAt - 0.1;
      if (!one->over && !late && (place == out_.end() || (!random_ && place->second >= 2 * cores())))
        break;
      queue_.pop_front();
      if (one->over)
        continue;
      if (late) {
        one->over = true, outlet_.shed(*one, 0);
        continue;
      }
      one->node = place->first, place->second += one->threads;
      outlet_.send(*one, place->first, 0, HUGE_VAL);
    }
    outlet_.wake(now_ + 0.05);
  }

 private:
  struct One final : Command {
    explicit One(Baseline& its) : owner(its) {}
    void opened() override {}
    void note(Topic, double) override {}
    void withdrawn() override { over = true; }
    void endsBy(double) override {}
    void outcome(Outcome, double, bool final, const Bill*, const Report*) override {
      if (auto at = owner.out_.find(node); at != owner.out_.end())
        at->second -= threads;
      if (!over && !final)
        owner.outlet_.fail(*this);
      over = true;
    }
    Baseline& owner;
    uint32_t node = 0;
    int threads = 1;
    double endsAt = 0;
    bool over = false;
  };
  double cores() const { return settings_.kinds.front().cores / settings_.gateways; }
  std::map<uint32_t, double>::iterator best() {
    if (out_.empty())
      return out_.end();
    if (random_)
      return std::next(out_.begin(), long(chance_.next() % out_.size()));
    return std::min_element(out_.begin(), out_.end(), [](auto& a, auto& b) { return a.second < b.second; });
  }
  Settings settings_;
  Pcg32 chance_;
  Outlet& outlet_;
  bool random_;
  double now_ = 0;
  std::deque<std::shared_ptr<One>> queue_;
  std::map<uint32_t, double> out_;  // threads out, by node in service
};

}  // namespace elmcleat::lab
