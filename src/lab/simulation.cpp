#include "lab/simulation.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <numbers>
#include <unordered_map>

#include "budget/tree_scheduler.h"
#include "lab/baseline.h"
#include "lab/event_queue.h"
#include "lab/simulated_engine.h"
#include "pcg32.h"
#include "view/engine_subset.h"

namespace elmcleat::lab {
namespace {

class World {
 public:
  World(const Scenario& given, uint64_t seed, const Variant& variant)
      : scenario_(given), variant_(variant), arrivals_(seed * 7919 + 1), seed_(seed) {}

  RunRecord run() {
    auto began = std::chrono::steady_clock::now();
    size_t seconds = size_t(std::ceil(scenario_.duration)) + 1;
    record_.seconds.resize(seconds);
    for (auto& second : record_.seconds)
      second.offeredBenefit.resize(scenario_.teams.size()),
          second.earnedBenefit = second.completedWork = second.offeredBenefit;
    for (int i = 0; i < scenario_.fleet.engines; ++i)
      engines_.push_back(std::make_unique<Machine>(scenario_.fleet));
    for (int i = 0; i < scenario_.fleet.gateways; ++i) {
      gates_.push_back(std::make_unique<Gate>(*this, uint32_t(i)));
      gates_.back()->open();
    }
    for (size_t i = 0; i < scenario_.teams.size(); ++i)
      nextArrival(i);
    for (auto& disturbance : scenario_.disturbances)
      plan(disturbance);
    events_.schedule(0.5, [this] { sample(); });
    while (now_ < scenario_.duration && events_.runNext(now_)) {
    }
    for (auto& engine : engines_)
      record_.coldOverloads += engine->model.overloadedWhileCold;
    record_.wallSeconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    return std::move(record_);
  }

 private:
  struct Machine {
    explicit Machine(const Fleet& fleet) : model(fleet) {}
    SimulatedEngine model;
    uint64_t version = 0;  // of its next end
  };

  struct Sent {  // a send that is out
    std::shared_ptr<Command> command;
    uint64_t number = 0;  // of the command
    uint32_t node = 0;
    double at = 0;
  };

  // A gateway, and the client's side of its commands.
  struct Gate final : ActionSink {
    Gate(World& its, uint32_t id) : world(its), number(id) {}
    void open() {
      const Variant& variant = world.variant_;
      uint64_t seed = world.seed_ * 1000 + number;
      Settings settings = world.scenario_.settings;
      if (world.scenario_.subset)
        settings.ordinal = int(number);  // with the view and without it
      if (world.scenario_.subset && variant.subset && variant.decider == Decider::module)
        view = std::make_unique<view::EngineSubset>(*world.scenario_.subset, settings),
        settings = view->localSettings();
      if (variant.decider == Decider::module) {
        if (world.scenario_.budgets && variant.budgets) {
          scheduler = std::make_unique<budget::TreeScheduler>(*world.scenario_.budgets,
                                                              world.scenario_.fleet.gateways);
          if (world.scenario_.leases && variant.leases)
            lend();
          scheduler->onWaitMeasured([this](Command& command, budget::WaitEstimate told, double seen) {
            auto known = numbers.find(&command);
            if (known == numbers.end())
              return;
            world.record_.waits.push_back({world.record_.commands[known->second].arrivedAt, told.median,
                                           told.p90, seen, known->second});
          });
        }
        policy = createPolicy(settings, seed, *this, scheduler.get());
      } else {
        policy = std::make_unique<Baseline>(settings, seed, *this, variant.decider == Decider::random);
      }
      EngineListEvent first{0, true, {}};
      for (uint32_t i = 0; i < world.engines_.size(); ++i)
        first.engines.push_back(world.listingOf(i, EngineState::inService));
      hear(first);
    }
    // The list, or what of it is in view.
    void hear(const EngineListEvent& event) {
      if (!view)
        return show(event.engines, event.isFullList);
      show(view->apply(event, world.now_), event.isFullList);
      watch();
    }
    void show(const std::vector<ListedEngine>& listings, bool whole) {
      std::vector<EngineRecord> rows;
      for (auto& listing : listings)
        rows.push_back(rowOf(listing));
      if (whole || !rows.empty())
        tell([&] { policy->updateEngines(whole ? EngineListKind::full : EngineListKind::delta, rows); });
    }
    void ejectionChanged(uint32_t node, bool is) override {
      if (view)
        view->setEjected(node, is), watch();  // the module is told in a turn of its own
    }
    void watch() {
      double at = std::max(view->nextWakeUp(), world.now_);
      if (at == HUGE_VAL || (watchAt >= 0 && watchAt <= at))
        return;
      world.events_.schedule(watchAt = at, [this, at] {
        if (watchAt == at)
          watchAt = -1, show(view->tick(world.now_), false), watch();
      });
    }
    static EngineRecord rowOf(const ListedEngine& listing) {
      EngineRecord row = listing.record;
      if (listing.startedAtUnixMs > 0)
        row.startedAt = double(listing.startedAtUnixMs) / 1000;
      return row;
    }
    ~Gate() override { policy.reset(), commands.clear(), out.clear(); }

