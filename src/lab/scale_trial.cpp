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
constexpr double kBusy = 0.9;  // of a core: who does more has no time left, and its work is cut
constexpr double kUp = 60;     // seconds in which all dispatchers must be ready

Address ownAddress(uint32_t number, uint16_t port) {  // on loopback: each run has others
  return {0x7f800000u | (static_cast<uint32_t>(getpid()) & 0x3fffu) << 6 | number, port};
}

void sleepFor(double span) { usleep(useconds_t(std::max(span, 0.0) * 1e6)); }

bool answersCheck(const Address& address) {  // by 200
  sockaddr_in to = toSockaddr(address);
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval limit{5, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  const std::string ask = "GET /check HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n";
  char head[16] = {};
  bool well = connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0 &&
              send(fd, ask.data(), ask.size(), MSG_NOSIGNAL) > 0 && recv(fd, head, 15, 0) >= 12 &&
              std::string(head).starts_with("HTTP/1.1 200");
  ::close(fd);
  return well;
}

// As the program's last line on its view has it: "... USED of LISTED in use ...".
std::optional<double> inView(const std::string& log) {
  size_t end = log.rfind(" in use, reach");
  if (end == std::string::npos)
    return std::nullopt;
  size_t at = log.rfind(": ", end);
  return std::strtod(log.c_str() + at + 2, nullptr);
}

std::string speedName(double speed) {
  std::ostringstream text;
  text << 'x' << speed;
  return text.str();
}

}  // namespace

void FigureCollector::add(const std::string& figure, const std::string& unit, const std::string& xName,
                          double x, double y) {
  auto at = std::ranges::find_if(
      all_, [&](const Taken& one) { return one.of.name == figure && one.of.variant == variant; });
  if (at == all_.end()) {
    Figure of;
    of.name = figure, of.variant = variant, of.unit = unit, of.xName = xName;
    at = all_.insert(at, Taken{of, {}});
  }
  at->values[x].push_back(y);
}

std::vector<Figure> FigureCollector::figures(const ScalePlan& plan) const {
  std::vector<Figure> figures;
  for (auto& taken : all_) {
    Figure& one = figures.emplace_back(taken.of);
    for (auto& [x, repeats] : taken.values)
      one.take(x, repeats);
    if (auto at = plan.targets.find(one.xName); at != plan.targets.end())
      one.target = at->second;
    if (auto at = plan.limits.find(one.name); at != plan.limits.end())
      one.limit = at->second;
  }
  std::ranges::stable_sort(figures, {}, [](const Figure& one) { return std::tie(one.name, one.variant); });
  return figures;
}

Trial::Trial(const ScalePlan& plan, const std::string& program, const ScaleFolder& folder,
             ScaleBounds& bounds, FigureCollector& found, int engines, const Json& gateway)
    : plan_(plan), program_(program), folder_(folder), bounds_(bounds), found_(found), engines_(engines) {
  for (int i = 0; i < plan.real; ++i) {
    int listener = listenAnywhere();
    ports_.push_back(portOf(listener));
    auto& its = *servers_.emplace_back(std::make_unique<Servers>());
    its.child = std::make_unique<Child>(
        [&its, listener](int orders) { serveEngines(listener, orders, *its.counts); });
    ::close(listener);
    bounds_.processes.insert(its.child->pid());
  }
  int listener = listenOn(ownAddress(0, 0));
  Address changeLog = ownAddress(0, portOf(listener));
  changeLog_ = std::make_unique<Child>([this, listener](int orders) {
    serveChangeLog(listener, orders, {uint32_t(engines_), kZones, 1, ports_}, *log_);
  });
  ::close(listener);
  bounds_.processes.insert(changeLog_->pid());
  for (int i = 0; i < plan.real; ++i) {
    auto& its = *real_.emplace_back(std::make_unique<Real>());
    its.at = ownAddress(uint32_t(i) + 1, 4100), its.log = folder_.path + "/" + std::to_string(i) + ".log";
    its.clients =
        std::make_unique<Child>([&its](int orders) { serveClients(its.at, orders, "quick", *its.counts); });
    bounds_.processes.insert(its.clients->pid());
    std::ofstream(folder_.path + "/" + std::to_string(i) + ".json") << configFor(i, changeLog).dump();
  }
  double began = secondsNow();
  for (int i = 0; i < plan.real; ++i)
    start(i, gateway);
  awaitReady(began);
}

Trial::~Trial() {
  for (auto& one : real_)
    if (one->pid > 0)
      ::kill(one->pid, SIGKILL), waitpid(one->pid, nullptr, 0);
  bounds_.processes.clear();
}

