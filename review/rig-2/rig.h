// What the cases of the second review share: the gateway as a process, started by the deploy file's `run`, and
// stand-ins for engines, the change log and clients, all on loopback addresses. Every wait is bounded.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

inline double now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}
inline uint64_t unixMs() {
  return uint64_t(
      std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
          .count());
}
inline void pause(double seconds) {
  if (seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline void pauseUntil(double time) { pause(time - now()); }

// Writes a line to record.txt, with the time in seconds since the start.
inline std::ofstream recordFile;
inline std::mutex recordMutex;
inline void record(const std::string& line) {
  std::lock_guard lock(recordMutex);
  char time[32];
  std::snprintf(time, sizeof time, "%9.3f ", now());
  recordFile << time << line << std::endl;
}
// The case could not run: status 2.
class CannotRun : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};
inline void need(bool condition, const std::string& what) {
  if (!condition)
    throw CannotRun(what + ": " + std::strerror(errno));
}

inline sockaddr* raw(sockaddr_in& address) { return reinterpret_cast<sockaddr*>(&address); }
// A loopback address of its own for each process and call; port 0.
inline sockaddr_in loopback() {
  static std::atomic<uint32_t> count{0};
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr =
      htonl(0x7f000000u | (uint32_t(getpid()) % 0x7000u + 0x100u) << 8 | (++count % 250 + 1));
  return address;
}
inline std::string textOf(const sockaddr_in& address) {
  char text[32];
  inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
  return std::string(text) + ":" + std::to_string(ntohs(address.sin_port));
}
inline int listenOn(sockaddr_in& address) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  need(fd >= 0, "socket");
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  need(bind(fd, raw(address), sizeof address) == 0, "bind");
  socklen_t size = sizeof address;
  getsockname(fd, raw(address), &size);
  need(listen(fd, 512) == 0, "listen");
  return fd;
}
inline void resetAndClose(int fd) {
  linger hard{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  close(fd);
}

// A command as it arrived at an engine.
struct Arrived {
  int engine = 0;
  uint64_t connection = 0;
  std::string id, body;
  std::map<std::string, std::string> fields;
};

// Engines by the pages' protocol, served by one thread. `onCommand` decides what a command does; it and the
// calls of later() run on that thread.
class Engines {
 public:
  std::function<void(const Arrived&)> onCommand;
  // A command was given up: by DROP, or as its connection was closed.
  std::function<void(int engine, const std::string& id)> onGivenUp;

  explicit Engines(int count) : listeners_(size_t(count)) {
    for (auto& listener : listeners_) {
      listener.address = loopback();
      listener.fd = listenOn(listener.address);
    }
  }
  ~Engines() {
    stopped_ = true;
    if (thread_.joinable())
      thread_.join();
    for (auto& [number, connection] : connections_)
      close(connection.fd);
    for (auto& listener : listeners_)
      if (listener.fd >= 0)
        close(listener.fd);
  }
  void start() {
    thread_ = std::thread([this] { run(); });
  }
  const sockaddr_in& address(int engine) const { return listeners_[size_t(engine)].address; }
  int count() const { return int(listeners_.size()); }

  // On the engines' thread only:
  void later(double seconds, std::function<void()> call) { calls_.emplace(now() + seconds, std::move(call)); }
  // Writes an answer; false if the connection has ended.
  bool answer(const Arrived& to, const std::string& word, const std::string& fields = "-",
              const std::string& body = "") {
    auto found = connections_.find(to.connection);
    if (found == connections_.end())
      return false;
    if (word != "INFO")
      found->second.open.erase(to.id);
    std::string text = to.id + " " + word + " " + fields + " " + std::to_string(body.size()) + "\r\n" + body + "\r\n";
    return send(found->second.fd, text.data(), text.size(), MSG_NOSIGNAL) == ssize_t(text.size());
  }
  bool hit(const Arrived& to) { return answer(to, "HIT", "fetches=1", "a\tb\tc\n"); }
  // The engine's process dies: its connections are reset and new ones refused.
  void die(int engine) {
    auto& listener = listeners_[size_t(engine)];
    if (listener.fd >= 0)
      close(std::exchange(listener.fd, -1));
    for (auto entry = connections_.begin(); entry != connections_.end();)
      if (entry->second.engine == engine) {
        resetAndClose(entry->second.fd);
        entry = connections_.erase(entry);
      } else {
        ++entry;
      }
  }
  // A new process listens at the engine's address.
  void revive(int engine) {
    auto& listener = listeners_[size_t(engine)];
    if (listener.fd < 0)
      listener.fd = listenOn(listener.address);
  }

 private:
  struct Listener {
    sockaddr_in address{};
    int fd = -1;
  };
  struct Connection {
    int engine = 0;
    int fd = -1;
    std::string in;
    std::set<std::string> open;
  };
  void run() {
    uint64_t next = 0;
    while (!stopped_) {
      std::vector<pollfd> ready;
      for (auto& listener : listeners_)
        ready.push_back({listener.fd, POLLIN, 0});
      std::vector<uint64_t> numbers;
      for (auto& [number, connection] : connections_) {
        ready.push_back({connection.fd, POLLIN, 0});
        numbers.push_back(number);
      }
      double wait = calls_.empty() ? 0.02 : std::min(0.02, std::max(0.0, calls_.begin()->first - now()));
      poll(ready.data(), ready.size(), int(wait * 1e3 + 0.5));
      for (size_t i = 0; i < listeners_.size(); ++i)
        if (ready[i].revents)
          for (int fd; (fd = accept4(listeners_[i].fd, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;)
            connections_[next++] = {int(i), fd, "", {}};
      for (size_t i = 0; i < numbers.size(); ++i)
        if (ready[listeners_.size() + i].revents)
          read(numbers[i]);
      while (!calls_.empty() && calls_.begin()->first <= now()) {
        auto call = std::move(calls_.begin()->second);
        calls_.erase(calls_.begin());
        call();
      }
    }
  }
  void read(uint64_t number) {
    auto found = connections_.find(number);
    if (found == connections_.end())
      return;
    char buffer[65536];
    ssize_t received = recv(found->second.fd, buffer, sizeof buffer, MSG_DONTWAIT);
    if (received <= 0) {
      if (received < 0 && (errno == EAGAIN || errno == EINTR))
        return;
      for (auto& id : found->second.open)
        if (onGivenUp)
          onGivenUp(found->second.engine, id);
      close(found->second.fd);
      connections_.erase(found);
      return;
    }
    found->second.in.append(buffer, size_t(received));
    while (found != connections_.end()) {
      std::string& in = found->second.in;
      size_t end = in.find("\r\n");
      if (end == std::string::npos)
        return;
      std::istringstream words(in.substr(0, end));
      std::string verb;
      Arrived command;
      command.engine = found->second.engine;
      command.connection = number;
      words >> verb >> command.id;
      if (verb == "GET") {
        std::string fields;
        size_t length = 0;
        words >> fields >> length;
        if (in.size() < end + 2 + length + 2)
          return;
        command.body = in.substr(end + 2, length);
        in.erase(0, end + 2 + length + 2);
        std::istringstream list(fields);
        for (std::string field; std::getline(list, field, ',');)
          if (size_t equal = field.find('='); equal != std::string::npos)
            command.fields[field.substr(0, equal)] = field.substr(equal + 1);
        found->second.open.insert(command.id);
        onCommand(command);
      } else {
        in.erase(0, end + 2);
        if (verb == "DROP" && found->second.open.erase(command.id) && onGivenUp)
          onGivenUp(found->second.engine, command.id);
        if (verb == "PING" || verb == "LOAD")
          answer(command, "PONG", verb == "LOAD" ? "meter=util:0.2;inflight:1" : "-");
      }
      found = connections_.find(number);  // the engine may have died meanwhile
    }
  }
  std::vector<Listener> listeners_;
  std::map<uint64_t, Connection> connections_;
  std::multimap<double, std::function<void()>> calls_;
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

inline std::string bigEndian(uint64_t value, int width) {
  std::string bytes;
  for (int i = width - 1; i >= 0; --i)
    bytes += static_cast<char>(value >> (8 * i) & 0xff);
  return bytes;
}

// The change log: sends every follower the events that it lacks, and an empty frame each second.
class ChangeLog {
 public:
  ChangeLog() : address(loopback()) {
    fd_ = listenOn(address);
    thread_ = std::thread([this] { run(); });
  }
  ~ChangeLog() {
    stopped_ = true;
    thread_.join();
    close(fd_);
  }
  // Seconds from a follower's request to the first frame that it is sent: 0, or more where the log is slow.
  std::atomic<double> slowness{0};
  // Called when a follower has asked, or has ended its connection.
  std::function<void(const std::string&)> onFollower = [](const std::string&) {};
  // Adds an event: changes of one engine. State: 0 in service, 1 draining, 2 gone.
  void change(uint32_t id, const sockaddr_in& engine, int state, uint64_t startedMs = 0) {
    std::lock_guard lock(mutex_);
    std::string payload = bigEndian(id, 4) + bigEndian(ntohl(engine.sin_addr.s_addr), 4) +
                          bigEndian(ntohs(engine.sin_port), 2) + bigEndian(uint64_t(state), 1) + bigEndian(0, 1) +
                          bigEndian(0, 1) + bigEndian(id, 2) + bigEndian(1000, 4) + bigEndian(startedMs, 8);
    events_.push_back(bigEndian(9 + payload.size(), 4) + bigEndian(events_.size() + 2, 8) + bigEndian(2, 1) +
                      payload);
  }
  sockaddr_in address;

 private:
  struct Follower {
    int fd = -1;
    std::string in;
    uint64_t last = 0;  // number of the last event that it has
    bool asked = false;
    double servedAt = 0;
    double beatAt = 0;
  };
  void run() {
    std::list<Follower> followers;
    while (!stopped_) {
      for (int fd; (fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;)
        followers.push_back({fd, "", 0, false, 0, 0});
      for (auto follower = followers.begin(); follower != followers.end();) {
        if (serve(*follower)) {
          ++follower;
        } else {
          onFollower("has ended its connection");
          close(follower->fd);
          follower = followers.erase(follower);
        }
      }
      pause(0.005);
    }
    for (auto& follower : followers)
      close(follower.fd);
  }
  bool serve(Follower& follower) {
    char buffer[64];
    ssize_t received = recv(follower.fd, buffer, sizeof buffer, MSG_DONTWAIT);
    if (received == 0 || (received < 0 && errno != EAGAIN && errno != EINTR))
      return false;
    if (received > 0)
      follower.in.append(buffer, size_t(received));
    if (!follower.asked && follower.in.size() >= 8) {
      follower.asked = true;
      follower.servedAt = now() + slowness;
      onFollower("asks");
      for (int i = 0; i < 8; ++i)
        follower.last = follower.last << 8 | static_cast<unsigned char>(follower.in[size_t(i)]);
    }
    if (!follower.asked || now() < follower.servedAt)
      return true;
    std::string out;
    {
      std::lock_guard lock(mutex_);
      for (; follower.last < events_.size() + 1; ++follower.last)  // event 1 is in `known`
        out += events_[follower.last - 1];
    }
    if (now() >= follower.beatAt) {
      follower.beatAt = now() + 1;
      out += bigEndian(9, 4) + bigEndian(follower.last, 8) + bigEndian(0, 1);
    }
    return out.empty() || send(follower.fd, out.data(), out.size(), MSG_NOSIGNAL) == ssize_t(out.size());
  }
  int fd_;
  std::mutex mutex_;
  std::vector<std::string> events_;
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

// The value of a key of the deploy file.
inline std::string deployValue(const std::string& key) {
  std::ifstream file("deploy/balancer.toml");
  for (std::string line; std::getline(file, line);)
    if (line.starts_with(key + " = \""))
      return line.substr(key.size() + 4, line.find('"', key.size() + 4) - key.size() - 4);
  throw CannotRun("deploy/balancer.toml has no " + key);
}

// A gateway process, as the platform starts it.
class Gateway {
 public:
  // `settings`: the JSON of the settings. All engines are listed as in service since long ago.
  Gateway(const std::string& name, const Engines& engines, const ChangeLog& changeLog, const std::string& settings,
          const std::string& site = "room-a", const std::string& kind = "k16")
      : name_(name), listen(loopback()) {
    close(listenOn(listen));  // a port that is free at that address
    folder_ = std::filesystem::temp_directory_path() / "elmcleat-review-XXXXXX";
    need(mkdtemp(folder_.data()) != nullptr, "mkdtemp");
    std::string hosts;
    for (int i = 0; i < engines.count(); ++i) {
      char id[16];
      std::snprintf(id, sizeof id, "s-%08x", unsigned(i + 1));
      hosts += std::string(i ? "," : "") + "{\"host\":\"" + id + "\",\"dial\":\"" + textOf(engines.address(i)) +
               "\",\"site\":\"" + site + "\",\"class\":\"" + kind + "\",\"block\":" + std::to_string(i + 1) +
               ",\"health\":\"in_service\",\"share\":1,\"born_ms\":0}";
    }
    std::ofstream(folder_ + "/config.json")
        << "{\"name\":\"" << name << "\",\"listen\":\"" << textOf(listen)
        << "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
        << "\"changelog\":\"" << textOf(changeLog.address)
        << "\",\"known\":{\"seq\":1,\"results\":[{\"seq\":1,\"fleet\":{\"seq\":1,\"whole\":true,\"hosts\":[" << hosts
        << "]}}]},\"settings\":" << settings << "}";
    std::filesystem::create_directory(folder_ + "/tmp");
    start();
  }
  ~Gateway() {
    kill(SIGCONT);
    kill(SIGKILL);
    if (pid_ > 0)
      waitpid(pid_, nullptr, 0);
    std::ifstream log(folder_ + "/log");
    for (std::string line; std::getline(log, line);)
      record("  log of " + name_ + ": " + line);
    std::filesystem::remove_all(folder_);
  }
  void kill(int number) const {
    if (pid_ > 0)
      ::kill(pid_, number);
  }
  // Whether it has ended; `status` as of waitpid().
  bool ended(int& status) {
    if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = -1;
      return true;
    }
    return pid_ < 0;
  }

 private:
  void start();
  std::string name_;
  std::string folder_;
  pid_t pid_ = -1;

 public:
  sockaddr_in listen;
};

// A client's connection.
class Client {
 public:
  explicit Client(const sockaddr_in& to) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = to;
    connected = connect(fd_, raw(address), sizeof address) == 0;
  }
  Client(const Client&) = delete;
  ~Client() { end(); }
  void end() {
    if (fd_ >= 0)
      close(std::exchange(fd_, -1));
  }
  int fd() const { return fd_; }
  bool write(const std::string& bytes) const {
    return send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == ssize_t(bytes.size());
  }
  // The next whole response, as status and body; "none" if the connection ends or the time is over first.
  std::string response(double until) {
    size_t head, total = 0;
    while (true) {
      head = in_.find("\r\n\r\n");
      if (head != std::string::npos) {
        size_t length = in_.find("Content-Length: ");
        if (length == std::string::npos || length > head)
          return "none";
        total = head + 4 + std::stoul(in_.substr(length + 16));
        if (in_.size() >= total)
          break;
      }
      if (!more(until))
        return "none";
    }
    std::string text = in_.substr(9, 3) + " " + in_.substr(head + 4, total - head - 4);
    in_.erase(0, total);
    return text;
  }
  bool connected = false;
  bool closedByPeer = false;

 private:
  bool more(double until) {
    pollfd ready{fd_, POLLIN, 0};
    // What has come by now is read also if the time is over.
    if (poll(&ready, 1, now() < until ? int((until - now()) * 1e3) + 1 : 0) <= 0)
      return false;
    char buffer[65536];
    ssize_t received = recv(fd_, buffer, sizeof buffer, 0);
    closedByPeer = received <= 0;
    if (received > 0)
      in_.append(buffer, size_t(received));
    return received > 0;
  }
  int fd_ = -1;
  std::string in_;
};

inline void Gateway::start() {
  static const std::string command = deployValue("run");
  std::string config = folder_ + "/config.json", log = folder_ + "/log", tmp = folder_ + "/tmp";
  pid_ = fork();
  need(pid_ >= 0, "fork");
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // must not outlive the test
    setenv("PROXY_CONFIG", config.c_str(), 1);
    setenv("PROXY_NAME", name_.c_str(), 1);
    setenv("PROXY_LISTEN", textOf(listen).c_str(), 1);
    setenv("TMPDIR", tmp.c_str(), 1);
    unsetenv("ELMCLEAT_LOG");
    int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(fd, 1);
    dup2(fd, 2);
    execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
    _exit(99);
  }
  for (double end = now() + 20; now() < end; pause(0.05)) {
    Client client(listen);
    if (client.connected && client.write("GET /check HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n") &&
        client.response(now() + 2).starts_with("200"))
      return;
  }
  throw CannotRun("the gateway does not get ready");
}

inline std::string idOf(uint64_t number) {
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}
// A command as clients write it. `more`: further headers, each with its line end.
inline std::string post(const std::string& id, const std::string& profile, int waitMs, const std::string& owner,
                        double costMs, const std::string& more = "",
                        const std::string& statement = "SELECT day, count(*) FROM sales_17.orders GROUP BY day") {
  char cost[32];
  std::snprintf(cost, sizeof cost, "%.1f", costMs);
  return "POST /do/" + profile + " HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: " + id +
         "\r\nReq-Wait-Ms: " + std::to_string(waitMs) + "\r\nReq-Owner: " + owner + "\r\nReq-Cost: " + cost +
         "\r\nX-Ram: 96\r\n" + more + "Content-Length: " + std::to_string(statement.size()) + "\r\n\r\n" + statement;
}
inline bool isServed(const std::string& response) {
  return response.starts_with("200") && response.find("\"problem\"") == std::string::npos;
}
// A refusal: the client may try again without harm.
inline bool isRefused(const std::string& response) {
  return response.starts_with("429") || response.starts_with("503") || response.find("\"Busy\"") != std::string::npos;
}

// Settings of a small deployment, after the page of the national logbook: its profiles, client time-outs and
// limits, with one room. `balancers`: the number of gateways.
inline std::string logbookSettings(int balancers = 1) {
  return R"({"accounts":[{"fraction":0.53,"name":"lembah-club","quotaPerS":74},{"fraction":0.47,"name":"pantai-club","quotaPerS":66}],
 "balancers":)" + std::to_string(balancers) + R"(,"charges":{"crossZone":0.01},
 "classes":[
  {"aimStretch":1.5,"aimUs":1200000,"deadlineUs":6000000,"group":"all","lateWorth":0.1,"memorySpanUs":5000000,"name":"lookup","repeat":"idempotent","streaming":false,"value":1},
  {"aimStretch":2.5,"aimUs":1500000,"deadlineUs":15000000,"flavorsOpen":["k16"],"group":"all","lateWorth":0.4,"memorySpanUs":5000000,"name":"report","repeat":"idempotent","streaming":false,"value":5},
  {"aimStretch":2.5,"aimUs":4000000,"deadlineUs":20000000,"group":"all","lateWorth":0.6,"memorySpanUs":12000000,"name":"log-load","repeat":"deduplicated","sequential":true,"streaming":false,"value":4}],
 "domainType":"queries","flavors":["k16"],
 "limits":{"cancel":true,"connIdleUs":15000000,"connectTimeoutUs":250000,"maxAttempts":3,"maxRetryAfterUs":1000000,"peers":false,"probing":false,"retryAfter":true,"secondCopies":false,"streamsPerConn":100},
 "localities":["room-a"],"membershipMode":"pushed","overShareWorth":0.1,
 "report":{"fields":["load_share","concurrent"],"how":"inline"},
 "rules":{"answerSlackUs":20000,"coldFrom":0.35,"coldUs":14000000,"drainGraceUs":500000,"fallMultiple":4,"fallUs":1000000,"keyQuietUs":0,"mustAskInUs":10000000},
 "specifics":{"bills":false,"dop":[1,2,2],"isLoad":[false,false,true],"kindCores":[16],"maxGrantShare":0.4,"memoryByKindMb":[32768],"memoryHeeded":true,"outOfMemory":"line_up","progressPaceUs":500000,"ranksHeeded":false,"yieldsToLoads":[true,false,false]},
 "stage":0,"tickUs":5000,"tiers":["engines"],"weights":"rough","worthBy":"request","zone":"room-a"})";
}

// Runs a case from the repository's root: 1 if `rule` returns false (broken), 0 if it held, 2 if the case could
// not run. The argument is the case's folder; TROUBLE=0 leaves the disruption out.
inline int runCase(int argumentCount, char** arguments, bool (*rule)(bool trouble)) {
  signal(SIGPIPE, SIG_IGN);
  if (argumentCount < 2)
    return 2;
  recordFile.open(std::string(arguments[1]) + "/record.txt");
  const char* setting = std::getenv("TROUBLE");
  bool trouble = !setting || std::string(setting) != "0";
  now();
  record(trouble ? "with the disruption" : "without the disruption");
  try {
    bool held = rule(trouble);
    record(held ? "the rule held" : "the rule was broken");
    std::printf("%s\n", held ? "the rule held" : "the rule was broken");
    return held ? 0 : 1;
  } catch (const std::exception& error) {
    record(std::string("could not run: ") + error.what());
    std::printf("could not run: %s\n", error.what());
    return 2;
  }
}

}  // namespace rig
