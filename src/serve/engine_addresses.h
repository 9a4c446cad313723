// Which listed engine has which address. An engine that starts at the address of another one has taken its
// place: the other one's process has ended, even if its removal has not been listed yet. Performs no I/O.
#pragma once
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "protocol/change_log.h"

namespace elmcleat {

class EngineAddresses {
 public:
  // Takes an event, and adds to it, as removed, each engine whose address another one has taken over. Grows with
  // the list: some 100 bytes for each engine that is in service.
  void apply(EngineListEvent& event);

 private:
  void release(uint32_t engine);

  std::unordered_map<uint64_t, ListedEngine> holders_;        // by address
  std::unordered_map<uint32_t, uint64_t> addressesByEngine_;  // of the engines in service
};

}  // namespace elmcleat
