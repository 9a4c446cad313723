// The interface of the decision module (src/policy.cpp): what it is told and what it may do.
//
// Whoever hosts the module opens one Gateway a process, tells it the time with at() before anything else that
// happens then, tells it what happens, and calls settle() when all that happened at that time has been told.
// take() gives a handle; all that happens to a command later is a call on its handle. The module acts through
// the Outlet. Times are seconds; no type here decides anything.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace elmcleat {

enum class Effect { replayable, uniqued, nonReplayable };
enum class Group { all, zone, cell };
enum class ShortMemory { lineUp, cut, overcommit };
enum class Outcome { answered, error, full, expired, connectFailed, reset, cancelled, unused };
enum class NodeState { inService, draining, gone };
enum class ListKind { full, changes, error };
enum class Topic { progress, spills, waits };

struct Profile {
  std::string name;
  Effect effect = Effect::replayable;
  Group group = Group::all;
  double memorySpan = 0;  // how long a repeat of a uniqued command is known
  double target = 0, targetStretch = 0, clientTimeout = 0;
  double benefit = 0, lateShare = 0;  // what an answer is worth, and the part of it when late
  bool ordered = false, load = false, yields = false;
  int threads = 1;
  std::vector<std::string> zonesOpen, kindsOpen;  // empty: any
};
struct Tenant {
  std::string name;
  double share = 1, quota = 0;  // quota: commands a second of all gateways within the share; 0: none
};
struct Kind {
  std::string name;
  double cores = 1, memoryMb = 0;
};
struct Settings {
  int gateways = 1, ordinal = -1;  // the latter: which of them this is, from 0; below 0: not told
  std::string zone;
  std::vector<Profile> profiles;
  std::vector<Tenant> tenants;
  std::vector<Kind> kinds;
  double overShareWorth = 1, crossZoneCharge = 0;
  double drainGrace = 0, coldFrom = 1, coldTime = 0, fallMultiple = 1, fallTime = 0;
  double keyQuiet = 0;
  double furtherSpan = 0, furtherFree = 0, furtherShare = 0;  // budget of further sends; span 0: none
  int maxSends = 1;
  bool cancel = false, probing = false, retryAfter = false, grants = false, priorities = false;
  bool askForList = false;
  double maxRetryAfter = 0, maxGrantShare = 1;
  ShortMemory shortMemory = ShortMemory::lineUp;
};

// A load report: what an engine says of itself; absent figures were not reported.
struct Report {
  std::optional<double> inHand, waiting, utilisation, memoryGranted, disksBusy;
};
struct Bill {
  double work = 0, memoryMb = 0;  // what a command needed
};
struct NodeRow {
  uint32_t id = 0;
  std::string zone, kind;
  int cell = 0;
  NodeState state = NodeState::inService;
  std::optional<double> startedAt;
  std::optional<int> place = {};  // of this gateway among those that use it; none: its ordinal among all
};
struct Arrival {
  std::string profile, tenant;
  uint64_t tables = 0;  // its group of tables
  std::optional<uint64_t> key;
  double work = 0, memoryMb = 0;        // estimates; 0: none
  double timeLeft = 0;                  // until the client gives up
  std::vector<std::string> users = {};  // below the tenant, where budgets are set
};

class Command {  // the handle
 public:
  virtual ~Command() = default;
  virtual void opened() = 0;  // a streamed answer has begun
  virtual void note(Topic topic, double level) = 0;
  virtual void outcome(Outcome what, double took, bool final, const Bill* bill, const Report* report) = 0;
  virtual void withdrawn() = 0;
  virtual void endsBy(double at) = 0;  // the host shuts down: no answer can be given after that
};

class Outlet {
 public:
  virtual ~Outlet() = default;
  // `beginBy`: a send of which nothing has gone out by then must not begin any more (outcome: unused).
  virtual void send(Command& command, uint32_t node, double timeout, double beginBy) = 0;
  virtual void terms(Command& command, int priority, double memoryMb) = 0;
  virtual void cancel(Command& command, int sendNo) = 0;
  virtual void shed(Command& command, double retryAfter) = 0;
  virtual void fail(Command& command) = 0;
  virtual void probe(uint32_t node) = 0;
  virtual void followList() = 0;
  virtual void wake(double at) = 0;
  virtual void log(const std::string& line) = 0;
  virtual void rests(uint32_t, bool) {}  // a node has been found unfit, or fit again
};

// Who may start now, and who comes first, where budgets are set (src/budget). The module then asks it at its turns
// in place of its own queues; what it costs is the module's corrected estimate. It decides nothing else: which
// engine, whether again and what is turned away stay the module's. Without it the module decides as ever.
struct GivesWay {
  Command* command = nullptr;  // none: nobody has to
  bool cancel = false;         // it may be cancelled and go again later; else its priority is lowered
};
class Rights {
 public:
  virtual ~Rights() = default;
  virtual void at(double now) = 0;
  virtual void take(Command& command, const Arrival& arrival) = 0;
  virtual void hold(Command& command, double work, double memoryMb, bool again) = 0;  // it waits for its turn
  virtual void unhold(Command& command) = 0;                                          // no longer
  virtual Command* next() = 0;                              // whose turn it is, of those that are held
  virtual void lost(Command& command, double wait) = 0;     // it got no place, or lost its draw
  virtual void started(Command& command) = 0;               // a send of it is out
  virtual void ended(Command& command, double billed) = 0;  // no longer; its work if an engine told it, or 0
  virtual void forget(Command& command) = 0;                // it is over
  virtual bool within(Command& command) = 0;                // within what is guaranteed: shed last
  virtual GivesWay givesWay() = 0;                          // what runs and should make room for a guarantee
  virtual double wakes() = 0;                               // when next() may say something else
};

class Gateway {
 public:
  virtual ~Gateway() = default;
  virtual void at(double now) = 0;
  virtual std::shared_ptr<Command> take(const Arrival& arrival) = 0;
  virtual void list(ListKind kind, const std::vector<NodeRow>& rows) = 0;
  virtual void probed(uint32_t node, Outcome what, const Report* report) = 0;
  virtual void settle() = 0;
};

// `rights` must outlive the gateway and its commands; none: no budgets are set.
std::unique_ptr<Gateway> openGateway(const Settings& settings, uint64_t seed, Outlet& outlet,
                                     Rights* rights = nullptr);

}  // namespace elmcleat
