// The decision module of elmcleat: which engine gets a command and when, what is sent again, and what is
// shed. The host creates one policy (createPolicy, at the end), tells it the time and what happens, and calls
// decide(). Interface: src/policy.h; reasons and sources: docs/design.md.
//
// Commands wait in hierarchical deficit round-robin queues (tenant, then profile) with FIFO leaves; a turn is
// charged by work. The next command starts on the least-loaded engine. Among engines of about equal load,
// weighted rendezvous hashing sends the commands of one table group to the same one. An engine under pressure
// admits commands up to the mark, a number of threads per core, and above it at random, with a probability
// that falls to 0 at twice the mark.
//
// Six mechanisms support this:
//   1. Outlier detection: engines that fail, or don't answer while others do, are ejected. They return after
//      half-open trials, single commands that are sent to see whether the engine has recovered.
//   2. Slow start: an engine that has just started gets no more work than this gateway's share of its budget.
//   3. Load shedding: commands that can't be in time end early, and under overload also those with the least
//      benefit for their work.
//   4. Estimates: work and memory are corrected by reported usage and latencies (EWMA). Memory grants,
//      priorities and time-outs follow from them, and memory is a hard limit.
//   5. Many gateways: the load of the others is derived from this gateway's own sends and from load reports,
//      and each gateway prefers a subset of the engines.
//   6. Bulk loads: a command that would wait for a bulk load of its table group avoids that load's engine.
//
// Rules that hold whatever the load, referred to by number below:
//   1. Each command gets exactly one final answer, in time.
//   2. No command takes effect twice.
//   3. A draining engine gets nothing new.
//   4. All gateways together don't overload a cold engine.
//   5. Commands of one ordering key run in order, one at a time.
//   6. Commands run only in their allowed zones and on their allowed kinds of engines.
//   7. Retries stay within the retry budget.
#include "policy.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "pcg32.h"
#include "sliding_window_sum.h"

namespace elmcleat {
namespace {

// --- Timing
constexpr double kSweepInterval = 0.05;    // seconds
constexpr double kClockResolution = 1e-6;  // seconds; the host's clock may round wake-ups
constexpr double kTrafficWindow = 20;      // seconds, for rates of arrivals and of completed work
constexpr double kCompletionWindow = 3;    // seconds, for the rate of completed work that shedding uses
constexpr double kListRetryMin = 0.5;      // seconds until the engine list is requested again after an error
constexpr double kListRetryMax = 1.0;      // seconds

// --- Queues: deficit round-robin
constexpr double kQuantum = 0.05;         // core-seconds per round, for a weight of 1
constexpr double kMaxCredit = 40;         // quanta that a queue may save
constexpr uint64_t kBulkLoadQueues = 64;  // queues for bulk loads of a tenant, by table group

// --- Admission by the mark
constexpr double kMark = 2;                 // threads per core: admission limit of an engine under pressure
constexpr double kSparseReserve = 0.3;      // share of mark and memory left free where sends are sparse
constexpr double kIdleGatewayMaxUse = 1.8;  // multiple of the mark, for a gateway without a send
constexpr double kBackoffMin = 0.020;  // seconds that a command of usual work waits after it wasn't admitted
constexpr double kBackoffMax = 0.100;  // seconds
// The wait grows with the work, as the charge for a turn does.
constexpr double kBackoffScaleMin = 0.2;  // multiple
constexpr double kBackoffScaleMax = 3;    // multiple

// --- Pressure, and how the mark moves under it
constexpr double kBusyUtilisation = 0.85;      // share of the cores; below it an engine is below the mark
constexpr double kBusyDiskUtilisation = 0.97;  // share of the disk throughput
constexpr double kBusyQueueLength = 0.5;       // commands queued at the engine
constexpr double kIdleReportLifetime = 0.5;    // seconds for which a report of low utilisation counts
constexpr double kRecentAnswers = 20;          // answers that make up the latency ratio over all engines
constexpr double kPriorCommands = 3;    // usual commands: weight of the overall figure beside measured ones
constexpr double kPressureRatio = 1.6;  // latency over idle latency
constexpr double kSparsePressureReduction = 0.3;  // off kPressureRatio where sends are sparse
constexpr double kSeverePressureRatio = 2.4;      // latency over idle latency
constexpr double kMaxLatencyRatio = 4;            // cap: a slow answer may be due to a bad query plan
constexpr double kPressureHold = 1;               // seconds
constexpr double kMarkDecrease = 0.8;             // factor per sweep
constexpr double kMarkIncrease = 0.25;            // share per sweep, if all recent answers are new
constexpr double kMarkRelease = 6;                // multiple of the mark above which pressure ends
constexpr double kSevereMarkMin = 0.75;           // multiple of the mark, under severe pressure

// --- Choice of an engine; loads are in threads per core
constexpr double kLoadBand = 0.5;     // above the least load: engines within it count as equal
constexpr double kCrossZoneLoad = 1;  // added for an engine of another zone, where that is charged
// Share of the engines that bulk loads of one table group prefer; the commands that yield to them prefer the
// others.
constexpr double kBulkLoadShare = 0.33;
constexpr double kWrongSideLoad = 1;        // added for an engine that such a command doesn't prefer
constexpr double kNonPreferredLoad = 2;     // added for an engine outside the gateway's preferred subset
constexpr double kOverShareLoad = 1;        // added for an engine with more than its share of the sends
constexpr double kSlotLoadCredit = 1;       // taken off in a cold engine's slot under pressure
constexpr double kDecisiveLoad = 1e6;       // outweighs any load
constexpr double kSendShareHeadroom = 1.3;  // multiple of an engine's share of the sends

// --- Many gateways
// Sends are sparse where an engine gets fewer than kDenseSends from this gateway: too few to judge its state.
constexpr double kDenseSends = 2;           // sends per second
constexpr double kMinTrafficShare = 0.125;  // least share of all traffic that a gateway assumes for itself
constexpr double kReportDecayTime = 3;      // seconds until a report's weight is 1/e; also the probe interval
constexpr double kPreferredWindow = 2;      // seconds: as many engines are preferred as commands arrive in it
constexpr double kMinPreferred = 8;         // engines

// --- Estimates
constexpr double kEwmaWeight = 0.02;          // weight of a new value
constexpr double kIdleRatioDecrease = 0.97;   // factor per answer: the idle latency tracks a low quantile
constexpr double kIdleRatioIncrease = 1.005;  // factor per answer

// --- Memory
constexpr double kMaxMemoryUse = 0.85;       // share of an engine's memory
constexpr double kEngineGrantFactor = 1.25;  // of the estimate: what an engine grants where we can't set it
constexpr double kGrantHeadroom = 1.4;       // multiple of the corrected estimate

// --- Cold engines
constexpr double kColdBudgetShare = 0.4;   // share of the budget that is surely safe to use, without slots
constexpr double kSlottedShare = 0.08;     // share of one gateway among all, below which it uses slots
constexpr double kSlotsPerWindow = 2;      // slots in a coldOverloadWindow
constexpr double kSlotBudgetShare = 0.25;  // of the budget: a window overlaps 3 slots, slow sends reach a 4th
constexpr int kSlotHolders = 2;            // gateways that share a slot
constexpr double kSlottedCapacityUse = 0.5;  // share of its cores that counts, as not every slot finds work

// --- Outlier detection
constexpr double kMinEjection = 1;        // seconds; doubled at each relapse
constexpr double kMaxEjection = 8;        // seconds
constexpr double kRelapseWindow = 8;      // seconds in service within which a new ejection is a relapse
constexpr double kTrialPatience = 8;      // seconds after which any command may be the trial
constexpr double kFailureWindow = 4;      // seconds
constexpr double kMinFailureShare = 0.2;  // share of the sends that fail
constexpr double kFailureOddsRatio = 2;   // odds of failure over those at the other engines
constexpr double kMinOverdueTime = 0.5;   // seconds, on top of kTimeoutRatio times the expected latency
constexpr double kMaxEvidence = 3;        // failures to eject an engine, and answered trials to return it
constexpr double kMinRefusalPause = 1;  // seconds without sends after a refusal; doubled at each further one
constexpr double kMaxRefusalPause = 8;  // seconds

// --- Retries and time-outs
constexpr double kMaxRetries = 2;    // sends after a command's first one
constexpr double kTimeoutRatio = 3;  // multiple of the expected latency

// --- Load shedding
constexpr double kBacklogSlackShare = 0.2;  // share of the slack that the backlog may take up
constexpr double kMinRateShare = 0.25;      // of our share of the cores: least rate of work assumed
constexpr double kOverloadHold = 0.5;       // seconds
constexpr double kMinRunShare = 0.8;        // of the idle latency, that must fit in before a deadline

struct PolicyImpl;
struct CommandState;

// What the module has learnt about the commands of one profile.
struct ProfileStatistics {
  const Profile* profile = nullptr;
  double workRatio = 1;         // reported over estimated work
  double memoryRatio = 1;       // reported over estimated memory
  double usualWork = 0;         // core-seconds: mean of the corrected estimates
  double idleLatencyRatio = 1;  // latency at an idle engine over the run time
};

// A queue of the hierarchical deficit round-robin scheduler (Shreedhar and Varghese 1996). Its children take
// turns; the queue's own FIFO takes part as one more child. Deficits are in core-seconds.
struct DeficitRoundRobinQueue {
  DeficitRoundRobinQueue* parent = nullptr;
  std::string name;
  double weight = 1;
  double deficit = 0;      // as a child of its parent
  double fifoDeficit = 0;  // of its own FIFO
  double wakeAt = 0;       // seconds: its FIFO waits until then after its first command wasn't admitted
  std::vector<std::unique_ptr<DeficitRoundRobinQueue>> children;
  size_t cursor = 0;  // child whose turn it is; children.size(): the FIFO
  std::deque<std::shared_ptr<CommandState>> fifo;

