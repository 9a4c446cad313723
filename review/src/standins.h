// Stand-ins for the cases under review/: a recorder, a change log, compute nodes (engines), clients, and the
// dispatcher as a process. They follow the protocol page: engines answer every request that they run, send
// notes where the settings ask for them, and give up what a closed connection held. Loopback addresses and free
// ports only.
#pragma once
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

inline double now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}
inline void sleepFor(double seconds) {
  if (seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline void sleepUntil(double time) { sleepFor(time - now()); }

// --- the record of a run: one line for each event, with the time in seconds since the start
class Record {
 public:
  void open(const std::string& path) {
    file_ = std::fopen(path.c_str(), "w");
    if (!file_) {
      std::perror(path.c_str());
      std::exit(2);
    }
  }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard lock(mutex_);
    if (!file_)
      return;
    std::fprintf(file_, "%9.3f  ", now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::FILE* file_ = nullptr;
  std::mutex mutex_;
};
inline Record record;

// Ends the run: 0 the rule held, 1 it was broken, 2 the case could not run.
inline std::function<void()> endProcesses = [] {};
[[noreturn]] inline void finish(int status) {
  record.line("result: %s", status == 0 ? "rule held" : status == 1 ? "rule broken" : "could not run");
  endProcesses();
  std::fflush(nullptr);
  std::_Exit(status);
}
[[noreturn]] inline void cannotRun(const std::string& why) {
  std::printf("cannot run: %s\n", why.c_str());
  record.line("cannot run: %s", why.c_str());
  finish(2);
}
inline bool troubleEnabled() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

// --- sockets
inline int listenOnLoopback(int& port, int backlog = 512) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(uint16_t(port));
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, backlog) != 0)
    cannotRun("no listening socket");
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}
// A port that is free now; the dispatcher listens on it later.
inline int freePort() {
  int port = 0;
  ::close(listenOnLoopback(port));
  return port;
}
inline std::string loopback(int port) { return "127.0.0.1:" + std::to_string(port); }
inline bool sendAll(int fd, const std::string& bytes) {
  for (size_t sent = 0; sent < bytes.size();) {
    ssize_t part = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (part <= 0)
      return false;
    sent += size_t(part);
  }
  return true;
}

// --- the change log: the list is in the configuration; empty frames each second, and events on request
class ChangeLog {
 public:
  ChangeLog() : listener_(listenOnLoopback(port)) {
    std::thread([this] { accept(); }).detach();
  }
  int port = 0;

 private:
  void accept() {
    for (int fd; (fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;)
      std::thread([fd] {
        char from[8];
        for (size_t have = 0; have < sizeof from;) {
          ssize_t part = recv(fd, from + have, sizeof from - have, 0);
          if (part <= 0) {
            ::close(fd);
            return;
          }
          have += size_t(part);
        }
        // length 9, number of the last event, kind 0
        std::string frame("\0\0\0\x09", 4);
        frame.append(from, sizeof from).append(1, '\0');
        while (sendAll(fd, frame))
          sleepFor(1);
        ::close(fd);
      }).detach();
  }
  int listener_;
};

// --- engines
struct EngineConnection {
  int fd = -1;
  std::mutex mutex;  // of writes, `open` and `live`
  bool open = true;
  std::set<std::string> live;  // ids that run here or hold pages here
  bool write(const std::string& bytes) {
    std::lock_guard lock(mutex);
    return open && sendAll(fd, bytes);
  }
  bool isLive(const std::string& id) {
    std::lock_guard lock(mutex);
    return open && live.contains(id);
  }
  void end(const std::string& id) {
    std::lock_guard lock(mutex);
    live.erase(id);
  }
};
struct EngineRequest {
  int engine = 0;
  int connection = 0;  // counted over the run
  std::string id, fields, statement;
  std::shared_ptr<EngineConnection> from;
  std::string field(const std::string& name) const {
    size_t position = ("," + fields).find("," + name + "=");
    if (position == std::string::npos)
      return "";
    std::string rest = fields.substr(position + name.size() + 1);
    return rest.substr(0, rest.find(','));
  }
};

// Engines that run everything they are sent at once.
class Engines {
 public:
  // How long the engine runs the request, in seconds.
  std::function<double(const EngineRequest&)> runTime = [](const EngineRequest&) { return 0.05; };
  // The pages of its result; each holds whole rows.
  std::function<std::vector<std::string>(const EngineRequest&)> pages = [](const EngineRequest&) {
    return std::vector<std::string>{"a\tb\tc\n"};
  };
  // May change the line of a good answer before it is written (a spoilt answer).
  std::function<void(const EngineRequest&, std::string& line)> spoil;
  // Called when a request has arrived whole, and when its run has ended with an answer.
  std::function<void(const EngineRequest&)> started = [](const EngineRequest&) {};
  std::function<void(const EngineRequest&)> ended = [](const EngineRequest&) {};
  double noteInterval = 1;  // seconds between notes on a running request; 0: none
  bool loadReports = false;
  std::vector<int> ports;

