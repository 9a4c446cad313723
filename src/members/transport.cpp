#include "members/transport.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "runtime/log.h"

namespace elmcleat::members {
namespace {

constexpr size_t kMaxStreams = 32;            // at the same time, outgoing and incoming
constexpr double kStreamTimeout = 2;          // seconds for the whole of a stream
constexpr double kLogInterval = 10;           // seconds between two log lines about the same kind of error
constexpr size_t kMaxDatagramsPerTurn = 256;  // read before the other work of the turn
constexpr size_t kReceiveBufferBytes = 64 * 1024;

// Returns a UDP socket that is bound to the address.
int bindDatagramSocket(const Address& address) {
  int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    throw std::system_error(errno, std::generic_category(), "socket");
  sockaddr_in native = toSockaddr(address);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&native), sizeof native) == 0)
    return fd;
  int bindError = errno;
  ::close(fd);
  throw std::system_error(bindError, std::generic_category(), "bind");
}

}  // namespace

Transport::Transport(Scheduler& scheduler, const MembershipSettings& settings, MemberIndex self,
                     Membership& membership)
    : scheduler_(scheduler),
      settings_(settings),
      membership_(membership),
      ownHost_(settings.peers[size_t(self)].address.host),
      codec_(settings),
      signal_(scheduler),
      timer_(scheduler, [this] { signal_.raise(); }) {
  lastLoggedAt_.fill(-kLogInterval);
  const Peer& own = settings.peers[size_t(self)];
  try {
    datagrams_ = std::make_unique<Descriptor>(scheduler, bindDatagramSocket(own.address), signal_);
    listener_ = std::make_unique<Descriptor>(scheduler, listenOn(own.address), signal_);
  } catch (const std::system_error& error) {
    throw Error(ErrorKind::addressInUse, std::strerror(error.code().value()),
                own.name + " at " + formatAddress(own.address));
  }
}

void Transport::start(std::function<double()> afterTurn) {
  afterTurn_ = std::move(afterTurn);
  task_ = run();
  task_.start();
}

Task Transport::run() {
  try {
    while (true) {
      readDatagrams();
      acceptStreams();
      for (auto connection = streams_.begin(); connection != streams_.end();) {
        serve(**connection);
        connection = (*connection)->stream.isOpen() ? std::next(connection) : streams_.erase(connection);
      }
      membership_.tick(scheduler_.now());
      send();
      double latest = afterTurn_();
      timer_.set(std::min(membership_.nextWakeUp(), latest));
      co_await signal_;
    }
  } catch (...) {  // an exception here must only end the control thread
    failure_ = std::current_exception();
    scheduler_.stop();
  }
}

// --- Receiving
void Transport::readDatagrams() {
  static thread_local char bytes[kReceiveBufferBytes];
  for (size_t count = 0; datagrams_->mayBeReadable(); ++count) {
    if (count == kMaxDatagramsPerTurn)
      return signal_.raise();
    sockaddr_in from{};
    socklen_t size = sizeof from;
    ssize_t received =
        ::recvfrom(datagrams_->fd(), bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (received >= 0)
      receive({bytes, size_t(received)}, ntohl(from.sin_addr.s_addr), ntohs(from.sin_port));
    else if (errno == EAGAIN)
      datagrams_->clearReadable();
    // Any other error concerns an earlier outgoing datagram (nothing listens at its destination); recvfrom()
    // has cleared it.
  }
}

void Transport::acceptStreams() {
  while (streams_.size() < kMaxStreams) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    int fd =
        ::accept4(listener_->fd(), reinterpret_cast<sockaddr*>(&from), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0)
      return;
    auto& connection = *streams_.emplace_back(std::make_unique<MessageStream>(scheduler_, signal_));
    connection.host = ntohl(from.sin_addr.s_addr);
    connection.timeout.set(scheduler_.now() + kStreamTimeout);
    connection.stream.adopt(fd);
  }
}

// A stream carries one message: its length in 4 bytes, big-endian, then its bytes. The receiver then closes
// the stream.
void Transport::serve(MessageStream& connection) {
  if (connection.isOutgoing) {
    if (!connection.stream.isConnected())
      return;
    if (!connection.unsent.empty())
      connection.stream.write(std::exchange(connection.unsent, {}));
    connection.stream.flush();
    connection.stream.receive();  // finds out that the receiver has read it all and closed
    return;
  }
  bool open = connection.stream.receive();
  std::string& in = connection.stream.input();
  if (in.size() >= 4) {
    size_t length = 0;
    for (size_t i = 0; i < 4; ++i)
      length = length << 8 | static_cast<unsigned char>(in[i]);
    if (length > kMaxMessageBytes) {
      reportError(ErrorKind::tooLarge, formatAddress({connection.host, 0}),
                  "a stream announces a message over the size limit");
      return connection.stream.close(CloseReason::bufferFull);
    }
    if (in.size() >= 4 + length) {
      receive(std::string_view(in).substr(4, length), connection.host, 0);
      return connection.stream.close(CloseReason::idle);
    }
  }
  if (!open && !in.empty())
    reportError(ErrorKind::undecodable, formatAddress({connection.host, 0}),
                "a stream ended within a message");
}

// Checks the source against the configured address of the sender: host and port of a datagram, only the host
// of a stream (whose `port` is 0).
void Transport::receive(std::string_view bytes, uint32_t host, uint16_t port) {
  auto decoded = codec_.decode(bytes);
  std::string from = formatAddress({host, port});
  if (auto* kind = std::get_if<ErrorKind>(&decoded))
    return reportError(*kind, from, "a message was dropped");
  auto& message = std::get<Message>(decoded);
  const Address& expected = settings_.peers[size_t(message.from)].address;
  if (expected.host != host || (port != 0 && expected.port != port))
    return reportError(ErrorKind::unknownSender, from,
                       "the source address is not that of the member that the message names as its sender");
  membership_.receive(scheduler_.now(), message);
}

// Counts the error, and logs it at most once in kLogInterval for each kind.
void Transport::reportError(ErrorKind kind, const std::string& from, const char* what) {
  membership_.countError(kind);
  double now = scheduler_.now();
  if (now < lastLoggedAt_[size_t(kind)] + kLogInterval)
    return;
  lastLoggedAt_[size_t(kind)] = now;
  warn() << describe(kind, what, from);
}

// --- Sending
void Transport::send() {
  for (auto& message : membership_.takeOutgoing()) {
    const Address& to = settings_.peers[size_t(message.to)].address;
    std::string bytes = codec_.encode(message);
    if (bytes.size() <= Membership::kMaxDatagramBytes) {
      // Errors are ignored: the protocol copes with lost datagrams.
      sockaddr_in native = toSockaddr(to);
      (void)!::sendto(datagrams_->fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL,
                      reinterpret_cast<sockaddr*>(&native), sizeof native);
      continue;
    }
    if (streams_.size() >= kMaxStreams || bytes.size() > kMaxMessageBytes) {
      membership_.countError(ErrorKind::tooLarge);
      continue;
    }
    auto& connection = *streams_.emplace_back(std::make_unique<MessageStream>(scheduler_, signal_));
    connection.isOutgoing = true;
    for (int shift = 24; shift >= 0; shift -= 8)
      connection.unsent += char(bytes.size() >> shift & 0xff);
    connection.unsent += bytes;
    connection.timeout.set(scheduler_.now() + kStreamTimeout);
    connection.stream.connect(to, ownHost_);
    signal_.raise();
  }
}

}  // namespace elmcleat::members
