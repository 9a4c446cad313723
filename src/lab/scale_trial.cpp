#include "lab/scale_trial.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cmath>
#include <fstream>
#include <numeric>
#include <sstream>

#include "runtime/stream.h"

namespace elmcleat::lab {
namespace {

constexpr int kZones = 16;
constexpr double kSaturatedCores = 0.9;  // a dispatcher that uses more is limited by its one core
constexpr double kReadyTimeout = 60;     // seconds in which all dispatchers must be ready
constexpr double kPollInterval = 0.25;   // of limits and processes; seconds, as all below
constexpr double kShortPollInterval = 0.001;
constexpr double kIdleConnectTimeout = 20;
constexpr double kEventTimeout = 2;  // until the change log has sent an event
constexpr double kApplyTimeout = 5;  // until a dispatcher has applied a full list
constexpr double kCommandWarmUp = 1.5;
constexpr double kStopLoadDuration = 0.7;
constexpr size_t kQuotedLogBytes = 300;

// Loopback addresses that differ between runs, by the process id.
Address ownAddress(uint32_t number, uint16_t port) {
  return {0x7f800000u | (static_cast<uint32_t>(getpid()) & 0x3fffu) << 6 | number, port};
}

void sleepFor(double seconds) { usleep(useconds_t(std::max(seconds, 0.0) * 1e6)); }

// Whether /check is answered with status 200.
bool answersCheck(const Address& address) {
  sockaddr_in to = toSockaddr(address);
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval timeout{5, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  const std::string request = "GET /check HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n";
  char head[16] = {};
  bool healthy = connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0 &&
                 send(fd, request.data(), request.size(), MSG_NOSIGNAL) > 0 && recv(fd, head, 15, 0) >= 12 &&
                 std::string(head).starts_with("HTTP/1.1 200");
  ::close(fd);
  return healthy;
}

// The number of engines in use, from the last log line on the view: "...: USED of LISTED in use, reach ...".
std::optional<double> enginesInUse(const std::string& log) {
  size_t end = log.rfind(" in use, reach");
  if (end == std::string::npos)
    return std::nullopt;
  size_t prefixEnd = log.rfind(": ", end);
  return std::strtod(log.c_str() + prefixEnd + 2, nullptr);
}

std::string speedName(double speed) {
  std::ostringstream text;
  text << 'x' << speed;
  return text.str();
}

}  // namespace

void FigureCollector::add(const std::string& figure, const std::string& unit, const std::string& xName,
                          double x, double y) {
  auto found = std::ranges::find_if(series_, [&](const Series& series) {
    return series.figure.name == figure && series.figure.variant == variant;
  });
  if (found == series_.end()) {
    Figure added;
    added.name = figure;
    added.variant = variant;
    added.unit = unit;
    added.xName = xName;
    found = series_.insert(found, Series{added, {}});
  }
  found->valuesByX[x].push_back(y);
}

std::vector<Figure> FigureCollector::figures(const ScalePlan& plan) const {
  std::vector<Figure> figures;
  for (auto& series : series_) {
    Figure& figure = figures.emplace_back(series.figure);
    for (auto& [x, repeats] : series.valuesByX)
      figure.addSize(x, repeats);
    if (auto found = plan.targets.find(figure.xName); found != plan.targets.end())
      figure.target = found->second;
    if (auto found = plan.limits.find(figure.name); found != plan.limits.end())
      figure.limit = found->second;
  }
  std::ranges::stable_sort(figures, {},
                           [](const Figure& figure) { return std::tie(figure.name, figure.variant); });
  return figures;
}

Trial::Trial(const ScalePlan& plan, const std::string& program, const ScaleFolder& folder,
             ScaleBounds& bounds, FigureCollector& collector, int engines, const Json& gateway)
    : plan_(plan),
      program_(program),
      folder_(folder),
      bounds_(bounds),
      collector_(collector),
      engines_(engines) {
  for (int i = 0; i < plan.realDispatchers; ++i) {
    int listener = listenOnFreePort();
    ports_.push_back(portOf(listener));
    auto& engineProcess = *engineProcesses_.emplace_back(std::make_unique<EngineProcess>());
    engineProcess.child = std::make_unique<Child>(
        [&engineProcess, listener](int orders) { serveEngines(listener, orders, *engineProcess.counts); });
    ::close(listener);
    bounds_.processes.insert(engineProcess.child->pid());
  }
  int listener = listenOn(ownAddress(0, 0));
  Address changeLog = ownAddress(0, portOf(listener));
  changeLog_ = std::make_unique<Child>([this, listener](int orders) {
    serveChangeLog(listener, orders, {uint32_t(engines_), kZones, 1, ports_}, *logCounts_);
  });
  ::close(listener);
  bounds_.processes.insert(changeLog_->pid());
  for (int i = 0; i < plan.realDispatchers; ++i) {
    auto& dispatcher = *dispatchers_.emplace_back(std::make_unique<Dispatcher>());
    dispatcher.address = ownAddress(uint32_t(i) + 1, 4100);
    dispatcher.logPath = folder_.path + "/" + std::to_string(i) + ".log";
    dispatcher.clients = std::make_unique<Child>(
        [&dispatcher](int orders) { serveClients(dispatcher.address, orders, "quick", *dispatcher.counts); });
    bounds_.processes.insert(dispatcher.clients->pid());
    std::ofstream(folder_.path + "/" + std::to_string(i) + ".json") << configFor(i, changeLog).dump();
  }
  double startedAt = secondsNow();
  for (int i = 0; i < plan.realDispatchers; ++i)
    start(i, gateway);
  awaitReady(startedAt);
}

Trial::~Trial() {
  for (auto& dispatcher : dispatchers_)
    if (dispatcher->pid > 0) {
      ::kill(dispatcher->pid, SIGKILL);
      waitpid(dispatcher->pid, nullptr, 0);
    }
  bounds_.processes.clear();
}

Json Trial::configFor(int dispatcher, const Address& changeLog) const {
  Json hosts = Json::array();
  Json zones = Json::array();
  for (int i = 0; i < kZones; ++i)
    zones.push_back("zone-" + std::to_string(i));
  for (uint32_t i = 0; i < uint32_t(engines_); ++i) {
    char id[16];
    std::snprintf(id, sizeof id, "s-%08x", i + 1);
    hosts.push_back({{"host", id},
                     {"dial", formatAddress({kFirstEngine + i, ports_[i % ports_.size()]})},
                     {"site", zones[i % kZones]},
                     {"class", "std"},
                     {"block", i / kZones},
                     {"health", "in_service"},
                     {"born_ms", 0}});
  }
  int dispatchers = plan_.configuredDispatchers.value_or(
      std::max(plan_.realDispatchers, int(std::lround(engines_ / plan_.enginesPerDispatcher))));
  Json settings{{"balancers", dispatchers},
                {"ordinal", dispatcher},
                {"localities", zones},
                {"flavors", {"std"}},
                {"zone", "zone-0"},
                {"classes",
                 {{{"name", "quick"},
                   {"repeat", "idempotent"},
                   {"aimUs", 500000},
                   {"aimStretch", 2},
                   {"lateWorth", 0.5},
                   {"deadlineUs", 2000000},
                   {"value", 1}}}},
                {"accounts", {{{"name", "acme"}, {"fraction", 1.0}}}},
                {"rules",
                 {{"drainGraceUs", 250000},
                  {"coldFrom", 0.4},
                  {"coldUs", 60000000},
                  {"fallMultiple", 3},
                  {"fallUs", 1000000}}},
                {"limits",
                 {{"streamsPerConn", 32},
                  {"connectTimeoutUs", 250000},
                  {"connIdleUs", 15000000},
                  {"maxAttempts", 3},
                  {"cancel", true},
                  {"probing", true}}},
                {"specifics", {{"kindCores", {8}}, {"dop", {1}}, {"ranksHeeded", true}}}};
  if (plan_.document.contains("settings"))
    settings.merge_patch(plan_.document["settings"]);
  return {
      {"name", "scale" + std::to_string(dispatcher)},
      {"listen", formatAddress(dispatchers_[size_t(dispatcher)]->address)},
      {"seed", "8c1f30d27a5be964"},
      {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 20000}}},
      {"changelog", formatAddress(changeLog)},
      {"known", {{"seq", 1}, {"results", {{{"seq", 1}, {"fleet", {{"whole", true}, {"hosts", hosts}}}}}}}},
      {"settings", settings}};
}

