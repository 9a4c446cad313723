// The decisions of elmcleat, all of them. The host creates one policy (createPolicy, at the end), tells it the
// time and what happens, and calls decide(). Interface: src/policy.h; reasons and sources: docs/design.md.
// The ordinary path is DESIGN's: nested queues (tenant, then profile), FIFO leaves, round-robin turns paid in
// work, a start on the least-loaded engine while our threads a core stay under the mark, by chance above it.
// Beside it stand six mechanisms:
//   1. health       nodes that fail or fall silent while others answer rest, and come back by trials
//   2. cold start   a node that has just started gets no more work than our part of its budget
//   3. shedding     what can't be in time, or is worth least for its work, ends early under overload
//   4. estimates    corrected by bills and latencies; grants, priorities, time-outs follow; memory is a bound
//   5. the others   many gateways: their part by our sends to the whole fleet, by reports, by nodes of ours
//   6. held groups  who would wait for a load on its group of tables keeps off that load's node
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

// --- tuned values (seconds, threads a core, multiples)
constexpr double kMark = 2, kUnseen = 0.3, kEmptyUse = 1.8;  // threads a core; part off where few sends tell
constexpr double kUseCut = 0.85, kReportFresh = 0.5;         // a fresh report under the cut: under the mark
constexpr double kWaitLow = 0.020, kWaitHigh = 0.100;        // a loser's wait, for usual work;
constexpr double kWaitLeast = 0.2, kWaitMost = 3;  // it grows with the work: draws are paid as turns are
constexpr double kQuantum = 0.05, kCredit = 40;    // work that a turn pays for; most turns put by
constexpr double kAnswers = 20, kPrior = 3;        // answers for the fleet's latency; its weight at a node
constexpr double kFar = 1.6, kFarUnseen = 0.3, kPressureHold = 1;  // latency that shows pressure; its hold
constexpr double kRatioCap = 4;  // no latency counts as more: a bad plan says little
constexpr double kMarkFall = 0.8, kMarkRise = 0.25, kMarkFree = 6;  // how the mark moves under pressure
constexpr double kVeryFar = 2.4, kMarkLeast = 0.75;                 // and below its value, if very far
constexpr double kDense = 2, kLeastPart = 0.125;  // sends a second that tell how a node is; least part of all
constexpr double kSpare = 1.3, kOver = 1;         // a node's part of our sends; what sends beyond it weigh
constexpr double kBand = 0.5;  // how far the first in rank may stand above the least loaded
constexpr double kFarZone = 1, kApart = 1, kLoadSide = 0.33;  // a crossing; the wrong side of a rank; sides
constexpr double kReportFades = 3, kSweep = 0.05, kClock = 1e-6;  // and each node is probed as often; clocks
constexpr double kMemoryUse = 0.85, kOwnGrant = 1.25, kGrantSpare = 1.4;  // memory to fill; grants
constexpr double kSafeCapacity = 0.4, kLearn = 0.02;  // of a cold node's cores; weight of one more in a mean
constexpr double kByTurns = 0.08, kTurnsUsed = 0.5;  // less of all gateways takes turns; the use made of them
constexpr double kSlots = 2, kSlotPart = 0.25, kHolders = 2;  // in a window; of its budget each; who share it
constexpr double kHomeSpan = 2, kHomeLeast = 8, kAway = 2;    // own nodes: by sends in it; fewest; others
constexpr double kRestFirst = 1, kRestLast = 8, kFullPause = 1;   // rests, doubled at each relapse
constexpr double kFailSpan = 4, kFailShare = 0.2, kFailLead = 2;  // failures that blame a node
constexpr double kQuiet = 0.5, kTrials = 3;  // nothing is overdue sooner; failures to blame, trials to clear
constexpr double kFurther = 2, kTimeoutRuns = 3;  // further sends of a command; a time-out, in usual runs
constexpr double kBacklog = 0.2, kOverloadHold = 0.5;  // part of the slack for the backlog; overload lasts on
constexpr double kTooLate = 0.8, kGroups = 64;  // part of the run at rest that must fit; queues of loads

// --- types
struct PolicyImpl;
struct CommandState;

struct ProfileStatistics {  // one row a profile: what the module has learnt of it
  const Profile* profile = nullptr;
  double workRatio = 1, memoryRatio = 1;  // bills over estimates
  double usualWork = 0;                   // mean work of a command
  double best = 1;                        // latency at rest over the corrected estimate
};

struct
    DeficitRoundRobinQueue {  // a queue of the tree: turns among its children and, as one more child, its own FIFO
  DeficitRoundRobinQueue* parent = nullptr;
  std::string name;
  double weight = 1, deficit = 0, ownDeficit = 0, wakeAt = 0;
  std::vector<std::unique_ptr<DeficitRoundRobinQueue>> children;
  size_t cursor = 0;
  std::deque<std::shared_ptr<CommandState>> fifo;

  bool holds() const { return wakes() < HUGE_VAL; }
  double wakes() const {  // when the next leaf that holds something draws
    double at = fifo.empty() ? HUGE_VAL : wakeAt;
    for (auto& c : children)
      at = std::min(at, c->wakes());
    return at;
  }
  DeficitRoundRobinQueue& child(const std::string& who, double share) {
    for (auto& c : children)
      if (c->name == who)
        return *c;
    DeficitRoundRobinQueue& made = *children.emplace_back(std::make_unique<DeficitRoundRobinQueue>());
    made.parent = this, made.name = who, made.weight = share;
    return made;
  }
  // Deficit round-robin: the queue whose turn it is, or none. Who has credit goes on; when none has, all that
  // hold something get as many quanta by weight as give one credit: who waits for a draw loses no service.
  DeficitRoundRobinQueue* next(double now) {
    size_t slots = children.size() + 1;
    auto child = [&](size_t i) { return i < children.size() ? children[i].get() : nullptr; };
    auto live = [&](size_t i) {
      return (child(i) ? child(i)->wakes() : fifo.empty() ? HUGE_VAL : wakeAt) <= now;
    };
    auto credit = [&](size_t i) -> double& { return child(i) ? child(i)->deficit : ownDeficit; };
    auto quantum = [&](size_t i) { return kQuantum * (child(i) ? child(i)->weight : 1.0); };
    for (int pass = 0; pass < 2; ++pass) {
      double rounds = -1;
      for (size_t step = 0; step < slots; ++step) {
        size_t i = (cursor + step) % slots;
        if (!live(i))
          continue;
        if (credit(i) > 0)
          return cursor = i, child(i) ? child(i)->next(now) : this;
        double need = std::floor(-credit(i) / quantum(i)) + 1;
        rounds = rounds < 0 ? need : std::min(rounds, need);
      }
      if (rounds < 0)
        return nullptr;
      for (size_t i = 0; i < slots; ++i)
        if (child(i) ? child(i)->holds() : !fifo.empty())
          credit(i) = std::min(credit(i) + rounds * quantum(i), kCredit * quantum(i));
      cursor = (cursor + 1) % slots;
    }
    return nullptr;
  }
  void pay(double work) {
    ownDeficit -= work;
    for (DeficitRoundRobinQueue* turn = this; turn->parent; turn = turn->parent)
      turn->deficit -= work;
  }
};

