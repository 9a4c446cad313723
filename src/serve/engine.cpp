#include "serve/engine.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "runtime/log.h"
#include "serve/outcome.h"

namespace elmcleat {
namespace {

constexpr size_t kMostIn = 64 * 1024;  // more than the longest answer
constexpr size_t kMostOut = 1 << 20;   // statements that wait for an engine that does not read
constexpr int kMostStrays = 64;        // late answers, and a few beside a good one that belong to nothing

}  // namespace

Engine::EngineConnection::EngineConnection(Scheduler& scheduler, Signal& signal, std::function<void()> late)
    : stream(scheduler, signal, kMostIn, kMostOut),
      timer(scheduler, std::move(late)),
      responseTimer(scheduler, [this, &signal] { stream.close(CloseReason::incomplete), signal.raise(); }) {}

Engine::Engine(Scheduler& scheduler, const ConnectionSettings& settings, Dispatcher& dispatcher, uint32_t id,
               const size_t& most, ConnectionQuota& room)
    : scheduler_(scheduler),
      settings_(settings),
      dispatcher_(dispatcher),
      id_(id),
      maxConnections_(most),
      connectionQuota_(room),
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

// --- from the list
void Engine::setAddress(const Address& address, std::optional<double> started) {
  mailbox_.post([this, address, started] {
    if (address == address_ && started == started_ && !retired_)
      return;
    if (!connections_.empty())
      retireConnections();
    address_ = address, started_ = started, retired_ = false;
  });
}

void Engine::retire() {
  mailbox_.post([this] {
    if (!std::exchange(retired_, true))
      retireConnections();
  });
}

// No connection takes anything new; what has not begun to go out never will (rule 3: for drains a send counts
// from its first byte).
void Engine::retireConnections() {
  while (!waiting_.empty())
    endWaiting(*waiting_.front()->context, CloseReason::replaced);
  for (auto& connection : connections_) {
    connection->retired = true;
    for (auto at = connection->sends.begin(); at != connection->sends.end();) {
      Send& send = *(at++)->second;
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
    // Notes on every send come at a set pace: where two of them fail to come, the engine is cut off or gone.
    if (settings_.statusInterval > 0 && sends_ > 0 && now > quietSince_ + 2 * settings_.statusInterval)
      suspectConnections();
    startSend(context, until);
  });
}

void Engine::startSend(std::shared_ptr<RequestContext> context, double until) {
  if (!mayStart(*context))
    return dispatcher_.sendFinished(context, outcomeOf(CloseReason::timedOut, false), 0, {}, {}, {});
  EngineConnection* connection = connectionFor(*context);
  if (!connection) {  // it waits for a connection, at most until its time is up
    auto& one = waiting_.emplace_back(std::make_unique<WaitingSend>(
        scheduler_, [this, context] { endWaiting(*context, CloseReason::timedOut); }));
    one->context = context, one->deadlineAt = until;
    one->deadlineTimer.set(std::min(until, context->startDeadline));
    return connectionQuota_.addWaiter(signal_);
  }
  const std::string& id = context->request.id;
  double now = scheduler_.now();
  auto& send = connection->sends[id];
  send = std::make_unique<Send>(
      scheduler_, [this, connection, id] { deadlineReached(*connection, *connection->sends.at(id)); },
      [this, connection, id] { abandon(*connection, *connection->sends.at(id), Outcome::timedOut); });
  send->context = context, send->sentAt = now, send->deadlineAt = until;
  send->deadlineTimer.set(std::min(until, context->startDeadline));
  if (sends_++ == 0)
    quietSince_ = now;
  connection->slot->markBusy();
  if (connection->connected)
    write(*connection, *send);
}

// A place that was offered to us and that nobody of ours wants any more is for the next who waits.
void Engine::startWaiting() {
  if (waiting_.empty())
    return connectionQuota_.notifyWaiter();
  for (auto& one : std::exchange(waiting_, {}))
    startSend(one->context, one->deadlineAt);
}

// A send that waits for a connection never ran.
void Engine::endWaiting(const RequestContext& context, CloseReason ending) {
  auto found = std::ranges::find_if(waiting_, [&](auto& one) { return one->context.get() == &context; });
  if (found == waiting_.end())
    return;
  auto kept = std::move(*found);  // the call may come from its timer
  waiting_.erase(found);
  dispatcher_.sendFinished(kept->context, outcomeOf(ending, false), 0, {}, {}, {});
}

// The client is looked at in the last moment: a wake after a stop may find its end beside what lets its send begin.
void Engine::write(EngineConnection& connection, Send& send) {
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

// Notes on every send come at a set pace. One on which two have failed to come has lost its answer, or its engine:
// it is given up then, and not only at its time-out, which may be the client's. Guards against answers that never
// come, come after their time, or were read by nobody. Hurts where an engine is too busy to write its notes.
void Engine::restartSilenceTimer(Send& send) {
  if (settings_.statusInterval > 0)
    send.silenceTimer.set(scheduler_.now() + 2 * settings_.statusInterval + settings_.connectTimeout);
}

std::pair<Engine::EngineConnection*, Engine::Send*> Engine::find(const RequestContext& context) {
  for (auto& connection : connections_)
    if (auto found = connection->sends.find(context.request.id); found != connection->sends.end())
      return {connection.get(), found->second.get()};
  return {nullptr, nullptr};
}

void Engine::reprioritise(std::shared_ptr<RequestContext> context) {
  mailbox_.post([this, context = std::move(context)] {
    if (auto [connection, send] = find(*context); send && send->streamPosition && !send->pages.hasStarted())
      connection->stream.write(engine_request::priority(context->request.id, *context->priority));
  });
}

void Engine::cancel(std::shared_ptr<RequestContext> context) {
  mailbox_.post([this, context = std::move(context)] {
    if (auto [connection, send] = find(*context); send)
      abandon(*connection, *send, Outcome::cancelled);
    else
      endWaiting(*context, CloseReason::timedOut);
  });
}

// No command whose client has gone begins, wherever it stands: in a mailbox, waiting for a connection or a handshake,
// or behind bytes that the engine does not read.
void Engine::withdraw(std::shared_ptr<RequestContext> context) {
  mailbox_.post([this, context = std::move(context)] {
    if (auto [connection, send] = find(*context); send)
      finishIfNotStarted(*connection, *send);
    else
      endWaiting(*context, CloseReason::timedOut);
  });
}

// It must be over by its command's end, which has come nearer.
void Engine::shortenDeadline(std::shared_ptr<RequestContext> context) {
  mailbox_.post([this, context = std::move(context)] {
    double end = context->request.responseDeadline();
    if (auto [connection, send] = find(*context); send) {
      send->deadlineAt = std::min(send->deadlineAt, end);
      send->deadlineTimer.set(send->abandonedAs ? end : std::min(send->deadlineAt, context->startDeadline));
    }
    for (auto& one : waiting_)
      if (one->context == context)
        one->deadlineAt = std::min(one->deadlineAt, end),
        one->deadlineTimer.set(std::min(one->deadlineAt, context->startDeadline));
  });
}

// Its time to begin, or all of its time, is up.
void Engine::deadlineReached(EngineConnection& connection, Send& send) {
  if (scheduler_.now() >= send.deadlineAt)
    abandon(connection, send, Outcome::timedOut);
  else if (!finishIfNotStarted(connection, send))
    send.deadlineTimer.set(send.deadlineAt);
}

// A send of which nothing has gone out never ran. False: something has.
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
    std::string tag(1, 'p');  // no id of a command begins so
    tag += std::to_string(++probes_);
    auto& limit = connection.probes[tag];
    limit = std::make_unique<Timer>(scheduler_, [this, &connection, tag] {
      connection.probes.erase(tag);
      drop(connection, tag);
      dispatcher_.probeFinished(id_, Outcome::timedOut, {});
      setIdleIfUnused(connection);
    });
    limit->set(scheduler_.now() + settings_.connectTimeout);
    connection.slot->markBusy();
    if (connection.connected)
      connection.stream.write(engine_request::probe(tag, settings_.loadReports)), connection.timer.clear();
  });
}