  bool hasCommands() const { return nextAttempt() < HUGE_VAL; }
  // Earliest time at which a FIFO with commands may be served; infinite if all are empty.
  double nextAttempt() const {
    double time = fifo.empty() ? HUGE_VAL : wakeAt;
    for (auto& queue : children)
      time = std::min(time, queue->nextAttempt());
    return time;
  }
  // The child of that name, created if there is none.
  DeficitRoundRobinQueue& child(const std::string& childName, double childWeight) {
    for (auto& queue : children)
      if (queue->name == childName)
        return *queue;
    DeficitRoundRobinQueue& created = *children.emplace_back(std::make_unique<DeficitRoundRobinQueue>());
    created.parent = this;
    created.name = childName;
    created.weight = childWeight;
    return created;
  }
  // The leaf whose turn it is, or null. A child with credit is served first. If none has any, all children
  // with commands get as many quanta as give one of them credit, also those that wait after they weren't
  // admitted: they lose no service.
  DeficitRoundRobinQueue* selectNext(double now) {
    size_t slots = children.size() + 1;
    auto child = [&](size_t i) { return i < children.size() ? children[i].get() : nullptr; };
    auto ready = [&](size_t i) {
      return (child(i) ? child(i)->nextAttempt() : fifo.empty() ? HUGE_VAL : wakeAt) <= now;
    };
    auto credit = [&](size_t i) -> double& { return child(i) ? child(i)->deficit : fifoDeficit; };
    auto quantum = [&](size_t i) { return kQuantum * (child(i) ? child(i)->weight : 1.0); };
    for (int pass = 0; pass < 2; ++pass) {
      double rounds = -1;
      for (size_t step = 0; step < slots; ++step) {
        size_t i = (cursor + step) % slots;
        if (!ready(i))
          continue;
        if (credit(i) > 0) {
          cursor = i;
          return child(i) ? child(i)->selectNext(now) : this;
        }
        double needed = std::floor(-credit(i) / quantum(i)) + 1;
        rounds = rounds < 0 ? needed : std::min(rounds, needed);
      }
      if (rounds < 0)
        return nullptr;
      for (size_t i = 0; i < slots; ++i)
        if (child(i) ? child(i)->hasCommands() : !fifo.empty())
          credit(i) = std::min(credit(i) + rounds * quantum(i), kMaxCredit * quantum(i));
      cursor = (cursor + 1) % slots;
    }
    return nullptr;
  }
  // Charges a command of this leaf to the leaf and to all queues above it.
  void charge(double work) {
    fifoDeficit -= work;
    for (DeficitRoundRobinQueue* queue = this; queue->parent; queue = queue->parent)
      queue->deficit -= work;
  }
};

// An engine of the list, or one that has left it but still has sends out or figures that count.
struct TrackedEngine {
  uint32_t id = 0;
  std::string zone;
  std::string kind;
  int cell = 0;
  int gatewayRank = -1;  // of this gateway among those that use the engine; negative: unknown
  double cores = 1;
  double memoryMb = 0;  // 0: unknown
  bool inService = false;
  bool removed = false;
  std::optional<double> startedAt;                         // seconds
  std::vector<std::shared_ptr<CommandState>> outstanding;  // commands with a send out there
  double threadsInUse = 0;                                 // by our sends
  double memoryInUse = 0;                                  // MB, by our sends
  SlidingWindowSum latencySum{1};                          // seconds, of answers
  SlidingWindowSum idleLatencySum{1};                      // seconds: the idle latencies of the same answers
  SlidingWindowSum failures{kFailureWindow};               // sends
  SlidingWindowSum answers{kFailureWindow};                // sends
  SlidingWindowSum coldWork{1};                            // core-seconds sent while it was cold
  std::vector<double> sendCredit;                          // by profile: sends due as its share of ours
  double latencyRatio = 1;                                 // latency over idle latency
  double markMultiple = 1;                                 // of kMark
  double pressureUntil = -1;                               // seconds
  double idleUntil = -1;                                   // seconds: reported low utilisation until then
  double refusingUntil = -1;                               // seconds: refused a send, gets none until then
  double otherThreads = 0;                 // threads of other gateways' commands, by its last report
  double reportedAt = -HUGE_VAL;           // seconds
  int64_t lastSlot = -1;                   // last slot of its cold time that was ours
  double slotWork = 0;                     // core-seconds that we sent in that slot
  double preferenceWeight = 0;             // by a hash of this gateway and the engine
  bool preferred = true;                   // in this gateway's subset
  double ejectedUntil = 0;                 // seconds; trials from then on
  double ejectionTime = kMinEjection;      // seconds
  double refusalPause = kMinRefusalPause;  // seconds without sends after the next refusal
  double inServiceSince = 0;               // seconds: end of the last ejection
  int trialsAnswered = 0;
  int overdue = 0;  // sends that are overdue now
  bool underPressure = false;
  bool ejected = false;
  bool trialOut = false;

  // Whether it has left the list and nothing that is known of it counts any more.
  bool isForgettable(double now) {
    return removed && outstanding.empty() && coldWork.upperBound(now) + failures.upperBound(now) <= 0;
  }
};

// The commands of one ordering key.
struct KeyQueue {
  std::deque<std::shared_ptr<CommandState>> commands;  // in order of arrival
  double quietUntil = 0;                               // seconds: none is sent before
};

struct CommandState final : Command, std::enable_shared_from_this<CommandState> {
  CommandState(PolicyImpl& owner, ProfileStatistics& ofProfile) : policy(owner), statistics(ofProfile) {}
  void streamingStarted() override { streaming = true; }
  void statusReported(StatusTopic topic, double level) override;
  void sendFinished(Outcome outcome, double took, bool final, const ResourceUsage* usage,
                    const LoadReport* report) override;
  void withdrawn() override;
  void shortenDeadline(double newDeadline) override { deadline = std::min(deadline, newDeadline); }

  const Profile& profile() const { return *statistics.profile; }
  // Seconds, if it has its threads to itself.
  double runTime() const { return work / profile().threads; }
  // Seconds: expected latency at an idle, warm engine.
  double idleLatency() const { return runTime() * statistics.idleLatencyRatio; }

  PolicyImpl& policy;
  ProfileStatistics& statistics;
  DeficitRoundRobinQueue* queue = nullptr;
  uint64_t tableGroup = 0;
  std::optional<uint64_t> orderingKey;
  double estimatedWork = 0;              // core-seconds, as it arrived
  double estimatedMemoryMb = 0;          // as it arrived
  double work = 0;                       // core-seconds: corrected estimate, then the reported work
  double memoryMb = 0;                   // corrected estimate
  double reservedMb = 0;                 // at its engine, for the send that is out
  double targetTime = 0;                 // seconds: end of the latency target
  double deadline = 0;                   // seconds: the client gives up
  double benefit = 0;                    // within the latency target
  double sentAt = 0;                     // seconds: last send
  double firstRunAt = -1;                // seconds: first send that may have run; negative: none
  TrackedEngine* engine = nullptr;       // where a send is out
  std::optional<uint32_t> lastEngineId;  // of the last send; avoided by the next one
  std::string firstRunZone;              // kept here, as that engine may have left the list
  int sendCount = 0;
  int firstRunCell = 0;
  bool waiting = false;  // in a queue
  bool ended = false;    // its final answer is given, or it was withdrawn
  bool streaming = false;
  bool isTrial = false;  // its send is an ejected engine's trial
  bool cancelled = false;
  bool lowPriority = false;  // lowest priority, as it exceeds its guarantee: if late, no fault of the engine
};

// Rendezvous (highest random weight) hash of an engine and a key, in (0, 1).
double rendezvousHash(uint32_t engine, uint64_t key) {
  uint64_t hash = (key + 0x9e3779b97f4a7c15ULL) * 0xbf58476d1ce4e5b9ULL ^ (engine * 0x94d049bb133111ebULL);
  hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
  hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebULL;
  return (static_cast<double>((hash ^ (hash >> 31)) >> 11) + 0.5) * 0x1p-53;
}

struct PolicyImpl final : Policy {
  PolicyImpl(const Settings& given, uint64_t seed, ActionSink& sink, BudgetScheduler* scheduler)
      : settings(given), random(seed), actions(sink), budgetScheduler(scheduler), hashKey(seed) {
    statistics.resize(settings.profiles.size());
    for (size_t i = 0; i < statistics.size(); ++i)
      statistics[i].profile = &settings.profiles[i];
    for (auto& tenant : settings.tenants)
      totalQuota += tenant.quota;
    retries = arrivalsInBudgetWindow = SlidingWindowSum(std::max(settings.retryBudgetWindow, 0.001));
    avoidsBulkLoads = std::ranges::any_of(
        statistics, [](ProfileStatistics& row) { return row.profile->yieldsToBulkLoads; });
  }

