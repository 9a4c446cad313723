#include "control/control_thread.h"

#include <pthread.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <chrono>
#include <cmath>
#include <cstdlib>
#include <deque>
#include <exception>

#include "members/membership.h"
#include "members/transport.h"
#include "runtime/log.h"
#include "shared/lease_codec.h"

namespace elmcleat {
namespace {

constexpr double kSnapshotInterval = 0.1;  // seconds between two snapshots without events
constexpr double kAckPollInterval = 0.01;  // seconds, while lease messages wait for an acknowledgment
constexpr double kMaxSnapshotAge = 2;      // seconds; traffic does not use the membership of older ones
constexpr double kStopTimeout = 1;         // seconds for the thread to end

// The index of this process in the list of peers.
members::MemberIndex indexOf(const members::MembershipSettings& settings, const std::string& name) {
  for (size_t i = 0; i < settings.peers.size(); ++i)
    if (settings.peers[i].name == name)
      return members::MemberIndex(i);
  throw members::Error(members::ErrorKind::notListed, "members.peers in the gateway file does not list it",
                       "'" + name + "'");
}

// Unix time in milliseconds: greater in each later run as long as the clock is not set back. Membership
// handles the case that it was.
members::ProcessInstance newInstance() {
  auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
  return {uint64_t(std::max<int64_t>(ms, 1)), 1};
}

}  // namespace

// What the control thread owns.
struct ControlThread::State {
  State(const Clock& clock, const members::MembershipSettings& membershipSettings,
        members::MemberIndex ownIndex, uint64_t seed, const std::optional<QuotaSharing>& sharing)
      : settings(membershipSettings),
        self(ownIndex),
        instance(newInstance()),
        scheduler(clock),
        membership(settings, self, instance, seed, clock.now()),
        transport(scheduler, settings, self, membership),
        signal(scheduler) {
    if (!sharing)
      return;
    std::vector<std::string> names;
    for (auto& rate : sharing->rates)
      names.push_back(rate.name());
    codec = std::make_unique<shared::LeaseCodec>(names, sharing->settings.quotas);
    leases =
        std::make_unique<shared::LeaseManager>(sharing->settings, self, instance.instance, seed, clock.now());
  }

