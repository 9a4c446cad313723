#include "serve/engine.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "runtime/log.h"
#include "serve/outcome.h"

namespace elmcleat {
namespace {

constexpr size_t kMaxInputBytes = 64 * 1024;  // more than the longest response
constexpr size_t kMaxOutputBytes = 1 << 20;   // statements that wait while the engine does not read
// Late responses, and a few beside a good one that match nothing, are tolerated up to this number in a row.
constexpr int kMaxUnmatchedResponses = 64;

}  // namespace

Engine::EngineConnection::EngineConnection(Scheduler& scheduler, Signal& signal,
                                           std::function<void()> onTimeout)
    : stream(scheduler, signal, kMaxInputBytes, kMaxOutputBytes),
      timer(scheduler, std::move(onTimeout)),
      responseTimer(scheduler, [this, &signal] {
        stream.close(CloseReason::incomplete);
        signal.raise();
      }) {}

Engine::Engine(Scheduler& scheduler, const ConnectionSettings& settings, Dispatcher& dispatcher, uint32_t id,
               const size_t& maxConnections, ConnectionQuota& connectionQuota)
    : scheduler_(scheduler),
      settings_(settings),
      dispatcher_(dispatcher),
      id_(id),
      maxConnections_(maxConnections),
      connectionQuota_(connectionQuota),
      signal_(scheduler),
      mailbox_(signal_) {
  task_ = run();
  task_.start();
}

std::string Engine::name() const {
  char text[16];
  std::snprintf(text, sizeof text, "s-%08x", id_);
  return std::string("engine ") + text;
}

Task Engine::run() {
  while (true) {
    co_await signal_;
    mailbox_.runAll();
    for (auto connection = connections_.begin(); connection != connections_.end();) {
      serve(**connection);
      if ((*connection)->stream.isOpen()) {
        ++connection;
        continue;
      }
      connectionClosed(**connection);
      connection = connections_.erase(connection);
    }
    startWaiting();
  }
}

// --- from discovery
void Engine::setAddress(const Address& address, std::optional<double> startedAt) {
  mailbox_.post([this, address, startedAt] {
    if (address == address_ && startedAt == startedAt_ && !retired_)
      return;
    if (!connections_.empty())
      retireConnections();
    address_ = address;
    startedAt_ = startedAt;
    retired_ = false;
  });
}

void Engine::retire() {
  mailbox_.post([this] {
    if (!std::exchange(retired_, true))
      retireConnections();
  });
}

// No connection takes new sends any more. Sends of which nothing has been transmitted are ended (rule 3: at a
// draining engine a send counts from its first byte).
void Engine::retireConnections() {
  while (!waiting_.empty())
    endWaiting(*waiting_.front()->context, CloseReason::replaced);
  for (auto& connection : connections_) {
    connection->retired = true;
    for (auto entry = connection->sends.begin(); entry != connection->sends.end();) {
      Send& send = *(entry++)->second;
      if (send.streamPosition && !connection->stream.withdraw(*send.streamPosition))
        continue;
      finish(*connection, send, outcomeOf(CloseReason::replaced, false));
    }
    if (connection->sends.empty())
      connection->stream.close(CloseReason::replaced);
  }
}

// --- from the dispatcher
void Engine::send(std::shared_ptr<RequestContext> context, double until) {
  mailbox_.post([this, context = std::move(context), until] {
    if (retired_)
      return dispatcher_.sendFinished(context, outcomeOf(CloseReason::replaced, false), 0, {}, {}, {});
    double now = scheduler_.now();
    // Engines write status messages on every send at a set interval. If two in a row are missing, the engine
    // is cut off or gone.
    if (settings_.statusInterval > 0 && sendsInFlight_ > 0 &&
        now > silentSince_ + 2 * settings_.statusInterval)
      suspectConnections();
    startSend(context, until);
  });
}

void Engine::startSend(std::shared_ptr<RequestContext> context, double until) {
  if (!mayStart(*context))
    return dispatcher_.sendFinished(context, outcomeOf(CloseReason::timedOut, false), 0, {}, {}, {});
  EngineConnection* connection = connectionFor(*context);
  if (!connection) {  // waits for a connection, until its deadline at most
    auto& waiting = waiting_.emplace_back(std::make_unique<WaitingSend>(
        scheduler_, [this, context] { endWaiting(*context, CloseReason::timedOut); }));
    waiting->context = context;
    waiting->deadlineAt = until;
    waiting->deadlineTimer.set(std::min(until, context->startDeadline));
    return connectionQuota_.addWaiter(signal_);
  }
  const std::string& id = context->request.id;
  double now = scheduler_.now();
  auto& send = connection->sends[id];
  send = std::make_unique<Send>(
      scheduler_, [this, connection, id] { deadlineReached(*connection, *connection->sends.at(id)); },
      [this, connection, id] { abandon(*connection, *connection->sends.at(id), Outcome::timedOut); });
  send->context = context;
  send->startedAt = now;
  send->deadlineAt = until;
  send->deadlineTimer.set(std::min(until, context->startDeadline));
  if (sendsInFlight_++ == 0)
    silentSince_ = now;
  connection->slot->markBusy();
  if (connection->connected)
    writeSend(*connection, *send);
}

// Called after each turn. If no send waits here any more, a slot that this engine was notified of goes to the
// next waiter.
void Engine::startWaiting() {
  if (waiting_.empty())
    return connectionQuota_.notifyWaiter();
  for (auto& waiting : std::exchange(waiting_, {}))
    startSend(waiting->context, waiting->deadlineAt);
}

// Ends a send that waits for a connection, and so never ran. No effect if there is none for this request.
void Engine::endWaiting(const RequestContext& context, CloseReason reason) {
  auto found =
      std::ranges::find_if(waiting_, [&](auto& waiting) { return waiting->context.get() == &context; });
  if (found == waiting_.end())
    return;
  auto ended =
      std::move(*found);  // stays alive until the end of this call, which its own timer may have made
  waiting_.erase(found);
  dispatcher_.sendFinished(ended->context, outcomeOf(reason, false), 0, {}, {}, {});
}

// Whether the client is still connected is checked at the last moment: when the process resumes after a stop,
// the client's disconnect may be ready together with the event that lets its send start.
void Engine::writeSend(EngineConnection& connection, Send& send) {
  if (!mayStart(*send.context) || !send.context->responder->isConnected()) {
    finishIfNotStarted(connection, send);
    return;
  }
  const CommandRequest& request = send.context->request;
  send.streamPosition = connection.stream.write(
      engine_request::send({request.id, request.profile, request.token, request.statement,
                            send.deadlineAt - scheduler_.now(), send.context->priority}));
  connection.timer.clear();
  restartSilenceTimer(send);
}

// Engines write status messages on every send at a set interval. When two in a row are missing for a send,
// its response is lost or its engine is gone: it is abandoned then, rather than at its timeout, which may be
// as late as the client's. Guards against responses that never come, come too late, or are read by nobody.
// Harms sends at an engine that is too busy to write its status messages.
void Engine::restartSilenceTimer(Send& send) {
  if (settings_.statusInterval > 0)
    send.silenceTimer.set(scheduler_.now() + 2 * settings_.statusInterval + settings_.connectTimeout);
}

std::pair<Engine::EngineConnection*, Engine::Send*> Engine::findSend(const RequestContext& context) {
  for (auto& connection : connections_)
    if (auto found = connection->sends.find(context.request.id); found != connection->sends.end())
      return {connection.get(), found->second.get()};
  return {nullptr, nullptr};
}

void Engine::reprioritise(std::shared_ptr<RequestContext> context) {
  mailbox_.post([this, context = std::move(context)] {
    if (auto [connection, send] = findSend(*context);
        send && send->streamPosition && !send->pages.hasStarted())
      connection->stream.write(engine_request::priority(context->request.id, *context->priority));
  });
}

void Engine::cancel(std::shared_ptr<RequestContext> context) {
  mailbox_.post([this, context = std::move(context)] {
    if (auto [connection, send] = findSend(*context); send)
      abandon(*connection, *send, Outcome::cancelled);
    else
      endWaiting(*context, CloseReason::timedOut);
  });
}

// No command whose client has gone is started, wherever it is: in a mailbox, waiting for a connection or a
// handshake, or behind bytes that the engine does not read.
void Engine::withdraw(std::shared_ptr<RequestContext> context) {
  mailbox_.post([this, context = std::move(context)] {
    if (auto [connection, send] = findSend(*context); send)
      finishIfNotStarted(*connection, *send);
    else
      endWaiting(*context, CloseReason::timedOut);
  });
}

// The send has to end by its command's new, earlier deadline.
void Engine::shortenDeadline(std::shared_ptr<RequestContext> context) {
  mailbox_.post([this, context = std::move(context)] {
    double responseDeadline = context->request.responseDeadline();
    if (auto [connection, send] = findSend(*context); send) {
      send->deadlineAt = std::min(send->deadlineAt, responseDeadline);
      send->deadlineTimer.set(send->abandonedAs ? responseDeadline
                                                : std::min(send->deadlineAt, context->startDeadline));
    }
    for (auto& waiting : waiting_)
      if (waiting->context == context) {
        waiting->deadlineAt = std::min(waiting->deadlineAt, responseDeadline);
        waiting->deadlineTimer.set(std::min(waiting->deadlineAt, context->startDeadline));
      }
  });
}

// Either the time by which the send had to start, or its whole time, has passed.
void Engine::deadlineReached(EngineConnection& connection, Send& send) {
  if (scheduler_.now() >= send.deadlineAt)
    abandon(connection, send, Outcome::timedOut);
  else if (!finishIfNotStarted(connection, send))
    send.deadlineTimer.set(send.deadlineAt);
}

// Ends a send of which nothing has been transmitted, and which so never ran. False if something has been.
bool Engine::finishIfNotStarted(EngineConnection& connection, Send& send) {
  if (send.streamPosition && !connection.stream.withdraw(*send.streamPosition))
    return false;
  finish(connection, send, outcomeOf(CloseReason::timedOut, false));
  return true;
}

void Engine::probe() {
  mailbox_.post([this] {
    if (retired_)
      return dispatcher_.probeFinished(id_, outcomeOf(CloseReason::replaced, false), {});
    EngineConnection* found = connectionForProbe();
    if (!found)
      return dispatcher_.probeFinished(id_, outcomeOf(CloseReason::outOfDescriptors, false), {});
    EngineConnection& connection = *found;
    std::string tag(1, 'p');  // no command id starts with this letter
    tag += std::to_string(++probesSent_);
    auto& timeout = connection.probes[tag];
    timeout = std::make_unique<Timer>(scheduler_, [this, &connection, tag] {
      connection.probes.erase(tag);
      recordDropped(connection, tag);
      dispatcher_.probeFinished(id_, Outcome::timedOut, {});
      setIdleIfUnused(connection);
    });
    timeout->set(scheduler_.now() + settings_.connectTimeout);
    connection.slot->markBusy();
    if (connection.connected) {
      connection.stream.write(engine_request::probe(tag, settings_.loadReports));
      connection.timer.clear();
    }
  });
}

// --- connections
// While there are enough connections, each send gets its own: closing the connection is the one sure way to
// abandon a send, and it harms no other. Beyond that, sends share connections, except for commands with an
// ordering key: the next command of the key is sent as soon as the client of this one has gone, and by then
// this one has to be abandoned for certain (rule 5). None if the send has to wait.
Engine::EngineConnection* Engine::connectionFor(const RequestContext& context) {
  EngineConnection* unused = nullptr;
  EngineConnection* leastLoaded = nullptr;
  size_t open = 0;
  for (auto& connection : connections_) {
    if (!connection->stream.isOpen())
      continue;
    ++open;
    size_t load = connection->sends.size() + connection->probes.size();
    // On a connection where this id was abandoned before, the late response would be taken for the new
    // send's.
    if (connection->retired || connection->suspect || connection->dropped.contains(context.request.id))
      continue;
    if (load == 0 && connection->connected && !unused)
      unused = connection.get();
    if (context.request.orderingKey || (load > 0 && !connection->sends.empty() &&
                                        connection->sends.begin()->second->context->request.orderingKey))
      continue;
    if (load >= static_cast<size_t>(settings_.sendsPerConnection))
      continue;
    if (!leastLoaded || load < leastLoaded->sends.size() + leastLoaded->probes.size())
      leastLoaded = connection.get();
  }
  if (unused)
    return unused;
  if (leastLoaded && (open >= maxConnections_ || !connectionQuota_.hasFreeSlot()))
    return leastLoaded;
  return connectionQuota_.hasFreeSlot() ? &connect() : nullptr;
}

Engine::EngineConnection* Engine::connectionForProbe() {
  for (auto& connection : connections_)
    if (connection->connected && connection->stream.isOpen() && !connection->retired && !connection->suspect)
      return connection.get();
  return connectionQuota_.hasFreeSlot() ? &connect() : nullptr;
}

// Opens a connection. If the system is out of descriptors, another owner is asked once to close an idle
// connection.
Engine::EngineConnection& Engine::connect(bool mayEvict) {
  auto& connection = connections_.emplace_back();
  connection = std::make_unique<EngineConnection>(
      scheduler_, signal_, [this, entry = &connection] { connectionTimedOut(**entry); });
  connection->slot = connectionQuota_.acquire([this, reclaimed = connection.get()] {
    reclaimed->stream.close(CloseReason::idle);
    signal_.raise();
  });
  connection->timer.set(scheduler_.now() + settings_.connectTimeout);
  connection->stream.connect(address_);
  if (connection->stream.closeReason() == CloseReason::outOfDescriptors && mayEvict &&
      connectionQuota_.evictOther()) {
    connections_.pop_back();
    return connect(false);
  }
  signal_.raise();
  return *connection;
}

void Engine::connectionTimedOut(EngineConnection& connection) {
  if (!connection.connected)
    connection.stream.close(CloseReason::connectTimedOut);
  else if (connection.suspect)
    connection.stream.close(CloseReason::unresponsive);
  else if (connection.sends.empty() && connection.probes.empty())
    connection.stream.close(CloseReason::idle);
  signal_.raise();
}

// Called when the engine has been silent for too long. Bytes written to a connection that is cut off are lost
// without notice, whereas a new connection fails at once. So idle connections are closed, and the others are
// retired.
void Engine::suspectConnections() {
  bool any = false;
  for (auto& connection : connections_) {
    if (!connection->connected || connection->retired)
      continue;
    any = connection->retired = true;
    if (connection->sends.empty() && connection->probes.empty())
      connection->stream.close(CloseReason::unresponsive);
  }
  if (!any)
    return;
  warn().with("engine", name()) << name() << ": silent for " << scheduler_.now() - silentSince_ << " s, "
                                << sendsInFlight_ << " sends in flight";
  signal_.raise();
}

// A connection with no send and no probe on it is kept for further sends. It is closed here before the engine
// would close it as idle; otherwise a send could cross the engine's close.
void Engine::setIdleIfUnused(EngineConnection& connection) {
  if (!connection.sends.empty() || !connection.probes.empty() || !connection.connected ||
      !connection.stream.isOpen())
    return;
  if (connection.retired) {
    connection.stream.close(CloseReason::replaced);
    signal_.raise();
  } else {
    connection.timer.set(scheduler_.now() + std::max(settings_.idleTimeout - settings_.connectTimeout,
                                                     settings_.idleTimeout / 2));
    connection.slot->markIdle();
  }
}

// One turn of a connection: completes the handshake, reads and handles responses, writes what is queued.
void Engine::serve(EngineConnection& connection) {
  if (!connection.connected) {
    if (!connection.stream.isConnected())
      return;
    connection.connected = true;
    connection.timer.clear();
    for (auto entry = connection.sends.begin(); entry != connection.sends.end();) {
      writeSend(connection, *(entry++)->second);
    }
    for (auto& [tag, timeout] : connection.probes)
      connection.stream.write(engine_request::probe(tag, settings_.loadReports));
    setIdleIfUnused(connection);
  }
  bool responseCompleted = false;
  do {
    size_t sizeBefore = connection.stream.input().size();
    connection.stream.receive();
    if (connection.stream.input().size() > sizeBefore)
      receivedFrom(connection);
    EngineResponse response;
    EngineResponseParser::State state;
    while ((state = connection.parser.next(connection.stream.input(), response)) ==
           EngineResponseParser::State::complete) {
      responseCompleted = true;
      handleResponse(connection, response);
      if (connection.stream.closeReason() == CloseReason::malformed)
        return;
    }
    if (state == EngineResponseParser::State::malformed)
      connection.stream.close(CloseReason::malformed);
  } while (connection.stream.isOpen() && connection.stream.inputLimited());
  // The engine is slow to read: sends that are still queued behind other bytes may not start any more.
  if (!connection.stream.allSent())
    for (auto entry = connection.sends.begin(); entry != connection.sends.end();)
      if (Send& send = *(entry++)->second; !mayStart(*send.context))
        finishIfNotStarted(connection, send);
  connection.stream.flush();
  updateResponseTimer(connection, responseCompleted);
}

// The rest of a response, and pages that the engine holds ready, come at once or never: after as long as a
// connect may take, the connection is of no further use. Guards against responses that stop short or break
// off without a close. Harms sends at an engine, or across a network, that stalls for that long in the middle
// of a response.
void Engine::updateResponseTimer(EngineConnection& connection, bool responseCompleted) {
  bool incomplete = !connection.parser.isBetweenResponses(connection.stream.input()) ||
                    std::ranges::any_of(connection.sends, [](auto& entry) {
                      return entry.second->pages.hasStarted() && !entry.second->abandonedAs;
                    });
  if (!incomplete || !connection.stream.isOpen())
    connection.responseTimer.clear();
  else if (!connection.responseIncomplete || responseCompleted)
    connection.responseTimer.set(scheduler_.now() + settings_.connectTimeout);
  connection.responseIncomplete = incomplete;
}

// Logs the end of a connection, and reports an outcome for each send and probe on it.
void Engine::connectionClosed(EngineConnection& connection) {
  CloseReason reason = connection.stream.closeReason();
  bool unexpected =
      reason != CloseReason::idle && reason != CloseReason::replaced && reason != CloseReason::timedOut;
  if (unexpected || !connection.sends.empty())
    warn().with("engine", name()) << name() << " at " << formatAddress(address_)
                                  << ": connection ended: " << nameOf(reason) << ", "
                                  << connection.sends.size() << " sends in flight";
  else
    debug().with("engine", name()) << name() << ": connection ended: " << nameOf(reason);
  while (!connection.sends.empty()) {
    Send& send = *connection.sends.begin()->second;
    bool started = send.streamPosition && connection.stream.hasStarted(*send.streamPosition);
    finish(connection, send, send.abandonedAs.value_or(outcomeOf(reason, started)));
  }
  for (size_t left = connection.probes.size(); left > 0; --left)
    dispatcher_.probeFinished(id_, outcomeOf(reason, connection.connected), {});
}

// --- responses
void Engine::handleResponse(EngineConnection& connection, EngineResponse& response) {
  if (auto probe = connection.probes.find(response.id); probe != connection.probes.end()) {
    connection.probes.erase(probe);
    dispatcher_.probeFinished(id_, outcomeOf(response.kind), response.loadReport);
    return setIdleIfUnused(connection);
  }
  auto found = connection.sends.find(response.id);
  if (found == connection.sends.end()) {
    // It matches nothing, or is a second copy: harmless, unless such responses never end.
    if (++connection.unmatchedResponses > kMaxUnmatchedResponses)
      connection.stream.close(CloseReason::malformed);
    return;
  }
  connection.unmatchedResponses = 0;
  Send& send = *found->second;
  if (send.abandonedAs)
    return;  // the response crossed our drop or close request
  restartSilenceTimer(send);
  switch (response.kind) {
    case ResponseKind::status:
      if (response.topic)
        dispatcher_.statusReported(send.context, *response.topic, *response.topicValue);
      return;
    case ResponseKind::answered:
    case ResponseKind::page:
      return handlePage(connection, send, response);
    case ResponseKind::overloaded:
    case ResponseKind::error:
    case ResponseKind::expired:
      return finish(connection, send, outcomeOf(response.kind), response.usage, response.loadReport);
    default:
      connection.stream.close(CloseReason::malformed);  // a probe's response under the id of a send
  }
}

// Stores a page. The first one says how many there are: the others are requested then, and the send is
// finished once all have arrived.
void Engine::handlePage(EngineConnection& connection, Send& send, EngineResponse& response) {
  if (!response.hasRequiredFields())
    return connection.stream.close(CloseReason::malformed);
  bool first = response.kind == ResponseKind::answered;
  if (first ? send.pages.hasStarted() : send.pages.hasPage(response.pageNumber))
    return;  // a second copy
  if (!(first ? send.pages.addFirstPage(response) : send.pages.addPage(response)))
    return connection.stream.close(CloseReason::malformed);
  const std::string& id = send.context->request.id;
  if (first && send.context->finished) {  // withdrawn: nobody waits for the pages
    if (send.pages.pageCount() > 1)
      connection.stream.write(engine_request::close(id));
    return finish(connection, send, Outcome::answered, response.usage, response.loadReport, "");
  }
  if (first)
    for (int page = 1; page < send.pages.pageCount(); ++page)
      connection.stream.write(engine_request::page(id, page));
  if (!send.pages.isComplete())
    return;
  if (send.pages.pageCount() > 1)
    connection.stream.write(engine_request::close(id));
  auto rows = send.pages.rows();
  if (!rows)
    return connection.stream.close(CloseReason::malformed);
  finish(connection, send, Outcome::answered, response.usage, response.loadReport, std::move(rows));
}

// Called when a send has timed out, or was cancelled by the module. A send of which nothing has been
// transmitted never ran. Any other is in flight until the engine has learned that it is abandoned, or until
// the connection is closed (an engine that is cut off would keep it for all that time): only then may another
// send of the command, or the next command of its ordering key, start. If the send is alone on its
// connection, the connection is closed. Otherwise the engine is sent a drop request, and the outcome waits
// until something is received: the request has arrived by then.
void Engine::abandon(EngineConnection& connection, Send& send, Outcome outcome) {
  if (send.abandonedAs)
    return finish(connection, send,
                  *send.abandonedAs);  // whether the engine knows or not, the client has gone
  if (finishIfNotStarted(connection, send))
    return;
  send.silenceTimer.clear();
  const std::string id = send.context->request.id;
  double now = scheduler_.now();
  debug().with("engine", name()).with("command", std::string(id))
      << name() << ": abandons " << id << " after " << now - send.startedAt << " s";
  if (silentSince_ <= send.startedAt)
    suspectConnections();
  signal_.raise();
  if (connection.sends.size() == 1) {
    finish(connection, send, outcome);
    return connection.stream.close(CloseReason::timedOut);
  }
  connection.stream.write(send.pages.hasStarted() ? engine_request::close(id) : engine_request::drop(id));
  recordDropped(connection, id);
  if (send.context->finished || now >= send.context->request.responseDeadline())
    return finish(connection, send, outcome);  // no further send will follow
  send.abandonedAs = outcome;
  send.deadlineTimer.set(send.context->request.responseDeadline());
  if (!std::exchange(connection.suspect, true))
    connection.timer.set(now + std::max(settings_.connectTimeout, 2 * settings_.statusInterval));
}

// Remembers an id whose response may still arrive, for as long as the idle timeout.
void Engine::recordDropped(EngineConnection& connection, const std::string& id) {
  double now = scheduler_.now();
  connection.dropped.forgetBefore(now - settings_.idleTimeout);
  connection.dropped.add(id, now);
}

// Anything that is received shows that the engine has read the drop requests of a suspect connection.
void Engine::receivedFrom(EngineConnection& connection) {
  silentSince_ = scheduler_.now();
  if (!std::exchange(connection.suspect, false))
    return;
  connection.timer.clear();
  for (auto entry = connection.sends.begin(); entry != connection.sends.end();)
    if (Send& send = *(entry++)->second; send.abandonedAs)
      finish(connection, send, *send.abandonedAs);
}

// Removes a send from its connection and reports its outcome.
void Engine::finish(EngineConnection& connection, Send& send, Outcome outcome,
                    std::optional<ResourceUsage> usage, std::optional<LoadReport> loadReport,
                    std::optional<std::string> rows) {
  auto owner = connection.sends.extract(send.context->request.id);
  --sendsInFlight_;
  double took = scheduler_.now() - send.startedAt;
  if (outcome != Outcome::answered) {
    debug().with("engine", name()).with("command", send.context->request.id)
        << name() << ": send of " << send.context->request.id << " ended after " << took << " s";
    // A response may still come, or come twice: a further send of the command uses another connection.
    recordDropped(connection, send.context->request.id);
  }
  dispatcher_.sendFinished(send.context, outcome, took, usage, loadReport, std::move(rows));
  setIdleIfUnused(connection);
}

}  // namespace elmcleat
