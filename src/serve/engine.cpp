#include "serve/engine.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "runtime/log.h"
#include "serve/close_reason.h"

namespace elmcleat {
namespace {

constexpr size_t kMostIn = 64 * 1024;  // more than the longest answer
constexpr size_t kMostOut = 1 << 20;   // statements that wait for an engine that does not read
constexpr int kMostStrays = 64;        // late answers, and a few beside a good one that belong to nothing

}  // namespace

Engine::Link::Link(Scheduler& scheduler, Signal& signal, std::function<void()> late)
    : stream(scheduler, signal, kMostIn, kMostOut),
      timer(scheduler, std::move(late)),
      rest(scheduler, [this, &signal] { stream.end(CloseReason::cutShort), signal.raise(); }) {}

Engine::Engine(Scheduler& scheduler, const LinkSettings& settings, Dispatcher& dispatcher, uint32_t id,
               const size_t& most, LinkRoom& room)
    : scheduler_(scheduler),
      settings_(settings),
      dispatcher_(dispatcher),
      id_(id),
      most_(most),
      room_(room),
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
    mailbox_.drain();
    for (auto link = links_.begin(); link != links_.end();) {
      serve(**link);
      if ((*link)->stream.open()) {
        ++link;
        continue;
      }
      lost(**link);
      link = links_.erase(link);
    }
    beginWaiting();
  }
}

// --- from the list
void Engine::place(const Address& address, std::optional<double> started) {
  mailbox_.post([this, address, started] {
    if (address == address_ && started == started_ && !retired_)
      return;
    if (!links_.empty())
      release();
    address_ = address, started_ = started, retired_ = false;
  });
}

void Engine::retire() {
  mailbox_.post([this] {
    if (!std::exchange(retired_, true))
      release();
  });
}

// No connection takes anything new; what has not begun to go out never will (rule 3: for drains a send counts
// from its first byte).
void Engine::release() {
  while (!waiting_.empty())
    endWaiting(*waiting_.front()->ticket, CloseReason::replaced);
  for (auto& link : links_) {
    link->old = true;
    for (auto at = link->sends.begin(); at != link->sends.end();) {
      Send& send = *(at++)->second;
      if (send.place && !link->stream.withdraw(*send.place))
        continue;
      finish(*link, send, outcomeOf(CloseReason::replaced, false));
    }
    if (link->sends.empty())
      link->stream.end(CloseReason::replaced);
  }
}

// --- from the dispatcher
void Engine::send(std::shared_ptr<Ticket> ticket, double until) {
  mailbox_.post([this, ticket = std::move(ticket), until] {
    if (retired_)
      return dispatcher_.ended(ticket, outcomeOf(CloseReason::replaced, false), 0, {}, {}, {});
    double now = scheduler_.now();
    // Notes on every send come at a set pace: where two of them fail to come, the engine is cut off or gone.
    if (settings_.noteEvery > 0 && sends_ > 0 && now > quietSince_ + 2 * settings_.noteEvery)
      doubt();
    begin(ticket, until);
  });
}

void Engine::begin(std::shared_ptr<Ticket> ticket, double until) {
  if (!mayBegin(*ticket))
    return dispatcher_.ended(ticket, outcomeOf(CloseReason::timedOut, false), 0, {}, {}, {});
  Link* link = linkFor(*ticket);
  if (!link) {  // it waits for a connection, at most until its time is up
    auto& one = waiting_.emplace_back(std::make_unique<Waiting>(
        scheduler_, [this, ticket] { endWaiting(*ticket, CloseReason::timedOut); }));
    one->ticket = ticket, one->until = until;
    one->deadline.set(std::min(until, ticket->beginBy));
    return room_.wait(signal_);
  }
  const std::string& id = ticket->ask.id;
  double now = scheduler_.now();
  auto& send = link->sends[id];
  send = std::make_unique<Send>(
      scheduler_, [this, link, id] { due(*link, *link->sends.at(id)); },
      [this, link, id] { giveUp(*link, *link->sends.at(id), Outcome::timedOut); });
  send->ticket = ticket, send->sentAt = now, send->until = until;
  send->deadline.set(std::min(until, ticket->beginBy));
  if (sends_++ == 0)
    quietSince_ = now;
  link->place->busy();
  if (link->up)
    write(*link, *send);
}