struct TrackedEngine {
  uint32_t id = 0;
  std::string zone, kind;
  int cell = 0, place = -1;  // the latter: of this gateway among those that use it
  double cores = 1, memoryMb = 0;
  bool listed = false, gone = false;
  std::optional<double> startedAt;
  std::vector<std::shared_ptr<CommandState>> out;
  double threads = 0, memory = 0;  // of our sends there
  SlidingWindowSum took{1}, rest{1}, fails{kFailSpan}, oks{kFailSpan}, coldWork{1};
  std::vector<double> credit;     // by profile: sends that are due to it as its part of ours
  double stretch = 1, limit = 1;  // latency, over the best; the mark's multiple
  double pressedUntil = -1, idleUntil = -1, fullUntil = -1;
  double others = 0, reportedAt = -HUGE_VAL;  // threads of the other gateways there, by its last report
  int64_t slot = -1;                          // of a cold one, the last that was ours,
  double slotWork = 0;                        // and what we sent in it
  double homeRank = 0;                        // among the nodes of this gateway
  bool home = true;
  double restUntil = 0, restTime = kRestFirst, pause = kFullPause, wellSince = 0;
  int trials = 0, late = 0;  // answered ones; sends overdue now
  bool pressed = false, resting = false, trialOut = false;
  bool over(double now) {
    return gone && out.empty() && coldWork.upperBound(now) + fails.upperBound(now) <= 0;
  }
};

struct KeyQueue {  // commands of one key, in the order taken
  std::deque<std::shared_ptr<CommandState>> line;
  double quietUntil = 0;
};

struct CommandState final : Command, std::enable_shared_from_this<CommandState> {
  CommandState(PolicyImpl& owner, ProfileStatistics& its) : core(owner), row(its) {}
  void streamingStarted() override { streaming = true; }
  void statusReported(StatusTopic topic, double level) override;
  void sendFinished(Outcome what, double took, bool final, const ResourceUsage* usage,
                    const LoadReport* report) override;
  void withdrawn() override;
  void shortenDeadline(double at) override { timeoutAt = std::min(timeoutAt, at); }

  const Profile& profile() const { return *row.profile; }
  double run() const { return work / profile().threads; }  // on its threads, alone
  double atRest() const { return run() * row.best; }       // latency at rest

  PolicyImpl& core;
  ProfileStatistics& row;
  DeficitRoundRobinQueue* leaf = nullptr;
  uint64_t tables = 0;
  std::optional<uint64_t> key;
  double estimate = 0, estimateMb = 0, work = 0, memory = 0, grant = 0;
  double targetAt = 0, timeoutAt = 0, worth = 0;
  double sentAt = 0, ranAt = -1;  // ranAt: first send that may have run
  TrackedEngine* node = nullptr;  // where a send is out
  std::optional<uint32_t> avoid;  // where the last one failed
  std::string ranZone;            // and where the first ran, as that node may have gone
  int sends = 0, ranCell = 0;
  bool held = false, over = false, streaming = false, trial = false, cancelled = false;
  bool lowered = false;  // to the least priority, since it borrows: slow by our own doing, blames no node
};

double mix(uint32_t node, uint64_t group) {  // rendezvous hash, in (0, 1)
  uint64_t h = (group + 0x9e3779b97f4a7c15ULL) * 0xbf58476d1ce4e5b9ULL ^ (node * 0x94d049bb133111ebULL);
  h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9ULL;
  h = (h ^ (h >> 27)) * 0x94d049bb133111ebULL;
  return (static_cast<double>((h ^ (h >> 31)) >> 11) + 0.5) * 0x1p-53;
}

struct PolicyImpl final : Policy {
  PolicyImpl(const Settings& given, uint64_t seed, ActionSink& to, BudgetScheduler* over)
      : settings(given), chance(seed), actions(to), budgetScheduler(over), salt(seed) {
    rows.resize(settings.profiles.size());
    for (size_t i = 0; i < rows.size(); ++i)
      rows[i].profile = &settings.profiles[i];
    for (auto& tenant : settings.tenants)
      quotas += tenant.quota;
    further = takenInSpan = SlidingWindowSum(std::max(settings.retryBudgetWindow, 0.001));
    loadsHold = std::ranges::any_of(rows, [](ProfileStatistics& r) { return r.profile->yieldsToBulkLoads; });
  }

  void advanceTo(double time) override {
    now = time, openedAt = openedAt < 0 ? now : openedAt;
    if (budgetScheduler)
      budgetScheduler->advanceTo(now);
  }
  double seen() const { return std::clamp(now - openedAt, 5.0, 20.0); }  // the span of taken and doneLong
  double share() const { return 1.0 / std::max(1, settings.gatewayCount); }
  double part() const { return std::clamp(trafficPart, share(), 1.0); }  // of all work done, at least
  bool cold(const TrackedEngine& node) const {
    return node.startedAt && now < *node.startedAt + settings.coldDuration;
  }
  // Threads a core, of all gateways if the others run as many there as we do, or as it reported.
  double load(const TrackedEngine& node) const {
    return node.threads / able(node) / std::max(part(), kLeastPart) + others(node) - usualOthers();
  }
  double able(const TrackedEngine& node) const {  // cores; of a cold node the part that it surely has by now
    double age = cold(node) ? std::max(0.0, now - *node.startedAt) / settings.coldDuration : 1;
    return node.cores * (settings.coldCapacity + (1 - settings.coldCapacity) * age);
  }
  // What is left of a node's report.
  double tells(const TrackedEngine& node) const { return std::exp((node.reportedAt - now) / kReportFades); }
  double slow(const TrackedEngine& node) const {
    return node.cores / able(node);
  }  // a run there, over a warm one's
  void log(const char* format, auto... figures) {
    char line[160];
    std::snprintf(line, sizeof line, format, figures...);
    actions.log(line);
  }

