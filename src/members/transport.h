// The core on sockets: datagrams, and a stream for a message that is too large for one. It decides nothing: the core
// says what is sent, MessageCodec how it reads; what can't be passed on is counted by its kind.
#pragma once
#include <exception>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "members/membership.h"
#include "members/message_codec.h"
#include "runtime/stream.h"

namespace elmcleat::members {

class Transport {
 public:
  // Binds at once: Error where the address is taken.
  Transport(Scheduler& scheduler, const MembershipSettings& settings, MemberIndex self,
            Membership& membership);
  // `turned` is called after each turn, with the core up to date, and says when it wants the next at the latest.
  void start(std::function<double()> turned);
  void send();                                           // what the core has to say
  std::exception_ptr failure() const { return fault_; }  // what ended it

 private:
  struct MessageStream {  // a stream with one message on it, ours or theirs
    MessageStream(Scheduler& scheduler, Signal& signal)
        : stream(scheduler, signal, kMaxMessageBytes + 8, kMaxMessageBytes + 8),
          late(scheduler, [this, &signal] { stream.close(CloseReason::timedOut), signal.raise(); }) {}
    Stream stream;
    Timer late;
    std::string out;    // ours, until the connection is up
    uint32_t host = 0;  // theirs: where it comes from
    bool ours = false;
  };

  Task run();
  void readDatagrams();
  void acceptStreams();
  void serve(MessageStream& link);
  void receive(std::string_view bytes, uint32_t host, uint16_t port);
  void reportError(ErrorKind kind, const std::string& from, const char* what);

  Scheduler& scheduler_;
  const MembershipSettings& settings_;
  Membership& membership_;
  uint32_t here_;  // our own host
  MessageCodec codec_;
  Signal signal_;
  Timer timer_;
  std::unique_ptr<Descriptor> datagrams_, listener_;
  std::list<std::unique_ptr<MessageStream>> links_;
  std::array<double, kErrorKinds> toldAt_;  // of each kind, when it was logged last
  std::function<double()> turned_;
  std::exception_ptr fault_;
  Task task_;
};

}  // namespace elmcleat::members
