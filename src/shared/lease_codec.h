// LeaseCodec: encodes lease messages as Protocol Buffers (wire.proto). No I/O. The size of messages is
// bounded by the transport.
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
  // Names and fleet-wide totals of the quotas, in the order of LeaseSettings::quotas.
  LeaseCodec(std::vector<std::string> names, std::vector<double> totals);
  std::string encode(const LeaseMessage& message) const;
  // Items on quotas that are unknown here, or have another total, are left out. nullopt: not a valid message.
  std::optional<LeaseMessage> decode(std::string_view bytes, int from, int to) const;

 private:
  std::vector<std::string> names_;
  std::vector<double> totals_;
  std::unordered_map<std::string, uint32_t> indexByName_;
};

}  // namespace elmcleat::shared
