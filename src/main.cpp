// elmcleat: the dispatcher. Its command line; wires the parts together and heeds signals.
#include <signal.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>

#include "config/config.h"
#include "config/gateway_config.h"
#include "control/control_thread.h"
#include "runtime/log.h"
#include "runtime/scheduler.h"
#include "serve/discovery.h"
#include "serve/dispatcher.h"
#include "serve/listener.h"
#include "view/engine_subset.h"

namespace elmcleat {
namespace {

struct Options {
  std::string gateway;            // what is ours; empty: nothing of it is on
  std::optional<LogLevel> level;  // wins over the file and the environment
  LogFormat form = LogFormat::text;
  std::vector<std::string> checked;  // files to check, and then to end
};

int signalDescriptor() {
  sigset_t heeded;
  sigemptyset(&heeded);
  for (int one : {SIGTERM, SIGINT, SIGHUP})
    sigaddset(&heeded, one);
  sigprocmask(SIG_BLOCK, &heeded, nullptr);
  signal(SIGPIPE, SIG_IGN);  // a log reader that has gone must not end us
  return signalfd(-1, &heeded, SFD_NONBLOCK | SFD_CLOEXEC);
}

GatewayConfig ownConfig(const Options& options) {
  return options.gateway.empty() ? GatewayConfig{} : readGatewayConfig(options.gateway);
}

// What can change while commands and connections are in hand does: where the list is followed, the level of the
// log, budgets. A file that can't be used changes nothing; each of the two stands for itself.
void readAgain(const Options& options, Discovery& discovery, Dispatcher& dispatcher,
               const GatewayConfig& started) {
  try {
    Config config = readConfig();
    Log::setLevel(options.level.value_or(config.logLevel));
    info() << "configuration: read again";
    discovery.follow(config.changeLogAddress);
  } catch (const std::exception& fault) {
    warn() << "configuration: the old one stays: " << fault.what();
  }
  if (options.gateway.empty())
    return;
  try {
    GatewayConfig own = ownConfig(options);
    dispatcher.updateBudgets(own.budgets);
    if (own.members.has_value() != started.members.has_value())
      warn() << "members: as they were: they are switched at a start alone";
    if (own.subset != started.subset)
      warn() << "view: as it was: it changes at a start alone";
  } catch (const std::exception& fault) {
    warn() << "gateway: the old one stays: " << fault.what();
  }
}

Task heedSignals(const Options& options, const Descriptor& signals, Signal& signal, Discovery& discovery,
                 Dispatcher& dispatcher, Listener& listener, const GatewayConfig& started) {
  for (signalfd_siginfo heard;;) {
    while (read(signals.fd(), &heard, sizeof heard) != sizeof heard)
      co_await signal;
    if (heard.ssi_signo == SIGHUP)
      readAgain(options, discovery, dispatcher, started);
    else
      listener.drain();
  }
}

// What may be used here of shared rates, fifty times a second: a grant of ours waits for this look (ControlThread::acknowledge).
void heedShared(ControlThread& control, Dispatcher& dispatcher, Timer& again, const Clock& clock) {
  again.set(clock.now() + 0.02);
  const ControlSnapshot* told = control.latestQuotas();
  dispatcher.updateQuotas(told->quotas, [&control, number = told->members.number](std::vector<double> wants) {
    control.setDemand(std::move(wants));
    control.acknowledge(number);
  });
}

// All of a fleet must reckon with the same number of dispatchers, or an engine's users differ.
std::unique_ptr<view::EngineSubset> viewOf(const GatewayConfig& own, const Settings& settings) {
  if (!own.subset)
    return nullptr;
  if (own.members && int(own.members->peers.size()) != settings.gatewayCount)
    throw view::Error(view::ErrorKind::dispatcherCountsDiffer,
                      "settings.balancers is " + std::to_string(settings.gatewayCount) +
                          ", members.peers lists " + std::to_string(own.members->peers.size()),
                      "settings.balancers");
  return std::make_unique<view::EngineSubset>(*own.subset, settings);
}

void serve(const Options& options) {
  int heeded = signalDescriptor();  // first of all: no signal ends us from here on
  Log::setFormat(options.form);
  GatewayConfig own = ownConfig(options);
  Config config = readConfig();
  Log::setLevel(options.level.value_or(config.logLevel));
  if (own.members && !config.peersAllowed)
    throw members::Error(members::ErrorKind::peersForbidden,
                         "settings.limits.peers is not true, so members can't be switched on",
                         "members in " + options.gateway);
  // The system may allow fewer than the platform has told us of: the smaller number is the one to keep to.
  if (rlimit held{}; getrlimit(RLIMIT_NOFILE, &held) == 0)
    config.maxDescriptors = std::min<size_t>(config.maxDescriptors, held.rlim_cur);
  auto seen = viewOf(own, config.settings);
  std::optional<Settings> local;
  if (seen)
    local = seen->localSettings();
  Clock clock;
  Scheduler scheduler(clock);
  std::unique_ptr<ControlThread> control;
  std::optional<QuotaSharing> sharing;
  if (own.leases)
    sharing = QuotaSharing{*own.leases, budget::fleetRates(*own.budgets)};
  if (own.members)
    control = std::make_unique<ControlThread>(clock, *own.members, config.name, config.seed, sharing);
  Signal signal(scheduler);
  Descriptor signals(scheduler, heeded, signal);
  Dispatcher dispatcher(scheduler, config.settings, config.seed, own.budgets, local);
  Discovery discovery(scheduler, config, dispatcher, std::move(seen));
  Listener listener(scheduler, config, dispatcher);
  discovery.setEvictor([&listener] { return listener.evictIdle(); });
  dispatcher.start(discovery);
  discovery.start(std::exchange(config.initialEvents, {}));
  std::optional<Timer> look;
  auto heed = [&] { heedShared(*control, dispatcher, *look, clock); };
  if (sharing)
    look.emplace(scheduler, heed), heed();  // in force before the first command is taken
  listener.open();
  Task heeding = heedSignals(options, signals, signal, discovery, dispatcher, listener, own);
  heeding.start();
  if (control)
    control->watch(scheduler);
  info() << config.name << ": listens on " << formatAddress(config.listenAddress);
  scheduler.run();
  if (control && !control->stop()) {
    warn() << "members: the control thread hangs; ends without it";
    std::_Exit(EXIT_SUCCESS);
  }
}

// All faults of all files, a line each on standard output; 1 if there are any.
int check(const std::vector<std::string>& paths) {
  std::vector<std::string> errors;
  for (auto& path : paths)
    try {
      Json document = readJson(path);
      // The platform's file names what it is for; all else is ours.
      bool platforms = document.is_object() && (document.contains("settings") || document.contains("listen"));
      if (platforms)
        readConfig(document);
      else
        readGatewayConfig(document, path);
    } catch (const ValidationErrors& found) {
      errors.insert(errors.end(), found.messages.begin(), found.messages.end());
    } catch (const std::exception& fault) {
      errors.push_back(path + ": " + fault.what());
    }
  for (auto& fault : errors)
    std::cout << fault << '\n';
  if (errors.empty())
    std::cout << paths.size() << (paths.size() == 1 ? " file is" : " files are") << " sound\n";
  return errors.empty() ? 0 : 1;
}

int run(int count, char** words) {
  CLI::App app("elmcleat: decides what runs, where and with how much memory");
  Options options;
  app.set_version_flag("--version", "elmcleat " ELMCLEAT_VERSION);
  app.add_option("--gateway", options.gateway,
                 "what is ours: budgets and more (see schemas/gateway.schema.json)")
      ->type_name("FILE");
  app.add_option("--log-level", options.level, "the least level that is logged; wins over the configuration")
      ->transform(CLI::CheckedTransformer(std::map<std::string, LogLevel>{{"debug", LogLevel::debug},
                                                                          {"info", LogLevel::info},
                                                                          {"warn", LogLevel::warn},
                                                                          {"error", LogLevel::error}}));
  app.add_option("--log-format", options.form, "text, or an object of JSON a line")
      ->transform(CLI::CheckedTransformer(
          std::map<std::string, LogFormat>{{"text", LogFormat::text}, {"json", LogFormat::json}}));
  app.add_subcommand("serve", "serve, with the configuration that PROXY_CONFIG names (the default)");
  auto* checking =
      app.add_subcommand("check", "look for faults in files, and end: status 1 if there are any");
  checking->add_option("FILE", options.checked, "a configuration, or a gateway file")->required();
  app.require_subcommand(0, 1);
  CLI11_PARSE(app, count, words);
  if (checking->parsed())
    return check(options.checked);
  serve(options);
  return 0;
}

}  // namespace
}  // namespace elmcleat

int main(int count, char** words) {
  try {
    return elmcleat::run(count, words);
  } catch (const elmcleat::ValidationErrors& errors) {
    for (auto& line : errors.messages)
      std::cerr << "elmcleat: " << line << std::endl;
  } catch (const std::exception& fault) {
    std::cerr << "elmcleat: " << fault.what() << std::endl;
  }
  return 1;
}
