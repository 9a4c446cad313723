// The change log's binary protocol: an incremental parser for its frames, and the request that resumes the
// stream. Performs no I/O. All integers are big-endian. A frame is:
//
//   4 bytes  length of the rest of the frame
//   8 bytes  sequence number
//   1 byte   kind: 0 heartbeat (no payload), 1 full list, 2 changes to the list
//   payload  one 27-byte record per engine:
//     4 bytes  id
//     4 bytes  IPv4 address
//     2 bytes  port
//     1 byte   state: 0 in service, 1 draining, 2 removed
//     1 byte   zone, as an index into the configured zones
//     1 byte   kind, as an index into the configured kinds of engines
//     2 bytes  cell
//     4 bytes  weight (ignored)
//     8 bytes  Unix time of its start in milliseconds; 0: not given
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "policy.h"
#include "protocol/address.h"

namespace elmcleat {

// An engine as the change log lists it.
struct ListedEngine {
  EngineRecord record;  // without its start time
  Address address;
  int64_t startedAtUnixMs = 0;  // Unix time of its start; 0: not given, it counts as warm
};

// One event of the change log: the full list of engines, or the engines that changed.
struct EngineListEvent {
  uint64_t sequence = 0;
  bool isFullList = false;
  std::vector<ListedEngine> engines;
};

// Parses frames incrementally from the bytes received so far.
class FrameParser {
 public:
  // Upper bound of a frame, its length prefix included: 65,536 engines, half as many again as in the largest
  // installation planned for.
  static constexpr size_t kMaxFrameBytes = 13 + 27 * 65536;
  enum class State { needMore, event, heartbeat, malformed };

  // `zones` and `kinds` are listed in the order in which records number them.
  FrameParser(std::vector<std::string> zones, std::vector<std::string> kinds)
      : zones_(std::move(zones)), kinds_(std::move(kinds)) {}

  // Removes the next frame from the front of `bytes` once it is complete, and fills `event` unless it is a
  // heartbeat. After `malformed` the framing is lost: the connection has to be closed.
  State next(std::string& bytes, EngineListEvent& event) const;

 private:
  std::vector<std::string> zones_;
  std::vector<std::string> kinds_;
};

// The first bytes to write on a new connection: the change log resumes after the event of this sequence
// number.
std::string encodeResumeRequest(uint64_t sequence);

}  // namespace elmcleat
