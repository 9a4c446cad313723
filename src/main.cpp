// The gateway program: parses the command line, creates and connects the parts, and handles signals. SIGTERM
// and SIGINT start a graceful shutdown, SIGHUP reloads the configuration.
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

// How often quotas of shared rates are refreshed.
constexpr double kQuotaRefreshSeconds = 0.02;

struct Options {
  std::string gatewayFile;           // empty: none, and nothing that it configures is enabled
  std::optional<LogLevel> logLevel;  // takes precedence over the file and the environment
  LogFormat logFormat = LogFormat::text;
  std::vector<std::string> checkFiles;  // of the command `check`
};

// Blocks the signals that are handled and returns a signalfd for them.
int openSignalDescriptor() {
  sigset_t handled;
  sigemptyset(&handled);
  for (int number : {SIGTERM, SIGINT, SIGHUP})
    sigaddset(&handled, number);
  sigprocmask(SIG_BLOCK, &handled, nullptr);
  signal(SIGPIPE, SIG_IGN);  // a log reader that has exited must not end the process
  return signalfd(-1, &handled, SFD_NONBLOCK | SFD_CLOEXEC);
}

GatewayConfig loadGatewayConfig(const Options& options) {
  return options.gatewayFile.empty() ? GatewayConfig{} : readGatewayConfig(options.gatewayFile);
}

// Applies what can change while commands and connections are open: the address of the change log, the log
// level, and budgets. The two files are independent of each other; one that can't be used changes nothing.
void reloadConfig(const Options& options, Discovery& discovery, Dispatcher& dispatcher,
                  const GatewayConfig& startConfig) {
  try {
    Config config = readConfig();
    Log::setLevel(options.logLevel.value_or(config.logLevel));
    info() << "configuration: reloaded";
    discovery.follow(config.changeLogAddress);
  } catch (const std::exception& error) {
    warn() << "configuration: unchanged: " << error.what();
  }
  if (options.gatewayFile.empty())
    return;
  try {
    GatewayConfig gatewayConfig = loadGatewayConfig(options);
    dispatcher.updateBudgets(gatewayConfig.budgets);
    if (gatewayConfig.members.has_value() != startConfig.members.has_value())
      warn() << "members: unchanged: they can't be switched on or off without a restart";
    if (gatewayConfig.subset != startConfig.subset)
      warn() << "view: unchanged: it can't be changed without a restart";
  } catch (const std::exception& error) {
    warn() << "gateway: unchanged: " << error.what();
  }
}

Task handleSignals(const Options& options, const Descriptor& signalDescriptor, Signal& signal,
                   Discovery& discovery, Dispatcher& dispatcher, Listener& listener,
                   const GatewayConfig& startConfig) {
  for (signalfd_siginfo received;;) {
    while (read(signalDescriptor.fd(), &received, sizeof received) != sizeof received)
      co_await signal;
    if (received.ssi_signo == SIGHUP)
      reloadConfig(options, discovery, dispatcher, startConfig);
    else
      listener.drain();
  }
}

// Passes the quotas of shared rates from the control thread to the dispatcher, and the demand back, fifty
// times a second. The control thread sends a grant only after the dispatcher has acknowledged the
// snapshot that accounts for it (ControlThread::acknowledge).
void refreshQuotas(ControlThread& control, Dispatcher& dispatcher, Timer& refreshTimer, const Clock& clock) {
  refreshTimer.set(clock.now() + kQuotaRefreshSeconds);
  const ControlSnapshot* snapshot = control.latestQuotas();
  dispatcher.updateQuotas(snapshot->quotas,
                          [&control, number = snapshot->members.number](std::vector<double> demand) {
                            control.setDemand(std::move(demand));
                            control.acknowledge(number);
                          });
}

// All gateways of a fleet have to use the same number of gateways, or they disagree on which of them use an
// engine.
std::unique_ptr<view::EngineSubset> createSubset(const GatewayConfig& gatewayConfig,
                                                 const Settings& settings) {
  if (!gatewayConfig.subset)
    return nullptr;
  if (gatewayConfig.members && int(gatewayConfig.members->peers.size()) != settings.gatewayCount)
    throw view::Error(view::ErrorKind::dispatcherCountsDiffer,
                      "settings.balancers is " + std::to_string(settings.gatewayCount) +
                          ", members.peers lists " + std::to_string(gatewayConfig.members->peers.size()),
                      "settings.balancers");
  return std::make_unique<view::EngineSubset>(*gatewayConfig.subset, settings);
}

