// Stand-in engines, change log and clients around real dispatcher processes; see sockets.h.
#include "lab/sockets.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <charconv>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <sstream>
#include <unordered_map>

#include "lab/http_response.h"
#include "lab/simulated_engine.h"
#include "runtime/scheduler.h"
#include "runtime/stream.h"

namespace elmcleat::lab {
namespace {

constexpr uint16_t kPort = 4100;
constexpr double kStartTimeout = 10;  // seconds until a dispatcher accepts connections
constexpr size_t kMaxBufferBytes = 1 << 20;

// A loopback address for one server of this run. The process id is part of it, so that runs side by side do
// not collide. `part`: 1 engines, 2 change log, 3 dispatchers.
Address addressOf(uint32_t part, uint32_t number) {
  return {0x7f000000u | (static_cast<uint32_t>(getpid()) % 0x7fffu + 0x100u) << 8 | (part << 6 | number),
          kPort};
}

// One end of a connection: calls `received` with the input, and `closed` once when the connection ends.
class Peer {
 public:
  explicit Peer(Scheduler& scheduler)
      : signal_(scheduler), stream(scheduler, signal_, kMaxBufferBytes, kMaxBufferBytes) {}
  void start() { task_ = run(), task_.start(); }
  void send(std::string bytes) {
    if (!stream.isOpen())
      return;
    stream.write(std::move(bytes)), stream.flush();
  }
  void close() {
    stream.close(CloseReason::idle);
    signal_.raise();
  }
  std::function<void(std::string&)> received;
  std::function<void()> closed;

 private:
  Signal signal_;

 public:
  Stream stream;

 private:
  Task run() {
    while (stream.isOpen()) {
      stream.isConnected();
      stream.receive(true);
      if (!stream.input().empty())
        received(stream.input());
      stream.flush();
      if (stream.isOpen())
        co_await signal_;
    }
    if (closed)
      closed();
  }
  Task task_;
};

// Accepts connections and passes each file descriptor on.
class Listener {
 public:
  Listener(Scheduler& scheduler, const Address& address, std::function<void(int)> accepted)
      : signal_(scheduler), listener_(scheduler, listenOn(address), signal_), accepted_(std::move(accepted)) {
    task_ = run(), task_.start();
  }

