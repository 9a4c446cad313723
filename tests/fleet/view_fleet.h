// Test fixture: several real processes with engine subsets (the section `view`), many simulated engines, one
// change log that all processes follow, and clients that keep them under load.
#pragma once
#include <algorithm>
#include <cmath>
#include <functional>
#include <regex>

#include "service.h"
#include "view/rendezvous_rank.h"

namespace {

// A change log for several processes: sends each follower the frames that it lacks, and a heartbeat every
// half second.
class ChangeLog {
 public:
  ChangeLog() : thread_([this] { run(); }) {}
  ~ChangeLog() {
    stopped_ = true;
    thread_.join();
  }
  // Appends an event: the whole list, or changes to it.
  void publish(bool whole, const std::string& records) {
    std::lock_guard lock(mutex_);
    frames_.push_back(frame(++last, whole ? 1 : 2, records));
  }
  // While silent, the present followers are sent nothing more although their connections stay open, and new
  // connections are not accepted. Followers stay mute after that.
  void setSilent(bool silent) {
    std::lock_guard lock(mutex_);
    silent_ = silent;
    for (auto& follower : followers_)
      follower.mute = follower.mute || silent;
  }
  // Whether all mute followers have closed their connections.
  bool abandonedByMute() {
    std::lock_guard lock(mutex_);
    return std::ranges::none_of(followers_, [](auto& follower) { return follower.mute; });
  }
  // The number of followers that have been sent all events.
  size_t upToDate() {
    std::lock_guard lock(mutex_);
    return size_t(std::ranges::count_if(followers_, [&](auto& follower) {
      return follower.lastSent == last && follower.sentAt > 0 && !follower.mute;
    }));
  }
  Listener listener;
  uint64_t last = 1;  // number of the last event; the first one is in the configuration of each process

