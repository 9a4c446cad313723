// The configured membership of the fleet: every process with its name and address, and the timing of the
// failure detector. Which of the processes are alive is decided at run time (membership.h). No I/O.
#pragma once
#include <string>
#include <vector>

#include "protocol/address.h"

namespace elmcleat::members {

struct Peer {
  std::string name;  // from the configuration; does not change with a restart
  Address address;   // for UDP and TCP; the process itself listens on its own one
};

struct MembershipSettings {
  std::string fleet;  // messages with another fleet name are dropped
  std::vector<Peer> peers;
  double probeInterval = 0.5;   // seconds between two probes
  double minSuspicionTime = 1;  // seconds from suspect to down, when many members confirm the suspicion
  double maxSuspicionTime = 3;  // seconds from suspect to down, when no other member confirms it
  double maxPromiseDuration =
      10;  // seconds; upper bound of the validity of any promise made to another member
};

struct ValidationError {
  std::string key;      // path of the key, relative to the section
  std::string message;  // the value found, and what is allowed
};
// Checks what the schema cannot express: unique names and addresses, and the order of the durations. An empty
// result means that the settings are valid.
std::vector<ValidationError> validate(const MembershipSettings& settings);

}  // namespace elmcleat::members
