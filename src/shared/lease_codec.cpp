#include "shared/lease_codec.h"

#include <cmath>

#include "shared.pb.h"  // made from wire.proto when the program is built

namespace elmcleat::shared {

LeaseCodec::LeaseCodec(std::vector<std::string> names, std::vector<double> amounts)
    : names_(std::move(names)), amounts_(std::move(amounts)) {
  for (uint32_t i = 0; i < names_.size(); ++i)
    places_.emplace(names_[i], i);
}

std::string LeaseCodec::encode(const LeaseMessage& message) const {
  wire::Letter bytes;
  bytes.set_kind(uint32_t(message.kind)), bytes.set_life(message.instance),
      bytes.set_number(message.requestNumber);
  for (auto& line : message.items) {
    auto& told = *bytes.add_lines();
    told.set_amount(names_[line.quota]), told.set_all(amounts_[line.quota]);
    told.set_units(line.units), told.set_spare(line.lendable);
  }
  return bytes.SerializeAsString();
}

std::optional<LeaseMessage> LeaseCodec::decode(std::string_view bytes, int from, int to) const {
  wire::Letter told;
  if (!told.ParseFromArray(bytes.data(), int(bytes.size())) ||
      told.kind() > uint32_t(LeaseMessage::Kind::release))
    return std::nullopt;
  LeaseMessage message{LeaseMessage::Kind(told.kind()), from, to, told.life(), told.number(), {}};
  for (auto& line : told.lines()) {
    auto found = places_.find(line.amount());
    if (found == places_.end() || !(std::abs(line.all() / amounts_[found->second] - 1) < 1e-9))
      continue;
    message.items.push_back({found->second, line.units(), line.spare()});
  }
  return message;
}

}  // namespace elmcleat::shared
