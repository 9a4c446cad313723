// One engine, and the actor that communicates with it. It owns the connections to the engine, the sends and
// probes that are in flight on them, and the sends that wait for a connection. It reports every outcome to
// the dispatcher.
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
#include "serve/recent_ids.h"
#include "serve/response.h"

namespace elmcleat {

class Engine {
 public:
  // `maxConnections`: how many connections are opened before sends share them. It depends on the number of
  // engines, so it changes. `connectionQuota`: for the connections of all engines together.
  Engine(Scheduler& scheduler, const ConnectionSettings& settings, Dispatcher& dispatcher, uint32_t id,
         const size_t& maxConnections, ConnectionQuota& connectionQuota);
  ~Engine() { connectionQuota_.removeWaiter(signal_); }

  // From discovery. Another address or start time means another process: open connections are to the old one.
  void setAddress(const Address& address, std::optional<double> startedAt);
  // The engine is draining or was removed: sends that are running there go on, none is started.
  void retire();

  // From the dispatcher (EngineRouter).
  void send(std::shared_ptr<RequestContext> context, double until);
  void reprioritise(std::shared_ptr<RequestContext> context);
  void cancel(std::shared_ptr<RequestContext> context);
  void withdraw(std::shared_ptr<RequestContext> context);
  void shortenDeadline(std::shared_ptr<RequestContext> context);
  void probe();

  // Whether it is retired and has nothing left to do, so that it may be destroyed.
  bool isUnused() const { return retired_ && connections_.empty() && waiting_.empty() && mailbox_.empty(); }

 private:
  struct EngineConnection;

  // A send that has been assigned to a connection and has no outcome yet.
  struct Send {
    Send(Scheduler& scheduler, std::function<void()> onDeadline, std::function<void()> onSilence)
        : deadlineTimer(scheduler, std::move(onDeadline)), silenceTimer(scheduler, std::move(onSilence)) {}
    std::shared_ptr<RequestContext> context;
    double startedAt = 0;  // when it was assigned to the connection: its duration is counted from here
    double deadlineAt = 0;
    std::optional<uint64_t> streamPosition;  // none until the connection is established
    std::optional<Outcome> abandonedAs;      // the engine was told to drop it, but may not have read that yet
    ResultAssembler pages;
    Timer deadlineTimer;
    Timer silenceTimer;  // fires when status messages or the response are overdue
  };

  struct EngineConnection {
    EngineConnection(Scheduler& scheduler, Signal& signal, std::function<void()> onTimeout);
    std::unique_ptr<ConnectionQuota::Slot> slot;
    Stream stream;
    EngineResponseParser parser;
    Timer timer;                      // connect timeout, time for a suspect connection, or idle timeout
    Timer responseTimer;              // time for the rest of a response that has begun
    bool responseIncomplete = false;  // a part of a response, or a page that was requested, is missing
    int unmatchedResponses = 0;       // in a row: responses that match no send or probe
    bool connected = false;
    bool retired = false;  // takes no new sends
    bool suspect = false;  // a send was abandoned on it, and nothing has been received since
    std::map<std::string, std::unique_ptr<Send>, std::less<>> sends;    // by command id
    std::map<std::string, std::unique_ptr<Timer>, std::less<>> probes;  // timeouts of probes, by tag
    RecentIds dropped;  // ended sends and probes: a response may still come
  };

  // A send that waits for a connection; nothing of it has been transmitted.
  struct WaitingSend {
    WaitingSend(Scheduler& scheduler, std::function<void()> onDeadline)
        : deadlineTimer(scheduler, std::move(onDeadline)) {}
    std::shared_ptr<RequestContext> context;
    double deadlineAt = 0;
    Timer deadlineTimer;
  };

  Task run();
  void startSend(std::shared_ptr<RequestContext> context, double until);
  void startWaiting();
  void endWaiting(const RequestContext& context, CloseReason reason);
  void serve(EngineConnection& connection);
  void handleResponse(EngineConnection& connection, EngineResponse& response);
  void handlePage(EngineConnection& connection, Send& send, EngineResponse& response);
  void updateResponseTimer(EngineConnection& connection, bool responseCompleted);
  void restartSilenceTimer(Send& send);
  void connectionClosed(EngineConnection& connection);

  EngineConnection* connectionFor(const RequestContext& context);
  EngineConnection* connectionForProbe();
  EngineConnection& connect(bool mayEvict = true);
  void connectionTimedOut(EngineConnection& connection);
  void writeSend(EngineConnection& connection, Send& send);
  bool mayStart(const RequestContext& context) const {
    return context.isAwaited() && scheduler_.now() < context.startDeadline;
  }
  bool finishIfNotStarted(EngineConnection& connection, Send& send);
  void deadlineReached(EngineConnection& connection, Send& send);
  void abandon(EngineConnection& connection, Send& send, Outcome outcome);
  void recordDropped(EngineConnection& connection, const std::string& id);
  void receivedFrom(EngineConnection& connection);
  void suspectConnections();
  void finish(EngineConnection& connection, Send& send, Outcome outcome,
              std::optional<ResourceUsage> usage = {}, std::optional<LoadReport> loadReport = {},
              std::optional<std::string> rows = {});
  void setIdleIfUnused(EngineConnection& connection);
  void retireConnections();
  std::pair<EngineConnection*, Send*> findSend(const RequestContext& context);
  std::string name() const;

  Scheduler& scheduler_;
  const ConnectionSettings& settings_;
  Dispatcher& dispatcher_;
  uint32_t id_;
  const size_t& maxConnections_;
  ConnectionQuota& connectionQuota_;
  Address address_;
  std::optional<double> startedAt_;
  bool retired_ = false;
  uint64_t probesSent_ = 0;
  size_t sendsInFlight_ = 0;
  double silentSince_ = 0;  // time of the last input from the engine, or of the first send if that is later
  Signal signal_;
  Mailbox mailbox_;
  std::list<std::unique_ptr<EngineConnection>> connections_;
  std::list<std::unique_ptr<WaitingSend>> waiting_;
  Task task_;
};

}  // namespace elmcleat
