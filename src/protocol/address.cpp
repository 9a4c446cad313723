#include "protocol/address.h"

#include <charconv>

namespace elmcleat {

std::optional<Address> parseAddress(std::string_view text) {
  Address address;
  auto number = [&](uint32_t most, char mark) -> std::optional<uint32_t> {
    uint32_t value = 0;
    auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (fault != std::errc() || value > most)
      return std::nullopt;
    text.remove_prefix(static_cast<size_t>(end - text.data()));
    if (mark == 0)
      return text.empty() ? std::optional(value) : std::nullopt;
    if (text.empty() || text.front() != mark)
      return std::nullopt;
    text.remove_prefix(1);
    return value;
  };
  for (char mark : {'.', '.', '.', ':'}) {
    auto part = number(255, mark);
    if (!part)
      return std::nullopt;
    address.host = address.host << 8 | *part;
  }
  auto port = number(65535, 0);
  if (!port || *port == 0)
    return std::nullopt;
  address.port = static_cast<uint16_t>(*port);
  return address;
}

std::string formatAddress(const Address& address) {
  std::string text;
  for (int shift = 24; shift >= 0; shift -= 8)
    text.append(std::to_string(address.host >> shift & 255)).append(1, shift > 0 ? '.' : ':');
  return text + std::to_string(address.port);
}

}  // namespace elmcleat
