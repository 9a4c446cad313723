// The messages of the membership protocol in memory. Members are indices into the list of peers here; on the
// wire (message_codec.h) they are names, because two processes may run with different versions of the list.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "members/member_status.h"

namespace elmcleat::members {

using MemberIndex = int;  // index into MembershipSettings::peers
constexpr MemberIndex kNoMember = -1;

// The values are on the wire.
enum class MessageKind : uint8_t {
  ping,         // to be answered by an ack with the same probe number
  ack,          // the receiver of the ping, or the subject of the ping-req, is alive
  pingRequest,  // SWIM's ping-req: asks the receiver to ping the subject
  nack,    // the subject has not answered the receiver of the ping-req either; the requester's own link works
  gossip,  // updates only
  syncRequest,   // anti-entropy: bucket digests; to be answered by the updates of the buckets that differ
  syncResponse,  // those updates; with bucket digests, to be answered by the other side's updates
  payload,       // bytes for a subsystem on top of membership
};
constexpr MessageKind kLastMessageKind = MessageKind::payload;

struct MemberUpdate {
  MemberIndex member = kNoMember;
  MemberStatus status;
  MemberIndex suspectedBy = kNoMember;  // for a suspicion: one of the members that detected it themselves
};

struct Message {
  MessageKind kind = MessageKind::gossip;
  MemberIndex from = kNoMember;
  MemberIndex to = kNoMember;
  uint64_t instance = 0;            // of the sender
  uint64_t incarnation = 0;         // of the sender
  uint64_t sequence = 0;            // increases with each message of an instance
  uint64_t probe = 0;               // probe number of a ping, ack, ping-req or nack
  MemberIndex subject = kNoMember;  // of a ping-req
  uint64_t digest = 0;              // of all statuses that the sender holds
  std::vector<MemberUpdate> updates;
  std::vector<uint64_t> bucketDigests;
  std::string payload;
};

// A payload received from a member.
struct Payload {
  MemberIndex from = kNoMember;
  std::string bytes;
};

}  // namespace elmcleat::members
