// The listening socket for clients, and the actor that accepts their connections and owns them. It limits how
// many connections there are, sheds load when that limit is reached, evicts idle connections when descriptors
// run out, and carries out the graceful shutdown.
#pragma once
#include <memory>
#include <unordered_map>

#include "config/config.h"
#include "serve/client_connection.h"

namespace elmcleat {

class Listener {
 public:
  Listener(Scheduler& scheduler, const Config& config, Dispatcher& dispatcher);

  // Binds the listening socket and starts the actor. Throws if the address can't be used.
  void open();

  // Closes the idle connection that is least likely to send a request; false if there is none.
  bool evictIdle();

  // Graceful shutdown: goes on accepting and serving for as long as new connections may arrive, then stops
  // the scheduler once every request is answered and every idle client has been sent a half-close. Further
  // calls have no effect.
  void drain();

 private:
  Task run();
  void admit(int fd, bool overLimit);
  bool accept();
  void close();
  void connectionClosed(ClientConnection* connection);
  void stopIfDrained();

  Scheduler& scheduler_;
  const Config& config_;
  Dispatcher& dispatcher_;
  const size_t maxConnections_;  // client connections that are served; a few more are accepted and shed
  MemoryBudget memory_;
  Signal signal_;
  Timer acceptRetryTimer_;  // ends the accept backoff after descriptors ran out
  Timer drainTimer_;        // end of the period in which new connections are still accepted
  Timer closeTimer_;        // end of the time that clients get to see our half-close
  bool draining_ = false;
  bool closed_ = false;  // the listening socket has been closed for the shutdown
  std::unique_ptr<Descriptor> listeningSocket_;
  std::unordered_map<ClientConnection*, std::shared_ptr<ClientConnection>> connections_;
  Task task_;
};

}  // namespace elmcleat
