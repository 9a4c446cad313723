// The errors of membership: each kind with its external name, and the remedy for the operator. A component
// throws an Error where the start of the process must fail; all other errors are logged and counted where
// they are detected.
#pragma once
#include <array>
#include <stdexcept>
#include <string>

namespace elmcleat::members {

enum class ErrorKind {
  peersForbidden,        // the platform's settings forbid communication between instances
  notListed,             // the list of peers does not contain this process's name
  addressInUse,          // another process is bound to this process's address
  undecodable,           // a message cannot be parsed, or its checksum does not match
  fleetMismatch,         // the message belongs to another fleet
  unknownSender,         // the sender is not listed, or the source address is not the sender's
  misdirected,           // the message is addressed to another member
  replayed,              // a duplicate, or older than the window of remembered sequence numbers
  unsupportedVersion,    // the message requires a newer protocol version than this program reads
  tooLarge,              // the message exceeds a size limit
  duplicateName,         // another running process uses this process's name
  isolated,              // no other member answers
  controlThreadStalled,  // the control thread has not published a snapshot for too long
  controlThreadFailed,   // the control thread has ended with an exception
};
constexpr size_t kErrorKinds = static_cast<size_t>(ErrorKind::controlThreadFailed) + 1;

// The name of the error in log lines and in docs/on-call.md.
const char* nameOf(ErrorKind errorKind);
// What the operator can do about the error, as the last part of its log line.
const char* remedyOf(ErrorKind errorKind);

struct Error : std::runtime_error {
  // `what` is the event, `whom` the subject; what() is the line that describe() returns.
  Error(ErrorKind errorKind, const std::string& what, const std::string& whom);
  ErrorKind kind;
  std::string subject;  // the member, address or component that the error concerns
};

// The log line for an error: its name, the subject, what happened, and the remedy.
std::string describe(ErrorKind errorKind, const std::string& what, const std::string& subject);

// How often each kind of error has occurred, indexed by ErrorKind.
using ErrorCounts = std::array<uint64_t, kErrorKinds>;

}  // namespace elmcleat::members
