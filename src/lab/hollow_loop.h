// What hollow processes are built on: one epoll, level by level, with a function for each descriptor; no
// coroutine, no buffer beyond what a line takes, so that tens of thousands of ends cost little beside what is
// measured.
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

constexpr double kTick = 0.002;

// One epoll, level by level, and what is done when a descriptor has news.
class Loop {
 public:
  Loop() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {}
  ~Loop() { ::close(epoll_); }
  using Act = std::function<void(uint32_t events)>;
  void watch(int fd, Act act, uint32_t events = EPOLLIN) {
    epoll_event event{events, {}};
    event.data.fd = fd;
    epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
    if (size_t(fd) >= acts_.size())
      acts_.resize(size_t(fd) + 1);
    acts_[size_t(fd)] = std::make_shared<Act>(std::move(act));
  }
  void want(int fd, uint32_t events) {
    epoll_event event{events, {}};
    event.data.fd = fd;
    epoll_ctl(epoll_, EPOLL_CTL_MOD, fd, &event);
  }
  void close(int fd, bool hard = false) {
    linger at{1, 0};
    if (hard)
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &at, sizeof at);
    ::close(fd);
    if (size_t(fd) < acts_.size())
      acts_[size_t(fd)].reset();
  }
  [[noreturn]] void run(const std::function<void(double now)>& tick, double each = kTick) {
    epoll_event events[256];
    for (double next = 0;;) {
      int wait = std::max(0, int(std::ceil((next - secondsNow()) * 1e3)));
      int count = epoll_wait(epoll_, events, 256, wait);
      for (int i = 0; i < count; ++i)
        if (auto act = acts_[size_t(events[i].data.fd)])
          (*act)(events[i].events);
      if (double now = secondsNow(); now >= next)
        tick(now), next = now + each;
    }
  }
  // Lines of orders, each a word and its rest.
  void heed(int orders, std::function<void(const std::string&, std::istringstream&)> act) {
    watch(orders, [orders, act = std::move(act), kept = std::string()](uint32_t) mutable {
      char part[512];
      ssize_t got = ::read(orders, part, sizeof part);
      if (got <= 0)
        _exit(0);
      kept.append(part, size_t(got));
      for (size_t end; (end = kept.find('\n')) != std::string::npos; kept.erase(0, end + 1)) {
        std::istringstream line(kept.substr(0, end));
        std::string word;
        line >> word;
        act(word, line);
      }
    });
  }

 private:
  int epoll_;
  std::vector<std::shared_ptr<Act>> acts_;
};

// Appends what there is to be read; false at the end.
inline bool readAll(int fd, std::string& bytes) {
  char part[16384];
  for (ssize_t got; (got = recv(fd, part, sizeof part, MSG_DONTWAIT)) != 0;) {
    if (got < 0)
      return errno == EAGAIN || errno == EINTR;
    bytes.append(part, size_t(got));
    if (size_t(got) < sizeof part)
      return true;
  }
  return false;
}
// Small writes: what does not go out at once is a fault of the other side.
inline bool put(int fd, std::string_view bytes) {
  return send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT) == ssize_t(bytes.size());
}
inline void promptly(int fd) {
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace elmcleat::lab
