// The dispatcher: the module's actor. All that happens is posted here; a batch is advanceTo(now), the mailbox drained,
// decide() once. What the module then wants done goes straight to the engines and the askers. Every protocol
// that clients speak goes through take(), withdraw() and Asker.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "budget/office.h"
#include "policy.h"
#include "runtime/mailbox.h"
#include "serve/ticket.h"

namespace elmcleat {

// Who carries out what the module decides on engines.
class Engines {
 public:
  virtual ~Engines() = default;
  virtual void send(uint32_t node, std::shared_ptr<Ticket> ticket, double until) = 0;
  virtual void reprioritise(uint32_t node, std::shared_ptr<Ticket> ticket) = 0;
  virtual void cancel(uint32_t node, std::shared_ptr<Ticket> ticket) = 0;
  virtual void shorten(uint32_t node,
                       std::shared_ptr<Ticket> ticket) = 0;  // to the command's end, which is sooner
  // Its client has gone: what has not begun to go out never will. Needs no right to cancel.
  virtual void withdraw(uint32_t node, std::shared_ptr<Ticket> ticket) = 0;
  virtual void probe(uint32_t node) = 0;
  virtual void rests(uint32_t node, bool is) = 0;  // the module has found it unfit, or fit again
};

class Dispatcher final : public ActionSink {
 public:
  // With a plan, budgets stand over the module's turns; without one it decides alone. `local`: what the module is told
  // of its part of the fleet, where it sees a part alone; budgets are divided by all gateways in any case.
  Dispatcher(Scheduler& scheduler, const Settings& settings, uint64_t seed,
             const std::optional<budget::Plan>& plan = {}, const std::optional<Settings>& local = {});
  void start(Engines& engines);

  // From a front door. False: a command with this id is in hand.
  bool take(const std::shared_ptr<Ticket>& ticket);
  void withdraw(const std::shared_ptr<Ticket>& ticket);
  bool withdraw(const std::string& id);  // false: no such command is in hand

  // Graceful shutdown: whatever is in hand, and whatever still comes, gets its answer by then.
  void drain(double by);

  // From engines.
  void ended(const std::shared_ptr<Ticket>& ticket, Outcome what, double took,
             std::optional<ResourceUsage> usage, std::optional<LoadReport> report,
             std::optional<std::string> rows);
  void noted(const std::shared_ptr<Ticket>& ticket, StatusTopic topic, double level);
  void probed(uint32_t node, Outcome what, std::optional<LoadReport> report);

  // The header, in lower case, that names users below the tenant; empty: none.
  const std::string& actor() const { return actor_; }
  // Budgets read again, with commands in hand.
  void change(const std::optional<budget::Plan>& plan);

  // Rates of budgets that are shared with other gateways: what may be used here, and what there is use for (budget::Office).
  void share(std::vector<shared::Usable> usable, std::function<void(std::vector<double>)> heeded);

  // From the list.
  void listed(EngineListKind kind, std::vector<EngineRecord> rows);

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
  void ejectionChanged(uint32_t node, bool is) override { engines_->rests(node, is); }

  Task run();
  void answer(Ticket& ticket, Answer answer);
  void sweep(const std::shared_ptr<Ticket>& ticket);
  std::shared_ptr<Ticket> ticketOf(Command& command) { return tickets_.at(&command); }

  Scheduler& scheduler_;
  Signal signal_;
  Mailbox mailbox_;
  Timer wake_;
  Engines* engines_ = nullptr;
  std::unique_ptr<budget::Office> budgets_;  // before the gateway: it must outlive it
  std::unique_ptr<Policy> gateway_;
  std::unordered_map<const Command*, std::shared_ptr<Ticket>> tickets_;
  std::unordered_map<const Command*, uint32_t> out_;              // where the send is that has no outcome
  std::unordered_map<std::string, std::shared_ptr<Ticket>> ids_;  // of the same
  std::vector<std::shared_ptr<Ticket>> overNow_;                  // ended by the module in this batch
  std::string actor_;
  double drainsBy_ = HUGE_VAL;
  Task task_;
};

}  // namespace elmcleat