// A place that was offered to us and that nobody of ours wants any more is for the next who waits.
void Engine::beginWaiting() {
  if (waiting_.empty())
    return room_.offer();
  for (auto& one : std::exchange(waiting_, {}))
    begin(one->ticket, one->until);
}

// A send that waits for a connection never ran.
void Engine::endWaiting(const Ticket& ticket, CloseReason ending) {
  auto found = std::ranges::find_if(waiting_, [&](auto& one) { return one->ticket.get() == &ticket; });
  if (found == waiting_.end())
    return;
  auto kept = std::move(*found);  // the call may come from its timer
  waiting_.erase(found);
  dispatcher_.ended(kept->ticket, outcomeOf(ending, false), 0, {}, {}, {});
}

// The client is looked at in the last moment: a wake after a stop may find its end beside what lets its send begin.
void Engine::write(Link& link, Send& send) {
  if (!mayBegin(*send.ticket) || !send.ticket->asker->present()) {
    endUnbegun(link, send);
    return;
  }
  const Ask& ask = send.ticket->ask;
  send.place = link.stream.write(engine_line::send(
      {ask.id, ask.profile, ask.token, ask.statement, send.until - scheduler_.now(), send.ticket->priority}));
  link.timer.clear();
  listen(send);
}

// Notes on every send come at a set pace. One on which two have failed to come has lost its answer, or its engine:
// it is given up then, and not only at its time-out, which may be the client's. Guards against answers that never
// come, come after their time, or were read by nobody. Hurts where an engine is too busy to write its notes.
void Engine::listen(Send& send) {
  if (settings_.noteEvery > 0)
    send.unheard.set(scheduler_.now() + 2 * settings_.noteEvery + settings_.connectTimeout);
}

std::pair<Engine::Link*, Engine::Send*> Engine::find(const Ticket& ticket) {
  for (auto& link : links_)
    if (auto found = link->sends.find(ticket.ask.id); found != link->sends.end())
      return {link.get(), found->second.get()};
  return {nullptr, nullptr};
}

void Engine::reprioritise(std::shared_ptr<Ticket> ticket) {
  mailbox_.post([this, ticket = std::move(ticket)] {
    if (auto [link, send] = find(*ticket); send && send->place && !send->pages.begun())
      link->stream.write(engine_line::priority(ticket->ask.id, *ticket->priority));
  });
}

void Engine::cancel(std::shared_ptr<Ticket> ticket) {
  mailbox_.post([this, ticket = std::move(ticket)] {
    if (auto [link, send] = find(*ticket); send)
      giveUp(*link, *send, Outcome::cancelled);
    else
      endWaiting(*ticket, CloseReason::timedOut);
  });
}

// No command whose client has gone begins, wherever it stands: in a mailbox, waiting for a connection or a handshake,
// or behind bytes that the engine does not read.
void Engine::withdraw(std::shared_ptr<Ticket> ticket) {
  mailbox_.post([this, ticket = std::move(ticket)] {
    if (auto [link, send] = find(*ticket); send)
      endUnbegun(*link, *send);
    else
      endWaiting(*ticket, CloseReason::timedOut);
  });
}

// It must be over by its command's end, which has come nearer.
void Engine::shorten(std::shared_ptr<Ticket> ticket) {
  mailbox_.post([this, ticket = std::move(ticket)] {
    double end = ticket->ask.answerBy();
    if (auto [link, send] = find(*ticket); send) {
      send->until = std::min(send->until, end);
      send->deadline.set(send->givenUp ? end : std::min(send->until, ticket->beginBy));
    }
    for (auto& one : waiting_)
      if (one->ticket == ticket)
        one->until = std::min(one->until, end), one->deadline.set(std::min(one->until, ticket->beginBy));
  });
}

// Its time to begin, or all of its time, is up.
void Engine::due(Link& link, Send& send) {
  if (scheduler_.now() >= send.until)
    giveUp(link, send, Outcome::timedOut);
  else if (!endUnbegun(link, send))
    send.deadline.set(send.until);
}

