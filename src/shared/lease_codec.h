// Letters as bytes (wire.proto). No I/O; bounded by what carries them; what can't be read is none.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "shared/lease_manager.h"

namespace elmcleat::shared {

class LeaseCodec {
 public:
  // The names of the amounts, in the order of the terms, and what they are in all.
  LeaseCodec(std::vector<std::string> names, std::vector<double> amounts);
  std::string encode(const LeaseMessage& message) const;
  // Lines about amounts that are not known here, or are others here, are left out.
  std::optional<LeaseMessage> decode(std::string_view bytes, int from, int to) const;

 private:
  std::vector<std::string> names_;
  std::vector<double> amounts_;
  std::unordered_map<std::string, uint32_t> places_;
};

}  // namespace elmcleat::shared
