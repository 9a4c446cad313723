#include "runtime/stream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace elmcleat {
namespace {

CloseReason reasonOf(int fault) {
  switch (fault) {
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

constexpr size_t kChunk = 16 * 1024;  // read at once

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
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);  // restarts come under the same address
  sockaddr_in native = toSockaddr(address);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&native), sizeof native) < 0 || ::listen(fd, SOMAXCONN) < 0) {
    int fault = errno;
    ::close(fd);
    throw std::system_error(fault, std::generic_category(), "listening on " + formatAddress(address));
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
  up_ = true;
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
    up_ = true;
  else if (errno != EINPROGRESS)
    close(reasonOf(errno) == CloseReason::reset ? CloseReason::refused : reasonOf(errno));
}

bool Stream::isConnected() {
  if (up_ || !socket_)
    return up_;
  sockaddr_in peer;
  socklen_t size = sizeof peer;
  if (::getpeername(socket_->fd(), reinterpret_cast<sockaddr*>(&peer), &size) == 0)
    return up_ = true;
  int fault = 0;
  size = sizeof fault;
  ::getsockopt(socket_->fd(), SOL_SOCKET, SO_ERROR, &fault, &size);
  // Whatever broke it, it never came up.
  if (fault != 0)
    close(reasonOf(fault) == CloseReason::reset ? CloseReason::refused : reasonOf(fault));
  return false;
}

bool Stream::receive(bool look) {
  static thread_local char chunk[kChunk];  // a buffer of the stream's own would be cleared at each read
  cutShort_ = false;
  for (; socket_ && (look || socket_->mayBeReadable()); look = false) {
    if (in_.size() >= mostIn_) {  // whoever reads makes room, or ends it
      cutShort_ = true;
      break;
    }
    size_t room = std::min(kChunk, mostIn_ - in_.size());
    ssize_t got = ::recv(socket_->fd(), chunk, room, 0);
    if (got > 0) {
      in_.append(chunk, static_cast<size_t>(got));
      if (static_cast<size_t>(got) < room)
        socket_->clearReadable();  // but for an end, if one has been announced
    } else if (got == 0) {
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
  uint64_t place = next_++;
  outBytes_ += bytes.size();
  out_.push_back({place, std::move(bytes)});
  if (outBytes_ > mostOut_)
    close(CloseReason::bufferFull);
  return place;
}

bool Stream::withdraw(uint64_t place) {
  auto chunk = std::ranges::find(out_, place, &Chunk::place);
  if (chunk == out_.end() || hasStarted(place))
    return false;
  outBytes_ -= chunk->bytes.size();
  out_.erase(chunk);
  return true;
}

void Stream::flush() {
  while (socket_ && up_ && !out_.empty()) {
    iovec parts[16];
    int count = 0;
    size_t skip = headSent_;
    for (auto chunk = out_.begin(); chunk != out_.end() && count < 16; ++chunk, skip = 0)
      parts[count++] = {chunk->bytes.data() + skip, chunk->bytes.size() - skip};
    msghdr message{};
    message.msg_iov = parts, message.msg_iovlen = static_cast<size_t>(count);
    ssize_t done = ::sendmsg(socket_->fd(), &message, MSG_NOSIGNAL);
    if (done < 0) {
      if (errno == EINTR)
        continue;
      if (errno != EAGAIN)
        close(reasonOf(errno));
      return;
    }
    for (auto left = static_cast<size_t>(done); left > 0;) {
      Chunk& head = out_.front();
      sent_ = head.place + 1;
      size_t part = std::min(left, head.bytes.size() - headSent_);
      left -= part, headSent_ += part, outBytes_ -= part;
      if (headSent_ < head.bytes.size())
        break;
      headSent_ = 0;
      out_.pop_front();
    }
  }
}

void Stream::shutDown() {
  if (socket_)
    ::shutdown(socket_->fd(), SHUT_WR);
}

void Stream::close(CloseReason ending) {
  if (reason_ == CloseReason::none)
    reason_ = ending;
  socket_.reset();
}

}  // namespace elmcleat
