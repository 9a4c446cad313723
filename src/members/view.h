// What this process knows of the fleet at one moment: never changed once made, so that threads may share it.
#pragma once
#include <cstdint>
#include <vector>

#include "members/claim.h"
#include "members/fault.h"
#include "members/message.h"

namespace elmcleat::members {

struct Seen {
  Claim claim;
  double heardAt = -1;  // when it was last heard itself; below 0: never
};

struct View {
  double at = 0;        // when it was made; whoever reads it judges by its age
  uint64_t number = 0;  // of views, from 1
  Member self = kNobody;
  bool aside = false;         // another process lives under our name: nothing of this counts for us
  bool alone = false;         // others are listed, and none of them has answered for long
  double promisesFrom = 0;    // before then an earlier life of ours may have promised: promise nothing
  size_t there = 0;           // members that are there, this one included
  uint64_t digest = 0;        // equal in members that know the same
  std::vector<Seen> members;  // in the plan's order
  Counts wrong{};             // how often each came, since the start
};

}  // namespace elmcleat::members
