// Some good answers of engines arrive spoilt: noise in the line of a HIT. A client must never be told 'served'
// with rows that are not all rows of its result.
#include "sites.h"
#include "standins.h"

using namespace review;

namespace {

constexpr int kEngines = 6;
constexpr int kClients = 4;
constexpr double kRunSeconds = 20;
constexpr int kSpoiltOneIn = 8;
constexpr size_t kPageBytes = 6000;     // the protocol's limit of a page
constexpr size_t kResultBytes = 16000;  // of the 48,000 allowed

// The rows of a result: fixed by the statement, so that a client can tell whether it has all of them.
std::vector<std::string> rowsOf(const std::string& statement) {
  std::mt19937_64 random(std::hash<std::string>()(statement));
  std::vector<std::string> rows;
  for (size_t bytes = 0; bytes < kResultBytes; bytes += rows.back().size()) {
    char row[96];
    std::snprintf(row, sizeof row, "2026-11-%02d\t%d\tstation %08llx\n", int(rows.size() % 30) + 1,
                  int(rows.size()), static_cast<unsigned long long>(random() & 0xffffffff));
    rows.push_back(row);
  }
  return rows;
}
std::vector<std::string> pagesOf(const std::string& statement) {
  std::vector<std::string> pages(1);
  for (auto& row : rowsOf(statement)) {
    if (pages.back().size() + row.size() > kPageBytes)
      pages.emplace_back();
    pages.back() += row;
  }
  return pages;
}
// The same rows as a client gets them.
std::string jsonOf(const std::string& statement) {
  std::string json;
  for (auto& row : rowsOf(statement)) {
    size_t first = row.find('\t'), second = row.find('\t', first + 1);
    json += std::string(json.empty() ? "" : ",") + "[\"" + row.substr(0, first) + "\",\"" +
            row.substr(first + 1, second - first - 1) + "\",\"" +
            row.substr(second + 1, row.size() - second - 2) + "\"]";
  }
  return R"({"records":[)" + json + "]}";
}

}  // namespace

int main(int count, char** values) {
  Arguments arguments = readArguments(count, values, 100);
  ChangeLog changeLog;
  Engines engines;
  std::atomic<int> answers{0}, spoilt{0};
  engines.runTime = [](const EngineRequest&) { return 0.15; };
  engines.pages = [](const EngineRequest& request) { return pagesOf(request.statement); };
  if (troubleEnabled())
    engines.spoil = [&](const EngineRequest&, std::string& line) {
      int number = ++answers;
      if (number % kSpoiltOneIn != 0)
        return;
      ++spoilt;
      // Noise: one byte of the word `fetches` is another one.
      size_t position = line.find("fetches=") + size_t(number / kSpoiltOneIn) % 7;
      line[position] = char(line[position] ^ 0x02);
    };
  engines.open(kEngines);
  Dispatcher dispatcher;
  endProcesses = [&] { dispatcher.kill(); };
  int port = freePort();
  dispatcher.start(arguments.command, arguments.temporary, "n0", port,
                   configuration("n0", port, changeLog.port, engines.ports, {"eight-core", "sixteen-core"},
                                 "saskatoon-room", 192, 1024, airwatchSettings()));
  dispatcher.waitUntilReady();

  std::atomic<int> sent{0}, served{0}, refused{0}, failed{0}, wrong{0}, none{0};
  double end = now() + kRunSeconds;
  std::vector<std::thread> clients;
  for (int number = 0; number < kClients; ++number)
    clients.emplace_back([&, number] {
      Client client(port);
      for (int i = 0; now() < end; ++i) {
        Command command;
        command.profile = "latest-reading";
        command.tenant = number % 2 ? "coulee-airshed" : "aspen-airshed";
        command.waitMs = 4500;
        command.more = "Req-Cost: 150.0\r\nX-Ram: 40\r\n";
        command.statement = "SELECT day, count(*), max(note) FROM readings_" + std::to_string(i % 20) +
                            ".samples WHERE tag = '" + command.id + "' GROUP BY day";
        if (!client.isOpen() && !client.connect())
          continue;
        double at = now();
        ++sent;
        record.line("client %d: sends %s", number, command.id.c_str());
        client.write(command.bytes());
        Answer answer = client.read(at + 4.5 + 0.55);
        bool problem = answer.body.find("\"problem\"") != std::string::npos;
        if (answer.status == 0) {
          ++none;
          record.line("client %d: %s has no answer", number, command.id.c_str());
          client.close();
        } else if (answer.status == 503 || answer.status == 429) {
          ++refused;
          record.line("client %d: %s refused", number, command.id.c_str());
        } else if (answer.status != 200 || problem) {
          ++failed;
          record.line("client %d: %s failed, %d", number, command.id.c_str(), answer.status);
        } else if (answer.body == jsonOf(command.statement)) {
          ++served;
          record.line("client %d: %s served, all rows", number, command.id.c_str());
        } else {
          ++wrong;
          record.line("client %d: %s told served with %zu bytes, its result has %zu: BROKEN", number,
                      command.id.c_str(), answer.body.size(), jsonOf(command.statement).size());
        }
        if (answer.closeAnnounced)
          client.close();
        sleepUntil(at + 0.25);
      }
    });
  for (auto& client : clients)
    client.join();
  std::printf(
      "sent %d: served %d, refused %d, failed %d, no answer %d, told served with a part of the rows %d; "
      "answers of engines spoilt %d\n",
      sent.load(), served.load(), refused.load(), failed.load(), none.load(), wrong.load(), spoilt.load());
  if (served == 0 || dispatcher.hasEnded())
    cannotRun("nothing was served, or the dispatcher has ended");
  finish(wrong > 0 || none > 0 ? 1 : 0);
}