    // Loans between gateways: a look ten times a second, letters with the fleet's delay.
    void lend() {
      leases = std::make_unique<shared::LeaseManager>(*world.scenario_.leases, int(number), world.seed_ + 1,
                                                      world.seed_ * 77 + number, world.now_);
      look();
    }
    void look() {
      scheduler->advanceTo(world.now_);
      scheduler->setQuotas(usable());
      auto wants = scheduler->demand();
      for (size_t i = 0; i < wants.size(); ++i)
        leases->setDemand(i, wants[i]);
      leases->tick(world.now_);
      post();
      world.events_.schedule(std::max(leases->nextWakeUp(), world.now_ + 0.001), [this] { look(); });
    }
    void post() {
      scheduler->setQuotas(usable());  // before a letter that rests on it is on its way
      for (auto& message : leases->takeOutgoing())
        world.events_.schedule(world.now_ + world.scenario_.fleet.networkDelay, [this, message] {
          Gate& to = *world.gates_[size_t(message.to)];
          to.leases->receive(world.now_, message);
          to.scheduler->advanceTo(world.now_);
          to.post();
        });
    }
    std::vector<shared::AvailableQuota> usable() {
      std::vector<shared::AvailableQuota> all;
      for (size_t i = 0; i < world.scenario_.leases->quotas.size(); ++i)
        all.push_back(leases->availableQuota(i, world.now_));
      return all;
    }

    void tell(const std::function<void()>& what) {
      policy->advanceTo(world.now_);
      what();
      policy->decide();
    }

    void take(uint64_t id, const Arrival& arrival) {
      world.mark(RunEventKind::submitted, *this, id);
      policy->advanceTo(world.now_);
      auto command = policy->submit(arrival);
      commands[id] = command, numbers[command.get()] = id;
      policy->decide();
    }
    void send(Command& command, uint32_t node, double timeout, double) override {
      uint64_t id = numbers.at(&command);
      world.mark(RunEventKind::sent, *this, id, node);
      uint64_t number_ = ++world.sends_;
      out[number_] = {commands.at(id), id, node, world.now_};
      byCommand[&command] = number_;
      auto ranked = ranks.find(&command);
      int priority = ranked == ranks.end() ? 1 : ranked->second;
      world.go(*this, number_, priority);
      double end = world.record_.commands[id].timeoutAt;
      double until = timeout > 0 ? std::min(world.now_ + timeout, end) : end;
      world.events_.schedule(until, [this, number_] { expire(number_); });
    }
    void expire(uint64_t number_) {
      auto sent = out.find(number_);
      if (sent == out.end())
        return;
      uint32_t node = sent->second.node;
      world.events_.schedule(world.now_ + world.scenario_.fleet.networkDelay,
                             [this, node, number_] { world.drop(node, number_); });
      over(number_, Outcome::timedOut);
    }
    void over(uint64_t number_, Outcome what, const ResourceUsage* usage = nullptr,
              const LoadReport* report = nullptr) {
      auto found = out.extract(number_);
      if (found.empty())
        return;
      Sent sent = std::move(found.mapped());
      byCommand.erase(sent.command.get());
      world.mark(RunEventKind::sendFinished, *this, sent.number, sent.node);
      bool answered = what == Outcome::answered && !ended.contains(sent.number);
      if (answered)
        final(sent.number, RunEventKind::answered);
      tell([&] {
        sent.command->sendFinished(what, world.now_ - sent.at, ended.contains(sent.number), usage, report);
      });
      forget(sent.number);
    }
    void setPriorityAndMemory(Command& command, int priority, double) override {
      ranks[&command] = priority;
      if (auto sent = byCommand.find(&command); sent != byCommand.end())
        world.rank(out.at(sent->second).node, sent->second, priority);
    }
    void cancel(Command& command, int) override {
      auto sent = byCommand.find(&command);
      if (sent == byCommand.end())
        return;
      uint64_t number_ = sent->second;
      uint32_t node = out.at(number_).node;
      world.events_.schedule(world.now_ + world.scenario_.fleet.networkDelay,
                             [this, node, number_] { world.drop(node, number_); });
      world.events_.schedule(world.now_ + 2 * world.scenario_.fleet.networkDelay,
                             [this, number_] { over(number_, Outcome::cancelled); });
    }
    void shed(Command& command, double) override {
      uint64_t id = numbers.at(&command);
      final(id, RunEventKind::shed);
      world.retry(id);
    }
    void fail(Command& command) override { final(numbers.at(&command), RunEventKind::failed); }
    void probe(uint32_t) override {}
    void requestEngineList() override {}
    void scheduleWakeUp(double at) override {
      double real = std::max(world.now_, at);
      wakeAt = real;
      world.events_.schedule(real, [this, real] {
        if (wakeAt == real)
          wakeAt = -1, tell([] {});
      });
    }
    void log(const std::string&) override {}