// A send of which nothing has gone out never ran. False: something has.
bool Engine::endUnbegun(Link& link, Send& send) {
  if (send.place && !link.stream.withdraw(*send.place))
    return false;
  finish(link, send, outcomeOf(CloseReason::timedOut, false));
  return true;
}

void Engine::probe() {
  mailbox_.post([this] {
    if (retired_)
      return dispatcher_.probed(id_, outcomeOf(CloseReason::replaced, false), {});
    Link* found = linkForProbe();
    if (!found)
      return dispatcher_.probed(id_, outcomeOf(CloseReason::noDescriptor, false), {});
    Link& link = *found;
    std::string tag(1, 'p');  // no id of a command begins so
    tag += std::to_string(++probes_);
    auto& limit = link.probes[tag];
    limit = std::make_unique<Timer>(scheduler_, [this, &link, tag] {
      link.probes.erase(tag);
      drop(link, tag);
      dispatcher_.probed(id_, Outcome::timedOut, {});
      rest(link);
    });
    limit->set(scheduler_.now() + settings_.connectTimeout);
    link.place->busy();
    if (link.up)
      link.stream.write(engine_line::probe(tag, settings_.reports)), link.timer.clear();
  });
}

// --- connections
// A send gets a connection for itself while there are enough: closing it is the one way to give a send up
// that is sure to work, and it harms no other. Beyond that they share, but for commands with a key: the next
// of the key goes out as soon as this one's client has gone, and by then it has to be given up for sure
// (rule 5).
Engine::Link* Engine::linkFor(const Ticket& ticket) {
  Link *free = nullptr, *least = nullptr;
  size_t open = 0;
  for (auto& link : links_) {
    if (!link->stream.open())
      continue;
    ++open;
    size_t load = link->sends.size() + link->probes.size();
    // Where the id was given up before, its late answer would be taken for the new one's.
    if (link->old || link->doubted || link->dropped.contains(ticket.ask.id))
      continue;
    if (load == 0 && link->up && !free)
      free = link.get();
    if (ticket.ask.key || (load > 0 && !link->sends.empty() && link->sends.begin()->second->ticket->ask.key))
      continue;
    if (load >= static_cast<size_t>(settings_.sendsPerConnection))
      continue;
    if (!least || load < least->sends.size() + least->probes.size())
      least = link.get();
  }
  if (free)
    return free;
  if (least && (open >= most_ || !room_.any()))
    return least;
  return room_.any() ? &connect() : nullptr;
}

Engine::Link* Engine::linkForProbe() {
  for (auto& link : links_)
    if (link->up && link->stream.open() && !link->old && !link->doubted)
      return link.get();
  return room_.any() ? &connect() : nullptr;
}

Engine::Link& Engine::connect(bool again) {
  auto& made = links_.emplace_back();
  made = std::make_unique<Link>(scheduler_, signal_, [this, slot = &made] { late(**slot); });
  made->place =
      room_.take([this, link = made.get()] { link->stream.end(CloseReason::idle), signal_.raise(); });
  made->timer.set(scheduler_.now() + settings_.connectTimeout);
  made->stream.connect(address_);
  if (made->stream.closeReason() == CloseReason::noDescriptor && again && room_.evict()) {
    links_.pop_back();
    return connect(false);
  }
  signal_.raise();
  return *made;
}

void Engine::late(Link& link) {
  if (!link.up)
    link.stream.end(CloseReason::connectLate);
  else if (link.doubted)
    link.stream.end(CloseReason::silent);
  else if (link.sends.empty() && link.probes.empty())
    link.stream.end(CloseReason::idle);
  signal_.raise();
}

// Nothing came from this engine for too long. What goes out on a connection that is cut is lost without a
// word; a new one fails at once. So what is idle is closed, and the others take nothing new.
void Engine::doubt() {
  bool any = false;
  for (auto& link : links_) {
    if (!link->up || link->old)
      continue;
    any = link->old = true;
    if (link->sends.empty() && link->probes.empty())
      link->stream.end(CloseReason::silent);
  }
  if (!any)
    return;
  warn().with("engine", name()) << name() << ": silent for " << scheduler_.now() - quietSince_ << " s, "
                                << sends_ << " sends out";
  signal_.raise();
}