  // --- commands in and out
  std::shared_ptr<Command> submit(const Arrival& arrival) override {
    auto row =
        std::ranges::find_if(rows, [&](ProfileStatistics& r) { return r.profile->name == arrival.profile; });
    if (row == rows.end())
      throw std::runtime_error("a command of an unknown profile: " + arrival.profile);
    auto cmd = std::make_shared<CommandState>(*this, *row);
    const Profile& profile = *row->profile;
    cmd->tables = arrival.tableGroup;
    if (profile.ordered)
      cmd->key = arrival.orderingKey;
    cmd->estimate = arrival.estimatedWork, cmd->estimateMb = arrival.estimatedMemoryMb,
    cmd->worth = profile.benefit;
    double guess = row->usualWork > 0 ? row->usualWork : profile.latencyTarget * profile.threads / 2;
    cmd->work = std::max(arrival.estimatedWork > 0 ? arrival.estimatedWork * row->workRatio : guess, 1e-4);
    auto drift = [](double& mean, double value) { mean += (value - mean) * (mean > 0 ? kLearn : 1); };
    cmd->memory = arrival.estimatedMemoryMb * row->memoryRatio;
    cmd->targetAt = now + profile.latencyTarget + profile.latencyTargetStretch * cmd->run();
    cmd->timeoutAt = now + arrival.remainingTime;
    double mb = cmd->memory / profile.threads - usualMb;
    if (!hopeless(*cmd))  // figures that are out of all range say nothing of what is usual
      drift(row->usualWork, cmd->work), drift(usualWork, cmd->work), drift(usualRun, cmd->run()),
          usualMb += mb * std::min(1.0, kLearn * cmd->work / usualWork);
    taken.add(now, 1), takenInSpan.add(now, 1);
    if (budgetScheduler)
      budgetScheduler->add(*cmd, arrival);
    else
      cmd->leaf = &leafFor(arrival, *cmd);
    if (cmd->key)
      keys[*cmd->key].line.push_back(cmd);
    else
      hold(*cmd, false);
    held.push_back(cmd);
    return cmd;
  }

  DeficitRoundRobinQueue& leafFor(const Arrival& arrival, const CommandState& cmd) {
    double due = 1;
    for (auto& tenant : settings.tenants)
      if (tenant.name == arrival.tenant)
        due = std::max(tenant.share * double(settings.tenants.size()), 0.01);
    DeficitRoundRobinQueue& leaf = root.child(arrival.tenant, due).child(cmd.profile().name, 1);
    if (!cmd.profile().bulkLoad)
      return leaf;  // loads, one more name: who waits for its group holds up no other
    return leaf.child(std::to_string(cmd.tables % uint64_t(kGroups)), 1);
  }

  void hold(CommandState& cmd, bool first) {
    cmd.held = true;
    if (budgetScheduler)
      return budgetScheduler->enqueue(cmd, cmd.work, cmd.memory, first);
    for (DeficitRoundRobinQueue* at = cmd.leaf; at->parent && !at->holds(); at = at->parent)
      at->deficit = at->ownDeficit = 0;  // an empty queue keeps neither debt nor credit
    auto& fifo = cmd.leaf->fifo;
    fifo.insert(first ? fifo.begin() : fifo.end(), cmd.shared_from_this());
  }

  void unhold(CommandState& cmd) {
    cmd.held = false;
    if (budgetScheduler)
      return budgetScheduler->dequeue(cmd);
    std::erase_if(cmd.leaf->fifo, [&](auto& other) { return other.get() == &cmd; });
  }

  // The final answer, at once. A shed says that a retry does no harm, so it is given only where that holds:
  // never run, replayable, or uniqued where every node knows the repeat (rule 2).
  void end(CommandState& cmd) {
    if (cmd.over)
      return;
    auto self = cmd.shared_from_this();
    if (cmd.held)
      unhold(cmd);
    cmd.over = true;
    const Profile& profile = cmd.profile();
    bool known = profile.retrySafety == RetrySafety::deduplicated &&
                 profile.deduplicationScope == DeduplicationScope::all;
    if (cmd.ranAt < 0 || profile.retrySafety == RetrySafety::replayable || known)
      actions.shed(cmd, settings.retryAfterSupported && overload ? settings.maxRetryAfter : 0);
    else
      actions.fail(cmd);
    close(cmd);
  }

  // Over, and no send without an outcome: its key goes on.
  void close(CommandState& cmd) {
    if (budgetScheduler && cmd.over && !cmd.node)
      budgetScheduler->remove(cmd);
    if (!cmd.over || cmd.node || !cmd.key)
      return;
    std::erase_if(keys[*cmd.key].line, [&](auto& other) { return other.get() == &cmd; });
  }

  void releaseKeys() {  // rule 5: one command of a key at a time, in order, after the quiet time
    std::erase_if(keys, [&](auto& it) { return it.second.line.empty() && it.second.quietUntil <= now; });
    for (auto& [id, key] : keys) {
      if (key.line.empty())
        continue;
      CommandState& first = *key.line.front();
      if (first.held || first.over || first.node || first.sends > 0)
        continue;
      if (key.quietUntil <= now)
        hold(first, false);
      else
        wakeAt(key.quietUntil);
    }
  }

  double worthNow(const CommandState& cmd) const {
    return cmd.worth * (now + kTooLate * cmd.atRest() > cmd.targetAt ? cmd.profile().lateBenefitShare : 1);
  }
  bool hopeless(const CommandState& cmd) const {
    double left = cmd.timeoutAt - now;
    return left < 2 * kSweep || left < kTooLate * cmd.atRest() || worthNow(cmd) <= 0;
  }

  double windowEnd(
      const CommandState& cmd) const {  // of the time in which engines know a repeat, to the safe side
    bool known = cmd.ranAt >= 0 && cmd.profile().retrySafety == RetrySafety::deduplicated;
    return known ? cmd.ranAt + cmd.profile().deduplicationWindow : HUGE_VAL;
  }

