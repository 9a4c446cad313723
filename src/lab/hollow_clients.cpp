#include <cstdio>
#include <deque>
#include <utility>

#include "lab/hollow.h"
#include "lab/hollow_loop.h"
#include "lab/http_response.h"
#include "runtime/stream.h"

namespace elmcleat::lab {

double latencyAt(const ClientCounts& counts, double part) {
  uint64_t all = 0, sum = 0;
  for (auto& count : counts.latency)
    all += count;
  for (size_t i = 0; i < counts.latency.size(); ++i)
    if ((sum += counts.latency[i]) > 0 && double(sum) >= part * double(all))
      return 1e-5 * std::pow(10, double(i) / kLatencySteps);
  return 0;
}

void serveClients(const Address& dispatcher, int orders, const std::string& profile, ClientCounts& counts) {
  constexpr double kWait = 2, kLate = 0.5, kIdle = 3.5, kCheckEach = 6;
  constexpr size_t kMostComing = 64;
  struct Line {
    int fd = -1;
    bool up = false, idle = false, asked = false, over = false;
    double at = 0;  // of its request, or its last answer
    std::string in, out;
  };
  using Held = std::shared_ptr<Line>;
  Loop loop;
  sockaddr_in to = toSockaddr(dispatcher);
  std::deque<Held> free, checks, asked;  // by time
  size_t idleWanted = 0, idleHeld = 0, coming = 0;
  double rate = 0, owed = 0, last = secondsNow();
  uint64_t number = uint64_t(getpid()) << 32, tables = 512;

  auto close = [&](const Held& line) {
    if (std::exchange(line->over, true))
      return;
    if (line->idle)
      --idleHeld, counts.broken += line->up, counts.idle = idleHeld;
    else if (line->asked)
      ++counts.lost;
    if (!line->up)
      --coming;
    loop.close(line->fd);
  };
  auto request = [&](const Held& line, std::string bytes) {
    line->asked = true, line->at = secondsNow();
    if (!line->up)
      line->out = std::move(bytes);
    else if (!put(line->fd, bytes))
      close(line);
  };
  auto heard = [&](const Held& line) {
    auto status = takeResponseStatus(line->in);
    if (!status)
      return;
    if (!std::exchange(line->asked, false) || !line->in.empty()) {
      ++counts.wrong;
      return close(line);
    }
    double now = secondsNow(), took = now - line->at;
    line->at = now;
    if (line->idle) {
      ++counts.checks, checks.push_back(line);
      return;
    }
    if (*status == "200") {
      ++counts.answered;
      double step = kLatencySteps * std::log10(std::max(took, 1e-5) / 1e-5);
      ++counts.latency[std::min(counts.latency.size() - 1, size_t(step))];
    } else
      ++(*status == "503" || *status == "429" ? counts.shed : counts.failed);
    free.push_back(line);
  };
  auto connect = [&](bool idle) {
    auto line = std::make_shared<Line>();
    line->idle = idle, line->at = secondsNow(), ++coming;
    line->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (idle)
      counts.idle = ++idleHeld;
    promptly(line->fd);
    ::connect(line->fd, reinterpret_cast<sockaddr*>(&to), sizeof to);
    loop.watch(
        line->fd,
        [&, line](uint32_t events) {
          if (line->over)
            return;
          if (!line->up && events & EPOLLOUT && !(events & (EPOLLERR | EPOLLHUP))) {
            line->up = true, --coming;
            loop.want(line->fd, EPOLLIN);
            if (!line->out.empty() && !put(line->fd, std::exchange(line->out, {})))
              return close(line);
          }
          bool open = readAll(line->fd, line->in);
          heard(line);
          if (!open && !line->over)
            close(line);
        },
        EPOLLIN | EPOLLOUT);
    return line;
  };
  const std::string check = "GET /check HTTP/1.1\r\nHost: lab\r\n\r\n";
  auto ask = [&] {
    Held line;
    while (!free.empty() && free.back()->over)
      free.pop_back();
    if (free.empty())
      line = connect(false);
    else
      line = free.back(), free.pop_back();
    std::string body = "SELECT a FROM t_" + std::to_string(++number % tables) + ".x";
    char head[320];
    int size =
        std::snprintf(head, sizeof head,
                      "POST /do/%s HTTP/1.1\r\nHost: lab\r\nReq-Id: %016llx\r\nReq-Wait-Ms: %.0f\r\n"
                      "Req-Owner: acme\r\nReq-Cost: 1.0\r\nContent-Length: %zu\r\n\r\n",
                      profile.c_str(), static_cast<unsigned long long>(number), kWait * 1e3, body.size());
    ++counts.asked;
    asked.push_back(line);
    request(line, std::string(head, size_t(size)) + body);
  };
  loop.heed(orders, [&](const std::string& word, std::istringstream& rest) {
    if (word == "idle")
      rest >> idleWanted;
    if (word == "rate")
      rest >> rate >> tables, owed = 0;
  });
  loop.run([&](double now) {
    owed += (now - std::exchange(last, now)) * rate;
    for (; owed >= 1; --owed)
      ask();
    for (; !asked.empty() &&
           (!asked.front()->asked || asked.front()->over || now > asked.front()->at + kWait + kLate);
         asked.pop_front())
      if (asked.front()->asked && !asked.front()->over)
        close(asked.front());  // no answer in time: lost
    while (!free.empty() && (free.front()->over || now > free.front()->at + kIdle)) {
      if (!free.front()->over)
        close(free.front());
      free.pop_front();
    }
    while (idleHeld < idleWanted && coming < kMostComing)
      request(connect(true), check);
    for (; !checks.empty() && now > checks.front()->at + kCheckEach; checks.pop_front())
      if (!checks.front()->over)
        request(checks.front(), check);
    for (; idleHeld > idleWanted && !checks.empty(); checks.pop_front())
      if (!checks.front()->over)
        checks.front()->up = false, ++coming, close(checks.front());  // our own wish
  });
}

}  // namespace elmcleat::lab
