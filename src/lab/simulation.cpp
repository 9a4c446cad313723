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

constexpr uint32_t kTableGroups = 64;
constexpr double kRetryDelay = 1;  // seconds from a shed to the client's retry

// Owns the virtual clock, the event queue, the engines, the gateways and the clients of one run.
class Simulation {
 public:
  Simulation(const Scenario& scenario, uint64_t seed, const Variant& variant)
      : scenario_(scenario), variant_(variant), seedGenerator_(seed * 7919 + 1), seed_(seed) {}

  RunRecord run() {
    auto began = std::chrono::steady_clock::now();
    size_t seconds = size_t(std::ceil(scenario_.duration)) + 1;
    record_.seconds.resize(seconds);
    for (auto& second : record_.seconds) {
      second.offeredBenefit.resize(scenario_.teams.size());
      second.earnedBenefit = second.completedWork = second.offeredBenefit;
    }
    for (int i = 0; i < scenario_.fleet.engines; ++i)
      engines_.push_back(std::make_unique<EngineProcess>(scenario_.fleet));
    for (int i = 0; i < scenario_.fleet.gateways; ++i) {
      gateways_.push_back(std::make_unique<Gateway>(*this, uint32_t(i)));
      gateways_.back()->open();
    }
    for (size_t i = 0; i < scenario_.teams.size(); ++i)
      nextArrival(i);
    for (auto& disturbance : scenario_.disturbances)
      scheduleDisturbance(disturbance);
    eventQueue_.schedule(0.5, [this] { sample(); });
    while (now_ < scenario_.duration && eventQueue_.runNext(now_)) {
    }
    for (auto& engine : engines_)
      record_.coldOverloads += engine->model.overloadedWhileCold;
    record_.wallSeconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    return std::move(record_);
  }

 private:
  struct EngineProcess {
    explicit EngineProcess(const Fleet& fleet) : model(fleet) {}
    SimulatedEngine model;
    uint64_t version = 0;  // invalidates the scheduled completion when it changes
  };

  // A send without an outcome yet.
  struct Sent {
    std::shared_ptr<Command> command;
    uint64_t number = 0;  // of the command
    uint32_t node = 0;
    double at = 0;
  };

