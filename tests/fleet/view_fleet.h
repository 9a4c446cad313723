// Several real processes with views before a crowd of engines, one change log for all, and clients that never rest.
#pragma once
#include <algorithm>
#include <cmath>
#include <functional>
#include <regex>

#include "service.h"
#include "view/rendezvous_rank.h"

namespace {

// What several services follow: a frame each half second, and what was told since to who comes.
class ChangeLog {
 public:
  ChangeLog() : thread_([this] { run(); }) {}
  ~ChangeLog() {
    over_ = true;
    thread_.join();
  }
  void tell(bool whole, const std::string& records) {
    std::lock_guard lock(mutex_);
    frames_.push_back(frame(++last, whole ? 1 : 2, records));
  }
  // Who follows then is told nothing any more, but keeps a connection; who comes waits until the end of it.
  void silent(bool is) {
    std::lock_guard lock(mutex_);
    silent_ = is;
    for (auto& one : followers_)
      one.mute = one.mute || is;
  }
  bool given() {  // up by all who were told nothing
    std::lock_guard lock(mutex_);
    return std::ranges::none_of(followers_, [](auto& one) { return one.mute; });
  }
  size_t upToDate() {  // followers that have been written all that was told
    std::lock_guard lock(mutex_);
    return size_t(std::ranges::count_if(
        followers_, [&](auto& one) { return one.known == last && one.wrote > 0 && !one.mute; }));
  }
  Listener listener;
  uint64_t last = 1;  // number of the last event; the first is in each service's configuration

 private:
  struct Follower {
    std::unique_ptr<StubConnection> peer;
    bool mute = false;
    uint64_t known = 0;
    double wrote = -1;
  };
  void run() {
    while (!over_) {
      std::vector<pollfd> ready{{silent_ ? -1 : listener.fd(), POLLIN, 0}};
      for (auto& one : followers_)
        ready.push_back({one.peer->fd(), POLLIN, 0});
      poll(ready.data(), ready.size(), 5);
      std::lock_guard lock(mutex_);
      size_t i = 1;
      for (auto one = followers_.begin(); one != followers_.end(); ++i) {
        if (ready[i].revents && !one->peer->more()) {
          one = followers_.erase(one);
          continue;
        }
        if (!one->mute)
          write(*one);
        ++one;
      }
      if (ready[0].revents && !silent_)
        followers_.push_back({listener.accept()});
    }
  }
  void write(Follower& one) {
    if (one.wrote < 0) {
      if (one.peer->in.size() < 8)
        return;
      for (char c : one.peer->bytes(8))
        one.known = one.known << 8 | static_cast<unsigned char>(c);
    } else if (one.known == last && now() < one.wrote + 0.5)
      return;
    std::string bytes;
    for (; one.known < last; ++one.known)
      bytes += frames_[one.known - 1];
    if (bytes.empty())
      bytes = frame(last, 0);
    (void)!send(one.peer->fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);  // it may have gone meanwhile
    one.wrote = now();
  }
  std::list<Follower> followers_;
  std::vector<std::string> frames_;
  std::atomic<bool> silent_{false};
  std::mutex mutex_;
  std::atomic<bool> over_{false};
  std::thread thread_;
};

// Clients of one process, each with a command most of the time, one in a few milliseconds.
class Load {
 public:
  Load(GatewayProcess& service, int number, size_t clients = 8)
      : thread_([this, &service, number, clients] { run(service, number, clients); }) {}
  ~Load() { stop(); }
  void stop() {  // nothing new; what is in hand gets its answer
    over_ = true;
    if (thread_.joinable())
      thread_.join();
  }
  int asked = 0, twice = 0;         // to be read once stopped; bytes that nobody asked for
  std::map<std::string, int> told;  // by status; "none": no answer
  std::atomic<int> served{0};

