// Interface of the decision module (src/policy.cpp), which chooses an engine for each command and decides on
// retries and load shedding. The types here carry facts and actions; they decide nothing.
//
// The host creates one Policy per process and calls it from one thread. At each event it calls advanceTo()
// with the current time, reports what happened, and calls decide() once everything that happened at that time
// has been reported. submit() returns a handle, and later events of the command are calls on that handle. The
// module acts through the ActionSink.
//
// Units: times and durations are seconds, on one clock whose origin is the host's choice; work is
// core-seconds; memory is MB; shares lie between 0 and 1. The rules that comments refer to by number are
// listed in src/policy.cpp.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace elmcleat {

// What a repeated execution of a command does.
enum class RetrySafety {
  replayable,     // no harm: it may be sent again at any time
  deduplicated,   // the engine recognises a repeat within the deduplication window and scope
  nonReplayable,  // a second effect: it must not be sent again once it may have run
};
// The engines that recognise a repeat of a deduplicated command: all, or those of the zone or cell of the
// first send.
enum class DeduplicationScope { all, zone, cell };
// What an engine does with a command that needs more memory than it has left.
enum class MemoryShortagePolicy { queue, reduceGrant, overcommit };
// How a send ended.
enum class Outcome {
  answered,       // the engine gave its answer
  error,          // the engine reported an error
  overloaded,     // the engine refused the send without running it
  timedOut,       // no answer within the time-out; the engine may still run it
  connectFailed,  // no connection to the engine: it didn't run
  reset,          // the connection broke: it may have run
  cancelled,      // cancelled at the module's request
  notStarted,     // the host never passed it to the engine
};
// Whether a command may have run, or may run still, after a send with this outcome.
constexpr bool mayHaveRun(Outcome outcome) {
  return outcome != Outcome::overloaded && outcome != Outcome::connectFailed &&
         outcome != Outcome::notStarted;
}
// State of an engine in the list. A draining engine finishes what it runs and gets nothing new (rule 3).
enum class EngineState { inService, draining, removed };
// How a list of engines is to be read: complete, changes only, or the list could not be read.
enum class EngineListKind { full, delta, error };
// What an engine reports about a send that is out.
enum class StatusTopic {
  progress,
  spilling,  // it writes intermediate results to disk
  queued,    // it doesn't run yet: the engine is under pressure
};

// A class of commands with the same objectives and placement.
struct Profile {
  std::string name;
  RetrySafety retrySafety = RetrySafety::replayable;
  DeduplicationScope deduplicationScope = DeduplicationScope::all;
  double deduplicationWindow = 0;  // seconds from the first send that may have run
  // The latency target is latencyTarget + latencyTargetStretch x work / threads.
  double latencyTarget = 0;         // seconds
  double latencyTargetStretch = 0;  // multiple of the run time
  double clientTimeout = 0;         // seconds until the client gives up
  double benefit = 0;               // value of an answer within the latency target, on any scale
  double lateBenefitShare = 0;      // share of the benefit that a later answer still has
  bool ordered = false;             // commands of one ordering key run one at a time, in order of arrival
  bool bulkLoad = false;            // loads its table group, which blocks yieldsToBulkLoads commands there
  bool yieldsToBulkLoads = false;   // waits at an engine while a bulk load of its table group runs there
  int threads = 1;                  // threads that a command runs on
  std::vector<std::string> allowedZones;  // empty: any
  std::vector<std::string> allowedKinds;  // empty: any
};
// A tenant and its part of the service.
struct Tenant {
  std::string name;
  double share = 1;  // share of the service when all tenants have commands waiting
  double quota = 0;  // commands per second within the share, over all gateways; 0: none
};
// A kind of engine hardware.
struct EngineKind {
  std::string name;
  double cores = 1;
  double memoryMb = 0;  // 0: unknown, memory is not limited
};
// Settings of the module, fixed for its lifetime.
struct Settings {
  int gatewayCount = 1;
  int ordinal = -1;  // index of this gateway among all, from 0; negative: unknown
  std::string zone;  // zone of this gateway
  std::vector<Profile> profiles;
  std::vector<Tenant> tenants;
  std::vector<EngineKind> engineKinds;
  double overShareBenefitFactor = 1;  // weight of benefit beyond a tenant's share; not used by the module
  double crossZoneCost = 0;           // above 0: engines of the gateway's own zone are preferred
  double drainGracePeriod = 0;        // seconds; not used by the module, which stops new sends at once