  // A gateway: executes the actions of its policy and plays the clients of its commands.
  struct Gateway final : ActionSink {
    Gateway(Simulation& owner, uint32_t index) : simulation(owner), number(index) {}
    void open() {
      const Variant& variant = simulation.variant_;
      uint64_t seed = simulation.seed_ * 1000 + number;
      Settings settings = simulation.scenario_.settings;
      if (simulation.scenario_.subset)
        settings.ordinal = int(number);  // in the variant without a subset too
      if (simulation.scenario_.subset && variant.subset && variant.decider == Decider::module)
        subset = std::make_unique<view::EngineSubset>(*simulation.scenario_.subset, settings),
        settings = subset->localSettings();
      if (variant.decider == Decider::module) {
        if (simulation.scenario_.budgets && variant.budgets) {
          scheduler = std::make_unique<budget::TreeScheduler>(*simulation.scenario_.budgets,
                                                              simulation.scenario_.fleet.gateways);
          if (simulation.scenario_.leases && variant.leases)
            startLeases();
          scheduler->onWaitMeasured([this](Command& command, budget::WaitEstimate estimate, double measured) {
            auto known = idByCommand.find(&command);
            if (known == idByCommand.end())
              return;
            simulation.record_.waits.push_back({simulation.record_.commands[known->second].arrivedAt,
                                                estimate.median, estimate.p90, measured, known->second});
          });
        }
        policy = createPolicy(settings, seed, *this, scheduler.get());
      } else {
        policy = std::make_unique<Baseline>(settings, seed, *this, variant.decider == Decider::random);
      }
      EngineListEvent first{0, true, {}};
      for (uint32_t i = 0; i < simulation.engines_.size(); ++i)
        first.engines.push_back(simulation.listingOf(i, EngineState::inService));
      receiveEngineList(first);
    }
    // Passes the engine list on to the policy, reduced to the subset if there is one.
    void receiveEngineList(const EngineListEvent& event) {
      if (!subset)
        return updatePolicyEngines(event.engines, event.isFullList);
      updatePolicyEngines(subset->apply(event, simulation.now_), event.isFullList);
      scheduleSubsetTick();
    }
    void updatePolicyEngines(const std::vector<ListedEngine>& listings, bool isFullList) {
      std::vector<EngineRecord> rows;
      for (auto& listing : listings)
        rows.push_back(rowOf(listing));
      if (isFullList || !rows.empty())
        runPolicy(
            [&] { policy->updateEngines(isFullList ? EngineListKind::full : EngineListKind::delta, rows); });
    }
    void ejectionChanged(uint32_t node, bool ejected) override {
      if (subset) {
        subset->setEjected(node, ejected);
        scheduleSubsetTick();  // the policy is updated by a separate event, not within its own call
      }
    }
    void scheduleSubsetTick() {
      double at = std::max(subset->nextWakeUp(), simulation.now_);
      if (at == HUGE_VAL || (subsetTickAt >= 0 && subsetTickAt <= at))
        return;
      simulation.eventQueue_.schedule(subsetTickAt = at, [this, at] {
        if (subsetTickAt == at)
          subsetTickAt = -1, updatePolicyEngines(subset->tick(simulation.now_), false), scheduleSubsetTick();
      });
    }
    static EngineRecord rowOf(const ListedEngine& listing) {
      EngineRecord row = listing.record;
      if (listing.startedAtUnixMs > 0)
        row.startedAt = double(listing.startedAtUnixMs) / 1000;
      return row;
    }
    ~Gateway() override {
      policy.reset();
      commands.clear();
      outstanding.clear();
    }

    // Leases between gateways: ticked when the lease manager asks for it; messages take the network delay.
    void startLeases() {
      leases = std::make_unique<shared::LeaseManager>(*simulation.scenario_.leases, int(number),
                                                      simulation.seed_ + 1, simulation.seed_ * 77 + number,
                                                      simulation.now_);
      tickLeases();
    }
    void tickLeases() {
      scheduler->advanceTo(simulation.now_);
      scheduler->setQuotas(availableQuotas());
      auto demand = scheduler->demand();
      for (size_t i = 0; i < demand.size(); ++i)
        leases->setDemand(i, demand[i]);
      leases->tick(simulation.now_);
      sendLeaseMessages();
      simulation.eventQueue_.schedule(std::max(leases->nextWakeUp(), simulation.now_ + 0.001),
                                      [this] { tickLeases(); });
    }
    void sendLeaseMessages() {
      scheduler->setQuotas(availableQuotas());  // before messages leave that depend on the reduced quota
      for (auto& message : leases->takeOutgoing())
        simulation.eventQueue_.schedule(simulation.now_ + simulation.scenario_.fleet.networkDelay,
                                        [this, message] {
                                          Gateway& to = *simulation.gateways_[size_t(message.to)];
                                          to.leases->receive(simulation.now_, message);
                                          to.scheduler->advanceTo(simulation.now_);
                                          to.sendLeaseMessages();
                                        });
    }
    std::vector<shared::AvailableQuota> availableQuotas() {
      std::vector<shared::AvailableQuota> all;
      for (size_t i = 0; i < simulation.scenario_.leases->quotas.size(); ++i)
        all.push_back(leases->availableQuota(i, simulation.now_));
      return all;
    }

    // Runs `what` between setting the policy's time and letting it decide.
    void runPolicy(const std::function<void()>& what) {
      policy->advanceTo(simulation.now_);
      what();
      policy->decide();
    }