// --- connections
// A send gets a connection for itself while there are enough: closing it is the one way to give a send up
// that is sure to work, and it harms no other. Beyond that they share, but for commands with a key: the next
// of the key goes out as soon as this one's client has gone, and by then it has to be given up for sure
// (rule 5).
Engine::EngineConnection* Engine::connectionFor(const RequestContext& context) {
  EngineConnection *free = nullptr, *least = nullptr;
  size_t open = 0;
  for (auto& connection : connections_) {
    if (!connection->stream.isOpen())
      continue;
    ++open;
    size_t load = connection->sends.size() + connection->probes.size();
    // Where the id was given up before, its late answer would be taken for the new one's.
    if (connection->retired || connection->suspect || connection->droppedAt.contains(context.request.id))
      continue;
    if (load == 0 && connection->connected && !free)
      free = connection.get();
    if (context.request.orderingKey || (load > 0 && !connection->sends.empty() &&
                                        connection->sends.begin()->second->context->request.orderingKey))
      continue;
    if (load >= static_cast<size_t>(settings_.sendsPerConnection))
      continue;
    if (!least || load < least->sends.size() + least->probes.size())
      least = connection.get();
  }
  if (free)
    return free;
  if (least && (open >= maxConnections_ || !connectionQuota_.hasFreeSlot()))
    return least;
  return connectionQuota_.hasFreeSlot() ? &connect() : nullptr;
}

