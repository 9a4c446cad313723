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
  for (int one : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&heeded, one);
  sigprocmask(SIG_BLOCK, &heeded, nullptr);
  signal(SIGPIPE, SIG_IGN);  // a log reader that has gone must not end us
  return signalfd(-1, &heeded, SFD_NONBLOCK | SFD_CLOEXEC);
}

// What can change while commands are in hand does: where the list is followed and the level of the log. A file
// that can't be used changes nothing.
void readAgain(Fleet& fleet) {
  try {
    Config config = readConfig();
    Log::filter(config.log);
    info() << "configuration: read again";
    fleet.follow(config.changeLog);
  } catch (const std::exception& fault) { warn() << "configuration: the old one stays: " << fault.what(); }
}

Task heedSignals(const Descriptor& signals, Signal& signal, Fleet& fleet, Door& door) {
  for (signalfd_siginfo heard;;) {
    while (read(signals.fd(), &heard, sizeof heard) != sizeof heard) co_await signal;
    if (heard.ssi_signo == SIGHUP) readAgain(fleet);
    else door.leave();
  }
}

void run() {
  int heeded = signalDescriptor();  // first of all: no signal ends us from here on
  Config config = readConfig();
  Log::filter(config.log);
  Clock clock;
  Scheduler scheduler(clock);
  Signal signal(scheduler);
  Descriptor signals(scheduler, heeded, signal);
  Desk desk(scheduler, config.settings, config.seed);
  Fleet fleet(scheduler, config, desk);
  Door door(scheduler, config, desk);
  desk.start(fleet);
  fleet.start();
  door.open();
  Task heeding = heedSignals(signals, signal, fleet, door);
  heeding.start();
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
