// The dispatcher: the module's actor. All that happens is posted here; a batch is advanceTo(now), the mailbox drained,
// decide() once. What the module then wants done goes straight to the engines and the askers. Every protocol
// that clients speak goes through submit(), withdraw() and Responder.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "budget/tree_scheduler.h"
#include "policy.h"
#include "runtime/mailbox.h"
#include "serve/request_context.h"

namespace elmcleat {

// Who carries out what the module decides on engines.
class EngineRouter {
 public:
  virtual ~EngineRouter() = default;
  virtual void send(uint32_t node, std::shared_ptr<RequestContext> context, double until) = 0;
  virtual void reprioritise(uint32_t node, std::shared_ptr<RequestContext> context) = 0;
  virtual void cancel(uint32_t node, std::shared_ptr<RequestContext> context) = 0;
  virtual void shortenDeadline(
      uint32_t node,
      std::shared_ptr<RequestContext> context) = 0;  // to the command's end, which is sooner
  // Its client has gone: what has not begun to go out never will. Needs no right to cancel.
  virtual void withdraw(uint32_t node, std::shared_ptr<RequestContext> context) = 0;
  virtual void probe(uint32_t node) = 0;
  virtual void setEjected(uint32_t node, bool is) = 0;  // the module has found it unfit, or fit again
};

class Dispatcher final : public ActionSink {
 public:
  // With a plan, budgets stand over the module's turns; without one it decides alone. `local`: what the module is told
  // of its part of the fleet, where it sees a part alone; budgets are divided by all gateways in any case.
  Dispatcher(Scheduler& scheduler, const Settings& settings, uint64_t seed,
             const std::optional<budget::BudgetSettings>& plan = {},
             const std::optional<Settings>& local = {});
  void start(EngineRouter& engines);

  // From a front door. False: a command with this id is in hand.
  bool submit(const std::shared_ptr<RequestContext>& context);
  void withdraw(const std::shared_ptr<RequestContext>& context);
  bool withdraw(const std::string& id);  // false: no such command is in hand

  // Graceful shutdown: whatever is in hand, and whatever still comes, gets its answer by then.
  void drain(double by);

  // From engines.
  void sendFinished(const std::shared_ptr<RequestContext>& context, Outcome what, double took,
                    std::optional<ResourceUsage> usage, std::optional<LoadReport> report,
                    std::optional<std::string> rows);
  void statusReported(const std::shared_ptr<RequestContext>& context, StatusTopic topic, double level);
  void probeFinished(uint32_t node, Outcome what, std::optional<LoadReport> report);

  // The header, in lower case, that names users below the tenant; empty: none.
  const std::string& actorHeader() const { return actorHeader_; }
  // Budgets read again, with commands in hand.
  void updateBudgets(const std::optional<budget::BudgetSettings>& plan);

  // Rates of budgets that are shared with other gateways: what may be used here, and what there is use for (budget::TreeScheduler).
  void updateQuotas(std::vector<shared::AvailableQuota> usable,
                    std::function<void(std::vector<double>)> heeded);

  // From the list.
  void updateEngines(EngineListKind kind, std::vector<EngineRecord> rows);

 private:
  // What the module wants (ActionSink).
  void send(Command& command, uint32_t node, double timeout, double beginBy) override;
  void setPriorityAndMemory(Command& command, int priority, double memoryMb) override;
  void cancel(Command& command, int sendNo) override;
  void shed(Command& command, double retryAfter) override;
  void fail(Command& command) override;
  void probe(uint32_t node) override;
  void requestEngineList() override {}  // the list is followed from the start
  void scheduleWakeUp(double at) override { wake_.set(at); }
  void log(const std::string& line) override;
  void ejectionChanged(uint32_t node, bool is) override { engines_->setEjected(node, is); }

  Task run();
  void respond(RequestContext& context, Response response);
  void removeIfFinished(const std::shared_ptr<RequestContext>& context);
  std::shared_ptr<RequestContext> contextOf(Command& command) { return contexts_.at(&command); }

  Scheduler& scheduler_;
  Signal signal_;
  Mailbox mailbox_;
  Timer wake_;
  EngineRouter* engines_ = nullptr;
  std::unique_ptr<budget::TreeScheduler> budgets_;  // before the gateway: it must outlive it
  std::unique_ptr<Policy> policy_;
  std::unordered_map<const Command*, std::shared_ptr<RequestContext>> contexts_;
  std::unordered_map<const Command*, uint32_t> sendsInFlight_;  // where the send is that has no outcome
  std::unordered_map<std::string, std::shared_ptr<RequestContext>> ids_;  // of the same
  std::vector<std::shared_ptr<RequestContext>> finishedInBatch_;          // ended by the module in this batch
  std::string actorHeader_;
  double drainDeadline_ = HUGE_VAL;
  Task task_;
};

}  // namespace elmcleat
