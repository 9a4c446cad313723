// A TCP connection: bytes in and out through bounded buffers, and how it ended.
#pragma once
#include <netinet/in.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

#include "protocol/address.h"
#include "runtime/close_reason.h"
#include "runtime/scheduler.h"

namespace elmcleat {

class Stream {
 public:
  Stream(Scheduler& scheduler, Signal& signal, size_t mostIn, size_t mostOut)
      : scheduler_(scheduler), signal_(signal), mostIn_(mostIn), mostOut_(mostOut) {}

  void adopt(int fd);  // a connection that was accepted
  // isConnected() tells when it is up, closeReason() if it failed. `from`: our own host, where it matters; 0: any.
  void connect(const Address& address, uint32_t from = 0);
  bool isConnected();

  // Reads all there is, until the buffer is full; false once the connection has ended. The system is asked
  // only when it has told of something, or with `look`.
  bool receive(bool look = false);
  bool inputLimited() const { return cutShort_; }  // the last receive() left some, for want of room
  std::string& input() { return in_; }
  const std::string& input() const { return in_; }

  // What goes out; each write has a place, by which hasStarted() tells whether its first byte has gone.
  uint64_t write(std::string bytes);
  void flush();
  bool hasStarted(uint64_t place) const { return place < sent_; }
  bool withdraw(uint64_t place);  // takes back a write that has not begun
  bool allSent() const { return out_.empty(); }

  bool isOpen() const { return socket_ != nullptr; }
  CloseReason closeReason() const { return reason_; }
  void shutDown();                 // says that nothing more goes out
  void close(CloseReason ending);  // closes; the first ending counts

 private:
  struct Chunk {
    uint64_t place;
    std::string bytes;
  };
  void adoptDescriptor(int fd);

  Scheduler& scheduler_;
  Signal& signal_;
  size_t mostIn_, mostOut_;
  std::unique_ptr<Descriptor> socket_;
  bool up_ = false, cutShort_ = false;
  std::string in_;
  std::deque<Chunk> out_;
  size_t outBytes_ = 0, headSent_ = 0;
  uint64_t next_ = 0, sent_ = 0;  // places given; places before this one have begun
  CloseReason reason_ = CloseReason::none;
};

// As the system has it.
sockaddr_in toSockaddr(const Address& address);
// A socket that listens, or an exception with the reason.
int listenOn(const Address& address);

}  // namespace elmcleat
