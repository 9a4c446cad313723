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
#include "serve/desk.h"

namespace elmcleat {

// What all clients' connections together hold of requests, and how much that may be.
struct Hold {
  size_t most = 0, sum = 0;
};

class Client final : public Asker {
 public:
  // `full`: too many have come, so its first request is turned away, harmlessly, and it is closed.
  Client(Scheduler& scheduler, const Settings& settings, Desk& desk, Hold& hold, int fd, bool full = false);
  ~Client() override;
  // Called whenever a request is done with, and when the connection is over.
  void tell(std::function<void()> done, std::function<void()> over) {
    done_ = std::move(done), over_ = std::move(over);
  }
  void start() { task_.start(); }

  bool busy() const { return busy_; }  // a whole request is in hand, or its answer on its way
  bool idle() const { return !busy_ && stream_.open(); }
  double idleSince() const { return idleSince_; }
  bool hasAsked() const { return asked_; }
  bool giveWay();  // closes unless something has come meanwhile; for idle ones

 private:
  // Asker
  void answer(Answer answer) override;
  void dismiss() override;

  Task run();
  bool read(bool look = false);
  void limit();
  void tooLate();
  void holds(size_t bytes);
  std::optional<std::string> serve(HttpRequest&& request);  // an answer at once, or a ticket
  std::string problem(int status, const std::string& why, bool keepAlive) const;

  Scheduler& scheduler_;
  const Settings& settings_;
  Desk& desk_;
  Hold& hold_;
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
  bool unseen_ = false;        // what giveWay() has read waits for our turn
  std::shared_ptr<Ticket> ticket_;
  std::optional<Answer> answer_;
  Task task_;
};

}  // namespace elmcleat
