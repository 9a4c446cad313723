#include "control/control.h"

#include <pthread.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <exception>

#include "members/core.h"
#include "members/shell.h"
#include "runtime/log.h"

namespace elmcleat {
namespace {

constexpr double kTellEach = 0.1;  // seconds from one view to the next, if nothing happens
constexpr double kStaleAfter = 2;  // age of a view beyond which traffic goes on without what is shared
constexpr double kStopTime = 1;    // seconds that the thread is given to end

members::Member placeOf(const members::Plan& plan, const std::string& name) {
  for (size_t i = 0; i < plan.peers.size(); ++i)
    if (plan.peers[i].name == name) return members::Member(i);
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
  Inside(const Clock& clock, const members::Plan& given, members::Member self, uint64_t seed)
      : plan(given),
        scheduler(clock),
        core(plan, self, newLife(), seed, clock.now()),
        shell(scheduler, plan, self, core),
        signal(scheduler) {}

  members::Plan plan;
  Scheduler scheduler;
  members::Core core;
  members::Shell shell;
  Signal signal;  // stop() may have been called
  double toldAt = -1;
};

Control::Control(const Clock& clock, const members::Plan& plan, const std::string& name, uint64_t seed)
    : clock_(clock),
      startedAt_(clock.now()),
      inside_(std::make_unique<Inside>(clock, plan, placeOf(plan, name), seed)) {
  wake_ = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  info() << "members: fleet '" << plan.fleet << "', " << plan.peers.size() << " listed; listens on "
         << textOf(plan.peers[size_t(placeOf(plan, name))].at);
  thread_ = std::thread([this] {
    pthread_setname_np(pthread_self(), "control");
    run();
  });
}

Control::~Control() {
  if (thread_.joinable() && !stop()) std::_Exit(EXIT_FAILURE);  // it hangs, and works on what goes with us
}

// --- the control thread
Task Control::leave(Inside& inside, const Descriptor& wake) {
  for (uint64_t told; ::read(wake.fd(), &told, sizeof told) != sizeof told;) co_await inside.signal;
  inside.core.leave(inside.scheduler.now());
  inside.shell.send();
  inside.scheduler.stop();
}

void Control::run() {
  try {
    auto& [plan, scheduler, core, shell, signal, toldAt] = *inside_;
    Descriptor wake(scheduler, ::dup(wake_), signal);
    Task leaving = leave(*inside_, wake);
    leaving.start();
    shell.start([this] {
      auto& [plan_, scheduler_, core_, shell_, signal_, told] = *inside_;
      auto happened = core_.happened();
      for (auto& event : happened) {
        const std::string& who = plan_.peers[size_t(event.member)].name;
        if (event.wrong) error() << members::lineOf(*event.wrong, event.why, who);
        else
          info().with("member", who) << "members: " << who << " is " << members::nameOf(event.state) << ", "
                                     << event.why;
      }
      double now = scheduler_.now();
      if (happened.empty() && now < told + kTellEach) return;
      told = now;
      views_.put(std::make_unique<const members::View>(core_.view(now)));
    });
    scheduler.run();
    if (auto fault = shell.fault()) std::rethrow_exception(fault);
  } catch (const std::exception& fault) {
    error() << members::lineOf(members::Wrong::controlEnded, fault.what(), "control thread");
  }
  ended_ = true;
}

// --- traffic
const members::View* Control::latest(double now) {
  const members::View* view = views_.get();
  double age = now - (view ? view->at : startedAt_);
  bool stale = age > kStaleAfter;
  if (stale && !silent_)
    warn() << members::lineOf(members::Wrong::controlSilent, "nothing told for " + std::to_string(age) + " s",
                              "control thread");
  if (!stale && silent_) info() << "members: the control thread tells again";
  silent_ = stale;
  return stale ? nullptr : view;
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
    if (clock_.now() >= end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  thread_.join();
  ::close(wake_);
  return true;
}

}  // namespace elmcleat
