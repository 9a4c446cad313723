#include "serve/dispatcher.h"

#include <algorithm>
#include <utility>

#include "protocol/http.h"
#include "runtime/log.h"

namespace elmcleat {

Dispatcher::Dispatcher(Scheduler& scheduler, const Settings& settings, uint64_t seed,
                       const std::optional<budget::BudgetSettings>& plan,
                       const std::optional<Settings>& local)
    : scheduler_(scheduler),
      signal_(scheduler),
      mailbox_(signal_),
      wake_(scheduler, [this] { signal_.raise(); }),
      budgets_(plan ? std::make_unique<budget::TreeScheduler>(*plan, settings.gatewayCount) : nullptr),
      policy_(createPolicy(local.value_or(settings), seed, *this, budgets_.get())) {
  if (plan)
    actorHeader_ = toLower(plan->actorHeader);
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

// --- from a front door
bool Dispatcher::submit(const std::shared_ptr<RequestContext>& context) {
  if (!ids_.emplace(context->request.id, context).second)
    return false;
  mailbox_.post([this, context] {
    CommandRequest& request = context->request;
    request.clientDeadline = std::min(request.clientDeadline, drainDeadline_);
    double left = std::max(0.0, request.clientDeadline - scheduler_.now());
    context->command =
        policy_->submit({request.profile, request.tenant, request.tableGroup, request.orderingKey,
                         request.estimatedWork, request.estimatedMemoryMb, left, request.users});
    contexts_.emplace(context->command.get(), context);
  });
  return true;
}

// The asker is forgotten at once, as it may not outlive this call; the module hears of it in its turn.
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
  auto found = ids_.find(id);
  if (found == ids_.end() || found->second->finished)
    return false;
  auto context = found->second;
  if (context->responder)
    context->responder->abandon();
  withdraw(context);
  return true;
}

void Dispatcher::drain(double by) {
  mailbox_.post([this, by] {
    drainDeadline_ = by;
    for (auto& [command, context] : contexts_) {
      if (context->finished || context->request.clientDeadline <= by)
        continue;
      context->request.clientDeadline = by;
      context->command->shortenDeadline(by);
      if (context->sendInFlight)
        engines_->shortenDeadline(sendsInFlight_.at(command), context);
    }
  });
}

// Budgets may change, not come and go: what is held stands in one order or the other.
void Dispatcher::updateBudgets(const std::optional<budget::BudgetSettings>& plan) {
  if (plan.has_value() != (budgets_ != nullptr)) {
    warn() << "budgets: the old ones stay: they can't be switched on or off without a restart";
  } else if (plan && budgets_->hasSharedQuotas() &&
             budget::fleetRates(*plan) != budget::fleetRates(budgets_->tree().settings())) {
    warn() << "budgets: the old ones stay: rates that are shared change at a start alone";
  } else if (plan) {
    mailbox_.post([this, plan = *plan] {
      budgets_->reconfigure(plan), actorHeader_ = toLower(plan.actorHeader);
      info() << "budgets: changed, " << plan.entries.size() << " nodes";
    });
  }
}

void Dispatcher::updateQuotas(std::vector<shared::AvailableQuota> usable,
                              std::function<void(std::vector<double>)> heeded) {
  mailbox_.post([this, usable = std::move(usable), heeded = std::move(heeded)]() mutable {
    budgets_->setQuotas(std::move(usable));
    heeded(budgets_->demand());
  });
}

// --- from engines and the list
void Dispatcher::sendFinished(const std::shared_ptr<RequestContext>& context, Outcome what, double took,
                              std::optional<ResourceUsage> usage, std::optional<LoadReport> report,
                              std::optional<std::string> rows) {
  mailbox_.post([this, context, what, took, usage, report, rows = std::move(rows)]() mutable {
    context->sendInFlight = false;
    sendsInFlight_.erase(context->command.get());
    if (what == Outcome::answered && !context->finished) {
      context->finished = true;
      respond(*context, {Response::Kind::served, std::move(*rows), 0});
    }
    context->command->sendFinished(what, took, context->finished, usage ? &*usage : nullptr,
                                   report ? &*report : nullptr);
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

void Dispatcher::probeFinished(uint32_t node, Outcome what, std::optional<LoadReport> report) {
  mailbox_.post(
      [this, node, what, report] { policy_->probeFinished(node, what, report ? &*report : nullptr); });
}

void Dispatcher::updateEngines(EngineListKind kind, std::vector<EngineRecord> rows) {
  mailbox_.post([this, kind, rows = std::move(rows)] { policy_->updateEngines(kind, rows); });
}

// --- what the module wants
void Dispatcher::send(Command& command, uint32_t node, double timeout, double beginBy) {
  auto context = contextOf(command);
  double end = context->request.responseDeadline(), now = scheduler_.now();
  context->sendInFlight = true, context->startDeadline = beginBy;
  sendsInFlight_[&command] = node;
  engines_->send(node, context, timeout > 0 ? std::min(now + timeout, end) : end);
}

void Dispatcher::setPriorityAndMemory(Command& command, int priority, double) {
  auto context = contextOf(command);
  context->priority = priority;  // the lines spoken with engines have no word for a memory grant
  if (context->sendInFlight)
    engines_->reprioritise(sendsInFlight_.at(&command), context);
}

void Dispatcher::cancel(Command& command, int) {
  auto context = contextOf(command);
  if (context->sendInFlight)
    engines_->cancel(sendsInFlight_.at(&command), context);
}

void Dispatcher::shed(Command& command, double retryAfter) {
  if (budgets_ && budgets_->tree().settings().adviseRetryAfter)  // what it would be told if it came again now
    retryAfter = std::max(retryAfter, budgets_->estimateNow(command).p90);
  respond(*contextOf(command), {Response::Kind::shed, {}, retryAfter});
}

void Dispatcher::fail(Command& command) { respond(*contextOf(command), {Response::Kind::failed, {}, 0}); }

void Dispatcher::probe(uint32_t node) { engines_->probe(node); }

void Dispatcher::log(const std::string& line) { info() << "module: " << line; }

// --- ends
void Dispatcher::respond(RequestContext& context, Response response) {
  if (!std::exchange(context.finished, true))
    finishedInBatch_.push_back(contextOf(*context.command));
  if (Responder* responder = std::exchange(context.responder, nullptr))
    responder->respond(std::move(response));
}

// Forgets a command that is over and has nothing out. Until then its id stays taken: under it engines and we
// would mistake one send for the other.
void Dispatcher::removeIfFinished(const std::shared_ptr<RequestContext>& context) {
  if (context->finished && !context->sendInFlight && contexts_.erase(context->command.get()))
    ids_.erase(context->request.id);
}

}  // namespace elmcleat
