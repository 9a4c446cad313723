// For tests that start the program as a process and speak to it over sockets: stand-ins for engines and the change log,
// the program itself, clients. Every wait is bounded.
#pragma once
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <poll.h>
#include <signal.h>
#include <sys/ioctl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <list>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <thread>

using Json = nlohmann::json;
using Pairs = std::vector<std::pair<std::string, std::string>>;

namespace {

constexpr int kWait = 8000;  // ms; far more than anything here takes, sanitized too
#ifdef __SANITIZE_ADDRESS__
constexpr bool kSanitized = true;
#else
constexpr bool kSanitized = false;
#endif

double now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
void pause(double span) { std::this_thread::sleep_for(std::chrono::duration<double>(span)); }

// An address of our own on loopback: each test process and each use has another one.
sockaddr_in freshHost() {
  static uint32_t count = 0;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr =
      htonl(0x7f000000u | (static_cast<uint32_t>(getpid()) % 0x7000u + 0x100u) << 8 | ++count);
  return address;
}
std::string textOf(const sockaddr_in& address) {
  char text[32];
  inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
  return std::string(text) + ":" + std::to_string(ntohs(address.sin_port));
}
sockaddr* raw(sockaddr_in& address) { return reinterpret_cast<sockaddr*>(&address); }

class StubConnection {  // one end of a connection
 public:
  explicit StubConnection(int fd) : fd_(fd) {
    timeval limit{kWait / 1000, 0};
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  }
  StubConnection(const StubConnection&) = delete;
  StubConnection& operator=(const StubConnection&) = delete;
  ~StubConnection() { close(); }
  static std::unique_ptr<StubConnection> to(sockaddr_in address) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(fd, raw(address), sizeof address) == 0)
      return std::make_unique<StubConnection>(fd);
    ::close(fd);
    return nullptr;
  }

  int fd() const { return fd_; }
  void close() {
    if (fd_ >= 0)
      ::close(std::exchange(fd_, -1));
  }
  void reset() {  // a break, not an orderly close
    linger hard{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    close();
  }
  void write(const std::string& bytes) {
    CHECK_EQ(send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL), bytes.size());
  }
  void arrived() {  // all that was written is in the other side's queue
    int left = 1;
    for (int waits = 0; left > 0 && waits < kWait; ++waits) {
      REQUIRE_EQ(ioctl(fd_, SIOCOUTQ, &left), 0);
      if (left > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    REQUIRE_EQ(left, 0);
  }
  bool more() {  // false at the end, or when nothing came in time
    char part[4096];
    ssize_t got = recv(fd_, part, sizeof part, 0);
    if (got > 0)
      in.append(part, static_cast<size_t>(got));
    else
      over_ = got == 0 || errno != EAGAIN;
    return got > 0;
  }
  std::string until(const std::string& mark) {
    size_t at;
    while ((at = in.find(mark)) == std::string::npos)
      if (!more())
        return "";
    std::string text = in.substr(0, at);
    in.erase(0, at + mark.size());
    return text;
  }
  std::string bytes(size_t count) {
    while (in.size() < count && more()) {
    }
    std::string text = in.substr(0, count);
    in.erase(0, text.size());
    return text;
  }
  bool ended() {  // by the other side, with nothing left to read
    while (in.empty() && more()) {
    }
    return in.empty() && over_;
  }
  std::string in;

 private:
  int fd_;
  bool over_ = false;
};

class Listener {
 public:
  explicit Listener(int queue = 100) : address(freshHost()), queue_(queue) { up(); }
  void up() {  // again under the same address, where it was down
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    REQUIRE_EQ(bind(fd_, raw(address), sizeof address), 0);
    socklen_t size = sizeof address;
    getsockname(fd_, raw(address), &size);
    REQUIRE_EQ(listen(fd_, queue_), 0);
  }
  void down() { ::close(std::exchange(fd_, -1)); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  ~Listener() { ::close(fd_); }
  int fd() const { return fd_; }
  std::unique_ptr<StubConnection> accept() {
    pollfd ready{fd_, POLLIN, 0};
    REQUIRE_EQ(poll(&ready, 1, kWait), 1);
    return std::make_unique<StubConnection>(::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC));
  }
  sockaddr_in address;

 private:
  int fd_ = -1, queue_;
};

struct EngineRequestLine {  // a line from the program to an engine
  int engine = -1;
  StubConnection* from = nullptr;
  std::string verb, id, fields, body;
  void answer(const std::string& word, const std::string& fields_ = "-", const std::string& page = "") const {
    REQUIRE(from);
    from->write(id + " " + word + " " + fields_ + " " + std::to_string(page.size()) + "\r\n" + page + "\r\n");
  }
  void hit(const std::string& page = "a\tb\tc\n") const { answer("HIT", "fetches=1", page); }
};

class EngineStubs {  // stand-ins, all served by one poll
 public:
  explicit EngineStubs(size_t count) : listeners_(count) {}
  const sockaddr_in& address(size_t i) { return std::next(listeners_.begin(), long(i))->address; }
  // The next line to any of them; a line without a verb if none comes in time.
  EngineRequestLine next(int wait = kWait) {
    for (double end = now() + wait / 1e3; now() < end;) {
      for (auto& [engine, peer] : peers_)
        if (peer->in.find("\r\n") != std::string::npos)
          return read(engine, *peer);
      std::vector<pollfd> ready;
      for (auto& listener : listeners_)
        ready.push_back({listener.fd(), POLLIN, 0});
      for (auto& [engine, peer] : peers_)
        if (peer->fd() >= 0)
          ready.push_back({peer->fd(), POLLIN, 0});
      if (poll(ready.data(), ready.size(), std::max(1, int((end - now()) * 1e3))) <= 0)
        break;
      int index = 0;
      for (auto& listener : listeners_) {
        if (ready[size_t(index)].revents)
          peers_.emplace_back(index, listener.accept());
        ++index;
      }
      for (auto& [engine, peer] : peers_)
        for (auto& one : ready)
          if (one.fd == peer->fd() && one.revents && !peer->more())
            peer->close(), ++closed;
    }
    return {};
  }
  int closed = 0;  // connections that the program has closed
  size_t connections() const { return peers_.size(); }

 private:
  EngineRequestLine read(int engine, StubConnection& peer) {
    std::istringstream words(peer.until("\r\n"));
    EngineRequestLine line{engine, &peer, "", "", "", ""};
    words >> line.verb >> line.id >> line.fields;
    size_t length = 0;
    if (words >> length) {
      line.body = peer.bytes(length);
      CHECK_EQ(peer.bytes(2), "\r\n");
    }
    return line;
  }
  std::list<Listener> listeners_;
  std::list<std::pair<int, std::unique_ptr<StubConnection>>> peers_;
};

// Any number of engines that answer whatever is sent to them at once: one listener on all of loopback stands for them.
class EngineStubFarm {
 public:
  struct Sent {
    double at;
    std::string id;
    uint32_t engine;  // its address
  };
  enum class Way { answers, late, hangs, refuses };  // late: after kLate; refuses: breaks all connections
  static constexpr double kLate = 0.15;
  EngineStubFarm() {
    sockaddr_in any{};
    any.sin_family = AF_INET;
    socklen_t size = sizeof any;
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    REQUIRE_EQ(bind(listener_, raw(any), sizeof any), 0);
    getsockname(listener_, raw(any), &size), port = ntohs(any.sin_port);
    REQUIRE_EQ(listen(listener_, 1000), 0);
    thread_ = std::thread([this] { run(); });
  }
  ~EngineStubFarm() {
    over_ = true;
    thread_.join();
    ::close(listener_);
  }
  std::vector<Sent> record() {
    std::lock_guard lock(mutex_);
    return record_;
  }
  std::set<uint32_t> reached() {
    std::set<uint32_t> all;
    for (auto& sent : record())
      all.insert(sent.engine);
    return all;
  }
  void set(Way way, const std::set<uint32_t>& engines) {
    std::lock_guard lock(mutex_);
    for (uint32_t engine : engines)
      ways_[engine] = way;
  }
  int open(uint32_t engine) {  // connections there now
    std::lock_guard lock(mutex_);
    return open_[engine];
  }
  int mostOpen() {  // at any engine, at any time
    std::lock_guard lock(mutex_);
    return mostOpen_;
  }
  std::pair<int, int> made() {  // connections so far, and those that have ended
    std::lock_guard lock(mutex_);
    return {made_, ended_};
  }
  int port = 0;

 private:
  struct End {
    End(int fd, uint32_t at) : peer(fd), engine(at) {}
    StubConnection peer;
    uint32_t engine;
    std::list<std::pair<double, std::string>> owed = {};  // answers, and from when on
  };
  Way wayOf(uint32_t engine) {
    std::lock_guard lock(mutex_);
    auto found = ways_.find(engine);
    return found == ways_.end() ? Way::answers : found->second;
  }
  // False once it is over.
  bool serve(End& end, bool news) {
    Way way = wayOf(end.engine);
    if (way == Way::refuses)
      return end.peer.reset(), false;
    bool over = news && !end.peer.more();
    while (end.peer.in.find("\r\n") != std::string::npos) {
      std::istringstream words(end.peer.until("\r\n"));
      std::string verb, id, fields;
      size_t length = 0;
      words >> verb >> id >> fields;
      if (words >> length)
        end.peer.bytes(length + 2);
      if (verb != "GET")
        continue;
      {
        std::lock_guard lock(mutex_);
        record_.push_back({now(), id, end.engine});
      }
      if (way == Way::hangs)
        continue;
      end.owed.push_back({now() + (way == Way::late ? kLate : 0), id + " HIT fetches=1 6\r\na\tb\tc\n\r\n"});
    }
    for (; !end.owed.empty() && end.owed.front().first <= now(); end.owed.pop_front()) {
      auto& hit = end.owed.front().second;  // it may have gone meanwhile
      (void)!send(end.peer.fd(), hit.data(), hit.size(), MSG_NOSIGNAL);
    }
    return !over;
  }
  void run() {
    std::list<End> ends;
    while (!over_) {
      std::vector<pollfd> ready{{listener_, POLLIN, 0}};
      for (auto& end : ends)
        ready.push_back({end.peer.fd(), POLLIN, 0});
      poll(ready.data(), ready.size(), 20);
      size_t i = 1;
      for (auto one = ends.begin(); one != ends.end(); ++i) {
        if (serve(*one, ready[i].revents)) {
          ++one;
          continue;
        }
        std::lock_guard lock(mutex_);
        --open_[one->engine], ++ended_;
        one = ends.erase(one);
      }
      if (!ready[0].revents)
        continue;
      sockaddr_in local{};
      socklen_t room = sizeof local;
      int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      getsockname(fd, raw(local), &room);
      uint32_t engine = ntohl(local.sin_addr.s_addr);
      ends.emplace_back(fd, engine);
      std::lock_guard lock(mutex_);
      ++made_, mostOpen_ = std::max(mostOpen_, ++open_[engine]);
    }
  }
  int listener_, made_ = 0, ended_ = 0, mostOpen_ = 0;
  std::vector<Sent> record_;
  std::map<uint32_t, Way> ways_;
  std::map<uint32_t, int> open_;
  std::mutex mutex_;
  std::atomic<bool> over_{false};
  std::thread thread_;
};

std::string big(uint64_t value, int width) {
  std::string bytes;
  for (int i = width - 1; i >= 0; --i)
    bytes += static_cast<char>(value >> (8 * i) & 0xff);
  return bytes;
}

class GatewayProcess {  // the program, its change log and its configuration
 public:
  explicit GatewayProcess(EngineStubs& engines, size_t count, size_t sockets = 1024) : listen(freshHost()) {
    Listener probe;  // a port that is free there, most likely
    listen.sin_port = probe.address.sin_port;
    Json hosts = Json::array();
    for (size_t i = 0; i < count; ++i)
      hosts.push_back({{"host", "s-0000000" + std::to_string(i + 1)},
                       {"dial", textOf(engines.address(i))},
                       {"site", "east"},
                       {"class", "std"},
                       {"block", i},
                       {"health", "in_service"},
                       {"born_ms", 0}});
    auto profile = [](const char* name, const char* repeat, int target) {
      return Json{{"name", name},    {"repeat", repeat},     {"aimUs", target * 1000000},
                  {"aimStretch", 2}, {"lateWorth", 0.5},     {"deadlineUs", 9000000},
                  {"value", 1},      {"memorySpanUs", 1000}, {"group", "cell"}};
    };
    config = {
        {"name", "n3"},
        {"listen", textOf(listen)},
        {"seed", "8c1f30d27a5be964"},
        {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", sockets}}},
        {"changelog", textOf(changeLog.address)},
        {"known", {{"seq", 1}, {"results", {{{"seq", 1}, {"fleet", {{"whole", true}, {"hosts", hosts}}}}}}}},
        {"settings",
         {{"localities", {"east"}},
          {"flavors", {"std"}},
          {"zone", "east"},
          {"classes",
           {profile("quick", "idempotent", 1), profile("load", "deduplicated", 6),
            profile("once", "at_most_once", 6)}},
          {"accounts", {{{"name", "acme"}, {"fraction", 1.0}}}},
          {"rules", {{"drainGraceUs", 250000}, {"coldFrom", 0.4}, {"coldUs", 1000000}, {"fallMultiple", 3}}},
          {"limits",
           {{"streamsPerConn", 32},
            {"connectTimeoutUs", 250000},
            {"connIdleUs", 15000000},
            {"maxAttempts", 3}}},
          {"specifics",
           {{"kindCores", {8}}, {"dop", {1, 1, 1}}, {"progressPaceUs", 1000000}, {"ranksHeeded", true}}}}}};
    config["settings"]["classes"][1]["sequential"] = true;
  }
  ~GatewayProcess() {
    if (pid_ > 0)
      ::kill(pid_, SIGKILL), waitpid(pid_, nullptr, 0);
    std::filesystem::remove_all(folder_);
  }

  void own(const std::string& text) const { std::ofstream(folder_ + "/gateway.json") << text; }
  void configure(const std::string& text) { std::ofstream(folder_ + "/config.json") << text; }
  void start(rlim_t descriptors = 0, int log = -1) {
    char name[] = "/tmp/elmcleat-test-XXXXXX";
    if (folder_.empty())
      folder_ = mkdtemp(name);
    configure(config.dump());
    if (!gateway.empty())
      own(gateway);
    pid_ = fork();
    if (pid_ == 0) {
      setenv("PROXY_CONFIG", (folder_ + "/config.json").c_str(), 1);
      unsetenv("PROXY_LISTEN"), unsetenv("PROXY_NAME"), unsetenv("ELMCLEAT_LOG");
      if (log < 0)
        log = open((folder_ + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(log, 2), dup2(log, 1);
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // it must not outlive a test that fails
      rlimit limit{descriptors, descriptors};
      if (descriptors > 0)
        setrlimit(RLIMIT_NOFILE, &limit);
      std::string own = folder_ + "/gateway.json";
      if (!gateway.empty())
        execl(ELMCLEAT, ELMCLEAT, "--gateway", own.c_str(), "--log-format", "json", nullptr);
      else
        execl(ELMCLEAT, ELMCLEAT, nullptr);
      _exit(99);
    }
  }
  // Once it answers `GET /check`, as the front does.
  void ready() {
    for (double end = now() + kWait / 1e3; now() < end; pause(0.01))
      if (auto client = StubConnection::to(listen)) {
        client->write("GET /check HTTP/1.1\r\nConnection: close\r\n\r\n");
        REQUIRE(client->until("\r\n").starts_with("HTTP/1.1 200"));
        return;
      }
    FAIL("the program does not listen");
  }
  void kill(int signal) { ::kill(pid_, signal); }
  long peakMb() const {  // the most memory it has held
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    for (std::string word; file >> word;)
      if (long kb = 0; word == "VmHWM:" && file >> kb)
        return kb / 1024;
    return -1;
  }
  std::vector<pid_t> threads(const std::string& name = "") const {  // of that name; empty: all
    std::vector<pid_t> found;
    for (auto& task : std::filesystem::directory_iterator("/proc/" + std::to_string(pid_) + "/task")) {
      std::string called;
      std::ifstream(task.path() / "comm") >> called;
      if (name.empty() || called == name)
        found.push_back(std::stoi(task.path().filename()));
    }
    return found;
  }
  long descriptors() const {
    auto open = std::filesystem::directory_iterator("/proc/" + std::to_string(pid_) + "/fd");
    return std::distance(begin(open), end(open));
  }
  int status() {  // of its end: the exit status, or 1000 and the signal that ended it
    for (double end = now() + kWait / 1e3; now() < end; pause(0.005)) {
      int status = 0;
      if (waitpid(pid_, &status, WNOHANG) != pid_)
        continue;
      pid_ = -1;
      return WIFEXITED(status) ? WEXITSTATUS(status) : 1000 + WTERMSIG(status);
    }
    return -1;
  }
  std::string log() const {
    std::stringstream text;
    text << std::ifstream(folder_ + "/log").rdbuf();
    return text.str();
  }
  bool logs(const std::string& text) {  // before long
    for (double end = now() + kWait / 1e3; now() < end; pause(0.01))
      if (log().find(text) != std::string::npos)
        return true;
    return false;
  }
  std::unique_ptr<StubConnection> client() {
    auto made = StubConnection::to(listen);
    REQUIRE(made);
    return made;
  }
  std::unique_ptr<StubConnection> follower() {  // the program, reading the change log
    auto peer = changeLog.accept();
    resumed = peer->bytes(8);
    return peer;
  }

  sockaddr_in listen;
  Listener changeLog;
  Json config;
  std::string gateway;  // our own file's text; empty: none
  std::string resumed;  // the number from which the last follower reads on

 private:
  pid_t pid_ = -1;
  std::string folder_;
};

// An engine in a frame of the change log; the zone by its number.
std::string record(uint32_t id, int state, const sockaddr_in& address, int zone = 0, uint64_t bornMs = 0) {
  return big(id, 4) + big(ntohl(address.sin_addr.s_addr), 4) + big(ntohs(address.sin_port), 2) +
         big(uint64_t(state), 1) + big(uint64_t(zone), 1) + big(0, 1) + big(id - 1, 2) + big(1000, 4) +
         big(bornMs, 8);
}
// Kinds: 0 nothing new, 1 the whole list, 2 changes.
std::string frame(uint64_t number, int kind, const std::string& records = "") {
  return big(9 + records.size(), 4) + big(number, 8) + big(uint64_t(kind), 1) + records;
}
// A frame with one engine of the list.
[[maybe_unused]] std::string change(uint64_t number, uint32_t id, int state, const sockaddr_in& address) {
  return frame(number, 2, record(id, state, address));
}

std::string idOf(int number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016x", number);
  return text;
}
std::string post(int id, const std::string& profile = "quick", int waitMs = 6000,
                 const std::string& more = "", const std::string& statement = "SELECT 1 FROM sales_17.t") {
  return "POST /do/" + profile + " HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: " + idOf(id) +
         "\r\nReq-Wait-Ms: " + std::to_string(waitMs) + "\r\nReq-Owner: acme\r\nReq-Cost: 100.0\r\n" + more +
         "Content-Length: " + std::to_string(statement.size()) + "\r\n\r\n" + statement;
}
const std::string kToken = "Req-Token: 5c0f6e1a\r\n", kKey = "Req-Key: 7f3a9c21e0b4d655\r\n";

std::string answer(StubConnection& client) {  // status and body
  std::string head = client.until("\r\n\r\n");
  size_t length = head.find("Content-Length: ");
  if (length == std::string::npos)
    return "none";
  return head.substr(9, 3) + " " + client.bytes(std::stoul(head.substr(length + 16)));
}
const std::string kServed = R"(200 {"records":[["a","b","c"]]})", kBusy = R"(503 {"problem":"Busy"})",
                  kFailed = R"(500 {"problem":"Failed"})";

struct ServiceFixture {  // a program that is ready, with engines
  explicit ServiceFixture(size_t count = 2, size_t sockets = 1024)
      : engines(count), service(engines, count, sockets) {
    service.start(), service.ready();
  }
  EngineStubs engines;
  GatewayProcess service;
};

}  // namespace
