#include "serve/client_connection.h"

#include <utility>

#include "runtime/log.h"
#include "serve/request_parser.h"

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

ClientConnection::ClientConnection(Scheduler& scheduler, const Settings& settings, Dispatcher& dispatcher,
                                   MemoryBudget& hold, int fd, bool full)
    : scheduler_(scheduler),
      settings_(settings),
      dispatcher_(dispatcher),
      memory_(hold),
      signal_(scheduler),
      mailbox_(signal_),
      stream_(scheduler, signal_, kMostIn, kMostOut),
      limit_(scheduler, [this] { timeLimitReached(); }),
      full_(full) {
  stream_.adopt(fd);
  idleSince_ = scheduler.now();
  task_ = run();
}

ClientConnection::~ClientConnection() {
  if (context_ && !response_)
    dispatcher_.withdraw(context_);
  accountMemory(0);
}

void ClientConnection::accountMemory(size_t bytes) {
  memory_.used += bytes - accountedMemory_;
  accountedMemory_ = bytes;
}

// True if something came. A request counts as come with its first byte.
bool ClientConnection::read(bool look) {
  size_t had = stream_.input().size();
  stream_.receive(look);
  if (stream_.input().size() == had)
    return false;
  if (had == 0 && reader_.isBetweenRequests())
    cameAt_ = scheduler_.now(), setTimeLimit();
  return true;
}

// Until the next request is whole.
void ClientConnection::setTimeLimit() {
  late_ = false;
  limit_.set(requestStarted() ? cameAt_ + kWhole : idleSince_ + (requestReceived_ ? kIdle : kWhole));
}

// What the client has written, and we have not read, may be a request that is owed an answer. Who has half a request
// there is told that there is no room for it.
bool ClientConnection::tryEvict() {
  signal_.raise();
  if (!closing_)
    unprocessedInput_ |= read(true);
  if (unprocessedInput_)
    return false;
  if (!closing_ && requestStarted())
    stream_.write(formatHttpResponse({Response::Kind::shed, {}, 0}, false)), stream_.flush();
  stream_.close(CloseReason::idle);
  return true;
}

// Who has not taken its answer, or not closed after its last one, is cut off; all others are looked at once more.
void ClientConnection::timeLimitReached() {
  if (busy_ || closing_)
    stream_.close(CloseReason::idle);
  else
    late_ = true;
  signal_.raise();
}

// What it has written behind its request may be more than we keep: that is read and dropped, so that its end is seen.
bool ClientConnection::isConnected() {
  stream_.receive(true);
  for (int i = 0; i < kPaceReads && stream_.inputLimited(); ++i) {
    framingLost_ = true;  // where a further request would begin is not known any more
    stream_.input().clear();
    stream_.receive(true);
  }
  if (!stream_.isOpen())
    signal_.raise();
  return stream_.isOpen();
}

void ClientConnection::drain() {
  draining_ = true;
  signal_.raise();
  if (!busy_ && !closing_)
    unprocessedInput_ |= read(true);
}

void ClientConnection::respond(Response response) {
  mailbox_.post([this, response = std::move(response)]() mutable { response_ = std::move(response); });
}

void ClientConnection::abandon() {
  abandoned_ = true;
  signal_.raise();
}