  // Rules 2 and 7 and the house rule, asked when a command is held again and once more at its send.
  bool mayGoAgain(const CommandState& cmd) {
    const Profile& profile = cmd.profile();
    if (overload || cmd.sends > kFurther || cmd.sends >= settings.maxSends || cmd.streaming)
      return false;
    if (now + cmd.atRest() > cmd.timeoutAt || worthNow(cmd) <= 0)
      return false;
    if (cmd.ranAt >= 0 && profile.retrySafety == RetrySafety::nonReplayable)
      return false;
    if (now >= windowEnd(cmd))
      return false;
    double budget = settings.retryBudgetMinimum +
                    settings.retryBudgetRatio * takenInSpan.lowerBound(now);  // to the safe side
    return settings.retryBudgetWindow <= 0 || further.upperBound(now) + 1 <= budget;
  }

  void again(CommandState& cmd) {
    if (!mayGoAgain(cmd))
      return end(cmd);
    hold(cmd, true);
    held.push_back(cmd.shared_from_this());
  }

  void seeReport(TrackedEngine& node, const LoadReport* report) {
    if (!report)
      return;
    if (report->inFlight && usualRun > 0)  // in threads, by the usual work of a command over its run
      node.others = std::max(0.0, *report->inFlight * usualWork / usualRun - node.threads),
      node.reportedAt = now;
    if (report->utilisation.value_or(1) < kUseCut)
      node.idleUntil = now + kReportFresh;
    bool busy = report->utilisation.value_or(0) >= kUseCut || report->diskUtilisation.value_or(0) > 0.97;
    if (busy || report->queued.value_or(0) > 0.5)
      press(node);
  }

  void press(TrackedEngine& node) {
    if (!node.pressed)
      node.pressed = true, node.limit = 1;
    node.pressedUntil = now + kPressureHold;
  }

  void learn(CommandState& cmd, double took, const ResourceUsage* usage) {
    ProfileStatistics& row = cmd.row;
    if (usage && usage->work > 0) {
      auto toward = [](double& ratio, double seen) { ratio *= std::pow(std::clamp(seen, .1, 10.), kLearn); };
      if (cmd.estimate > 0)
        toward(row.workRatio, usage->work / cmd.estimate / row.workRatio);
      double raw = cmd.estimateMb * row.memoryRatio;  // by the ratio of now: an old one would swing up
      if (usage->memoryMb > 0 && raw > 0)
        toward(row.memoryRatio, usage->memoryMb / raw);
      cmd.work = usage->work;
    }
    done.add(now, cmd.work), doneLong.add(now, cmd.work);
    double ratio = took / cmd.run();  // the best: a low quantile of latency over work
    row.best = std::clamp(row.best * (ratio < row.best ? 0.97 : 1.005), 0.4, 1.5);
  }

  // --- engines
  void updateEngines(EngineListKind kind, const std::vector<EngineRecord>& given) override {
    if (kind == EngineListKind::error)
      return askAt = now + chance.uniformBetween(0.5, 1.0), wakeAt(askAt);
    if (!std::exchange(listSeen, true) && settings.engineListOnRequest)
      actions.requestEngineList();
    if (kind == EngineListKind::full)
      for (auto& [id, node] : nodes)
        node->listed = false, node->gone = true;
    for (auto& row : given) {
      auto& slot = nodes[row.id];
      if (!slot) {
        slot = std::make_unique<TrackedEngine>();
        slot->id = row.id, slot->home = false;
        for (size_t i = 0; i < rows.size(); ++i)
          slot->credit.push_back(chance.uniformBetween(-2, 0));
        slot->coldWork = SlidingWindowSum(std::max(settings.coldOverloadWindow * 1.1, 0.001));
      }
      TrackedEngine& node = *slot;
      node.zone = row.zone, node.kind = row.kind, node.cell = row.cell;
      for (auto& known : settings.engineKinds)
        if (known.name == row.kind)
          node.cores = std::max(known.cores, 1.0), node.memoryMb = known.memoryMb;
      node.homeRank = std::log(mix(row.id, salt)) / node.cores;
      node.listed = row.state == EngineState::inService;  // rule 3: at once, whatever the grace
      node.gone = row.state == EngineState::removed, node.place = row.rank.value_or(settings.ordinal);
      if (std::exchange(node.startedAt, row.startedAt) != row.startedAt)
        node.restUntil = std::min(node.restUntil, now);
    }
    chooseHome();
  }

  // The nodes that this gateway sends to first: as many as its sends keep warm, others in each gateway.
  void chooseHome() {
    std::vector<TrackedEngine*> own;
    for (auto& [id, node] : nodes) {
      bool up = node->listed && (!node->resting || now >= node->restUntil);
      if (node->home = up && !byTurns(*node); node->home)
        own.push_back(node.get());
    }
    double all = double(own.size());
    homes = std::min(std::max(kHomeLeast, std::round(kHomeSpan * taken.upperBound(now) / seen())), all);
    std::ranges::nth_element(own, own.begin() + int(homes), std::greater{}, &TrackedEngine::homeRank);
    homeCores = 0;
    for (size_t i = 0; i < own.size(); ++i)
      if (own[i]->home = double(i) < homes; own[i]->home)
        homeCores += able(*own[i]);
  }

  void probeFinished(uint32_t id, Outcome, const LoadReport* report) override {
    if (auto found = nodes.find(id); found != nodes.end())
      seeReport(*found->second, report);
  }

  double usualOthers() const {  // what we have out says little of the others where few sends come to a node
    double ours = std::max(threads - turnThreads, 0.0) / std::max(cores - turnCores, 1.0) * (1 / share() - 1);
    return (ours + sparse * told) / (1 + sparse * tellers);
  }
  // Threads a core of the other gateways there: as many as ours at all nodes together (a mark's part may be
  // less than one thread a node), but for what the node reported, which fades.
  double others(const TrackedEngine& node) const {
    double usual = byTurns(node) ? 0 : usualOthers(), fade = tells(node);
    return usual + (node.others / able(node) - usual) * fade;
  }

  double fill(const TrackedEngine& node,
              const CommandState& cmd) const {  // part of its place that a node has in use
    double half = cmd.profile().threads / 2.0;
    double use = (node.threads + half) / able(node) + others(node);
    if (!byTurns(node))
      use += (tellers > 0 ? 1 - sparse : 1) * half / std::max(cores, 1.0) / share();
    use /= kMark * (1 - kUnseen * sparse) * node.limit;
    return threads > 0 ? use : std::min(use, kEmptyUse);  // or a wide command of a small gateway never starts
  }

