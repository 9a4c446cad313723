// The status of one member, as SWIM orders it. Statuses are totally ordered by (instance, incarnation,
// state), and merging takes the greater of two. So merging is a join: commutative, associative and
// idempotent, and replicas that receive the same updates in any order, repeatedly or late, hold the same
// status.
//
// Only the member itself raises its incarnation. Other members report an incarnation as suspect, down or
// left; a member that is still running refutes this with a greater incarnation. An instance is one run of a
// process: a restarted process has a greater instance (membership.h enforces this when the clock was set
// back).
#pragma once
#include <algorithm>
#include <compare>
#include <cstdint>

namespace elmcleat::members {

// In the order of precedence for one incarnation. The values are on the wire.
enum class MemberState : uint8_t { alive, suspect, down, left };
constexpr const char* nameOf(MemberState state) {
  constexpr const char* names[] = {"alive", "suspect", "down", "left"};
  return names[static_cast<int>(state)];
}

struct MemberStatus {
  uint64_t instance = 0;  // 0: nothing has been received about the member yet
  uint64_t incarnation = 0;
  MemberState state = MemberState::down;
  auto operator<=>(const MemberStatus&) const = default;

  bool isKnown() const { return instance > 0; }
  // Suspected members still count as present.
  bool isPresent() const { return isKnown() && state <= MemberState::suspect; }
};

inline MemberStatus mergedStatus(const MemberStatus& a, const MemberStatus& b) { return std::max(a, b); }

}  // namespace elmcleat::members
