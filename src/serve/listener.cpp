#include "serve/listener.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

#include "runtime/log.h"

namespace elmcleat {
namespace {

// After SIGTERM new connections come for up to 0.4 s, and requests on open ones for 0.2 s more; what comes
// later than 0.7 s is owed nothing.
constexpr double kComing = 0.7;
// A request that crosses our close within 50 ms is sent again by its client; what is told that we end has twice that to
// hear it. Until then what still comes is read, as a close over unread bytes would reset the connection and overtake
// the last answer.
constexpr double kParting = 0.1;
// SIGKILL comes no sooner than kComing and the longest deadline after SIGTERM, and no deadline counts as longer than
// this. All answers are out a little before.
constexpr double kLongest = 3, kSpare = 0.2;
constexpr double kPause = 0.02;  // until accepting is tried again without a descriptor
// Descriptors for the list, the listener, the log and the like, and for clients that are turned away.
constexpr size_t kOwn = 8, kTurnedAway = 8, kLeast = 16;

// Usual clients hold a third of the descriptors at most; a third, and our own, are kept from all clients, so that
// a flood of them leaves the engines theirs.
size_t mostClients(size_t sockets) {
  size_t kept = sockets / 3 + kOwn + kTurnedAway;
  return std::max(sockets > kept ? sockets - kept : 0, kLeast);
}

}  // namespace

Listener::Listener(Scheduler& scheduler, const Config& config, Dispatcher& dispatcher)
    : scheduler_(scheduler),
      config_(config),
      dispatcher_(dispatcher),
      maxConnections_(mostClients(config.maxDescriptors)),
      memory_{config.memoryMb * (1 << 20) / 4},
      signal_(scheduler),
      acceptRetryTimer_(scheduler, [this] { signal_.raise(); }),
      drainTimer_(scheduler, [this] { close(); }),
      closeTimer_(scheduler, [this] {
        info() << "all answered: ends";
        scheduler_.stop();
      }) {}

void Listener::open() {
  listener_ = std::make_unique<Descriptor>(scheduler_, listenOn(config_.listenAddress), signal_);
  task_ = run();
  task_.start();
}

void Listener::drain() {
  if (std::exchange(draining_, true))
    return;
  info() << "leaving: " << clients_.size() << " connections open";
  drainTimer_.set(scheduler_.now() + kComing);
  double longest = 0;
  for (auto& profile : config_.settings.profiles)
    longest = std::max(longest, profile.clientTimeout);
  if (longest <= 0)
    longest = kLongest;  // the settings name none
  dispatcher_.drain(scheduler_.now() + kComing + std::min(longest, kLongest) - kSpare);
}

// Whoever connected in time is in the listener's queue, which ends with it.
void Listener::close() {
  for (size_t i = 0; i < maxConnections_ && accept(); ++i) {
  }
  closed_ = true;
  listener_.reset();
  for (auto& [client, held] : clients_)
    client->drain();
  endIfDone();
}

Task Listener::run() {
  while (true) {
    while (listener_) {
      if (clients_.size() >= maxConnections_ + kTurnedAway) {
        co_await signal_.afterOthers();  // those that are closed leave
        if (!listener_)
          break;  // and the time to close may have come
        if (clients_.size() >= maxConnections_ + kTurnedAway) {
          acceptRetryTimer_.set(scheduler_.now() + kPause);
          break;
        }
      }
      if (!accept())
        break;
    }
    co_await signal_;
    // Connections that were open before are read first: a command that comes on a new one may have come later
    // than theirs, and commands of one key are taken in the order in which they came.
    co_await signal_.afterOthers();
  }
}

// False: there is nobody, or no descriptor for who comes.
bool Listener::accept() {
  while (true) {
    int fd = ::accept4(listener_->fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      admit(fd, clients_.size() >= maxConnections_ && !evictIdle());
      return true;
    }
    if (errno == EAGAIN)
      return false;
    bool none = errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
    if (!none || evictIdle())
      continue;  // whatever else is wrong is wrong with that connection alone
    warn() << "door: no descriptor for a connection: " << std::strerror(errno);
    acceptRetryTimer_.set(scheduler_.now() + kPause);
    return false;
  }
}

// The first read is made at once, before the next connection is accepted.
void Listener::admit(int fd, bool full) {
  auto client =
      std::make_shared<ClientConnection>(scheduler_, config_.settings, dispatcher_, memory_, fd, full);
  ClientConnection* who = client.get();
  who->onFinished([this] { endIfDone(); }, [this, who] { connectionClosed(who); });
  clients_.emplace(who, std::move(client));
  who->start();
}

// First who has had its last answer, then who has connected and said nothing, or nothing whole; then who has been idle
// for longest.
bool Listener::evictIdle() {
  std::vector<ClientConnection*> idle;
  for (auto& [client, held] : clients_)
    if (client->idle())
      idle.push_back(client);
  std::ranges::sort(idle, {}, [](ClientConnection* client) {
    return std::tuple(!client->isClosing(), client->hasSentRequest(), client->idleSince());
  });
  return std::ranges::any_of(idle, [](ClientConnection* client) { return client->tryEvict(); });
}

void Listener::connectionClosed(ClientConnection* client) {
  auto held = clients_.extract(client);
  if (!held.empty())
    scheduler_.destroyLater(std::move(held.mapped()));
  endIfDone();
}

void Listener::endIfDone() {
  if (!closed_)
    return;
  bool owed = std::ranges::any_of(clients_, [](auto& held) { return held.first->hasPendingResponse(); });
  if (owed)
    closeTimer_.clear();
  else if (clients_.empty() || !closeTimer_.isSet())
    closeTimer_.set(scheduler_.now() + (clients_.empty() ? 0 : kParting));
}

}  // namespace elmcleat