 private:
  Task run() {
    while (true) {
      for (int fd; (fd = ::accept4(listener_.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;)
        accepted_(fd);
      co_await signal_;
    }
  }
  Signal signal_;
  Descriptor listener_;
  std::function<void(int)> accepted_;
  Task task_;
};

// One run: owns the dispatcher processes, the stand-in servers, the clients and the record.
class SocketRun {
 public:
  SocketRun(const Scenario& scenario, const RunRecord& virtualRun, const Variant& variant,
            std::string program)
      : scenario_(scenario),
        virtualRun_(virtualRun),
        variant_(variant),
        program_(std::move(program)),
        scheduler_(clock_) {}
  ~SocketRun() {
    for (pid_t pid : processes_)
      ::kill(pid, SIGKILL), waitpid(pid, nullptr, 0);
    std::filesystem::remove_all(folder_);
  }

  RunRecord run() {
    for (auto& disturbance : scenario_.disturbances)
      if (disturbance.kind != "burst" && disturbance.kind != "quiet" && disturbance.kind != "slow")
        throw ValidationErrors(
            {scenario_.name + ": on sockets there is no trouble '" + disturbance.kind + "' yet"});
    char name[] = "/tmp/elmcleat-lab-XXXXXX";
    folder_ = mkdtemp(name);
    record_.seconds.resize(size_t(scenario_.duration) + 2);
    for (auto& second : record_.seconds) {
      second.offeredBenefit.resize(scenario_.teams.size());
      second.earnedBenefit = second.completedWork = second.offeredBenefit;
    }
    changeLog_ =
        std::make_unique<Listener>(scheduler_, addressOf(2, 1), [this](int fd) { acceptFollower(fd); });
    for (uint32_t i = 0; i < uint32_t(scenario_.fleet.engines); ++i) {
      auto& engine = *engines_.emplace_back(std::make_unique<StandInEngine>(scenario_.fleet));
      engine.listener = std::make_unique<Listener>(scheduler_, addressOf(1, i),
                                                   [this, i](int fd) { acceptDispatcher(i, fd); });
      engine.timer = std::make_unique<Timer>(scheduler_, [this, i] { completeCommands(i); });
    }
    for (uint32_t i = 0; i < uint32_t(scenario_.fleet.gateways); ++i)
      startDispatcher(i);
    waitUntilUp();
    startTime_ = scheduler_.now() + 0.2;
    for (auto& record : virtualRun_.commands)
      if (record.firstTry == size_t(&record - virtualRun_.commands.data()))
        arrivalOrder_.push_back(record.firstTry);
    record_.commands.resize(virtualRun_.commands.size(),
                            CommandRecord{~uint64_t{0}, 0, 0, 0, 0, 0, HUGE_VAL, 0, 0});  // not submitted yet
    arrivalTimer_ = std::make_unique<Timer>(scheduler_, [this] { submitDue(); });
    arrivalTimer_->set(startTime_);
    std::vector<std::unique_ptr<Timer>> timers;
    auto later = [&](double at, std::function<void()> act) {
      timers.push_back(std::make_unique<Timer>(scheduler_, std::move(act)));
      timers.back()->set(startTime_ + at);
    };
    for (auto& disturbance : scenario_.disturbances)
      if (disturbance.kind == "slow") {
        later(disturbance.start, [&] { setSlowdown(disturbance, disturbance.factor); });
        later(disturbance.start + disturbance.duration, [&] { setSlowdown(disturbance, 1); });
      }
    later(scenario_.duration, [this] { scheduler_.stop(); });
    scheduler_.run();
    record_.wallSeconds = scenario_.duration;
    return std::move(record_);
  }

 private:
  struct StandInEngine {
    explicit StandInEngine(const Fleet& fleet) : model(fleet) {}
    SimulatedEngine model;
    std::unique_ptr<Listener> listener;
    std::unique_ptr<Timer> timer;
    std::unordered_map<uint64_t, std::pair<Peer*, uint32_t>>
        open;  // by command: the connection that sent it, and the gateway
  };
  struct Client {
    explicit Client(Scheduler& scheduler) : peer(scheduler) {}
    Peer peer;
    uint32_t gateway = 0;
    std::optional<uint64_t> command;
    std::unique_ptr<Timer> limit;
  };

  double now() const { return scheduler_.now() - startTime_; }
  void recordEvent(RunEventKind what, uint32_t gateway, uint64_t command, uint32_t node = 0) {
    record_.events.push_back({now(), what, gateway, node, command});
  }

  // --- Dispatchers
  void startDispatcher(uint32_t gateway) {
    std::string base = folder_ + "/" + std::to_string(gateway);
    Json hosts = Json::array(), classes = Json::array(), accounts = Json::array(), threads = Json::array();
    for (uint32_t i = 0; i < engines_.size(); ++i) {
      char id[16];
      std::snprintf(id, sizeof id, "s-%08x", i + 1);
      hosts.push_back({{"host", id},
                       {"dial", formatAddress(addressOf(1, i))},
                       {"site", scenario_.fleet.zones.front()},
                       {"class", "std"},
                       {"block", 0},
                       {"health", "in_service"},
                       {"born_ms", 0}});
    }
    for (auto& profile : scenario_.settings.profiles) {
      classes.push_back({{"name", profile.name},
                         {"repeat", "idempotent"},
                         {"aimUs", profile.latencyTarget * 1e6},
                         {"aimStretch", profile.latencyTargetStretch},
                         {"lateWorth", profile.lateBenefitShare},
                         {"deadlineUs", profile.clientTimeout * 1e6},
                         {"value", profile.benefit}});
      threads.push_back(profile.threads);
    }
    for (auto& tenant : scenario_.settings.tenants)
      accounts.push_back({{"name", tenant.name}, {"fraction", tenant.share}});
    Json config{
        {"name", "lab" + std::to_string(gateway)},
        {"listen", formatAddress(addressOf(3, gateway))},
        {"seed", "8c1f30d27a5be964"},
        {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 4096}}},
        {"changelog", formatAddress(addressOf(2, 1))},
        {"known", {{"seq", 1}, {"results", {{{"seq", 1}, {"fleet", {{"whole", true}, {"hosts", hosts}}}}}}}},
        {"settings",
         {{"balancers", scenario_.fleet.gateways},
          {"localities", scenario_.fleet.zones},
          {"flavors", {"std"}},
          {"zone", scenario_.fleet.zones.front()},
          {"classes", classes},
          {"accounts", accounts},
          {"limits",
           {{"streamsPerConn", 32},
            {"connectTimeoutUs", 250000},
            {"connIdleUs", 15000000},
            {"maxAttempts", scenario_.settings.maxSends},
            {"cancel", scenario_.settings.cancelSupported}}},
          {"specifics",
           {{"dop", threads},
            {"kindCores", {scenario_.fleet.hardware.cores}},
            {"ranksHeeded", scenario_.settings.prioritiesSupported}}}}}};
    std::ofstream(base + ".json") << config.dump();
    bool budgets = !scenario_.budgetsJson.is_null() && variant_.budgets;
    if (budgets)
      std::ofstream(base + ".gateway.json") << Json{{"budgets", scenario_.budgetsJson}}.dump();
    pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      int log = open((base + ".log").c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
      dup2(log, 2);
      dup2(log, 1);
      setenv("PROXY_CONFIG", (base + ".json").c_str(), 1);
      unsetenv("PROXY_LISTEN");
      unsetenv("PROXY_NAME");
      std::string own = base + ".gateway.json";
      if (budgets)
        execl(program_.c_str(), program_.c_str(), "--gateway", own.c_str(), nullptr);
      else
        execl(program_.c_str(), program_.c_str(), nullptr);
      _exit(99);
    }
    processes_.push_back(pid);
  }
  // Polls until every dispatcher accepts connections.
  void waitUntilUp() const {
    for (uint32_t gateway = 0; gateway < processes_.size(); ++gateway)
      for (double end = scheduler_.now() + kStartTimeout;; usleep(5000)) {
        Address at = addressOf(3, gateway);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(at.port);
        to.sin_addr.s_addr = htonl(at.host);
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        bool up = connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0;
        ::close(fd);
        if (up)
          break;
        if (scheduler_.now() < end)
          continue;
        std::stringstream log;
        log << std::ifstream(folder_ + "/" + std::to_string(gateway) + ".log").rdbuf();
        throw ValidationErrors(
            {program_ + ": is not up after " + std::to_string(int(kStartTimeout)) + " s: " + log.str()});
      }
  }

