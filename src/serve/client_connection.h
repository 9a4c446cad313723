// A client's connection, and the actor that serves it: it reads HTTP requests, submits commands to the
// dispatcher, and writes the responses, one request at a time. It owns the socket's stream, the request
// parser and the context of the request that is being served.
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

// Memory, in bytes, that the requests and responses of all client connections use together, and its limit.
struct MemoryBudget {
  size_t limit = 0;
  size_t used = 0;
};

class ClientConnection final : public Responder {
 public:
  // `overLimit`: the listener's connection limit is reached, so the first request is shed and the connection
  // closed.
  ClientConnection(Scheduler& scheduler, const Settings& settings, Dispatcher& dispatcher,
                   MemoryBudget& memory, int fd, bool overLimit = false);
  ~ClientConnection() override;

  // `responsesSent` is called when no further response will be sent, `closed` when the connection has ended
  // and may be destroyed.
  void onFinished(std::function<void()> responsesSent, std::function<void()> closed) {
    onResponsesSent_ = std::move(responsesSent);
    onClosed_ = std::move(closed);
  }
  void start() { task_.start(); }

  bool isOpen() const { return stream_.isOpen(); }
  bool isIdle() const { return !busy_ && isOpen(); }
  double idleSince() const { return idleSince_; }
  bool hasSentRequest() const { return requestReceived_; }
  bool isClosing() const { return closing_; }

  // Closes an idle connection, unless a request has arrived meanwhile; false if one has.
  bool tryEvict();

  // Graceful shutdown: no further request is awaited. An idle client is sent a half-close; a request that has
  // begun to arrive is still served.
  void drain();

  // Whether a response is pending, or may be.
  bool hasPendingResponse() const { return isOpen() && !closing_; }

 private:
  // Responder
  void respond(Response response) override;
  void abandon() override;
  bool isConnected() override;

  Task run();
  bool read(bool pollSocket = false);
  void setTimeLimit();
  // Whether part of a request has arrived.
  bool requestStarted() const { return !stream_.input().empty() || !parser_.isBetweenRequests(); }
  void timeLimitReached();
  bool lacksMemory(bool complete) const;
  // Accounts for the buffers, and for `requestBytes` of the request or response that is being handled.
  void accountMemory(size_t requestBytes);
  // Handles one request: returns its response, or none if it was submitted to the dispatcher (context_ is set
  // then).
  std::optional<std::string> serve(HttpRequest request);
  std::string errorResponse(int status, const std::string& reason, bool keepAlive) const;

  Scheduler& scheduler_;
  const Settings& settings_;
  Dispatcher& dispatcher_;
  MemoryBudget& memory_;
  size_t accountedMemory_ = 0;  // this connection's part of memory_.used
  size_t requestMemory_ = 0;    // of it, of the request or response that is being handled
  std::function<void()> onResponsesSent_;
  std::function<void()> onClosed_;
  Signal signal_;
  Mailbox mailbox_;
  Stream stream_;
  Timer timeLimit_;
  HttpRequestParser parser_;
  double requestStartedAt_ = 0;  // when the first byte of the request was read
  double idleSince_ = 0;
  bool busy_ = false;       // from a complete request until its response is sent
  bool abandoned_ = false;  // the command was withdrawn through another connection
  bool overLimit_;
  bool requestReceived_ = false;   // a complete request has arrived at some time
  bool closing_ = false;           // the last response is sent: further input is read and discarded
  bool unprocessedInput_ = false;  // input was read outside the actor's turn and waits for it
  bool timedOut_ = false;          // the time limit for a complete request has passed
  bool framingLost_ = false;       // bytes behind the current request were discarded
  bool draining_ = false;          // no further request is read, except one that has begun to arrive
  std::shared_ptr<RequestContext> context_;
  std::optional<Response> response_;
  Task task_;
};

}  // namespace elmcleat
