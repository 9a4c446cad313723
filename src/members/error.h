// What can be wrong among members, and what an operator can do. Each fault is made where it is known; it is thrown
// where the start must end, and else logged and counted.
#pragma once
#include <array>
#include <stdexcept>
#include <string>

namespace elmcleat::members {

enum class ErrorKind {
  peersForbidden,        // the platform's settings say that instances may not speak
  notListed,             // this process's name is not in the list
  addressInUse,          // somebody listens at our address
  undecodable,           // what came can't be read, or was damaged on its way
  fleetMismatch,         // it speaks for another fleet
  unknownSender,         // it names nobody of the list, or comes from another address than that member's
  misdirected,           // it is meant for another member
  replayed,              // it has been heard before, or is older than all that is remembered
  unsupportedVersion,    // its version is one that this program can't read
  tooLarge,              // over the bound of a message
  duplicateName,         // another process lives under our name
  isolated,              // no other member answers
  controlThreadStalled,  // the control thread has told nothing for too long
  controlThreadFailed,   // the control thread has ended with a fault
};
constexpr size_t kErrorKinds = static_cast<size_t>(ErrorKind::controlThreadFailed) + 1;

// The name under which docs/on-call.md lists it; and what an operator can do.
const char* nameOf(ErrorKind errorKind);
const char* remedyOf(ErrorKind errorKind);

struct Error : std::runtime_error {
  Error(ErrorKind errorKind, const std::string& what, const std::string& whom);
  ErrorKind kind;
  std::string subject;  // to what it happened
};

// One line: what happened, to what, what can be done.
std::string describe(ErrorKind errorKind, const std::string& what, const std::string& subject);

using ErrorCounts = std::array<uint64_t, kErrorKinds>;

}  // namespace elmcleat::members