  void advanceTo(double time) override {
    now = time;
    startTime = startTime < 0 ? now : startTime;
    if (budgetScheduler)
      budgetScheduler->advanceTo(now);
  }

  // --- Load and capacity

  // Seconds that `arrivals` and `completedWork` cover so far, taken as 5 at least; at most kTrafficWindow.
  double trafficSpan() const { return std::clamp(now - startTime, 5.0, 20.0); }
  // Share of one gateway among all.
  double gatewayShare() const { return 1.0 / std::max(1, settings.gatewayCount); }
  // This gateway's share of all work, at least gatewayShare().
  double trafficShare() const { return std::clamp(quotaShare, gatewayShare(), 1.0); }
  bool isCold(const TrackedEngine& engine) const {
    return engine.startedAt && now < *engine.startedAt + settings.coldDuration;
  }
  // Threads per core at an engine: our own over our share of the traffic, as if the other gateways ran there
  // in proportion, plus how far its report differs from what is usual for the others.
  double estimatedLoad(const TrackedEngine& engine) const {
    return engine.threadsInUse / capacity(engine) / std::max(trafficShare(), kMinTrafficShare) +
           otherLoad(engine) - usualOtherLoad();
  }
  // Cores; of a cold engine the part that is usable at its age.
  double capacity(const TrackedEngine& engine) const {
    double warmth = isCold(engine) ? std::max(0.0, now - *engine.startedAt) / settings.coldDuration : 1;
    return engine.cores * (settings.coldCapacity + (1 - settings.coldCapacity) * warmth);
  }
  // Weight of an engine's last load report: 1 when it comes in, then decaying.
  double reportWeight(const TrackedEngine& engine) const {
    return std::exp((engine.reportedAt - now) / kReportDecayTime);
  }
  // Run time at an engine over that at a warm one.
  double coldSlowdown(const TrackedEngine& engine) const { return engine.cores / capacity(engine); }
  void log(const char* format, auto... figures) {
    char line[160];
    std::snprintf(line, sizeof line, format, figures...);
    actions.log(line);
  }

  // --- Commands
  std::shared_ptr<Command> submit(const Arrival& arrival) override {
    auto row = std::ranges::find_if(
        statistics, [&](ProfileStatistics& known) { return known.profile->name == arrival.profile; });
    if (row == statistics.end())
      throw std::runtime_error("command with unknown profile: " + arrival.profile);
    auto command = std::make_shared<CommandState>(*this, *row);
    const Profile& profile = *row->profile;
    command->tableGroup = arrival.tableGroup;
    if (profile.ordered)
      command->orderingKey = arrival.orderingKey;
    command->estimatedWork = arrival.estimatedWork;
    command->estimatedMemoryMb = arrival.estimatedMemoryMb;
    command->benefit = profile.benefit;
    double workGuess = row->usualWork > 0 ? row->usualWork : profile.latencyTarget * profile.threads / 2;
    // 1e-4 core-seconds at least, as work is a divisor.
    command->work =
        std::max(arrival.estimatedWork > 0 ? arrival.estimatedWork * row->workRatio : workGuess, 1e-4);
    auto updateMean = [](double& mean, double value) {
      mean += (value - mean) * (mean > 0 ? kEwmaWeight : 1);
    };
    command->memoryMb = arrival.estimatedMemoryMb * row->memoryRatio;
    command->targetTime = now + profile.latencyTarget + profile.latencyTargetStretch * command->runTime();
    command->deadline = now + arrival.remainingTime;
    double memoryDeviation = command->memoryMb / profile.threads - usualMemoryPerThread;
    if (!isHopeless(*command)) {  // absurd estimates must not distort the means
      updateMean(row->usualWork, command->work);
      updateMean(usualWork, command->work);
      updateMean(usualRunTime, command->runTime());
      usualMemoryPerThread += memoryDeviation * std::min(1.0, kEwmaWeight * command->work / usualWork);
    }
    arrivals.add(now, 1);
    arrivalsInBudgetWindow.add(now, 1);
    if (budgetScheduler)
      budgetScheduler->add(*command, arrival);
    else
      command->queue = &queueFor(arrival, *command);
    if (command->orderingKey)
      keyQueues[*command->orderingKey].commands.push_back(command);
    else
      enqueue(*command, false);
    waiting.push_back(command);
    return command;
  }

  // The class queue of a command: its tenant's, then its profile's.
  DeficitRoundRobinQueue& queueFor(const Arrival& arrival, const CommandState& command) {
    double weight = 1;
    for (auto& tenant : settings.tenants)
      if (tenant.name == arrival.tenant)
        weight = std::max(tenant.share * double(settings.tenants.size()), 0.01);
    DeficitRoundRobinQueue& queue = rootQueue.child(arrival.tenant, weight).child(command.profile().name, 1);
    if (!command.profile().bulkLoad)
      return queue;
    // Bulk loads have queues by table group: one that waits for its group doesn't block the others.
    return queue.child(std::to_string(command.tableGroup % kBulkLoadQueues), 1);
  }

  void enqueue(CommandState& command, bool atFront) {
    command.waiting = true;
    if (budgetScheduler)
      return budgetScheduler->enqueue(command, command.work, command.memoryMb, atFront);
    // An empty queue keeps neither debt nor credit.
    for (DeficitRoundRobinQueue* queue = command.queue; queue->parent && !queue->hasCommands();
         queue = queue->parent)
      queue->deficit = queue->fifoDeficit = 0;
    auto& fifo = command.queue->fifo;
    fifo.insert(atFront ? fifo.begin() : fifo.end(), command.shared_from_this());
  }

  void dequeue(CommandState& command) {
    command.waiting = false;
    if (budgetScheduler)
      return budgetScheduler->dequeue(command);
    std::erase_if(command.queue->fifo, [&](auto& other) { return other.get() == &command; });
  }

  // Gives the final answer at once. A shed tells the client that a retry does no harm, so it is given only
  // where that is true: the command never ran, is replayable, or every engine would recognise the repeat
  // (rule 2, no second effect). Otherwise the command fails.
  void shedOrFail(CommandState& command) {
    if (command.ended)
      return;
    auto self = command.shared_from_this();
    if (command.waiting)
      dequeue(command);
    command.ended = true;
    const Profile& profile = command.profile();
    bool repeatRecognised = profile.retrySafety == RetrySafety::deduplicated &&
                            profile.deduplicationScope == DeduplicationScope::all;
    if (command.firstRunAt < 0 || profile.retrySafety == RetrySafety::replayable || repeatRecognised)
      actions.shed(command, settings.retryAfterSupported && overloaded ? settings.maxRetryAfter : 0);
    else
      actions.fail(command);
    releaseIfDone(command);
  }

  // Once a command has ended and has no send out, the budget scheduler and its ordering key are done with it.
  void releaseIfDone(CommandState& command) {
    if (budgetScheduler && command.ended && !command.engine)
      budgetScheduler->remove(command);
    if (!command.ended || command.engine || !command.orderingKey)
      return;
    std::erase_if(keyQueues[*command.orderingKey].commands,
                  [&](auto& other) { return other.get() == &command; });
  }

  // Rule 5: commands of one ordering key run one at a time and in order, after the quiet period.
  void releaseOrderingKeys() {
    std::erase_if(keyQueues, [&](auto& entry) {
      return entry.second.commands.empty() && entry.second.quietUntil <= now;
    });
    for (auto& [id, key] : keyQueues) {
      if (key.commands.empty())
        continue;
      CommandState& first = *key.commands.front();
      if (first.waiting || first.ended || first.engine || first.sendCount > 0)
        continue;
      if (key.quietUntil <= now)
        enqueue(first, false);
      else
        scheduleWakeUp(key.quietUntil);
    }
  }

  // The benefit that an answer can still have if the command starts now.
  double currentBenefit(const CommandState& command) const {
    return command.benefit * (now + kMinRunShare * command.idleLatency() > command.targetTime
                                  ? command.profile().lateBenefitShare
                                  : 1);
  }
  // Whether no useful answer can come in time.
  bool isHopeless(const CommandState& command) const {
    double remaining = command.deadline - now;
    return remaining < 2 * kSweepInterval || remaining < kMinRunShare * command.idleLatency() ||
           currentBenefit(command) <= 0;
  }

