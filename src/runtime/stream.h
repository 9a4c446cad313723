// A non-blocking TCP connection with bounded input and output buffers, and the reason why it closed.
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
  // `signal` is raised when the connection may have become readable or writable. The bounds are in bytes.
  Stream(Scheduler& scheduler, Signal& signal, size_t maxInputBytes, size_t maxOutputBytes)
      : scheduler_(scheduler),
        signal_(signal),
        maxInputBytes_(maxInputBytes),
        maxOutputBytes_(maxOutputBytes) {}

  // Takes over an accepted connection.
  void adopt(int fd);
  // Starts to connect: isConnected() tells when the connection is established, closeReason() why it failed.
  // `from` is the local host address to bind to; 0: any.
  void connect(const Address& address, uint32_t from = 0);
  bool isConnected();

  // Reads into input() all that has arrived, until the buffer is full; returns false once the connection is
  // closed. Calls the system only after an epoll event that reported input, or if `force` is set.
  bool receive(bool force = false);
  // Whether the last receive() left input unread because the buffer was full (backpressure).
  bool inputLimited() const { return inputLimited_; }
  std::string& input() { return input_; }
  const std::string& input() const { return input_; }
  // Frees the memory of the input buffer, if that is empty.
  void releaseInput() {
    if (input_.empty())
      std::string().swap(input_);  // an assignment would keep the memory
  }

  // Appends to the output, and returns an id for hasStarted() and withdraw(). If the output buffer is then
  // over its bound, the connection is closed. Nothing is sent before flush().
  uint64_t write(std::string bytes);
  void flush();
  // Whether the first byte of the write has been sent.
  bool hasStarted(uint64_t writeId) const { return writeId < firstUnstarted_; }
  // Removes a write of which nothing has been sent; returns false if that is too late.
  bool withdraw(uint64_t writeId);
  bool allSent() const { return output_.empty(); }

  // Whether the peer has closed its side, however much of what it sent before is still unread. Asks the system.
  bool peerHasClosed() const;

  bool isOpen() const { return socket_ != nullptr; }
  CloseReason closeReason() const { return reason_; }
  // Half-close: nothing more is sent, input is still read.
  void shutDown();
  // Closes the connection; of several reasons the first is kept.
  void close(CloseReason reason);

 private:
  struct PendingWrite {
    uint64_t id;
    std::string bytes;
  };
  void adoptDescriptor(int fd);

  Scheduler& scheduler_;
  Signal& signal_;
  size_t maxInputBytes_;
  size_t maxOutputBytes_;
  std::unique_ptr<Descriptor> socket_;
  bool connected_ = false;
  bool inputLimited_ = false;
  std::string input_;
  std::deque<PendingWrite> output_;
  size_t outputBytes_ = 0;     // not yet sent
  size_t frontSentBytes_ = 0;  // sent of the first pending write
  uint64_t nextWriteId_ = 0;
  uint64_t firstUnstarted_ = 0;  // of all writes with an id below this one at least a byte has been sent
  CloseReason reason_ = CloseReason::none;
};

// The address in the system's form, in network byte order.
sockaddr_in toSockaddr(const Address& address);
// Opens a non-blocking listening socket. Throws std::system_error if that fails.
int listenOn(const Address& address);

}  // namespace elmcleat