Engine::EngineConnection* Engine::connectionForProbe() {
  for (auto& connection : connections_)
    if (connection->connected && connection->stream.isOpen() && !connection->retired && !connection->suspect)
      return connection.get();
  return connectionQuota_.hasFreeSlot() ? &connect() : nullptr;
}

Engine::EngineConnection& Engine::connect(bool again) {
  auto& made = connections_.emplace_back();
  made = std::make_unique<EngineConnection>(scheduler_, signal_,
                                            [this, slot = &made] { connectionTimedOut(**slot); });
  made->slot = connectionQuota_.acquire(
      [this, connection = made.get()] { connection->stream.close(CloseReason::idle), signal_.raise(); });
  made->timer.set(scheduler_.now() + settings_.connectTimeout);
  made->stream.connect(address_);
  if (made->stream.closeReason() == CloseReason::outOfDescriptors && again && connectionQuota_.evictOther()) {
    connections_.pop_back();
    return connect(false);
  }
  signal_.raise();
  return *made;
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

// Nothing came from this engine for too long. What goes out on a connection that is cut is lost without a
// word; a new one fails at once. So what is idle is closed, and the others take nothing new.
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
  warn().with("engine", name()) << name() << ": silent for " << scheduler_.now() - quietSince_ << " s, "
                                << sends_ << " sends out";
  signal_.raise();
}

// With nothing open on it a connection waits for work, and is closed by us before the engine does it: else a
// send could cross the close.
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

void Engine::serve(EngineConnection& connection) {
  if (!connection.connected) {
    if (!connection.stream.isConnected())
      return;
    connection.connected = true;
    connection.timer.clear();
    for (auto at = connection.sends.begin(); at != connection.sends.end();) {
      write(connection, *(at++)->second);
    }
    for (auto& [tag, limit] : connection.probes)
      connection.stream.write(engine_request::probe(tag, settings_.loadReports));
    setIdleIfUnused(connection);
  }
  bool news = false;  // a whole answer came
  do {
    size_t had = connection.stream.input().size();
    connection.stream.receive();
    if (connection.stream.input().size() > had)
      receivedFrom(connection);
    EngineResponse response;
    EngineResponseParser::State state;
    while ((state = connection.reader.next(connection.stream.input(), response)) ==
           EngineResponseParser::State::complete) {
      news = true;
      handleResponse(connection, response);
      if (connection.stream.closeReason() == CloseReason::malformed)
        return;
    }
    if (state == EngineResponseParser::State::malformed)
      connection.stream.close(CloseReason::malformed);
  } while (connection.stream.isOpen() && connection.stream.inputLimited());
  if (!connection.stream.allSent())  // the engine has read little for a while
    for (auto at = connection.sends.begin(); at != connection.sends.end();)
      if (Send& send = *(at++)->second; !mayStart(*send.context))
        finishIfNotStarted(connection, send);
  connection.stream.flush();
  updateResponseTimer(connection, news);
}

// The rest of an answer, and pages that lie ready, come at once or never: after the time in which a connection
// has to come up, this one is of no further use. Guards against answers that stop short or break off without a
// close. Hurts an engine, or a network, that stands still for that long in the middle of an answer.
void Engine::updateResponseTimer(EngineConnection& connection, bool news) {
  bool owed = !connection.reader.isBetweenResponses(connection.stream.input()) ||
              std::ranges::any_of(connection.sends, [](auto& held) {
                return held.second->pages.hasStarted() && !held.second->abandonedAs;
              });
  if (!owed || !connection.stream.isOpen())
    connection.responseTimer.clear();
  else if (!connection.responseIncomplete || news)
    connection.responseTimer.set(scheduler_.now() + settings_.connectTimeout);
  connection.responseIncomplete = owed;
}

void Engine::connectionClosed(EngineConnection& connection) {
  CloseReason ending = connection.stream.closeReason();
  bool news =
      ending != CloseReason::idle && ending != CloseReason::replaced && ending != CloseReason::timedOut;
  if (news || !connection.sends.empty())
    warn().with("engine", name()) << name() << " at " << formatAddress(address_)
                                  << ": connection ended: " << nameOf(ending) << ", "
                                  << connection.sends.size() << " sends out";
  else
    debug().with("engine", name()) << name() << ": connection ended: " << nameOf(ending);
  while (!connection.sends.empty()) {
    Send& send = *connection.sends.begin()->second;
    bool begun = send.streamPosition && connection.stream.hasStarted(*send.streamPosition);
    finish(connection, send, send.abandonedAs.value_or(outcomeOf(ending, begun)));
  }
  for (size_t left = connection.probes.size(); left > 0; --left)
    dispatcher_.probeFinished(id_, outcomeOf(ending, connection.connected), {});
}

