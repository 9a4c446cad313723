// The network transport of membership: UDP datagrams, and a TCP stream for each message that is too large for
// one. It owns the sockets and makes no protocol decisions: Membership returns the messages to send,
// MessageCodec encodes and decodes them. Messages that cannot be delivered are counted by ErrorKind.
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
  // Binds the sockets. Throws Error (addressInUse) if that fails.
  Transport(Scheduler& scheduler, const MembershipSettings& settings, MemberIndex self,
            Membership& membership);
  // Starts the event loop of the transport. `afterTurn` is called at the end of each turn, with the
  // membership up to date, and returns the time at which the next turn has to begin at the latest.
  void start(std::function<double()> afterTurn);
  // Sends all outgoing messages of the membership.
  void send();
  // The exception that ended the event loop, or null.
  std::exception_ptr failure() const { return failure_; }

 private:
  // A stream that carries one message, outgoing or incoming.
  struct MessageStream {
    MessageStream(Scheduler& scheduler, Signal& signal)
        : stream(scheduler, signal, kMaxMessageBytes + 8, kMaxMessageBytes + 8),
          timeout(scheduler, [this, &signal] { stream.close(CloseReason::timedOut), signal.raise(); }) {}
    Stream stream;
    Timer timeout;
    std::string unsent;  // outgoing: the message, until the connection is established
    uint32_t host = 0;   // incoming: the address of the sender
    bool isOutgoing = false;
  };

  Task run();
  void readDatagrams();
  void acceptStreams();
  void serve(MessageStream& connection);
  void receive(std::string_view bytes, uint32_t host, uint16_t port);
  void reportError(ErrorKind kind, const std::string& from, const char* what);

  Scheduler& scheduler_;
  const MembershipSettings& settings_;
  Membership& membership_;
  uint32_t ownHost_;
  MessageCodec codec_;
  Signal signal_;
  Timer timer_;
  std::unique_ptr<Descriptor> datagrams_;
  std::unique_ptr<Descriptor> listener_;
  std::list<std::unique_ptr<MessageStream>> streams_;
  std::array<double, kErrorKinds> lastLoggedAt_;  // by ErrorKind
  std::function<double()> afterTurn_;
  std::exception_ptr failure_;
  Task task_;
};

}  // namespace elmcleat::members