  bool fits(const TrackedEngine& node,
            const CommandState& cmd) const {  // memory runs short in one step: no chance above it
    double ours = std::min(1.0, part() * (node.pressed ? node.limit : 1));
    if (settings.memoryShortagePolicy == MemoryShortagePolicy::overcommit)
      ours = share();
    double theirs = (node.pressed ? memory + cmd.memory : usualMemory) / std::max(memoryMb, 1.0);
    theirs *= (1 / ours - 1) * (usualOthers() > 0 ? std::max(1.0, others(node) / usualOthers()) : 1);
    if (tellers > 0)
      theirs += sparse / 4 * (others(node) * able(node) * usualMb / node.memoryMb - theirs);
    double use = (node.memory + cmd.memory) / node.memoryMb + (byTurns(node) ? 0 : theirs);
    return node.memoryMb <= 0 || memory <= 0 || use <= kMemoryUse * (1 - kUnseen * sparse);
  }

  bool holdsGroup(const TrackedEngine& node,
                  const CommandState& cmd) const {  // does a load of ours hold its group there?
    return (cmd.profile().yieldsToBulkLoads || cmd.profile().bulkLoad) &&
           std::ranges::any_of(node.out, [&](auto& other) {
             return other->tables == cmd.tables && other->profile().bulkLoad;
           });
  }

  // Rule 4 among many, as 1/N of a cold node's budget is less than a command: in each slot of its time, from
  // its start on, a few known by a hash have all of it. A window touches three slots; a fourth by slow sends.
  bool byTurns(const TrackedEngine& node) const {
    return cold(node) && node.place >= 0 && share() < kByTurns;
  }
  double right(TrackedEngine& node) {
    double budget =
               settings.coldOverloadFactor * settings.coldCapacity * node.cores * settings.coldOverloadWindow,
           span = settings.coldOverloadWindow / kSlots;
    if (!byTurns(node))
      return kSafeCapacity * budget * share() - node.coldWork.upperBound(now);
    if (settings.ordinal < 0 && usualWork > 0)
      budget += 2 * (std::sqrt(budget / usualWork) + 1) * usualWork;
    int64_t slot = int64_t(std::floor((now - *node.startedAt) / span)), holds = 0;
    for (int i = 0; i < int(kHolders); ++i)
      holds += int(mix(node.id, ~uint64_t(slot * int(kHolders) + i)) * settings.gatewayCount) == node.place;
    if (holds == 0 || *node.startedAt + double(slot) * span < openedAt)
      return 0;  // an earlier life had it
    if (std::exchange(node.slot, slot) != slot)
      node.slotWork = 0;
    return kSlotPart * budget / kHolders - node.slotWork;
  }

  bool allowed(TrackedEngine& node, const CommandState& cmd) {
    const Profile& profile = cmd.profile();
    auto open = [](const std::vector<std::string>& names, const std::string& name) {
      return names.empty() || std::ranges::find(names, name) != names.end();
    };
    if (!node.listed || !open(profile.allowedZones, node.zone) || !open(profile.allowedKinds, node.kind))
      return false;
    if (cmd.ranAt >= 0 &&
        profile.retrySafety == RetrySafety::deduplicated) {  // rule 2: inside the group that knows it
      if (profile.deduplicationScope != DeduplicationScope::all && node.zone != cmd.ranZone)
        return false;
      if (profile.deduplicationScope == DeduplicationScope::cell && node.cell != cmd.ranCell)
        return false;
    }
    if (now < node.fullUntil)
      return false;
    if (node.resting) {  // trials: one at a time, of what may run again and is short
      if (now < node.restUntil || node.trialOut)
        return false;
      bool fit = profile.retrySafety == RetrySafety::replayable && cmd.run() <= usualRun && cmd.sends == 0;
      if (!fit && now < node.restUntil + kRestLast)
        return false;
    }
    if (cold(node)) {  // rule 4: our part of the budget, by the usual work of the profile
      bool turns = byTurns(node);
      if (!turns && now < openedAt + settings.coldOverloadWindow)
        return false;  // an earlier life may have sent
      if (std::max(cmd.work, turns ? 0 : cmd.row.usualWork) > right(node))
        return false;
    }
    return fits(node, cmd) && !holdsGroup(node, cmd);
  }

  // The least-loaded engine, or rather the first in its group's rank that stands not far above it.
  // Nodes with a place come before those without; a crossing of zones, where it is charged, counts as load.
  TrackedEngine* pick(CommandState& cmd) {
    std::vector<std::tuple<TrackedEngine*, double, double>>
        choices[2];  // node, load, rank; [1]: with a place
    bool apart = loadsHold && (cmd.profile().bulkLoad || cmd.profile().yieldsToBulkLoads);
    for (auto& [id, node] : nodes) {
      if (!allowed(*node, cmd))
        continue;
      double extra = settings.crossZoneCost > 0 && node->zone != settings.zone ? kFarZone : 0;
      double hash = mix(id, cmd.tables), rank = std::log(hash) / node->cores;
      if (apart && (hash < kLoadSide) != cmd.profile().bulkLoad)
        extra += kApart;  // loads keep to their side
      if (node->resting && evidence() >= kTrials)
        extra -= 1e6;  // a trial that is due is taken
      if (node->home && node->credit[&cmd.row - rows.data()] < 0)
        extra += kOver * sparse;
      if (byTurns(*node))
        extra -= pressure ? kOver : 0;  // a turn comes seldom and passes
      else if (!node->home)
        extra += kAway;
      if (cmd.avoid == id)
        extra += 1e6;
      bool place = !node->pressed || fill(*node, cmd) < 1 || now < node->idleUntil;
      choices[place].push_back({node.get(), load(*node) + extra, rank});
    }
    auto& open = choices[choices[1].empty() ? 0 : 1];
    double least = HUGE_VAL, best = -HUGE_VAL;
    for (auto& [node, load, rank] : open)
      least = std::min(least, load);
    TrackedEngine* first = nullptr;
    for (auto& [node, load, rank] : open)
      if (load <= least + kBand && rank > best)
        first = node, best = rank;
    return first;
  }

  bool start(CommandState& cmd) {
    TrackedEngine* node = pick(cmd);
    double use = node && node->pressed && now >= node->idleUntil ? fill(*node, cmd) : 0;
    if (!node || (use >= 1 && chance.uniform() >= 2 - use))
      return false;
    return send(cmd, *node), true;
  }

