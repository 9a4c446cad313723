#include "view/rendezvous_rank.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace elmcleat::view {

uint64_t rendezvousWeight(uint32_t engine, uint32_t ordinal) {
  uint64_t pair = uint64_t(engine) << 32 | ordinal;
  return XXH3_64bits(&pair, sizeof pair);
}

int rendezvousRank(uint32_t engine, int ordinal, int dispatchers, int cap) {
  constexpr int kAtOnce = 32;  // between looks at the cap: the inner loop then has no branch
  const uint64_t own = rendezvousWeight(engine, uint32_t(ordinal));
  int before = 0;
  for (int from = 0; from < dispatchers && before < cap; from += kAtOnce)
    for (int other = from, end = std::min(from + kAtOnce, dispatchers); other < end; ++other) {
      uint64_t weight = rendezvousWeight(engine, uint32_t(other));
      before += (weight > own) | ((weight == own) & (other < ordinal));
    }
  return std::min(before, cap);
}

}  // namespace elmcleat::view