  // Until when engines surely recognise a repeat of a command that may have run; infinite for all others.
  double deduplicationEnd(const CommandState& command) const {
    bool deduplicates = command.firstRunAt >= 0 && command.profile().retrySafety == RetrySafety::deduplicated;
    return deduplicates ? command.firstRunAt + command.profile().deduplicationWindow : HUGE_VAL;
  }

  // Whether a command may be sent again: rule 2 (no second effect), rule 7 (retry budget), and no retries
  // under overload, after a streamed answer has begun, or without benefit. Checked when the command is queued
  // again and once more before it is sent.
  bool mayRetry(const CommandState& command) {
    const Profile& profile = command.profile();
    if (overloaded || command.sendCount > kMaxRetries || command.sendCount >= settings.maxSends ||
        command.streaming)
      return false;
    if (now + command.idleLatency() > command.deadline || currentBenefit(command) <= 0)
      return false;
    if (command.firstRunAt >= 0 && profile.retrySafety == RetrySafety::nonReplayable)
      return false;
    if (now >= deduplicationEnd(command))
      return false;
    // Both counts err towards fewer retries.
    double budget =
        settings.retryBudgetMinimum + settings.retryBudgetRatio * arrivalsInBudgetWindow.lowerBound(now);
    return settings.retryBudgetWindow <= 0 || retries.upperBound(now) + 1 <= budget;
  }

  void retryOrEnd(CommandState& command) {
    if (!mayRetry(command))
      return shedOrFail(command);
    enqueue(command, true);
    waiting.push_back(command.shared_from_this());
  }

  void applyReport(TrackedEngine& engine, const LoadReport* report) {
    if (!report)
      return;
    if (report->inFlight && usualRunTime > 0) {
      // Commands become threads by the mean number of threads, usual work over usual run time.
      engine.otherThreads = std::max(0.0, *report->inFlight * usualWork / usualRunTime - engine.threadsInUse);
      engine.reportedAt = now;
    }
    if (report->utilisation.value_or(1) < kBusyUtilisation)
      engine.idleUntil = now + kIdleReportLifetime;
    bool busy = report->utilisation.value_or(0) >= kBusyUtilisation ||
                report->diskUtilisation.value_or(0) > kBusyDiskUtilisation;
    if (busy || report->queued.value_or(0) > kBusyQueueLength)
      notePressure(engine);
  }

  // An engine has shown pressure: the mark applies to it for a while.
  void notePressure(TrackedEngine& engine) {
    if (!engine.underPressure) {
      engine.underPressure = true;
      engine.markMultiple = 1;
    }
    engine.pressureUntil = now + kPressureHold;
  }

  // Corrects the estimates of a profile by an answered command.
  void learnFromAnswer(CommandState& command, double took, const ResourceUsage* usage) {
    ProfileStatistics& row = command.statistics;
    if (usage && usage->work > 0) {
      // Usage counts as a tenth to ten times the corrected estimate.
      auto correct = [](double& ratio, double factor) {
        ratio *= std::pow(std::clamp(factor, .1, 10.), kEwmaWeight);
      };
      if (command.estimatedWork > 0)
        correct(row.workRatio, usage->work / command.estimatedWork / row.workRatio);
      // With the present ratio: against the one at arrival, many commands out at once would make it
      // overshoot.
      double estimateMb = command.estimatedMemoryMb * row.memoryRatio;
      if (usage->memoryMb > 0 && estimateMb > 0)
        correct(row.memoryRatio, usage->memoryMb / estimateMb);
      command.work = usage->work;
    }
    recentWork.add(now, command.work);
    completedWork.add(now, command.work);
    // Falls faster than it rises, so it settles at a low quantile of latency over run time, between 0.4 and
    // 1.5.
    double ratio = took / command.runTime();
    row.idleLatencyRatio = std::clamp(
        row.idleLatencyRatio * (ratio < row.idleLatencyRatio ? kIdleRatioDecrease : kIdleRatioIncrease), 0.4,
        1.5);
  }

  // --- Engines
  void updateEngines(EngineListKind kind, const std::vector<EngineRecord>& records) override {
    if (kind == EngineListKind::error) {
      listRequestAt = now + random.uniformBetween(kListRetryMin, kListRetryMax);
      return scheduleWakeUp(listRequestAt);
    }
    if (!std::exchange(listReceived, true) && settings.engineListOnRequest)
      actions.requestEngineList();
    if (kind == EngineListKind::full)
      for (auto& [id, engine] : engines) {
        engine->inService = false;
        engine->removed = true;
      }
    for (auto& record : records) {
      auto& entry = engines[record.id];
      if (!entry) {
        entry = std::make_unique<TrackedEngine>();
        entry->id = record.id;
        entry->preferred = false;
        for (size_t i = 0; i < statistics.size(); ++i)
          entry->sendCredit.push_back(random.uniformBetween(-2, 0));
        entry->coldWork = SlidingWindowSum(std::max(settings.coldOverloadWindow * 1.1, 0.001));
      }
      TrackedEngine& engine = *entry;
      engine.zone = record.zone;
      engine.kind = record.kind;
      engine.cell = record.cell;
      for (auto& known : settings.engineKinds)
        if (known.name == record.kind) {
          engine.cores = std::max(known.cores, 1.0);
          engine.memoryMb = known.memoryMb;
        }
      engine.preferenceWeight = std::log(rendezvousHash(record.id, hashKey)) / engine.cores;
      // Rule 3: nothing new to a draining engine, from now on and whatever its grace period.
      engine.inService = record.state == EngineState::inService;
      engine.removed = record.state == EngineState::removed;
      engine.gatewayRank = record.rank.value_or(settings.ordinal);
      // A restart ends the wait for a trial.
      if (std::exchange(engine.startedAt, record.startedAt) != record.startedAt)
        engine.ejectedUntil = std::min(engine.ejectedUntil, now);
    }
    choosePreferredEngines();
  }

  // Chooses the subset of engines that this gateway sends to first: as many as its sends keep warm, and
  // others in each gateway (rendezvous hashing by the gateway's seed).
  void choosePreferredEngines() {
    std::vector<TrackedEngine*> candidates;
    for (auto& [id, engine] : engines) {
      bool usable = engine->inService && (!engine->ejected || now >= engine->ejectedUntil);
      if (engine->preferred = usable && !usesSlots(*engine); engine->preferred)
        candidates.push_back(engine.get());
    }
    double available = double(candidates.size());
    preferredCount = std::min(
        std::max(kMinPreferred, std::round(kPreferredWindow * arrivals.upperBound(now) / trafficSpan())),
        available);
    std::ranges::nth_element(candidates, candidates.begin() + int(preferredCount), std::greater{},
                             &TrackedEngine::preferenceWeight);
    preferredCapacity = 0;
    for (size_t i = 0; i < candidates.size(); ++i)
      if (candidates[i]->preferred = double(i) < preferredCount; candidates[i]->preferred)
        preferredCapacity += capacity(*candidates[i]);
  }

  void probeFinished(uint32_t id, Outcome, const LoadReport* report) override {
    if (auto found = engines.find(id); found != engines.end())
      applyReport(*found->second, report);
  }

  // Threads per core that the other gateways are assumed to run at an engine: as many as this gateway in
  // proportion. Where sends are sparse our own say little, and load reports count instead.
  double usualOtherLoad() const {
    double byOwnSends = std::max(threadsInUse - slottedThreads, 0.0) /
                        std::max(availableCores - slottedCores, 1.0) * (1 / gatewayShare() - 1);
    return (byOwnSends + sparsity * weightedOtherLoad) / (1 + sparsity * totalReportWeight);
  }
  // Threads per core of the other gateways at an engine: the usual load, corrected by the engine's last
  // report, whose weight decays. The usual load is a mean over all engines, as a gateway's part of the mark
  // may be less than one thread per engine.
  double otherLoad(const TrackedEngine& engine) const {
    double usual = usesSlots(engine) ? 0 : usualOtherLoad();
    double weight = reportWeight(engine);
    return usual + (engine.otherThreads / capacity(engine) - usual) * weight;
  }

  // Use of an engine with this command, as a multiple of its mark.
  double markUse(const TrackedEngine& engine, const CommandState& command) const {
    double halfThreads = command.profile().threads / 2.0;
    double use = (engine.threadsInUse + halfThreads) / capacity(engine) + otherLoad(engine);
    // Other gateways are about to start commands too, as far as no reports tell how many.
    if (!usesSlots(engine))
      use += (totalReportWeight > 0 ? 1 - sparsity : 1) * halfThreads / std::max(availableCores, 1.0) /
             gatewayShare();
    use /= kMark * (1 - kSparseReserve * sparsity) * engine.markMultiple;
    // Without the cap a wide command of a small gateway would never start.
    return threadsInUse > 0 ? use : std::min(use, kIdleGatewayMaxUse);
  }