    void final(uint64_t id, RunEventKind how) {
      ended.insert({id, true});
      world.mark(how, *this, id);
      if (how == RunEventKind::answered)
        world.earn(id);
      // Forgotten in a turn of its own: the module may be in the midst of it.
      world.events_.schedule(world.now_, [this, id] { forget(id); });
    }
    void forget(uint64_t id) {
      auto command = commands.find(id);
      if (command == commands.end() || !ended.contains(id) || byCommand.contains(command->second.get()))
        return;
      ranks.erase(command->second.get()), numbers.erase(command->second.get());
      commands.erase(command), ended.erase(id);
    }

    World& world;
    uint32_t number;
    double wakeAt = -1, watchAt = -1;
    std::unique_ptr<view::EngineSubset> view;
    std::unique_ptr<budget::TreeScheduler> scheduler;
    std::unique_ptr<shared::LeaseManager> leases;
    std::unique_ptr<Policy> policy;
    std::unordered_map<uint64_t, std::shared_ptr<Command>> commands;
    std::unordered_map<const Command*, uint64_t> numbers, byCommand;
    std::unordered_map<const Command*, int> ranks;
    std::unordered_map<uint64_t, bool> ended;
    std::unordered_map<uint64_t, Sent> out;
  };

  // --- the record
  void mark(RunEventKind what, const Gate& gate, uint64_t command, uint32_t node = 0) {
    record_.events.push_back({now_, what, gate.number, node, command});
  }
  SecondRecord& second() { return record_.seconds[std::min(size_t(now_), record_.seconds.size() - 1)]; }
  void earn(uint64_t id) {
    const CommandRecord& asked = record_.commands[id];
    const Profile& profile = scenario_.settings.profiles[asked.profile];
    double worth = now_ <= record_.commands[asked.firstTry].targetAt ? 1 : profile.lateBenefitShare;
    second().earnedBenefit[asked.team] += worth * profile.benefit,
        second().completedWork[asked.team] += asked.work;
  }
  void sample() {
    double held = 0, busy = 0, cores = 0;
    for (auto& gate : gates_)
      if (gate->scheduler)
        held += double(gate->scheduler->tree().root().queued);
      else
        held += double(gate->commands.size() - std::min(gate->commands.size(), gate->out.size()));
    for (auto& engine : engines_) {
      SimulatedEngine& model = engine->model;
      double uses = std::min(model.threads(), scenario_.fleet.hardware.cores);
      busy += uses, cores += scenario_.fleet.hardware.cores;
      if (now_ >= scenario_.measuredFrom && model.up)
        record_.threadsPerCore.push_back(model.threads() / scenario_.fleet.hardware.cores);
      if (!model.up || !model.startedAt || now_ > *model.startedAt + scenario_.fleet.coldDuration)
        continue;
      record_.coldCoresAvailable += model.availableCores(now_),
          record_.coldCoresUsed += std::min(uses, model.availableCores(now_));
    }
    second().waitingCommands = held, second().busyCoreShare = busy / cores;
    events_.schedule(now_ + 1, [this] { sample(); });
  }

