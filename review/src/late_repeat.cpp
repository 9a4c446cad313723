// Clients of keyed loads give up early and try again at once, with the same idempotency key. Engines drop a repeat
// for as long as the settings say. The dispatcher must not send a load again, after it may have run, once
// engines have forgotten it.
#include "sites.h"
#include "standins.h"

using namespace review;

namespace {

constexpr int kEngines = 6;
constexpr int kLoggers = 3;              // each with an ordering key of its own
constexpr int kLoadsPerLogger = 5;       // of one key, written one after the other
constexpr double kSpacingSeconds = 0.3;  // between two loads of one key; the protocol: at least 60 ms
constexpr double kRunSeconds = 3.95;  // of a load at its engine; wanted within 4 s plus 3 times its work over
                                      // its two threads, 13.9 s
constexpr double kWorkMs = 6600;
constexpr double kMemorySeconds = 15;  // an engine drops a repeat for so long
constexpr double kLeaveSeconds = 2.8;  // 0.7 of the latency target of 4 s
constexpr int kWaitMs = 25000;         // the profile's client timeout, over all tries of a request

}  // namespace

int main(int count, char** values) {
  Arguments arguments = readArguments(count, values, 100);
  ChangeLog changeLog;
  Engines engines;
  // What the engines know together: when the effect of each idempotency key was last applied. They remember it
  // from that moment on, which is longer than from the send of the first attempt.
  std::mutex mutex;
  std::map<std::string, double> appliedAt;
  std::map<std::string, int> applied;
  std::atomic<int> repeatsDropped{0};
  auto isKnown = [&](const std::string& token) {
    std::lock_guard lock(mutex);
    return appliedAt.contains(token) && now() < appliedAt[token] + kMemorySeconds;
  };
  engines.runTime = [&](const EngineRequest& request) {
    if (request.field("cls") != "logger-load")
      return 0.15;
    return isKnown(request.field("nonce")) ? 0.02
                                           : kRunSeconds;  // a repeat is dropped, with the answer of before
  };
  engines.ended = [&](const EngineRequest& request) {
    if (request.field("cls") != "logger-load")
      return;
    std::string token = request.field("nonce");
    if (isKnown(token)) {
      ++repeatsDropped;
      record.line("engine %d: %s repeats key %s, dropped", request.engine, request.id.c_str(), token.c_str());
      return;
    }
    std::lock_guard lock(mutex);
    appliedAt[token] = now();
    ++applied[token];
    record.line("engine %d: %s applies key %s%s", request.engine, request.id.c_str(), token.c_str(),
                applied[token] > 1 ? " AGAIN: BROKEN" : "");
  };
  engines.open(kEngines);
  Dispatcher dispatcher;
  endProcesses = [&] { dispatcher.kill(); };
  int port = freePort();
  dispatcher.start(arguments.command, arguments.temporary, "n0", port,
                   configuration("n0", port, changeLog.port, engines.ports, {"eight-core", "sixteen-core"},
                                 "saskatoon-room", 192, 1024, airwatchSettings()));
  dispatcher.waitUntilReady();

  std::atomic<int> served{0}, notServed{0}, left{0};
  auto load = [&](int logger, int number, const std::string& token, int waitMs) {
    Command command;
    command.profile = "logger-load";
    command.tenant = "coulee-airshed";
    command.waitMs = waitMs;
    char key[32];
    std::snprintf(key, sizeof key, "7f3a9c21e0b4d6%02x", logger);
    command.more = "Req-Key: " + std::string(key) + "\r\nReq-Token: " + token +
                   "\r\nReq-Cost: " + std::to_string(kWorkMs) + "\r\nX-Ram: 200\r\n";
    command.statement = "INSERT INTO readings_" + std::to_string(logger) +
                        ".samples SELECT * FROM staging.batch" + std::to_string(number);
    return command;
  };
  // Sends on an open connection and waits for the answer, at most for so long; then leaves.
  auto play = [&](Client& client, const Command& command, const std::string& token, double patience) {
    double at = now();
    record.line("client: sends %s, key %s", command.id.c_str(), token.c_str());
    client.write(command.bytes());
    Answer answer = client.read(at + patience);
    if (answer.status == 0) {
      record.line("client: leaves %s after %.3f s", command.id.c_str(), now() - at);
      ++left;
      client.close();
    } else {
      ++(answer.status == 200 ? served : notServed);
      record.line("client: %s answered %d after %.3f s", command.id.c_str(), answer.status, answer.at - at);
    }
    return answer;
  };

  std::vector<std::thread> clients;
  std::atomic<bool> done{false};
  std::thread readings([&] {  // light traffic of the other profile
    Client client(port);
    while (!done) {
      Command command;
      command.profile = "latest-reading";
      command.tenant = "aspen-airshed";
      command.waitMs = 4500;
      command.more = "Req-Cost: 150.0\r\nX-Ram: 40\r\n";
      command.statement = "SELECT last(value) FROM readings_9.samples";
      if (client.isOpen() || client.connect()) {
        client.write(command.bytes());
        Answer answer = client.read(now() + 5);
        if (answer.status == 0 || answer.closeAnnounced)
          client.close();
      }
      sleepFor(0.2);
    }
  });
  sleepFor(1);
  double start = now();
  for (int logger = 0; logger < kLoggers; ++logger)
    for (int number = 0; number < kLoadsPerLogger; ++number)
      clients.emplace_back([&, logger, number] {
        std::string token = newId() + newId();
        Client client(port);
        if (!client.connect())
          return;
        sleepUntil(start + 0.1 * logger + kSpacingSeconds * number);
        bool leaves = troubleEnabled() && number == 0;  // one client in five
        Command first = load(logger, number, token, kWaitMs);
        Answer answer = play(client, first, token, leaves ? kLeaveSeconds : kWaitMs / 1e3 + 0.55);
        if (answer.status != 0 || !leaves)
          return;
        Client again(port);
        int left = kWaitMs - int(kLeaveSeconds * 1e3);
        Command second = load(logger, number, token, left);  // the same request: a new id, the same key
        if (again.connect())
          play(again, second, token, left / 1e3 + 0.55);
      });
  for (auto& client : clients)
    client.join();
  done = true;
  readings.join();
  sleepFor(0.5);
  int twice = 0, once = 0;
  {
    std::lock_guard lock(mutex);
    for (auto& [token, times] : applied)
      ++(times > 1 ? twice : once);
  }
  std::printf(
      "loads of %d loggers: served %d, not served %d, left %d; applied once %d, applied twice %d, repeats "
      "dropped %d\n",
      kLoggers, served.load(), notServed.load(), left.load(), once, twice, repeatsDropped.load());
  if (served == 0 || dispatcher.hasEnded())
    cannotRun("nothing was served, or the dispatcher has ended");
  finish(twice > 0 ? 1 : 0);
}
