// Event loop of the simulated processes: one level-triggered epoll with a function for each descriptor. There
// are no coroutines and no buffers beyond a line, so that tens of thousands of connections cost little beside
// the processes that are measured.
#pragma once
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "lab/hollow.h"

namespace elmcleat::lab {

constexpr double kTickSeconds = 0.002;

class Loop {
 public:
  Loop() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {}
  ~Loop() { ::close(epoll_); }
  using Handler = std::function<void(uint32_t events)>;
  using OrderHandler = std::function<void(const std::string& verb, std::istringstream& arguments)>;

  void watch(int fd, Handler handler, uint32_t events = EPOLLIN) {
    epoll_event event{events, {}};
    event.data.fd = fd;
    epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
    if (size_t(fd) >= handlers_.size())
      handlers_.resize(size_t(fd) + 1);
    handlers_[size_t(fd)] = std::make_shared<Handler>(std::move(handler));
  }
  void setEvents(int fd, uint32_t events) {
    epoll_event event{events, {}};
    event.data.fd = fd;
    epoll_ctl(epoll_, EPOLL_CTL_MOD, fd, &event);
  }
  // `reset`: with RST in place of FIN.
  void close(int fd, bool reset = false) {
    linger noLinger{1, 0};
    if (reset)
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &noLinger, sizeof noLinger);
    ::close(fd);
    if (size_t(fd) < handlers_.size())
      handlers_[size_t(fd)].reset();
  }
  // Handles events, and calls `tick` every `interval` seconds.
  [[noreturn]] void run(const std::function<void(double now)>& tick, double interval = kTickSeconds) {
    epoll_event events[256];
    for (double next = 0;;) {
      int timeoutMs = std::max(0, int(std::ceil((next - secondsNow()) * 1e3)));
      int count = epoll_wait(epoll_, events, 256, timeoutMs);
      for (int i = 0; i < count; ++i)
        if (auto handler = handlers_[size_t(events[i].data.fd)])
          (*handler)(events[i].events);
      if (double now = secondsNow(); now >= next) {
        tick(now);
        next = now + interval;
      }
    }
  }
  // Reads orders, one a line: a verb and its arguments. The process exits at the end of the stream.
  void readOrders(int orders, OrderHandler handler) {
    watch(orders, [orders, handler = std::move(handler), buffer = std::string()](uint32_t) mutable {
      char chunk[512];
      ssize_t count = ::read(orders, chunk, sizeof chunk);
      if (count <= 0)
        _exit(0);
      buffer.append(chunk, size_t(count));
      for (size_t end; (end = buffer.find('\n')) != std::string::npos; buffer.erase(0, end + 1)) {
        std::istringstream line(buffer.substr(0, end));
        std::string verb;
        line >> verb;
        handler(verb, line);
      }
    });
  }

 private:
  int epoll_;
  std::vector<std::shared_ptr<Handler>> handlers_;
};

// Appends what can be read without blocking; false if the connection is closed or has failed.
inline bool readAvailable(int fd, std::string& bytes) {
  char chunk[16384];
  for (ssize_t count; (count = recv(fd, chunk, sizeof chunk, MSG_DONTWAIT)) != 0;) {
    if (count < 0)
      return errno == EAGAIN || errno == EINTR;
    bytes.append(chunk, size_t(count));
    if (size_t(count) < sizeof chunk)
      return true;
  }
  return false;
}
// Writes a small message. One that does not fit into the socket's buffer counts as a failure of the peer.
inline bool writeAll(int fd, std::string_view bytes) {
  return send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT) == ssize_t(bytes.size());
}
inline void disableNagle(int fd) {
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace elmcleat::lab
