// What lies between processes: a relay on every directed pair, which passes datagrams and streams on, or does to them
// what a bad network does, and records all datagrams. Each process knows the others by addresses of the relay, so that
// what comes from there looks as if it came from the member itself.
#pragma once
#include <atomic>
#include <map>
#include <mutex>
#include <random>

#include "members/message_codec.h"
#include "service.h"

namespace {

struct LinkConditions {  // of one direction
  bool cut = false;
  double delay = 0, jitter = 0;             // seconds
  double loss = 0, copies = 0, damage = 0;  // parts of the datagrams
};

struct RelayedDatagram {
  double at = 0;
  int from = 0, to = 0;
  bool delivered = false;
  std::string bytes;
};

class Relay {
 public:
  explicit Relay(int count) : count_(count), real_(size_t(count)), bad_(size_t(count * count)) {
    for (auto& address : real_)
      address = free();
    for (int a = 0; a < count; ++a)
      for (int b = 0; b < count; ++b)
        if (a != b)
          ends_[{a, b}] = std::make_unique<End>();
    thread_ = std::thread([this] { run(); });
  }
  ~Relay() {
    over_ = true;
    thread_.join();
  }
  // The `members` section of a process.
  Json section(int member) {
    Json peers = Json::array();
    for (int other = 0; other < count_; ++other)
      peers.push_back(
          {{"name", "n" + std::to_string(other)},
           {"at", textOf(other == member ? real_[size_t(member)] : ends_[{member, other}]->address)}});
    return {{"fleet", "test"}, {"peers", peers}};
  }
  sockaddr_in real(int member) const { return real_[size_t(member)]; }
  void set(int from, int to, LinkConditions bad) {
    std::lock_guard lock(mutex_);
    bad_[size_t(from * count_ + to)] = bad;
  }
  void all(LinkConditions bad) {
    for (int a = 0; a < count_; ++a)
      for (int b = 0; b < count_; ++b)
        set(a, b, bad);
  }
  void part(const std::vector<int>& apart, bool is) {
    auto inside = [&](int one) { return std::ranges::find(apart, one) != apart.end(); };
    for (int a = 0; a < count_; ++a)
      for (int b = 0; b < count_; ++b)
        if (inside(a) != inside(b))
          set(a, b, {.cut = is});
  }
  std::vector<RelayedDatagram> passed() {
    std::lock_guard lock(mutex_);
    return record_;
  }
  // An address that is free, most likely.
  static sockaddr_in free() {
    Listener probe;
    return probe.address;
  }

 private:
  struct End {  // how `a` knows `b`
    End() : listener() {
      datagrams = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      address = listener.address;
      REQUIRE_EQ(bind(datagrams, raw(address), sizeof address), 0);
    }
    ~End() { ::close(datagrams); }
    Listener listener;
    int datagrams;
    sockaddr_in address;
  };
  struct Pipe {
    int from = -1, to = -1;
  };
  struct Due {
    int from, to;
    std::string bytes;
  };

  void run() {
    while (!over_) {
      std::vector<pollfd> ready;
      std::vector<std::pair<int, int>> pairs;
      for (auto& [pair, end] : ends_) {
        ready.push_back({end->datagrams, POLLIN, 0}), ready.push_back({end->listener.fd(), POLLIN, 0});
        pairs.push_back(pair);
      }
      poll(ready.data(), ready.size(), 2);
      for (size_t i = 0; i < pairs.size(); ++i) {
        if (ready[2 * i].revents)
          datagram(pairs[i].first, pairs[i].second);
        if (ready[2 * i + 1].revents)
          stream(pairs[i].first, pairs[i].second);
      }
      double time = now();
      while (!due_.empty() && due_.begin()->first <= time) {
        auto [from, to, bytes] = due_.begin()->second;
        due_.erase(due_.begin());
        deliver(from, to, bytes);
      }
    }
  }
  double part() { return std::uniform_real_distribution<>(0, 1)(chance_); }

  void datagram(int from, int to) {
    char bytes[65536];
    for (ssize_t got; (got = recv(ends_[{from, to}]->datagrams, bytes, sizeof bytes, 0)) >= 0;) {
      std::string text(bytes, size_t(got));
      std::lock_guard lock(mutex_);
      LinkConditions bad = bad_[size_t(from * count_ + to)];
      bool lost = bad.cut || part() < bad.loss;
      record_.push_back({now(), from, to, !lost, text});
      if (lost)
        continue;
      if (part() < bad.damage)
        text[size_t(part() * double(text.size()))] ^= char(1 << int(part() * 8)),
            record_.back().delivered = false;
      for (int copies = 1 + (part() < bad.copies); copies > 0; --copies)
        due_.emplace(now() + bad.delay + bad.jitter * part(), Due{from, to, text});
    }
  }
  void deliver(int from, int to, const std::string& bytes) {
    sockaddr_in address = real_[size_t(to)];  // in the name of `from`, as `to` knows it
    (void)!sendto(ends_[{to, from}]->datagrams, bytes.data(), bytes.size(), 0, raw(address), sizeof address);
  }
  void stream(int from, int to) {  // one message, whole, in a turn: streams here are short
    auto in = ends_[{from, to}]->listener.accept();
    {
      std::lock_guard lock(mutex_);
      if (bad_[size_t(from * count_ + to)].cut)
        return in->reset();
    }
    std::string head = in->bytes(4);
    size_t length = 0;
    for (char c : head)
      length = length << 8 | static_cast<unsigned char>(c);
    std::string body = in->bytes(length);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in source = ends_[{to, from}]->address, target = real_[size_t(to)];
    source.sin_port = 0;
    if (bind(fd, raw(source), sizeof source) == 0 && connect(fd, raw(target), sizeof target) == 0)
      (void)!send(fd, (head + body).data(), 4 + body.size(), MSG_NOSIGNAL);
    ::close(fd);
    std::lock_guard lock(mutex_);
    record_.push_back({now(), from, to, true, body});
  }

  int count_;
  std::vector<sockaddr_in> real_;
  std::map<std::pair<int, int>, std::unique_ptr<End>> ends_;
  std::vector<LinkConditions> bad_;
  std::multimap<double, Due> due_;
  std::vector<RelayedDatagram> record_;
  std::mutex mutex_;
  std::mt19937 chance_{20261202};
  std::atomic<bool> over_{false};
  std::thread thread_;
};

}  // namespace
