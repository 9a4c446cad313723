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
constexpr double kUp = 10;  // seconds in which a dispatcher must be up
constexpr size_t kMost = 1 << 20;

Address addressOf(uint32_t part, uint32_t number) {  // of our own on loopback: each run has another one
  return {0x7f000000u | (static_cast<uint32_t>(getpid()) % 0x7fffu + 0x100u) << 8 | (part << 6 | number),
          kPort};
}

// One end of a connection: what comes goes to `heard`, its end to `over`, once.
class Peer {
 public:
  explicit Peer(Scheduler& scheduler) : signal_(scheduler), stream(scheduler, signal_, kMost, kMost) {}
  void start() { task_ = run(), task_.start(); }
  void say(std::string bytes) {
    if (!stream.isOpen())
      return;
    stream.write(std::move(bytes)), stream.flush();
  }
  void close() { stream.close(CloseReason::idle), signal_.raise(); }
  std::function<void(std::string&)> heard;
  std::function<void()> over;

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
        heard(stream.input());
      stream.flush();
      if (stream.isOpen())
        co_await signal_;
    }
    if (over)
      over();
  }
  Task task_;
};

class Listening {
 public:
  Listening(Scheduler& scheduler, const Address& address, std::function<void(int)> accepted)
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

class Day {
 public:
  Day(const Scenario& scenario, const RunRecord& virtualRun, const Variant& variant, std::string program)
      : scenario_(scenario),
        source_(virtualRun),
        variant_(variant),
        program_(std::move(program)),
        scheduler_(clock_) {}
  ~Day() {
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
    for (auto& second : record_.seconds)
      second.offeredBenefit.resize(scenario_.teams.size()),
          second.earnedBenefit = second.completedWork = second.offeredBenefit;
    changeLog_ = std::make_unique<Listening>(scheduler_, addressOf(2, 1), [this](int fd) { follow(fd); });
    for (uint32_t i = 0; i < uint32_t(scenario_.fleet.engines); ++i) {
      auto& machine = *machines_.emplace_back(std::make_unique<Machine>(scenario_.fleet));
      machine.listening =
          std::make_unique<Listening>(scheduler_, addressOf(1, i), [this, i](int fd) { serve(i, fd); });
      machine.timer = std::make_unique<Timer>(scheduler_, [this, i] { finish(i); });
    }
    for (uint32_t i = 0; i < uint32_t(scenario_.fleet.gateways); ++i)
      start(i);
    waitUntilUp();
    began_ = scheduler_.now() + 0.2;
    for (auto& asked : source_.commands)
      if (asked.firstTry == size_t(&asked - source_.commands.data()))
        order_.push_back(asked.firstTry);
    record_.commands.resize(source_.commands.size(),
                            CommandRecord{~uint64_t{0}, 0, 0, 0, 0, 0, HUGE_VAL, 0, 0});  // not asked yet
    next_ = std::make_unique<Timer>(scheduler_, [this] { ask(); });
    next_->set(began_);
    std::vector<std::unique_ptr<Timer>> timers;
    auto later = [&](double at, std::function<void()> act) {
      timers.push_back(std::make_unique<Timer>(scheduler_, std::move(act)));
      timers.back()->set(began_ + at);
    };
    for (auto& disturbance : scenario_.disturbances)
      if (disturbance.kind == "slow") {
        later(disturbance.start, [&] { slow(disturbance, disturbance.factor); });
        later(disturbance.start + disturbance.duration, [&] { slow(disturbance, 1); });
      }
    later(scenario_.duration, [this] { scheduler_.stop(); });
    scheduler_.run();
    record_.wallSeconds = scenario_.duration;
    return std::move(record_);
  }

 private:
  struct Machine {
    explicit Machine(const Fleet& fleet) : model(fleet) {}
    SimulatedEngine model;
    std::unique_ptr<Listening> listening;
    std::unique_ptr<Timer> timer;
    std::unordered_map<uint64_t, std::pair<Peer*, uint32_t>>
        open;  // by command: who asked, and which gateway
  };
  struct Client {
    explicit Client(Scheduler& scheduler) : peer(scheduler) {}
    Peer peer;
    uint32_t gate = 0;
    std::optional<uint64_t> command;
    std::unique_ptr<Timer> limit;
  };

  double now() const { return scheduler_.now() - began_; }
  void mark(RunEventKind what, uint32_t gate, uint64_t command, uint32_t node = 0) {
    record_.events.push_back({now(), what, gate, node, command});
  }

