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

constexpr double kTellEach = 0.1;   // seconds from one view to the next, if nothing happens
constexpr double kHeedEach = 0.01;  // seconds until letters that wait for traffic are looked at again
constexpr double kStaleAfter = 2;   // age of a view beyond which traffic goes on without what is shared
constexpr double kStopTime = 1;     // seconds that the thread is given to end

members::MemberIndex placeOf(const members::MembershipSettings& settings, const std::string& name) {
  for (size_t i = 0; i < settings.peers.size(); ++i)
    if (settings.peers[i].name == name)
      return members::MemberIndex(i);
  throw members::Error(members::ErrorKind::notListed,
                       "the list in the gateway file's members.peers does not name it", "'" + name + "'");
}

// Greater in each later life while the machine's clock goes forward; the core sees to it where it does not.
members::ProcessInstance newLife() {
  auto unix = std::chrono::system_clock::now().time_since_epoch();
  auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(unix).count();
  return {uint64_t(std::max<int64_t>(ms, 1)), 1};
}

}  // namespace

struct ControlThread::State {
  State(const Clock& clock, const members::MembershipSettings& given, members::MemberIndex its, uint64_t seed,
        const std::optional<QuotaSharing>& sharing)
      : settings(given),
        self(its),
        life(newLife()),
        scheduler(clock),
        membership(settings, self, life, seed, clock.now()),
        transport(scheduler, settings, self, membership),
        signal(scheduler) {
    if (!sharing)
      return;
    std::vector<std::string> names;
    for (auto& rate : sharing->rates)
      names.push_back(rate.name());
    codec = std::make_unique<shared::LeaseCodec>(names, sharing->settings.quotas);
    leases =
        std::make_unique<shared::LeaseManager>(sharing->settings, self, life.instance, seed, clock.now());
  }

  members::MembershipSettings settings;
  members::MemberIndex self;
  members::ProcessInstance life;
  Scheduler scheduler;
  members::Membership membership;
  members::Transport transport;
  Signal signal;  // stop() may have been called
  double toldAt = -1;
  uint64_t told = 0;  // the number of the last view
  std::unique_ptr<shared::LeaseCodec> codec;
  std::unique_ptr<shared::LeaseManager> leases;  // none: nothing is shared
  // Letters that rest on what traffic has to heed first, with the view that tells it so.
  std::deque<std::pair<uint64_t, shared::LeaseMessage>> waiting;
};

ControlThread::ControlThread(const Clock& clock, const members::MembershipSettings& settings,
                             const std::string& name, uint64_t seed,
                             const std::optional<QuotaSharing>& sharing)
    : clock_(clock),
      startedAt_(clock.now()),
      state_(std::make_unique<State>(clock, settings, placeOf(settings, name), seed, sharing)) {
  wake_ = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  publishSnapshot(*state_, clock.now());  // there is something to go by from the first command on
  info() << "members: fleet '" << settings.fleet << "', " << settings.peers.size() << " listed; listens on "
         << formatAddress(settings.peers[size_t(state_->self)].address);
  thread_ = std::thread([this] { run(); });
  pthread_setname_np(thread_.native_handle(), "control");  // by us: it has its name once we are made
}

ControlThread::~ControlThread() {
  if (thread_.joinable() && !stop())
    std::_Exit(EXIT_FAILURE);  // it hangs, and works on what goes with us
}

// --- the control thread
Task ControlThread::leave(State& inside, const Descriptor& wake) {
  for (uint64_t told; ::read(wake.fd(), &told, sizeof told) != sizeof told;)
    co_await inside.signal;
  inside.membership.leave(inside.scheduler.now());
  inside.transport.send();
  inside.scheduler.stop();
}

void ControlThread::publishSnapshot(State& inside, double now) {
  auto told = std::make_unique<ControlSnapshot>();
  told->members = inside.membership.snapshot(now);
  for (size_t i = 0; inside.leases && i < inside.leases->quotaCount(); ++i)
    told->quotas.push_back(inside.leases->availableQuota(i, now));
  inside.toldAt = now, inside.told = told->members.number;
  snapshot_.publish(std::move(told));
}