  // Cold engines (rule 4). An engine's capacity rises linearly from coldCapacity to 1 over coldDuration. It is
  // overloaded if all gateways together send it more than coldOverloadFactor x coldCapacity x cores of work
  // per second, over coldOverloadWindow.
  double coldCapacity = 1;        // share of the cores that are usable at its start
  double coldDuration = 0;        // seconds
  double coldOverloadFactor = 1;  // multiple of the cold capacity
  double coldOverloadWindow = 0;  // seconds

  double keyQuietPeriod = 0;  // seconds for which an ordering key waits after a send whose end is uncertain

  // Retry budget (rule 7): sends after a command's first one, within each window, number at most
  // retryBudgetMinimum + retryBudgetRatio x commands submitted.
  double retryBudgetWindow = 0;   // seconds; 0: unlimited
  double retryBudgetMinimum = 0;  // sends
  double retryBudgetRatio = 0;    // sends per command
  int maxSends = 1;               // sends of one command, the first included

  // What the engines and the host support.
  bool cancelSupported = false;
  bool probingSupported = false;
  bool retryAfterSupported = false;
  bool memoryGrantsSupported = false;
  bool prioritiesSupported = false;
  bool engineListOnRequest = false;  // changes come only after ActionSink::requestEngineList()
  double maxRetryAfter = 0;          // seconds
  double maxMemoryGrantShare = 1;    // share of an engine's memory that one grant may have
  MemoryShortagePolicy memoryShortagePolicy = MemoryShortagePolicy::queue;
};

// An engine's load as it reports it; a figure that it did not report is absent.
struct LoadReport {
  std::optional<double> inFlight;         // commands of all gateways that it has accepted
  std::optional<double> queued;           // commands of these that don't run yet
  std::optional<double> utilisation;      // share of its cores
  std::optional<double> memoryGranted;    // not used by the module
  std::optional<double> diskUtilisation;  // share of its disk throughput
};
// What a command used, as the engine accounts for it.
struct ResourceUsage {
  double work = 0;  // core-seconds; 0: unknown
  double memoryMb = 0;
};
// One row of the engine list.
struct EngineRecord {
  uint32_t id = 0;
  std::string zone;
  std::string kind;  // name of an EngineKind
  int cell = 0;      // engines of one cell share deduplication state
  EngineState state = EngineState::inService;
  std::optional<double> startedAt;  // seconds; absent: it counts as warm
  std::optional<int> rank = {};  // of this gateway among those that use the engine; absent: Settings::ordinal
};
// A command as it arrives at the gateway.
struct Arrival {
  std::string profile;
  std::string tenant;
  uint64_t tableGroup = 0;              // identifies the tables that it reads or loads
  std::optional<uint64_t> orderingKey;  // used where the profile is ordered
  double estimatedWork = 0;             // core-seconds; 0: no estimate
  double estimatedMemoryMb = 0;         // 0: no estimate
  double remainingTime = 0;             // seconds until the client gives up
  std::vector<std::string> users = {};  // path below the tenant, where budgets are set
};

// Handle of a submitted command, through which the host reports what happens to it.
class Command {
 public:
  virtual ~Command() = default;
  // Part of a streamed answer has been passed to the client: the command can't be sent again.
  virtual void streamingStarted() = 0;
  // An engine's status message for the running send. The meaning of `level` depends on the topic; the module
  // ignores it.
  virtual void statusReported(StatusTopic topic, double level) = 0;
  // The send that is out has ended. `took`: seconds since the send. `final`: the client has its final answer,
  // so the module takes no further action. `usage` and `report` may be null.
  virtual void sendFinished(Outcome outcome, double took, bool final, const ResourceUsage* usage,
                            const LoadReport* report) = 0;
  // The client has withdrawn the command: no answer is expected. A running send still ends with
  // sendFinished().
  virtual void withdrawn() = 0;
  // No answer can be given after `deadline`, as when the host shuts down. A later deadline has no effect.
  virtual void shortenDeadline(double deadline) = 0;
};

