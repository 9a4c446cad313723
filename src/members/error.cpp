#include "members/error.h"

namespace elmcleat::members {
namespace {

struct Told {
  const char *name, *remedy;
};
constexpr std::array<Told, kErrorKinds> kTold = {{
    {"peers-forbidden",
     "take the section out of the gateway file, or let the platform allow it with settings.limits.peers"},
    {"not-listed", "add this process's name and address to members.peers, in all processes"},
    {"address-taken",
     "end the other process, or correct members.peers: each process has an address of its own"},
    {"undecodable",
     "look at the network between the two, or who else sends there; nothing was taken from it"},
    {"other-fleet", "correct members.fleet, or keep the two fleets' networks apart"},
    {"stranger", "add the process to members.peers, or correct its address there; else find out who sends"},
    {"misdirected", "correct members.peers: an address there belongs to another process"},
    {"replayed", "nothing, if seldom: a network may deliver twice; if often, find out who sends again"},
    {"too-new", "upgrade this process: the sender's version can't be read by it"},
    {"too-large", "upgrade the older of the two, or find out who sends"},
    {"two-under-one-name",
     "end one of the two processes; this one is silent among members until its restart"},
    {"alone",
     "look whether the others run and whether UDP and TCP pass between the addresses in members.peers"},
    {"control-silent",
     "look at the processor and memory of the machine; restart if it stays; commands go on"},
    {"control-ended", "restart when convenient, and report the line; commands go on without what is shared"},
}};

}  // namespace

const char* nameOf(ErrorKind errorKind) { return kTold[static_cast<size_t>(errorKind)].name; }
const char* remedyOf(ErrorKind errorKind) { return kTold[static_cast<size_t>(errorKind)].remedy; }

std::string describe(ErrorKind errorKind, const std::string& what, const std::string& subject) {
  return "members: " + std::string(nameOf(errorKind)) + ": " + subject + ": " + what + "; " +
         remedyOf(errorKind);
}

Error::Error(ErrorKind errorKind, const std::string& what, const std::string& whom)
    : std::runtime_error(describe(errorKind, what, whom)), kind(errorKind), subject(whom) {}

}  // namespace elmcleat::members
