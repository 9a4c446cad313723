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

// After SIGTERM new connections arrive for up to 0.4 s, and requests on open connections for 0.2 s more. A
// request that arrives later than 0.7 s after SIGTERM need not be answered.
constexpr double kAcceptWhileDrainingSeconds = 0.7;

// A request that crosses our half-close within 50 ms is repeated by its client; clients get twice that to see
// the half-close. Until then we still read, because a close with unread bytes would reset the connection, and
// the reset could overtake the last response.
constexpr double kHalfCloseGraceSeconds = 0.1;

// SIGKILL follows SIGTERM no sooner than kAcceptWhileDrainingSeconds plus the longest client timeout, of
// which at most this much counts.
constexpr double kMaxDrainTimeoutSeconds = 3;
// All responses are sent this long before that.
constexpr double kDrainMarginSeconds = 0.2;

// How long accepting pauses when there is no descriptor for a new connection.
constexpr double kAcceptBackoffSeconds = 0.02;

// Descriptors for the change log, the listening socket, the log and the like.
constexpr size_t kOwnDescriptors = 8;
// Connections beyond the limit that are accepted only to shed their first request.
constexpr size_t kMaxShedConnections = 8;
constexpr size_t kMinConnections = 16;

// Served clients hold about a third of the descriptors in normal operation. A third, and those that we need
// ourselves, are kept from all clients, so that a flood of connections leaves enough for the engines.
size_t maxClientConnections(size_t descriptors) {
  size_t reserved = descriptors / 3 + kOwnDescriptors + kMaxShedConnections;
  return std::max(descriptors > reserved ? descriptors - reserved : 0, kMinConnections);
}

}  // namespace

Listener::Listener(Scheduler& scheduler, const Config& config, Dispatcher& dispatcher)
    : scheduler_(scheduler),
      config_(config),
      dispatcher_(dispatcher),
      maxConnections_(maxClientConnections(config.maxDescriptors)),
      memory_{config.memoryMb * (1 << 20) / 4},
      signal_(scheduler),
      acceptRetryTimer_(scheduler, [this] { signal_.raise(); }),
      drainTimer_(scheduler, [this] { close(); }),
      closeTimer_(scheduler, [this] {
        info() << "drained: all requests are answered, exiting";
        scheduler_.stop();
      }) {}

void Listener::open() {
  listeningSocket_ = std::make_unique<Descriptor>(scheduler_, listenOn(config_.listenAddress), signal_);
  task_ = run();
  task_.start();
}

void Listener::drain() {
  if (std::exchange(draining_, true))
    return;
  info() << "draining: " << connections_.size() << " connections open";
  drainTimer_.set(scheduler_.now() + kAcceptWhileDrainingSeconds);
  double longestTimeout = 0;
  for (auto& profile : config_.settings.profiles)
    longestTimeout = std::max(longestTimeout, profile.clientTimeout);
  if (longestTimeout <= 0)
    longestTimeout = kMaxDrainTimeoutSeconds;  // no profile sets a client timeout
  dispatcher_.drain(scheduler_.now() + kAcceptWhileDrainingSeconds +
                    std::min(longestTimeout, kMaxDrainTimeoutSeconds) - kDrainMarginSeconds);
}

// Connections that were made in time wait in the accept queue, which is lost when the socket is closed: they
// are accepted first.
void Listener::close() {
  for (size_t i = 0; i < maxConnections_ && accept(); ++i) {
  }
  closed_ = true;
  listeningSocket_.reset();
  for (auto& [connection, owner] : connections_)
    connection->drain();
  stopIfDrained();
}

Task Listener::run() {
  while (true) {
    while (listeningSocket_) {
      if (connections_.size() >= maxConnections_ + kMaxShedConnections) {
        co_await signal_.afterOthers();  // lets closed connections be removed
        if (!listeningSocket_)
          break;  // drainTimer_ may have fired meanwhile
        if (connections_.size() >= maxConnections_ + kMaxShedConnections) {
          acceptRetryTimer_.set(scheduler_.now() + kAcceptBackoffSeconds);
          break;
        }
      }
      if (!accept())
        break;
    }
    co_await signal_;
    // Open connections are read before new ones are accepted: a command on a new connection may have arrived
    // after theirs, and commands with the same ordering key are submitted in order of arrival.
    co_await signal_.afterOthers();
  }
}

// False if no connection waits, or if there is no descriptor for it.
bool Listener::accept() {
  while (true) {
    int fd = ::accept4(listeningSocket_->fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      admit(fd, connections_.size() >= maxConnections_ && !evictIdle());
      return true;
    }
    if (errno == EAGAIN)
      return false;
    bool outOfResources = errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
    if (!outOfResources || evictIdle())
      continue;  // any other error concerns that one connection alone
    warn() << "listener: no descriptor for a connection: " << std::strerror(errno);
    acceptRetryTimer_.set(scheduler_.now() + kAcceptBackoffSeconds);
    return false;
  }
}

// The connection is read once at its start, before the next one is accepted.
void Listener::admit(int fd, bool overLimit) {
  auto owner =
      std::make_shared<ClientConnection>(scheduler_, config_.settings, dispatcher_, memory_, fd, overLimit);
  ClientConnection* connection = owner.get();
  connection->onFinished([this] { stopIfDrained(); }, [this, connection] { connectionClosed(connection); });
  connections_.emplace(connection, std::move(owner));
  connection->start();
}

// Order of eviction: first connections that have been sent their last response, then those that have not sent
// a whole request yet, then the one that has been idle for longest.
bool Listener::evictIdle() {
  std::vector<ClientConnection*> idle;
  for (auto& [connection, owner] : connections_)
    if (connection->isIdle())
      idle.push_back(connection);
  std::ranges::sort(idle, {}, [](ClientConnection* connection) {
    return std::tuple(!connection->isClosing(), connection->hasSentRequest(), connection->idleSince());
  });
  return std::ranges::any_of(idle, [](ClientConnection* connection) { return connection->tryEvict(); });
}

void Listener::connectionClosed(ClientConnection* connection) {
  auto entry = connections_.extract(connection);
  if (!entry.empty())
    scheduler_.destroyLater(std::move(entry.mapped()));
  stopIfDrained();
}

// After the listening socket is closed: stops the scheduler at once if no connection is left, or after the
// grace period if the remaining ones have no pending response.
void Listener::stopIfDrained() {
  if (!closed_)
    return;
  bool pending =
      std::ranges::any_of(connections_, [](auto& entry) { return entry.first->hasPendingResponse(); });
  if (pending)
    closeTimer_.clear();
  else if (connections_.empty() || !closeTimer_.isSet())
    closeTimer_.set(scheduler_.now() + (connections_.empty() ? 0 : kHalfCloseGraceSeconds));
}

}  // namespace elmcleat
