// Rendezvous (highest random weight) hashing: each engine ranks all dispatchers. A rank depends only on the
// engine's id, the ordinals and their number, and must be the same in all versions that run at the same time.
#pragma once
#include <cstdint>

namespace elmcleat::view {

// The greater weight ranks first. In 64 bits a tie is next to impossible; it goes to the smaller ordinal.
uint64_t rendezvousWeight(uint32_t engine, uint32_t ordinal);

// The rank of `ordinal` among the ordinals 0 to `dispatchers` - 1: the number of those that rank before it,
// or `limit` if there are that many or more. Stops at the limit: averaged over all ordinals it takes `limit`
// x (1 + ln(`dispatchers` / `limit`)) weights.
int rendezvousRank(uint32_t engine, int ordinal, int dispatchers, int limit);

}  // namespace elmcleat::view
