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
  size_t most = 0, sum = 0;
};

class Client final : public Asker {
 public:
  // `full`: too many have come, so its first request is turned away, harmlessly, and it is closed.
  Client(Scheduler& scheduler, const Settings& settings, Dispatcher& dispatcher, MemoryBudget& hold, int fd,
         bool full = false);
  ~Client() override;
  // Called when nothing is owed to it any more, and when the connection is over.
  void tell(std::function<void()> done, std::function<void()> over) {
    done_ = std::move(done), over_ = std::move(over);
  }
  void start() { task_.start(); }

  bool open() const { return stream_.open(); }
  bool idle() const { return !busy_ && open(); }
  double idleSince() const { return idleSince_; }
  bool hasAsked() const { return asked_; }
  bool leaving() const { return leaving_; }
  bool tryEvict();  // closes unless a request has come meanwhile; for idle ones
  // No client comes any more: what rests is told so by a half-close, what has begun to come is still served.
  void drain();
  bool pending() const { return open() && !leaving_; }  // something is, or may be, owed to it

 private:
  // Asker
  void answer(Answer answer) override;
  void dismiss() override;
  bool present() override;

  Task run();
  bool read(bool look = false);
  void limit();
  bool begun() const { return !stream_.in().empty() || !reader_.between(); }  // part of a request has come
  void tooLate();
  void holds(size_t bytes);
  std::optional<std::string> serve(HttpRequest&& request);  // an answer at once, or a ticket
  std::string problem(int status, const std::string& why, bool keepAlive) const;

  Scheduler& scheduler_;
  const Settings& settings_;
  Dispatcher& dispatcher_;
  MemoryBudget& memory_;
  size_t held_ = 0;  // our part of it
  std::function<void()> done_, over_;
  Signal signal_;
  Mailbox mailbox_;
  Stream stream_;
  Timer limit_;
  HttpReader reader_;
  double cameAt_ = 0, idleSince_ = 0;
  bool busy_ = false, dismissed_ = false;
  bool full_, asked_ = false;  // asked: a whole request has come
  bool leaving_ = false;       // the last answer is out: what still comes is read, and not kept
  bool unseen_ = false;        // what was read outside our turn waits for it
  bool late_ = false;          // the time for the next request to be whole is over
  bool spoilt_ = false;        // bytes behind the request in hand were dropped
  bool drains_ = false;        // no further request is read but what has begun to come
  std::shared_ptr<Ticket> ticket_;
  std::optional<Answer> answer_;
  Task task_;
};

}  // namespace elmcleat
