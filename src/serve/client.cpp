#include "serve/client.h"

#include <utility>

#include "runtime/log.h"
#include "serve/ask.h"

namespace elmcleat {
namespace {

constexpr size_t kMostIn = 32 * 1024, kMostOut = 1 << 20;
// Clients close what has been idle for 4 s; one that says nothing for twice as long, or has stopped in the
// middle of a request, has forgotten its connection.
constexpr double kIdle = 8;

}  // namespace

Client::Client(Scheduler& scheduler, const Settings& settings, Desk& desk, int fd)
    : scheduler_(scheduler),
      settings_(settings),
      desk_(desk),
      signal_(scheduler),
      mailbox_(signal_),
      stream_(scheduler, signal_, kMostIn, kMostOut),
      idle_(scheduler, [this] { tooLate(); }) {
  stream_.adopt(fd);
  idleSince_ = scheduler.now();
  task_ = run();
}

Client::~Client() {
  if (ticket_ && !answer_) desk_.withdraw(ticket_);
}

// True if something came. A request counts as come with its first byte.
bool Client::read(bool look) {
  size_t had = stream_.in().size();
  stream_.fill(look);
  if (stream_.in().size() == had) return false;
  if (had == 0 && reader_.between()) cameAt_ = scheduler_.now();
  return true;
}

// What the client has written, and we have not read, may be a request that is owed an answer.
bool Client::giveWay() {
  signal_.raise();
  unseen_ |= read(true);
  if (unseen_) return false;
  stream_.end(Ending::idle);
  return true;
}

void Client::tooLate() {
  if (!busy_ && !giveWay()) return idle_.set(scheduler_.now() + kIdle);
  stream_.end(Ending::idle);
  signal_.raise();
}

void Client::answer(Answer answer) {
  mailbox_.post([this, answer = std::move(answer)]() mutable { answer_ = std::move(answer); });
}

void Client::dismiss() {
  dismissed_ = true;
  signal_.raise();
}

Task Client::run() {
  bool keepAlive = true;
  while (keepAlive) {
    // --- a request
    HttpRequest request;
    idle_.set(scheduler_.now() + kIdle);
    HttpReader::State state;
    while (true) {
      read();
      unseen_ = false;
      state = reader_.next(stream_.in(), request);
      if (state == HttpReader::State::whole || state == HttpReader::State::bad) break;
      if (state == HttpReader::State::continues)
        stream_.write("HTTP/1.1 100 Continue\r\n\r\n"), stream_.flush();
      if (!stream_.open()) break;
      if (stream_.cutShort() || state == HttpReader::State::continues) continue;
      co_await signal_;
    }
    idle_.clear();
    if (!stream_.open()) break;  // nobody is there to be answered
    busy_ = true;

    // --- its answer
    std::string bytes;
    if (state == HttpReader::State::bad) {
      keepAlive = false;
      bytes = problem(reader_.status(), "malformed or too large", false);
    } else {
      keepAlive = request.keepAlive;
      if (auto now = serve(std::move(request))) {
        bytes = std::move(*now);
      } else {
        while (!answer_ && !dismissed_ && stream_.open()) {
          co_await signal_;
          mailbox_.drain();
          if (!answer_) stream_.fill();  // tells when the client has gone
        }
        if (!answer_) break;
        bytes = httpAnswer(*std::exchange(answer_, {}), keepAlive);
        ticket_ = nullptr;
      }
    }
    stream_.write(std::move(bytes));
    idle_.set(scheduler_.now() + kIdle);
    for (stream_.flush(); stream_.open() && !stream_.drained(); stream_.flush()) co_await signal_;
    busy_ = false;
    cameAt_ = idleSince_ = scheduler_.now();  // of a next request that has come already
    done_();
  }
  // What the client still sends is read until it closes: unread bytes would turn our close into a reset, and
  // that may overtake the answer.
  stream_.shutDown();
  idle_.set(scheduler_.now() + kIdle);
  while (stream_.open()) {
    stream_.fill();
    stream_.in().clear();
    if (stream_.open() && !stream_.cutShort()) co_await signal_;
  }
  if (ticket_) desk_.withdraw(std::exchange(ticket_, nullptr));
  busy_ = false;
  over_();
}

std::string Client::problem(int status, const std::string& why, bool keepAlive) const {
  warn() << "client: answered " << status << ": " << why;
  return httpAnswer(status, R"({"problem":"Failed"})", keepAlive);
}

std::optional<std::string> Client::serve(HttpRequest&& request) {
  bool keepAlive = request.keepAlive;
  if (auto query = request.path.find('?'); query != std::string::npos) request.path.resize(query);
  if (request.path == "/check") {
    if (request.method == "GET") return httpAnswer(200, "{}", keepAlive);
    return problem(405, "/check by " + request.method, keepAlive);
  }
  if (!request.path.starts_with("/do/")) return problem(404, "unknown path", keepAlive);
  if (request.method == "DELETE") {  // the command's path: /do/PROFILE with its id as a header, or /do/ID
    auto* id = request.header("req-id");
    if (desk_.withdraw(id ? *id : request.path.substr(request.path.rfind('/') + 1)))
      return httpAnswer(200, "{}", keepAlive);
    return problem(404, "nothing in hand to withdraw", keepAlive);
  }
  if (request.method != "POST") return problem(405, "/do by " + request.method, keepAlive);
  Reading reading = readAsk(std::move(request), settings_, cameAt_);
  if (!reading.ask) return problem(reading.status, reading.why, keepAlive);
  ticket_ = std::make_shared<Ticket>();
  ticket_->ask = std::move(*reading.ask);
  ticket_->asker = this;
  if (desk_.take(ticket_)) return std::nullopt;
  ticket_ = nullptr;
  return problem(409, "a command with this id is in hand", keepAlive);
}

}  // namespace elmcleat
