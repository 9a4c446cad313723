// Cost of a selection, an arrival and a completion by the number of teams: the budget tree's index against a
// linear walk over all teams, as the module's turns do it. With enough teams 100,000 commands are queued.
#include <benchmark/benchmark.h>

#include <deque>

#include "budget/tree_scheduler.h"
#include "pcg32.h"

using namespace elmcleat;
using namespace elmcleat::budget;

namespace {

std::vector<std::string> pathOf(size_t team) { return {"t" + std::to_string(team), "report"}; }

void index(benchmark::State& state) {
  size_t teams = size_t(state.range(0)), queuedCount = size_t(state.range(1));
  BudgetSettings budgetSettings;
  budgetSettings.maxNodes = 2 * teams + 16;
  for (size_t i = 0; i < teams; ++i) {
    NodeEntry entry{"t" + std::to_string(i), "", {}};
    if (i % 2)
      entry.settings.guarantee.cores = 1.0 / double(teams);
    entry.settings.weight = 1 + double(i % 7);
    budgetSettings.entries.push_back(entry);
  }
  BudgetTree tree(budgetSettings, 1);
  Pcg32 random(3);
  std::deque<QueuedCommand> queuedCommands(queuedCount);
  double now = 0;
  for (auto& command : queuedCommands) {
    command.path = pathOf(random.next() % teams);
    command.work = 0.1;
    tree.add(command, now);
    tree.enqueue(command, false, now);
  }
  for (auto _ : state) {  // a selection, its start and completion, and an arrival in its place
    now += 1e-4;
    QueuedCommand* command = tree.selectNext(now);
    tree.dequeue(*command, now);
    tree.sendStarted(*command, now);
    tree.sendFinished(*command, 0.1, now);
    tree.remove(*command, now);
    command->path = pathOf(random.next() % teams);
    tree.add(*command, now);
    tree.enqueue(*command, false, now);
  }
}

// Deficit round robin, walked from the cursor on: the first backlogged queue with credit, otherwise quanta
// for all queues.
void plainWalk(benchmark::State& state) {
  size_t teams = size_t(state.range(0)), queuedCount = size_t(state.range(1));
  struct Queue {
    std::deque<double> fifo;
    double deficit = 0, weight = 1;
  };
  std::vector<Queue> queues(teams);
  Pcg32 random(3);
  for (size_t i = 0; i < teams; ++i)
    queues[i].weight = 1 + double(i % 7);
  for (size_t i = 0; i < queuedCount; ++i)
    queues[random.next() % teams].fifo.push_back(0.1);
  size_t cursor = 0;
  for (auto _ : state) {
    size_t chosen = teams;
    while (chosen == teams) {
      double rounds = -1;
      for (size_t step = 0; step < teams && chosen == teams; ++step) {
        size_t i = (cursor + step) % teams;
        if (queues[i].fifo.empty())
          continue;
        if (queues[i].deficit > 0)
          chosen = i;
        double need = std::floor(-queues[i].deficit / (0.05 * queues[i].weight)) + 1;
        rounds = rounds < 0 ? need : std::min(rounds, need);
      }
      if (chosen != teams)
        break;
      for (auto& queue : queues)
        if (!queue.fifo.empty())
          queue.deficit += rounds * 0.05 * queue.weight;
    }
    cursor = chosen;
    queues[chosen].deficit -= queues[chosen].fifo.front();
    queues[chosen].fifo.pop_front();
    queues[random.next() % teams].fifo.push_back(0.1);
  }
}

void sizes(benchmark::internal::Benchmark* bench) {
  for (int64_t teams : {10, 100, 1'000, 10'000})
    bench->Args({teams, 100'000});
  for (int64_t queuedCount : {100, 1'000, 10'000})
    bench->Args({10'000, queuedCount});
}

// The module, with its own turns or with the tree: an arrival and a decision, with all commands queued.
struct NullSink final : ActionSink {
  void send(Command&, uint32_t, double, double) override {}
  void setPriorityAndMemory(Command&, int, double) override {}
  void cancel(Command&, int) override {}
  void shed(Command&, double) override {}
  void fail(Command&) override {}
  void probe(uint32_t) override {}
  void requestEngineList() override {}
  void scheduleWakeUp(double) override {}
  void log(const std::string&) override {}
};

void module(benchmark::State& state, bool budgets) {
  size_t teams = size_t(state.range(0)), queuedCount = size_t(state.range(1));
  Settings settings;
  Profile profile;
  profile.name = "report";
  profile.latencyTarget = 1e6;
  profile.clientTimeout = 1e6;
  settings.profiles = {profile};
  for (size_t i = 0; i < teams; ++i)
    settings.tenants.push_back({"t" + std::to_string(i), 1.0 / double(teams), 0});
  BudgetSettings budgetSettings;
  budgetSettings.maxNodes = 2 * teams + 16;
  TreeScheduler scheduler(budgetSettings, 1);
  NullSink actions;
  auto policy = createPolicy(settings, 5, actions,
                             budgets ? &scheduler : nullptr);  // without an engine all commands are queued
  std::vector<std::shared_ptr<Command>> commands;
  Pcg32 random(3);
  double now = 0;
  auto arrive = [&] {
    commands.push_back(
        policy->submit({"report", settings.tenants[random.next() % teams].name, 1, {}, 0.1, 0, 1e6}));
  };
  policy->advanceTo(now);
  for (size_t i = 0; i < queuedCount; ++i)
    arrive();
  policy->decide();
  for (auto _ : state) {
    now += 1e-10;  // too short for a sweep, which walks all queued commands, 20 times a second
    policy->advanceTo(now);
    arrive();
    policy->decide();
  }
  policy.reset();
}
void moduleByTurns(benchmark::State& state) { module(state, false); }
void moduleByTree(benchmark::State& state) { module(state, true); }

BENCHMARK(index)->Apply(sizes);
BENCHMARK(plainWalk)->Apply(sizes);
void moduleSizes(benchmark::internal::Benchmark* bench) {
  for (int64_t teams : {10, 100, 1'000, 10'000})
    bench->Args({teams, 10 * teams})->Iterations(teams > 1000 ? 3000 : 300);
}
BENCHMARK(moduleByTurns)->Apply(moduleSizes);
BENCHMARK(moduleByTree)->Apply(moduleSizes);

}  // namespace

BENCHMARK_MAIN();
