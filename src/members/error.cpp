#include "members/error.h"

namespace elmcleat::members {
namespace {

// In the order of ErrorKind.
struct ErrorText {
  const char* name;
  const char* remedy;
};
constexpr std::array<ErrorText, kErrorKinds> kErrorTexts = {{
    {"peers-forbidden",
     "remove the section from the gateway file, or have the platform allow it by settings.limits.peers"},
    {"not-listed", "add this process's name and address to members.peers, in all processes"},
    {"address-taken", "stop the other process, or correct members.peers: each process needs its own address"},
    {"undecodable",
     "check the network between the two, and for other senders to this address; no part of the message was "
     "used"},
    {"other-fleet", "correct members.fleet, or separate the networks of the two fleets"},
    {"stranger",
     "add the process to members.peers, or correct its address there; otherwise find out what sends from "
     "there"},
    {"misdirected", "correct members.peers: an address there belongs to another process"},
    {"replayed", "none if rare: a network may duplicate messages; if frequent, find out what replays them"},
    {"too-new", "upgrade this process: it cannot read the sender's protocol version"},
    {"too-large", "upgrade the older of the two processes, or find out what sends from there"},
    {"two-under-one-name",
     "stop one of the two processes; this one sends nothing to other members until it is restarted"},
    {"alone", "check that the others run, and that UDP and TCP pass between the addresses in members.peers"},
    {"control-silent",
     "check processor and memory of the machine; restart if it persists; commands are still served"},
    {"control-ended",
     "restart when convenient, and report this line; commands are served without the shared state"},
}};

}  // namespace

const char* nameOf(ErrorKind errorKind) { return kErrorTexts[static_cast<size_t>(errorKind)].name; }
const char* remedyOf(ErrorKind errorKind) { return kErrorTexts[static_cast<size_t>(errorKind)].remedy; }

std::string describe(ErrorKind errorKind, const std::string& what, const std::string& subject) {
  return "members: " + std::string(nameOf(errorKind)) + ": " + subject + ": " + what + "; " +
         remedyOf(errorKind);
}

Error::Error(ErrorKind errorKind, const std::string& what, const std::string& whom)
    : std::runtime_error(describe(errorKind, what, whom)), kind(errorKind), subject(whom) {}

}  // namespace elmcleat::members
