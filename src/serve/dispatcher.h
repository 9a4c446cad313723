// The dispatcher: the actor around the decision module (Policy). Every event from clients, engines and
// discovery is posted to its mailbox. It processes them in batches: advanceTo(now), all posted tasks, then
// decide() once. The actions that the module decides on (ActionSink) go straight to the engines and
// responders. Every client protocol uses submit(), withdraw() and Responder.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "budget/tree_scheduler.h"
#include "policy.h"
#include "runtime/mailbox.h"
#include "serve/executed_commands.h"
#include "serve/request_context.h"

namespace elmcleat {

// Carries out on engines what the module decides. `node` is the engine's id.
class EngineRouter {
 public:
  virtual ~EngineRouter() = default;
  // `until`: when the send times out.
  virtual void send(uint32_t node, std::shared_ptr<RequestContext> context, double until) = 0;
  virtual void reprioritise(uint32_t node, std::shared_ptr<RequestContext> context) = 0;
  virtual void cancel(uint32_t node, std::shared_ptr<RequestContext> context) = 0;
  // The command's deadline is earlier now: its send has to end by then.
  virtual void shortenDeadline(uint32_t node, std::shared_ptr<RequestContext> context) = 0;
  // The client has gone: a send of which nothing has been transmitted never will be. This is allowed without
  // the right to cancel.
  virtual void withdraw(uint32_t node, std::shared_ptr<RequestContext> context) = 0;
  virtual void probe(uint32_t node) = 0;
  // The module has ejected the engine as unhealthy, or has readmitted it.
  virtual void setEjected(uint32_t node, bool ejected) = 0;
};

// Whether a command was accepted.
enum class SubmitResult {
  accepted,
  inFlight,    // a command with its id is in flight
  alreadyRun,  // a command with its id may have run, and must not run twice
};

class Dispatcher final : public ActionSink {
 public:
  // With `budgetSettings`, budgets order the module's queues; without, the module decides alone.
  // `localSettings`: the module's settings for the subset of engines that this gateway uses, if it uses a
  // subset; budgets are divided by the number of all gateways in any case.
  Dispatcher(Scheduler& scheduler, const Settings& settings, uint64_t seed,
             const std::optional<budget::BudgetSettings>& budgetSettings = {},
             const std::optional<Settings>& localSettings = {});
  void start(EngineRouter& engines);

  // From client connections.
  SubmitResult submit(const std::shared_ptr<RequestContext>& context);
  // The client has gone.
  void withdraw(const std::shared_ptr<RequestContext>& context);
  // Withdraws a command on behalf of another connection; false if no command with this id is in flight.
  bool withdraw(const std::string& id);

  // Graceful shutdown: every command in flight, and every further one, is answered by `deadline`.
  void drain(double deadline);

  // From engines. `took` is in seconds.
  void sendFinished(const std::shared_ptr<RequestContext>& context, Outcome outcome, double took,
                    std::optional<ResourceUsage> usage, std::optional<LoadReport> loadReport,
                    std::optional<std::string> rows);
  void statusReported(const std::shared_ptr<RequestContext>& context, StatusTopic topic, double level);
  void probeFinished(uint32_t node, Outcome outcome, std::optional<LoadReport> loadReport);

  // The request header, in lower case, that names users below the tenant; empty if there is none.
  const std::string& actorHeader() const { return actorHeader_; }

  // Budgets after a reload of the configuration; commands may be in flight. Budgets can't be switched on or
  // off.
  void updateBudgets(const std::optional<budget::BudgetSettings>& budgetSettings);

  // For rates shared with other gateways: `quotas` may be used here from now on; `reportDemand` is called
  // with the demand for each (budget::TreeScheduler).
  void updateQuotas(std::vector<shared::AvailableQuota> quotas,
                    std::function<void(std::vector<double>)> reportDemand);

  // From discovery.
  void updateEngines(EngineListKind kind, std::vector<EngineRecord> rows);

 private:
  // ActionSink: the module's actions.
  void send(Command& command, uint32_t node, double timeout, double startDeadline) override;
  void setPriorityAndMemory(Command& command, int priority, double memoryMb) override;
  void cancel(Command& command, int sendNumber) override;
  void shed(Command& command, double retryAfter) override;
  void fail(Command& command) override;
  void probe(uint32_t node) override;
  void requestEngineList() override {}  // discovery follows the list from the start
  void scheduleWakeUp(double at) override { wakeUp_.set(at); }
  void log(const std::string& line) override;
  void ejectionChanged(uint32_t node, bool ejected) override { engines_->setEjected(node, ejected); }

  Task run();
  void respond(RequestContext& context, Response response);
  void removeIfFinished(const std::shared_ptr<RequestContext>& context);
  std::shared_ptr<RequestContext> contextOf(Command& command) { return contexts_.at(&command); }

  Scheduler& scheduler_;
  Signal signal_;
  Mailbox mailbox_;
  Timer wakeUp_;
  EngineRouter* engines_ = nullptr;
  std::unique_ptr<budget::TreeScheduler> budgets_;  // declared before policy_, which it must outlive
  std::unique_ptr<Policy> policy_;
  // The commands in flight, by handle and by id.
  std::unordered_map<const Command*, std::shared_ptr<RequestContext>> contexts_;
  std::unordered_map<const Command*, uint32_t> sendsInFlight_;  // engine of the send that has no outcome yet
  std::unordered_map<std::string, std::shared_ptr<RequestContext>> contextsById_;
  ExecutedCommands executedCommands_;
  std::vector<std::shared_ptr<RequestContext>> finishedInBatch_;  // finished by the module in this batch
  std::string actorHeader_;
  double drainDeadline_ = HUGE_VAL;
  Task task_;
};

}  // namespace elmcleat