// --- answers
void Engine::handleResponse(EngineConnection& connection, EngineResponse& response) {
  if (auto probe = connection.probes.find(response.id); probe != connection.probes.end()) {
    connection.probes.erase(probe);
    dispatcher_.probeFinished(id_, outcomeOf(response.kind), response.loadReport);
    return setIdleIfUnused(connection);
  }
  auto found = connection.sends.find(response.id);
  if (found == connection.sends
                   .end()) {  // to nothing asked, or a second copy: it harms nothing, unless they never end
    if (++connection.unmatchedResponses > kMostStrays)
      connection.stream.close(CloseReason::malformed);
    return;
  }
  connection.unmatchedResponses = 0;
  Send& send = *found->second;
  if (send.abandonedAs)
    return;  // it crossed our word
  restartSilenceTimer(send);
  switch (response.kind) {
    case ResponseKind::status:
      if (response.topic)
        dispatcher_.statusReported(send.context, *response.topic, response.topicValue);
      return;
    case ResponseKind::answered:
    case ResponseKind::page:
      return handlePage(connection, send, response);
    case ResponseKind::overloaded:
    case ResponseKind::error:
    case ResponseKind::expired:
      return finish(connection, send, outcomeOf(response.kind), response.usage, response.loadReport);
    default:
      connection.stream.close(CloseReason::malformed);  // a probe's answer under a send's id
  }
}

void Engine::handlePage(EngineConnection& connection, Send& send, EngineResponse& response) {
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

// The time is up, or the module has cancelled it. What has not begun to go out never ran. Else it is out
// until the engine has heard that it is given up, or the connection is closed (a cut engine would hold it all
// the while): only then may a further send go out, or the next command of its key. Alone on its connection it
// is given up by closing that; among others, the outcome waits until something comes: the word has arrived by
// then.
void Engine::abandon(EngineConnection& connection, Send& send, Outcome what) {
  if (send.abandonedAs)
    return finish(connection, send, *send.abandonedAs);  // heard or not, its client has gone
  if (finishIfNotStarted(connection, send))
    return;
  send.silenceTimer.clear();
  const std::string id = send.context->request.id;
  double now = scheduler_.now();
  debug().with("engine", name()).with("command", std::string(id))
      << name() << ": gives up " << id << " after " << now - send.sentAt << " s";
  if (quietSince_ <= send.sentAt)
    suspectConnections();
  signal_.raise();
  if (connection.sends.size() == 1) {
    finish(connection, send, what);
    return connection.stream.close(CloseReason::timedOut);
  }
  connection.stream.write(send.pages.hasStarted() ? engine_request::close(id) : engine_request::drop(id));
  drop(connection, id);
  if (send.context->finished || now >= send.context->request.responseDeadline())
    return finish(connection, send, what);  // no further send
  send.abandonedAs = what;
  send.deadlineTimer.set(send.context->request.responseDeadline());
  if (!std::exchange(connection.suspect, true))
    connection.timer.set(now + std::max(settings_.connectTimeout, 2 * settings_.statusInterval));
}

void Engine::drop(EngineConnection& connection, const std::string& id) {
  double now = scheduler_.now();
  std::erase_if(connection.droppedAt, [&](auto& it) { return it.second < now - settings_.idleTimeout; });
  connection.droppedAt[id] = now;
}

void Engine::receivedFrom(EngineConnection& connection) {
  quietSince_ = scheduler_.now();
  if (!std::exchange(connection.suspect, false))
    return;
  connection.timer.clear();
  for (auto at = connection.sends.begin(); at != connection.sends.end();)
    if (Send& send = *(at++)->second; send.abandonedAs)
      finish(connection, send, *send.abandonedAs);
}

void Engine::finish(EngineConnection& connection, Send& send, Outcome what,
                    std::optional<ResourceUsage> usage, std::optional<LoadReport> report,
                    std::optional<std::string> rows) {
  auto node = connection.sends.extract(send.context->request.id);
  --sends_;
  double took = scheduler_.now() - send.sentAt;
  if (what != Outcome::answered) {
    debug().with("engine", name()).with("command", send.context->request.id)
        << name() << ": send of " << send.context->request.id << " ended after " << took << " s";
    drop(connection,
         send.context->request.id);  // a further send of it goes elsewhere, should this answer have a copy
  }
  dispatcher_.sendFinished(send.context, what, took, usage, report, std::move(rows));
  setIdleIfUnused(connection);
}

}  // namespace elmcleat