// The module's actions, carried out by the host. They are called from within calls on the module and on its
// command handles. The module is not reentrant: an action must not call back into it.
class ActionSink {
 public:
  virtual ~ActionSink() = default;
  // Sends the command to an engine; the host reports the end by Command::sendFinished(). `timeout`: seconds,
  // after which the send ends as timedOut; 0: the command's deadline alone. `beginBy`: a send of which
  // nothing has been written by then must not begin any more and ends as notStarted; infinite: no limit.
  virtual void send(Command& command, uint32_t engine, double timeout, double beginBy) = 0;
  // Priority, 0 (lowest) to 3, and memory grant in MB (0: none) of the next send, or of the running one.
  virtual void setPriorityAndMemory(Command& command, int priority, double memoryMb) = 0;
  // Asks the engine to stop a running send. `sendIndex` counts the command's sends from 0.
  virtual void cancel(Command& command, int sendIndex) = 0;
  // Final answer: shed; a retry by the client does no harm. `retryAfter`: seconds that it should wait; 0:
  // unspecified.
  virtual void shed(Command& command, double retryAfter) = 0;
  // Final answer: failed; the command may have run.
  virtual void fail(Command& command) = 0;
  // Asks an engine for a load report, answered by Policy::probeFinished().
  virtual void probe(uint32_t engine) = 0;
  // Asks for the engine list and for its changes from then on.
  virtual void requestEngineList() = 0;
  // Requests advanceTo() and decide() at that time.
  virtual void scheduleWakeUp(double time) = 0;
  // A line for operators, at level info, without a line break.
  virtual void log(const std::string& line) = 0;
  // Outlier detection has ejected an engine or put it back in service.
  virtual void ejectionChanged(uint32_t /*engine*/, bool /*ejected*/) {}
};

// A command that should make room for one within its guarantee.
struct Preemption {
  Command* command = nullptr;  // null: none
  bool cancel = false;  // cancel its send, if the command may be sent again; else only lower its priority
};

// Selects the next command in place of the module's own queues where budgets are set (src/budget). Work
// passed to it is the module's corrected estimate. The choice of engine, retries and shedding stay with the
// module.
class BudgetScheduler {
 public:
  virtual ~BudgetScheduler() = default;
  virtual void advanceTo(double now) = 0;
  // A command has been submitted. It is known until remove().
  virtual void add(Command& command, const Arrival& arrival) = 0;
  // The command waits to be sent; `again`: not for the first time. `work`: core-seconds.
  virtual void enqueue(Command& command, double work, double memoryMb, bool again) = 0;
  // The command waits no longer: it is sent or has ended.
  virtual void dequeue(Command& command) = 0;
  // The command to send next, of those enqueued; null: none at this time.
  virtual Command* selectNext() = 0;
  // The selected command was not sent: no engine had room, or it was not admitted. Its queue is tried
  // again after about `wait` seconds.
  virtual void postpone(Command& command, double wait) = 0;
  // A send of the command is out, until sendFinished().
  virtual void sendStarted(Command& command) = 0;
  // A send has ended. `billed`: the work that the engine reported, in core-seconds; 0: unknown.
  virtual void sendFinished(Command& command, double billed) = 0;
  // The command has ended, and so have its sends.
  virtual void remove(Command& command) = 0;
  // Whether, when the command was last queued, a guarantee on its path (tenant, users, profile) covered all
  // commands queued there: such commands are shed last.
  virtual bool isGuaranteed(Command& command) = 0;
  // A running command that should make room for one within its guarantee.
  virtual Preemption selectPreemption() = 0;
  // The time from which selectNext() may give another result.
  virtual double nextWakeUp() = 0;
};

// The decision module of one gateway process.
class Policy {
 public:
  virtual ~Policy() = default;
  // Sets the current time, which must not go back.
  virtual void advanceTo(double now) = 0;
  // Takes a command. Throws std::runtime_error if its profile is not in the settings.
  virtual std::shared_ptr<Command> submit(const Arrival& arrival) = 0;
  // Takes a complete list of engines, or changes to it; rows are ignored for EngineListKind::error, after
  // which the module requests the list again.
  virtual void updateEngines(EngineListKind kind, const std::vector<EngineRecord>& rows) = 0;
  // A probe has ended. `report` may be null.
  virtual void probeFinished(uint32_t engine, Outcome outcome, const LoadReport* report) = 0;
  // Acts on what has been reported.
  virtual void decide() = 0;
};

// Creates the module. `seed` makes its random choices reproducible. `actions` and `budgetScheduler` must
// outlive the policy and its commands. Without a budget scheduler no budgets are enforced.
std::unique_ptr<Policy> createPolicy(const Settings& settings, uint64_t seed, ActionSink& actions,
                                     BudgetScheduler* budgetScheduler = nullptr);

}  // namespace elmcleat
