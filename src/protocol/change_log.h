// The change log: its events and its frames. No I/O.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "policy.h"
#include "protocol/address.h"

namespace elmcleat {

struct Listing {     // an engine as the list has it
  EngineRecord row;  // without its start
  Address address;
  int64_t bornMs = 0;  // Unix time of a late start; 0: long ago
};
struct ListEvent {
  uint64_t number = 0;
  bool whole = false;
  std::vector<Listing> rows;
};

class FrameReader {
 public:
  // The largest list that a frame may hold: half as many engines again as the largest installation planned for.
  static constexpr size_t kMostFrame = 13 + 27 * 65536;
  enum class State { more, event, nothingNew, bad };

  FrameReader(std::vector<std::string> zones, std::vector<std::string> kinds)
      : zones_(std::move(zones)), kinds_(std::move(kinds)) {}
  State next(std::string& bytes, ListEvent& event) const;

 private:
  std::vector<std::string> zones_, kinds_;  // as numbered in records
};

std::string resumeFrom(uint64_t number);  // what a reader writes first

}  // namespace elmcleat
