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
#include "serve/answer.h"
#include "serve/dispatcher.h"
#include "serve/link_room.h"

namespace elmcleat {

class Engine {
 public:
  // `most`: connections that it should do with; the fleet's number of engines decides, so it changes. `room`: those of
  // all engines together.
  Engine(Scheduler& scheduler, const LinkSettings& settings, Dispatcher& dispatcher, uint32_t id,
         const size_t& most, LinkRoom& room);
  ~Engine() { room_.forget(signal_); }

  // From the list. A start at another address or time is another process: what is connected is the old one.
  void place(const Address& address, std::optional<double> started);
  void retire();  // drains or gone: what runs there goes on, nothing new goes out

  // From the dispatcher.
  void send(std::shared_ptr<Ticket> ticket, double until);
  void reprioritise(std::shared_ptr<Ticket> ticket);
  void cancel(std::shared_ptr<Ticket> ticket);
  void withdraw(std::shared_ptr<Ticket> ticket);
  void shorten(std::shared_ptr<Ticket> ticket);
  void probe();

  bool unused() const { return retired_ && links_.empty() && waiting_.empty() && mailbox_.empty(); }

 private:
  struct Link;
  struct Send {  // a command's send, from the dispatcher's word to its outcome
    Send(Scheduler& scheduler, std::function<void()> due, std::function<void()> late)
        : deadline(scheduler, std::move(due)), unheard(scheduler, std::move(late)) {}
    std::shared_ptr<Ticket> ticket;
    double sentAt = 0, until = 0;
    std::optional<uint64_t> place;   // in the stream; none while the connection comes up
    std::optional<Outcome> givenUp;  // the engine was told, but may not have heard it
    Gathering pages;
    Timer deadline;
    Timer unheard;  // notes on it, or its answer, have been due for too long
  };
  struct Link {  // one connection
    Link(Scheduler& scheduler, Signal& signal, std::function<void()> late);
    std::unique_ptr<LinkRoom::Place> place;
    Stream stream;
    EngineReader reader;
    Timer timer;  // the connection's own: it must come up, or be heard, in time, and is closed when idle
    Timer rest;   // what has been begun, or asked for and lies ready, must come in time
    bool owed = false;  // and some of it has not
    int strays = 0;     // answers to nothing asked, since the last one to something
    bool up = false;
    bool old = false;      // takes nothing new
    bool doubted = false;  // a send was given up and nothing has come since
    std::map<std::string, std::unique_ptr<Send>, std::less<>> sends;
    std::map<std::string, std::unique_ptr<Timer>, std::less<>> probes;  // by tag; each with its time limit
    std::map<std::string, double, std::less<>> dropped;                 // ended when: an answer may come yet
  };

  struct Waiting {  // a send for which there is no connection yet: it has not been tried
    Waiting(Scheduler& scheduler, std::function<void()> late) : deadline(scheduler, std::move(late)) {}
    std::shared_ptr<Ticket> ticket;
    double until = 0;
    Timer deadline;
  };

  Task run();
  void begin(std::shared_ptr<Ticket> ticket, double until);
  void beginWaiting();
  void endWaiting(const Ticket& ticket, CloseReason ending);
  void serve(Link& link);
  void heed(Link& link, EngineAnswer& answer);
  void heedPage(Link& link, Send& send, EngineAnswer& answer);
  void expect(Link& link, bool news);
  void listen(Send& send);
  void lost(Link& link);

  Link* linkFor(const Ticket& ticket);
  Link* linkForProbe();
  Link& connect(bool again = true);
  void late(Link& link);
  void write(Link& link, Send& send);
  bool mayBegin(const Ticket& ticket) const { return ticket.wanted() && scheduler_.now() < ticket.beginBy; }
  bool endUnbegun(Link& link, Send& send);
  void due(Link& link, Send& send);
  void giveUp(Link& link, Send& send, Outcome what);
  void drop(Link& link, const std::string& id);
  void heard(Link& link);
  void doubt();
  void finish(Link& link, Send& send, Outcome what, std::optional<ResourceUsage> usage = {},
              std::optional<LoadReport> report = {}, std::optional<std::string> rows = {});
  void rest(Link& link);
  void release();
  std::pair<Link*, Send*> find(const Ticket& ticket);
  std::string name() const;

  Scheduler& scheduler_;
  const LinkSettings& settings_;
  Dispatcher& dispatcher_;
  uint32_t id_;
  const size_t& most_;
  LinkRoom& room_;
  Address address_;
  std::optional<double> started_;
  bool retired_ = false;
  uint64_t probes_ = 0;
  size_t sends_ = 0;
  double quietSince_ = 0;  // sends have been out, and nothing came from this engine, since
  Signal signal_;
  Mailbox mailbox_;
  std::list<std::unique_ptr<Link>> links_;
  std::list<std::unique_ptr<Waiting>> waiting_;
  Task task_;
};

}  // namespace elmcleat