    void submit(uint64_t id, const Arrival& arrival) {
      simulation.recordEvent(RunEventKind::submitted, *this, id);
      policy->advanceTo(simulation.now_);
      auto command = policy->submit(arrival);
      commands[id] = command;
      idByCommand[command.get()] = id;
      policy->decide();
    }
    void send(Command& command, uint32_t node, double timeout, double) override {
      uint64_t id = idByCommand.at(&command);
      simulation.recordEvent(RunEventKind::sent, *this, id, node);
      uint64_t sendId = ++simulation.sendCount_;
      outstanding[sendId] = {commands.at(id), id, node, simulation.now_};
      sendByCommand[&command] = sendId;
      auto priorityEntry = priorities.find(&command);
      int priority = priorityEntry == priorities.end() ? 1 : priorityEntry->second;
      simulation.deliverSend(*this, sendId, priority);
      double end = simulation.record_.commands[id].timeoutAt;
      double until = timeout > 0 ? std::min(simulation.now_ + timeout, end) : end;
      simulation.eventQueue_.schedule(until, [this, sendId] { expire(sendId); });
    }
    // Ends a send whose time limit has passed and cancels it at the engine.
    void expire(uint64_t sendId) {
      auto sent = outstanding.find(sendId);
      if (sent == outstanding.end())
        return;
      uint32_t node = sent->second.node;
      simulation.eventQueue_.schedule(simulation.now_ + simulation.scenario_.fleet.networkDelay,
                                      [this, node, sendId] { simulation.cancelSend(node, sendId); });
      finishSend(sendId, Outcome::timedOut);
    }
    void finishSend(uint64_t sendId, Outcome what, const ResourceUsage* usage = nullptr,
                    const LoadReport* report = nullptr) {
      auto found = outstanding.extract(sendId);
      if (found.empty())
        return;
      Sent sent = std::move(found.mapped());
      sendByCommand.erase(sent.command.get());
      simulation.recordEvent(RunEventKind::sendFinished, *this, sent.number, sent.node);
      bool answered = what == Outcome::answered && !finishedCommands.contains(sent.number);
      if (answered)
        finishCommand(sent.number, RunEventKind::answered);
      runPolicy([&] {
        sent.command->sendFinished(what, simulation.now_ - sent.at, finishedCommands.contains(sent.number),
                                   usage, report);
      });
      forget(sent.number);
    }
    void setPriorityAndMemory(Command& command, int priority, double) override {
      priorities[&command] = priority;
      if (auto sent = sendByCommand.find(&command); sent != sendByCommand.end())
        simulation.changePriority(outstanding.at(sent->second).node, sent->second, priority);
    }
    void cancel(Command& command, int) override {
      auto sent = sendByCommand.find(&command);
      if (sent == sendByCommand.end())
        return;
      uint64_t sendId = sent->second;
      uint32_t node = outstanding.at(sendId).node;
      simulation.eventQueue_.schedule(simulation.now_ + simulation.scenario_.fleet.networkDelay,
                                      [this, node, sendId] { simulation.cancelSend(node, sendId); });
      simulation.eventQueue_.schedule(simulation.now_ + 2 * simulation.scenario_.fleet.networkDelay,
                                      [this, sendId] { finishSend(sendId, Outcome::cancelled); });
    }
    void shed(Command& command, double) override {
      uint64_t id = idByCommand.at(&command);
      finishCommand(id, RunEventKind::shed);
      simulation.retry(id);
    }
    void fail(Command& command) override { finishCommand(idByCommand.at(&command), RunEventKind::failed); }
    void probe(uint32_t) override {}
    void requestEngineList() override {}
    void scheduleWakeUp(double at) override {
      double real = std::max(simulation.now_, at);
      wakeUpAt = real;
      simulation.eventQueue_.schedule(real, [this, real] {
        if (wakeUpAt == real) {
          wakeUpAt = -1;
          runPolicy([] {});
        }
      });
    }
    void log(const std::string&) override {}