  // --- clients
  double rateOf(size_t team) const {
    double rate = scenario_.teams[team].rate;
    for (auto& disturbance : scenario_.disturbances) {
      if (disturbance.team != scenario_.teams[team].name || now_ < disturbance.start ||
          now_ >= disturbance.start + disturbance.duration)
        continue;
      if (disturbance.kind == "burst" && variant_.bursts)
        rate *= disturbance.factor;
      if (disturbance.kind == "quiet")
        rate = 0;
    }
    return rate;
  }
  // Arrivals are drawn at the highest rate and thinned: the draws are the same in all variants.
  void nextArrival(size_t team) {
    double most = scenario_.teams[team].rate;
    for (auto& disturbance : scenario_.disturbances)
      if (disturbance.kind == "burst" && disturbance.team == scenario_.teams[team].name)
        most *= std::max(1.0, disturbance.factor);
    if (most <= 0)
      return;
    auto& chance = chances_[team];
    if (!chance)
      chance = std::make_unique<Pcg32>(arrivals_.next() + team);
    events_.schedule(now_ - std::log(1 - chance->uniform()) / most, [this, team, most] {
      Pcg32& draw = *chances_[team];
      double keep = draw.uniform(), pick = draw.uniform(), size = draw.uniform(), angle = draw.uniform(),
             user = draw.uniform();
      uint32_t gate = draw.next(), tables = draw.next();
      if (keep * most < rateOf(team))
        arrive(team, pick, size, angle, user, gate, tables);
      nextArrival(team);
    });
  }
  void arrive(size_t team, double pick, double size, double angle, double user, uint32_t gate,
              uint32_t tables) {
    const Team& who = scenario_.teams[team];
    double all = 0;
    for (auto& mix : who.mix)
      all += mix.weight;
    size_t profile = 0;
    for (auto& mix : who.mix) {
      for (size_t i = 0; i < scenario_.settings.profiles.size(); ++i)
        if (scenario_.settings.profiles[i].name == mix.profile)
          profile = i;
      if ((pick -= mix.weight / all) < 0)
        break;
    }
    const WorkDistribution& work = scenario_.workByProfile[profile];
    double normal = std::sqrt(-2 * std::log(1 - size)) * std::cos(2 * std::numbers::pi * angle);
    double cost = work.mean * std::exp(work.spread * normal - work.spread * work.spread / 2);
    Arrival arrival;
    arrival.profile = scenario_.settings.profiles[profile].name, arrival.tenant = who.name;
    arrival.tableGroup = tables % 64, arrival.estimatedWork = cost / who.workPerEstimate,
    arrival.estimatedMemoryMb = work.memoryMb;
    if (who.users > 0)
      arrival.users = {"u" + std::to_string(int(user * who.users))};
    auto gates = uint32_t(std::ceil(who.gatewayShare * double(gates_.size()) - 1e-9));
    ask(arrival, team, profile, cost, gate % gates, record_.commands.size(), 0);
  }
  void ask(Arrival arrival, size_t team, size_t profile, double cost, uint32_t gate, uint64_t first,
           int tries) {
    const Profile& row = scenario_.settings.profiles[profile];
    uint64_t id = record_.commands.size();
    arrival.remainingTime = row.clientTimeout;
    double target = row.latencyTarget + row.latencyTargetStretch * cost / row.threads;
    record_.commands.push_back({first, uint32_t(team), uint32_t(profile), now_, cost, now_ + target,
                                now_ + row.clientTimeout, gate, uint32_t(arrival.tableGroup)});
    if (first == id)
      second().offeredBenefit[team] += row.benefit;
    if (tries < scenario_.retries)
      retries_[id] = {arrival, gate, tries};
    gates_[gate]->take(id, arrival);
  }
  void retry(uint64_t id) {  // a client asks again a second after it was shed
    auto found = retries_.extract(id);
    if (found.empty())
      return;
    events_.schedule(now_ + 1, [this, id, again = found.mapped()] {
      const CommandRecord asked = record_.commands[id];
      ask(again.arrival, asked.team, asked.profile, asked.work, again.gate, asked.firstTry, again.tries + 1);
    });
  }

