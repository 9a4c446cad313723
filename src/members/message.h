// What members say to each other, as the core speaks it. Members are numbers here, places in the plan's list; on the
// wire (message_codec.h) they are names, since two processes may run with lists of two versions.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "members/member_status.h"

namespace elmcleat::members {

using MemberIndex = int;  // a place in the plan's list
constexpr MemberIndex kNoMember = -1;

enum class MessageKind : uint8_t {
  ping,          // answer with an ack of the same probe
  ack,           // it, or whom it was asked to ping, is there
  pingRequest,   // ping the subject for me
  nack,          // the subject has not answered me either: the asker's own link is sound
  gossip,        // rows alone
  syncRequest,   // sums of all rows by bucket: answer with the rows of those that differ
  syncResponse,  // those; with sums: answer with yours
  payload,       // bytes of a subsystem above
};
constexpr MessageKind kLastMessageKind = MessageKind::payload;

struct MemberUpdate {
  MemberIndex member = kNoMember;
  MemberStatus status;
  MemberIndex suspectedBy = kNoMember;  // of a suspicion: one of those that found it themselves
};

struct Message {
  MessageKind kind = MessageKind::gossip;
  MemberIndex from = kNoMember, to = kNoMember;
  uint64_t instance = 0, incarnation = 0;  // the sender's
  uint64_t sequence = 0;                   // grows with each message of an instance
  uint64_t probe = 0;                      // of ping, ack, ask, nack
  MemberIndex subject = kNoMember;         // of ask
  uint64_t digest = 0;                     // of all rows that the sender has
  std::vector<MemberUpdate> updates;
  std::vector<uint64_t> bucketDigests;
  std::string payload;
};

struct Payload {  // what came from a member for a subsystem above
  MemberIndex from = kNoMember;
  std::string bytes;
};

}  // namespace elmcleat::members