    void finishCommand(uint64_t id, RunEventKind how) {
      finishedCommands.insert({id, true});
      simulation.recordEvent(how, *this, id);
      if (how == RunEventKind::answered)
        simulation.recordBenefit(id);
      // Erased by a separate event: the policy may still be using the command.
      simulation.eventQueue_.schedule(simulation.now_, [this, id] { forget(id); });
    }
    // Erases a command that has finished and has no outstanding send.
    void forget(uint64_t id) {
      auto command = commands.find(id);
      if (command == commands.end() || !finishedCommands.contains(id) ||
          sendByCommand.contains(command->second.get()))
        return;
      priorities.erase(command->second.get());
      idByCommand.erase(command->second.get());
      commands.erase(command);
      finishedCommands.erase(id);
    }

    Simulation& simulation;
    uint32_t number;
    double wakeUpAt = -1;      // -1: none scheduled
    double subsetTickAt = -1;  // -1: none scheduled
    std::unique_ptr<view::EngineSubset> subset;
    std::unique_ptr<budget::TreeScheduler> scheduler;
    std::unique_ptr<shared::LeaseManager> leases;
    std::unique_ptr<Policy> policy;
    std::unordered_map<uint64_t, std::shared_ptr<Command>> commands;
    std::unordered_map<const Command*, uint64_t> idByCommand, sendByCommand;
    std::unordered_map<const Command*, int> priorities;
    std::unordered_map<uint64_t, bool> finishedCommands;
    std::unordered_map<uint64_t, Sent> outstanding;
  };

  // --- Record
  void recordEvent(RunEventKind what, const Gateway& gateway, uint64_t command, uint32_t node = 0) {
    record_.events.push_back({now_, what, gateway.number, node, command});
  }
  SecondRecord& second() { return record_.seconds[std::min(size_t(now_), record_.seconds.size() - 1)]; }
  void recordBenefit(uint64_t id) {
    const CommandRecord& record = record_.commands[id];
    const Profile& profile = scenario_.settings.profiles[record.profile];
    double worth = now_ <= record_.commands[record.firstTry].targetAt ? 1 : profile.lateBenefitShare;
    second().earnedBenefit[record.team] += worth * profile.benefit;
    second().completedWork[record.team] += record.work;
  }
  // Samples load once a second.
  void sample() {
    double waiting = 0;
    double busy = 0;
    double cores = 0;
    for (auto& gateway : gateways_)
      if (gateway->scheduler)
        waiting += double(gateway->scheduler->tree().root().queued);
      else
        waiting += double(gateway->commands.size() -
                          std::min(gateway->commands.size(), gateway->outstanding.size()));
    for (auto& engine : engines_) {
      SimulatedEngine& model = engine->model;
      double used = std::min(model.threads(), scenario_.fleet.hardware.cores);
      busy += used;
      cores += scenario_.fleet.hardware.cores;
      if (now_ >= scenario_.measuredFrom && model.up)
        record_.threadsPerCore.push_back(model.threads() / scenario_.fleet.hardware.cores);
      if (!model.up || !model.startedAt || now_ > *model.startedAt + scenario_.fleet.coldDuration)
        continue;
      record_.coldCoresAvailable += model.availableCores(now_);
      record_.coldCoresUsed += std::min(used, model.availableCores(now_));
    }
    second().waitingCommands = waiting;
    second().busyCoreShare = busy / cores;
    eventQueue_.schedule(now_ + 1, [this] { sample(); });
  }