  // --- engines
  const std::string& zoneOf(uint32_t node) const {
    return scenario_.fleet.zones[node % scenario_.fleet.zones.size()];
  }
  ListedEngine listingOf(uint32_t node, EngineState state) const {
    ListedEngine listing;
    listing.record = {node, zoneOf(node), scenario_.fleet.hardware.name, 0, state, {}};
    if (auto start = engines_[node]->model.startedAt)
      listing.startedAtUnixMs = std::llround(*start * 1000);
    return listing;
  }
  void go(Gate& gate, uint64_t number, int priority) {
    events_.schedule(now_ + scenario_.fleet.networkDelay, [this, &gate, number, priority] {
      auto sent = gate.out.find(number);
      if (sent == gate.out.end())
        return;
      uint32_t node = sent->second.node;
      const CommandRecord& asked = record_.commands[sent->second.number];
      const Profile& profile = scenario_.settings.profiles[asked.profile];
      Machine& machine = *engines_[node];
      auto answer = [&](Outcome what) {
        events_.schedule(now_ + scenario_.fleet.networkDelay,
                         [&gate, number, what] { gate.over(number, what); });
      };
      if (!machine.model.up)
        return answer(Outcome::connectFailed);
      if (machine.model.failing)
        return mark(RunEventKind::started, gate, sent->second.number, node), answer(Outcome::error);
      RunningSend one{
          number,          asked.work, asked.work, scenario_.workByProfile[asked.profile].memoryMb,
          profile.threads, priority,   0};
      machine.model.startSend(now_, one, asked.firstTry % 64);
      places_[number] = &gate;
      mark(RunEventKind::started, gate, sent->second.number, node);
      wakeMachine(node);
    });
  }
  void wakeMachine(uint32_t node) {
    Machine& machine = *engines_[node];
    uint64_t version = ++machine.version;
    auto at = machine.model.nextCompletion();
    if (!at)
      return;
    events_.schedule(std::max(now_, *at), [this, node, version] {
      if (engines_[node]->version != version)
        return;
      for (auto& one : engines_[node]->model.takeFinished(now_)) {
        auto place = places_.extract(one.send);
        if (place.empty() || engines_[node]->model.silent)
          continue;
        Gate* gate = place.mapped();
        const SimulatedEngine& model = engines_[node]->model;
        double used = std::min(1.0, model.threads() / scenario_.fleet.hardware.cores);
        LoadReport report{double(model.runningCount()), {}, used, {}, {}};
        events_.schedule(now_ + scenario_.fleet.networkDelay, [this, gate, one, report] {
          ResourceUsage usage{one.work, one.memoryMb};
          gate->over(one.send, Outcome::answered, &usage, scenario_.fleet.loadReports ? &report : nullptr);
        });
      }
      wakeMachine(node);
    });
  }
  void drop(uint32_t node, uint64_t send) {
    places_.erase(send);
    engines_[node]->model.cancelSend(now_, send), wakeMachine(node);
  }
  void rank(uint32_t node, uint64_t send, int priority) {
    events_.schedule(now_ + scenario_.fleet.networkDelay, [this, node, send, priority] {
      engines_[node]->model.setPriority(now_, send, priority), wakeMachine(node);
    });
  }
  void list(const std::vector<uint32_t>& nodes, EngineState state, double lag) {
    events_.schedule(now_ + lag, [this, nodes, state] {
      EngineListEvent event;
      for (uint32_t node : nodes)
        event.engines.push_back(listingOf(node, state));
      for (auto& gate : gates_) {
        for (uint32_t node : nodes)
          mark(state == EngineState::inService ? RunEventKind::listed : RunEventKind::drained, *gate, 0,
               node);
        gate->hear(event);
      }
    });
  }