// With nothing open on it a connection waits for work, and is closed by us before the engine does it: else a
// send could cross the close.
void Engine::rest(Link& link) {
  if (!link.sends.empty() || !link.probes.empty() || !link.up || !link.stream.open())
    return;
  if (link.old) {
    link.stream.end(CloseReason::replaced);
    signal_.raise();
  } else {
    link.timer.set(scheduler_.now() +
                   std::max(settings_.idle - settings_.connectTimeout, settings_.idle / 2));
    link.place->idle();
  }
}

void Engine::serve(Link& link) {
  if (!link.up) {
    if (!link.stream.connected())
      return;
    link.up = true;
    link.timer.clear();
    for (auto at = link.sends.begin(); at != link.sends.end();) {
      write(link, *(at++)->second);
    }
    for (auto& [tag, limit] : link.probes)
      link.stream.write(engine_line::probe(tag, settings_.reports));
    rest(link);
  }
  bool news = false;  // a whole answer came
  do {
    size_t had = link.stream.in().size();
    link.stream.fill();
    if (link.stream.in().size() > had)
      heard(link);
    EngineAnswer answer;
    EngineReader::State state;
    while ((state = link.reader.next(link.stream.in(), answer)) == EngineReader::State::whole) {
      news = true;
      heed(link, answer);
      if (link.stream.closeReason() == CloseReason::garbled)
        return;
    }
    if (state == EngineReader::State::bad)
      link.stream.end(CloseReason::garbled);
  } while (link.stream.open() && link.stream.cutShort());
  if (!link.stream.drained())  // the engine has read little for a while
    for (auto at = link.sends.begin(); at != link.sends.end();)
      if (Send& send = *(at++)->second; !mayBegin(*send.ticket))
        endUnbegun(link, send);
  link.stream.flush();
  expect(link, news);
}

// The rest of an answer, and pages that lie ready, come at once or never: after the time in which a connection
// has to come up, this one is of no further use. Guards against answers that stop short or break off without a
// close. Hurts an engine, or a network, that stands still for that long in the middle of an answer.
void Engine::expect(Link& link, bool news) {
  bool owed = !link.reader.between(link.stream.in()) || std::ranges::any_of(link.sends, [](auto& held) {
    return held.second->pages.begun() && !held.second->givenUp;
  });
  if (!owed || !link.stream.open())
    link.rest.clear();
  else if (!link.owed || news)
    link.rest.set(scheduler_.now() + settings_.connectTimeout);
  link.owed = owed;
}

void Engine::lost(Link& link) {
  CloseReason ending = link.stream.closeReason();
  bool news =
      ending != CloseReason::idle && ending != CloseReason::replaced && ending != CloseReason::timedOut;
  if (news || !link.sends.empty())
    warn().with("engine", name()) << name() << " at " << textOf(address_)
                                  << ": connection ended: " << nameOf(ending) << ", " << link.sends.size()
                                  << " sends out";
  else
    debug().with("engine", name()) << name() << ": connection ended: " << nameOf(ending);
  while (!link.sends.empty()) {
    Send& send = *link.sends.begin()->second;
    bool begun = send.place && link.stream.begun(*send.place);
    finish(link, send, send.givenUp.value_or(outcomeOf(ending, begun)));
  }
  for (size_t left = link.probes.size(); left > 0; --left)
    dispatcher_.probed(id_, outcomeOf(ending, link.up), {});
}

// --- answers
void Engine::heed(Link& link, EngineAnswer& answer) {
  if (auto probe = link.probes.find(answer.id); probe != link.probes.end()) {
    link.probes.erase(probe);
    dispatcher_.probed(id_, outcomeOf(answer.word), answer.report);
    return rest(link);
  }
  auto found = link.sends.find(answer.id);
  if (found ==
      link.sends.end()) {  // to nothing asked, or a second copy: it harms nothing, unless they never end
    if (++link.strays > kMostStrays)
      link.stream.end(CloseReason::garbled);
    return;
  }
  link.strays = 0;
  Send& send = *found->second;
  if (send.givenUp)
    return;  // it crossed our word
  listen(send);
  switch (answer.word) {
    case Word::note:
      if (answer.topic)
        dispatcher_.noted(send.ticket, *answer.topic, answer.level);
      return;
    case Word::answered:
    case Word::page:
      return heedPage(link, send, answer);
    case Word::full:
    case Word::error:
    case Word::over:
      return finish(link, send, outcomeOf(answer.word), answer.bill, answer.report);
    default:
      link.stream.end(CloseReason::garbled);  // a probe's answer under a send's id
  }
}