void Trial::start(int dispatcher, const Json& gateway) {
  std::string base = folder_.path + "/" + std::to_string(dispatcher);
  if (!gateway.is_null())
    std::ofstream(base + ".gateway.json") << gateway.dump();
  Dispatcher& started = *dispatchers_[size_t(dispatcher)];
  pid_t parent = getpid();
  started.pid = fork();
  if (started.pid < 0)
    throw ValidationErrors({"no process for a dispatcher"});
  if (started.pid == 0) {
    endWith(parent, 0);
    int log = open(started.logPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    dup2(log, 2);
    dup2(log, 1);
    setenv("PROXY_CONFIG", (base + ".json").c_str(), 1);
    for (const char* name : {"PROXY_LISTEN", "PROXY_NAME", "ELMCLEAT_LOG"})
      unsetenv(name);
    std::string gatewayFile = base + ".gateway.json";
    if (gateway.is_null())
      execl(program_.c_str(), program_.c_str(), nullptr);
    else
      execl(program_.c_str(), program_.c_str(), "--gateway", gatewayFile.c_str(), nullptr);
    _exit(99);
  }
  bounds_.processes.insert(started.pid);
}

void Trial::awaitReady(double startedAt) {
  std::vector<bool> ready(dispatchers_.size());
  while (std::ranges::find(ready, false) != ready.end()) {
    for (size_t i = 0; i < dispatchers_.size(); ++i)
      if (!ready[i] && answersCheck(dispatchers_[i]->address)) {
        ready[i] = true;
        add("ready", "s", secondsNow() - startedAt);
      }
    wait(0.002);
    if (secondsNow() > startedAt + kReadyTimeout)
      throw ValidationErrors({"not ready after " + std::to_string(int(kReadyTimeout)) + " s"});
  }
}

void Trial::wait(double seconds) {
  for (double end = secondsNow() + seconds;;) {
    bounds_.check();
    for (auto& dispatcher : dispatchers_)
      if (int status = 0; waitpid(dispatcher->pid, &status, WNOHANG) == dispatcher->pid) {
        dispatcher->pid = 0;
        std::string log = logOf(*dispatcher);
        throw ValidationErrors({"a dispatcher ended, status " + std::to_string(status) + ": " +
                                log.substr(log.size() - std::min<size_t>(log.size(), kQuotedLogBytes))});
      }
    double left = end - secondsNow();
    if (left <= 0)
      return;
    sleepFor(std::min(left, kPollInterval));
  }
}

std::string Trial::logOf(const Dispatcher& dispatcher) const {
  std::stringstream text;
  text << std::ifstream(dispatcher.logPath).rdbuf();
  return text.str();
}

void Trial::run(const Step& step) {
  if (step.action == "quiet" || step.action == "changes")
    runQuiet(step, step.action == "changes");
  else if (step.action == "connections")
    runConnections(step);
  else if (step.action == "commands")
    runCommands(step);
  else if (step.action == "drain")
    runDrain(step);
  else if (step.action == "zone")
    runZone(step);
  else
    runSilent(step);
}

// --- Measurements and orders
std::vector<double> Trial::cpuShares(double seconds) {
  std::vector<double> used;
  double startedAt = secondsNow();
  for (auto& dispatcher : dispatchers_)
    used.push_back(-cpuSecondsOf(dispatcher->pid));
  wait(seconds);
  double elapsed = secondsNow() - startedAt;
  for (size_t i = 0; i < used.size(); ++i)
    used[i] = (used[i] + cpuSecondsOf(dispatchers_[i]->pid)) / elapsed;
  return used;
}
std::vector<double> Trial::worstCpuShares(double seconds) {
  std::vector<double> worst(dispatchers_.size());
  double end = secondsNow() + seconds - 0.5;
  do {
    auto second = cpuShares(1);
    for (size_t i = 0; i < worst.size(); ++i)
      worst[i] = std::max(worst[i], second[i]);
  } while (secondsNow() < end);
  return worst;
}
double Trial::sum(std::atomic<uint64_t> ClientCounts::*count) const {
  double total = 0;
  for (auto& dispatcher : dispatchers_)
    total += double(((*dispatcher->counts).*count).load());
  return total;
}
double Trial::faultyCommands() const {
  return sum(&ClientCounts::lost) + sum(&ClientCounts::wrong) + sum(&ClientCounts::failed);
}
double Trial::openToEngines() const {
  double open = 0;
  for (auto& engineProcess : engineProcesses_)
    open += double(engineProcess->counts->open.load());
  return open / double(dispatchers_.size());
}
// Measures for 0.3 s.
uint32_t Trial::busiestEngine() {
  auto sends = [&](uint32_t i) -> uint32_t {
    return engineProcesses_[i % engineProcesses_.size()]->counts->sends[i];
  };
  std::vector<uint32_t> sendsBefore;
  for (uint32_t i = 0; i < uint32_t(engines_); ++i)
    sendsBefore.push_back(sends(i));
  wait(0.3);
  uint32_t best = 0;
  for (uint32_t i = 0; i < uint32_t(engines_); ++i)
    if (sends(i) - sendsBefore[i] > sends(best) - sendsBefore[best])
      best = i;
  return best;
}
void Trial::orderEngines(const std::string& order) const {
  for (auto& engineProcess : engineProcesses_)
    engineProcess->child->order(order);
}
void Trial::startLoad(const Step& step, int tables) {
  orderEngines("work " + std::to_string(step.workSeconds));
  for (auto& dispatcher : dispatchers_)
    dispatcher->clients->order("rate " + std::to_string(step.commandRate) + " " + std::to_string(tables));
}
void Trial::stopLoad() {
  for (auto& dispatcher : dispatchers_)
    dispatcher->clients->order("rate 0 1");
  wait(kStopLoadDuration);
}

// --- Steps
// The cost of following the change log at several rates of changes, without commands.
void Trial::runQuiet(const Step& step, bool byChanges) {
  for (double speed : step.changeSpeeds) {
    changeLog_->order("speed " + std::to_string(speed));
    wait(0.5);
    if (speed == 0 && !byChanges)
      for (auto& dispatcher : dispatchers_) {
        ProcessUsage usage = usageOf(dispatcher->pid);
        add("memory.engines", "MB", usage.anonymous);
        add("memory.engines.peak", "MB", usage.peakRss);
        add("count.descriptors", "open", usage.descriptors);
        add("count.threads", "threads", usage.threads);
        if (auto used = enginesInUse(logOf(*dispatcher)))
          add("count.view", "engines in view", *used);
      }
    double in = double(logCounts_->bytesOut);
    double out = double(logCounts_->bytesIn);
    double events = double(logCounts_->events);
    std::vector<double> lines;
    auto linesOf = [&](const Dispatcher& dispatcher) {
      return double(std::ranges::count(logOf(dispatcher), '\n'));
    };
    for (auto& dispatcher : dispatchers_)
      lines.push_back(-linesOf(*dispatcher));
    double startedAt = secondsNow();
    auto used = cpuShares(step.seconds);
    double dispatcherSeconds = (secondsNow() - startedAt) * double(dispatchers_.size());
    in = (double(logCounts_->bytesOut) - in) / dispatcherSeconds;
    out = (double(logCounts_->bytesIn) - out) / dispatcherSeconds;
    events = double(logCounts_->events) - events;
    if (byChanges) {
      for (double cores : used)
        collector_.add("control.changes.cores", "cores", "changes", speed, cores);
      collector_.add("control.changes.in", "B/s", "changes", speed, in);
      continue;
    }
    std::string base = "control." + speedName(speed);
    addEach(base + ".cores", "cores", used);
    add(base + ".in", "B/s", in);
    add(base + ".out", "B/s", out);
    if (events < 1)
      continue;
    for (size_t i = 0; i < dispatchers_.size(); ++i)
      add("count." + speedName(speed) + ".lines", "log lines an event",
          (lines[i] + linesOf(*dispatchers_[i])) / events);
  }
  changeLog_->order("speed 0");
}

// The cost of idle client connections, at several numbers of them.
void Trial::runConnections(const Step& step) {
  for (int count : step.connectionCounts) {
    double checksBefore = sum(&ClientCounts::checks);
    double brokenBefore = sum(&ClientCounts::broken);
    double wanted = double(count) * double(dispatchers_.size());
    double added = wanted - sum(&ClientCounts::idle);
    for (auto& dispatcher : dispatchers_)
      dispatcher->clients->order("idle " + std::to_string(count));
    for (double end = secondsNow() + kIdleConnectTimeout;; wait(0.1)) {
      if (sum(&ClientCounts::idle) >= wanted && sum(&ClientCounts::checks) >= checksBefore + added)
        break;
      if (secondsNow() > end)
        throw ValidationErrors({"connections: " + std::to_string(count) + " did not come up in 20 s"});
    }
    wait(1);
    auto used = cpuShares(step.seconds);
    for (auto& dispatcher : dispatchers_) {
      ProcessUsage usage = usageOf(dispatcher->pid);
      collector_.add("memory.connections", "MB", "connections", count, usage.anonymous);
      collector_.add("count.connections.descriptors", "open", "connections", count, usage.descriptors);
    }
    for (double cores : used)
      collector_.add("connections.cores", "cores", "connections", count, cores);
    collector_.add("connections.broken", "connections", "connections", count,
                   sum(&ClientCounts::broken) - brokenBefore);
  }
  for (auto& dispatcher : dispatchers_)
    dispatcher->clients->order("idle 0");
  wait(1);
}

// Cost, latency and results of commands in an open loop.
void Trial::runCommands(const Step& step) {
  auto idle = cpuShares(std::min(step.seconds, 3.0));
  startLoad(step);
  wait(std::min(step.seconds, 2.0));
  for (auto& dispatcher : dispatchers_)
    for (auto& count : dispatcher->counts->latency)
      count = 0;
  double faultyBefore = faultyCommands();
  double shedBefore = sum(&ClientCounts::shed);
  double sent = sum(&ClientCounts::sent);
  std::vector<double> answered;
  for (auto& dispatcher : dispatchers_)
    answered.push_back(-double(dispatcher->counts->answered));
  double startedAt = secondsNow();
  auto used = cpuShares(step.seconds);
  double elapsed = secondsNow() - startedAt;
  for (size_t i = 0; i < dispatchers_.size(); ++i) {
    answered[i] += double(dispatchers_[i]->counts->answered);
    if (used[i] > kSaturatedCores)
      collector_.missing.push_back({step.figurePrefix + ".cpu", collector_.variant,
                                    "a dispatcher had no time left: its cost is not told", double(engines_)});
    else if (answered[i] > 0)
      add(step.figurePrefix + ".cpu", "us", (used[i] - idle[i]) * elapsed / answered[i] * 1e6);
    add(step.figurePrefix + ".cores", "cores", used[i]);
    add(step.figurePrefix + ".half", "ms", latencyQuantile(*dispatchers_[i]->counts, 0.5) * 1e3);
    add(step.figurePrefix + ".p99", "ms", latencyQuantile(*dispatchers_[i]->counts, 0.99) * 1e3);
  }
  sent = sum(&ClientCounts::sent) - sent;
  add(step.figurePrefix + ".shed", "of all", sent > 0 ? (sum(&ClientCounts::shed) - shedBefore) / sent : 0);
  add("count." + step.figurePrefix + ".connected", "connections", openToEngines());
  uint32_t mostConnections = 0;
  uint32_t reachedEngines = 0;
  for (auto& engineProcess : engineProcesses_)
    for (auto& count : engineProcess->counts->connections)
      mostConnections = std::max<uint32_t>(mostConnections, count);
  for (auto& engineProcess : engineProcesses_)
    for (auto& count : engineProcess->counts->sends)
      reachedEngines += count > 0;
  add("count." + step.figurePrefix + ".engines", "engines", reachedEngines);
  add("count." + step.figurePrefix + ".callers", "connections at one", mostConnections);
  stopLoad();
  add(step.figurePrefix + ".lost", "commands", faultyCommands() - faultyBefore);
}

// How long an engine still receives commands after the change log has announced that it drains. All commands
// are for one table, and so for one engine as long as it is warm: with many commands the time of the last is
// precise.
void Trial::runDrain(const Step& step) {
  startLoad(step, 1);
  wait(kCommandWarmUp);
  double worst = -1;
  for (int i = 0; i < step.drainCount; ++i) {
    uint32_t engine = busiestEngine();
    auto& lastSend = engineProcesses_[engine % engineProcesses_.size()]->counts->lastSend[engine];
    double eventBefore = logCounts_->lastEventAt;
    double commandInterval = 1 / step.commandRate;
    changeLog_->order("row " + std::to_string(engine) + " 1");
    for (double end = secondsNow() + kEventTimeout;
         logCounts_->lastEventAt == eventBefore && secondsNow() < end;)
      sleepFor(kShortPollInterval);
    double announcedAt = logCounts_->lastEventAt;
    double gap = announcedAt - lastSend;
    wait(std::min(step.seconds, 1.0));
    if (gap < 5 * commandInterval)  // it received commands until the announcement
      worst = std::max({worst, lastSend - announcedAt, 0.0});
    changeLog_->order("row " + std::to_string(engine) + " 0");
    wait(0.2);
  }
  stopLoad();
  if (worst < 0)
    throw ValidationErrors({"drain: no engine that had commands until it was told"});
  add(step.figurePrefix + ".last", "s", worst);
}

// The loss of a whole zone and its return, under load.
void Trial::runZone(const Step& step) {
  startLoad(step);
  wait(kCommandWarmUp);
  auto base = cpuShares(std::min(step.seconds, 3.0));
  const std::string zone = std::to_string(busiestEngine() % kZones) + " " + std::to_string(kZones);
  addEach(step.figurePrefix + ".before.cores", "cores", base);  // under load, as the following ones
  double faultyBefore = faultyCommands();
  double shedBefore = sum(&ClientCounts::shed);
  double sent = sum(&ClientCounts::sent);
  orderEngines("gone " + zone + " 1");
  changeLog_->order("zone " + zone + " 2 1");
  addEach(step.figurePrefix + ".gone.cores", "cores", cpuShares(1));
  addEach(step.figurePrefix + ".away.cores", "cores", worstCpuShares(step.zoneAwaySeconds));
  orderEngines("gone " + zone + " 0");
  changeLog_->order("zone " + zone + " 0 1");
  addEach(step.figurePrefix + ".back.cores", "cores", worstCpuShares(step.seconds));
  sent = sum(&ClientCounts::sent) - sent;
  stopLoad();
  add(step.figurePrefix + ".lost", "commands", faultyCommands() - faultyBefore);
  add(step.figurePrefix + ".shed", "of all", sent > 0 ? (sum(&ClientCounts::shed) - shedBefore) / sent : 0);
}

// Silence of the change log, and its end. During the silence a 64th of all engines begins to drain, so that
// the full list that follows changes something for each dispatcher.
void Trial::runSilent(const Step& step) {
  changeLog_->order("speed 1");
  changeLog_->order("silent 1");
  changeLog_->order("zone 3 64 1 0");
  addEach("silent.cores", "cores", cpuShares(step.seconds));
  changeLog_->order("speed 0");
  wait(0.1);
  double eventBefore = logCounts_->lastEventAt;
  changeLog_->order("silent 0");
  std::vector<double> used;
  for (auto& dispatcher : dispatchers_)
    used.push_back(-cpuSecondsOf(dispatcher->pid));
  double startedAt = secondsNow();
  for (double end = startedAt + kEventTimeout; logCounts_->lastEventAt == eventBefore && secondsNow() < end;)
    sleepFor(kShortPollInterval);
  double announcedAt = logCounts_->lastEventAt;
  const std::string line = "event " + std::to_string(logCounts_->sequence);
  // Whether the log has the line's text with no further digit after it.
  auto isApplied = [&](const std::string& log) {
    for (size_t found = 0; (found = log.find(line, found)) != std::string::npos; found += line.size())
      if (found + line.size() < log.size() &&
          !std::isdigit(static_cast<unsigned char>(log[found + line.size()])))
        return true;
    return false;
  };
  for (auto& dispatcher : dispatchers_) {
    while (!isApplied(logOf(*dispatcher))) {
      if (secondsNow() > announcedAt + kApplyTimeout)
        throw ValidationErrors({"silent: no whole list was applied in 5 s"});
      wait(0.002);
    }
    add("silent.applied", "s", secondsNow() - announcedAt);
  }
  wait(std::max(0.0, startedAt + 1 - secondsNow()));
  double elapsed = secondsNow() - startedAt;
  for (size_t i = 0; i < used.size(); ++i)
    used[i] = (used[i] + cpuSecondsOf(dispatchers_[i]->pid)) / elapsed;
  addEach("silent.back.cores", "cores", used);
  addEach("silent.after.cores", "cores", worstCpuShares(std::min(step.seconds, 3.0)));
  changeLog_->order("zone 3 64 0 0");
}

}  // namespace elmcleat::lab
