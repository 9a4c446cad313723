#include "serve/client_connection.h"

#include <utility>

#include "runtime/log.h"
#include "serve/request_parser.h"

namespace elmcleat {
namespace {

constexpr size_t kMaxInputBytes = 32 * 1024;
constexpr size_t kMaxOutputBytes = 1 << 20;

// After this many full buffers in a row other actors get a turn. The longest request in one piece takes fewer:
// so requests that came while the process was stopped are submitted in the order of their connections' turns.
constexpr int kMaxReadsPerTurn = 5;

// A complete request that holds no more than this is served even if the memory of all clients is used up.
constexpr size_t kSmallRequestBytes = 4 * 1024;

// Copies of a statement that are held for a command: its own, and one for the engine.
constexpr size_t kStatementCopies = 2;

// Clients close a connection that has been idle for 4 s. One that has been idle for twice as long was
// forgotten by its client, or is held open for good. The same time is allowed for taking a response.
constexpr double kIdleTimeoutSeconds = 8;

// Clients connect in order to send a request, and write it at once. One that has not sent a complete request
// by then will not do so any more. Guards descriptors and memory against partial requests, floods of silent
// connections and headers without end. Harms a client that is stopped for that long in the middle of a
// request.
constexpr double kRequestTimeoutSeconds = 2;

// How long input is still read after the last response, so that our close does not overtake the response.
constexpr double kLingerSeconds = 3;

// Input that is only discarded is read in bursts of this many reads, with this pause between them: a body of
// many MB would otherwise keep the core from all other connections.
constexpr double kDiscardPauseSeconds = 0.01;
constexpr int kDiscardReadsPerBurst = 8;

// The longest time for which a command waits until all input behind it has come.
constexpr double kMaxSettleSeconds = 0.1;

}  // namespace

ClientConnection::ClientConnection(Scheduler& scheduler, const Settings& settings, Dispatcher& dispatcher,
                                   MemoryBudget& memory, int fd, bool overLimit)
    : scheduler_(scheduler),
      settings_(settings),
      dispatcher_(dispatcher),
      memory_(memory),
      signal_(scheduler),
      mailbox_(signal_),
      stream_(scheduler, signal_, kMaxInputBytes, kMaxOutputBytes),
      timeLimit_(scheduler, [this] { timeLimitReached(); }),
      overLimit_(overLimit) {
  stream_.adopt(fd);
  idleSince_ = scheduler.now();
  task_ = run();
}

ClientConnection::~ClientConnection() {
  if (context_ && !response_)
    dispatcher_.withdraw(context_);
  memory_.used -= accountedMemory_;
}

void ClientConnection::accountMemory(size_t requestBytes) {
  requestMemory_ = requestBytes;
  size_t bytes = stream_.input().capacity() + parser_.bufferedBytes() + requestBytes;
  memory_.used += bytes - accountedMemory_;
  accountedMemory_ = bytes;
}

// Whether the request that is arriving has to be shed for want of memory. A small one that is complete is
// always served: what other clients hold does it no harm.
bool ClientConnection::lacksMemory(bool complete) const {
  if (memory_.used <= memory_.limit)
    return false;
  return complete ? accountedMemory_ > kSmallRequestBytes : requestStarted();
}

// Reads into the input buffer; true if anything arrived. A request's arrival time is that of its first byte.
// `pollSocket`: asks the system even if the descriptor has not been reported as readable.
bool ClientConnection::read(bool pollSocket) {
  size_t sizeBefore = stream_.input().size();
  stream_.receive(pollSocket);
  if (stream_.input().size() == sizeBefore)
    return false;
  if (sizeBefore == 0 && parser_.isBetweenRequests()) {
    requestStartedAt_ = scheduler_.now();
    setTimeLimit();
  }
  return true;
}

// Sets the time by which the next request has to be complete.
void ClientConnection::setTimeLimit() {
  timedOut_ = false;
  timeLimit_.set(requestStarted()
                     ? requestStartedAt_ + kRequestTimeoutSeconds
                     : idleSince_ + (requestReceived_ ? kIdleTimeoutSeconds : kRequestTimeoutSeconds));
}

// Bytes that the client has written and that were not read yet may be a request that needs a response, so the
// socket is read first. A client whose request is only partly there gets a response that it is shed.
bool ClientConnection::tryEvict() {
  signal_.raise();
  if (!closing_)
    unprocessedInput_ |= read(true);
  if (unprocessedInput_)
    return false;
  if (!closing_ && requestStarted()) {
    stream_.write(formatHttpResponse({Response::Kind::shed, {}, 0}, false));
    stream_.flush();
  }
  stream_.close(CloseReason::idle);
  return true;
}

// A client that has not taken its response, or has not closed after the last one, is disconnected. In all
// other cases the socket is read once more before the connection ends.
void ClientConnection::timeLimitReached() {
  if (busy_ || closing_)
    stream_.close(CloseReason::idle);
  else
    timedOut_ = true;
  signal_.raise();
}

// The client may have sent more behind its request than the buffer holds: that is read and discarded, so that
// the end of the stream is seen. It is seen without that once it has come to this machine.
bool ClientConnection::isConnected() {
  stream_.receive(true);
  for (int i = 0; i < kDiscardReadsPerBurst && stream_.inputLimited(); ++i) {
    if (stream_.peerHasClosed()) {
      stream_.close(CloseReason::closed);
      break;
    }
    framingLost_ = true;  // the start of a further request can't be found any more
    stream_.input().clear();
    stream_.receive(true);
  }
  stream_.releaseInput();
  accountMemory(requestMemory_);
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
  bool keepAlive = true;
  bool discardDue = true;
  Timer discardTimer(scheduler_, [&] {
    discardDue = true;
    signal_.raise();
  });
  while (keepAlive) {
    // Read one request, until it is complete, malformed, shed or timed out.
    HttpRequest request;
    setTimeLimit();
    HttpRequestParser::State state;
    bool shed = overLimit_;
    bool ended = false;
    int readsInTurn = 0;
    while (true) {
      read(timedOut_);
      unprocessedInput_ = false;
      state = parser_.next(stream_.input(), request);
      stream_.releaseInput();
      accountMemory(request.capacity());
      bool complete = state == HttpRequestParser::State::complete;
      if (lacksMemory(complete)) {
        shed = true;
        break;
      }
      if (complete || state == HttpRequestParser::State::malformed)
        break;
      if (state == HttpRequestParser::State::expectsContinue) {
        stream_.write("HTTP/1.1 100 Continue\r\n\r\n");
        stream_.flush();
      }
      if (!stream_.isOpen())
        break;
      bool moreToRead = stream_.inputLimited() || state == HttpRequestParser::State::expectsContinue;
      if (moreToRead && !timedOut_) {
        if (++readsInTurn % kMaxReadsPerTurn == 0)
          co_await signal_.afterOthers();
        continue;
      }
      ended = timedOut_ || (draining_ && !requestStarted());
      if (ended)
        break;
      co_await signal_;
    }
    timeLimit_.clear();
    if (!stream_.isOpen())
      break;  // the client has disconnected
    if (ended && !requestStarted())
      break;  // an idle client: the half-close below says that nothing more is read
    busy_ = requestReceived_ = true;
    bool answeredLocally = true;  // without the dispatcher

    // Get its response.
    std::string bytes;
    if (state == HttpRequestParser::State::malformed) {
      keepAlive = false;
      bytes = errorResponse(parser_.status(), "request malformed or too large", false);
    } else if (ended) {
      keepAlive = false;
      bytes = errorResponse(408, "request incomplete at the time limit", false);
    } else if (shed) {
      keepAlive = false;
      bytes = formatHttpResponse({Response::Kind::shed, {}, 0}, false);
    } else {
      // More is behind the request than the buffer holds: the client may have left, and its close is behind that
      // input, here or still at the client. A command is submitted once no more comes.
      double settledBy = scheduler_.now() + kMaxSettleSeconds;
      bool settled = !stream_.inputLimited() || request.method != "POST";
      while (!settled && scheduler_.now() < settledBy && isConnected()) {
        if (stream_.inputLimited()) {
          co_await signal_.afterOthers();
          continue;
        }
        discardDue = false;
        discardTimer.set(scheduler_.now() + kDiscardPauseSeconds);
        co_await signal_;
        settled = discardDue;
      }
      if (!stream_.isOpen())
        break;
      keepAlive = request.keepAlive &= !draining_ && !framingLost_;
      if (auto localResponse = serve(std::move(request))) {
        bytes = std::move(*localResponse);
      } else {
        // The command is with the dispatcher: wait for its response, and watch whether the client
        // disconnects.
        answeredLocally = false;
        accountMemory(kStatementCopies * context_->request.statement.capacity());
        while (!response_ && !abandoned_ && stream_.isOpen()) {
          co_await signal_;
          mailbox_.runAll();
          if (!response_)
            isConnected();
          if (framingLost_)
            discardTimer.set(scheduler_.now() + kDiscardPauseSeconds);  // more may follow
        }
        if (!response_)
          break;
        keepAlive &= !draining_ && !framingLost_;
        debug().with("command", context_->request.id)
            << "client: response to " << context_->request.id << ": " << nameOf(response_->kind);
        bytes = formatHttpResponse(*std::exchange(response_, {}), keepAlive);
        context_ = nullptr;
      }
    }

    // Write it.
    accountMemory(bytes.size());
    stream_.write(std::move(bytes));
    timeLimit_.set(scheduler_.now() + kIdleTimeoutSeconds);
    for (stream_.flush(); stream_.isOpen() && !stream_.allSent(); stream_.flush())
      co_await signal_;
    busy_ = false;
    requestStartedAt_ = idleSince_ = scheduler_.now();  // also of a pipelined request that is in the buffer
    accountMemory(0);
    if (keepAlive && answeredLocally && !stream_.input().empty())
      co_await signal_.afterOthers();  // a client that pipelines requests gives way to other actors
  }

  // Half-close, then read and discard what the client still sends until it closes: with unread bytes our
  // close would become a reset, which may overtake the response. Other actors get their turns between the
  // bursts.
  stream_.shutDown();
  timeLimit_.set(scheduler_.now() + kLingerSeconds);
  closing_ = true;
  unprocessedInput_ = false;
  (void)std::exchange(parser_, {});  // frees its memory, which an assignment would keep
  stream_.input().clear();
  stream_.releaseInput();
  accountMemory(0);
  onResponsesSent_();
  discardDue = true;
  while (stream_.isOpen()) {
    for (int i = 0; discardDue && i < kDiscardReadsPerBurst; ++i) {
      stream_.receive();
      stream_.input().clear();
      if (!stream_.inputLimited())
        break;
    }
    stream_.releaseInput();
    if (discardDue && stream_.inputLimited()) {
      discardDue = false;
      discardTimer.set(scheduler_.now() + kDiscardPauseSeconds);
    }
    if (stream_.isOpen())
      co_await signal_;
  }
  if (context_) {
    debug().with("command", context_->request.id)
        << "client: connection ended without a response to " << context_->request.id << ": "
        << nameOf(stream_.closeReason());
    dispatcher_.withdraw(std::exchange(context_, nullptr));
  }
  busy_ = false;
  onClosed_();
}

std::string ClientConnection::errorResponse(int status, const std::string& reason, bool keepAlive) const {
  warn().with("why", reason) << "client: answered " << status << ": " << reason;
  return formatHttpResponse(status, R"({"problem":"Failed"})", keepAlive);
}

std::optional<std::string> ClientConnection::serve(HttpRequest request) {
  bool keepAlive = request.keepAlive;
  if (auto query = request.path.find('?'); query != std::string::npos)
    request.path.resize(query);
  if (request.path == "/check") {
    if (request.method == "GET")
      return formatHttpResponse(200, "{}", keepAlive);
    return errorResponse(405, "method " + request.method + " on /check", keepAlive);
  }
  if (!request.path.starts_with("/do/"))
    return errorResponse(404, "unknown path", keepAlive);
  if (request.method == "DELETE") {  // withdraws a command: /do/PROFILE with its id as a header, or /do/ID
    auto id = request.header("req-id");
    if (dispatcher_.withdraw(id ? std::string(*id) : request.path.substr(request.path.rfind('/') + 1)))
      return formatHttpResponse(200, "{}", keepAlive);
    return errorResponse(404, "no command with this id is in flight", keepAlive);
  }
  if (request.method != "POST")
    return errorResponse(405, "method " + request.method + " on /do", keepAlive);
  ParsedRequest parsed =
      parseCommandRequest(std::move(request), settings_, requestStartedAt_, dispatcher_.actorHeader());
  if (!parsed.request)
    return errorResponse(parsed.status, parsed.error, keepAlive);
  context_ = std::make_shared<RequestContext>();
  context_->request = std::move(*parsed.request);
  context_->responder = this;
  SubmitResult result = dispatcher_.submit(context_);
  if (result == SubmitResult::accepted) {
    debug().with("command", context_->request.id)
        << "client: accepted " << context_->request.id << ", " << context_->request.profile
        << ", client timeout in " << context_->request.clientDeadline - scheduler_.now() << " s";
    return std::nullopt;
  }
  context_ = nullptr;
  return errorResponse(409,
                       result == SubmitResult::inFlight ? "a command with this id is in flight"
                                                        : "a command with this id may have run",
                       keepAlive);
}

}  // namespace elmcleat