  double timeout(const CommandState& cmd, const TrackedEngine& node) const {
    bool last = cmd.sends > kFurther || cmd.sends >= settings.maxSends;  // counted after this send
    if (cmd.profile().retrySafety == RetrySafety::nonReplayable || last || cmd.lowered)
      return 0;
    double usual = cmd.atRest() * std::clamp(node.stretch, 1.0, kRatioCap);
    if (settings.cancelSupported)
      return kTimeoutRuns * usual + 2 * kSweep;  // it frees the node: a bad plan is cut
    if ((overload || node.pressed) && !node.resting)
      return 0;  // it would run on beside its successor
    return std::max({kTimeoutRuns * usual, cmd.targetAt - now - kTimeoutRuns / 2 * usual, 6 * kSweep});
  }

  void send(CommandState& cmd, TrackedEngine& node) {
    unhold(cmd);
    if (budgetScheduler)
      budgetScheduler->sendStarted(cmd);
    cmd.node = &node, cmd.sentAt = now, cmd.grant = cmd.memory, cmd.cancelled = false;
    if (cmd.sends++ > 0)
      further.add(now, 1);
    int priority = 1;
    if (settings.prioritiesSupported) {  // the shorter, the sooner; loads first where others wait for them
      double run = cmd.run() / std::max(usualRun, 1e-6);
      priority = run < 0.5 ? 3 : run < 1.5 ? 2 : run < 4 ? 1 : 0;
      if (cmd.profile().bulkLoad && loadsHold)
        priority = 3;
      cmd.lowered = budgetScheduler && pressure &&
                    !budgetScheduler->isGuaranteed(cmd);  // borrowed: what is guaranteed runs first
      if (cmd.lowered)
        priority = 0;
    }
    double most = node.memoryMb > 0 ? node.memoryMb * settings.maxMemoryGrantShare : HUGE_VAL;
    double grant = settings.memoryGrantsSupported ? std::min(cmd.memory * kGrantSpare, most) : 0;
    if (settings.prioritiesSupported || grant > 0)
      actions.setPriorityAndMemory(cmd, priority, grant);
    if (cold(node))
      node.coldWork.add(now, std::max(cmd.work, cmd.row.usualWork)), node.slotWork += cmd.work;
    if (node.resting)
      cmd.trial = node.trialOut = true;
    node.out.push_back(cmd.shared_from_this());
    memory += cmd.grant;
    threads += cmd.profile().threads, node.threads += cmd.profile().threads, node.memory += cmd.grant;
    for (auto& [id, other] : nodes)
      if (double& credit = other->credit[&cmd.row - rows.data()]; other->home)
        credit = std::min(credit + kSpare * able(*other) / std::max(homeCores, 1.0), 0.0);
    node.credit[&cmd.row - rows.data()] -= 1;
    double wait = timeout(cmd, node);
    actions.send(cmd, node.id, wait > 0 && now + wait < cmd.timeoutAt ? wait : 0, windowEnd(cmd));
  }

  // --- sweeps
  void rest(TrackedEngine& node, const char* of, double is, double at) {
    if (!node.resting)
      --listed, ++resting, log("node %u rests: %s (%.2f against %.2f)", node.id, of, is, at);
    bool relapse = node.resting || now < node.wellSince + kRestLast;
    double longest = kRestLast * kTrials / evidence();  // a trial is dear where few sends come to one node
    node.restTime = relapse ? std::min(node.restTime * 2, longest) : kRestFirst;
    node.fails.add(now, std::exchange(node.late, 0));  // seen for a while yet: else one blames the next
    node.resting = true, node.trials = 0, node.restUntil = now + node.restTime,
    actions.ejectionChanged(node.id, true);
  }

  void well(TrackedEngine& node) {
    node.resting = false, node.wellSince = now, node.fails = SlidingWindowSum(kFailSpan),
    actions.ejectionChanged(node.id, false);
    log("node %u is back: %d trials answered", node.id, node.trials);
  }

  // Failures that blame a node, trials that clear it: fewer where few sends come to one node.
  double evidence() const {
    return std::clamp((allOks + allFails) / std::max(1.0, listed) / kTrials, 1.0, kTrials);
  }

  // Health: a node is to blame only for what the others don't show at the same time. Overdue commands of one
  // group that may all wait for one load count as one.
  void judge(TrackedEngine& node) {
    if (node.resting)
      return;
    double oks = node.oks.upperBound(now), nodeFails = node.fails.upperBound(now),
           usual = std::clamp(stretch, 1.0, kRatioCap);
    double otherFails = allFails - nodeFails - node.late, otherOks = allOks - oks;
    std::set<uint64_t> groups;
    allFails -= std::exchange(node.late, 0);
    for (auto& cmd : node.out) {
      double due = kQuiet + kTimeoutRuns * cmd->atRest() * usual * slow(node);
      if (now - cmd->sentAt <= due || cmd->sentAt < node.wellSince)
        continue;
      if (cmd->lowered)
        continue;
      if (!cmd->profile().yieldsToBulkLoads || (groups.insert(cmd->tables).second && groups.size() > 1))
        ++node.late;
    }
    allFails += node.late;
    double fails = nodeFails + node.late, share = fails / std::max(fails + oks, 1.0);
    double others = otherFails / std::max(otherFails + otherOks, 1.0);
    others += resting / (resting + listed);  // what those that rest can't do makes the others late
    bool worse = (fails + 1) * otherOks > kFailLead * (otherFails + 1) * (oks + 1);  // by odds
    if (fails < evidence() || share <= kFailShare + others / 2 || !worse)
      return;
    rest(node, "it fails", share, others);
    if (settings.cancelSupported)
      for (auto& cmd : node.out)
        if (!cmd->cancelled && cmd->profile().retrySafety != RetrySafety::nonReplayable)
          cmd->cancelled = true, actions.cancel(*cmd, cmd->sends - 1);
  }

  void moveMark(TrackedEngine& node) {
    double took = node.took.upperBound(now), atRest = node.rest.upperBound(now);
    for (auto& cmd : node.out) {  // what is overdue tells before it ends
      double rest = cmd->atRest() * slow(node), past = std::min(now - cmd->sentAt, kRatioCap * rest);
      if (past <= kFar * rest)
        continue;
      took += past, atRest += rest;
      if (!node.resting && past >= kRatioCap * rest)
        lateTook += past, lateRest += rest;
    }
    double prior = kPrior * usualRun;  // few answers of one node say little: the fleet's stand beside them
    node.stretch = atRest + prior > 0 ? (took + prior * stretch) / (atRest + prior) : 1;
    bool far = node.stretch > kFar - kFarUnseen * sparse && !node.resting;
    if (far)
      press(node);
    if (!node.pressed)
      return;
    if (far) {  // well below the mark only where latency stays far off, as when disks jam
      double least = node.stretch > kVeryFar ? kMarkLeast + (1 - kMarkLeast) * sparse : 1;
      node.limit = std::max(std::min(least, node.limit), node.limit * kMarkFall);
    } else if (now > node.pressedUntil - kPressureHold / 2)
      node.limit *= 1 + kMarkRise * weight;
    if (now > node.pressedUntil && node.limit > kMarkFree)
      node.pressed = false;
  }

