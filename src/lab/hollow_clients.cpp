// Simulated clients of one dispatcher: idle connections with a periodic check, and commands in an open loop.
#include <cstdio>
#include <deque>
#include <utility>

#include "lab/hollow.h"
#include "lab/hollow_loop.h"
#include "lab/http_response.h"
#include "runtime/stream.h"

namespace elmcleat::lab {

double latencyQuantile(const ClientCounts& counts, double quantile) {
  uint64_t total = 0;
  for (auto& count : counts.latency)
    total += count;
  uint64_t sum = 0;
  for (size_t i = 0; i < counts.latency.size(); ++i)
    if ((sum += counts.latency[i]) > 0 && double(sum) >= quantile * double(total))
      return 1e-5 * std::pow(10, double(i) / kLatencyBucketsPerDecade);
  return 0;
}

void serveClients(const Address& dispatcher, int orders, const std::string& profile, ClientCounts& counts) {
  constexpr double kClientTimeout = 2;    // seconds, as sent with each command
  constexpr double kLateAllowance = 0.5;  // beyond it, until a command counts as lost
  constexpr double kUnusedTimeout = 3.5;  // until an unused connection is closed
  constexpr double kCheckInterval = 6;
  constexpr size_t kMaxConnecting = 64;
  struct Connection {
    int fd = -1;
    bool up = false;
    bool idle = false;  // for checks alone
    bool awaitsAnswer = false;
    bool closed = false;
    double lastActive = 0;  // time of its request or its last answer
    std::string in;
    std::string out;  // a request to send once the connection is up
  };
  using ConnectionPtr = std::shared_ptr<Connection>;
  Loop loop;
  sockaddr_in to = toSockaddr(dispatcher);
  // Each ordered by time.
  std::deque<ConnectionPtr> unused;
  std::deque<ConnectionPtr> checks;  // idle connections that wait for their next check
  std::deque<ConnectionPtr> requests;
  size_t idleWanted = 0;
  size_t idleOpen = 0;
  size_t connecting = 0;
  double rate = 0;
  double commandsDue = 0;
  double lastTick = secondsNow();
  uint64_t commandNumber = uint64_t(getpid()) << 32;
  uint64_t tables = 512;

  auto close = [&](const ConnectionPtr& connection) {
    if (std::exchange(connection->closed, true))
      return;
    if (connection->idle) {
      --idleOpen;
      counts.broken += connection->up;
      counts.idle = idleOpen;
    } else if (connection->awaitsAnswer)
      ++counts.lost;
    if (!connection->up)
      --connecting;
    loop.close(connection->fd);
  };
  auto sendRequest = [&](const ConnectionPtr& connection, std::string bytes) {
    connection->awaitsAnswer = true;
    connection->lastActive = secondsNow();
    if (!connection->up)
      connection->out = std::move(bytes);
    else if (!writeAll(connection->fd, bytes))
      close(connection);
  };
  auto handleAnswer = [&](const ConnectionPtr& connection) {
    auto status = takeResponseStatus(connection->in);
    if (!status)
      return;
    if (!std::exchange(connection->awaitsAnswer, false) || !connection->in.empty()) {
      ++counts.wrong;
      return close(connection);
    }
    double now = secondsNow();
    double latency = now - connection->lastActive;
    connection->lastActive = now;
    if (connection->idle) {
      ++counts.checks;
      checks.push_back(connection);
      return;
    }
    if (*status == "200") {
      ++counts.answered;
      double bucket = kLatencyBucketsPerDecade * std::log10(std::max(latency, 1e-5) / 1e-5);
      ++counts.latency[std::min(counts.latency.size() - 1, size_t(bucket))];
    } else
      ++(*status == "503" || *status == "429" ? counts.shed : counts.failed);
    unused.push_back(connection);
  };
  auto connect = [&](bool idle) {
    auto connection = std::make_shared<Connection>();
    connection->idle = idle;
    connection->lastActive = secondsNow();
    ++connecting;
    connection->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (idle)
      counts.idle = ++idleOpen;
    disableNagle(connection->fd);
    ::connect(connection->fd, reinterpret_cast<sockaddr*>(&to), sizeof to);
    loop.watch(
        connection->fd,
        [&, connection](uint32_t events) {
          if (connection->closed)
            return;
          if (!connection->up && events & EPOLLOUT && !(events & (EPOLLERR | EPOLLHUP))) {
            connection->up = true;
            --connecting;
            loop.setEvents(connection->fd, EPOLLIN);
            if (!connection->out.empty() && !writeAll(connection->fd, std::exchange(connection->out, {})))
              return close(connection);
          }
          bool open = readAvailable(connection->fd, connection->in);
          handleAnswer(connection);
          if (!open && !connection->closed)
            close(connection);
        },
        EPOLLIN | EPOLLOUT);
    return connection;
  };
  const std::string check = "GET /check HTTP/1.1\r\nHost: lab\r\n\r\n";
  auto sendCommand = [&] {
    ConnectionPtr connection;
    while (!unused.empty() && unused.back()->closed)
      unused.pop_back();
    if (unused.empty())
      connection = connect(false);
    else {
      connection = unused.back();
      unused.pop_back();
    }
    std::string body = "SELECT a FROM t_" + std::to_string(++commandNumber % tables) + ".x";
    char head[320];
    int size = std::snprintf(head, sizeof head,
                             "POST /do/%s HTTP/1.1\r\nHost: lab\r\nReq-Id: %016llx\r\nReq-Wait-Ms: %.0f\r\n"
                             "Req-Owner: acme\r\nReq-Cost: 1.0\r\nContent-Length: %zu\r\n\r\n",
                             profile.c_str(), static_cast<unsigned long long>(commandNumber),
                             kClientTimeout * 1e3, body.size());
    ++counts.sent;
    requests.push_back(connection);
    sendRequest(connection, std::string(head, size_t(size)) + body);
  };
  loop.readOrders(orders, [&](const std::string& verb, std::istringstream& arguments) {
    if (verb == "idle")
      arguments >> idleWanted;
    if (verb == "rate") {
      arguments >> rate >> tables;
      commandsDue = 0;
    }
  });
  loop.run([&](double now) {
    commandsDue += (now - std::exchange(lastTick, now)) * rate;
    for (; commandsDue >= 1; --commandsDue)
      sendCommand();
    for (; !requests.empty() && (!requests.front()->awaitsAnswer || requests.front()->closed ||
                                 now > requests.front()->lastActive + kClientTimeout + kLateAllowance);
         requests.pop_front())
      if (requests.front()->awaitsAnswer && !requests.front()->closed)
        close(requests.front());  // no answer in time: counts as lost
    while (!unused.empty() && (unused.front()->closed || now > unused.front()->lastActive + kUnusedTimeout)) {
      if (!unused.front()->closed)
        close(unused.front());
      unused.pop_front();
    }
    while (idleOpen < idleWanted && connecting < kMaxConnecting)
      sendRequest(connect(true), check);
    for (; !checks.empty() && now > checks.front()->lastActive + kCheckInterval; checks.pop_front())
      if (!checks.front()->closed)
        sendRequest(checks.front(), check);
    for (; idleOpen > idleWanted && !checks.empty(); checks.pop_front())
      if (!checks.front()->closed) {
        // Closed on our side: marked as connecting, so that it does not count as broken.
        checks.front()->up = false;
        ++connecting;
        close(checks.front());
      }
  });
}

}  // namespace elmcleat::lab
