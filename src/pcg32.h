// Permuted congruential generator, PCG-XSH-RR 64/32 (O'Neill 2014): the only source of random numbers.
#pragma once
#include <cstdint>

namespace elmcleat {

class Pcg32 {
 public:
  explicit Pcg32(uint64_t seed) : state_(seed + kIncrement) { next(); }

  // Uniform over all 32-bit values.
  uint32_t next() {
    uint64_t previous = state_;
    state_ = previous * kMultiplier + kIncrement;
    auto shifted = static_cast<uint32_t>(((previous >> 18) ^ previous) >> 27);
    auto rotation = static_cast<uint32_t>(previous >> 59);
    return (shifted >> rotation) | (shifted << ((32 - rotation) & 31));
  }
  double uniform() { return next() * 0x1p-32; }  // in [0, 1)
  double uniformBetween(double low, double high) { return low + (high - low) * uniform(); }

 private:
  static constexpr uint64_t kMultiplier = 6364136223846793005ULL;
  static constexpr uint64_t kIncrement = 1442695040888963407ULL;
  uint64_t state_;
};

}  // namespace elmcleat
