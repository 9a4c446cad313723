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

constexpr size_t kMostLinks =
    32;  // streams at once, ours and theirs; beyond them one is left for the next time
constexpr double kLinkTime = 2;    // seconds that a stream may take
constexpr double kTellAgain = 10;  // seconds between two log lines of one kind of fault
constexpr size_t kMostRead = 256;  // datagrams read before others get their turn
constexpr size_t kLargest = 64 * 1024;

int bound(const Address& address) {
  int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    throw std::system_error(errno, std::generic_category(), "socket");
  sockaddr_in native = toSockaddr(address);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&native), sizeof native) == 0)
    return fd;
  int fault = errno;
  ::close(fd);
  throw std::system_error(fault, std::generic_category(), "bind");
}

}  // namespace

Transport::Transport(Scheduler& scheduler, const MembershipSettings& settings, MemberIndex self,
                     Membership& membership)
    : scheduler_(scheduler),
      settings_(settings),
      membership_(membership),
      here_(settings.peers[size_t(self)].address.host),
      codec_(settings),
      signal_(scheduler),
      timer_(scheduler, [this] { signal_.raise(); }) {
  toldAt_.fill(-kTellAgain);
  const Peer& me = settings.peers[size_t(self)];
  try {
    datagrams_ = std::make_unique<Descriptor>(scheduler, bound(me.address), signal_);
    listener_ = std::make_unique<Descriptor>(scheduler, listenOn(me.address), signal_);
  } catch (const std::system_error& fault) {
    throw Error(ErrorKind::addressInUse, std::strerror(fault.code().value()),
                me.name + " at " + formatAddress(me.address));
  }
}

void Transport::start(std::function<double()> turned) {
  turned_ = std::move(turned);
  task_ = run();
  task_.start();
}

Task Transport::run() {
  try {
    while (true) {
      readDatagrams();
      acceptStreams();
      for (auto link = links_.begin(); link != links_.end();) {
        serve(**link);
        link = (*link)->stream.isOpen() ? std::next(link) : links_.erase(link);
      }
      membership_.tick(scheduler_.now());
      send();
      double wanted = turned_();
      timer_.set(std::min(membership_.nextWakeUp(), wanted));
      co_await signal_;
    }
  } catch (...) {  // a fault here must end the control thread alone
    fault_ = std::current_exception();
    scheduler_.stop();
  }
}

// --- what comes
void Transport::readDatagrams() {
  static thread_local char bytes[kLargest];
  for (size_t count = 0; datagrams_->mayBeReadable(); ++count) {
    if (count == kMostRead)
      return signal_.raise();
    sockaddr_in from{};
    socklen_t size = sizeof from;
    ssize_t got =
        ::recvfrom(datagrams_->fd(), bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (got >= 0)
      receive({bytes, size_t(got)}, ntohl(from.sin_addr.s_addr), ntohs(from.sin_port));
    else if (errno == EAGAIN)
      datagrams_->clearReadable();
    // Any other fault is what became of a datagram of ours (nobody listens there), and taken off the socket by this.
  }
}

void Transport::acceptStreams() {
  while (links_.size() < kMostLinks) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    int fd =
        ::accept4(listener_->fd(), reinterpret_cast<sockaddr*>(&from), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0)
      return;
    auto& link = *links_.emplace_back(std::make_unique<MessageStream>(scheduler_, signal_));
    link.host = ntohl(from.sin_addr.s_addr);
    link.late.set(scheduler_.now() + kLinkTime);
    link.stream.adopt(fd);
  }
}

// One message a stream: its length in 4 bytes, big-endian, then its bytes, then the end.
void Transport::serve(MessageStream& link) {
  if (link.ours) {
    if (!link.stream.isConnected())
      return;
    if (!link.out.empty())
      link.stream.write(std::exchange(link.out, {}));
    link.stream.flush();
    link.stream.receive();  // whoever has read it all closes
    return;
  }
  bool open = link.stream.receive();
  std::string& in = link.stream.input();
  if (in.size() >= 4) {
    size_t length = 0;
    for (size_t i = 0; i < 4; ++i)
      length = length << 8 | static_cast<unsigned char>(in[i]);
    if (length > kMaxMessageBytes) {
      reportError(ErrorKind::tooLarge, formatAddress({link.host, 0}),
                  "a stream announces more than a message may have");
      return link.stream.close(CloseReason::bufferFull);
    }
    if (in.size() >= 4 + length) {
      receive(std::string_view(in).substr(4, length), link.host, 0);
      return link.stream.close(CloseReason::idle);
    }
  }
  if (!open && !in.empty())
    reportError(ErrorKind::undecodable, formatAddress({link.host, 0}), "a stream ended within a message");
}

// A datagram comes from the very address of the member that it names; a stream from its host.
void Transport::receive(std::string_view bytes, uint32_t host, uint16_t port) {
  auto read = codec_.decode(bytes);
  std::string from = formatAddress({host, port});
  if (auto* kind = std::get_if<ErrorKind>(&read))
    return reportError(*kind, from, "a message was dropped");
  auto& message = std::get<Message>(read);
  const Address& at = settings_.peers[size_t(message.from)].address;
  if (at.host != host || (port != 0 && at.port != port))
    return reportError(ErrorKind::unknownSender, from,
                       "a message came in the name of another address's member");
  membership_.receive(scheduler_.now(), message);
}

void Transport::reportError(ErrorKind kind, const std::string& from, const char* what) {
  membership_.countError(kind);
  double now = scheduler_.now();
  if (now < toldAt_[size_t(kind)] + kTellAgain)
    return;
  toldAt_[size_t(kind)] = now;
  warn() << describe(kind, what, from);
}

// --- what goes
void Transport::send() {
  for (auto& message : membership_.takeOutgoing()) {
    const Address& to = settings_.peers[size_t(message.to)].address;
    std::string bytes = codec_.encode(message);
    if (bytes.size() <=
        Membership::
            kMaxDatagramBytes) {  // lost ones are the protocol's matter: nothing is told of a fault here
      sockaddr_in native = toSockaddr(to);
      (void)!::sendto(datagrams_->fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL,
                      reinterpret_cast<sockaddr*>(&native), sizeof native);
      continue;
    }
    if (links_.size() >= kMostLinks || bytes.size() > kMaxMessageBytes) {
      membership_.countError(ErrorKind::tooLarge);
      continue;
    }
    auto& link = *links_.emplace_back(std::make_unique<MessageStream>(scheduler_, signal_));
    link.ours = true;
    for (int shift = 24; shift >= 0; shift -= 8)
      link.out += char(bytes.size() >> shift & 0xff);
    link.out += bytes;
    link.late.set(scheduler_.now() + kLinkTime);
    link.stream.connect(to, here_);
    signal_.raise();
  }
}

}  // namespace elmcleat::members
