// What can be wrong among members, and what an operator can do. Each fault is made where it is known; it is thrown
// where the start must end, and else logged and counted.
#pragma once
#include <array>
#include <stdexcept>
#include <string>

namespace elmcleat::members {

enum class Wrong {
  peersForbidden,   // the platform's settings say that instances may not speak
  notListed,        // this process's name is not in the list
  addressTaken,     // somebody listens at our address
  undecodable,      // what came can't be read, or was damaged on its way
  otherFleet,       // it speaks for another fleet
  stranger,         // it names nobody of the list, or comes from another address than that member's
  misdirected,      // it is meant for another member
  replayed,         // it has been heard before, or is older than all that is remembered
  tooNew,           // its version is one that this program can't read
  tooLarge,         // over the bound of a message
  twoUnderOneName,  // another process lives under our name
  alone,            // no other member answers
  controlSilent,    // the control thread has told nothing for too long
  controlEnded,     // the control thread has ended with a fault
};
constexpr size_t kWrongs = static_cast<size_t>(Wrong::controlEnded) + 1;

// The name under which docs/on-call.md lists it; and what an operator can do.
const char* nameOf(Wrong errorKind);
const char* remedyOf(Wrong errorKind);

struct Fault : std::runtime_error {
  Fault(Wrong errorKind, const std::string& what, const std::string& whom);
  Wrong wrong;
  std::string subject;  // to what it happened
};

// One line: what happened, to what, what can be done.
std::string lineOf(Wrong errorKind, const std::string& what, const std::string& subject);

using Counts = std::array<uint64_t, kWrongs>;

}  // namespace elmcleat::members
