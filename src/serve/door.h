// The door: the actor that accepts clients' connections and owns them.
#pragma once
#include <memory>
#include <unordered_map>

#include "config/config.h"
#include "serve/client.h"

namespace elmcleat {

class Door {
 public:
  Door(Scheduler& scheduler, const Config& config, Dispatcher& dispatcher);
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
  void over(Client* client);
  void endIfDone();

  Scheduler& scheduler_;
  const Config& config_;
  Dispatcher& dispatcher_;
  const size_t most_;  // connections of clients
  MemoryBudget memory_;
  Signal signal_;
  Timer again_;    // accepting goes on after a pause for want of descriptors
  Timer leaving_;  // no more clients come
  Timer parting_;  // those that were told that we end have heard it
  bool told_ = false, closed_ = false;
  std::unique_ptr<Descriptor> listener_;
  std::unordered_map<Client*, std::shared_ptr<Client>> clients_;
  Task task_;
};

}  // namespace elmcleat