  void open(int count) {
    for (int engine = 0; engine < count; ++engine) {
      int port = 0;
      int listener = listenOnLoopback(port);
      ports.push_back(port);
      std::thread([this, listener, engine] {
        for (int fd; (fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;)
          std::thread([this, fd, engine] { serve(fd, engine); }).detach();
      }).detach();
    }
  }

 private:
  void serve(int fd, int engine) {
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto connection = std::make_shared<EngineConnection>();
    connection->fd = fd;
    int number = ++connections_;
    std::string in;
    char buffer[16384];
    auto more = [&] {
      ssize_t part = recv(fd, buffer, sizeof buffer, 0);
      if (part > 0)
        in.append(buffer, size_t(part));
      return part > 0;
    };
    for (bool readable = true; readable;) {
      size_t end = in.find("\r\n");
      if (end == std::string::npos) {
        readable = more();
        continue;
      }
      std::vector<std::string> words;
      for (size_t at = 0; at <= end;) {
        size_t space = std::min(in.find(' ', at), end);
        words.push_back(in.substr(at, space - at));
        at = space + 1;
      }
      in.erase(0, end + 2);
      const std::string& verb = words[0];
      if (verb == "GET" && words.size() == 4) {
        size_t length = std::stoul(words[3]);
        while (in.size() < length + 2 && (readable = more())) {
        }
        if (!readable)
          break;
        EngineRequest request{engine, number, words[1], words[2], in.substr(0, length), connection};
        in.erase(0, length + 2);
        {
          std::lock_guard lock(connection->mutex);
          connection->live.insert(request.id);
        }
        record.line("engine %d: GET %s %s on connection %d", engine, request.id.c_str(),
                    request.fields.c_str(), number);
        started(request);
        std::thread([this, request] { run(request); }).detach();
      } else if (verb == "DROP" || verb == "CLOSE") {
        record.line("engine %d: %s %s", engine, verb.c_str(), words[1].c_str());
        connection->end(words[1]);
        std::lock_guard lock(mutex_);
        results_.erase(words[1]);
      } else if (verb == "PAGE" && words.size() == 3) {
        sendPage(*connection, words[1], std::stoul(words[2]));
      } else if (verb == "PING" || verb == "LOAD") {
        connection->write(words[1] + " PONG " + (verb == "LOAD" ? "meter=inflight:1;queue:0" : "-") +
                          " 0\r\n\r\n");
      }
    }
    {
      std::lock_guard lock(connection->mutex);
      connection->open = false;
      if (!connection->live.empty())
        record.line("engine %d: connection %d closed, %zu requests given up", engine, number,
                    connection->live.size());
      ::close(fd);
    }
  }
  void run(const EngineRequest& request) {
    double end = now() + runTime(request);
    double started = now();
    while (now() < end) {
      sleepUntil(noteInterval > 0 ? std::min(end, now() + noteInterval) : end);
      if (!request.from->isLive(request.id))
        return;
      if (noteInterval > 0 && now() < end) {
        char share[32];
        std::snprintf(share, sizeof share, "%.3f", (now() - started) / (end - started));
        request.from->write(request.id + " INFO tell=pct,figure=" + share + " 0\r\n\r\n");
      }
    }
    if (!request.from->isLive(request.id))
      return;
    ended(request);
    auto result = pages(request);
    std::string line =
        request.id + " HIT fetches=" + std::to_string(result.size()) + " " + std::to_string(result[0].size());
    std::string sound = line;
    if (spoil)
      spoil(request, line);
    record.line("engine %d: answers %s%s", request.engine, line.c_str(),
                line == sound ? "" : " (spoilt on the way)");
    std::string first = result[0];
    if (result.size() > 1) {
      std::lock_guard lock(mutex_);
      results_[request.id] = std::move(result);
    } else {
      request.from->end(request.id);
    }
    request.from->write(line + "\r\n" + first + "\r\n");
  }
  void sendPage(EngineConnection& connection, const std::string& id, size_t number) {
    std::string page;
    {
      std::lock_guard lock(mutex_);
      auto found = results_.find(id);
      if (found != results_.end() && number < found->second.size())
        page = found->second[number];
    }
    if (page.empty())
      connection.write(id + " FAULT - 0\r\n\r\n");
    else
      connection.write(id + " PART fetch_no=" + std::to_string(number) + " " + std::to_string(page.size()) +
                       "\r\n" + page + "\r\n");
  }
  std::atomic<int> connections_{0};
  std::mutex mutex_;
  std::map<std::string, std::vector<std::string>> results_;  // pages that are held, by id
};

// --- a client's connection
struct Answer {
  int status = 0;  // 0: none
  std::string body;
  bool closeAnnounced = false;
  double at = 0;  // when its last byte came
};
class Client {
 public:
  explicit Client(int port) : port_(port) {}
  Client(const Client&) = delete;
  ~Client() { close(); }
  bool connect() {
    close();
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(uint16_t(port_));
    if (::connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
      close();
      return false;
    }
    int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return true;
  }
  bool isOpen() const { return fd_ >= 0; }
  void close() {
    if (fd_ >= 0)
      ::close(fd_);
    fd_ = -1;
    in_.clear();
  }
  bool write(const std::string& bytes) { return fd_ >= 0 && sendAll(fd_, bytes); }
  // The next answer, if it comes whole before `until`; status 0 if not (ended() tells whether the connection
  // has ended).
  Answer read(double until) {
    while (true) {
      size_t head = in_.find("\r\n\r\n");
      if (head != std::string::npos) {
        size_t at = in_.find("Content-Length: ");
        size_t length = at < head ? std::stoul(in_.substr(at + 16)) : 0;
        if (in_.size() >= head + 4 + length) {
          Answer answer;
          answer.status = std::stoi(in_.substr(9, 3));
          answer.closeAnnounced = in_.substr(0, head).find("Connection: close") != std::string::npos;
          answer.body = in_.substr(head + 4, length);
          answer.at = now();
          in_.erase(0, head + 4 + length);
          return answer;
        }
      }
      double left = until - now();
      if (left <= 0 || fd_ < 0)
        return {};
      pollfd ready{fd_, POLLIN, 0};
      if (poll(&ready, 1, int(left * 1e3) + 1) <= 0)
        continue;
      char buffer[16384];
      ssize_t part = recv(fd_, buffer, sizeof buffer, 0);
      if (part <= 0) {
        ended_ = true;
        close();
        return {};
      }
      in_.append(buffer, size_t(part));
    }
  }
  bool ended() const { return ended_; }