  // --- troubles
  void plan(const Disturbance& disturbance) {
    events_.schedule(disturbance.start, [this, &disturbance] { begin(disturbance); });
    if (disturbance.start + disturbance.duration < scenario_.duration)
      events_.schedule(disturbance.start + disturbance.duration, [this, &disturbance] { end(disturbance); });
  }
  std::vector<uint32_t> nodesOf(const Disturbance& disturbance) const {
    std::vector<uint32_t> nodes;
    for (uint32_t node = 0; node < engines_.size(); ++node)
      if (disturbance.zone.empty() || disturbance.zone == zoneOf(node))
        nodes.push_back(node);
    nodes.resize(size_t(std::ceil(disturbance.engineShare * double(nodes.size()) - 1e-9)));
    return nodes;
  }
  void stop(const std::vector<uint32_t>& nodes) {  // their processes end
    for (uint32_t node : nodes) {
      for (auto& one : engines_[node]->model.stop(now_))
        if (auto place = places_.extract(one.send); !place.empty())
          events_.schedule(now_ + scenario_.fleet.networkDelay,
                           [gate = place.mapped(), send = one.send] { gate->over(send, Outcome::reset); });
      wakeMachine(node);
    }
    list(nodes, EngineState::removed, scenario_.fleet.listLag);
  }
  void start(const std::vector<uint32_t>& nodes) {  // cold
    for (uint32_t node : nodes)
      engines_[node]->model.start(now_, true), wakeMachine(node);
    list(nodes, EngineState::inService, scenario_.fleet.listLag);
  }
  // A part of them after the other is drained, ends and comes back cold.
  void roll(const Disturbance& disturbance) {
    constexpr double kGrace = 3, kDown = 1;  // seconds to finish what it has; until it starts again
    auto nodes = nodesOf(disturbance);
    for (int step = 0; step < disturbance.steps; ++step) {
      auto at = [&](int i) { return nodes.begin() + long(nodes.size()) * i / disturbance.steps; };
      std::vector<uint32_t> its(at(step), at(step + 1));
      double from = now_ + disturbance.duration * step / disturbance.steps;
      events_.schedule(from, [this, its] { list(its, EngineState::draining, 0); });
      events_.schedule(from + kGrace, [this, its] { stop(its); });
      events_.schedule(from + kGrace + scenario_.fleet.listLag + kDown, [this, its] { start(its); });
    }
  }
  void begin(const Disturbance& disturbance) {
    if (disturbance.kind == "roll")
      return roll(disturbance);
    auto nodes = nodesOf(disturbance);
    if (disturbance.kind == "drain")
      list(nodes, EngineState::draining, 0);
    if (disturbance.kind == "lose")
      stop(nodes);
    for (uint32_t node : nodes) {
      SimulatedEngine& engine = engines_[node]->model;
      if (disturbance.kind == "slow")
        engine.setSlowdown(now_, disturbance.factor);
      if (disturbance.kind == "silent")
        engine.silent = true;
      if (disturbance.kind == "failing")
        engine.failing = true;
      wakeMachine(node);
    }
    for (auto& gate : gates_) {
      if (disturbance.kind == "reload" && gate->scheduler && disturbance.budgetSettings)
        gate->tell([&] { gate->scheduler->reconfigure(*disturbance.budgetSettings); });
    }
  }
  void end(const Disturbance& disturbance) {
    auto nodes = nodesOf(disturbance);
    if (disturbance.kind == "lose")
      start(nodes);
    if (disturbance.kind == "drain")
      list(nodes, EngineState::inService, 0);
    for (uint32_t node : nodes) {
      SimulatedEngine& engine = engines_[node]->model;
      if (disturbance.kind == "slow")
        engine.setSlowdown(now_, 1);
      if (disturbance.kind == "silent")
        engine.silent = false;
      if (disturbance.kind == "failing")
        engine.failing = false;
      wakeMachine(node);
    }
  }

  struct Again {
    Arrival arrival;
    uint32_t gate;
    int tries;
  };
  const Scenario& scenario_;
  Variant variant_;
  Pcg32 arrivals_;
  uint64_t seed_, sends_ = 0;
  double now_ = 0;
  EventQueue events_;
  RunRecord record_;
  std::unordered_map<size_t, std::unique_ptr<Pcg32>> chances_;
  std::vector<std::unique_ptr<Machine>> engines_;
  std::vector<std::unique_ptr<Gate>> gates_;
  std::unordered_map<uint64_t, Gate*> places_;  // sends at engines
  std::unordered_map<uint64_t, Again> retries_;
};

}  // namespace

Variant variantNamed(const std::string& name) {
  if (name == "plain")
    return {name, Decider::module, false, true};
  if (name == "apart")
    return {name, Decider::module, true, true, false};
  if (name == "whole")
    return {name, Decider::module, true, true, true, false};
  if (name == "calm")
    return {name, Decider::module, true, false};
  if (name == "random")
    return {name, Decider::random, false, true};
  if (name == "fifo")
    return {name, Decider::fifo, false, true};
  return {name, Decider::module, true, true};
}

RunRecord simulate(const Scenario& scenario, uint64_t seed, const Variant& variant) {
  return World(scenario, seed, variant).run();
}

}  // namespace elmcleat::lab