  // Whether the engine has memory for the command. Unlike threads this is a hard limit: memory runs short all
  // at once.
  bool fitsMemory(const TrackedEngine& engine, const CommandState& command) const {
    double ownShare = std::min(1.0, trafficShare() * (engine.underPressure ? engine.markMultiple : 1));
    if (settings.memoryShortagePolicy == MemoryShortagePolicy::overcommit)
      ownShare = gatewayShare();
    // Use by the other gateways, in proportion to our own at all engines.
    double others = (engine.underPressure ? memoryInUse + command.memoryMb : usualMemoryInUse) /
                    std::max(availableMemoryMb, 1.0);
    others *=
        (1 / ownShare - 1) * (usualOtherLoad() > 0 ? std::max(1.0, otherLoad(engine) / usualOtherLoad()) : 1);
    // Where sends are sparse, the threads of its report count for up to a quarter.
    if (totalReportWeight > 0)
      others += sparsity / 4 *
                (otherLoad(engine) * capacity(engine) * usualMemoryPerThread / engine.memoryMb - others);
    double use = (engine.memoryInUse + command.memoryMb) / engine.memoryMb + (usesSlots(engine) ? 0 : others);
    return engine.memoryMb <= 0 || memoryInUse <= 0 || use <= kMaxMemoryUse * (1 - kSparseReserve * sparsity);
  }

  // Whether a bulk load of ours holds the command's table group at the engine.
  bool blockedByBulkLoad(const TrackedEngine& engine, const CommandState& command) const {
    return (command.profile().yieldsToBulkLoads || command.profile().bulkLoad) &&
           std::ranges::any_of(engine.outstanding, [&](auto& other) {
             return other->tableGroup == command.tableGroup && other->profile().bulkLoad;
           });
  }

  // Whether the gateways share a cold engine by time slots. Among many, 1/N of its budget is less than one
  // command (rule 4, no overload of a cold engine). So its cold time is cut into slots from its start on, and
  // in each slot a few gateways, selected by a hash, share that slot's part of the budget.
  bool usesSlots(const TrackedEngine& engine) const {
    return isCold(engine) && engine.gatewayRank >= 0 && gatewayShare() < kSlottedShare;
  }
  // Core-seconds that this gateway may still send to a cold engine.
  double coldAllowance(TrackedEngine& engine) {
    double budget =
        settings.coldOverloadFactor * settings.coldCapacity * engine.cores * settings.coldOverloadWindow;
    double slotLength = settings.coldOverloadWindow / kSlotsPerWindow;
    if (!usesSlots(engine))
      return kColdBudgetShare * budget * gatewayShare() - engine.coldWork.upperBound(now);
    // Where the gateway is told no ordinal, as with a bounded subset of engines, it knows only its rank among
    // the engine's users. Rule 4 allows all gateways together n + 2 sqrt(n) + 2 commands of usual work, where
    // the budget pays for n. Here the slots share out that bound in place of n, since half of n would leave a
    // cold engine under half used.
    double slottedBudget = budget;
    if (settings.ordinal < 0 && usualWork > 0)
      slottedBudget += 2 * (std::sqrt(budget / usualWork) + 1) * usualWork;
    int64_t slot = int64_t(std::floor((now - *engine.startedAt) / slotLength));
    int64_t positionsHeld = 0;  // of the kSlotHolders that share the slot
    for (int i = 0; i < kSlotHolders; ++i)
      positionsHeld += int(rendezvousHash(engine.id, ~uint64_t(slot * kSlotHolders + i)) *
                           settings.gatewayCount) == engine.gatewayRank;
    // A slot that began before this process started may have been used by its predecessor.
    if (positionsHeld == 0 || *engine.startedAt + double(slot) * slotLength < startTime)
      return 0;
    if (std::exchange(engine.lastSlot, slot) != slot)
      engine.slotWork = 0;
    return kSlotBudgetShare * slottedBudget / kSlotHolders - engine.slotWork;
  }

  // Whether a command may be sent to an engine now, apart from the mark.
  bool isEligible(TrackedEngine& engine, const CommandState& command) {
    const Profile& profile = command.profile();
    // Rule 3 (nothing new to a draining engine) and rule 6 (allowed zones and kinds).
    auto allows = [](const std::vector<std::string>& names, const std::string& name) {
      return names.empty() || std::ranges::find(names, name) != names.end();
    };
    if (!engine.inService || !allows(profile.allowedZones, engine.zone) ||
        !allows(profile.allowedKinds, engine.kind))
      return false;
    // Rule 2 (no second effect): a repeat stays among the engines that recognise it.
    if (command.firstRunAt >= 0 && profile.retrySafety == RetrySafety::deduplicated) {
      if (profile.deduplicationScope != DeduplicationScope::all && engine.zone != command.firstRunZone)
        return false;
      if (profile.deduplicationScope == DeduplicationScope::cell && engine.cell != command.firstRunCell)
        return false;
    }
    if (now < engine.refusingUntil)
      return false;
    // An ejected engine gets one trial at a time, a short command that may be sent again.
    if (engine.ejected) {
      if (now < engine.ejectedUntil || engine.trialOut)
        return false;
      bool suitsTrial = profile.retrySafety == RetrySafety::replayable && command.runTime() <= usualRunTime &&
                        command.sendCount == 0;
      if (!suitsTrial && now < engine.ejectedUntil + kTrialPatience)
        return false;
    }
    // Rule 4: a cold engine gets no more than our part of its budget, by the usual work of the profile.
    if (isCold(engine)) {
      bool slotted = usesSlots(engine);
      // A predecessor of this process may have sent work there.
      if (!slotted && now < startTime + settings.coldOverloadWindow)
        return false;
      if (std::max(command.work, slotted ? 0 : command.statistics.usualWork) > coldAllowance(engine))
        return false;
    }
    return fitsMemory(engine, command) && !blockedByBulkLoad(engine, command);
  }

  // The engine for a command, or null. Engines with room come before those above the mark; among them the
  // first by weighted rendezvous hashing of the table group whose load is within a band above the least.
  TrackedEngine* selectEngine(CommandState& command) {
    // Engine, load, rendezvous weight; [1]: with room.
    std::vector<std::tuple<TrackedEngine*, double, double>> candidates[2];
    bool separate = avoidsBulkLoads && (command.profile().bulkLoad || command.profile().yieldsToBulkLoads);
    for (auto& [id, engine] : engines) {
      if (!isEligible(*engine, command))
        continue;
      double extraLoad = settings.crossZoneCost > 0 && engine->zone != settings.zone ? kCrossZoneLoad : 0;
      double hash = rendezvousHash(id, command.tableGroup);
      double rendezvousWeight = std::log(hash) / engine->cores;
      // Bulk loads and the commands that yield to them keep to different engines.
      if (separate && (hash < kBulkLoadShare) != command.profile().bulkLoad)
        extraLoad += kWrongSideLoad;
      // A trial that is due is taken before all else, except where sends are so sparse that a failed trial is
      // costly.
      if (engine->ejected && evidenceNeeded() >= kMaxEvidence)
        extraLoad -= kDecisiveLoad;
      if (engine->preferred && engine->sendCredit[&command.statistics - statistics.data()] < 0)
        extraLoad += kOverShareLoad * sparsity;
      // A slot comes seldom and passes.
      if (usesSlots(*engine))
        extraLoad -= underPressure ? kSlotLoadCredit : 0;
      else if (!engine->preferred)
        extraLoad += kNonPreferredLoad;
      if (command.lastEngineId == id)
        extraLoad += kDecisiveLoad;
      bool hasRoom = !engine->underPressure || markUse(*engine, command) < 1 || now < engine->idleUntil;
      candidates[hasRoom].push_back({engine.get(), estimatedLoad(*engine) + extraLoad, rendezvousWeight});
    }
    auto& open = candidates[candidates[1].empty() ? 0 : 1];
    double leastLoad = HUGE_VAL;
    double bestWeight = -HUGE_VAL;
    for (auto& [engine, load, rendezvousWeight] : open)
      leastLoad = std::min(leastLoad, load);
    TrackedEngine* selected = nullptr;
    for (auto& [engine, load, rendezvousWeight] : open)
      if (load <= leastLoad + kLoadBand && rendezvousWeight > bestWeight) {
        selected = engine;
        bestWeight = rendezvousWeight;
      }
    return selected;
  }

  // Sends the command if an engine is eligible and admits it: surely up to the mark, above it with a
  // probability that falls to 0 at twice the mark.
  bool tryStart(CommandState& command) {
    TrackedEngine* engine = selectEngine(command);
    double use = engine && engine->underPressure && now >= engine->idleUntil ? markUse(*engine, command) : 0;
    if (!engine || (use >= 1 && random.uniform() >= 2 - use))
      return false;
    send(command, *engine);
    return true;
  }