 private:
  int port_;
  int fd_ = -1;
  bool ended_ = false;
  std::string in_;
};

inline std::string newId() {
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  std::lock_guard lock(mutex);
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}
struct Command {
  std::string id = newId();
  std::string profile;
  std::string tenant;
  int waitMs = 0;
  std::string more;  // further header lines, each with CR LF
  std::string statement;
  std::string bytes() const {
    return "POST /do/" + profile + " HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: " + id +
           "\r\nReq-Wait-Ms: " + std::to_string(waitMs) + "\r\nReq-Owner: " + tenant + "\r\n" + more +
           "Content-Length: " + std::to_string(statement.size()) + "\r\n\r\n" + statement;
  }
};

// --- the dispatcher, started with the command of the deploy file
class Dispatcher {
 public:
  // `config`: the configuration with its own `listen`, `name` and `changelog`.
  void start(const std::string& command, const std::string& folder, const std::string& name, int port,
             const std::string& config) {
    port_ = port;
    std::string path = folder + "/" + name + ".json", temporary = folder + "/" + name;
    std::ofstream(path) << config;
    if (std::system(("mkdir -p " + temporary).c_str()) != 0)
      cannotRun("no temporary folder");
    std::string log = folder + "/" + name + ".log";
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      setenv("PROXY_CONFIG", path.c_str(), 1);
      setenv("PROXY_NAME", name.c_str(), 1);
      setenv("PROXY_LISTEN", loopback(port).c_str(), 1);
      setenv("TMPDIR", temporary.c_str(), 1);
      if (!std::freopen(log.c_str(), "w", stderr) || dup2(2, 1) < 0)
        _exit(98);
      execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
      _exit(99);
    }
  }
  // Waits until it answers the health check.
  void waitUntilReady() {
    for (double end = now() + 30; now() < end; sleepFor(0.02)) {
      Client client(port_);
      if (client.connect() && client.write("GET /check HTTP/1.1\r\nHost: origin.svc\r\n\r\n") &&
          client.read(now() + 1).status == 200)
        return;
    }
    cannotRun("the dispatcher is not ready after 30 s");
  }
  void signal(int number) const { ::kill(pid_, number); }
  bool hasEnded() {
    if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_)
      pid_ = -1;
    return pid_ < 0;
  }
  void kill() {
    if (pid_ <= 0)
      return;
    ::kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  int port() const { return port_; }

 private:
  int port_ = 0;
  pid_t pid_ = -1;
};

// --- the configuration
// `kinds`: the kind of each engine, named as in the settings. `settings`: a JSON object.
inline std::string configuration(const std::string& name, int port, int changeLogPort,
                                 const std::vector<int>& enginePorts, const std::vector<std::string>& kinds,
                                 const std::string& zone, int memoryMb, int sockets,
                                 const std::string& settings) {
  std::string hosts;
  for (size_t i = 0; i < enginePorts.size(); ++i) {
    char id[32];
    std::snprintf(id, sizeof id, "s-00c41f%02zx", i + 1);
    hosts += std::string(i ? "," : "") + R"({"host":")" + id + R"(","dial":")" + loopback(enginePorts[i]) +
             R"(","site":")" + zone + R"(","class":")" + kinds[i % kinds.size()] + R"(","block":)" +
             std::to_string(i / 3) + R"(,"health":"in_service","share":1,"born_ms":0})";
  }
  return R"({"name":")" + name + R"(","listen":")" + loopback(port) + R"(","seed":")" + newId() +
         R"(","limits":{"cores":1.0,"memory_mb":)" + std::to_string(memoryMb) + R"(,"sockets":)" +
         std::to_string(sockets) + R"(},"changelog":")" + loopback(changeLogPort) +
         R"(","known":{"seq":1,"results":[{"seq":1,"fleet":{"seq":1,"whole":true,"hosts":[)" + hosts +
         R"(]}}]},"settings":)" + settings + "}";
}

// What run.sh passes: the folder of the case, a temporary folder, and the `run` command of the deploy file.
struct Arguments {
  std::string caseFolder, temporary, command;
};
inline Arguments readArguments(int count, char** values, double limitSeconds) {
  if (count != 4) {
    std::fprintf(stderr, "usage: %s CASE-FOLDER TEMPORARY-FOLDER COMMAND\n", values[0]);
    std::exit(2);
  }
  signal(SIGPIPE, SIG_IGN);
  record.open(std::string(values[1]) + "/record.txt");
  std::thread([limitSeconds] {
    sleepFor(limitSeconds);
    cannotRun("time limit");
  }).detach();
  return {values[1], values[2], values[3]};
}

}  // namespace review
