// The seeds that a test of random faults runs with: the one of ELMCLEAT_SEED, or else 1 to ELMCLEAT_SEEDS.
// Under the address sanitizer the default is a tenth, since each takes ten times as long.
#pragma once
#include <cstdlib>

struct Seeds {
  int first;
  int last;
};

inline Seeds seedsToPlay() {
  auto numberFrom = [](const char* variable, int fallback) {
    const char* text = std::getenv(variable);
    return text ? std::atoi(text) : fallback;
  };
#ifdef __SANITIZE_ADDRESS__
  constexpr int kDefaultCount = 20;
#else
  constexpr int kDefaultCount = 200;
#endif
  if (int seed = numberFrom("ELMCLEAT_SEED", 0))
    return {seed, seed};
  return {1, numberFrom("ELMCLEAT_SEEDS", kDefaultCount)};
}
