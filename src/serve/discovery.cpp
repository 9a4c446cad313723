#include "serve/discovery.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "runtime/log.h"
#include "serve/outcome.h"

namespace elmcleat {
namespace {

// The change log writes a frame each second: when two have failed to come, nothing will.
constexpr double kSilence = 2.5;
// A change log that refuses, or breaks off before its first frame, is asked again as often as this: at once each
// time, it would take the core.
constexpr double kPause = 0.1;
constexpr size_t kLeastLinks = 8;  // however few descriptors there are
constexpr size_t kMostIn = 2 * FrameParser::kMaxFrameBytes, kMostOut = 64;

}  // namespace

Discovery::Discovery(Scheduler& scheduler, const Config& config, Dispatcher& dispatcher,
                     std::unique_ptr<view::EngineSubset> view)
    : scheduler_(scheduler),
      config_(config),
      dispatcher_(dispatcher),
      signal_(scheduler),
      mailbox_(signal_),
      timer_(scheduler, [this] { late_ = true, signal_.raise(); }),
      changeLog_(config.changeLogAddress),
      reader_(config.connectionSettings.zones, config.connectionSettings.kinds),
      subset_(std::move(view)),
      subsetTimer_(scheduler, [this] { updateSubset(); }),
      connectionQuota_(std::max(config.maxDescriptors / 3, kLeastLinks)) {}

void Discovery::start(const std::vector<EngineListEvent>& known) {
  for (auto& event : known)
    apply(event);
  task_ = run();
  task_.start();
}

void Discovery::follow(const Address& changeLog) {
  mailbox_.post([this, changeLog] {
    if (changeLog == changeLog_)
      return;
    info() << "change log: moves to " << formatAddress(changeLog);
    changeLog_ = changeLog, moved_ = true;
  });
}

Task Discovery::run() {
  auto within = [this](double span) { late_ = false, timer_.set(scheduler_.now() + span); };
  bool evicted = false;  // once for each try
  for (bool first = true;; first = false) {
    double began = scheduler_.now();
    Stream stream(scheduler_, signal_, kMostIn, kMostOut);
    within(config_.connectionSettings.connectTimeout);
    moved_ = false;
    stream.connect(changeLog_);
    if (stream.closeReason() == CloseReason::outOfDescriptors && !std::exchange(evicted, true) &&
        connectionQuota_.evictOther())
      continue;
    evicted = false;
    bool up = false, heard = false;
    while (stream.isOpen()) {
      if (!up && stream.isConnected()) {
        up = true;
        stream.write(encodeResumeRequest(last_));
        within(kSilence);
        info() << "change log: connected, from event " << last_;
      }
      stream.flush();
      if (up && read(stream))
        heard = true, within(kSilence);
      if (moved_)
        stream.close(CloseReason::replaced);  // after what it had told is read
      if (late_)
        stream.close(up ? CloseReason::unresponsive : CloseReason::connectTimedOut);
      if (!stream.isOpen())
        break;
      co_await signal_;
      mailbox_.runAll();
    }
    timer_.clear();
    if (up || first)
      warn() << "change log: connection ended: " << nameOf(stream.closeReason());
    // What has told something, or is another, is asked at once, but never faster than what tells nothing.
    if (moved_ || (heard && scheduler_.now() >= began + kPause))
      continue;
    within(kPause);
    while (!late_ && !moved_) {
      co_await signal_;
      mailbox_.runAll();
    }
  }
}

// True if a frame came.
bool Discovery::read(Stream& stream) {
  bool any = false;
  do {
    stream.receive();
    EngineListEvent event;
    for (FrameParser::State state;
         (state = reader_.next(stream.input(), event)) != FrameParser::State::needMore;) {
      if (state == FrameParser::State::malformed) {
        stream.close(CloseReason::malformed);
        return any;
      }
      any = true;
      if (state == FrameParser::State::heartbeat || event.sequence <= last_)
        continue;
      if (event.sequence > last_ + 1 && last_ > 0)
        warn() << "change log: event " << event.sequence << " follows " << last_;
      apply(event);
    }
  } while (stream.isOpen() && stream.inputLimited());
  return any;
}

void Discovery::apply(const EngineListEvent& event) {
  last_ = event.sequence;
  if (!event.isFullList && event.engines.empty())
    return;
  if (!subset_) {
    info() << "change log: event " << event.sequence << ", " << (event.isFullList ? "whole list" : "changes")
           << ", " << event.engines.size() << " engines named";
    return updateEngines(event.engines, event.isFullList);
  }
  applySubsetChanges(subset_->apply(event, scheduler_.clock().toUnix(scheduler_.now())),
                     event.isFullList ? "whole list" : "changes");
}

void Discovery::updateSubset() {
  applySubsetChanges(subset_->tick(scheduler_.clock().toUnix(scheduler_.now())), "its own width");
}

// What is out of view costs no line, actor, timer or row of the module.
void Discovery::applySubsetChanges(const std::vector<ListedEngine>& changes, const char* why) {
  if (double at = subset_->nextWakeUp(); at < HUGE_VAL)
    subsetTimer_.set(scheduler_.clock().fromUnix(int64_t(at * 1e3) + 1));
  else
    subsetTimer_.clear();
  for (auto& line : subset_->takeWarnings())
    warn() << line;
  if (changes.empty())
    return;
  auto figures = subset_->statistics();
  info() << "view: " << changes.size() << " engines change by " << why << ", event " << last_ << ": "
         << figures.inUse << " of " << figures.listed << " in use, reach " << figures.depth;
  updateEngines(changes, false);
}

void Discovery::updateEngines(const std::vector<ListedEngine>& listings, bool whole) {
  std::set<uint32_t> named;
  std::vector<EngineRecord> rows;
  for (auto& listing : listings) {
    EngineRecord& row = rows.emplace_back(listing.record);
    if (listing.startedAtUnixMs > 0)
      row.startedAt = scheduler_.clock().fromUnix(listing.startedAtUnixMs);
    named.insert(row.id);
    auto& engine = engines_[row.id];
    if (!engine)
      engine = std::make_unique<Engine>(scheduler_, config_.connectionSettings, dispatcher_, row.id,
                                        connectionsPerEngine_, connectionQuota_);
    if (row.state == EngineState::inService)
      engine->setAddress(listing.address, row.startedAt);
    else
      engine->retire();
  }
  for (auto at = engines_.begin(); at != engines_.end();) {
    if (whole && !named.contains(at->first))
      at->second->retire();  // not in a whole list: gone
    at = at->second->isUnused() ? engines_.erase(at) : std::next(at);
  }
  // Clients hold a third of all descriptors at most; as many are for engines, and the last third is to spare.
  connectionsPerEngine_ =
      std::max<size_t>(1, config_.maxDescriptors / 3 / std::max<size_t>(1, engines_.size()));
  dispatcher_.updateEngines(whole ? EngineListKind::full : EngineListKind::delta, std::move(rows));
}

// --- from the dispatcher
void Discovery::withEngine(uint32_t node, std::function<void(Engine&)> call) {
  mailbox_.post([this, node, call = std::move(call)] {
    if (auto found = engines_.find(node); found != engines_.end())
      call(*found->second);
  });
}

void Discovery::send(uint32_t node, std::shared_ptr<RequestContext> context, double until) {
  mailbox_.post([this, node, context = std::move(context), until] {
    if (auto found = engines_.find(node); found != engines_.end())
      return found->second->send(context, until);
    // It has gone, and was forgotten, since the module decided.
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

void Discovery::setEjected(uint32_t node, bool is) {
  if (!subset_)
    return;
  mailbox_.post([this, node, is] {
    subset_->setEjected(node, is);
    updateSubset();
  });
}

void Discovery::probe(uint32_t node) {
  withEngine(node, [](Engine& engine) { engine.probe(); });
}

}  // namespace elmcleat