  // Seconds; 0: none but the command's deadline.
  double sendTimeout(const CommandState& command, const TrackedEngine& engine) const {
    // The send that this is for is counted already.
    bool isLastSend = command.sendCount > kMaxRetries || command.sendCount >= settings.maxSends;
    if (command.profile().retrySafety == RetrySafety::nonReplayable || isLastSend || command.lowPriority)
      return 0;
    double expected = command.idleLatency() * std::clamp(engine.latencyRatio, 1.0, kMaxLatencyRatio);
    // A cancel frees the engine, so a bad query plan can be cut short.
    if (settings.cancelSupported)
      return kTimeoutRatio * expected + 2 * kSweepInterval;
    // The command would run on beside its retry.
    if ((overloaded || engine.underPressure) && !engine.ejected)
      return 0;
    return std::max({kTimeoutRatio * expected, command.targetTime - now - kTimeoutRatio / 2 * expected,
                     6 * kSweepInterval});
  }

  void send(CommandState& command, TrackedEngine& engine) {
    dequeue(command);
    if (budgetScheduler)
      budgetScheduler->sendStarted(command);
    command.engine = &engine;
    command.sentAt = now;
    command.reservedMb = command.memoryMb;
    command.cancelled = false;
    if (command.sendCount++ > 0)
      retries.add(now, 1);
    int priority = 1;
    if (settings.prioritiesSupported) {
      // Shortest first; bulk loads first where other commands wait for them.
      double relativeRunTime = command.runTime() / std::max(usualRunTime, 1e-6);
      priority = relativeRunTime < 0.5 ? 3 : relativeRunTime < 1.5 ? 2 : relativeRunTime < 4 ? 1 : 0;
      if (command.profile().bulkLoad && avoidsBulkLoads)
        priority = 3;
      // Under pressure, commands beyond their guarantee run after those within it.
      command.lowPriority = budgetScheduler && underPressure && !budgetScheduler->isGuaranteed(command);
      if (command.lowPriority)
        priority = 0;
    }
    double maxGrant = engine.memoryMb > 0 ? engine.memoryMb * settings.maxMemoryGrantShare : HUGE_VAL;
    double grant = settings.memoryGrantsSupported ? std::min(command.memoryMb * kGrantHeadroom, maxGrant) : 0;
    if (settings.prioritiesSupported || grant > 0)
      actions.setPriorityAndMemory(command, priority, grant);
    if (isCold(engine)) {
      engine.coldWork.add(now, std::max(command.work, command.statistics.usualWork));
      engine.slotWork += command.work;
    }
    if (engine.ejected)
      command.isTrial = engine.trialOut = true;
    engine.outstanding.push_back(command.shared_from_this());
    memoryInUse += command.reservedMb;
    threadsInUse += command.profile().threads;
    engine.threadsInUse += command.profile().threads;
    engine.memoryInUse += command.reservedMb;
    // Each preferred engine earns its share of a send, with some headroom; the chosen one pays for it.
    for (auto& [id, other] : engines)
      if (double& credit = other->sendCredit[&command.statistics - statistics.data()]; other->preferred)
        credit =
            std::min(credit + kSendShareHeadroom * capacity(*other) / std::max(preferredCapacity, 1.0), 0.0);
    engine.sendCredit[&command.statistics - statistics.data()] -= 1;
    double timeout = sendTimeout(command, engine);
    actions.send(command, engine.id, timeout > 0 && now + timeout < command.deadline ? timeout : 0,
                 deduplicationEnd(command));
  }

  // --- Outlier detection

  // Ejects an engine, or prolongs its ejection after a failed trial. Only the former is logged, with
  // `reason`, `figure` and `reference`.
  void eject(TrackedEngine& engine, const char* reason, double figure, double reference) {
    if (!engine.ejected) {
      --engineCount;
      ++ejectedCount;
      log("engine %u ejected: %s %.2f against %.2f", engine.id, reason, figure, reference);
    }
    bool relapse = engine.ejected || now < engine.inServiceSince + kRelapseWindow;
    // A trial is costly where few sends go to one engine, so ejections may last longer there.
    double longest = kMaxEjection * kMaxEvidence / evidenceNeeded();
    engine.ejectionTime = relapse ? std::min(engine.ejectionTime * 2, longest) : kMinEjection;
    // Overdue sends count as failures for a while, or the next engine would seem worse than all others.
    engine.failures.add(now, std::exchange(engine.overdue, 0));
    engine.ejected = true;
    engine.trialsAnswered = 0;
    engine.ejectedUntil = now + engine.ejectionTime;
    actions.ejectionChanged(engine.id, true);
  }

  void returnToService(TrackedEngine& engine) {
    engine.ejected = false;
    engine.inServiceSince = now;
    engine.failures = SlidingWindowSum(kFailureWindow);
    actions.ejectionChanged(engine.id, false);
    log("engine %u back in service: %d trials answered", engine.id, engine.trialsAnswered);
  }

  // Failures that eject an engine, and answered trials that return it to service: fewer where few sends go to
  // one engine. One per kMaxEvidence sends that an engine gets on average within kFailureWindow, from 1 to
  // kMaxEvidence.
  double evidenceNeeded() const {
    return std::clamp((totalAnswers + totalFailures) / std::max(1.0, engineCount) / kMaxEvidence, 1.0,
                      kMaxEvidence);
  }

  // Ejects an engine that fails clearly more often than the others do at the same time. Overdue sends count
  // as failures. Those that may wait for a bulk load count once per table group, and the first group not at
  // all: a single bulk load may explain it.
  void detectOutlier(TrackedEngine& engine) {
    if (engine.ejected)
      return;
    double answers = engine.answers.upperBound(now);
    double endedFailures = engine.failures.upperBound(now);
    double usualRatio = std::clamp(latencyRatio, 1.0, kMaxLatencyRatio);
    double otherFailures = totalFailures - endedFailures - engine.overdue;
    double otherAnswers = totalAnswers - answers;
    std::set<uint64_t> groups;
    totalFailures -= std::exchange(engine.overdue, 0);
    for (auto& command : engine.outstanding) {
      double expected =
          kMinOverdueTime + kTimeoutRatio * command->idleLatency() * usualRatio * coldSlowdown(engine);
      if (now - command->sentAt <= expected || command->sentAt < engine.inServiceSince)
        continue;
      if (command->lowPriority)
        continue;
      if (!command->profile().yieldsToBulkLoads ||
          (groups.insert(command->tableGroup).second && groups.size() > 1))
        ++engine.overdue;
    }
    totalFailures += engine.overdue;
    double failures = endedFailures + engine.overdue;
    double failureShare = failures / std::max(failures + answers, 1.0);
    double otherShare = otherFailures / std::max(otherFailures + otherAnswers, 1.0);
    // The capacity of ejected engines is missing, which makes the others late.
    otherShare += ejectedCount / (ejectedCount + engineCount);
    bool worseOdds = (failures + 1) * otherAnswers > kFailureOddsRatio * (otherFailures + 1) * (answers + 1);
    if (failures < evidenceNeeded() || failureShare <= kMinFailureShare + otherShare / 2 || !worseOdds)
      return;
    eject(engine, "failure share", failureShare, otherShare);
    if (settings.cancelSupported)
      for (auto& command : engine.outstanding)
        if (!command->cancelled && command->profile().retrySafety != RetrySafety::nonReplayable) {
          command->cancelled = true;
          actions.cancel(*command, command->sendCount - 1);
        }
  }

  // Updates an engine's latency ratio and, under pressure, moves its mark: down while latency is far above
  // that at an idle engine, up again afterwards.
  void updateMark(TrackedEngine& engine) {
    double latency = engine.latencySum.upperBound(now);
    double idleLatency = engine.idleLatencySum.upperBound(now);
    // Commands that are overdue count before they end.
    for (auto& command : engine.outstanding) {
      double expected = command->idleLatency() * coldSlowdown(engine);
      double elapsed = std::min(now - command->sentAt, kMaxLatencyRatio * expected);
      if (elapsed <= kPressureRatio * expected)
        continue;
      latency += elapsed;
      idleLatency += expected;
      if (!engine.ejected && elapsed >= kMaxLatencyRatio * expected) {
        totalLatency += elapsed;
        totalIdleLatency += expected;
      }
    }
    // A few answers of one engine say little, so the ratio over all engines is mixed in.
    double prior = kPriorCommands * usualRunTime;
    engine.latencyRatio =
        idleLatency + prior > 0 ? (latency + prior * latencyRatio) / (idleLatency + prior) : 1;
    bool slow = engine.latencyRatio > kPressureRatio - kSparsePressureReduction * sparsity && !engine.ejected;
    if (slow)
      notePressure(engine);
    if (!engine.underPressure)
      return;
    if (slow) {
      // Well below the mark only under severe pressure, as when disks are saturated.
      double least =
          engine.latencyRatio > kSeverePressureRatio ? kSevereMarkMin + (1 - kSevereMarkMin) * sparsity : 1;
      engine.markMultiple =
          std::max(std::min(least, engine.markMultiple), engine.markMultiple * kMarkDecrease);
    } else if (now > engine.pressureUntil - kPressureHold / 2) {
      engine.markMultiple *= 1 + kMarkIncrease * newAnswerShare;
    }
    if (now > engine.pressureUntil && engine.markMultiple > kMarkRelease)
      engine.underPressure = false;
  }

