// Rule 1, no command is lost: another client sends long statements.
#include "../rig-2/rig.h"

using namespace rig;

namespace {

constexpr int kOtherConnections = 8;
constexpr size_t kStatementBytes = 130'000;  // the gateway takes statements of up to 128 KB
constexpr int kWaitMs = 6000;                // the client time-out of look-ups

// A look-up of many call signs, all different; `mark` stands before and behind each.
std::string longStatement(const std::string& mark) {
  std::string statement = "WITH wanted (call) AS (VALUES ";
  for (int i = 0; statement.size() < kStatementBytes; ++i)
    statement += (i ? ",(" : "(") + mark + "k" + std::to_string(i) + mark + ")";
  return statement + ") SELECT call, day, band FROM logs_17.contacts JOIN wanted USING (call)";
}

bool rule(bool trouble) {
  Engines engines(4);
  engines.onCommand = [&](const Arrived& command) {
    engines.later(0.03, [&, command] { engines.hit(command); });
  };
  engines.start();
  ChangeLog changeLog;
  Gateway gateway("n1", engines, changeLog, logbookSettings());

  // One client's look-ups, ten a second for 5 s, each on a connection of its own.
  std::vector<std::unique_ptr<Client>> clients;
  std::vector<double> written;
  auto lookUp = [&] {
    clients.push_back(std::make_unique<Client>(gateway.listen));
    need(clients.back()->connected, "connect");
    clients.back()->write(
        post(idOf(0x7000 + clients.size()), "lookup", kWaitMs, "lembah-club", 30, "",
             "SELECT call FROM logs_" + std::to_string(clients.size() % 40) + ".contacts"));
    written.push_back(now());
  };
  for (int i = 0; i < 10; ++i) {
    lookUp();
    pause(0.1);
  }
  // Another client: eight commands of 127 KB, once. Without the disruption its marks are quotes.
  std::string statement = longStatement(trouble ? "$" : "'");
  std::vector<std::unique_ptr<Client>> others;
  for (int i = 0; i < kOtherConnections; ++i) {
    others.push_back(std::make_unique<Client>(gateway.listen));
    need(others.back()->connected, "connect");
    others.back()->write(post(idOf(0x8000 + uint64_t(i)), "lookup", kWaitMs, "pantai-club", 300, "", statement));
  }
  record("other client: wrote " + std::to_string(kOtherConnections) + " commands of " +
         std::to_string(statement.size()) + " bytes");
  for (int i = 0; i < 40; ++i) {
    lookUp();
    pause(0.1);
  }
  int lost = 0;
  for (size_t i = 0; i < clients.size(); ++i) {
    std::string answer = clients[i]->response(written[i] + kWaitMs / 1e3 + 0.55);
    lost += answer == "none";
    record("client: " + idOf(0x7001 + i) + ", written at " + std::to_string(written[i]) + ": " + answer +
           (answer == "none" ? ", LOST" : ""));
  }
  Client check(gateway.listen);
  double asked = now();
  check.write("GET /check HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
  std::string health = check.response(now() + 10);
  record("health check: " + health + " after " + std::to_string(now() - asked) + " s");
  record(std::to_string(lost) + " of " + std::to_string(clients.size()) + " look-ups lost");
  return lost == 0;
}

}  // namespace

int main(int argumentCount, char** arguments) { return runCase(argumentCount, arguments, rule); }