  // --- Clients
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
  // Poisson arrivals by thinning: candidates are drawn at the highest rate of the run and kept with the
  // probability of the current rate. So all variants have the same random draws.
  void nextArrival(size_t team) {
    double maxRate = scenario_.teams[team].rate;
    for (auto& disturbance : scenario_.disturbances)
      if (disturbance.kind == "burst" && disturbance.team == scenario_.teams[team].name)
        maxRate *= std::max(1.0, disturbance.factor);
    if (maxRate <= 0)
      return;
    auto& generator = generators_[team];
    if (!generator)
      generator = std::make_unique<Pcg32>(seedGenerator_.next() + team);
    eventQueue_.schedule(now_ - std::log(1 - generator->uniform()) / maxRate, [this, team, maxRate] {
      Pcg32& draw = *generators_[team];
      double keep = draw.uniform();
      double pick = draw.uniform();
      double size = draw.uniform();
      double angle = draw.uniform();
      double user = draw.uniform();
      uint32_t gateway = draw.next();
      uint32_t tableGroup = draw.next();
      if (keep * maxRate < rateOf(team))
        arrive(team, pick, size, angle, user, gateway, tableGroup);
      nextArrival(team);
    });
  }
  // `pick`, `size`, `angle` and `user` are uniform in [0, 1); `size` and `angle` give the work by the
  // Box-Muller transform.
  void arrive(size_t team, double pick, double size, double angle, double user, uint32_t gateway,
              uint32_t tableGroup) {
    const Team& tenant = scenario_.teams[team];
    double weights = 0;
    for (auto& mix : tenant.mix)
      weights += mix.weight;
    size_t profile = 0;
    for (auto& mix : tenant.mix) {
      for (size_t i = 0; i < scenario_.settings.profiles.size(); ++i)
        if (scenario_.settings.profiles[i].name == mix.profile)
          profile = i;
      if ((pick -= mix.weight / weights) < 0)
        break;
    }
    const WorkDistribution& work = scenario_.workByProfile[profile];
    double normal = std::sqrt(-2 * std::log(1 - size)) * std::cos(2 * std::numbers::pi * angle);
    double cost = work.mean * std::exp(work.spread * normal - work.spread * work.spread / 2);
    Arrival arrival;
    arrival.profile = scenario_.settings.profiles[profile].name;
    arrival.tenant = tenant.name;
    arrival.tableGroup = tableGroup % kTableGroups;
    arrival.estimatedWork = cost / tenant.workPerEstimate;
    arrival.estimatedMemoryMb = work.memoryMb;
    if (tenant.users > 0)
      arrival.users = {"u" + std::to_string(int(user * tenant.users))};
    auto gatewayCount = uint32_t(std::ceil(tenant.gatewayShare * double(gateways_.size()) - 1e-9));
    submitCommand(arrival, team, profile, cost, gateway % gatewayCount, record_.commands.size(), 0);
  }
  void submitCommand(Arrival arrival, size_t team, size_t profile, double cost, uint32_t gateway,
                     uint64_t firstTry, int retryCount) {
    const Profile& row = scenario_.settings.profiles[profile];
    uint64_t id = record_.commands.size();
    arrival.remainingTime = row.clientTimeout;
    double target = row.latencyTarget + row.latencyTargetStretch * cost / row.threads;
    record_.commands.push_back({firstTry, uint32_t(team), uint32_t(profile), now_, cost, now_ + target,
                                now_ + row.clientTimeout, gateway, uint32_t(arrival.tableGroup)});
    if (firstTry == id)
      second().offeredBenefit[team] += row.benefit;
    if (retryCount < scenario_.retries)
      retries_[id] = {arrival, gateway, retryCount};
    gateways_[gateway]->submit(id, arrival);
  }
  // Schedules the client's retry of a shed command, if it has one left.
  void retry(uint64_t id) {
    auto found = retries_.extract(id);
    if (found.empty())
      return;
    eventQueue_.schedule(now_ + kRetryDelay, [this, id, pending = found.mapped()] {
      const CommandRecord record = record_.commands[id];
      submitCommand(pending.arrival, record.team, record.profile, record.work, pending.gateway,
                    record.firstTry, pending.retryCount + 1);
    });
  }

