#include "shared/wire.h"

#include <cmath>

#include "shared.pb.h"  // made from wire.proto when the program is built

namespace elmcleat::shared {

LetterWire::LetterWire(std::vector<std::string> names, std::vector<double> amounts)
    : names_(std::move(names)), amounts_(std::move(amounts)) {
  for (uint32_t i = 0; i < names_.size(); ++i)
    places_.emplace(names_[i], i);
}

std::string LetterWire::write(const Letter& letter) const {
  wire::Letter bytes;
  bytes.set_kind(uint32_t(letter.kind)), bytes.set_life(letter.life), bytes.set_number(letter.number);
  for (auto& line : letter.lines) {
    auto& told = *bytes.add_lines();
    told.set_amount(names_[line.amount]), told.set_all(amounts_[line.amount]);
    told.set_units(line.units), told.set_spare(line.spare);
  }
  return bytes.SerializeAsString();
}

std::optional<Letter> LetterWire::read(std::string_view bytes, int from, int to) const {
  wire::Letter told;
  if (!told.ParseFromArray(bytes.data(), int(bytes.size())) || told.kind() > uint32_t(Letter::Kind::giveBack))
    return std::nullopt;
  Letter letter{Letter::Kind(told.kind()), from, to, told.life(), told.number(), {}};
  for (auto& line : told.lines()) {
    auto found = places_.find(line.amount());
    if (found == places_.end() || !(std::abs(line.all() / amounts_[found->second] - 1) < 1e-9))
      continue;
    letter.lines.push_back({found->second, line.units(), line.spare()});
  }
  return letter;
}

}  // namespace elmcleat::shared
