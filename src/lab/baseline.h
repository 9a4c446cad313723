// Baseline policies of a gateway, for comparison only; not part of the dispatcher.
#pragma once
#include <cmath>
#include <deque>
#include <map>

#include "pcg32.h"
#include "policy.h"

namespace elmcleat::lab {

// One FIFO queue, served by the engine on which this gateway has the fewest threads, up to twice the
// gateway's part of the engine's cores. With `sendsAtRandom`, each command is sent at once to a random engine
// in service. A command that is at the head of the queue less than kShedMargin before its client stops
// waiting is shed.
class Baseline final : public Policy {
 public:
  static constexpr double kShedMargin = 0.1;       // seconds
  static constexpr double kDecideInterval = 0.05;  // seconds

  Baseline(const Settings& settings, uint64_t seed, ActionSink& actions, bool sendsAtRandom)
      : settings_(settings), generator_(seed), actions_(actions), sendsAtRandom_(sendsAtRandom) {}
  void advanceTo(double now) override { now_ = now; }
  std::shared_ptr<Command> submit(const Arrival& arrival) override {
    auto command = std::make_shared<QueuedCommand>(*this);
    command->deadline = now_ + arrival.remainingTime;
    for (auto& profile : settings_.profiles)
      if (profile.name == arrival.profile)
        command->threads = profile.threads;
    queue_.push_back(command);
    return command;
  }
  void updateEngines(EngineListKind kind, const std::vector<EngineRecord>& rows) override {
    if (kind == EngineListKind::error)
      return;
    for (auto& row : rows) {
      if (row.state != EngineState::inService)
        threadsByEngine_.erase(row.id);
      else
        threadsByEngine_.try_emplace(row.id, 0);
    }
  }
  void probeFinished(uint32_t, Outcome, const LoadReport*) override {}
  void decide() override {
    while (!queue_.empty()) {
      auto command = queue_.front();
      auto engine = chooseEngine();
      bool late = now_ > command->deadline - kShedMargin;
      if (!command->finished && !late &&
          (engine == threadsByEngine_.end() || (!sendsAtRandom_ && engine->second >= 2 * cores())))
        break;
      queue_.pop_front();
      if (command->finished)
        continue;
      if (late) {
        command->finished = true;
        actions_.shed(*command, 0);
        continue;
      }
      command->engine = engine->first;
      engine->second += command->threads;
      actions_.send(*command, engine->first, 0, HUGE_VAL);
    }
    actions_.scheduleWakeUp(now_ + kDecideInterval);
  }

 private:
  struct QueuedCommand final : Command {
    explicit QueuedCommand(Baseline& baseline) : owner(baseline) {}
    void streamingStarted() override {}
    void statusReported(StatusTopic, double) override {}
    void withdrawn() override { finished = true; }
    void shortenDeadline(double) override {}
    void sendFinished(Outcome, double, bool final, const ResourceUsage*, const LoadReport*) override {
      if (auto entry = owner.threadsByEngine_.find(engine); entry != owner.threadsByEngine_.end())
        entry->second -= threads;
      if (!finished && !final)
        owner.actions_.fail(*this);
      finished = true;
    }
    Baseline& owner;
    uint32_t engine = 0;
    int threads = 1;
    double deadline = 0;
    bool finished = false;
  };
  // This gateway's part of the cores of an engine.
  double cores() const { return settings_.engineKinds.front().cores / settings_.gatewayCount; }
  std::map<uint32_t, double>::iterator chooseEngine() {
    if (threadsByEngine_.empty())
      return threadsByEngine_.end();
    if (sendsAtRandom_)
      return std::next(threadsByEngine_.begin(), long(generator_.next() % threadsByEngine_.size()));
    return std::min_element(threadsByEngine_.begin(), threadsByEngine_.end(),
                            [](auto& a, auto& b) { return a.second < b.second; });
  }
  Settings settings_;
  Pcg32 generator_;
  ActionSink& actions_;
  bool sendsAtRandom_;
  double now_ = 0;
  std::deque<std::shared_ptr<QueuedCommand>> queue_;
  std::map<uint32_t, double> threadsByEngine_;  // threads of our sends, by engine in service
};

}  // namespace elmcleat::lab