  // --- Load shedding

  // Ends waiting commands that can't be in time. Under pressure, while the backlog needs more than a part of
  // the slack of all waiting commands, it also ends those with the least benefit for their work. Protects
  // against bursts, costly commands, lost engines and retries. Does harm where estimates are wrong.
  void shedWaiting() {
    for (auto& command : waiting)
      if (!command->ended && !command->engine && isHopeless(*command))
        shedOrFail(*command);
    std::erase_if(waiting, [](auto& command) { return command->ended || command->engine; });
    firstUnchecked = waiting.size();
    double backlog = 0;
    double weightedSlack = 0;
    double totalBenefit = 0;
    for (auto& command : waiting) {
      backlog += command->work;
      totalBenefit += command->benefit;
      weightedSlack += command->benefit * std::max(0.0, command->targetTime - now - command->idleLatency());
    }
    // A single command waits for nothing but room at an engine.
    if (waiting.size() < 2 || availableCores <= 0)
      return;
    // A little completed work says little about our rate, so our share of the cores is mixed in.
    double ourCores = availableCores * gatewayShare();
    double prior = kPriorCommands * usualWork;
    double rate = std::max((recentWork.upperBound(now) + prior) / (kCompletionWindow + prior / ourCores),
                           kMinRateShare * ourCores);
    double room = rate * kBacklogSlackShare * weightedSlack / totalBenefit;
    if (backlog <= room || !underPressure)
      return;
    auto candidates = waiting;
    // Commands within their guarantee are shed last.
    std::ranges::stable_sort(candidates, {}, [&](auto& command) {
      return std::pair(budgetScheduler && budgetScheduler->isGuaranteed(*command),
                       currentBenefit(*command) / command->work);
    });
    if (!overloaded)
      log("overload: %.1f s of work held, room for %.1f", backlog, room);
    overloaded = true;
    overloadedUntil = now + kOverloadHold;
    candidates.pop_back();  // the best command is kept: alone it would wait only for room at an engine
    for (auto& command : candidates) {
      // A command within its guarantee gets resources back from those beyond theirs, so the backlog may take
      // up the whole slack.
      bool guaranteed = budgetScheduler && budgetScheduler->isGuaranteed(*command);
      if (backlog <= (guaranteed ? room / kBacklogSlackShare : room))
        break;
      backlog -= command->work;
      shedOrFail(*command);
    }
  }

  // Preemption: a command beyond its tenant's guarantee makes room while one within its guarantee waits. Its
  // priority is lowered, or its send cancelled if the command may be sent again (rule 2, no second effect;
  // rule 7, retry budget). Protects against long commands that keep a tenant from its guarantee. Does harm
  // where the waiting command needs room at another engine.
  void preempt() {
    auto [selected, cancel] = budgetScheduler->selectPreemption();
    if (!selected)
      return;
    CommandState& command = static_cast<CommandState&>(*selected);
    if (settings.prioritiesSupported) {
      command.lowPriority = true;
      actions.setPriorityAndMemory(command, 0, settings.memoryGrantsSupported ? command.reservedMb : 0);
    }
    if (!cancel || !settings.cancelSupported || command.ended || command.cancelled)
      return;
    if (command.profile().retrySafety != RetrySafety::replayable || !mayRetry(command))
      return;
    command.cancelled = true;
    actions.cancel(command, command.sendCount - 1);
  }

  // --- Periodic work, every kSweepInterval
  void sweep() {
    std::erase_if(engines, [&](auto& entry) { return entry.second->isForgettable(now); });
    // Totals over the engines in service.
    bool anyPressure = false;
    availableCores = availableMemoryMb = engineCount = ejectedCount = slottedCores = slottedThreads =
        totalReportWeight = weightedOtherLoad = 0;
    for (auto& [id, engine] : engines) {
      ejectedCount += engine->inService && engine->ejected;
      if (!engine->inService || engine->ejected)
        continue;
      bool slotted = usesSlots(*engine);
      double usableCores = capacity(*engine) * (slotted ? kSlottedCapacityUse : 1);
      double weight = slotted ? 0 : reportWeight(*engine);
      availableCores += usableCores;
      availableMemoryMb += slotted ? 0 : engine->memoryMb;
      ++engineCount;
      if (slotted) {
        slottedCores += usableCores;
        slottedThreads += engine->threadsInUse;
      }
      totalReportWeight += weight;
      weightedOtherLoad += weight * engine->otherThreads / capacity(*engine);
    }
    // Marks, and the failures and the latency ratio over all engines.
    double worstRatio = totalLatency = totalIdleLatency = totalFailures = totalAnswers = 0;
    for (auto& [id, engine] : engines) {
      updateMark(*engine);
      anyPressure |= engine->underPressure && engine->inService;
      worstRatio = std::max(worstRatio, engine->latencyRatio);
      totalFailures += engine->failures.upperBound(now) + engine->overdue;
      totalAnswers += engine->answers.upperBound(now);
    }
    for (auto& [ratio, idleLatency] : recentAnswers) {
      totalLatency += ratio * idleLatency;
      totalIdleLatency += idleLatency;
    }
    latencyRatio = totalIdleLatency > 0 ? totalLatency / totalIdleLatency : 1;
    // This gateway's own traffic.
    if (totalQuota > 0 && usualWork > 0)
      quotaShare = completedWork.upperBound(now) / trafficSpan() / totalQuota / usualWork;
    newAnswerShare =
        std::min(1.0, kSweepInterval * arrivals.upperBound(now) / trafficSpan() / kRecentAnswers);
    sparsity = std::clamp(
        1 - (totalAnswers + totalFailures) / kFailureWindow / std::max(1.0, engineCount) / kDenseSends, 0.0,
        1.0);
    // Where sends are too sparse to judge the engines, they are probed in turn: at most one probe per
    // command.
    if (settings.probingSupported && sparsity > 0)
      probesDue += kSweepInterval *
                   std::min(preferredCount / kReportDecayTime, arrivals.upperBound(now) / trafficSpan());
    choosePreferredEngines();
    for (; probesDue >= 1 && preferredCount > 0; --probesDue) {
      auto next = engines.upper_bound(lastProbed);
      while (next == engines.end() || !next->second->preferred)
        next = next == engines.end() ? engines.begin() : std::next(next);
      actions.probe(lastProbed = next->first);
    }
    usualMemoryInUse += newAnswerShare * (memoryInUse - usualMemoryInUse);
    // Outliers; sends at ejected engines don't count as load.
    threadsInUse = memoryInUse = 0;
    for (auto& [id, engine] : engines) {
      detectOutlier(*engine);
      if (!engine->ejected) {
        threadsInUse += engine->threadsInUse;
        memoryInUse += engine->memoryInUse;
      }
    }
    if (anyPressure != underPressure)
      log("pressure %s: latency %.1f times the best", anyPressure ? "shown" : "ended", worstRatio);
    underPressure = anyPressure;
    if (budgetScheduler)
      preempt();
    if (overloaded && now > overloadedUntil) {
      overloaded = false;
      log("overload ended: %zu commands held", waiting.size());
    }
    shedWaiting();
  }

  void scheduleWakeUp(double time) {
    if (nextWakeUp > now + kClockResolution && nextWakeUp <= time)
      return;
    actions.scheduleWakeUp(nextWakeUp = time);
  }

  // The command whose turn it is, or null.
  CommandState* selectNext() {
    if (budgetScheduler)
      return static_cast<CommandState*>(budgetScheduler->selectNext());
    DeficitRoundRobinQueue* queue = rootQueue.selectNext(now);
    return queue ? queue->fifo.front().get() : nullptr;
  }

  void decide() override {
    if (listRequestAt >= 0 && now >= listRequestAt) {
      listRequestAt = -1;
      actions.requestEngineList();
    }
    if (now >= nextSweep - kClockResolution) {
      nextSweep = now + kSweepInterval;
      sweep();
    }
    for (; firstUnchecked < waiting.size(); ++firstUnchecked)
      if (!waiting[firstUnchecked]->ended && isHopeless(*waiting[firstUnchecked]))
        shedOrFail(*waiting[firstUnchecked]);
    releaseOrderingKeys();
    while (CommandState* selected = selectNext()) {
      CommandState& command = *selected;
      if (isHopeless(command) || (command.sendCount > 0 && !mayRetry(command))) {
        shedOrFail(command);
      } else if (tryStart(command)) {
        if (!budgetScheduler)
          command.queue->charge(command.work);
      } else {
        // Random back-off, in which other leaves take their turns.
        double scale =
            std::clamp(command.work / std::max(usualWork, 1e-6), kBackoffScaleMin, kBackoffScaleMax);
        double wait = scale * random.uniformBetween(kBackoffMin, kBackoffMax);
        if (budgetScheduler)
          budgetScheduler->postpone(command, wait);
        else
          command.queue->wakeAt = now + wait;
      }
    }
    scheduleWakeUp(std::max(
        std::min(budgetScheduler ? budgetScheduler->nextWakeUp() : rootQueue.nextAttempt(), nextSweep),
        now + kClockResolution));
  }

