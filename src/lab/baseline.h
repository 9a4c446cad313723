// Gateways to measure against; never a part of the program.
#pragma once
#include <cmath>
#include <deque>
#include <map>

#include "pcg32.h"
#include "policy.h"

namespace elmcleat::lab {

// One queue, first in, first out; `random`: each command goes out at once, to any engine in service.
class Baseline final : public Policy {
 public:
  Baseline(const Settings& settings, uint64_t seed, ActionSink& actions, bool random)
      : settings_(settings), chance_(seed), actions_(actions), random_(random) {}
  void advanceTo(double now) override { now_ = now; }
  std::shared_ptr<Command> submit(const Arrival& arrival) override {
    auto one = std::make_shared<One>(*this);
    one->endsAt = now_ + arrival.remainingTime;
    for (auto& profile : settings_.profiles)
      if (profile.name == arrival.profile)
        one->threads = profile.threads;
    queue_.push_back(one);
    return one;
  }
  void updateEngines(EngineListKind kind, const std::vector<EngineRecord>& rows) override {
    if (kind == EngineListKind::error)
      return;
    for (auto& row : rows) {
      if (row.state != EngineState::inService)
        out_.erase(row.id);
      else
        out_.try_emplace(row.id, 0);
    }
  }
  void probeFinished(uint32_t, Outcome, const LoadReport*) override {}
  void decide() override {
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
        one->over = true, actions_.shed(*one, 0);
        continue;
      }
      one->node = place->first, place->second += one->threads;
      actions_.send(*one, place->first, 0, HUGE_VAL);
    }
    actions_.scheduleWakeUp(now_ + 0.05);
  }

 private:
  struct One final : Command {
    explicit One(Baseline& its) : owner(its) {}
    void streamingStarted() override {}
    void statusReported(StatusTopic, double) override {}
    void withdrawn() override { over = true; }
    void shortenDeadline(double) override {}
    void sendFinished(Outcome, double, bool final, const ResourceUsage*, const LoadReport*) override {
      if (auto at = owner.out_.find(node); at != owner.out_.end())
        at->second -= threads;
      if (!over && !final)
        owner.actions_.fail(*this);
      over = true;
    }
    Baseline& owner;
    uint32_t node = 0;
    int threads = 1;
    double endsAt = 0;
    bool over = false;
  };
  double cores() const { return settings_.engineKinds.front().cores / settings_.gatewayCount; }
  std::map<uint32_t, double>::iterator best() {
    if (out_.empty())
      return out_.end();
    if (random_)
      return std::next(out_.begin(), long(chance_.next() % out_.size()));
    return std::min_element(out_.begin(), out_.end(), [](auto& a, auto& b) { return a.second < b.second; });
  }
  Settings settings_;
  Pcg32 chance_;
  ActionSink& actions_;
  bool random_;
  double now_ = 0;
  std::deque<std::shared_ptr<One>> queue_;
  std::map<uint32_t, double> out_;  // threads out, by node in service
};

}  // namespace elmcleat::lab