 private:
  void run(GatewayProcess& service, int number, size_t clients) {
    struct One {
      std::unique_ptr<StubConnection> peer = {};
      bool out = false;
      double next = 0;
    };
    std::vector<One> all(clients);
    auto asks = [](auto& one) { return one.out; };
    for (double end = HUGE_VAL; now() < end && (!over_ || std::ranges::any_of(all, asks));) {
      if (over_)
        end = std::min(end, now() + kWait / 1e3);
      std::vector<pollfd> ready;
      for (auto& one : all) {
        if (!one.peer)
          one.peer = StubConnection::to(service.listen);
        if (one.peer && !over_ && !one.out && now() >= one.next)
          ask(*one.peer, number), one.out = true;
        ready.push_back({one.out ? one.peer->fd() : -1, POLLIN, 0});
      }
      poll(ready.data(), ready.size(), 3);
      for (size_t i = 0; i < clients; ++i) {
        One& one = all[i];
        if (!ready[i].revents)
          continue;
        std::string got = one.peer->more() ? answer(*one.peer).substr(0, 3) : "none";
        ++told[got], one.out = false, one.next = now() + 0.02, twice += !one.peer->in.empty();
        served += got == "200";
        if (got == "none" || got == "non")
          one.peer.reset();  // it has died
      }
    }
    told["none"] += int(std::ranges::count_if(all, asks));
  }
  void ask(StubConnection& peer, int number) {  // each a table of its own, so that no engine is preferred
    static std::atomic<int> count{0};
    int id = ++count;
    ++asked;
    std::string text = post((number + 1) * 1'000'000 + id, "quick", 6000, "",
                            "SELECT 1 FROM sales_" + std::to_string(id) + ".t");
    (void)!send(peer.fd(), text.data(), text.size(), MSG_NOSIGNAL);
  }
  std::atomic<bool> over_{false};
  std::thread thread_;
};

constexpr uint32_t kFirst = 0x7fc80000;  // 127.200.0.0, and an engine's id: its address
constexpr double kColdTime = 4;

struct Fleet {
  // A process each ordinal, of `dispatchers` that there are by the settings.
  Fleet(int dispatchers, const std::vector<int>& ordinals, uint32_t engines, Json view)
      : all(dispatchers), ordinal(ordinals), none(0) {
    for (uint32_t id = 1; id <= engines; ++id)
      listed.insert(id);
    for (size_t i = 0; i < ordinals.size(); ++i) {
      auto& service = services.emplace_back(std::make_unique<GatewayProcess>(none, 0, 300));
      Json& settings = service->config["settings"];
      settings["balancers"] = dispatchers, settings["ordinal"] = ordinals[i];
      settings["localities"] = {"east", "west", "north"};
      settings["limits"]["connIdleUs"] = 60000000;
      settings["rules"]["coldUs"] = int(kColdTime * 1e6), settings["rules"]["fallUs"] = 500000;
      Json hosts = Json::array();
      for (uint32_t id : listed) {
        char name[16];
        std::snprintf(name, sizeof name, "s-%08x", id);
        hosts.push_back({{"host", name},
                         {"dial", textOf(addressOf(id))},
                         {"site", settings["localities"][size_t(zoneOf(id))]},
                         {"class", "std"},
                         {"block", id - 1},
                         {"health", "in_service"},
                         {"born_ms", 0}});
      }
      service->config["changelog"] = textOf(log.listener.address);
      service->config["known"]["results"][0]["fleet"]["hosts"] = hosts;
      service->gateway = Json{{"view", view}}.dump();
      service->start();
    }
    for (auto& service : services)
      service->ready();
  }
  static int zoneOf(uint32_t id) { return id % 4 == 0 ? 1 : id % 4 == 1 ? 2 : 0; }
  sockaddr_in addressOf(uint32_t id) const {
    sockaddr_in address{};
    address.sin_family = AF_INET, address.sin_port = htons(uint16_t(crowd.port));
    address.sin_addr.s_addr = htonl(kFirst + id);
    return address;
  }
  // As the list has them; the whole of it if no engines are named.
  std::string records(const std::set<uint32_t>& engines, int state = 0, uint64_t bornMs = 0) const {
    std::string bytes;
    for (uint32_t id : engines)
      bytes += record(id, state, addressOf(id), zoneOf(id), bornMs);
    return bytes;
  }
  int place(size_t process, uint32_t engine) const {
    return elmcleat::view::rendezvousRank(engine, ordinal[process], all, all);
  }
  struct Sent {
    double at;
    size_t process;
    uint32_t engine;
  };
  std::vector<Sent> sends(double from = 0) {
    std::vector<Sent> found;
    for (auto& [at, id, engine] : crowd.record())
      if (at >= from)
        found.push_back({at, std::stoull(id, nullptr, 16) / 1'000'000 - 1, engine - kFirst});
    return found;
  }
  // The greatest place with which a process sent to an engine since then, or -1; -1: any process.
  int farthest(double from = 0, int process = -1) {
    int most = -1;
    for (auto& sent : sends(from))
      if (process < 0 || sent.process == size_t(process))
        most = std::max(most, place(sent.process, sent.engine));
    return most;
  }
  std::map<uint32_t, std::set<size_t>> users() {
    std::map<uint32_t, std::set<size_t>> found;
    for (auto& sent : sends())
      found[sent.engine].insert(sent.process);
    return found;
  }
  void load(size_t clients = 8) {
    for (size_t i = 0; i < services.size(); ++i)
      loads.push_back(std::make_unique<Load>(*services[i], int(i), clients));
  }
  void answered() {  // ends the load: each command has had one answer, served or shed
    for (auto& one : loads)
      one->stop();
    for (auto& one : loads) {
      CHECK_GT(one->told["200"], 0);
      CHECK_EQ(one->told["200"] + one->told["503"], one->asked);
      CHECK_EQ(one->twice, 0);
    }
    loads.clear();
  }
  // Before long; a span of time that no machine needs.
  static bool soon(const std::function<bool()>& is, double span = 30) {
    for (double end = now() + span; now() < end; pause(0.01))
      if (is())
        return true;
    return false;
  }
  bool allTold() {
    return soon([&] { return log.upToDate() == services.size(); });
  }
  int viewLines(size_t process) const {
    auto text = services[process]->log();
    std::regex line("view: [0-9]+ engines change");
    return int(std::distance(std::sregex_iterator(text.begin(), text.end(), line), std::sregex_iterator()));
  }

  int all;
  std::vector<int> ordinal;
  std::set<uint32_t> listed;
  EngineStubs none;
  EngineStubFarm crowd;
  ChangeLog log;
  std::vector<std::unique_ptr<GatewayProcess>> services;
  std::vector<std::unique_ptr<Load>> loads;
};

}  // namespace