  // --- dispatchers
  void start(uint32_t gate) {
    std::string base = folder_ + "/" + std::to_string(gate);
    Json hosts = Json::array(), classes = Json::array(), accounts = Json::array(), threads = Json::array();
    for (uint32_t i = 0; i < machines_.size(); ++i) {
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
        {"name", "lab" + std::to_string(gate)},
        {"listen", formatAddress(addressOf(3, gate))},
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
      dup2(log, 2), dup2(log, 1);
      setenv("PROXY_CONFIG", (base + ".json").c_str(), 1);
      unsetenv("PROXY_LISTEN"), unsetenv("PROXY_NAME");
      std::string own = base + ".gateway.json";
      if (budgets)
        execl(program_.c_str(), program_.c_str(), "--gateway", own.c_str(), nullptr);
      else
        execl(program_.c_str(), program_.c_str(), nullptr);
      _exit(99);
    }
    processes_.push_back(pid);
  }
  void waitUntilUp() const {
    for (uint32_t gate = 0; gate < processes_.size(); ++gate)
      for (double end = scheduler_.now() + kUp;; usleep(5000)) {
        Address at = addressOf(3, gate);
        sockaddr_in to{};
        to.sin_family = AF_INET, to.sin_port = htons(at.port), to.sin_addr.s_addr = htonl(at.host);
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        bool up = connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0;
        ::close(fd);
        if (up)
          break;
        if (scheduler_.now() < end)
          continue;
        std::stringstream log;
        log << std::ifstream(folder_ + "/" + std::to_string(gate) + ".log").rdbuf();
        throw ValidationErrors(
            {program_ + ": is not up after " + std::to_string(int(kUp)) + " s: " + log.str()});
      }
  }

  // --- the change log: nothing new, each second
  void follow(int fd) {
    auto& peer = *followers_.emplace_back(std::make_unique<Peer>(scheduler_));
    peer.heard = [](std::string& bytes) { bytes.clear(); };
    peer.stream.adopt(fd);
    peer.start();
    beat();
  }
  void beat() {
    static const std::string frame("\0\0\0\x09\0\0\0\0\0\0\0\x01\0", 13);
    for (auto& peer : followers_)
      peer->say(frame);
    if (!beat_)
      beat_ = std::make_unique<Timer>(scheduler_, [this] { beat(); });
    beat_->set(scheduler_.now() + 1);
  }

