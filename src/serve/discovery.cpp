#include "serve/discovery.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "runtime/log.h"
#include "serve/outcome.h"

namespace elmcleat {
namespace {

// The change log sends a heartbeat each second. After this silence, in which two were missed, the connection
// counts as dead.
constexpr double kSilenceTimeoutSeconds = 2.5;

// Pause before a reconnect to a change log that refused the connection or ended it before the first frame.
// Without a pause the reconnects would use up the core.
constexpr double kReconnectPauseSeconds = 0.1;

constexpr size_t kMinEngineConnections = 8;  // the quota's lower limit, however few descriptors there are
constexpr size_t kMaxInputBytes = 2 * FrameParser::kMaxFrameBytes;
constexpr size_t kMaxOutputBytes = 64;

}  // namespace

Discovery::Discovery(Scheduler& scheduler, const Config& config, Dispatcher& dispatcher,
                     std::unique_ptr<view::EngineSubset> subset)
    : scheduler_(scheduler),
      config_(config),
      dispatcher_(dispatcher),
      signal_(scheduler),
      mailbox_(signal_),
      timer_(scheduler,
             [this] {
               timedOut_ = true;
               signal_.raise();
             }),
      changeLog_(config.changeLogAddress),
      parser_(config.connectionSettings.zones, config.connectionSettings.kinds),
      subset_(std::move(subset)),
      subsetTimer_(scheduler, [this] { updateSubset(); }),
      connectionQuota_(std::max(config.maxDescriptors / 3, kMinEngineConnections)) {}

void Discovery::start(std::vector<EngineListEvent> initialEvents) {
  for (auto& event : initialEvents)
    apply(event);
  task_ = run();
  task_.start();
}

void Discovery::follow(const Address& changeLog) {
  mailbox_.post([this, changeLog] {
    if (changeLog == changeLog_)
      return;
    info() << "change log: address changed to " << formatAddress(changeLog);
    changeLog_ = changeLog;
    addressChanged_ = true;
  });
}

Task Discovery::run() {
  auto startTimer = [this](double seconds) {
    timedOut_ = false;
    timer_.set(scheduler_.now() + seconds);
  };
  bool evicted = false;  // at most one eviction for each attempt to connect
  for (bool first = true;; first = false) {
    double startedAt = scheduler_.now();
    Stream stream(scheduler_, signal_, kMaxInputBytes, kMaxOutputBytes);
    startTimer(config_.connectionSettings.connectTimeout);
    addressChanged_ = false;
    stream.connect(changeLog_);
    if (stream.closeReason() == CloseReason::outOfDescriptors && !std::exchange(evicted, true) &&
        connectionQuota_.evictOther())
      continue;
    evicted = false;

    // Request the events after the last known one, and apply them until the connection ends.
    bool connected = false;
    bool receivedFrame = false;
    while (stream.isOpen()) {
      if (!connected && stream.isConnected()) {
        connected = true;
        stream.write(encodeResumeRequest(lastSequence_));
        startTimer(kSilenceTimeoutSeconds);
        info() << "change log: connected, from event " << lastSequence_;
      }
      stream.flush();
      if (connected && read(stream)) {
        receivedFrame = true;
        startTimer(kSilenceTimeoutSeconds);
      }
      if (addressChanged_)
        stream.close(CloseReason::replaced);  // only now, after the frames that had arrived were read
      if (timedOut_)
        stream.close(connected ? CloseReason::unresponsive : CloseReason::connectTimedOut);
      if (!stream.isOpen())
        break;
      co_await signal_;
      mailbox_.runAll();
    }
    timer_.clear();
    if (connected || first)
      warn() << "change log: connection ended: " << nameOf(stream.closeReason());

    // Reconnect at once if the address has changed, or if the connection delivered a frame and its attempt is
    // at least one pause ago; otherwise pause first.
    if (addressChanged_ || (receivedFrame && scheduler_.now() >= startedAt + kReconnectPauseSeconds))
      continue;
    startTimer(kReconnectPauseSeconds);
    while (!timedOut_ && !addressChanged_) {
      co_await signal_;
      mailbox_.runAll();
    }
  }
}

// Reads and applies the frames that have arrived; true if there was one.
bool Discovery::read(Stream& stream) {
  bool receivedFrame = false;
  do {
    stream.receive();
    EngineListEvent event;
    for (FrameParser::State state;
         (state = parser_.next(stream.input(), event)) != FrameParser::State::needMore;) {
      if (state == FrameParser::State::malformed) {
        stream.close(CloseReason::malformed);
        return receivedFrame;
      }
      receivedFrame = true;
      if (state == FrameParser::State::heartbeat || event.sequence <= lastSequence_)
        continue;
      if (event.sequence > lastSequence_ + 1 && lastSequence_ > 0)
        warn() << "change log: event " << event.sequence << " follows " << lastSequence_
               << ", events in between are missing";
      apply(event);
    }
  } while (stream.isOpen() && stream.inputLimited());
  return receivedFrame;
}

void Discovery::apply(EngineListEvent& event) {
  lastSequence_ = event.sequence;
  addresses_.apply(event);
  if (!event.isFullList && event.engines.empty())
    return;
  if (!subset_) {
    info() << "change log: event " << event.sequence << ", " << (event.isFullList ? "whole list" : "changes")
           << ", " << event.engines.size() << " engines listed";
    return updateEngines(event.engines, event.isFullList);
  }
  applySubsetChanges(subset_->apply(event, scheduler_.clock().toUnix(scheduler_.now())),
                     event.isFullList ? "whole list" : "changes");
}

// Widens or narrows the subset, if it is time to.
void Discovery::updateSubset() {
  applySubsetChanges(subset_->tick(scheduler_.clock().toUnix(scheduler_.now())), "its own width");
}

// Only the changes within the subset are applied: engines outside it have no log line, actor, timer or row in
// the module.
void Discovery::applySubsetChanges(const std::vector<ListedEngine>& changes, const char* cause) {
  if (double wakeUp = subset_->nextWakeUp(); wakeUp < HUGE_VAL)
    subsetTimer_.set(scheduler_.clock().fromUnix(int64_t(wakeUp * 1e3) + 1));
  else
    subsetTimer_.clear();
  for (auto& line : subset_->takeWarnings())
    warn() << line;
  if (changes.empty())
    return;
  auto statistics = subset_->statistics();
  info() << "view: " << changes.size() << " engines change by " << cause << ", event " << lastSequence_
         << ": " << statistics.inUse << " of " << statistics.listed << " in use, reach " << statistics.depth;
  updateEngines(changes, false);
}

// Creates, updates and retires engines. With a full list, engines that it does not name are retired; retired
// engines are removed once they have no connection left.
void Discovery::updateEngines(const std::vector<ListedEngine>& listings, bool isFullList) {
  std::set<uint32_t> listedIds;
  std::vector<EngineRecord> rows;
  for (auto& listing : listings) {
    EngineRecord& row = rows.emplace_back(listing.record);
    if (listing.startedAtUnixMs > 0)
      row.startedAt = scheduler_.clock().fromUnix(listing.startedAtUnixMs);
    listedIds.insert(row.id);
    auto& engine = engines_[row.id];
    if (!engine)
      engine = std::make_unique<Engine>(scheduler_, config_.connectionSettings, dispatcher_, row.id,
                                        connectionsPerEngine_, connectionQuota_);
    if (row.state == EngineState::inService)
      engine->setAddress(listing.address, row.startedAt);
    else
      engine->retire();
  }
  for (auto entry = engines_.begin(); entry != engines_.end();) {
    if (isFullList && !listedIds.contains(entry->first))
      entry->second->retire();
    entry = entry->second->isUnused() ? engines_.erase(entry) : std::next(entry);
  }
  // Engines share a third of the descriptors (ConnectionQuota), which the listener keeps free of clients.
  connectionsPerEngine_ =
      std::max<size_t>(1, config_.maxDescriptors / 3 / std::max<size_t>(1, engines_.size()));
  dispatcher_.updateEngines(isFullList ? EngineListKind::full : EngineListKind::delta, std::move(rows));
}

// --- EngineRouter: called by the dispatcher
// Posts an action on one engine; nothing happens if the engine has been removed.
void Discovery::withEngine(uint32_t node, std::function<void(Engine&)> action) {
  mailbox_.post([this, node, action = std::move(action)] {
    if (auto found = engines_.find(node); found != engines_.end())
      action(*found->second);
  });
}

void Discovery::send(uint32_t node, std::shared_ptr<RequestContext> context, double until) {
  mailbox_.post([this, node, context = std::move(context), until] {
    if (auto found = engines_.find(node); found != engines_.end())
      return found->second->send(context, until);
    // The engine was removed after the module had chosen it.
    dispatcher_.sendFinished(context, outcomeOf(CloseReason::replaced, false), 0, {}, {}, {});
  });
}

void Discovery::reprioritise(uint32_t node, std::shared_ptr<RequestContext> context) {
  withEngine(node, [context = std::move(context)](Engine& engine) { engine.reprioritise(context); });
}

void Discovery::cancel(uint32_t node, std::shared_ptr<RequestContext> context) {
  withEngine(node, [context = std::move(context)](Engine& engine) { engine.cancel(context); });
}

void Discovery::withdraw(uint32_t node, std::shared_ptr<RequestContext> context) {
  withEngine(node, [context = std::move(context)](Engine& engine) { engine.withdraw(context); });
}

void Discovery::shortenDeadline(uint32_t node, std::shared_ptr<RequestContext> context) {
  withEngine(node, [context = std::move(context)](Engine& engine) { engine.shortenDeadline(context); });
}

void Discovery::setEjected(uint32_t node, bool ejected) {
  if (!subset_)
    return;
  mailbox_.post([this, node, ejected] {
    subset_->setEjected(node, ejected);
    updateSubset();
  });
}

void Discovery::probe(uint32_t node) {
  withEngine(node, [](Engine& engine) { engine.probe(); });
}

}  // namespace elmcleat