  // --- Change log: sends an empty heartbeat frame every second
  void acceptFollower(int fd) {
    auto& peer = *followers_.emplace_back(std::make_unique<Peer>(scheduler_));
    peer.received = [](std::string& bytes) { bytes.clear(); };
    peer.stream.adopt(fd);
    peer.start();
    sendHeartbeat();
  }
  void sendHeartbeat() {
    static const std::string kFrame("\0\0\0\x09\0\0\0\0\0\0\0\x01\0", 13);
    for (auto& peer : followers_)
      peer->send(kFrame);
    if (!heartbeatTimer_)
      heartbeatTimer_ = std::make_unique<Timer>(scheduler_, [this] { sendHeartbeat(); });
    heartbeatTimer_->set(scheduler_.now() + 1);
  }

  // --- Engines
  void acceptDispatcher(uint32_t node, int fd) {
    auto& peer = *dispatcherConnections_.emplace_back(std::make_unique<Peer>(scheduler_));
    Peer* from = &peer;
    peer.received = [this, node, from](std::string& bytes) { parseLines(node, *from, bytes); };
    peer.closed = [this, node, from] {  // cancels everything that is open on the connection
      std::vector<uint64_t> gone;
      for (auto& [command, who] : engines_[node]->open)
        if (who.first == from)
          gone.push_back(command);
      for (uint64_t command : gone)
        cancelCommand(node, command);
    };
    peer.stream.adopt(fd);
    peer.start();
  }
  // Parses the lines of the engine protocol.
  void parseLines(uint32_t node, Peer& from, std::string& bytes) {
    while (true) {
      size_t end = bytes.find("\r\n");
      if (end == std::string::npos)
        return;
      std::istringstream words(bytes.substr(0, end));
      std::string verb, id, fields;
      size_t length = 0;
      words >> verb >> id;
      if (verb == "GET") {
        words >> fields >> length;
        if (bytes.size() < end + 2 + length + 2)
          return;
        bytes.erase(0, end + 2 + length + 2);
        startCommand(node, from, id, fields);
        continue;
      }
      bytes.erase(0, end + 2);
      uint64_t command = std::strtoull(id.c_str(), nullptr, 16);
      int priority = 1;
      if (verb == "DROP")
        cancelCommand(node, command);
      else if (verb == "RANK" && words >> priority) {
        engines_[node]->model.setPriority(scheduler_.now(), command, priority);
        scheduleCompletion(node);
      } else if (verb == "PING" || verb == "LOAD")
        from.send(id + " PONG - 0\r\n\r\n");
    }
  }
  void startCommand(uint32_t node, Peer& from, const std::string& id, const std::string& fields) {
    uint64_t command = std::strtoull(id.c_str(), nullptr, 16);
    if (command >= record_.commands.size())
      return;
    const CommandRecord& record = record_.commands[command];
    int priority = 1;
    if (auto at = fields.find("weight="); at != std::string::npos)
      priority = fields[at + 7] - '0';
    uint32_t gateway = record.gateway;
    recordEvent(RunEventKind::sent, gateway, command, node);
    recordEvent(RunEventKind::started, gateway, command, node);
    engines_[node]->open[command] = {&from, gateway};
    engines_[node]->model.startSend(
        scheduler_.now(),
        {command, record.work, record.work, scenario_.workByProfile[record.profile].memoryMb,
         scenario_.settings.profiles[record.profile].threads, priority, 0},
        record.firstTry % 64);
    scheduleCompletion(node);
  }
  // Sets the timer to the engine's next completion.
  void scheduleCompletion(uint32_t node) {
    if (auto at = engines_[node]->model.nextCompletion())
      engines_[node]->timer->set(*at);
    else
      engines_[node]->timer->clear();
  }
  void completeCommands(uint32_t node) {
    for (auto& one : engines_[node]->model.takeFinished(scheduler_.now())) {
      auto who = engines_[node]->open.extract(one.send);
      if (who.empty())
        continue;
      recordEvent(RunEventKind::sendFinished, who.mapped().second, one.send, node);
      char head[96];
      int size = std::snprintf(head, sizeof head, "%016llx HIT fetches=1,effort=%.3f 6\r\n",
                               static_cast<unsigned long long>(one.send), one.work * 1e3);
      who.mapped().first->send(std::string(head, size_t(size)) + "a\tb\tc\n\r\n");
    }
    scheduleCompletion(node);
  }
  void cancelCommand(uint32_t node, uint64_t command) {
    auto who = engines_[node]->open.extract(command);
    if (who.empty())
      return;
    recordEvent(RunEventKind::sendFinished, who.mapped().second, command, node);
    engines_[node]->model.cancelSend(scheduler_.now(), command);
    scheduleCompletion(node);
  }
  void setSlowdown(const Disturbance& disturbance, double times) {
    for (uint32_t node = 0; node < uint32_t(std::ceil(double(engines_.size()) * disturbance.engineShare));
         ++node)
      engines_[node]->model.setSlowdown(scheduler_.now(), times), scheduleCompletion(node);
  }