// A grant is a promise not to use what is granted, a return one not to use what was borrowed: neither goes out before
// traffic has said that it heeds the view with it. So what all use never adds up to more, not even for the moment until
// traffic looks; while it hangs nothing is lent.
void ControlThread::exchangeLeases(State& inside, double now) {
  auto& loans = inside.leases;
  auto& membership = inside.membership;
  if (const auto* wants = demand_.read())
    for (size_t i = 0; i < wants->size() && i < loans->quotaCount(); ++i)
      loans->setDemand(i, (*wants)[i]);
  for (size_t i = 0; i < inside.settings.peers.size(); ++i)
    loans->setMemberAlive(int(i),
                          membership.statusOf(members::MemberIndex(i)).state == members::MemberState::alive);
  for (auto& payload : membership.takePayloads()) {
    auto message = inside.codec->decode(payload.bytes, payload.from, inside.self);
    if (message)
      loans->receive(now, *message);
    else
      membership.countError(members::ErrorKind::undecodable);
  }
  loans->tick(now);
  auto messages = loans->takeOutgoing();
  if (!messages.empty())
    publishSnapshot(inside, now);
  for (auto& message : messages)
    inside.waiting.emplace_back(inside.told, std::move(message));
  uint64_t heeded = acknowledged_.load(std::memory_order_acquire);
  std::erase_if(inside.waiting, [&](auto& one) {
    auto& [number, message] = one;
    if (message.kind != shared::LeaseMessage::Kind::request && number > heeded)
      return false;
    membership.sendPayload(message.to, inside.codec->encode(message));
    return true;
  });
}

void ControlThread::run() {
  try {
    State& inside = *state_;
    Descriptor wake(inside.scheduler, ::dup(wake_), inside.signal);
    Task leaving = leave(inside, wake);
    leaving.start();
    inside.transport.start([this, &inside] {
      double now = inside.scheduler.now();
      auto happened = inside.membership.takeEvents();
      for (auto& event : happened) {
        const std::string& who = inside.settings.peers[size_t(event.member)].name;
        if (event.error)
          error() << members::describe(*event.error, event.reason, who);
        else
          info().with("member", who) << "members: " << who << " is " << members::nameOf(event.state) << ", "
                                     << event.reason;
      }
      if (!happened.empty() || now >= inside.toldAt + kTellEach)
        publishSnapshot(inside, now);
      if (!inside.leases)
        return HUGE_VAL;
      exchangeLeases(inside, now);
      inside.transport.send();
      // While letters wait for traffic, soon again: it looks every few milliseconds.
      return inside.waiting.empty() ? inside.leases->nextWakeUp() : now + kHeedEach;
    });
    inside.scheduler.run();
    if (auto fault = inside.transport.failure())
      std::rethrow_exception(fault);
  } catch (const std::exception& fault) {
    error() << members::describe(members::ErrorKind::controlThreadFailed, fault.what(), "control thread");
  }
  ended_ = true;
}

// --- traffic
const ControlSnapshot* ControlThread::latest(double now) {
  const ControlSnapshot* told = snapshot_.read();
  double age = now - (told ? told->members.takenAt : startedAt_);
  bool stale = age > kStaleAfter;
  if (stale && !stalled_)
    warn() << members::describe(members::ErrorKind::controlThreadStalled,
                                "nothing told for " + std::to_string(age) + " s", "control thread");
  if (!stale && stalled_)
    info() << "members: the control thread tells again";
  stalled_ = stale;
  return stale ? nullptr : told;
}

void ControlThread::watch(Scheduler& traffic) {
  watch_ = std::make_unique<Timer>(traffic, [this] {
    latest(clock_.now());
    watch_->set(clock_.now() + kStaleAfter / 4);
  });
  watch_->set(clock_.now());
}

bool ControlThread::stop() {
  uint64_t one = 1;
  (void)!::write(wake_, &one, sizeof one);
  for (double end = clock_.now() + kStopTime; !ended_;) {
    if (clock_.now() >= end)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  thread_.join();
  ::close(wake_);
  return true;
}

}  // namespace elmcleat
