// Which seeds a test of random faults plays: ELMCLEAT_SEED the one, else ELMCLEAT_SEEDS from 1 on; a tenth under the address
// sanitizer, where each takes ten times as long.
#pragma once
#include <cstdlib>

struct Seeds {
  int first, last;
};

inline Seeds seedsToPlay() {
  auto number = [](const char* name, int otherwise) {
    const char* text = std::getenv(name);
    return text ? std::atoi(text) : otherwise;
  };
#ifdef __SANITIZE_ADDRESS__
  constexpr int kUsual = 20;
#else
  constexpr int kUsual = 200;
#endif
  if (int one = number("ELMCLEAT_SEED", 0))
    return {one, one};
  return {1, number("ELMCLEAT_SEEDS", kUsual)};
}
