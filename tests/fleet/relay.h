// A network emulator for tests with several processes: a relay for every directed pair of processes, which
// forwards datagrams and streams under the conditions that the test sets, and records all messages. Each
// process has the relay's addresses as those of its peers, so that relayed messages appear to come from the
// members themselves.
#pragma once
#include <atomic>
#include <map>
#include <mutex>
#include <random>

#include "members/message_codec.h"
#include "service.h"

namespace {

// The conditions of one direction of a link.
struct LinkConditions {
  bool cut = false;
  double delay = 0;        // seconds
  double jitter = 0;       // seconds; upper bound of the random part of the delay
  double loss = 0;         // fraction of the datagrams
  double duplication = 0;  // fraction of the datagrams
  double damage = 0;       // fraction of the datagrams, each with one flipped bit
};

// A datagram, or the message of a stream, as it arrived at the relay. `delivered` is false if it was lost or
// damaged.
struct RelayedDatagram {
  double time = 0;
  int from = 0;
  int to = 0;
  bool delivered = false;
  std::string bytes;
};

class Relay {
 public:
  explicit Relay(int count)
      : count_(count), realAddresses_(size_t(count)), conditions_(size_t(count * count)) {
    for (auto& address : realAddresses_)
      address = freeAddress();
    for (int from = 0; from < count; ++from)
      for (int to = 0; to < count; ++to)
        if (from != to)
          endpoints_[{from, to}] = std::make_unique<Endpoint>();
    thread_ = std::thread([this] { run(); });
  }
  ~Relay() {
    stopped_ = true;
    thread_.join();
  }
  // The `members` section of the gateway file of a process.
  Json section(int member) {
    Json peers = Json::array();
    for (int other = 0; other < count_; ++other)
      peers.push_back({{"name", "n" + std::to_string(other)},
                       {"at", textOf(other == member ? realAddresses_[size_t(member)]
                                                     : endpoints_[{member, other}]->address)}});
    return {{"fleet", "test"}, {"peers", peers}};
  }
  // The address that a process listens on, behind the relay.
  sockaddr_in realAddress(int member) const { return realAddresses_[size_t(member)]; }
  void setConditions(int from, int to, LinkConditions conditions) {
    std::lock_guard lock(mutex_);
    conditions_[size_t(from * count_ + to)] = conditions;
  }
  void setAllConditions(LinkConditions conditions) {
    for (int from = 0; from < count_; ++from)
      for (int to = 0; to < count_; ++to)
        setConditions(from, to, conditions);
  }
  // Cuts or restores all links between these members and the others, in both directions.
  void partition(const std::vector<int>& members, bool cut) {
    auto isInside = [&](int member) { return std::ranges::find(members, member) != members.end(); };
    for (int from = 0; from < count_; ++from)
      for (int to = 0; to < count_; ++to)
        if (isInside(from) != isInside(to))
          setConditions(from, to, {.cut = cut});
  }
  std::vector<RelayedDatagram> datagrams() {
    std::lock_guard lock(mutex_);
    return datagrams_;
  }
  // An address that is most likely not in use.
  static sockaddr_in freeAddress() {
    Listener probe;
    return probe.address;
  }

 private:
  // The address at which process `from` reaches process `to`.
  struct Endpoint {
    Endpoint() : listener() {
      udpSocket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      address = listener.address;
      REQUIRE_EQ(bind(udpSocket, raw(address), sizeof address), 0);
    }
    ~Endpoint() { ::close(udpSocket); }
    Listener listener;
    int udpSocket;
    sockaddr_in address;
  };
  // A datagram to be delivered.
  struct PendingDatagram {
    int from;
    int to;
    std::string bytes;
  };

  void run() {
    while (!stopped_) {
      std::vector<pollfd> ready;
      std::vector<std::pair<int, int>> pairs;
      for (auto& [pair, endpoint] : endpoints_) {
        ready.push_back({endpoint->udpSocket, POLLIN, 0});
        ready.push_back({endpoint->listener.fd(), POLLIN, 0});
        pairs.push_back(pair);
      }
      poll(ready.data(), ready.size(), 2);
      for (size_t i = 0; i < pairs.size(); ++i) {
        if (ready[2 * i].revents)
          relayDatagrams(pairs[i].first, pairs[i].second);
        if (ready[2 * i + 1].revents)
          relayStream(pairs[i].first, pairs[i].second);
      }
      double time = now();
      while (!pending_.empty() && pending_.begin()->first <= time) {
        auto [from, to, bytes] = pending_.begin()->second;
        pending_.erase(pending_.begin());
        deliver(from, to, bytes);
      }
    }
  }
  double randomFraction() { return std::uniform_real_distribution<>(0, 1)(random_); }

  void relayDatagrams(int from, int to) {
    char bytes[65536];
    for (ssize_t length; (length = recv(endpoints_[{from, to}]->udpSocket, bytes, sizeof bytes, 0)) >= 0;) {
      std::string datagram(bytes, size_t(length));
      std::lock_guard lock(mutex_);
      LinkConditions conditions = conditions_[size_t(from * count_ + to)];
      bool lost = conditions.cut || randomFraction() < conditions.loss;
      datagrams_.push_back({now(), from, to, !lost, datagram});
      if (lost)
        continue;
      if (randomFraction() < conditions.damage) {
        datagram[size_t(randomFraction() * double(datagram.size()))] ^= char(1 << int(randomFraction() * 8));
        datagrams_.back().delivered = false;
      }
      for (int copies = 1 + (randomFraction() < conditions.duplication); copies > 0; --copies)
        pending_.emplace(now() + conditions.delay + conditions.jitter * randomFraction(),
                         PendingDatagram{from, to, datagram});
    }
  }
  void deliver(int from, int to, const std::string& bytes) {
    sockaddr_in address = realAddresses_[size_t(to)];
    // Sent from the address that `to` has for `from`.
    (void)!sendto(endpoints_[{to, from}]->udpSocket, bytes.data(), bytes.size(), 0, raw(address),
                  sizeof address);
  }
  // Forwards one message at once: streams are short in these tests.
  void relayStream(int from, int to) {
    auto in = endpoints_[{from, to}]->listener.accept();
    {
      std::lock_guard lock(mutex_);
      if (conditions_[size_t(from * count_ + to)].cut)
        return in->reset();
    }
    std::string head = in->bytes(4);
    size_t length = 0;
    for (char c : head)
      length = length << 8 | static_cast<unsigned char>(c);
    std::string body = in->bytes(length);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in source = endpoints_[{to, from}]->address;
    sockaddr_in target = realAddresses_[size_t(to)];
    source.sin_port = 0;
    if (bind(fd, raw(source), sizeof source) == 0 && connect(fd, raw(target), sizeof target) == 0)
      (void)!send(fd, (head + body).data(), 4 + body.size(), MSG_NOSIGNAL);
    ::close(fd);
    std::lock_guard lock(mutex_);
    datagrams_.push_back({now(), from, to, true, body});
  }

  int count_;
  std::vector<sockaddr_in> realAddresses_;
  std::map<std::pair<int, int>, std::unique_ptr<Endpoint>> endpoints_;
  std::vector<LinkConditions> conditions_;
  std::multimap<double, PendingDatagram> pending_;  // by time of delivery
  std::vector<RelayedDatagram> datagrams_;
  std::mutex mutex_;
  std::mt19937 random_{20261202};
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

}  // namespace
