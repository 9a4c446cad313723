// Dispatchers stand still for a while, again and again, and then find all that came meanwhile. A command that
// came during a stop must get its final answer before its client gives up, or half a second after that.
#include "sites.h"
#include "standins.h"

using namespace review;

namespace {

constexpr int kEngines = 6;
constexpr int kDispatchers = 2;
constexpr double kStopSeconds = 1.8;      // the pages: 1,100 to 2,000 ms
constexpr double kIntervalSeconds = 3.6;  // from stop to stop; the pages: every 2.1 to 3.8 s
constexpr int kStops = 7;                 // 25 s; the pages: for 20 to 39 s
constexpr int kWaitMs = 2000;             // a try is given up after 80 to 100% of 2,500 ms
constexpr double kSlackSeconds = 0.5 + 0.05;
constexpr double kWorkMs = 400;  // of a costly lookup, one thread; wanted within 500 ms plus twice its work

}  // namespace

int main(int count, char** values) {
  Arguments arguments = readArguments(count, values, 100);
  ChangeLog changeLog;
  Engines engines;
  // Engines answer each lookup exactly when it is wanted: 500 ms plus twice its work.
  engines.runTime = [](const EngineRequest& request) {
    return request.statement.find("costly") != std::string::npos ? 0.5 + 2 * kWorkMs / 1e3 : 0.25;
  };
  engines.open(kEngines);
  std::vector<Dispatcher> dispatchers(kDispatchers);
  endProcesses = [&] {
    for (auto& dispatcher : dispatchers)
      dispatcher.kill();
  };
  for (int i = 0; i < kDispatchers; ++i) {
    int port = freePort();
    std::string name = "n" + std::to_string(i);
    dispatchers[size_t(i)].start(arguments.command, arguments.temporary, name, port,
                                 configuration(name, port, changeLog.port, engines.ports, {"std-8"}, "mvd-1",
                                               192, 1024, ficheroSettings(i)));
  }
  for (auto& dispatcher : dispatchers)
    dispatcher.waitUntilReady();

  std::atomic<int> sent{0}, served{0}, refused{0}, failed{0}, none{0}, inSlack{0};
  double start = now() + 2, end = start + kStops * kIntervalSeconds;
  // One command from its writing to its answer. The client waits for its whole time and for the slack, then leaves.
  auto play = [&](int dispatcher, Client& client, double workMs, const char* kind) {
    Command command;
    command.profile = "lookup";
    command.tenant = "tarjetas-sur";
    command.waitMs = kWaitMs;
    command.more = "Req-Cost: " + std::to_string(workMs) + "\r\nX-Ram: 20\r\n";
    command.statement = std::string("SELECT card, due, score FROM cards_") + std::to_string(int(workMs) % 7) +
                        ".due WHERE note = '" + kind + "'";
    if (!client.isOpen() && !client.connect())
      return;
    double at = now();
    ++sent;
    record.line("client of n%d: sends %s (%s), waits %d ms", dispatcher, command.id.c_str(), kind, kWaitMs);
    client.write(command.bytes());
    double gaveUp = at + kWaitMs / 1e3;
    Answer answer = client.read(gaveUp + kSlackSeconds);
    double took = answer.at - at;
    if (answer.status == 0) {
      ++none;
      record.line("client of n%d: %s has no answer after %.3f s, leaves: BROKEN", dispatcher,
                  command.id.c_str(), now() - at);
    } else {
      (answer.at > gaveUp                             ? inSlack
       : answer.status == 200                         ? served
       : answer.status == 503 || answer.status == 429 ? refused
                                                      : failed)++;
      record.line("client of n%d: %s answered %d after %.3f s", dispatcher, command.id.c_str(), answer.status,
                  took);
    }
    if (answer.status == 0 || answer.closeAnnounced)
      client.close();
  };

  std::vector<std::thread> threads;
  // Light traffic of cheap lookups on both dispatchers.
  for (int i = 0; i < kDispatchers; ++i)
    for (int n = 0; n < 2; ++n)
      threads.emplace_back([&, i] {
        Client client(dispatchers[size_t(i)].port());
        for (double next = start - 1.5; next < end; next += 0.4) {
          sleepUntil(next);
          play(i, client, 60, "cheap");
        }
      });
  // The stops of n0, and a few costly lookups that are sent at the start of each, on resting connections.
  std::vector<std::unique_ptr<Client>> resting;
  for (int i = 0; i < 3; ++i)
    resting.push_back(std::make_unique<Client>(dispatchers[0].port()));
  for (int stop = 0; stop < kStops; ++stop) {
    double at = start + stop * kIntervalSeconds;
    sleepUntil(at);
    if (troubleEnabled()) {
      dispatchers[0].signal(SIGSTOP);
      record.line("n0: stands still");
    }
    std::vector<std::thread> senders;
    for (size_t i = 0; i < resting.size(); ++i)
      senders.emplace_back([&, i] {
        sleepUntil(at + 0.05 + 0.05 * double(i));
        play(0, *resting[i], kWorkMs, "costly");
      });
    sleepUntil(at + kStopSeconds);
    if (troubleEnabled()) {
      dispatchers[0].signal(SIGCONT);
      record.line("n0: goes on");
    }
    for (auto& sender : senders)
      sender.join();
  }
  for (auto& thread : threads)
    thread.join();
  std::printf("sent %d: served %d, refused %d, failed %d, answered in the slack %d, not answered %d\n",
              sent.load(), served.load(), refused.load(), failed.load(), inSlack.load(), none.load());
  if (served == 0 || dispatchers[0].hasEnded() || dispatchers[1].hasEnded())
    cannotRun("nothing was served, or a dispatcher has ended");
  finish(none > 0 ? 1 : 0);
}
