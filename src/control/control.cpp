#include "control/control.h"

#include <pthread.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <chrono>
#include <cmath>
#include <cstdlib>
#include <deque>
#include <exception>

#include "members/core.h"
#include "members/shell.h"
#include "runtime/log.h"
#include "shared/lease_codec.h"

namespace elmcleat {
namespace {

constexpr double kTellEach = 0.1;   // seconds from one view to the next, if nothing happens
constexpr double kHeedEach = 0.01;  // seconds until letters that wait for traffic are looked at again
constexpr double kStaleAfter = 2;   // age of a view beyond which traffic goes on without what is shared
constexpr double kStopTime = 1;     // seconds that the thread is given to end

members::Member placeOf(const members::Plan& plan, const std::string& name) {
  for (size_t i = 0; i < plan.peers.size(); ++i)
    if (plan.peers[i].name == name)
      return members::Member(i);
  throw members::Fault(members::Wrong::notListed,
                       "the list in the gateway file's members.peers does not name it", "'" + name + "'");
}

// Greater in each later life while the machine's clock goes forward; the core sees to it where it does not.
members::Life newLife() {
  auto unix = std::chrono::system_clock::now().time_since_epoch();
  auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(unix).count();
  return {uint64_t(std::max<int64_t>(ms, 1)), 1};
}

}  // namespace

struct Control::Inside {
  Inside(const Clock& clock, const members::Plan& given, members::Member its, uint64_t seed,
         const std::optional<Sharing>& sharing)
      : plan(given),
        self(its),
        life(newLife()),
        scheduler(clock),
        core(plan, self, life, seed, clock.now()),
        shell(scheduler, plan, self, core),
        signal(scheduler) {
    if (!sharing)
      return;
    std::vector<std::string> names;
    for (auto& rate : sharing->rates)
      names.push_back(rate.name());
    wire = std::make_unique<shared::LeaseCodec>(names, sharing->terms.quotas);
    leases = std::make_unique<shared::LeaseManager>(sharing->terms, self, life.instance, seed, clock.now());
  }

