// elmcleat: the dispatcher. Wires the parts together and heeds signals.
#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <exception>
#include <iostream>

#include "config/config.h"
#include "runtime/log.h"
#include "runtime/scheduler.h"
#include "serve/desk.h"
#include "serve/door.h"
#include "serve/fleet.h"

namespace elmcleat {
namespace {

int signalDescriptor() {
  sigset_t heeded;
  sigemptyset(&heeded);
  sigaddset(&heeded, SIGTERM), sigaddset(&heeded, SIGINT);
  sigprocmask(SIG_BLOCK, &heeded, nullptr);
  signal(SIGPIPE, SIG_IGN);  // a log reader that has gone must not end us
  return signalfd(-1, &heeded, SFD_NONBLOCK | SFD_CLOEXEC);
}

Task leaveOnSignal(const Descriptor& signals, Signal& signal, Door& door) {
  signalfd_siginfo heard;
  while (read(signals.fd(), &heard, sizeof heard) != sizeof heard) co_await signal;
  door.leave();
}

void run() {
  Config config = readConfig();
  Log::filter(config.log);
  Clock clock;
  Scheduler scheduler(clock);
  Signal signal(scheduler);
  Descriptor signals(scheduler, signalDescriptor(), signal);
  Desk desk(scheduler, config.settings, config.seed);
  Fleet fleet(scheduler, config, desk);
  Door door(scheduler, config, desk);
  desk.start(fleet);
  fleet.start();
  door.open();
  Task leaving = leaveOnSignal(signals, signal, door);
  leaving.start();
  info() << config.name << ": listens on " << textOf(config.listen);
  scheduler.run();
}

}  // namespace
}  // namespace elmcleat

int main() {
  try {
    elmcleat::run();
  } catch (const std::exception& fault) {
    std::cerr << "elmcleat: " << fault.what() << std::endl;
    return 1;
  }
  return 0;
}
