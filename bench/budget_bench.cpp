// What a pick, an arrival and an ending cost over the number of teams: the tree's index against a plain walk over all
// teams, as the module's turns do it. 100,000 commands are held where there are teams enough for it.
#include <benchmark/benchmark.h>

#include <deque>

#include "budget/tree_scheduler.h"
#include "pcg32.h"

using namespace elmcleat;
using namespace elmcleat::budget;

namespace {

std::vector<std::string> actorOf(size_t team) { return {"t" + std::to_string(team), "report"}; }

void index(benchmark::State& state) {
  size_t teams = size_t(state.range(0)), held = size_t(state.range(1));
  BudgetSettings plan;
  plan.maxNodes = 2 * teams + 16;
  for (size_t i = 0; i < teams; ++i) {
    NodeEntry entry{"t" + std::to_string(i), "", {}};
    if (i % 2)
      entry.settings.guarantee.cores = 1.0 / double(teams);
    entry.settings.weight = 1 + double(i % 7);
    plan.entries.push_back(entry);
  }
  BudgetTree tree(plan, 1);
  Pcg32 chance(3);
  std::deque<QueuedCommand> items(held);
  double now = 0;
  for (auto& item : items) {
    item.path = actorOf(chance.next() % teams);
    item.work = 0.1;
    tree.add(item, now);
    tree.enqueue(item, false, now);
  }
  for (auto _ : state) {  // one of each: a pick, its start and ending, and an arrival in its place
    now += 1e-4;
    QueuedCommand* item = tree.selectNext(now);
    tree.dequeue(*item, now);
    tree.sendStarted(*item, now);
    tree.sendFinished(*item, 0.1, now);
    tree.remove(*item, now);
    item->path = actorOf(chance.next() % teams);
    tree.add(*item, now);
    tree.enqueue(*item, false, now);
  }
}

// Turns by deficit, walked from the cursor on: who holds something and has credit, and else quanta to all.
void plainWalk(benchmark::State& state) {
  size_t teams = size_t(state.range(0)), held = size_t(state.range(1));
  struct Queue {
    std::deque<double> fifo;
    double deficit = 0, weight = 1;
  };
  std::vector<Queue> queues(teams);
  Pcg32 chance(3);
  for (size_t i = 0; i < teams; ++i)
    queues[i].weight = 1 + double(i % 7);
  for (size_t i = 0; i < held; ++i)
    queues[chance.next() % teams].fifo.push_back(0.1);
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
    queues[chance.next() % teams].fifo.push_back(0.1);
  }
}

void sizes(benchmark::internal::Benchmark* bench) {
  for (int64_t teams : {10, 100, 1'000, 10'000})
    bench->Args({teams, 100'000});
  for (int64_t held : {100, 1'000, 10'000})
    bench->Args({10'000, held});
}

// The module itself, by its own turns or by the tree: an arrival and a settling, with all that stands held.
struct Quiet final : ActionSink {
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
  size_t teams = size_t(state.range(0)), held = size_t(state.range(1));
  Settings set;
  Profile profile;
  profile.name = "report";
  profile.latencyTarget = 1e6;
  profile.clientTimeout = 1e6;
  set.profiles = {profile};
  for (size_t i = 0; i < teams; ++i)
    set.tenants.push_back({"t" + std::to_string(i), 1.0 / double(teams), 0});
  BudgetSettings plan;
  plan.maxNodes = 2 * teams + 16;
  TreeScheduler scheduler(plan, 1);
  Quiet actions;
  auto policy =
      createPolicy(set, 5, actions, budgets ? &scheduler : nullptr);  // without an engine: all is held
  std::vector<std::shared_ptr<Command>> commands;
  Pcg32 chance(3);
  double now = 0;
  auto arrive = [&] {
    commands.push_back(
        policy->submit({"report", set.tenants[chance.next() % teams].name, 1, {}, 0.1, 0, 1e6}));
  };
  policy->advanceTo(now);
  for (size_t i = 0; i < held; ++i)
    arrive();
  policy->decide();
  for (auto _ : state) {
    now += 1e-10;  // no sweep: that one looks at all that is held, twenty times a second
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
void few(benchmark::internal::Benchmark* bench) {
  for (int64_t teams : {10, 100, 1'000, 10'000})
    bench->Args({teams, 10 * teams})->Iterations(teams > 1000 ? 3000 : 300);
}
BENCHMARK(moduleByTurns)->Apply(few);
BENCHMARK(moduleByTree)->Apply(few);

}  // namespace

BENCHMARK_MAIN();
