// The change log: its events and its frames. No I/O.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "policy.h"
#include "protocol/address.h"

namespace elmcleat {

struct ListedEngine {   // an engine as the list has it
  EngineRecord record;  // without its start
  Address address;
  int64_t startedAtUnixMs = 0;  // Unix time of a late start; 0: long ago
};
struct EngineListEvent {
  uint64_t sequence = 0;
  bool isFullList = false;
  std::vector<ListedEngine> engines;
};

class FrameParser {
 public:
  // The largest list that a frame may hold: half as many engines again as the largest installation planned for.
  static constexpr size_t kMaxFrameBytes = 13 + 27 * 65536;
  enum class State { needMore, event, heartbeat, malformed };

  FrameParser(std::vector<std::string> zones, std::vector<std::string> kinds)
      : zones_(std::move(zones)), kinds_(std::move(kinds)) {}
  State next(std::string& bytes, EngineListEvent& event) const;

 private:
  std::vector<std::string> zones_, kinds_;  // as numbered in records
};

std::string encodeResumeRequest(uint64_t number);  // what a reader writes first

}  // namespace elmcleat
