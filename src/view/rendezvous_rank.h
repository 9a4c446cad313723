// The order in which dispatchers stand before an engine: rendezvous hash by engine. It follows from the
// engine's id, the ordinals and their number alone, and must stay the same in all versions that run side by
// side.
#pragma once
#include <cstdint>

namespace elmcleat::view {

// The greater, the further in front. 64 bits: a tie is next to impossible, and goes to the smaller ordinal.
uint64_t rendezvousWeight(uint32_t engine, uint32_t ordinal);

// How many of the ordinals 0 to `dispatchers` - 1 stand before `ordinal`; `cap` if it is that many or more.
// It counts only until it knows: `cap` x (1 + ln(`dispatchers` / `cap`)) weights in the mean of all ordinals.
int rendezvousRank(uint32_t engine, int ordinal, int dispatchers, int cap);

}  // namespace elmcleat::view