  // --- Engines
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
  // Begins a send at its engine after the network delay.
  void deliverSend(Gateway& gateway, uint64_t sendId, int priority) {
    eventQueue_.schedule(now_ + scenario_.fleet.networkDelay, [this, &gateway, sendId, priority] {
      auto sent = gateway.outstanding.find(sendId);
      if (sent == gateway.outstanding.end())
        return;
      uint32_t node = sent->second.node;
      const CommandRecord& record = record_.commands[sent->second.number];
      const Profile& profile = scenario_.settings.profiles[record.profile];
      EngineProcess& process = *engines_[node];
      auto answer = [&](Outcome what) {
        eventQueue_.schedule(now_ + scenario_.fleet.networkDelay,
                             [&gateway, sendId, what] { gateway.finishSend(sendId, what); });
      };
      if (!process.model.up)
        return answer(Outcome::connectFailed);
      if (process.model.failing) {
        recordEvent(RunEventKind::started, gateway, sent->second.number, node);
        return answer(Outcome::error);
      }
      RunningSend running{sendId,
                          record.work,
                          record.work,
                          scenario_.workByProfile[record.profile].memoryMb,
                          profile.threads,
                          priority,
                          0};
      process.model.startSend(now_, running, record.firstTry % kTableGroups);
      gatewayBySend_[sendId] = &gateway;
      recordEvent(RunEventKind::started, gateway, sent->second.number, node);
      scheduleCompletion(node);
    });
  }
  // Schedules the engine's next completion anew; called after every change of its load.
  void scheduleCompletion(uint32_t node) {
    EngineProcess& process = *engines_[node];
    uint64_t version = ++process.version;
    auto at = process.model.nextCompletion();
    if (!at)
      return;
    eventQueue_.schedule(std::max(now_, *at), [this, node, version] {
      if (engines_[node]->version != version)
        return;
      for (auto& finished : engines_[node]->model.takeFinished(now_)) {
        auto entry = gatewayBySend_.extract(finished.send);
        if (entry.empty() || engines_[node]->model.silent)
          continue;
        Gateway* gateway = entry.mapped();
        const SimulatedEngine& model = engines_[node]->model;
        double coreShare = std::min(1.0, model.threads() / scenario_.fleet.hardware.cores);
        LoadReport report{double(model.runningCount()), {}, coreShare, {}, {}};
        eventQueue_.schedule(now_ + scenario_.fleet.networkDelay, [this, gateway, finished, report] {
          ResourceUsage usage{finished.work, finished.memoryMb};
          gateway->finishSend(finished.send, Outcome::answered, &usage,
                              scenario_.fleet.loadReports ? &report : nullptr);
        });
      }
      scheduleCompletion(node);
    });
  }
  void cancelSend(uint32_t node, uint64_t send) {
    gatewayBySend_.erase(send);
    engines_[node]->model.cancelSend(now_, send);
    scheduleCompletion(node);
  }
  void changePriority(uint32_t node, uint64_t send, int priority) {
    eventQueue_.schedule(now_ + scenario_.fleet.networkDelay, [this, node, send, priority] {
      engines_[node]->model.setPriority(now_, send, priority);
      scheduleCompletion(node);
    });
  }
  // Shows the state of the engines to all gateways, `lag` seconds from now.
  void announceState(const std::vector<uint32_t>& nodes, EngineState state, double lag) {
    eventQueue_.schedule(now_ + lag, [this, nodes, state] {
      EngineListEvent event;
      for (uint32_t node : nodes)
        event.engines.push_back(listingOf(node, state));
      for (auto& gateway : gateways_) {
        for (uint32_t node : nodes)
          recordEvent(state == EngineState::inService ? RunEventKind::listed : RunEventKind::drained,
                      *gateway, 0, node);
        gateway->receiveEngineList(event);
      }
    });
  }