  members::MembershipSettings settings;
  members::MemberIndex self;
  members::ProcessInstance instance;
  Scheduler scheduler;
  members::Membership membership;
  members::Transport transport;
  Signal signal;  // raised when stop() has been called
  double publishedAt = -1;
  uint64_t publishedNumber = 0;  // of the last snapshot
  std::unique_ptr<shared::LeaseCodec> codec;
  std::unique_ptr<shared::LeaseManager> leases;  // null if no quotas are shared
  // Lease messages to be sent, each with the number of the snapshot published before it. Grants and returns
  // wait for traffic to acknowledge that snapshot.
  std::deque<std::pair<uint64_t, shared::LeaseMessage>> unacknowledged;
};

ControlThread::ControlThread(const Clock& clock, const members::MembershipSettings& settings,
                             const std::string& name, uint64_t seed,
                             const std::optional<QuotaSharing>& sharing)
    : clock_(clock),
      startedAt_(clock.now()),
      state_(std::make_unique<State>(clock, settings, indexOf(settings, name), seed, sharing)) {
  stopEvent_ = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  publishSnapshot(*state_, clock.now());  // so that there is one from the first command on
  info() << "members: fleet '" << settings.fleet << "', " << settings.peers.size() << " listed; listens on "
         << formatAddress(settings.peers[size_t(state_->self)].address);
  thread_ = std::thread([this] { run(); });
  // Named by this thread, so that the name is set when the constructor returns.
  pthread_setname_np(thread_.native_handle(), "control");
}

ControlThread::~ControlThread() {
  if (thread_.joinable() && !stop())
    std::_Exit(EXIT_FAILURE);  // the thread still uses the members that are about to be destroyed
}

// --- Control thread
// Waits for stop(), announces the departure to the other members, and ends the scheduler.
Task ControlThread::awaitStop(State& state, const Descriptor& stopEvent) {
  for (uint64_t count; ::read(stopEvent.fd(), &count, sizeof count) != sizeof count;)
    co_await state.signal;
  state.membership.leave(state.scheduler.now());
  state.transport.send();
  state.scheduler.stop();
}

void ControlThread::publishSnapshot(State& state, double now) {
  auto snapshot = std::make_unique<ControlSnapshot>();
  snapshot->members = state.membership.snapshot(now);
  for (size_t i = 0; state.leases && i < state.leases->quotaCount(); ++i)
    snapshot->quotas.push_back(state.leases->availableQuota(i, now));
  state.publishedAt = now;
  state.publishedNumber = snapshot->members.number;
  snapshot_.publish(std::move(snapshot));
}

// A grant promises not to use what is granted, and a return not to use what was borrowed. Neither is sent
// before traffic has acknowledged the snapshot that reflects it. So the sum of what all processes use never
// exceeds the quota, not even until traffic reads the snapshot; while traffic stalls, nothing is granted.
void ControlThread::exchangeLeases(State& state, double now) {
  auto& leases = state.leases;
  auto& membership = state.membership;
  if (const auto* demand = demand_.read())
    for (size_t i = 0; i < demand->size() && i < leases->quotaCount(); ++i)
      leases->setDemand(i, (*demand)[i]);
  for (size_t i = 0; i < state.settings.peers.size(); ++i)
    leases->setMemberAlive(int(i),
                           membership.statusOf(members::MemberIndex(i)).state == members::MemberState::alive);
  for (auto& payload : membership.takePayloads()) {
    auto message = state.codec->decode(payload.bytes, payload.from, state.self);
    if (message)
      leases->receive(now, *message);
    else
      membership.countError(members::ErrorKind::undecodable);
  }
  leases->tick(now);
  auto messages = leases->takeOutgoing();
  if (!messages.empty())
    publishSnapshot(state, now);
  for (auto& message : messages)
    state.unacknowledged.emplace_back(state.publishedNumber, std::move(message));
  uint64_t acknowledged = acknowledged_.load(std::memory_order_acquire);
  std::erase_if(state.unacknowledged, [&](auto& entry) {
    auto& [number, message] = entry;
    if (message.kind != shared::LeaseMessage::Kind::request && number > acknowledged)
      return false;
    membership.sendPayload(message.to, state.codec->encode(message));
    return true;
  });
}

void ControlThread::run() {
  try {
    State& state = *state_;
    Descriptor stopEvent(state.scheduler, ::dup(stopEvent_), state.signal);
    Task stopping = awaitStop(state, stopEvent);
    stopping.start();
    state.transport.start([this, &state] {
      double now = state.scheduler.now();
      auto events = state.membership.takeEvents();
      for (auto& event : events) {
        const std::string& name = state.settings.peers[size_t(event.member)].name;
        if (event.error)
          error() << members::describe(*event.error, event.reason, name);
        else
          info().with("member", name)
              << "members: " << name << " is " << members::nameOf(event.state) << ", " << event.reason;
      }
      if (!events.empty() || now >= state.publishedAt + kSnapshotInterval)
        publishSnapshot(state, now);
      if (!state.leases)
        return HUGE_VAL;
      exchangeLeases(state, now);
      state.transport.send();
      // While messages wait for an acknowledgment, poll for it: the traffic thread reads a snapshot
      // every 20 ms (kQuotaRefreshSeconds in main.cpp).
      return state.unacknowledged.empty() ? state.leases->nextWakeUp() : now + kAckPollInterval;
    });
    state.scheduler.run();
    if (auto failure = state.transport.failure())
      std::rethrow_exception(failure);
  } catch (const std::exception& exception) {
    error() << members::describe(members::ErrorKind::controlThreadFailed, exception.what(), "control thread");
  }
  ended_ = true;
}

// --- Traffic thread
const ControlSnapshot* ControlThread::latest(double now) {
  const ControlSnapshot* snapshot = snapshot_.read();
  double age = now - (snapshot ? snapshot->members.takenAt : startedAt_);
  bool stale = age > kMaxSnapshotAge;
  if (stale && !stalled_)
    warn() << members::describe(members::ErrorKind::controlThreadStalled,
                                "no snapshot published for " + std::to_string(age) + " s", "control thread");
  if (!stale && stalled_)
    info() << "members: the control thread publishes snapshots again";
  stalled_ = stale;
  return stale ? nullptr : snapshot;
}

void ControlThread::watch(Scheduler& traffic) {
  watchdog_ = std::make_unique<Timer>(traffic, [this] {
    latest(clock_.now());
    watchdog_->set(clock_.now() + kMaxSnapshotAge / 4);
  });
  watchdog_->set(clock_.now());
}

bool ControlThread::stop() {
  uint64_t increment = 1;
  (void)!::write(stopEvent_, &increment, sizeof increment);
  for (double deadline = clock_.now() + kStopTimeout; !ended_;) {
    if (clock_.now() >= deadline)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  thread_.join();
  ::close(stopEvent_);
  return true;
}

}  // namespace elmcleat
