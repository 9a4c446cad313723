// A client's connection: the actor that reads its requests and writes their answers, one at a time.
#pragma once
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "protocol/http.h"
#include "runtime/mailbox.h"
#include "runtime/stream.h"
#include "serve/dispatcher.h"

namespace elmcleat {

// What all clients' connections together hold of requests, and how much that may be.
struct MemoryBudget {
  size_t limit = 0, used = 0;
};

class ClientConnection final : public Responder {
 public:
  // `full`: too many have come, so its first request is turned away, harmlessly, and it is closed.
  ClientConnection(Scheduler& scheduler, const Settings& settings, Dispatcher& dispatcher, MemoryBudget& hold,
                   int fd, bool full = false);
  ~ClientConnection() override;
  // Called when nothing is owed to it any more, and when the connection is over.
  void onFinished(std::function<void()> done, std::function<void()> over) {
    done_ = std::move(done), over_ = std::move(over);
  }
  void start() { task_.start(); }

  bool open() const { return stream_.isOpen(); }
  bool idle() const { return !busy_ && open(); }
  double idleSince() const { return idleSince_; }
  bool hasSentRequest() const { return requestReceived_; }
  bool isClosing() const { return closing_; }
  bool tryEvict();  // closes unless a request has come meanwhile; for idle ones
  // No client comes any more: what rests is told so by a half-close, what has begun to come is still served.
  void drain();
  bool hasPendingResponse() const { return open() && !closing_; }  // something is, or may be, owed to it

 private:
  // Responder
  void respond(Response response) override;
  void abandon() override;
  bool isConnected() override;

  Task run();
  bool read(bool look = false);
  void setTimeLimit();
  bool requestStarted() const {
    return !stream_.input().empty() || !reader_.isBetweenRequests();
  }  // part of a request has come
  void timeLimitReached();
  void accountMemory(size_t bytes);
  std::optional<std::string> serve(HttpRequest&& request);  // an answer at once, or a ticket
  std::string errorResponse(int status, const std::string& why, bool keepAlive) const;

  Scheduler& scheduler_;
  const Settings& settings_;
  Dispatcher& dispatcher_;
  MemoryBudget& memory_;
  size_t accountedMemory_ = 0;  // our part of it
  std::function<void()> done_, over_;
  Signal signal_;
  Mailbox mailbox_;
  Stream stream_;
  Timer limit_;
  HttpRequestParser reader_;
  double cameAt_ = 0, idleSince_ = 0;
  bool busy_ = false, abandoned_ = false;
  bool full_, requestReceived_ = false;  // asked: a whole request has come
  bool closing_ = false;                 // the last answer is out: what still comes is read, and not kept
  bool unprocessedInput_ = false;        // what was read outside our turn waits for it
  bool late_ = false;                    // the time for the next request to be whole is over
  bool framingLost_ = false;             // bytes behind the request in hand were dropped
  bool draining_ = false;                // no further request is read but what has begun to come
  std::shared_ptr<RequestContext> context_;
  std::optional<Response> response_;
  Task task_;
};

}  // namespace elmcleat
