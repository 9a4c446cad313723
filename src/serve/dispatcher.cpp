#include "serve/dispatcher.h"

#include <algorithm>
#include <utility>

#include "protocol/http.h"
#include "runtime/log.h"

namespace elmcleat {

Dispatcher::Dispatcher(Scheduler& scheduler, const Settings& settings, uint64_t seed,
                       const std::optional<budget::Plan>& plan, const std::optional<Settings>& local)
    : scheduler_(scheduler),
      signal_(scheduler),
      mailbox_(signal_),
      wake_(scheduler, [this] { signal_.raise(); }),
      budgets_(plan ? std::make_unique<budget::Office>(*plan, settings.gatewayCount) : nullptr),
      gateway_(createPolicy(local.value_or(settings), seed, *this, budgets_.get())) {
  if (plan)
    actor_ = lower(plan->actor);
}

void Dispatcher::start(Engines& engines) {
  engines_ = &engines;
  task_ = run();
  task_.start();
}

Task Dispatcher::run() {
  while (true) {
    co_await signal_;
    gateway_->advanceTo(scheduler_.now());
    mailbox_.drain();
    gateway_->decide();
    for (auto& ticket : std::exchange(overNow_, {}))
      sweep(ticket);
  }
}

// --- from a front door
bool Dispatcher::take(const std::shared_ptr<Ticket>& ticket) {
  if (!ids_.emplace(ticket->ask.id, ticket).second)
    return false;
  mailbox_.post([this, ticket] {
    Ask& ask = ticket->ask;
    ask.endsAt = std::min(ask.endsAt, drainsBy_);
    double left = std::max(0.0, ask.endsAt - scheduler_.now());
    ticket->command = gateway_->submit(
        {ask.profile, ask.tenant, ask.tables, ask.key, ask.work, ask.memoryMb, left, ask.users});
    tickets_.emplace(ticket->command.get(), ticket);
  });
  return true;
}

// The asker is forgotten at once, as it may not outlive this call; the module hears of it in its turn.
void Dispatcher::withdraw(const std::shared_ptr<Ticket>& ticket) {
  ticket->asker = nullptr;
  mailbox_.post([this, ticket] {
    if (std::exchange(ticket->over, true))
      return;
    if (ticket->out)
      engines_->withdraw(out_.at(ticket->command.get()), ticket);
    ticket->command->withdrawn();
    sweep(ticket);
  });
}

bool Dispatcher::withdraw(const std::string& id) {
  auto found = ids_.find(id);
  if (found == ids_.end() || found->second->over)
    return false;
  auto ticket = found->second;
  if (ticket->asker)
    ticket->asker->dismiss();
  withdraw(ticket);
  return true;
}

void Dispatcher::drain(double by) {
  mailbox_.post([this, by] {
    drainsBy_ = by;
    for (auto& [command, ticket] : tickets_) {
      if (ticket->over || ticket->ask.endsAt <= by)
        continue;
      ticket->ask.endsAt = by;
      ticket->command->shortenDeadline(by);
      if (ticket->out)
        engines_->shorten(out_.at(command), ticket);
    }
  });
}

// Budgets may change, not come and go: what is held stands in one order or the other.
void Dispatcher::change(const std::optional<budget::Plan>& plan) {
  if (plan.has_value() != (budgets_ != nullptr)) {
    warn() << "budgets: the old ones stay: they can't be switched on or off without a restart";
  } else if (plan && budgets_->shares() &&
             budget::fleetRates(*plan) != budget::fleetRates(budgets_->tree().plan())) {
    warn() << "budgets: the old ones stay: rates that are shared change at a start alone";
  } else if (plan) {
    mailbox_.post([this, plan = *plan] {
      budgets_->change(plan), actor_ = lower(plan.actor);
      info() << "budgets: changed, " << plan.entries.size() << " nodes";
    });
  }
}

void Dispatcher::share(std::vector<shared::Usable> usable, std::function<void(std::vector<double>)> heeded) {
  mailbox_.post([this, usable = std::move(usable), heeded = std::move(heeded)]() mutable {
    budgets_->share(std::move(usable));
    heeded(budgets_->wants());
  });
}

// --- from engines and the list
void Dispatcher::ended(const std::shared_ptr<Ticket>& ticket, Outcome what, double took,
                       std::optional<ResourceUsage> usage, std::optional<LoadReport> report,
                       std::optional<std::string> rows) {
  mailbox_.post([this, ticket, what, took, usage, report, rows = std::move(rows)]() mutable {
    ticket->out = false;
    out_.erase(ticket->command.get());
    if (what == Outcome::answered && !ticket->over) {
      ticket->over = true;
      answer(*ticket, {Answer::Kind::served, std::move(*rows), 0});
    }
    ticket->command->sendFinished(what, took, ticket->over, usage ? &*usage : nullptr,
                                  report ? &*report : nullptr);
    sweep(ticket);
  });
}

void Dispatcher::noted(const std::shared_ptr<Ticket>& ticket, StatusTopic topic, double level) {
  mailbox_.post([ticket, topic, level] {
    if (ticket->out)
      ticket->command->statusReported(topic, level);
  });
}

void Dispatcher::probed(uint32_t node, Outcome what, std::optional<LoadReport> report) {
  mailbox_.post(
      [this, node, what, report] { gateway_->probeFinished(node, what, report ? &*report : nullptr); });
}

void Dispatcher::listed(EngineListKind kind, std::vector<EngineRecord> rows) {
  mailbox_.post([this, kind, rows = std::move(rows)] { gateway_->updateEngines(kind, rows); });
}

// --- what the module wants
void Dispatcher::send(Command& command, uint32_t node, double timeout, double beginBy) {
  auto ticket = ticketOf(command);
  double end = ticket->ask.answerBy(), now = scheduler_.now();
  ticket->out = true, ticket->beginBy = beginBy;
  out_[&command] = node;
  engines_->send(node, ticket, timeout > 0 ? std::min(now + timeout, end) : end);
}

void Dispatcher::setPriorityAndMemory(Command& command, int priority, double) {
  auto ticket = ticketOf(command);
  ticket->priority = priority;  // the lines spoken with engines have no word for a memory grant
  if (ticket->out)
    engines_->reprioritise(out_.at(&command), ticket);
}

void Dispatcher::cancel(Command& command, int) {
  auto ticket = ticketOf(command);
  if (ticket->out)
    engines_->cancel(out_.at(&command), ticket);
}

void Dispatcher::shed(Command& command, double retryAfter) {
  if (budgets_ && budgets_->tree().plan().tellWaits)  // what it would be told if it came again now
    retryAfter = std::max(retryAfter, budgets_->again(command).nine);
  answer(*ticketOf(command), {Answer::Kind::shed, {}, retryAfter});
}

void Dispatcher::fail(Command& command) { answer(*ticketOf(command), {Answer::Kind::failed, {}, 0}); }

void Dispatcher::probe(uint32_t node) { engines_->probe(node); }

void Dispatcher::log(const std::string& line) { info() << "module: " << line; }

// --- ends
void Dispatcher::answer(Ticket& ticket, Answer answer) {
  if (!std::exchange(ticket.over, true))
    overNow_.push_back(ticketOf(*ticket.command));
  if (Asker* asker = std::exchange(ticket.asker, nullptr))
    asker->answer(std::move(answer));
}

// Forgets a command that is over and has nothing out. Until then its id stays taken: under it engines and we
// would mistake one send for the other.
void Dispatcher::sweep(const std::shared_ptr<Ticket>& ticket) {
  if (ticket->over && !ticket->out && tickets_.erase(ticket->command.get()))
    ids_.erase(ticket->ask.id);
}

}  // namespace elmcleat
