// The state of the fleet as this process sees it at one moment. A snapshot is immutable, so that threads may
// share it.
#pragma once
#include <cstdint>
#include <vector>

#include "members/error.h"
#include "members/member_status.h"
#include "members/message.h"

namespace elmcleat::members {

struct ObservedMember {
  MemberStatus status;
  double lastHeardAt = -1;  // time of the last message from the member itself; negative: none yet
};

struct MembershipSnapshot {
  double takenAt = 0;   // readers judge by its age whether the snapshot may still be used
  uint64_t number = 0;  // consecutive, from 1
  MemberIndex self = kNoMember;
  bool demoted = false;   // another process runs under this name: the snapshot is not valid here
  bool isolated = false;  // other members are listed, and none has answered for a long time
  double promisesAllowedFrom =
      0;                      // promises of an earlier instance may be valid until then: make none before
  size_t presentMembers = 0;  // alive or suspect, including this process
  uint64_t digest = 0;        // equal in members that hold the same statuses
  std::vector<ObservedMember> members;  // in the order of MembershipSettings::peers
  ErrorCounts errorCounts{};            // since the start of the process
};

}  // namespace elmcleat::members
