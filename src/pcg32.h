// Permuted congruential generator (PCG-XSH-RR 64/32): the only source of chance.
#pragma once
#include <cstdint>

namespace elmcleat {

class Pcg32 {
 public:
  explicit Pcg32(uint64_t seed) : state_(seed + kStep) { next(); }

  uint32_t next() {
    uint64_t old = state_;
    state_ = old * 6364136223846793005ULL + kStep;
    auto shifted = static_cast<uint32_t>(((old >> 18) ^ old) >> 27);
    auto turn = static_cast<uint32_t>(old >> 59);
    return (shifted >> turn) | (shifted << ((32 - turn) & 31));
  }
  double uniform() { return next() * 0x1p-32; }  // in [0, 1)
  double uniformBetween(double low, double high) { return low + (high - low) * uniform(); }

 private:
  static constexpr uint64_t kStep = 1442695040888963407ULL;
  uint64_t state_;
};

}  // namespace elmcleat