 private:
  struct Follower {
    std::unique_ptr<StubConnection> connection;
    bool mute = false;
    uint64_t lastSent = 0;  // number of an event
    double sentAt = -1;     // negative until the follower has sent the number of its last event
  };
  void run() {
    while (!stopped_) {
      std::vector<pollfd> ready{{silent_ ? -1 : listener.fd(), POLLIN, 0}};
      for (auto& follower : followers_)
        ready.push_back({follower.connection->fd(), POLLIN, 0});
      poll(ready.data(), ready.size(), 5);
      std::lock_guard lock(mutex_);
      size_t i = 1;
      for (auto follower = followers_.begin(); follower != followers_.end(); ++i) {
        if (ready[i].revents && !follower->connection->more()) {
          follower = followers_.erase(follower);
          continue;
        }
        if (!follower->mute)
          sendFrames(*follower);
        ++follower;
      }
      if (ready[0].revents && !silent_)
        followers_.push_back({listener.accept()});
    }
  }
  void sendFrames(Follower& follower) {
    if (follower.sentAt < 0) {
      if (follower.connection->in.size() < 8)
        return;
      for (char c : follower.connection->bytes(8))
        follower.lastSent = follower.lastSent << 8 | static_cast<unsigned char>(c);
    } else if (follower.lastSent == last && now() < follower.sentAt + 0.5)
      return;
    std::string bytes;
    for (; follower.lastSent < last; ++follower.lastSent)
      bytes += frames_[follower.lastSent - 1];
    if (bytes.empty())
      bytes = frame(last, 0);
    // The follower may have closed the connection meanwhile.
    (void)!send(follower.connection->fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    follower.sentAt = now();
  }
  std::list<Follower> followers_;
  std::vector<std::string> frames_;
  std::atomic<bool> silent_{false};
  std::mutex mutex_;
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

// Load from the clients of one process: each sends its next command 20 ms after the last response.
class Load {
 public:
  Load(GatewayProcess& process, int processIndex, size_t clients = 8)
      : thread_([this, &process, processIndex, clients] { run(process, processIndex, clients); }) {}
  ~Load() { stop(); }
  // Sends no further commands, and waits for the outstanding responses.
  void stop() {
    stopped_ = true;
    if (thread_.joinable())
      thread_.join();
  }
  // To be read only after stop().
  int sent = 0;                          // commands
  int unexpected = 0;                    // responses that were followed by bytes without a command
  std::map<std::string, int> responses;  // by status; "none": no response
  std::atomic<int> served{0};

 private:
  void run(GatewayProcess& process, int processIndex, size_t clientCount) {
    struct Client {
      std::unique_ptr<StubConnection> connection = {};
      bool isWaiting = false;  // for a response
      double nextAt = 0;
    };
    std::vector<Client> clients(clientCount);
    auto isWaiting = [](auto& client) { return client.isWaiting; };
    for (double end = HUGE_VAL; now() < end && (!stopped_ || std::ranges::any_of(clients, isWaiting));) {
      if (stopped_)
        end = std::min(end, now() + kWait / 1e3);
      std::vector<pollfd> ready;
      for (auto& client : clients) {
        if (!client.connection)
          client.connection = StubConnection::to(process.listen);
        if (client.connection && !stopped_ && !client.isWaiting && now() >= client.nextAt) {
          sendCommand(*client.connection, processIndex);
          client.isWaiting = true;
        }
        ready.push_back({client.isWaiting ? client.connection->fd() : -1, POLLIN, 0});
      }
      poll(ready.data(), ready.size(), 3);
      for (size_t i = 0; i < clientCount; ++i) {
        Client& client = clients[i];
        if (!ready[i].revents)
          continue;
        std::string status = client.connection->more() ? answer(*client.connection).substr(0, 3) : "none";
        ++responses[status];
        client.isWaiting = false;
        client.nextAt = now() + 0.02;
        unexpected += !client.connection->in.empty();
        served += status == "200";
        if (status == "none" || status == "non")
          client.connection.reset();  // the process has ended
      }
    }
    responses["none"] += int(std::ranges::count_if(clients, isWaiting));
  }
  // Each command is for a table of its own, so that no engine is preferred.
  void sendCommand(StubConnection& connection, int processIndex) {
    static std::atomic<int> count{0};
    int id = ++count;
    ++sent;
    std::string text = post((processIndex + 1) * 1'000'000 + id, "quick", 6000, "",
                            "SELECT 1 FROM sales_" + std::to_string(id) + ".t");
    (void)!send(connection.fd(), text.data(), text.size(), MSG_NOSIGNAL);
  }
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

constexpr uint32_t kFirstAddress = 0x7fc80000;  // 127.200.0.0; plus the id of an engine: its address
constexpr double kColdTime = 4;                 // seconds

struct SubsetFleet {
  // One process for each ordinal; according to the settings there are `dispatcherCount` of them.
  SubsetFleet(int dispatcherCount, const std::vector<int>& processOrdinals, uint32_t engineCount, Json view)
      : dispatchers(dispatcherCount), ordinals(processOrdinals), noEngines(0) {
    for (uint32_t id = 1; id <= engineCount; ++id)
      listed.insert(id);
    for (size_t i = 0; i < processOrdinals.size(); ++i) {
      auto& process = processes.emplace_back(std::make_unique<GatewayProcess>(noEngines, 0, 300));
      Json& settings = process->config["settings"];
      settings["balancers"] = dispatcherCount;
      settings["ordinal"] = processOrdinals[i];
      settings["localities"] = {"east", "west", "north"};
      settings["limits"]["connIdleUs"] = 60000000;
      settings["rules"]["coldUs"] = int(kColdTime * 1e6);
      settings["rules"]["fallUs"] = 500000;
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
      process->config["changelog"] = textOf(changeLog.listener.address);
      process->config["known"]["results"][0]["fleet"]["hosts"] = hosts;
      process->gateway = Json{{"view", view}}.dump();
      process->start();
    }
    for (auto& process : processes)
      process->ready();
  }
  static int zoneOf(uint32_t id) { return id % 4 == 0 ? 1 : id % 4 == 1 ? 2 : 0; }
  sockaddr_in addressOf(uint32_t id) const {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(uint16_t(engines.port));
    address.sin_addr.s_addr = htonl(kFirstAddress + id);
    return address;
  }
  // The records of these engines in the change log.
  std::string records(const std::set<uint32_t>& ids, int state = 0, uint64_t bornMs = 0) const {
    std::string bytes;
    for (uint32_t id : ids)
      bytes += record(id, state, addressOf(id), zoneOf(id), bornMs);
    return bytes;
  }
  // The rendezvous rank of a process for an engine; the engine is in the subset of the processes with the
  // least ranks.
  int rankOf(size_t process, uint32_t engine) const {
    return elmcleat::view::rendezvousRank(engine, ordinals[process], dispatchers, dispatchers);
  }
  // A command that reached an engine.
  struct Send {
    double time;
    size_t process;
    uint32_t engine;
  };
  std::vector<Send> sends(double from = 0) {
    std::vector<Send> found;
    for (auto& [time, id, engine] : engines.record())
      if (time >= from)
        found.push_back({time, std::stoull(id, nullptr, 16) / 1'000'000 - 1, engine - kFirstAddress});
    return found;
  }
  // The greatest rank with which a process (-1: any) has sent to an engine since then; -1 if there was no
  // send.
  int maxRankUsed(double from = 0, int process = -1) {
    int maximum = -1;
    for (auto& send : sends(from))
      if (process < 0 || send.process == size_t(process))
        maximum = std::max(maximum, rankOf(send.process, send.engine));
    return maximum;
  }
  // The processes that have sent to each engine.
  std::map<uint32_t, std::set<size_t>> users() {
    std::map<uint32_t, std::set<size_t>> found;
    for (auto& send : sends())
      found[send.engine].insert(send.process);
    return found;
  }
  void startLoad(size_t clients = 8) {
    for (size_t i = 0; i < processes.size(); ++i)
      loads.push_back(std::make_unique<Load>(*processes[i], int(i), clients));
  }
  // Ends the load, and checks that each command has had one response, served or shed.
  void stopLoadAndCheck() {
    for (auto& load : loads)
      load->stop();
    for (auto& load : loads) {
      CHECK_GT(load->responses["200"], 0);
      CHECK_EQ(load->responses["200"] + load->responses["503"], load->sent);
      CHECK_EQ(load->unexpected, 0);
    }
    loads.clear();
  }
  // Waits until the condition holds, at most `timeout` seconds; the default is ample for any machine.
  static bool waitFor(const std::function<bool()>& condition, double timeout = 30) {
    for (double end = now() + timeout; now() < end; pause(0.01))
      if (condition())
        return true;
    return false;
  }
  bool waitUntilUpToDate() {
    return waitFor([&] { return changeLog.upToDate() == processes.size(); });
  }
  // The number of log lines about changes of the subset.
  int subsetChanges(size_t process) const {
    auto text = processes[process]->log();
    std::regex line("view: [0-9]+ engines change");
    return int(std::distance(std::sregex_iterator(text.begin(), text.end(), line), std::sregex_iterator()));
  }

  int dispatchers;  // in the settings; not all of them need to run
  std::vector<int> ordinals;
  std::set<uint32_t> listed;  // engines in the configuration
  EngineStubs noEngines;
  EngineStubFarm engines;
  ChangeLog changeLog;
  std::vector<std::unique_ptr<GatewayProcess>> processes;
  std::vector<std::unique_ptr<Load>> loads;
};

}  // namespace
