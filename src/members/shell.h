// The core on sockets: datagrams, and a stream for a message that is too large for one. It decides nothing: the core
// says what is sent, Wire how it reads; what can't be passed on is counted by its kind.
#pragma once
#include <exception>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "members/core.h"
#include "members/wire.h"
#include "runtime/stream.h"

namespace elmcleat::members {

class Shell {
 public:
  // Binds at once: Fault where the address is taken.
  Shell(Scheduler& scheduler, const Plan& plan, Member self, Core& core);
  // `turned` is called after each turn, with the core up to date, and says when it wants the next at the latest.
  void start(std::function<double()> turned);
  void send();                                         // what the core has to say
  std::exception_ptr fault() const { return fault_; }  // what ended it

 private:
  struct Link {  // a stream with one message on it, ours or theirs
    Link(Scheduler& scheduler, Signal& signal)
        : stream(scheduler, signal, kMostBytes + 8, kMostBytes + 8),
          late(scheduler, [this, &signal] { stream.end(CloseReason::timedOut), signal.raise(); }) {}
    Stream stream;
    Timer late;
    std::string out;    // ours, until the connection is up
    uint32_t host = 0;  // theirs: where it comes from
    bool ours = false;
  };

  Task run();
  void readDatagrams();
  void acceptStreams();
  void serve(Link& link);
  void heard(std::string_view bytes, uint32_t host, uint16_t port);
  void wrong(Wrong kind, const std::string& from, const char* what);

  Scheduler& scheduler_;
  const Plan& plan_;
  Core& core_;
  uint32_t here_;  // our own host
  Wire wire_;
  Signal signal_;
  Timer timer_;
  std::unique_ptr<Descriptor> datagrams_, listener_;
  std::list<std::unique_ptr<Link>> links_;
  std::array<double, kWrongs> toldAt_;  // of each kind, when it was logged last
  std::function<double()> turned_;
  std::exception_ptr fault_;
  Task task_;
};

}  // namespace elmcleat::members
