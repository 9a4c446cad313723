// Tests of a fleet-wide budget that several real processes share by leases, with faults between them. The
// engines record the start of each command from any process: in any second there must be no more than the
// ceiling and the burst allow.
#include "relay.h"

namespace {

constexpr double kCommandsPerSecond = 60;  // the ceiling of 6 cores, at 0.1 s of work per command
constexpr double kSlack = 42;  // commands: the burst of half a second, and the test's timing error

// Load from clients of one process, each of which always has one outstanding command.
class ClosedLoopLoad {
 public:
  ClosedLoopLoad(GatewayProcess& service, int processNumber)
      : thread_([this, &service, processNumber] {
          std::vector<std::unique_ptr<StubConnection>> clients(16);
          for (int id = processNumber * 1'000'000; !stopped_;) {
            std::vector<pollfd> ready;
            for (auto& client : clients) {
              if (!client && (client = StubConnection::to(service.listen)))
                client->write(post(++id, "quick", 3000));
              ready.push_back({client ? client->fd() : -1, POLLIN, 0});
            }
            poll(ready.data(), ready.size(), 20);
            for (size_t i = 0; i < clients.size(); ++i) {
              if (!ready[i].revents || !clients[i])
                continue;
              std::string response = clients[i]->more() ? answer(*clients[i]) : "none";
              if (response == "none")
                clients[i].reset();  // the process was stopped or killed
              else {
                std::string command = post(++id, "quick", 3000);
                (void)!send(clients[i]->fd(), command.data(), command.size(), MSG_NOSIGNAL);
              }
            }
          }
        }) {}
  ~ClosedLoopLoad() {
    stopped_ = true;
    thread_.join();
  }

 private:
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

struct SharingFleet {
  explicit SharingFleet(bool sharing = true) : noEngines(0), relay(3) {
    for (int i = 0; i < 3; ++i) {
      services.push_back(std::make_unique<GatewayProcess>(noEngines, 0));
      Json& config = services.back()->config;
      config["name"] = "n" + std::to_string(i);
      config["settings"]["limits"]["peers"] = true;
      config["settings"]["balancers"] = 3;
      Json hosts = Json::array();
      for (int engine = 1; engine <= 4; ++engine)
        hosts.push_back({{"host", "s-0000000" + std::to_string(engine)},
                         {"dial", "127.9.9." + std::to_string(engine) + ":" + std::to_string(engines.port)},
                         {"site", "east"},
                         {"class", "std"},
                         {"block", 0},
                         {"health", "in_service"},
                         {"born_ms", 0}});
      config["known"]["results"][0]["fleet"]["hosts"] = hosts;
      Json gateway{
          {"members", relay.section(i)},
          {"budgets", {{"nodes", {{{"name", "acme"}, {"ceiling", {{"cores", 6}}}, {"burstS", 0.5}}}}}}};
      if (sharing)
        gateway["shared"] = Json::object();
      services.back()->gateway = gateway.dump();
      services.back()->start();
    }
    for (auto& service : services)
      service->ready();
    pause(4);  // all have joined, and leases of earlier instances would have expired
  }
  // Commands started in a span of time, from all processes or from one.
  int started(double from, double to, int process = -1) {
    int count = 0;
    for (auto& sent : engines.record())
      count += sent.at >= from && sent.at < to &&
               (process < 0 || std::stoull(sent.id, nullptr, 16) / 1'000'000 == uint64_t(process + 1));
    return count;
  }
  // The most commands that were started within any second.
  int maxStartedPerSecond() {
    auto record = engines.record();
    int maximum = 0;
    for (size_t first = 0, last = 0; last < record.size(); ++last) {
      while (record[last].at - record[first].at > 1)
        ++first;
      maximum = std::max(maximum, int(last - first + 1));
    }
    return maximum;
  }

  EngineStubs noEngines;
  EngineStubFarm engines;
  Relay relay;
  std::vector<std::unique_ptr<GatewayProcess>> services;
};

}  // namespace

TEST_CASE("a shared ceiling follows the demand, and is kept through partitions, stops and restarts") {
  SharingFleet fleet;
  {
    ClosedLoopLoad load(*fleet.services[0], 1);
    pause(5);
    CHECK_GT(fleet.started(now() - 2, now(), 0),
             0.75 * 2 * kCommandsPerSecond);  // an equal share would be a third
    fleet.relay.partition({0}, true);         // its leases expire without renewal
    pause(5);
    CHECK_LT(fleet.started(now() - 2, now(), 0), 0.5 * 2 * kCommandsPerSecond);
    CHECK_GT(fleet.started(now() - 2, now(), 0), 0.25 * 2 * kCommandsPerSecond);
    fleet.relay.partition({0}, false);
    pause(6);
    CHECK_GT(fleet.started(now() - 2, now(), 0), 0.75 * 2 * kCommandsPerSecond);
  }
  {
    ClosedLoopLoad first(*fleet.services[0], 1);
    ClosedLoopLoad second(*fleet.services[1], 2);
    ClosedLoopLoad third(*fleet.services[2], 3);
    pause(4);  // each process needs its own share again
    for (int i = 0; i < 3; ++i)
      CHECK_GT(fleet.started(now() - 1, now(), i), 0.15 * kCommandsPerSecond);
    fleet.services[0]->kill(SIGSTOP);  // while it holds leases, until after their end
    pause(4);
    fleet.services[0]->kill(SIGCONT);
    fleet.relay.partition({1}, true);
    pause(3);
    fleet.services[2]->kill(SIGKILL);  // it restarts without memory of its grants
    fleet.services[2]->status();
    fleet.services[2]->start();
    fleet.services[2]->ready();
    fleet.relay.setAllConditions(
        {.cut = false, .delay = 0.01, .jitter = 0.1, .loss = 0.1, .duplication = 0.2, .damage = 0.02});
    pause(5);
  }
  CHECK_LE(fleet.maxStartedPerSecond(), kCommandsPerSecond + kSlack);
  for (int i = 0; i < 2; ++i) {
    fleet.services[size_t(i)]->kill(SIGTERM);
    CHECK_EQ(fleet.services[size_t(i)]->status(), 0);
  }
}

TEST_CASE("without sharing each process may use a third of the ceiling, whatever the demand") {
  SharingFleet fleet(false);
  ClosedLoopLoad load(*fleet.services[0], 1);
  pause(4);
  CHECK_LT(fleet.started(now() - 2, now(), 0), 0.45 * 2 * kCommandsPerSecond);
}
