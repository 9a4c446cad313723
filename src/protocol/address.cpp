#include "protocol/address.h"

#include <charconv>

namespace elmcleat {

std::optional<Address> parseAddress(std::string_view text) {
  Address address;
  // Consumes a number of at most `maxValue` and the delimiter after it; delimiter 0 stands for the end of the
  // text.
  auto consumeNumber = [&](uint32_t maxValue, char delimiter) -> std::optional<uint32_t> {
    uint32_t value = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || value > maxValue)
      return std::nullopt;
    text.remove_prefix(static_cast<size_t>(end - text.data()));
    if (delimiter == 0)
      return text.empty() ? std::optional(value) : std::nullopt;
    if (text.empty() || text.front() != delimiter)
      return std::nullopt;
    text.remove_prefix(1);
    return value;
  };
  for (char delimiter : {'.', '.', '.', ':'}) {
    auto octet = consumeNumber(255, delimiter);
    if (!octet)
      return std::nullopt;
    address.host = address.host << 8 | *octet;
  }
  auto port = consumeNumber(65535, 0);
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
