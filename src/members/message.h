// What members say to each other, as the core speaks it. Members are numbers here, places in the plan's list; on the
// wire (wire.h) they are names, since two processes may run with lists of two versions.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "members/claim.h"

namespace elmcleat::members {

using Member = int;  // a place in the plan's list
constexpr Member kNobody = -1;

enum class Kind : uint8_t {
  ping,     // answer with an ack of the same probe
  ack,      // it, or whom it was asked to ping, is there
  ask,      // ping the subject for me
  nack,     // the subject has not answered me either: the asker's own link is sound
  news,     // rows alone
  compare,  // sums of all rows by bucket: answer with the rows of those that differ
  rows,     // those; with sums: answer with yours
  parcel,   // bytes of a subsystem above
};
constexpr Kind kLastKind = Kind::parcel;

struct Row {
  Member member = kNobody;
  Claim claim;
  Member by = kNobody;  // of a suspicion: one of those that found it themselves
};

struct Message {
  Kind kind = Kind::news;
  Member from = kNobody, to = kNobody;
  uint64_t instance = 0, incarnation = 0;  // the sender's
  uint64_t sequence = 0;                   // grows with each message of an instance
  uint64_t probe = 0;                      // of ping, ack, ask, nack
  Member subject = kNobody;                // of ask
  uint64_t digest = 0;                     // of all rows that the sender has
  std::vector<Row> rows;
  std::vector<uint64_t> sums;
  std::string parcel;
};

struct Parcel {  // what came from a member for a subsystem above
  Member from = kNobody;
  std::string bytes;
};

}  // namespace elmcleat::members
