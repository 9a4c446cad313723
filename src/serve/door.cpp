#include "serve/door.h"

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

Door::Door(Scheduler& scheduler, const Config& config, Desk& desk)
    : scheduler_(scheduler),
      config_(config),
      desk_(desk),
      most_(mostClients(config.sockets)),
      hold_{config.memoryMb * (1 << 20) / 4},
      signal_(scheduler),
      again_(scheduler, [this] { signal_.raise(); }),
      leaving_(scheduler, [this] {
        closed_ = true;
        listener_.reset();
        endIfDone();
      }) {}

void Door::open() {
  listener_ = std::make_unique<Descriptor>(scheduler_, listenOn(config_.listen), signal_);
  task_ = run();
  task_.start();
}

void Door::leave() {
  info() << "leaving: " << clients_.size() << " connections open";
  leaving_.set(scheduler_.now() + kComing);
}

Task Door::run() {
  while (true) {
    while (listener_) {
      if (clients_.size() >= most_ + kTurnedAway) {
        co_await signal_.others();  // those that are closed leave
        if (clients_.size() >= most_ + kTurnedAway) {
          again_.set(scheduler_.now() + kPause);
          break;
        }
      }
      int fd = ::accept4(listener_->fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd >= 0) {
        bool full = clients_.size() >= most_ && !makeRoom();
        admit(fd, full);
      } else if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
        if (makeRoom()) continue;
        warn() << "door: no descriptor for a connection: " << std::strerror(errno);
        again_.set(scheduler_.now() + kPause);
        break;
      } else if (errno == EAGAIN) {
        break;
      }  // whatever else is wrong is wrong with that connection alone
    }
    co_await signal_;
    // Connections that were open before are read first: a command that comes on a new one may have come later
    // than theirs, and commands of one key are taken in the order in which they came.
    co_await signal_.others();
  }
}

// The first read is made at once, before the next connection is accepted.
void Door::admit(int fd, bool full) {
  auto client = std::make_shared<Client>(scheduler_, config_.settings, desk_, hold_, fd, full);
  Client* who = client.get();
  who->tell([this] { endIfDone(); }, [this, who] { over(who); });
  clients_.emplace(who, std::move(client));
  who->start();
}

// First who has connected and said nothing, or nothing whole; then who has been idle for longest.
bool Door::makeRoom() {
  std::vector<Client*> idle;
  for (auto& [client, held] : clients_)
    if (client->idle()) idle.push_back(client);
  std::ranges::sort(idle, {},
                    [](Client* client) { return std::pair(client->hasAsked(), client->idleSince()); });
  return std::ranges::any_of(idle, [](Client* client) { return client->giveWay(); });
}

void Door::over(Client* client) {
  auto held = clients_.extract(client);
  if (!held.empty()) scheduler_.bury(std::move(held.mapped()));
  endIfDone();
}

void Door::endIfDone() {
  if (!closed_) return;
  if (std::ranges::any_of(clients_, [](auto& held) { return held.first->busy(); })) return;
  info() << "all answered: ends";
  scheduler_.stop();
}

}  // namespace elmcleat
