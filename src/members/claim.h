// What is said of one member. Claims are totally ordered and merging is the greater of two, so it is a join: in
// any order, twice or late, the same comes out.
//
// A member alone raises its own incarnation; the others say suspect, down or left of an incarnation, and it answers
// with a greater one if it is there after all (refutation, as in SWIM). An instance is one life of a process: a
// restart has a greater one, and makes sure of it (core.h).
#pragma once
#include <algorithm>
#include <compare>
#include <cstdint>

namespace elmcleat::members {

enum class State : uint8_t { alive, suspect, down, left };
constexpr const char* nameOf(State state) {
  constexpr const char* names[] = {"alive", "suspect", "down", "left"};
  return names[static_cast<int>(state)];
}

struct Claim {
  uint64_t instance = 0;  // 0: nothing was ever heard of the member
  uint64_t incarnation = 0;
  State state = State::down;
  auto operator<=>(const Claim&) const = default;

  bool heard() const { return instance > 0; }
  bool there() const { return heard() && state <= State::suspect; }
};

inline Claim joined(const Claim& a, const Claim& b) { return std::max(a, b); }

}  // namespace elmcleat::members