Json Trial::configFor(int dispatcher, const Address& changeLog) const {
  Json hosts = Json::array(), zones = Json::array();
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
  int dispatchers =
      plan_.dispatchers.value_or(std::max(plan_.real, int(std::lround(engines_ / plan_.enginesEach))));
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
      {"listen", formatAddress(real_[size_t(dispatcher)]->at)},
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
  Real& its = *real_[size_t(dispatcher)];
  pid_t parent = getpid();
  its.pid = fork();
  if (its.pid < 0)
    throw ValidationErrors({"no process for a dispatcher"});
  if (its.pid == 0) {
    endWith(parent, 0);
    int log = open(its.log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    dup2(log, 2), dup2(log, 1);
    setenv("PROXY_CONFIG", (base + ".json").c_str(), 1);
    for (const char* name : {"PROXY_LISTEN", "PROXY_NAME", "ELMCLEAT_LOG"})
      unsetenv(name);
    std::string own = base + ".gateway.json";
    if (gateway.is_null())
      execl(program_.c_str(), program_.c_str(), nullptr);
    else
      execl(program_.c_str(), program_.c_str(), "--gateway", own.c_str(), nullptr);
    _exit(99);
  }
  bounds_.processes.insert(its.pid);
}

void Trial::awaitReady(double began) {
  std::vector<bool> ready(real_.size());
  while (std::ranges::find(ready, false) != ready.end()) {
    for (size_t i = 0; i < real_.size(); ++i)
      if (!ready[i] && answersCheck(real_[i]->at))
        ready[i] = true, add("ready", "s", secondsNow() - began);
    wait(0.002);
    if (secondsNow() > began + kUp)
      throw ValidationErrors({"not ready after " + std::to_string(int(kUp)) + " s"});
  }
}

void Trial::wait(double seconds) {
  for (double end = secondsNow() + seconds;;) {
    bounds_.check();
    for (auto& one : real_)
      if (int status = 0; waitpid(one->pid, &status, WNOHANG) == one->pid) {
        one->pid = 0;
        std::string log = logOf(*one);
        throw ValidationErrors({"a dispatcher ended, status " + std::to_string(status) + ": " +
                                log.substr(log.size() - std::min<size_t>(log.size(), 300))});
      }
    double left = end - secondsNow();
    if (left <= 0)
      return;
    sleepFor(std::min(left, 0.25));
  }
}

std::string Trial::logOf(const Real& real) const {
  std::stringstream text;
  text << std::ifstream(real.log).rdbuf();
  return text.str();
}

void Trial::play(const Step& step) {
  if (step.what == "quiet" || step.what == "changes")
    quiet(step, step.what == "changes");
  else if (step.what == "connections")
    connections(step);
  else if (step.what == "commands")
    commands(step);
  else if (step.what == "drain")
    drain(step);
  else if (step.what == "zone")
    zone(step);
  else
    silent(step);
}

// --- what is read
std::vector<double> Trial::cpu(double seconds) {
  std::vector<double> used;
  double began = secondsNow();
  for (auto& one : real_)
    used.push_back(-cpuOf(one->pid));
  wait(seconds);
  double span = secondsNow() - began;
  for (size_t i = 0; i < used.size(); ++i)
    used[i] = (used[i] + cpuOf(real_[i]->pid)) / span;
  return used;
}
std::vector<double> Trial::worst(double seconds) {
  std::vector<double> most(real_.size());
  double end = secondsNow() + seconds - 0.5;
  do {
    auto second = cpu(1);
    for (size_t i = 0; i < most.size(); ++i)
      most[i] = std::max(most[i], second[i]);
  } while (secondsNow() < end);
  return most;
}
double Trial::sum(std::atomic<uint64_t> ClientCounts::*count) const {
  double all = 0;
  for (auto& one : real_)
    all += double(((*one->counts).*count).load());
  return all;
}
double Trial::faulty() const {
  return sum(&ClientCounts::lost) + sum(&ClientCounts::wrong) + sum(&ClientCounts::failed);
}
double Trial::openToEngines() const {
  double all = 0;
  for (auto& one : servers_)
    all += double(one->counts->open.load());
  return all / double(real_.size());
}
uint32_t Trial::busiest() {  // from now on, for a while
  auto sends = [&](uint32_t i) -> uint32_t { return servers_[i % servers_.size()]->counts->sends[i]; };
  std::vector<uint32_t> had;
  for (uint32_t i = 0; i < uint32_t(engines_); ++i)
    had.push_back(sends(i));
  wait(0.3);
  uint32_t best = 0;
  for (uint32_t i = 0; i < uint32_t(engines_); ++i)
    if (sends(i) - had[i] > sends(best) - had[best])
      best = i;
  return best;
}
void Trial::tellEngines(const std::string& order) const {
  for (auto& one : servers_)
    one->child->tell(order);
}
void Trial::load(const Step& step, int tables) {
  tellEngines("work " + std::to_string(step.work));
  for (auto& one : real_)
    one->clients->tell("rate " + std::to_string(step.rate) + " " + std::to_string(tables));
}
void Trial::over() {
  for (auto& one : real_)
    one->clients->tell("rate 0 1");
  wait(0.7);
}

// --- steps
void Trial::quiet(const Step& step, bool byChanges) {
  for (double speed : step.speeds) {
    changeLog_->tell("speed " + std::to_string(speed));
    wait(0.5);
    if (speed == 0 && !byChanges)
      for (auto& one : real_) {
        Usage usage = usageOf(one->pid);
        add("memory.engines", "MB", usage.anonymous), add("memory.engines.peak", "MB", usage.peak);
        add("count.descriptors", "open", usage.descriptors), add("count.threads", "threads", usage.threads);
        if (auto used = inView(logOf(*one)))
          add("count.view", "engines in view", *used);
      }
    double in = double(log_->bytesOut), out = double(log_->bytesIn), events = double(log_->events);
    std::vector<double> lines;
    auto linesOf = [&](const Real& one) { return double(std::ranges::count(logOf(one), '\n')); };
    for (auto& one : real_)
      lines.push_back(-linesOf(*one));
    double began = secondsNow();
    auto used = cpu(step.seconds);
    double span = (secondsNow() - began) * double(real_.size());
    in = (double(log_->bytesOut) - in) / span, out = (double(log_->bytesIn) - out) / span;
    events = double(log_->events) - events;
    if (byChanges) {
      for (double one : used)
        found_.add("control.changes.cores", "cores", "changes", speed, one);
      found_.add("control.changes.in", "B/s", "changes", speed, in);
      continue;
    }
    std::string base = "control." + speedName(speed);
    addEach(base + ".cores", "cores", used);
    add(base + ".in", "B/s", in), add(base + ".out", "B/s", out);
    if (events < 1)
      continue;
    for (size_t i = 0; i < real_.size(); ++i)
      add("count." + speedName(speed) + ".lines", "log lines an event",
          (lines[i] + linesOf(*real_[i])) / events);
  }
  changeLog_->tell("speed 0");
}

void Trial::connections(const Step& step) {
  for (int count : step.counts) {
    double checks = sum(&ClientCounts::checks), broken = sum(&ClientCounts::broken);
    double all = double(count) * double(real_.size()), more = all - sum(&ClientCounts::idle);
    for (auto& one : real_)
      one->clients->tell("idle " + std::to_string(count));
    for (double end = secondsNow() + 20;; wait(0.1)) {
      if (sum(&ClientCounts::idle) >= all && sum(&ClientCounts::checks) >= checks + more)
        break;
      if (secondsNow() > end)
        throw ValidationErrors({"connections: " + std::to_string(count) + " did not come up in 20 s"});
    }
    wait(1);
    auto used = cpu(step.seconds);
    for (auto& one : real_) {
      Usage usage = usageOf(one->pid);
      found_.add("memory.connections", "MB", "connections", count, usage.anonymous);
      found_.add("count.connections.descriptors", "open", "connections", count, usage.descriptors);
    }
    for (double one : used)
      found_.add("connections.cores", "cores", "connections", count, one);
    found_.add("connections.broken", "connections", "connections", count,
               sum(&ClientCounts::broken) - broken);
  }
  for (auto& one : real_)
    one->clients->tell("idle 0");
  wait(1);
}

void Trial::commands(const Step& step) {
  auto idle = cpu(std::min(step.seconds, 3.0));
  load(step);
  wait(std::min(step.seconds, 2.0));
  for (auto& one : real_)
    for (auto& count : one->counts->latency)
      count = 0;
  double bad = faulty(), shed = sum(&ClientCounts::shed), asked = sum(&ClientCounts::asked);
  std::vector<double> answered;
  for (auto& one : real_)
    answered.push_back(-double(one->counts->answered));
  double began = secondsNow();
  auto used = cpu(step.seconds);
  double span = secondsNow() - began;
  for (size_t i = 0; i < real_.size(); ++i) {
    answered[i] += double(real_[i]->counts->answered);
    if (used[i] > kBusy)
      found_.missing.push_back({step.name + ".cpu", found_.variant,
                                "a dispatcher had no time left: its cost is not told", double(engines_)});
    else if (answered[i] > 0)
      add(step.name + ".cpu", "us", (used[i] - idle[i]) * span / answered[i] * 1e6);
    add(step.name + ".cores", "cores", used[i]);
    add(step.name + ".half", "ms", latencyAt(*real_[i]->counts, 0.5) * 1e3);
    add(step.name + ".p99", "ms", latencyAt(*real_[i]->counts, 0.99) * 1e3);
  }
  asked = sum(&ClientCounts::asked) - asked;
  add(step.name + ".shed", "of all", asked > 0 ? (sum(&ClientCounts::shed) - shed) / asked : 0);
  add("count." + step.name + ".connected", "connections", openToEngines());
  uint32_t most = 0, reached = 0;
  for (auto& one : servers_)
    for (auto& count : one->counts->connections)
      most = std::max<uint32_t>(most, count);
  for (auto& one : servers_)
    for (auto& count : one->counts->sends)
      reached += count > 0;
  add("count." + step.name + ".engines", "engines", reached),
      add("count." + step.name + ".callers", "connections at one", most);
  over();
  add(step.name + ".lost", "commands", faulty() - bad);
}

// All commands are for one table, and so for one engine as long as it is warm: many tell well when the last
// was sent.
void Trial::drain(const Step& step) {
  load(step, 1);
  wait(1.5);
  double worst = -1;
  for (int i = 0; i < step.times; ++i) {
    uint32_t engine = busiest();
    auto& lastSend = servers_[engine % servers_.size()]->counts->lastSend[engine];
    double before = log_->toldAt, each = 1 / step.rate;
    changeLog_->tell("row " + std::to_string(engine) + " 1");
    for (double end = secondsNow() + 2; log_->toldAt == before && secondsNow() < end;)
      sleepFor(0.001);
    double told = log_->toldAt, gap = told - lastSend;
    wait(std::min(step.seconds, 1.0));
    if (gap < 5 * each)
      worst = std::max({worst, lastSend - told, 0.0});  // it had commands until then
    changeLog_->tell("row " + std::to_string(engine) + " 0");
    wait(0.2);
  }
  over();
  if (worst < 0)
    throw ValidationErrors({"drain: no engine that had commands until it was told"});
  add(step.name + ".last", "s", worst);
}

void Trial::zone(const Step& step) {
  load(step);
  wait(1.5);
  auto base = cpu(std::min(step.seconds, 3.0));
  const std::string one = std::to_string(busiest() % kZones) + " " + std::to_string(kZones);
  addEach(step.name + ".before.cores", "cores", base);  // with the commands, as those that follow
  double bad = faulty(), shed = sum(&ClientCounts::shed), asked = sum(&ClientCounts::asked);
  tellEngines("gone " + one + " 1");
  changeLog_->tell("zone " + one + " 2 1");
  addEach(step.name + ".gone.cores", "cores", cpu(1));
  addEach(step.name + ".away.cores", "cores", worst(step.away));
  tellEngines("gone " + one + " 0");
  changeLog_->tell("zone " + one + " 0 1");
  addEach(step.name + ".back.cores", "cores", worst(step.seconds));
  asked = sum(&ClientCounts::asked) - asked;
  over();
  add(step.name + ".lost", "commands", faulty() - bad);
  add(step.name + ".shed", "of all", asked > 0 ? (sum(&ClientCounts::shed) - shed) / asked : 0);
}

// While it is silent some engines begin to drain, a 64th of all: the whole list that follows is one that
// changes something for each dispatcher.
void Trial::silent(const Step& step) {
  changeLog_->tell("speed 1");
  changeLog_->tell("silent 1");
  changeLog_->tell("zone 3 64 1 0");
  addEach("silent.cores", "cores", cpu(step.seconds));
  changeLog_->tell("speed 0");
  wait(0.1);
  double before = log_->toldAt;
  changeLog_->tell("silent 0");
  std::vector<double> used;
  for (auto& one : real_)
    used.push_back(-cpuOf(one->pid));
  double began = secondsNow();
  for (double end = began + 2; log_->toldAt == before && secondsNow() < end;)
    sleepFor(0.001);
  double told = log_->toldAt;
  const std::string line = "event " + std::to_string(log_->number);
  auto applied = [&](const std::string& log) {
    for (size_t at = 0; (at = log.find(line, at)) != std::string::npos; at += line.size())
      if (at + line.size() < log.size() && !std::isdigit(static_cast<unsigned char>(log[at + line.size()])))
        return true;
    return false;
  };
  for (auto& one : real_) {
    while (!applied(logOf(*one))) {
      if (secondsNow() > told + 5)
        throw ValidationErrors({"silent: no whole list was applied in 5 s"});
      wait(0.002);
    }
    add("silent.applied", "s", secondsNow() - told);
  }
  wait(std::max(0.0, began + 1 - secondsNow()));
  double span = secondsNow() - began;
  for (size_t i = 0; i < used.size(); ++i)
    used[i] = (used[i] + cpuOf(real_[i]->pid)) / span;
  addEach("silent.back.cores", "cores", used);
  addEach("silent.after.cores", "cores", worst(std::min(step.seconds, 3.0)));
  changeLog_->tell("zone 3 64 0 0");
}

}  // namespace elmcleat::lab