  // --- engines
  void serve(uint32_t node, int fd) {
    auto& peer = *links_.emplace_back(std::make_unique<Peer>(scheduler_));
    Peer* from = &peer;
    peer.heard = [this, node, from](std::string& bytes) { heed(node, *from, bytes); };
    peer.over = [this, node, from] {  // gives up everything open on it
      std::vector<uint64_t> gone;
      for (auto& [command, who] : machines_[node]->open)
        if (who.first == from)
          gone.push_back(command);
      for (uint64_t command : gone)
        drop(node, command);
    };
    peer.stream.adopt(fd);
    peer.start();
  }
  void heed(uint32_t node, Peer& from, std::string& bytes) {
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
        begin(node, from, id, fields);
        continue;
      }
      bytes.erase(0, end + 2);
      uint64_t command = std::strtoull(id.c_str(), nullptr, 16);
      int priority = 1;
      if (verb == "DROP")
        drop(node, command);
      else if (verb == "RANK" && words >> priority)
        machines_[node]->model.setPriority(scheduler_.now(), command, priority), aim(node);
      else if (verb == "PING" || verb == "LOAD")
        from.say(id + " PONG - 0\r\n\r\n");
    }
  }
  void begin(uint32_t node, Peer& from, const std::string& id, const std::string& fields) {
    uint64_t command = std::strtoull(id.c_str(), nullptr, 16);
    if (command >= record_.commands.size())
      return;
    const CommandRecord& asked = record_.commands[command];
    int priority = 1;
    if (auto at = fields.find("weight="); at != std::string::npos)
      priority = fields[at + 7] - '0';
    uint32_t gate = asked.gateway;
    mark(RunEventKind::sent, gate, command, node), mark(RunEventKind::started, gate, command, node);
    machines_[node]->open[command] = {&from, gate};
    machines_[node]->model.startSend(
        scheduler_.now(),
        {command, asked.work, asked.work, scenario_.workByProfile[asked.profile].memoryMb,
         scenario_.settings.profiles[asked.profile].threads, priority, 0},
        asked.firstTry % 64);
    aim(node);
  }
  void aim(uint32_t node) {
    if (auto at = machines_[node]->model.nextCompletion())
      machines_[node]->timer->set(*at);
    else
      machines_[node]->timer->clear();
  }
  void finish(uint32_t node) {
    for (auto& one : machines_[node]->model.takeFinished(scheduler_.now())) {
      auto who = machines_[node]->open.extract(one.send);
      if (who.empty())
        continue;
      mark(RunEventKind::sendFinished, who.mapped().second, one.send, node);
      char head[96];
      int size = std::snprintf(head, sizeof head, "%016llx HIT fetches=1,effort=%.3f 6\r\n",
                               static_cast<unsigned long long>(one.send), one.work * 1e3);
      who.mapped().first->say(std::string(head, size_t(size)) + "a\tb\tc\n\r\n");
    }
    aim(node);
  }
  void drop(uint32_t node, uint64_t command) {
    auto who = machines_[node]->open.extract(command);
    if (who.empty())
      return;
    mark(RunEventKind::sendFinished, who.mapped().second, command, node);
    machines_[node]->model.cancelSend(scheduler_.now(), command);
    aim(node);
  }
  void slow(const Disturbance& disturbance, double times) {
    for (uint32_t node = 0; node < uint32_t(std::ceil(double(machines_.size()) * disturbance.engineShare));
         ++node)
      machines_[node]->model.setSlowdown(scheduler_.now(), times), aim(node);
  }

  // --- clients
  void ask() {
    for (; at_ < order_.size() && source_.commands[order_[at_]].arrivedAt <= now(); ++at_)
      ask(order_[at_]);
    if (at_ < order_.size())
      next_->set(began_ + source_.commands[order_[at_]].arrivedAt);
  }
  void ask(uint64_t command) {
    CommandRecord& asked = record_.commands[command] = source_.commands[command];
    const Profile& profile = scenario_.settings.profiles[asked.profile];
    double shift = now() - asked.arrivedAt;
    asked.arrivedAt += shift, asked.targetAt += shift, asked.timeoutAt += shift;
    record_.seconds[size_t(now())].offeredBenefit[asked.team] += profile.benefit;
    mark(RunEventKind::submitted, asked.gateway, command);
    Client& client = idleClient(asked.gateway);
    client.command = command;
    std::string body = "SELECT a FROM t_" + std::to_string(asked.tableGroup) + ".x";
    char head[512];
    int size = std::snprintf(
        head, sizeof head,
        "POST /do/%s HTTP/1.1\r\nHost: lab\r\nReq-Id: %016llx\r\nReq-Wait-Ms: %.0f\r\nReq-Owner: %s\r\n"
        "Req-Cost: %.3f\r\nContent-Length: %zu\r\n\r\n",
        profile.name.c_str(), static_cast<unsigned long long>(command), profile.clientTimeout * 1e3,
        scenario_.teams[asked.team].name.c_str(),
        asked.work / scenario_.teams[asked.team].workPerEstimate * 1e3, body.size());
    client.peer.say(std::string(head, size_t(size)) + body);
  }
  Client& idleClient(uint32_t gate) {
    auto& idle = idle_[gate];
    while (!idle.empty()) {
      Client* client = idle.back();
      idle.pop_back();
      if (client->peer.stream.isOpen())
        return *client;
    }
    Client& client = *clients_.emplace_back(std::make_unique<Client>(scheduler_));
    client.gate = gate;
    client.peer.heard = [this, &client](std::string& bytes) { answer(client, bytes); };
    client.peer.stream.connect(addressOf(3, gate));
    client.peer.start();
    return client;
  }
  void answer(Client& client, std::string& bytes) {
    auto status = takeResponseStatus(bytes);
    if (!status)
      return;
    if (!client.command)
      return;
    uint64_t command = *client.command;
    client.command.reset();
    const CommandRecord& asked = record_.commands[command];
    RunEventKind how = *status == "200"                       ? RunEventKind::answered
                       : *status == "503" || *status == "429" ? RunEventKind::shed
                                                              : RunEventKind::failed;
    mark(how, client.gate, command);
    const Profile& profile = scenario_.settings.profiles[asked.profile];
    auto& second = record_.seconds[std::min(size_t(now()), record_.seconds.size() - 1)];
    if (how == RunEventKind::answered)
      second.earnedBenefit[asked.team] +=
          (now() <= asked.targetAt ? 1 : profile.lateBenefitShare) * profile.benefit;
    idle_[client.gate].push_back(&client);
  }

  const Scenario& scenario_;
  const RunRecord& source_;
  Variant variant_;
  std::string program_, folder_;
  Clock clock_;
  Scheduler scheduler_;
  double began_ = 0;
  RunRecord record_;
  std::vector<pid_t> processes_;
  std::vector<uint64_t> order_;
  size_t at_ = 0;
  std::unique_ptr<Timer> next_, beat_;
  std::list<std::unique_ptr<Peer>> followers_, links_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::unique_ptr<Listening> changeLog_;
  std::list<std::unique_ptr<Client>> clients_;
  std::unordered_map<uint32_t, std::vector<Client*>> idle_;
};

}  // namespace

RunRecord runOnSockets(const Scenario& scenario, const RunRecord& virtualRun, const Variant& variant,
                       const std::string& program) {
  return Day(scenario, virtualRun, variant, program).run();
}

}  // namespace elmcleat::lab
