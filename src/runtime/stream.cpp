#include "runtime/stream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace elmcleat {
namespace {

CloseReason reasonOf(int error) {
  switch (error) {
    case ECONNREFUSED:
    case EHOSTUNREACH:
    case ENETUNREACH:
    case EADDRNOTAVAIL:
      return CloseReason::refused;
    case ETIMEDOUT:
      return CloseReason::connectTimedOut;
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
      return CloseReason::outOfDescriptors;
    default:
      return CloseReason::reset;
  }
}

constexpr size_t kReadBytes = 16 * 1024;  // most bytes of one recv()
constexpr int kMaxParts = 16;             // most writes sent by one sendmsg()

}  // namespace

sockaddr_in toSockaddr(const Address& address) {
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_addr.s_addr = htonl(address.host);
  native.sin_port = htons(address.port);
  return native;
}

int listenOn(const Address& address) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    throw std::system_error(errno, std::generic_category(), "socket");
  int on = 1;
  // Lets a restarted process listen on the same address.
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in native = toSockaddr(address);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&native), sizeof native) < 0 || ::listen(fd, SOMAXCONN) < 0) {
    int error = errno;
    ::close(fd);
    throw std::system_error(error, std::generic_category(), "listening on " + formatAddress(address));
  }
  return fd;
}

void Stream::adoptDescriptor(int fd) {
  int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  try {
    socket_ = std::make_unique<Descriptor>(scheduler_, fd, signal_);
  } catch (const std::system_error&) {
    close(CloseReason::outOfDescriptors);
  }
}

void Stream::adopt(int fd) {
  connected_ = true;
  adoptDescriptor(fd);
}

void Stream::connect(const Address& address, uint32_t from) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return close(reasonOf(errno));
  adoptDescriptor(fd);
  if (!socket_)
    return;
  if (sockaddr_in own = toSockaddr({from, 0});
      from != 0 && ::bind(fd, reinterpret_cast<sockaddr*>(&own), sizeof own) < 0)
    return close(reasonOf(errno));
  sockaddr_in native = toSockaddr(address);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&native), sizeof native) == 0)
    connected_ = true;
  else if (errno != EINPROGRESS)
    close(reasonOf(errno) == CloseReason::reset ? CloseReason::refused : reasonOf(errno));
}

bool Stream::isConnected() {
  if (connected_ || !socket_)
    return connected_;
  sockaddr_in peer;
  socklen_t size = sizeof peer;
  if (::getpeername(socket_->fd(), reinterpret_cast<sockaddr*>(&peer), &size) == 0)
    return connected_ = true;
  int error = 0;
  size = sizeof error;
  ::getsockopt(socket_->fd(), SOL_SOCKET, SO_ERROR, &error, &size);
  // Whatever the error, the connection was never established: a reset counts as refused.
  if (error != 0)
    close(reasonOf(error) == CloseReason::reset ? CloseReason::refused : reasonOf(error));
  return false;
}

bool Stream::receive(bool force) {
  // Shared by all streams of the thread: growing a stream's own buffer before each read would zero-fill it.
  static thread_local char buffer[kReadBytes];
  inputLimited_ = false;
  for (; socket_ && (force || socket_->mayBeReadable()); force = false) {
    if (input_.size() >= maxInputBytes_) {  // the caller makes room in input(), or closes the connection
      inputLimited_ = true;
      break;
    }
    size_t room = std::min(kReadBytes, maxInputBytes_ - input_.size());
    ssize_t received = ::recv(socket_->fd(), buffer, room, 0);
    if (received > 0) {
      input_.append(buffer, static_cast<size_t>(received));
      if (static_cast<size_t>(received) < room)
        socket_->clearReadable();  // keeps it readable if the peer has closed
    } else if (received == 0) {
      close(CloseReason::closed);
    } else if (errno == EAGAIN) {
      socket_->clearReadable();
      break;
    } else if (errno != EINTR) {
      close(reasonOf(errno));
    }
  }
  return isOpen();
}

uint64_t Stream::write(std::string bytes) {
  uint64_t id = nextWriteId_++;
  outputBytes_ += bytes.size();
  output_.push_back({id, std::move(bytes)});
  if (outputBytes_ > maxOutputBytes_)
    close(CloseReason::bufferFull);
  return id;
}

bool Stream::withdraw(uint64_t writeId) {
  auto write = std::ranges::find(output_, writeId, &PendingWrite::id);
  if (write == output_.end() || hasStarted(writeId))
    return false;
  outputBytes_ -= write->bytes.size();
  output_.erase(write);
  return true;
}

void Stream::flush() {
  while (socket_ && connected_ && !output_.empty()) {
    iovec parts[kMaxParts];
    int count = 0;
    size_t skip = frontSentBytes_;
    for (auto write = output_.begin(); write != output_.end() && count < kMaxParts; ++write, skip = 0)
      parts[count++] = {write->bytes.data() + skip, write->bytes.size() - skip};
    msghdr message{};
    message.msg_iov = parts;
    message.msg_iovlen = static_cast<size_t>(count);
    ssize_t sent = ::sendmsg(socket_->fd(), &message, MSG_NOSIGNAL);
    if (sent < 0) {
      if (errno == EINTR)
        continue;
      if (errno != EAGAIN)
        close(reasonOf(errno));
      return;
    }
    for (auto remaining = static_cast<size_t>(sent); remaining > 0;) {
      PendingWrite& front = output_.front();
      firstUnstarted_ = front.id + 1;
      size_t part = std::min(remaining, front.bytes.size() - frontSentBytes_);
      remaining -= part;
      frontSentBytes_ += part;
      outputBytes_ -= part;
      if (frontSentBytes_ < front.bytes.size())
        break;
      frontSentBytes_ = 0;
      output_.pop_front();
    }
  }
}

bool Stream::peerHasClosed() const {
  if (!socket_)
    return true;
  pollfd descriptor{socket_->fd(), POLLRDHUP, 0};
  return ::poll(&descriptor, 1, 0) > 0;
}

void Stream::shutDown() {
  if (socket_)
    ::shutdown(socket_->fd(), SHUT_WR);
}

void Stream::close(CloseReason reason) {
  if (reason_ == CloseReason::none)
    reason_ = reason;
  socket_.reset();
}

}  // namespace elmcleat
