#include "shared/lease_codec.h"

#include <cmath>

#include "shared.pb.h"  // generated from wire.proto

namespace elmcleat::shared {
namespace {

constexpr double kTotalTolerance = 1e-9;  // relative

}  // namespace

LeaseCodec::LeaseCodec(std::vector<std::string> names, std::vector<double> totals)
    : names_(std::move(names)), totals_(std::move(totals)) {
  for (uint32_t i = 0; i < names_.size(); ++i)
    indexByName_.emplace(names_[i], i);
}

std::string LeaseCodec::encode(const LeaseMessage& message) const {
  wire::Letter encoded;
  encoded.set_kind(uint32_t(message.kind));
  encoded.set_life(message.instance);
  encoded.set_number(message.requestNumber);
  for (auto& item : message.items) {
    auto& line = *encoded.add_lines();
    line.set_amount(names_[item.quota]);
    line.set_all(totals_[item.quota]);
    line.set_units(item.units);
    line.set_spare(item.lendable);
  }
  return encoded.SerializeAsString();
}

std::optional<LeaseMessage> LeaseCodec::decode(std::string_view bytes, int from, int to) const {
  wire::Letter encoded;
  if (!encoded.ParseFromArray(bytes.data(), int(bytes.size())) ||
      encoded.kind() > uint32_t(LeaseMessage::Kind::release))
    return std::nullopt;
  LeaseMessage message{LeaseMessage::Kind(encoded.kind()), from, to, encoded.life(), encoded.number(), {}};
  for (auto& line : encoded.lines()) {
    auto found = indexByName_.find(line.amount());
    if (found == indexByName_.end() || !(std::abs(line.all() / totals_[found->second] - 1) < kTotalTolerance))
      continue;
    message.items.push_back({found->second, line.units(), line.spare()});
  }
  return message;
}

}  // namespace elmcleat::shared
