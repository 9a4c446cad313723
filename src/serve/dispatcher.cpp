#include "serve/dispatcher.h"

#include <algorithm>
#include <utility>

#include "protocol/http.h"
#include "runtime/log.h"

namespace elmcleat {

Dispatcher::Dispatcher(Scheduler& scheduler, const Settings& settings, uint64_t seed,
                       const std::optional<budget::BudgetSettings>& budgetSettings,
                       const std::optional<Settings>& localSettings)
    : scheduler_(scheduler),
      signal_(scheduler),
      mailbox_(signal_),
      wakeUp_(scheduler, [this] { signal_.raise(); }),
      budgets_(budgetSettings
                   ? std::make_unique<budget::TreeScheduler>(*budgetSettings, settings.gatewayCount)
                   : nullptr),
      policy_(createPolicy(localSettings.value_or(settings), seed, *this, budgets_.get())) {
  if (budgetSettings)
    actorHeader_ = toLower(budgetSettings->actorHeader);
}

void Dispatcher::start(EngineRouter& engines) {
  engines_ = &engines;
  task_ = run();
  task_.start();
}

Task Dispatcher::run() {
  while (true) {
    co_await signal_;
    policy_->advanceTo(scheduler_.now());
    mailbox_.runAll();
    policy_->decide();
    for (auto& context : std::exchange(finishedInBatch_, {}))
      removeIfFinished(context);
  }
}

// --- from client connections
SubmitResult Dispatcher::submit(const std::shared_ptr<RequestContext>& context) {
  if (context->request.retrySafety != RetrySafety::replayable &&
      executedCommands_.contains(context->request.id, scheduler_.now()))
    return SubmitResult::alreadyRun;
  if (!contextsById_.emplace(context->request.id, context).second)
    return SubmitResult::inFlight;
  mailbox_.post([this, context] {
    CommandRequest& request = context->request;
    request.clientDeadline = std::min(request.clientDeadline, drainDeadline_);
    double remainingTime = std::max(0.0, request.clientDeadline - scheduler_.now());
    context->command =
        policy_->submit({request.profile, request.tenant, request.tableGroup, request.orderingKey,
                         request.estimatedWork, request.estimatedMemoryMb, remainingTime, request.users});
    contexts_.emplace(context->command.get(), context);
  });
  return SubmitResult::accepted;
}

// The responder is cleared at once, because it may not outlive this call; the module is informed in the next
// batch.
void Dispatcher::withdraw(const std::shared_ptr<RequestContext>& context) {
  context->responder = nullptr;
  mailbox_.post([this, context] {
    if (std::exchange(context->finished, true))
      return;
    if (context->sendInFlight)
      engines_->withdraw(sendsInFlight_.at(context->command.get()), context);
    context->command->withdrawn();
    removeIfFinished(context);
  });
}

bool Dispatcher::withdraw(const std::string& id) {
  auto found = contextsById_.find(id);
  if (found == contextsById_.end() || found->second->finished)
    return false;
  auto context = found->second;
  if (context->responder)
    context->responder->abandon();
  withdraw(context);
  return true;
}

void Dispatcher::drain(double deadline) {
  mailbox_.post([this, deadline] {
    drainDeadline_ = deadline;
    for (auto& [command, context] : contexts_) {
      if (context->finished || context->request.clientDeadline <= deadline)
        continue;
      context->request.clientDeadline = deadline;
      context->command->shortenDeadline(deadline);
      if (context->sendInFlight)
        engines_->shortenDeadline(sendsInFlight_.at(command), context);
    }
  });
}

// Budgets can change but not be added or removed: queued commands are in the order of the one queue or the
// other.
void Dispatcher::updateBudgets(const std::optional<budget::BudgetSettings>& budgetSettings) {
  if (budgetSettings.has_value() != (budgets_ != nullptr)) {
    warn() << "budgets: unchanged: they can't be switched on or off without a restart";
  } else if (budgetSettings && budgets_->hasSharedQuotas() &&
             budget::fleetRates(*budgetSettings) != budget::fleetRates(budgets_->tree().settings())) {
    warn() << "budgets: unchanged: shared rates can't be changed without a restart";
  } else if (budgetSettings) {
    mailbox_.post([this, budgetSettings = *budgetSettings] {
      budgets_->reconfigure(budgetSettings);
      actorHeader_ = toLower(budgetSettings.actorHeader);
      info() << "budgets: changed, " << budgetSettings.entries.size() << " nodes";
    });
  }
}

void Dispatcher::updateQuotas(std::vector<shared::AvailableQuota> quotas,
                              std::function<void(std::vector<double>)> reportDemand) {
  mailbox_.post([this, quotas = std::move(quotas), reportDemand = std::move(reportDemand)]() mutable {
    budgets_->setQuotas(std::move(quotas));
    reportDemand(budgets_->demand());
  });
}

// --- from engines and discovery
void Dispatcher::sendFinished(const std::shared_ptr<RequestContext>& context, Outcome outcome, double took,
                              std::optional<ResourceUsage> usage, std::optional<LoadReport> loadReport,
                              std::optional<std::string> rows) {
  mailbox_.post([this, context, outcome, took, usage, loadReport, rows = std::move(rows)]() mutable {
    context->sendInFlight = false;
    context->mayHaveRun |= mayHaveRun(outcome);
    sendsInFlight_.erase(context->command.get());
    if (outcome == Outcome::answered && !context->finished) {
      context->finished = true;
      respond(*context, {Response::Kind::served, std::move(*rows), 0});
    }
    context->command->sendFinished(outcome, took, context->finished, usage ? &*usage : nullptr,
                                   loadReport ? &*loadReport : nullptr);
    removeIfFinished(context);
  });
}

void Dispatcher::statusReported(const std::shared_ptr<RequestContext>& context, StatusTopic topic,
                                double level) {
  mailbox_.post([context, topic, level] {
    if (context->sendInFlight)
      context->command->statusReported(topic, level);
  });
}

void Dispatcher::probeFinished(uint32_t node, Outcome outcome, std::optional<LoadReport> loadReport) {
  mailbox_.post([this, node, outcome, loadReport] {
    policy_->probeFinished(node, outcome, loadReport ? &*loadReport : nullptr);
  });
}

void Dispatcher::updateEngines(EngineListKind kind, std::vector<EngineRecord> rows) {
  mailbox_.post([this, kind, rows = std::move(rows)] { policy_->updateEngines(kind, rows); });
}

// --- ActionSink: the module's actions
void Dispatcher::send(Command& command, uint32_t node, double timeout, double startDeadline) {
  auto context = contextOf(command);
  double responseDeadline = context->request.responseDeadline();
  double now = scheduler_.now();
  context->sendInFlight = true;
  context->startDeadline = startDeadline;
  sendsInFlight_[&command] = node;
  engines_->send(node, context, timeout > 0 ? std::min(now + timeout, responseDeadline) : responseDeadline);
}

void Dispatcher::setPriorityAndMemory(Command& command, int priority, double) {
  auto context = contextOf(command);
  context->priority = priority;  // the engine protocol has no field for a memory grant
  if (context->sendInFlight)
    engines_->reprioritise(sendsInFlight_.at(&command), context);
}

void Dispatcher::cancel(Command& command, int) {
  auto context = contextOf(command);
  if (context->sendInFlight)
    engines_->cancel(sendsInFlight_.at(&command), context);
}

void Dispatcher::shed(Command& command, double retryAfter) {
  // With budgets the advice is at least the wait that the command would be given if it were submitted again
  // now.
  if (budgets_ && budgets_->tree().settings().adviseRetryAfter)
    retryAfter = std::max(retryAfter, budgets_->estimateNow(command).p90);
  respond(*contextOf(command), {Response::Kind::shed, {}, retryAfter});
}

void Dispatcher::fail(Command& command) { respond(*contextOf(command), {Response::Kind::failed, {}, 0}); }

void Dispatcher::probe(uint32_t node) { engines_->probe(node); }

void Dispatcher::log(const std::string& line) { info() << "module: " << line; }

// --- end of a command
void Dispatcher::respond(RequestContext& context, Response response) {
  if (!std::exchange(context.finished, true))
    finishedInBatch_.push_back(contextOf(*context.command));
  if (Responder* responder = std::exchange(context.responder, nullptr))
    responder->respond(std::move(response));
}

// Removes a finished command that has no send in flight. Until then its id stays in use: with a new command
// under the same id, engines and this gateway would confuse the two sends.
void Dispatcher::removeIfFinished(const std::shared_ptr<RequestContext>& context) {
  if (!context->finished || context->sendInFlight || !contexts_.erase(context->command.get()))
    return;
  contextsById_.erase(context->request.id);
  if (context->mayHaveRun && context->request.retrySafety != RetrySafety::replayable)
    executedCommands_.add(context->request.id, scheduler_.now());
}

}  // namespace elmcleat