// Runs the gateway until it is shut down by a signal.
void serve(const Options& options) {
  int signalFd = openSignalDescriptor();  // first, so that no signal ends the process from here on
  Log::setFormat(options.logFormat);

  // Configuration
  GatewayConfig gatewayConfig = loadGatewayConfig(options);
  Config config = readConfig();
  Log::setLevel(options.logLevel.value_or(config.logLevel));
  if (gatewayConfig.members && !config.peersAllowed)
    throw members::Error(members::ErrorKind::peersForbidden,
                         "settings.limits.peers is not true, so members can't be switched on",
                         "members in " + options.gatewayFile);
  // The system may allow fewer descriptors than the platform's configuration says: the smaller number holds.
  if (rlimit limit{}; getrlimit(RLIMIT_NOFILE, &limit) == 0)
    config.maxDescriptors = std::min<size_t>(config.maxDescriptors, limit.rlim_cur);
  auto subset = createSubset(gatewayConfig, config.settings);
  std::optional<Settings> localSettings;
  if (subset)
    localSettings = subset->localSettings();

  // The parts
  Clock clock;
  Scheduler scheduler(clock);
  std::unique_ptr<ControlThread> control;
  std::optional<QuotaSharing> sharing;
  if (gatewayConfig.leases)
    sharing = QuotaSharing{*gatewayConfig.leases, budget::fleetRates(*gatewayConfig.budgets)};
  if (gatewayConfig.members)
    control =
        std::make_unique<ControlThread>(clock, *gatewayConfig.members, config.name, config.seed, sharing);
  Signal signal(scheduler);
  Descriptor signalDescriptor(scheduler, signalFd, signal);
  Dispatcher dispatcher(scheduler, config.settings, config.seed, gatewayConfig.budgets, localSettings);
  Discovery discovery(scheduler, config, dispatcher, std::move(subset));
  Listener listener(scheduler, config, dispatcher);
  discovery.setEvictor([&listener] { return listener.evictIdle(); });

  // Start
  dispatcher.start(discovery);
  discovery.start(std::exchange(config.initialEvents, {}));
  std::optional<Timer> quotaTimer;
  auto refresh = [&] { refreshQuotas(*control, dispatcher, *quotaTimer, clock); };
  if (sharing) {
    quotaTimer.emplace(scheduler, refresh);
    refresh();  // quotas apply before the first command is accepted
  }
  listener.open();
  Task signalTask =
      handleSignals(options, signalDescriptor, signal, discovery, dispatcher, listener, gatewayConfig);
  signalTask.start();
  if (control)
    control->watch(scheduler);
  info() << config.name << ": listens on " << formatAddress(config.listenAddress);
  scheduler.run();

  // Stop
  if (control && !control->stop()) {
    warn() << "members: the control thread does not stop; exiting without it";
    std::_Exit(EXIT_SUCCESS);
  }
}

// Validates the files and prints all errors, one a line; returns the exit status: 1 if there are any.
int check(const std::vector<std::string>& paths) {
  std::vector<std::string> errors;
  for (auto& path : paths)
    try {
      Json document = readJson(path);
      // The platform's configuration has one of these keys; any other file is a gateway file.
      bool isPlatformConfig =
          document.is_object() && (document.contains("settings") || document.contains("listen"));
      if (isPlatformConfig)
        readConfig(document);
      else
        readGatewayConfig(document, path);
    } catch (const ValidationErrors& found) {
      errors.insert(errors.end(), found.messages.begin(), found.messages.end());
    } catch (const std::exception& error) {
      errors.push_back(path + ": " + error.what());
    }
  for (auto& error : errors)
    std::cout << error << '\n';
  if (errors.empty())
    std::cout << paths.size() << (paths.size() == 1 ? " file is" : " files are") << " valid\n";
  return errors.empty() ? 0 : 1;
}

int run(int argumentCount, char** arguments) {
  CLI::App app("elmcleat: decides what runs, where and with how much memory");
  Options options;
  app.set_version_flag("--version", "elmcleat " ELMCLEAT_VERSION);
  app.add_option("--gateway", options.gatewayFile,
                 "gateway file: budgets, members, view, shared (see schemas/gateway.schema.json)")
      ->type_name("FILE");
  app.add_option("--log-level", options.logLevel, "minimum level that is logged; overrides the configuration")
      ->transform(CLI::CheckedTransformer(std::map<std::string, LogLevel>{{"debug", LogLevel::debug},
                                                                          {"info", LogLevel::info},
                                                                          {"warn", LogLevel::warn},
                                                                          {"error", LogLevel::error}}));
  app.add_option("--log-format", options.logFormat, "text, or one JSON object a line")
      ->transform(CLI::CheckedTransformer(
          std::map<std::string, LogFormat>{{"text", LogFormat::text}, {"json", LogFormat::json}}));
  app.add_subcommand("serve", "serve, with the configuration that PROXY_CONFIG names (the default)");
  auto* checkCommand = app.add_subcommand("check", "validate files and exit; status 1 if there are errors");
  checkCommand->add_option("FILE", options.checkFiles, "platform configuration or gateway file")->required();
  app.require_subcommand(0, 1);
  CLI11_PARSE(app, argumentCount, arguments);
  if (checkCommand->parsed())
    return check(options.checkFiles);
  serve(options);
  return 0;
}

}  // namespace
}  // namespace elmcleat

int main(int argumentCount, char** arguments) {
  try {
    return elmcleat::run(argumentCount, arguments);
  } catch (const elmcleat::ValidationErrors& errors) {
    for (auto& line : errors.messages)
      std::cerr << "elmcleat: " << line << std::endl;
  } catch (const std::exception& error) {
    std::cerr << "elmcleat: " << error.what() << std::endl;
  }
  return 1;
}