  // --- Disturbances
  void scheduleDisturbance(const Disturbance& disturbance) {
    eventQueue_.schedule(disturbance.start, [this, &disturbance] { begin(disturbance); });
    if (disturbance.start + disturbance.duration < scenario_.duration)
      eventQueue_.schedule(disturbance.start + disturbance.duration,
                           [this, &disturbance] { end(disturbance); });
  }
  std::vector<uint32_t> affectedEngines(const Disturbance& disturbance) const {
    std::vector<uint32_t> nodes;
    for (uint32_t node = 0; node < engines_.size(); ++node)
      if (disturbance.zone.empty() || disturbance.zone == zoneOf(node))
        nodes.push_back(node);
    nodes.resize(size_t(std::ceil(disturbance.engineShare * double(nodes.size()) - 1e-9)));
    return nodes;
  }
  // Ends the processes; their running sends are reset.
  void stop(const std::vector<uint32_t>& nodes) {
    for (uint32_t node : nodes) {
      for (auto& aborted : engines_[node]->model.stop(now_))
        if (auto entry = gatewayBySend_.extract(aborted.send); !entry.empty())
          eventQueue_.schedule(
              now_ + scenario_.fleet.networkDelay,
              [gateway = entry.mapped(), send = aborted.send] { gateway->finishSend(send, Outcome::reset); });
      scheduleCompletion(node);
    }
    announceState(nodes, EngineState::removed, scenario_.fleet.listLag);
  }
  // Starts the processes, cold.
  void start(const std::vector<uint32_t>& nodes) {
    for (uint32_t node : nodes) {
      engines_[node]->model.start(now_, true);
      scheduleCompletion(node);
    }
    announceState(nodes, EngineState::inService, scenario_.fleet.listLag);
  }
  // Rolling restart: batch by batch, engines are drained, stopped and started cold.
  void roll(const Disturbance& disturbance) {
    constexpr double kDrainTime = 3;  // seconds to finish running commands
    constexpr double kDownTime = 1;   // seconds until it starts again
    auto nodes = affectedEngines(disturbance);
    for (int step = 0; step < disturbance.steps; ++step) {
      auto at = [&](int i) { return nodes.begin() + long(nodes.size()) * i / disturbance.steps; };
      std::vector<uint32_t> batch(at(step), at(step + 1));
      double from = now_ + disturbance.duration * step / disturbance.steps;
      eventQueue_.schedule(from, [this, batch] { announceState(batch, EngineState::draining, 0); });
      eventQueue_.schedule(from + kDrainTime, [this, batch] { stop(batch); });
      eventQueue_.schedule(from + kDrainTime + scenario_.fleet.listLag + kDownTime,
                           [this, batch] { start(batch); });
    }
  }
  void begin(const Disturbance& disturbance) {
    if (disturbance.kind == "roll")
      return roll(disturbance);
    auto nodes = affectedEngines(disturbance);
    if (disturbance.kind == "drain")
      announceState(nodes, EngineState::draining, 0);
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
      scheduleCompletion(node);
    }
    for (auto& gateway : gateways_) {
      if (disturbance.kind == "reload" && gateway->scheduler && disturbance.budgetSettings)
        gateway->runPolicy([&] { gateway->scheduler->reconfigure(*disturbance.budgetSettings); });
    }
  }
  void end(const Disturbance& disturbance) {
    auto nodes = affectedEngines(disturbance);
    if (disturbance.kind == "lose")
      start(nodes);
    if (disturbance.kind == "drain")
      announceState(nodes, EngineState::inService, 0);
    for (uint32_t node : nodes) {
      SimulatedEngine& engine = engines_[node]->model;
      if (disturbance.kind == "slow")
        engine.setSlowdown(now_, 1);
      if (disturbance.kind == "silent")
        engine.silent = false;
      if (disturbance.kind == "failing")
        engine.failing = false;
      scheduleCompletion(node);
    }
  }

  struct PendingRetry {
    Arrival arrival;
    uint32_t gateway;
    int retryCount;
  };
  const Scenario& scenario_;
  Variant variant_;
  Pcg32 seedGenerator_;
  uint64_t seed_;
  uint64_t sendCount_ = 0;
  double now_ = 0;
  EventQueue eventQueue_;
  RunRecord record_;
  std::unordered_map<size_t, std::unique_ptr<Pcg32>> generators_;
  std::vector<std::unique_ptr<EngineProcess>> engines_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::unordered_map<uint64_t, Gateway*> gatewayBySend_;  // of the sends that engines run
  std::unordered_map<uint64_t, PendingRetry> retries_;
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
  return Simulation(scenario, seed, variant).run();
}

}  // namespace elmcleat::lab