  // Ends what can't be in time and, while the backlog needs more than a part of all slack held, what is
  // worth least for its work: bursts, costly commands, lost engines, retries. Hurts where estimates are off.
  void shedHeld() {
    for (auto& cmd : held)
      if (!cmd->over && !cmd->node && hopeless(*cmd))
        end(*cmd);
    std::erase_if(held, [](auto& cmd) { return cmd->over || cmd->node; });
    fresh = held.size();
    double backlog = 0, slack = 0, worth = 0;
    for (auto& cmd : held) {
      backlog += cmd->work, worth += cmd->worth;
      slack += cmd->worth * std::max(0.0, cmd->targetAt - now - cmd->atRest());
    }
    if (held.size() < 2 || cores <= 0)
      return;  // what is held alone waits for nothing but a place
    double ours = cores * share(), prior = kPrior * usualWork;  // few bills say little of our rate
    double rate = std::max((done.upperBound(now) + prior) / (3 + prior / ours), 0.25 * ours);
    double room = rate * kBacklog * slack / worth;
    if (backlog <= room || !pressure)
      return;
    auto waiting = held;
    std::ranges::stable_sort(waiting, {}, [&](auto& cmd) {  // who is within its guarantee goes last
      return std::pair(budgetScheduler && budgetScheduler->isGuaranteed(*cmd), worthNow(*cmd) / cmd->work);
    });
    if (!overload)
      log("overload: %.1f s of work held, room for %.1f", backlog, room);
    overload = true, overloadUntil = now + kOverloadHold;
    waiting.pop_back();
    for (auto& cmd : waiting) {
      bool sure = budgetScheduler &&
                  budgetScheduler->isGuaranteed(*cmd);  // its places come back: it may have the whole slack
      if (backlog <= (sure ? room / kBacklog : room))
        break;
      backlog -= cmd->work;
      end(*cmd);
    }
  }

  // Borrowed work makes room where a guarantee waits: lowered, or cancelled where it may go again (rules 2,
  // 7). Guards against long borrowed runs that keep a team from its own. Hurts where another place is wanted.
  void preempt() {
    auto [found, cancel] = budgetScheduler->selectPreemption();
    if (!found)
      return;
    CommandState& cmd = static_cast<CommandState&>(*found);
    if (settings.prioritiesSupported)
      cmd.lowered = true,
      actions.setPriorityAndMemory(cmd, 0, settings.memoryGrantsSupported ? cmd.grant : 0);
    if (!cancel || !settings.cancelSupported || cmd.over || cmd.cancelled)
      return;
    if (cmd.profile().retrySafety != RetrySafety::replayable || !mayGoAgain(cmd))
      return;
    cmd.cancelled = true, actions.cancel(cmd, cmd.sends - 1);
  }

  void sweep() {
    std::erase_if(nodes, [&](auto& it) { return it.second->over(now); });
    bool any = false;
    cores = memoryMb = listed = resting = turnCores = turnThreads = tellers = told = 0;
    for (auto& [id, node] : nodes) {
      resting += node->listed && node->resting;
      if (!node->listed || node->resting)
        continue;
      bool turns = byTurns(*node);
      double place = able(*node) * (turns ? kTurnsUsed : 1), fade = turns ? 0 : tells(*node);
      cores += place, memoryMb += turns ? 0 : node->memoryMb, ++listed;
      if (turns)
        turnCores += place, turnThreads += node->threads;  // a turn finds not always a use
      tellers += fade, told += fade * node->others / able(*node);
    }
    double worst = lateTook = lateRest = allFails = allOks = 0;
    for (auto& [id, node] : nodes) {
      moveMark(*node);
      any |= node->pressed && node->listed, worst = std::max(worst, node->stretch);
      allFails += node->fails.upperBound(now) + node->late, allOks += node->oks.upperBound(now);
    }
    for (auto& [ratio, rest] : answers)
      lateTook += ratio * rest, lateRest += rest;
    stretch = lateRest > 0 ? lateTook / lateRest : 1;
    if (quotas > 0 && usualWork > 0)
      trafficPart = doneLong.upperBound(now) / seen() / quotas / usualWork;
    weight = std::min(1.0, kSweep * taken.upperBound(now) / seen() / kAnswers);
    sparse = std::clamp(1 - (allOks + allFails) / kFailSpan / std::max(1.0, listed) / kDense, 0.0, 1.0);
    // Where few sends tell how a node is, it is asked now and then: one probe a command at most.
    if (settings.probingSupported && sparse > 0)
      probes += kSweep * std::min(homes / kReportFades, taken.upperBound(now) / seen());
    chooseHome();
    for (; probes >= 1 && homes > 0; --probes) {
      auto next = nodes.upper_bound(lastProbed);
      while (next == nodes.end() || !next->second->home)
        next = next == nodes.end() ? nodes.begin() : std::next(next);
      actions.probe(lastProbed = next->first);
    }
    usualMemory += weight * (memory - usualMemory);
    threads = memory = 0;  // what stands at a node that rests takes no place
    for (auto& [id, node] : nodes) {
      judge(*node);
      if (!node->resting)
        threads += node->threads, memory += node->memory;
    }
    if (any != pressure)
      log("pressure %s: latency %.1f times the best", any ? "shown" : "over", worst);
    pressure = any;
    if (budgetScheduler)
      preempt();
    if (overload && now > overloadUntil)
      overload = false, log("overload over: %zu held", held.size());
    shedHeld();
  }

  void wakeAt(double time) {
    if (nextWake > now + kClock && nextWake <= time)
      return;
    actions.scheduleWakeUp(nextWake = time);
  }

  CommandState* next() {  // whose turn it is
    if (budgetScheduler)
      return static_cast<CommandState*>(budgetScheduler->selectNext());
    DeficitRoundRobinQueue* turn = root.next(now);
    return turn ? turn->fifo.front().get() : nullptr;
  }

