#include "serve/client.h"

#include <utility>

#include "runtime/log.h"
#include "serve/ask.h"

namespace elmcleat {
namespace {

constexpr size_t kMostIn = 32 * 1024, kMostOut = 1 << 20;
// Clients close what has been idle for 4 s; one that says nothing for twice as long has forgotten its
// connection, or holds it for good.
constexpr double kIdle = 8;
// Who connects has something to ask, and writes it at once: a client that is still silent by then, or in the
// middle of a request, won't come to anything. Guards descriptors and memory against half a request, floods of
// silent connections and endless heads. Hurts a client that is stopped for that long in mid-request.
constexpr double kWhole = 2;
// How long what still comes is read after the last answer, so that our close does not overtake it.
constexpr double kLinger = 3;
// A body of many MB is read at this pace at most, or it would take the core from all others.
constexpr double kPace = 0.01;
constexpr int kPaceReads = 8;

}  // namespace

Client::Client(Scheduler& scheduler, const Settings& settings, Dispatcher& dispatcher, MemoryBudget& hold,
               int fd, bool full)
    : scheduler_(scheduler),
      settings_(settings),
      dispatcher_(dispatcher),
      memory_(hold),
      signal_(scheduler),
      mailbox_(signal_),
      stream_(scheduler, signal_, kMostIn, kMostOut),
      limit_(scheduler, [this] { tooLate(); }),
      full_(full) {
  stream_.adopt(fd);
  idleSince_ = scheduler.now();
  task_ = run();
}

Client::~Client() {
  if (ticket_ && !answer_)
    dispatcher_.withdraw(ticket_);
  holds(0);
}

void Client::holds(size_t bytes) {
  memory_.sum += bytes - held_;
  held_ = bytes;
}

// True if something came. A request counts as come with its first byte.
bool Client::read(bool look) {
  size_t had = stream_.in().size();
  stream_.fill(look);
  if (stream_.in().size() == had)
    return false;
  if (had == 0 && reader_.between())
    cameAt_ = scheduler_.now(), limit();
  return true;
}

// Until the next request is whole.
void Client::limit() {
  late_ = false;
  limit_.set(begun() ? cameAt_ + kWhole : idleSince_ + (asked_ ? kIdle : kWhole));
}

// What the client has written, and we have not read, may be a request that is owed an answer. Who has half a request
// there is told that there is no room for it.
bool Client::tryEvict() {
  signal_.raise();
  if (!leaving_)
    unseen_ |= read(true);
  if (unseen_)
    return false;
  if (!leaving_ && begun())
    stream_.write(httpAnswer({Answer::Kind::shed, {}, 0}, false)), stream_.flush();
  stream_.end(CloseReason::idle);
  return true;
}

// Who has not taken its answer, or not closed after its last one, is cut off; all others are looked at once more.
void Client::tooLate() {
  if (busy_ || leaving_)
    stream_.end(CloseReason::idle);
  else
    late_ = true;
  signal_.raise();
}

// What it has written behind its request may be more than we keep: that is read and dropped, so that its end is seen.
bool Client::present() {
  stream_.fill(true);
  for (int i = 0; i < kPaceReads && stream_.cutShort(); ++i) {
    spoilt_ = true;  // where a further request would begin is not known any more
    stream_.in().clear();
    stream_.fill(true);
  }
  if (!stream_.open())
    signal_.raise();
  return stream_.open();
}

void Client::drain() {
  drains_ = true;
  signal_.raise();
  if (!busy_ && !leaving_)
    unseen_ |= read(true);
}

void Client::answer(Answer answer) {
  mailbox_.post([this, answer = std::move(answer)]() mutable { answer_ = std::move(answer); });
}

void Client::dismiss() {
  dismissed_ = true;
  signal_.raise();
}

Task Client::run() {
  bool keepAlive = true, due = true;
  Timer pace(scheduler_, [&] { due = true, signal_.raise(); });
  while (keepAlive) {
    // --- a request
    HttpRequest request;
    limit();
    HttpReader::State state;
    bool tooMuch = full_, over = false;
    while (true) {
      read(late_);
      unseen_ = false;
      state = reader_.next(stream_.in(), request);
      holds(stream_.in().capacity() + reader_.held() + request.body.capacity());
      if (state == HttpReader::State::whole || state == HttpReader::State::bad)
        break;
      if (memory_.sum > memory_.most && !reader_.between()) {  // a body that has no room: it is not kept
        tooMuch = true;
        break;
      }
      if (state == HttpReader::State::continues)
        stream_.write("HTTP/1.1 100 Continue\r\n\r\n"), stream_.flush();
      if (!stream_.open())
        break;
      if (stream_.cutShort() || state == HttpReader::State::continues)
        continue;
      if ((over = late_ || (drains_ && !begun())))
        break;
      co_await signal_;
    }
    limit_.clear();
    if (!stream_.open())
      break;  // nobody is there to be answered
    if (over && !begun())
      break;  // it rests: it is told that nothing more is read
    busy_ = asked_ = true;
    bool now = true;  // answered without the dispatcher

    // --- its answer
    std::string bytes;
    if (state == HttpReader::State::bad) {
      keepAlive = false;
      bytes = problem(reader_.status(), "malformed or too large", false);
    } else if (over) {
      keepAlive = false;
      bytes = problem(408, "half a request, and then nothing more in time", false);
    } else if (tooMuch) {
      keepAlive = false;
      bytes = httpAnswer({Answer::Kind::shed, {}, 0}, false);
    } else {
      keepAlive = request.keepAlive &= !drains_;
      if (auto at = serve(std::move(request))) {
        bytes = std::move(*at);
      } else {
        now = false;
        while (!answer_ && !dismissed_ && stream_.open()) {
          co_await signal_;
          mailbox_.drain();
          if (!answer_)
            present();
          if (spoilt_)
            pace.set(scheduler_.now() + kPace);  // there may be more of it
        }
        if (!answer_)
          break;
        keepAlive &= !drains_ && !spoilt_;
        debug().with("command", ticket_->ask.id)
            << "client: answers " << ticket_->ask.id << ": " << nameOf(answer_->kind);
        bytes = httpAnswer(*std::exchange(answer_, {}), keepAlive);
        ticket_ = nullptr;
      }
    }
    holds(stream_.in().capacity() + bytes.size());
    stream_.write(std::move(bytes));
    limit_.set(scheduler_.now() + kIdle);
    for (stream_.flush(); stream_.open() && !stream_.drained(); stream_.flush())
      co_await signal_;
    busy_ = false;
    cameAt_ = idleSince_ = scheduler_.now();  // of a next request that has come already
    holds(stream_.in().capacity());
    if (now && !stream_.in().empty())
      co_await signal_.others();  // who asks at full speed takes turns
  }
  // What the client still sends is read until it closes: unread bytes would turn our close into a reset, and
  // that may overtake the answer.
  // Nothing of it is kept, and others have their turns between.
  stream_.shutDown();
  limit_.set(scheduler_.now() + kLinger);
  leaving_ = true, unseen_ = false;
  reader_ = {};
  holds(0);
  done_();
  due = true;
  while (stream_.open()) {
    for (int i = 0; due && i < kPaceReads; ++i) {
      stream_.fill();
      stream_.in().clear();
      if (!stream_.cutShort())
        break;
    }
    if (due && stream_.cutShort())
      due = false, pace.set(scheduler_.now() + kPace);
    if (stream_.open())
      co_await signal_;
  }
  if (ticket_) {
    debug().with("command", ticket_->ask.id) << "client: has gone without an answer to " << ticket_->ask.id
                                             << ": " << nameOf(stream_.closeReason());
    dispatcher_.withdraw(std::exchange(ticket_, nullptr));
  }
  busy_ = false;
  over_();
}

std::string Client::problem(int status, const std::string& why, bool keepAlive) const {
  warn().with("why", why) << "client: answered " << status << ": " << why;
  return httpAnswer(status, R"({"problem":"Failed"})", keepAlive);
}

std::optional<std::string> Client::serve(HttpRequest&& request) {
  bool keepAlive = request.keepAlive;
  if (auto query = request.path.find('?'); query != std::string::npos)
    request.path.resize(query);
  if (request.path == "/check") {
    if (request.method == "GET")
      return httpAnswer(200, "{}", keepAlive);
    return problem(405, "/check by " + request.method, keepAlive);
  }
  if (!request.path.starts_with("/do/"))
    return problem(404, "unknown path", keepAlive);
  if (request.method == "DELETE") {  // the command's path: /do/PROFILE with its id as a header, or /do/ID
    auto* id = request.header("req-id");
    if (dispatcher_.withdraw(id ? *id : request.path.substr(request.path.rfind('/') + 1)))
      return httpAnswer(200, "{}", keepAlive);
    return problem(404, "nothing in hand to withdraw", keepAlive);
  }
  if (request.method != "POST")
    return problem(405, "/do by " + request.method, keepAlive);
  Reading reading = readAsk(std::move(request), settings_, cameAt_, dispatcher_.actor());
  if (!reading.ask)
    return problem(reading.status, reading.why, keepAlive);
  ticket_ = std::make_shared<Ticket>();
  ticket_->ask = std::move(*reading.ask);
  ticket_->asker = this;
  if (dispatcher_.take(ticket_)) {
    debug().with("command", ticket_->ask.id)
        << "client: takes " << ticket_->ask.id << ", " << ticket_->ask.profile << ", which waits "
        << ticket_->ask.endsAt - scheduler_.now() << " s";
    return std::nullopt;
  }
  ticket_ = nullptr;
  return problem(409, "a command with this id is in hand", keepAlive);
}

}  // namespace elmcleat