Task ClientConnection::run() {
  bool keepAlive = true, due = true;
  Timer pace(scheduler_, [&] { due = true, signal_.raise(); });
  while (keepAlive) {
    // --- a request
    HttpRequest request;
    setTimeLimit();
    HttpRequestParser::State state;
    bool tooMuch = full_, over = false;
    while (true) {
      read(late_);
      unprocessedInput_ = false;
      state = reader_.next(stream_.input(), request);
      accountMemory(stream_.input().capacity() + reader_.bufferedBytes() + request.body.capacity());
      if (state == HttpRequestParser::State::complete || state == HttpRequestParser::State::malformed)
        break;
      if (memory_.used > memory_.limit &&
          !reader_.isBetweenRequests()) {  // a body that has no room: it is not kept
        tooMuch = true;
        break;
      }
      if (state == HttpRequestParser::State::expectsContinue)
        stream_.write("HTTP/1.1 100 Continue\r\n\r\n"), stream_.flush();
      if (!stream_.isOpen())
        break;
      if (stream_.inputLimited() || state == HttpRequestParser::State::expectsContinue)
        continue;
      if ((over = late_ || (draining_ && !requestStarted())))
        break;
      co_await signal_;
    }
    limit_.clear();
    if (!stream_.isOpen())
      break;  // nobody is there to be answered
    if (over && !requestStarted())
      break;  // it rests: it is told that nothing more is read
    busy_ = requestReceived_ = true;
    bool now = true;  // answered without the dispatcher

    // --- its answer
    std::string bytes;
    if (state == HttpRequestParser::State::malformed) {
      keepAlive = false;
      bytes = errorResponse(reader_.status(), "malformed or too large", false);
    } else if (over) {
      keepAlive = false;
      bytes = errorResponse(408, "half a request, and then nothing more in time", false);
    } else if (tooMuch) {
      keepAlive = false;
      bytes = formatHttpResponse({Response::Kind::shed, {}, 0}, false);
    } else {
      keepAlive = request.keepAlive &= !draining_;
      if (auto at = serve(std::move(request))) {
        bytes = std::move(*at);
      } else {
        now = false;
        while (!response_ && !abandoned_ && stream_.isOpen()) {
          co_await signal_;
          mailbox_.runAll();
          if (!response_)
            isConnected();
          if (framingLost_)
            pace.set(scheduler_.now() + kPace);  // there may be more of it
        }
        if (!response_)
          break;
        keepAlive &= !draining_ && !framingLost_;
        debug().with("command", context_->request.id)
            << "client: answers " << context_->request.id << ": " << nameOf(response_->kind);
        bytes = formatHttpResponse(*std::exchange(response_, {}), keepAlive);
        context_ = nullptr;
      }
    }
    accountMemory(stream_.input().capacity() + bytes.size());
    stream_.write(std::move(bytes));
    limit_.set(scheduler_.now() + kIdle);
    for (stream_.flush(); stream_.isOpen() && !stream_.allSent(); stream_.flush())
      co_await signal_;
    busy_ = false;
    cameAt_ = idleSince_ = scheduler_.now();  // of a next request that has come already
    accountMemory(stream_.input().capacity());
    if (now && !stream_.input().empty())
      co_await signal_.afterOthers();  // who asks at full speed takes turns
  }
  // What the client still sends is read until it closes: unread bytes would turn our close into a reset, and
  // that may overtake the answer.
  // Nothing of it is kept, and others have their turns between.
  stream_.shutDown();
  limit_.set(scheduler_.now() + kLinger);
  closing_ = true, unprocessedInput_ = false;
  reader_ = {};
  accountMemory(0);
  done_();
  due = true;
  while (stream_.isOpen()) {
    for (int i = 0; due && i < kPaceReads; ++i) {
      stream_.receive();
      stream_.input().clear();
      if (!stream_.inputLimited())
        break;
    }
    if (due && stream_.inputLimited())
      due = false, pace.set(scheduler_.now() + kPace);
    if (stream_.isOpen())
      co_await signal_;
  }
  if (context_) {
    debug().with("command", context_->request.id)
        << "client: has gone without an answer to " << context_->request.id << ": "
        << nameOf(stream_.closeReason());
    dispatcher_.withdraw(std::exchange(context_, nullptr));
  }
  busy_ = false;
  over_();
}

std::string ClientConnection::errorResponse(int status, const std::string& why, bool keepAlive) const {
  warn().with("why", why) << "client: answered " << status << ": " << why;
  return formatHttpResponse(status, R"({"problem":"Failed"})", keepAlive);
}

std::optional<std::string> ClientConnection::serve(HttpRequest&& request) {
  bool keepAlive = request.keepAlive;
  if (auto query = request.path.find('?'); query != std::string::npos)
    request.path.resize(query);
  if (request.path == "/check") {
    if (request.method == "GET")
      return formatHttpResponse(200, "{}", keepAlive);
    return errorResponse(405, "/check by " + request.method, keepAlive);
  }
  if (!request.path.starts_with("/do/"))
    return errorResponse(404, "unknown path", keepAlive);
  if (request.method == "DELETE") {  // the command's path: /do/PROFILE with its id as a header, or /do/ID
    auto* id = request.header("req-id");
    if (dispatcher_.withdraw(id ? *id : request.path.substr(request.path.rfind('/') + 1)))
      return formatHttpResponse(200, "{}", keepAlive);
    return errorResponse(404, "nothing in hand to withdraw", keepAlive);
  }
  if (request.method != "POST")
    return errorResponse(405, "/do by " + request.method, keepAlive);
  ParsedRequest parsed =
      parseCommandRequest(std::move(request), settings_, cameAt_, dispatcher_.actorHeader());
  if (!parsed.request)
    return errorResponse(parsed.status, parsed.error, keepAlive);
  context_ = std::make_shared<RequestContext>();
  context_->request = std::move(*parsed.request);
  context_->responder = this;
  if (dispatcher_.submit(context_)) {
    debug().with("command", context_->request.id)
        << "client: takes " << context_->request.id << ", " << context_->request.profile << ", which waits "
        << context_->request.clientDeadline - scheduler_.now() << " s";
    return std::nullopt;
  }
  context_ = nullptr;
  return errorResponse(409, "a command with this id is in hand", keepAlive);
}

}  // namespace elmcleat
