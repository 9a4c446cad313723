// An engine: the actor that speaks with one. It owns the connections to it and the sends that are out there.
#pragma once
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "config/settings.h"
#include "protocol/address.h"
#include "runtime/mailbox.h"
#include "runtime/stream.h"
#include "serve/connection_quota.h"
#include "serve/dispatcher.h"
#include "serve/response.h"

namespace elmcleat {

class Engine {
 public:
  // `most`: connections that it should do with; the fleet's number of engines decides, so it changes. `room`: those of
  // all engines together.
  Engine(Scheduler& scheduler, const ConnectionSettings& settings, Dispatcher& dispatcher, uint32_t id,
         const size_t& most, ConnectionQuota& room);
  ~Engine() { connectionQuota_.removeWaiter(signal_); }

  // From the list. A start at another address or time is another process: what is connected is the old one.
  void setAddress(const Address& address, std::optional<double> started);
  void retire();  // drains or gone: what runs there goes on, nothing new goes out

  // From the dispatcher.
  void send(std::shared_ptr<RequestContext> context, double until);
  void reprioritise(std::shared_ptr<RequestContext> context);
  void cancel(std::shared_ptr<RequestContext> context);
  void withdraw(std::shared_ptr<RequestContext> context);
  void shortenDeadline(std::shared_ptr<RequestContext> context);
  void probe();

  bool isUnused() const { return retired_ && connections_.empty() && waiting_.empty() && mailbox_.empty(); }

 private:
  struct EngineConnection;
  struct Send {  // a command's send, from the dispatcher's word to its outcome
    Send(Scheduler& scheduler, std::function<void()> due, std::function<void()> late)
        : deadlineTimer(scheduler, std::move(due)), silenceTimer(scheduler, std::move(late)) {}
    std::shared_ptr<RequestContext> context;
    double sentAt = 0, deadlineAt = 0;
    std::optional<uint64_t> streamPosition;  // in the stream; none while the connection comes up
    std::optional<Outcome> abandonedAs;      // the engine was told, but may not have heard it
    ResultAssembler pages;
    Timer deadlineTimer;
    Timer silenceTimer;  // notes on it, or its answer, have been due for too long
  };
  struct EngineConnection {  // one connection
    EngineConnection(Scheduler& scheduler, Signal& signal, std::function<void()> late);
    std::unique_ptr<ConnectionQuota::Slot> slot;
    Stream stream;
    EngineResponseParser reader;
    Timer timer;  // the connection's own: it must come up, or be heard, in time, and is closed when idle
    Timer responseTimer;              // what has been begun, or asked for and lies ready, must come in time
    bool responseIncomplete = false;  // and some of it has not
    int unmatchedResponses = 0;       // answers to nothing asked, since the last one to something
    bool connected = false;
    bool retired = false;  // takes nothing new
    bool suspect = false;  // a send was given up and nothing has come since
    std::map<std::string, std::unique_ptr<Send>, std::less<>> sends;
    std::map<std::string, std::unique_ptr<Timer>, std::less<>> probes;  // by tag; each with its time limit
    std::map<std::string, double, std::less<>> droppedAt;               // ended when: an answer may come yet
  };

  struct WaitingSend {  // a send for which there is no connection yet: it has not been tried
    WaitingSend(Scheduler& scheduler, std::function<void()> late)
        : deadlineTimer(scheduler, std::move(late)) {}
    std::shared_ptr<RequestContext> context;
    double deadlineAt = 0;
    Timer deadlineTimer;
  };

  Task run();
  void startSend(std::shared_ptr<RequestContext> context, double until);
  void startWaiting();
  void endWaiting(const RequestContext& context, CloseReason ending);
  void serve(EngineConnection& connection);
  void handleResponse(EngineConnection& connection, EngineResponse& response);
  void handlePage(EngineConnection& connection, Send& send, EngineResponse& response);
  void updateResponseTimer(EngineConnection& connection, bool news);
  void restartSilenceTimer(Send& send);
  void connectionClosed(EngineConnection& connection);

  EngineConnection* connectionFor(const RequestContext& context);
  EngineConnection* connectionForProbe();
  EngineConnection& connect(bool again = true);
  void connectionTimedOut(EngineConnection& connection);
  void write(EngineConnection& connection, Send& send);
  bool mayStart(const RequestContext& context) const {
    return context.isAwaited() && scheduler_.now() < context.startDeadline;
  }
  bool finishIfNotStarted(EngineConnection& connection, Send& send);
  void deadlineReached(EngineConnection& connection, Send& send);
  void abandon(EngineConnection& connection, Send& send, Outcome what);
  void drop(EngineConnection& connection, const std::string& id);
  void receivedFrom(EngineConnection& connection);
  void suspectConnections();
  void finish(EngineConnection& connection, Send& send, Outcome what, std::optional<ResourceUsage> usage = {},
              std::optional<LoadReport> report = {}, std::optional<std::string> rows = {});
  void setIdleIfUnused(EngineConnection& connection);
  void retireConnections();
  std::pair<EngineConnection*, Send*> find(const RequestContext& context);
  std::string name() const;

  Scheduler& scheduler_;
  const ConnectionSettings& settings_;
  Dispatcher& dispatcher_;
  uint32_t id_;
  const size_t& maxConnections_;
  ConnectionQuota& connectionQuota_;
  Address address_;
  std::optional<double> started_;
  bool retired_ = false;
  uint64_t probes_ = 0;
  size_t sends_ = 0;
  double quietSince_ = 0;  // sends have been out, and nothing came from this engine, since
  Signal signal_;
  Mailbox mailbox_;
  std::list<std::unique_ptr<EngineConnection>> connections_;
  std::list<std::unique_ptr<WaitingSend>> waiting_;
  Task task_;
};

}  // namespace elmcleat
