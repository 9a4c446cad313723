// The interface of the decision module (src/policy.cpp): what it is told and what it may do.
//
// Whoever hosts the module creates one Policy a process, tells it the time with advanceTo() before anything else that
// happens then, tells it what happens, and calls decide() when all that happened at that time has been told.
// submit() gives a handle; all that happens to a command later is a call on its handle. The module acts through
// the ActionSink. Times are seconds; no type here decides anything.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace elmcleat {

enum class RetrySafety { replayable, deduplicated, nonReplayable };
enum class DeduplicationScope { all, zone, cell };
enum class MemoryShortagePolicy { queue, reduceGrant, overcommit };
enum class Outcome { answered, error, overloaded, timedOut, connectFailed, reset, cancelled, notStarted };
enum class EngineState { inService, draining, removed };
enum class EngineListKind { full, delta, error };
enum class StatusTopic { progress, spilling, queued };

struct Profile {
  std::string name;
  RetrySafety retrySafety = RetrySafety::replayable;
  DeduplicationScope deduplicationScope = DeduplicationScope::all;
  double deduplicationWindow = 0;  // how long a repeat of a uniqued command is known
  double latencyTarget = 0, latencyTargetStretch = 0, clientTimeout = 0;
  double benefit = 0, lateBenefitShare = 0;  // what an answer is worth, and the part of it when late
  bool ordered = false, bulkLoad = false, yieldsToBulkLoads = false;
  int threads = 1;
  std::vector<std::string> allowedZones, allowedKinds;  // empty: any
};
struct Tenant {
  std::string name;
  double share = 1, quota = 0;  // quota: commands a second of all gateways within the share; 0: none
};
struct EngineKind {
  std::string name;
  double cores = 1, memoryMb = 0;
};
struct Settings {
  int gatewayCount = 1, ordinal = -1;  // the latter: which of them this is, from 0; below 0: not told
  std::string zone;
  std::vector<Profile> profiles;
  std::vector<Tenant> tenants;
  std::vector<EngineKind> engineKinds;
  double overShareBenefitFactor = 1, crossZoneCost = 0;
  double drainGracePeriod = 0, coldCapacity = 1, coldDuration = 0, coldOverloadFactor = 1,
         coldOverloadWindow = 0;
  double keyQuietPeriod = 0;
  double retryBudgetWindow = 0, retryBudgetMinimum = 0,
         retryBudgetRatio = 0;  // budget of further sends; span 0: none
  int maxSends = 1;
  bool cancelSupported = false, probingSupported = false, retryAfterSupported = false,
       memoryGrantsSupported = false, prioritiesSupported = false;
  bool engineListOnRequest = false;
  double maxRetryAfter = 0, maxMemoryGrantShare = 1;
  MemoryShortagePolicy memoryShortagePolicy = MemoryShortagePolicy::queue;
};

// A load report: what an engine says of itself; absent figures were not reported.
struct LoadReport {
  std::optional<double> inFlight, queued, utilisation, memoryGranted, diskUtilisation;
};
struct ResourceUsage {
  double work = 0, memoryMb = 0;  // what a command needed
};
struct EngineRecord {
  uint32_t id = 0;
  std::string zone, kind;
  int cell = 0;
  EngineState state = EngineState::inService;
  std::optional<double> startedAt;
  std::optional<int> rank = {};  // of this gateway among those that use it; none: its ordinal among all
};
struct Arrival {
  std::string profile, tenant;
  uint64_t tableGroup = 0;  // its group of tables
  std::optional<uint64_t> orderingKey;
  double estimatedWork = 0, estimatedMemoryMb = 0;  // estimates; 0: none
  double remainingTime = 0;                         // until the client gives up
  std::vector<std::string> users = {};              // below the tenant, where budgets are set
};

class Command {  // the handle
 public:
  virtual ~Command() = default;
  virtual void streamingStarted() = 0;  // a streamed answer has begun
  virtual void statusReported(StatusTopic topic, double level) = 0;
  virtual void sendFinished(Outcome what, double took, bool final, const ResourceUsage* usage,
                            const LoadReport* report) = 0;
  virtual void withdrawn() = 0;
  virtual void shortenDeadline(double at) = 0;  // the host shuts down: no answer can be given after that
};

class ActionSink {
 public:
  virtual ~ActionSink() = default;
  // `beginBy`: a send of which nothing has gone out by then must not begin any more (outcome: notStarted).
  virtual void send(Command& command, uint32_t node, double timeout, double beginBy) = 0;
  virtual void setPriorityAndMemory(Command& command, int priority, double memoryMb) = 0;
  virtual void cancel(Command& command, int sendNo) = 0;
  virtual void shed(Command& command, double retryAfter) = 0;
  virtual void fail(Command& command) = 0;
  virtual void probe(uint32_t node) = 0;
  virtual void requestEngineList() = 0;
  virtual void scheduleWakeUp(double at) = 0;
  virtual void log(const std::string& line) = 0;
  virtual void ejectionChanged(uint32_t, bool) {}  // a node has been found unfit, or fit again
};

// Who may start now, and who comes first, where budgets are set (src/budget). The module then asks it at its turns
// in place of its own queues; what it costs is the module's corrected estimate. It decides nothing else: which
// engine, whether again and what is turned away stay the module's. Without it the module decides as ever.
struct Preemption {
  Command* command = nullptr;  // none: nobody has to
  bool cancel = false;         // it may be cancelled and go again later; else its priority is lowered
};
class BudgetScheduler {
 public:
  virtual ~BudgetScheduler() = default;
  virtual void advanceTo(double now) = 0;
  virtual void add(Command& command, const Arrival& arrival) = 0;
  virtual void enqueue(Command& command, double work, double memoryMb,
                       bool again) = 0;                      // it waits for its turn
  virtual void dequeue(Command& command) = 0;                // no longer
  virtual Command* selectNext() = 0;                         // whose turn it is, of those that are held
  virtual void postpone(Command& command, double wait) = 0;  // it got no place, or lost its draw
  virtual void sendStarted(Command& command) = 0;            // a send of it is out
  virtual void sendFinished(Command& command,
                            double billed) = 0;     // no longer; its work if an engine told it, or 0
  virtual void remove(Command& command) = 0;        // it is over
  virtual bool isGuaranteed(Command& command) = 0;  // within what is guaranteed: shed last
  virtual Preemption selectPreemption() = 0;        // what runs and should make room for a guarantee
  virtual double nextWakeUp() = 0;                  // when selectNext() may say something else
};

class Policy {
 public:
  virtual ~Policy() = default;
  virtual void advanceTo(double now) = 0;
  virtual std::shared_ptr<Command> submit(const Arrival& arrival) = 0;
  virtual void updateEngines(EngineListKind kind, const std::vector<EngineRecord>& rows) = 0;
  virtual void probeFinished(uint32_t node, Outcome what, const LoadReport* report) = 0;
  virtual void decide() = 0;
};

// `budgetScheduler` must outlive the policy and its commands; none: no budgets are set.
std::unique_ptr<Policy> createPolicy(const Settings& settings, uint64_t seed, ActionSink& actions,
                                     BudgetScheduler* budgetScheduler = nullptr);

}  // namespace elmcleat
