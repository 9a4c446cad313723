// Who belongs to the fleet, as somebody has set it: every process by its name and the address at which the others
// reach it. Who of them is there now is the core's matter (membership.h). No I/O.
#pragma once
#include <string>
#include <vector>

#include "protocol/address.h"

namespace elmcleat::members {

struct Peer {
  std::string name;  // the configuration's, the same after a restart
  Address address;   // UDP and TCP; for oneself: where to listen
};

struct MembershipSettings {
  std::string fleet;  // what comes under another fleet's name is not heard
  std::vector<Peer> peers;
  double probeInterval = 0.5;   // seconds from one probe to the next
  double minSuspicionTime = 1;  // seconds of suspicion before a member counts as down, when many suspect it;
  double maxSuspicionTime = 3;  // and when one alone does
  double maxPromiseDuration = 10;  // seconds for which anything promised to another may hold
};

struct ValidationError {
  std::string key, message;  // the key's path below the section; what was found and what is allowed
};
// All that no schema can say. Empty: sound.
std::vector<ValidationError> validate(const MembershipSettings& settings);

}  // namespace elmcleat::members
