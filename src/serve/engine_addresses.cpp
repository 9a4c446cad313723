#include "serve/engine_addresses.h"

#include <utility>

namespace elmcleat {
namespace {

uint64_t keyOf(const Address& address) { return uint64_t(address.host) << 16 | address.port; }

}  // namespace

void EngineAddresses::apply(EngineListEvent& event) {
  if (event.isFullList) {
    holders_.clear();
    addressesByEngine_.clear();
  }
  std::vector<ListedEngine> replaced;
  for (const ListedEngine& listing : event.engines) {
    release(listing.record.id);
    if (listing.record.state != EngineState::inService)
      continue;
    uint64_t address = keyOf(listing.address);
    auto [holder, isFree] = holders_.try_emplace(address, listing);
    if (isFree) {
      addressesByEngine_[listing.record.id] = address;
      continue;
    }
    // The one that started last has the address; of equal ones the one that was listed last.
    ListedEngine ended = listing;
    if (listing.startedAtUnixMs >= holder->second.startedAtUnixMs) {
      ended = std::exchange(holder->second, listing);
      addressesByEngine_[listing.record.id] = address;
      addressesByEngine_.erase(ended.record.id);
    }
    ended.record.state = EngineState::removed;
    replaced.push_back(std::move(ended));
  }
  event.engines.insert(event.engines.end(), replaced.begin(), replaced.end());
}

// Forgets the engine's address.
void EngineAddresses::release(uint32_t engine) {
  auto found = addressesByEngine_.find(engine);
  if (found == addressesByEngine_.end())
    return;
  holders_.erase(found->second);
  addressesByEngine_.erase(found);
}

}  // namespace elmcleat
