#include "view/rendezvous_rank.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace elmcleat::view {

uint64_t rendezvousWeight(uint32_t engine, uint32_t ordinal) {
  uint64_t pair = uint64_t(engine) << 32 | ordinal;
  return XXH3_64bits(&pair, sizeof pair);
}

int rendezvousRank(uint32_t engine, int ordinal, int dispatchers, int limit) {
  constexpr int kBlockSize = 32;  // ordinals between checks of the limit: the inner loop has no branch
  const uint64_t own = rendezvousWeight(engine, uint32_t(ordinal));
  int before = 0;
  for (int begin = 0; begin < dispatchers && before < limit; begin += kBlockSize)
    for (int other = begin, end = std::min(begin + kBlockSize, dispatchers); other < end; ++other) {
      uint64_t weight = rendezvousWeight(engine, uint32_t(other));
      before += (weight > own) | ((weight == own) & (other < ordinal));
    }
  return std::min(before, limit);
}

}  // namespace elmcleat::view
