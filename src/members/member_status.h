// What is said of one member. Claims are totally ordered and merging is the greater of two, so it is a join: in
// any order, twice or late, the same comes out.
//
// A member alone raises its own incarnation; the others say suspect, down or left of an incarnation, and it answers
// with a greater one if it is there after all (refutation, as in SWIM). An instance is one life of a process: a
// restart has a greater one, and makes sure of it (membership.h).
#pragma once
#include <algorithm>
#include <compare>
#include <cstdint>

namespace elmcleat::members {

enum class MemberState : uint8_t { alive, suspect, down, left };
constexpr const char* nameOf(MemberState state) {
  constexpr const char* names[] = {"alive", "suspect", "down", "left"};
  return names[static_cast<int>(state)];
}

struct MemberStatus {
  uint64_t instance = 0;  // 0: nothing was ever heard of the member
  uint64_t incarnation = 0;
  MemberState state = MemberState::down;
  auto operator<=>(const MemberStatus&) const = default;

  bool isKnown() const { return instance > 0; }
  bool isPresent() const { return isKnown() && state <= MemberState::suspect; }
};

inline MemberStatus mergedStatus(const MemberStatus& a, const MemberStatus& b) { return std::max(a, b); }

}  // namespace elmcleat::members
