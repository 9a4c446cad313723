// The door: the actor that accepts clients' connections and owns them.
#pragma once
#include <memory>
#include <unordered_map>

#include "config/config.h"
#include "serve/client_connection.h"

namespace elmcleat {

class Listener {
 public:
  Listener(Scheduler& scheduler, const Config& config, Dispatcher& dispatcher);
  void open();
  bool evictIdle();  // closes the connection that is least likely to ask; false: there is none
  // Graceful shutdown: accepts and serves on for as long as clients may come, and ends the scheduler when all is
  // answered and who rests has been told. Asked again it changes nothing.
  void drain();

 private:
  Task run();
  void admit(int fd, bool full);
  bool accept();
  void close();
  void connectionClosed(ClientConnection* client);
  void endIfDone();

  Scheduler& scheduler_;
  const Config& config_;
  Dispatcher& dispatcher_;
  const size_t maxConnections_;  // connections of clients
  MemoryBudget memory_;
  Signal signal_;
  Timer acceptRetryTimer_;  // accepting goes on after a pause for want of descriptors
  Timer drainTimer_;        // no more clients come
  Timer closeTimer_;        // those that were told that we end have heard it
  bool draining_ = false, closed_ = false;
  std::unique_ptr<Descriptor> listener_;
  std::unordered_map<ClientConnection*, std::shared_ptr<ClientConnection>> clients_;
  Task task_;
};

}  // namespace elmcleat