  members::Plan plan;
  members::Member self;
  members::Life life;
  Scheduler scheduler;
  members::Core core;
  members::Shell shell;
  Signal signal;  // stop() may have been called
  double toldAt = -1;
  uint64_t told = 0;  // the number of the last view
  std::unique_ptr<shared::LeaseCodec> wire;
  std::unique_ptr<shared::LeaseManager> leases;  // none: nothing is shared
  // Letters that rest on what traffic has to heed first, with the view that tells it so.
  std::deque<std::pair<uint64_t, shared::LeaseMessage>> waiting;
};

Control::Control(const Clock& clock, const members::Plan& plan, const std::string& name, uint64_t seed,
                 const std::optional<Sharing>& sharing)
    : clock_(clock),
      startedAt_(clock.now()),
      inside_(std::make_unique<Inside>(clock, plan, placeOf(plan, name), seed, sharing)) {
  wake_ = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  tell(*inside_, clock.now());  // there is something to go by from the first command on
  info() << "members: fleet '" << plan.fleet << "', " << plan.peers.size() << " listed; listens on "
         << textOf(plan.peers[size_t(inside_->self)].at);
  thread_ = std::thread([this] { run(); });
  pthread_setname_np(thread_.native_handle(), "control");  // by us: it has its name once we are made
}

Control::~Control() {
  if (thread_.joinable() && !stop())
    std::_Exit(EXIT_FAILURE);  // it hangs, and works on what goes with us
}

// --- the control thread
Task Control::leave(Inside& inside, const Descriptor& wake) {
  for (uint64_t told; ::read(wake.fd(), &told, sizeof told) != sizeof told;)
    co_await inside.signal;
  inside.core.leave(inside.scheduler.now());
  inside.shell.send();
  inside.scheduler.stop();
}

void Control::tell(Inside& inside, double now) {
  auto told = std::make_unique<Told>();
  told->members = inside.core.view(now);
  for (size_t i = 0; inside.leases && i < inside.leases->quotaCount(); ++i)
    told->usable.push_back(inside.leases->availableQuota(i, now));
  inside.toldAt = now, inside.told = told->members.number;
  told_.put(std::move(told));
}

// A grant is a promise not to use what is granted, a return one not to use what was borrowed: neither goes out before
// traffic has said that it heeds the view with it. So what all use never adds up to more, not even for the moment until
// traffic looks; while it hangs nothing is lent.
void Control::lend(Inside& inside, double now) {
  auto& loans = inside.leases;
  auto& core = inside.core;
  if (const auto* wants = wants_.get())
    for (size_t i = 0; i < wants->size() && i < loans->quotaCount(); ++i)
      loans->setDemand(i, (*wants)[i]);
  for (size_t i = 0; i < inside.plan.peers.size(); ++i)
    loans->setMemberAlive(int(i), core.claimOf(members::Member(i)).state == members::State::alive);
  for (auto& parcel : core.parcels()) {
    auto message = inside.wire->decode(parcel.bytes, parcel.from, inside.self);
    if (message)
      loans->receive(now, *message);
    else
      core.wrong(members::Wrong::undecodable);
  }
  loans->tick(now);
  auto messages = loans->takeOutgoing();
  if (!messages.empty())
    tell(inside, now);
  for (auto& message : messages)
    inside.waiting.emplace_back(inside.told, std::move(message));
  uint64_t heeded = heeded_.load(std::memory_order_acquire);
  std::erase_if(inside.waiting, [&](auto& one) {
    auto& [number, message] = one;
    if (message.kind != shared::LeaseMessage::Kind::request && number > heeded)
      return false;
    core.post(message.to, inside.wire->encode(message));
    return true;
  });
}

void Control::run() {
  try {
    Inside& inside = *inside_;
    Descriptor wake(inside.scheduler, ::dup(wake_), inside.signal);
    Task leaving = leave(inside, wake);
    leaving.start();
    inside.shell.start([this, &inside] {
      double now = inside.scheduler.now();
      auto happened = inside.core.happened();
      for (auto& event : happened) {
        const std::string& who = inside.plan.peers[size_t(event.member)].name;
        if (event.wrong)
          error() << members::lineOf(*event.wrong, event.why, who);
        else
          info().with("member", who) << "members: " << who << " is " << members::nameOf(event.state) << ", "
                                     << event.why;
      }
      if (!happened.empty() || now >= inside.toldAt + kTellEach)
        tell(inside, now);
      if (!inside.leases)
        return HUGE_VAL;
      lend(inside, now);
      inside.shell.send();
      // While letters wait for traffic, soon again: it looks every few milliseconds.
      return inside.waiting.empty() ? inside.leases->nextWakeUp() : now + kHeedEach;
    });
    inside.scheduler.run();
    if (auto fault = inside.shell.fault())
      std::rethrow_exception(fault);
  } catch (const std::exception& fault) {
    error() << members::lineOf(members::Wrong::controlEnded, fault.what(), "control thread");
  }
  ended_ = true;
}

// --- traffic
const Told* Control::latest(double now) {
  const Told* told = told_.get();
  double age = now - (told ? told->members.at : startedAt_);
  bool stale = age > kStaleAfter;
  if (stale && !silent_)
    warn() << members::lineOf(members::Wrong::controlSilent, "nothing told for " + std::to_string(age) + " s",
                              "control thread");
  if (!stale && silent_)
    info() << "members: the control thread tells again";
  silent_ = stale;
  return stale ? nullptr : told;
}

void Control::watch(Scheduler& traffic) {
  watch_ = std::make_unique<Timer>(traffic, [this] {
    latest(clock_.now());
    watch_->set(clock_.now() + kStaleAfter / 4);
  });
  watch_->set(clock_.now());
}

bool Control::stop() {
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