void Engine::heedPage(Link& link, Send& send, EngineAnswer& answer) {
  bool first = answer.word == Word::answered;
  if (first ? send.pages.begun() : send.pages.has(answer.page))
    return;  // a second copy
  if (!(first ? send.pages.first(answer) : send.pages.further(answer)))
    return link.stream.end(CloseReason::garbled);
  const std::string& id = send.ticket->ask.id;
  if (first && send.ticket->over) {  // withdrawn: nobody waits for the pages
    if (send.pages.pages() > 1)
      link.stream.write(engine_line::close(id));
    return finish(link, send, Outcome::answered, answer.bill, answer.report, "");
  }
  if (first)
    for (int page = 1; page < send.pages.pages(); ++page)
      link.stream.write(engine_line::page(id, page));
  if (!send.pages.whole())
    return;
  if (send.pages.pages() > 1)
    link.stream.write(engine_line::close(id));
  auto rows = send.pages.rows();
  if (!rows)
    return link.stream.end(CloseReason::garbled);
  finish(link, send, Outcome::answered, answer.bill, answer.report, std::move(rows));
}

// The time is up, or the module has cancelled it. What has not begun to go out never ran. Else it is out
// until the engine has heard that it is given up, or the connection is closed (a cut engine would hold it all
// the while): only then may a further send go out, or the next command of its key. Alone on its connection it
// is given up by closing that; among others, the outcome waits until something comes: the word has arrived by
// then.
void Engine::giveUp(Link& link, Send& send, Outcome what) {
  if (send.givenUp)
    return finish(link, send, *send.givenUp);  // heard or not, its client has gone
  if (endUnbegun(link, send))
    return;
  send.unheard.clear();
  const std::string id = send.ticket->ask.id;
  double now = scheduler_.now();
  debug().with("engine", name()).with("command", std::string(id))
      << name() << ": gives up " << id << " after " << now - send.sentAt << " s";
  if (quietSince_ <= send.sentAt)
    doubt();
  signal_.raise();
  if (link.sends.size() == 1) {
    finish(link, send, what);
    return link.stream.end(CloseReason::timedOut);
  }
  link.stream.write(send.pages.begun() ? engine_line::close(id) : engine_line::drop(id));
  drop(link, id);
  if (send.ticket->over || now >= send.ticket->ask.answerBy())
    return finish(link, send, what);  // no further send
  send.givenUp = what;
  send.deadline.set(send.ticket->ask.answerBy());
  if (!std::exchange(link.doubted, true))
    link.timer.set(now + std::max(settings_.connectTimeout, 2 * settings_.noteEvery));
}

void Engine::drop(Link& link, const std::string& id) {
  double now = scheduler_.now();
  std::erase_if(link.dropped, [&](auto& it) { return it.second < now - settings_.idle; });
  link.dropped[id] = now;
}

void Engine::heard(Link& link) {
  quietSince_ = scheduler_.now();
  if (!std::exchange(link.doubted, false))
    return;
  link.timer.clear();
  for (auto at = link.sends.begin(); at != link.sends.end();)
    if (Send& send = *(at++)->second; send.givenUp)
      finish(link, send, *send.givenUp);
}

void Engine::finish(Link& link, Send& send, Outcome what, std::optional<ResourceUsage> usage,
                    std::optional<LoadReport> report, std::optional<std::string> rows) {
  auto node = link.sends.extract(send.ticket->ask.id);
  --sends_;
  double took = scheduler_.now() - send.sentAt;
  if (what != Outcome::answered) {
    debug().with("engine", name()).with("command", send.ticket->ask.id)
        << name() << ": send of " << send.ticket->ask.id << " ended after " << took << " s";
    drop(link, send.ticket->ask.id);  // a further send of it goes elsewhere, should this answer have a copy
  }
  dispatcher_.ended(send.ticket, what, took, usage, report, std::move(rows));
  rest(link);
}

}  // namespace elmcleat
