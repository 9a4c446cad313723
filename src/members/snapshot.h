// What this process knows of the fleet at one moment: never changed once made, so that threads may share it.
#pragma once
#include <cstdint>
#include <vector>

#include "members/error.h"
#include "members/member_status.h"
#include "members/message.h"

namespace elmcleat::members {

struct ObservedMember {
  MemberStatus status;
  double lastHeardAt = -1;  // when it was last heard itself; below 0: never
};

struct MembershipSnapshot {
  double takenAt = 0;   // when it was made; whoever reads it judges by its age
  uint64_t number = 0;  // of views, from 1
  MemberIndex self = kNoMember;
  bool demoted = false;            // another process lives under our name: nothing of this counts for us
  bool isolated = false;           // others are listed, and none of them has answered for long
  double promisesAllowedFrom = 0;  // before then an earlier life of ours may have promised: promise nothing
  size_t presentMembers = 0;       // members that are there, this one included
  uint64_t digest = 0;             // equal in members that know the same
  std::vector<ObservedMember> members;  // in the plan's order
  ErrorCounts errorCounts{};            // how often each came, since the start
};

}  // namespace elmcleat::members