  // --- State
  Settings settings;
  Pcg32 random;
  ActionSink& actions;
  BudgetScheduler* budgetScheduler;  // null: rootQueue alone decides whose turn it is
  double now = 0;                    // seconds
  double startTime = -1;             // seconds: first time that the host set; negative: none yet
  double nextSweep = 0;              // seconds
  double nextWakeUp = -1;            // seconds: earliest wake-up that is requested
  double overloadedUntil = -1;       // seconds
  double listRequestAt = -1;         // seconds; negative: none is due
  bool overloaded = false;
  bool underPressure = false;  // some engine in service is
  bool listReceived = false;
  bool avoidsBulkLoads = false;               // some profile yields to bulk loads
  std::vector<ProfileStatistics> statistics;  // one per profile, in the order of the settings
  std::map<uint32_t, std::unique_ptr<TrackedEngine>> engines;
  std::map<uint64_t, KeyQueue> keyQueues;
  DeficitRoundRobinQueue rootQueue;
  std::vector<std::shared_ptr<CommandState>> waiting;
  size_t firstUnchecked = 0;                       // in `waiting`: no sweep has looked at those from here on
  SlidingWindowSum arrivals{kTrafficWindow};       // commands
  SlidingWindowSum recentWork{kCompletionWindow};  // core-seconds of answered commands
  SlidingWindowSum completedWork{kTrafficWindow};  // core-seconds of answered commands
  SlidingWindowSum retries{1};                     // sends, in the window of the retry budget
  SlidingWindowSum arrivalsInBudgetWindow{1};      // commands, in the window of the retry budget
  double totalQuota = 0;                           // commands per second of all tenants and gateways
  double quotaShare = 0;            // the work that this gateway completes, over that of all quotas
  double usualRunTime = 0;          // seconds: mean over all commands
  double usualWork = 0;             // core-seconds: mean over all commands
  double availableCores = 0;        // of the engines in service that are not ejected
  double availableMemoryMb = 0;     // of the same engines
  double engineCount = 0;           // of the same engines
  double ejectedCount = 0;          // engines in service that are ejected
  double threadsInUse = 0;          // by our sends, but those at ejected engines
  double memoryInUse = 0;           // MB, by our sends, but those at ejected engines
  double usualMemoryInUse = 0;      // MB: mean of memoryInUse
  double totalFailures = 0;         // sends of all engines in kFailureWindow, overdue ones included
  double totalAnswers = 0;          // sends of all engines in kFailureWindow
  double totalLatency = 0;          // seconds, of the recent answers and of overdue sends
  double totalIdleLatency = 0;      // seconds: the idle latencies of the same sends
  double usualMemoryPerThread = 0;  // MB: mean weighted by work
  double totalReportWeight = 0;     // sum of reportWeight() over the engines
  double weightedOtherLoad = 0;     // otherThreads per core of capacity, summed by reportWeight()
  double preferredCount = 0;        // engines in this gateway's subset
  double preferredCapacity = 0;     // cores of these
  double slottedCores = 0;          // of the cold engines that use slots
  double slottedThreads = 0;        // by our sends at these
  uint64_t hashKey;                 // of this gateway, for its subset of engines
  double probesDue = 0;
  uint32_t lastProbed = 0;    // engine
  double newAnswerShare = 0;  // part of recentAnswers that a sweep interval replaces
  double sparsity = 0;        // 0: sends to each engine are frequent enough to judge it; 1: hardly any
  double latencyRatio = 1;    // latency over idle latency, of the recent answers and of overdue sends
  std::deque<std::pair<double, double>> recentAnswers;  // latency over idle latency; idle latency in seconds
};

// --- Events of a command
void CommandState::statusReported(StatusTopic topic, double) {
  if (engine && topic == StatusTopic::queued && !ended)
    policy.notePressure(*engine);
}

void CommandState::withdrawn() {
  if (std::exchange(ended, true))
    return;
  if (waiting)
    policy.dequeue(*this);
  if (engine && policy.settings.cancelSupported && !cancelled) {
    cancelled = true;
    policy.actions.cancel(*this, sendCount - 1);
  }
  policy.releaseIfDone(*this);
}

void CommandState::sendFinished(Outcome outcome, double took, bool final, const ResourceUsage* usage,
                                const LoadReport* report) {
  auto self = shared_from_this();
  if (!engine)
    return;
  // The send's resources are free again.
  TrackedEngine& lastEngine = *engine;
  engine = nullptr;
  std::erase(lastEngine.outstanding, self);
  lastEngine.threadsInUse -= profile().threads;
  policy.threadsInUse -= profile().threads;
  lastEngine.memoryInUse -= reservedMb;
  policy.memoryInUse -= reservedMb;
  if (policy.budgetScheduler)
    policy.budgetScheduler->sendFinished(*this, usage ? usage->work : 0);
  bool wasTrial = std::exchange(isTrial, false);
  if (wasTrial)
    lastEngine.trialOut = false;
  // Rule 2 (no second effect) and rule 5 (order within a key) depend on whether it may have run, or may run
  // still.
  if (mayHaveRun(outcome) && firstRunAt < 0) {
    firstRunAt = sentAt;
    firstRunZone = lastEngine.zone;
    firstRunCell = lastEngine.cell;
  }
  if (orderingKey &&
      (outcome == Outcome::timedOut || outcome == Outcome::reset || outcome == Outcome::cancelled))
    policy.keyQueues[*orderingKey].quietUntil = policy.now + policy.settings.keyQuietPeriod;
  // Outlier detection; a broken connection counts as two failures.
  bool answered = outcome == Outcome::answered;
  if (answered) {
    lastEngine.answers.add(policy.now, 1);
    lastEngine.refusalPause = kMinRefusalPause;
  }
  bool blamesEngine = outcome == Outcome::timedOut && !profile().yieldsToBulkLoads && !lowPriority;
  if (outcome == Outcome::error || blamesEngine)
    lastEngine.failures.add(policy.now, 1);
  if (outcome == Outcome::connectFailed || outcome == Outcome::reset)
    lastEngine.failures.add(policy.now, 2);
  // Exponential back-off with jitter: the more gateways would return at once, the longer it has to be.
  if (outcome == Outcome::overloaded) {
    policy.notePressure(lastEngine);
    lastEngine.refusingUntil = policy.now + lastEngine.refusalPause * policy.random.uniformBetween(0.5, 1.5);
    lastEngine.refusalPause = std::min(2 * lastEngine.refusalPause, kMaxRefusalPause);
  }
  if (wasTrial && lastEngine.ejected && answered && ++lastEngine.trialsAnswered >= policy.evidenceNeeded()) {
    policy.returnToService(lastEngine);
  } else if (wasTrial && lastEngine.ejected && !answered && outcome != Outcome::overloaded &&
             outcome != Outcome::notStarted) {
    policy.eject(lastEngine, "trial failed, trials answered", lastEngine.trialsAnswered,
                 policy.evidenceNeeded());
  }
  // Estimates and latency ratios. A command that used more memory than it was granted has spilled to
  // disk, and its latency says nothing about the engine's load.
  if (answered)
    policy.learnFromAnswer(*this, took, usage);
  bool spilled =
      usage && estimatedMemoryMb > 0 &&
      usage->memoryMb >
          (policy.settings.memoryGrantsSupported ? reservedMb : kEngineGrantFactor * estimatedMemoryMb);
  if (answered && !wasTrial && !spilled) {
    double expected = idleLatency() * policy.coldSlowdown(lastEngine);
    double latency = std::min(took, kMaxLatencyRatio * expected);
    lastEngine.latencySum.add(policy.now, latency);
    lastEngine.idleLatencySum.add(policy.now, expected);
    policy.recentAnswers.push_back({latency / expected, expected});
    if (double(policy.recentAnswers.size()) > kRecentAnswers)
      policy.recentAnswers.pop_front();
  }
  policy.applyReport(lastEngine, report);
  lastEngineId = lastEngine.id;
  ended |= final;
  if (ended)
    policy.releaseIfDone(*this);
  else
    policy.retryOrEnd(*this);
}

}  // namespace

std::unique_ptr<Policy> createPolicy(const Settings& settings, uint64_t seed, ActionSink& actions,
                                     BudgetScheduler* budgetScheduler) {
  return std::make_unique<PolicyImpl>(settings, seed, actions, budgetScheduler);
}

}  // namespace elmcleat