  void decide() override {
    if (askAt >= 0 && now >= askAt)
      askAt = -1, actions.requestEngineList();
    if (now >= nextSweep - kClock)
      nextSweep = now + kSweep, sweep();
    for (; fresh < held.size(); ++fresh)
      if (!held[fresh]->over && hopeless(*held[fresh]))
        end(*held[fresh]);
    releaseKeys();
    while (CommandState* turn = next()) {
      CommandState& cmd = *turn;
      if (hopeless(cmd) || (cmd.sends > 0 && !mayGoAgain(cmd))) {
        end(cmd);
      } else if (start(cmd)) {
        if (!budgetScheduler)
          cmd.leaf->pay(cmd.work);
      } else {  // the loser waits and draws again; meanwhile other leaves take their turns
        double size = std::clamp(cmd.work / std::max(usualWork, 1e-6), kWaitLeast, kWaitMost);
        double wait = size * chance.uniformBetween(kWaitLow, kWaitHigh);
        if (budgetScheduler)
          budgetScheduler->postpone(cmd, wait);
        else
          cmd.leaf->wakeAt = now + wait;
      }
    }
    wakeAt(std::max(std::min(budgetScheduler ? budgetScheduler->nextWakeUp() : root.wakes(), nextSweep),
                    now + kClock));
  }

  // --- state
  Settings settings;
  Pcg32 chance;
  ActionSink& actions;
  BudgetScheduler* budgetScheduler;  // none: the turns below decide alone
  double now = 0, openedAt = -1, nextSweep = 0, nextWake = -1, overloadUntil = -1, askAt = -1;
  bool overload = false, pressure = false, listSeen = false;
  bool loadsHold = false;  // some profile stands still while a load holds its group
  std::vector<ProfileStatistics> rows;
  std::map<uint32_t, std::unique_ptr<TrackedEngine>> nodes;
  std::map<uint64_t, KeyQueue> keys;
  DeficitRoundRobinQueue root;
  std::vector<std::shared_ptr<CommandState>> held;
  size_t fresh = 0;  // from here on, held commands that no sweep has looked at
  SlidingWindowSum taken{20}, done{3}, doneLong{20}, further{1}, takenInSpan{1};
  double quotas = 0, trafficPart = 0;  // of all tenants, commands a second; our part of their work
  double usualRun = 0, usualWork = 0;  // means over all commands
  double cores = 0, memoryMb = 0, listed = 0, resting = 0;      // of listed nodes; the last: who rest
  double threads = 0, memory = 0, usualMemory = 0;              // of our sends there
  double allFails = 0, allOks = 0, lateTook = 0, lateRest = 0;  // and what became of them
  double usualMb = 0, tellers = 0, told = 0;  // memory a thread; reports, with what they tell of the others
  double homes = 0, homeCores = 0, turnCores = 0, turnThreads = 0;  // nodes of our own; what is by turns
  uint64_t salt;
  double probes = 0;  // due
  uint32_t lastProbed = 0;
  double weight = 0, sparse = 0;  // part of the last answers that is new; 1: hardly a send comes to one node
  double stretch = 1;             // latency over the best,
  std::deque<std::pair<double, double>> answers;  // and of the last ones, with their latency at rest
};

// --- what happens to a command
void CommandState::statusReported(StatusTopic topic, double) {
  if (node && topic == StatusTopic::queued && !over)
    core.press(*node);
}

void CommandState::withdrawn() {
  if (std::exchange(over, true))
    return;
  if (held)
    core.unhold(*this);
  if (node && core.settings.cancelSupported && !cancelled)
    cancelled = true, core.actions.cancel(*this, sends - 1);
  core.close(*this);
}

void CommandState::sendFinished(Outcome what, double took, bool final, const ResourceUsage* usage,
                                const LoadReport* report) {
  auto self = shared_from_this();
  if (!node)
    return;
  TrackedEngine& was = *node;
  node = nullptr;
  std::erase(was.out, self);
  was.threads -= profile().threads, core.threads -= profile().threads;
  was.memory -= grant, core.memory -= grant;
  if (core.budgetScheduler)
    core.budgetScheduler->sendFinished(*this, usage ? usage->work : 0);
  bool ownTrial = std::exchange(trial, false);
  if (ownTrial)
    was.trialOut = false;
  bool ran = what != Outcome::overloaded && what != Outcome::connectFailed && what != Outcome::notStarted;
  if (ran && ranAt < 0)
    ranAt = sentAt, ranZone = was.zone, ranCell = was.cell;
  if (key && (what == Outcome::timedOut || what == Outcome::reset || what == Outcome::cancelled))
    core.keys[*key].quietUntil = core.now + core.settings.keyQuietPeriod;
  bool answered = what == Outcome::answered;
  if (answered)
    was.oks.add(core.now, 1), was.pause = kFullPause;
  bool blames = what == Outcome::timedOut && !profile().yieldsToBulkLoads && !lowered;
  if (what == Outcome::error || blames)
    was.fails.add(core.now, 1);
  if (what == Outcome::connectFailed || what == Outcome::reset)
    was.fails.add(core.now, 2);
  if (what ==
      Outcome::overloaded) {  // the more gateways come back at once, the longer it must be: it doubles
    core.press(was), was.fullUntil = core.now + was.pause * core.chance.uniformBetween(0.5, 1.5);
    was.pause = std::min(2 * was.pause, kRestLast);
  }
  if (ownTrial && was.resting && answered && ++was.trials >= core.evidence()) {
    core.well(was);
  } else if (ownTrial && was.resting && !answered && what != Outcome::overloaded &&
             what != Outcome::notStarted) {
    core.rest(was, "trial failed", was.trials, core.evidence());
  }
  if (answered)
    core.learn(*this, took, usage);
  bool spilled = usage && estimateMb > 0 &&
                 usage->memoryMb > (core.settings.memoryGrantsSupported ? grant : kOwnGrant * estimateMb);
  if (answered && !ownTrial && !spilled) {
    double rest = atRest() * core.slow(was), most = std::min(took, kRatioCap * rest);
    was.took.add(core.now, most), was.rest.add(core.now, rest);
    core.answers.push_back({most / rest, rest});
    if (double(core.answers.size()) > kAnswers)
      core.answers.pop_front();
  }
  core.seeReport(was, report);
  avoid = was.id;
  (over |= final) ? core.close(*this) : core.again(*this);
}

}  // namespace

std::unique_ptr<Policy> createPolicy(const Settings& settings, uint64_t seed, ActionSink& actions,
                                     BudgetScheduler* budgetScheduler) {
  return std::make_unique<PolicyImpl>(settings, seed, actions, budgetScheduler);
}

}  // namespace elmcleat
