// A budget of the whole fleet in several processes, with faults between them. The engine's record tells what was started,
// in any second, whoever started it: never more than the amount and the burst that the plan allows.
#include "relay.h"

namespace {

constexpr double kCommands = 60;  // a second: the team's ceiling of 6 cores, at 0.1 s of work a command
constexpr double kSlack = 42;     // half a second's burst of all, and what the clocks of this test are worth

// Clients of one process, each with one command in hand all the while.
class Pump {
 public:
  Pump(GatewayProcess& service, int number)
      : thread_([this, &service, number] {
          std::vector<std::unique_ptr<StubConnection>> clients(16);
          for (int id = number * 1'000'000; !over_;) {
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
              std::string got = clients[i]->more() ? answer(*clients[i]) : "none";
              if (got == "none")
                clients[i].reset();  // it was stopped or killed
              else {
                std::string next = post(++id, "quick", 3000);
                (void)!send(clients[i]->fd(), next.data(), next.size(), MSG_NOSIGNAL);
              }
            }
          }
        }) {}
  ~Pump() {
    over_ = true;
    thread_.join();
  }

 private:
  std::atomic<bool> over_{false};
  std::thread thread_;
};

struct Sharers {
  explicit Sharers(bool sharing = true) : none(0), relay(3) {
    for (int i = 0; i < 3; ++i) {
      services.push_back(std::make_unique<GatewayProcess>(none, 0));
      Json& config = services.back()->config;
      config["name"] = "n" + std::to_string(i);
      config["settings"]["limits"]["peers"] = true, config["settings"]["balancers"] = 3;
      Json hosts = Json::array();
      for (int engine = 1; engine <= 4; ++engine)
        hosts.push_back({{"host", "s-0000000" + std::to_string(engine)},
                         {"dial", "127.9.9." + std::to_string(engine) + ":" + std::to_string(crowd.port)},
                         {"site", "east"},
                         {"class", "std"},
                         {"block", 0},
                         {"health", "in_service"},
                         {"born_ms", 0}});
      config["known"]["results"][0]["fleet"]["hosts"] = hosts;
      Json own{{"members", relay.section(i)},
               {"budgets", {{"nodes", {{{"name", "acme"}, {"ceiling", {{"cores", 6}}}, {"burstS", 0.5}}}}}}};
      if (sharing)
        own["shared"] = Json::object();
      services.back()->gateway = own.dump();
      services.back()->start();
    }
    for (auto& service : services)
      service->ready();
    pause(4);  // they have found each other, and whatever an earlier life could have lent is over
  }
  int started(double from, double to, int process = -1) {
    int count = 0;
    for (auto& sent : crowd.record())
      count += sent.at >= from && sent.at < to &&
               (process < 0 || std::stoull(sent.id, nullptr, 16) / 1'000'000 == uint64_t(process + 1));
    return count;
  }
  int worstSecond() {
    auto record = crowd.record();
    int most = 0;
    for (size_t first = 0, last = 0; last < record.size(); ++last) {
      while (record[last].at - record[first].at > 1)
        ++first;
      most = std::max(most, int(last - first + 1));
    }
    return most;
  }

  EngineStubs none;
  EngineStubFarm crowd;
  Relay relay;
  std::vector<std::unique_ptr<GatewayProcess>> services;
};

}  // namespace

TEST_CASE(
    "a ceiling of the fleet is usable where the commands come, and stays one through cuts, stops and "
    "deaths") {
  Sharers fleet;
  {
    Pump one(*fleet.services[0], 1);
    pause(5);
    CHECK_GT(fleet.started(now() - 2, now(), 0), 0.75 * 2 * kCommands);  // an equal part is a third
    fleet.relay.part({0}, true);  // its loans end, and nobody renews them
    pause(5);
    CHECK_LT(fleet.started(now() - 2, now(), 0), 0.5 * 2 * kCommands);
    CHECK_GT(fleet.started(now() - 2, now(), 0), 0.25 * 2 * kCommands);
    fleet.relay.part({0}, false);
    pause(6);
    CHECK_GT(fleet.started(now() - 2, now(), 0), 0.75 * 2 * kCommands);
  }
  {
    Pump one(*fleet.services[0], 1), two(*fleet.services[1], 2), three(*fleet.services[2], 3);
    pause(4);  // all want theirs back
    for (int i = 0; i < 3; ++i)
      CHECK_GT(fleet.started(now() - 1, now(), i), 0.15 * kCommands);
    fleet.services[0]->kill(SIGSTOP);  // with loans, and past their end
    pause(4);
    fleet.services[0]->kill(SIGCONT);
    fleet.relay.part({1}, true);
    pause(3);
    fleet.services[2]->kill(SIGKILL);  // it has forgotten what it lent
    fleet.services[2]->status();
    fleet.services[2]->start(), fleet.services[2]->ready();
    fleet.relay.all({.cut = false, .delay = 0.01, .jitter = 0.1, .loss = 0.1, .copies = 0.2, .damage = 0.02});
    pause(5);
  }
  CHECK_LE(fleet.worstSecond(), kCommands + kSlack);
  for (int i = 0; i < 2; ++i) {
    fleet.services[size_t(i)]->kill(SIGTERM);
    CHECK_EQ(fleet.services[size_t(i)]->status(), 0);
  }
}

TEST_CASE("without sharing the same fleet gives each process a third, wherever the commands come") {
  Sharers fleet(false);
  Pump one(*fleet.services[0], 1);
  pause(4);
  CHECK_LT(fleet.started(now() - 2, now(), 0), 0.45 * 2 * kCommands);
}