  // --- Clients
  void submitDue() {
    for (; nextArrival_ < arrivalOrder_.size() &&
           virtualRun_.commands[arrivalOrder_[nextArrival_]].arrivedAt <= now();
         ++nextArrival_)
      submit(arrivalOrder_[nextArrival_]);
    if (nextArrival_ < arrivalOrder_.size())
      arrivalTimer_->set(startTime_ + virtualRun_.commands[arrivalOrder_[nextArrival_]].arrivedAt);
  }
  void submit(uint64_t command) {
    CommandRecord& record = record_.commands[command] = virtualRun_.commands[command];
    const Profile& profile = scenario_.settings.profiles[record.profile];
    double shift = now() - record.arrivedAt;
    record.arrivedAt += shift;
    record.targetAt += shift;
    record.timeoutAt += shift;
    record_.seconds[size_t(now())].offeredBenefit[record.team] += profile.benefit;
    recordEvent(RunEventKind::submitted, record.gateway, command);
    Client& client = idleClient(record.gateway);
    client.command = command;
    std::string body = "SELECT a FROM t_" + std::to_string(record.tableGroup) + ".x";
    char head[512];
    int size = std::snprintf(
        head, sizeof head,
        "POST /do/%s HTTP/1.1\r\nHost: lab\r\nReq-Id: %016llx\r\nReq-Wait-Ms: %.0f\r\nReq-Owner: %s\r\n"
        "Req-Cost: %.3f\r\nContent-Length: %zu\r\n\r\n",
        profile.name.c_str(), static_cast<unsigned long long>(command), profile.clientTimeout * 1e3,
        scenario_.teams[record.team].name.c_str(),
        record.work / scenario_.teams[record.team].workPerEstimate * 1e3, body.size());
    client.peer.send(std::string(head, size_t(size)) + body);
  }
  Client& idleClient(uint32_t gateway) {
    auto& idle = idleClients_[gateway];
    while (!idle.empty()) {
      Client* client = idle.back();
      idle.pop_back();
      if (client->peer.stream.isOpen())
        return *client;
    }
    Client& client = *clients_.emplace_back(std::make_unique<Client>(scheduler_));
    client.gateway = gateway;
    client.peer.received = [this, &client](std::string& bytes) { receiveResponse(client, bytes); };
    client.peer.stream.connect(addressOf(3, gateway));
    client.peer.start();
    return client;
  }
  void receiveResponse(Client& client, std::string& bytes) {
    auto status = takeResponseStatus(bytes);
    if (!status)
      return;
    if (!client.command)
      return;
    uint64_t command = *client.command;
    client.command.reset();
    const CommandRecord& record = record_.commands[command];
    RunEventKind how = *status == "200"                       ? RunEventKind::answered
                       : *status == "503" || *status == "429" ? RunEventKind::shed
                                                              : RunEventKind::failed;
    recordEvent(how, client.gateway, command);
    const Profile& profile = scenario_.settings.profiles[record.profile];
    auto& second = record_.seconds[std::min(size_t(now()), record_.seconds.size() - 1)];
    if (how == RunEventKind::answered)
      second.earnedBenefit[record.team] +=
          (now() <= record.targetAt ? 1 : profile.lateBenefitShare) * profile.benefit;
    idleClients_[client.gateway].push_back(&client);
  }

  const Scenario& scenario_;
  const RunRecord& virtualRun_;
  Variant variant_;
  std::string program_, folder_;
  Clock clock_;
  Scheduler scheduler_;
  double startTime_ = 0;
  RunRecord record_;
  std::vector<pid_t> processes_;
  std::vector<uint64_t> arrivalOrder_;
  size_t nextArrival_ = 0;
  std::unique_ptr<Timer> arrivalTimer_, heartbeatTimer_;
  std::list<std::unique_ptr<Peer>> followers_, dispatcherConnections_;
  std::vector<std::unique_ptr<StandInEngine>> engines_;
  std::unique_ptr<Listener> changeLog_;
  std::list<std::unique_ptr<Client>> clients_;
  std::unordered_map<uint32_t, std::vector<Client*>> idleClients_;
};

}  // namespace

RunRecord runOnSockets(const Scenario& scenario, const RunRecord& virtualRun, const Variant& variant,
                       const std::string& program) {
  return SocketRun(scenario, virtualRun, variant, program).run();
}

}  // namespace elmcleat::lab
