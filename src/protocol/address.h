// IPv4 addresses with a TCP port, in the text form `10.0.0.4:4100` that configuration and change log records
// use.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace elmcleat {

// Both fields are in host byte order.
struct Address {
  uint32_t host = 0;
  uint16_t port = 0;
  bool operator==(const Address&) const = default;
};

// Parses `a.b.c.d:port`. Returns nullopt for anything else, and for port 0.
std::optional<Address> parseAddress(std::string_view text);

// The inverse of parseAddress().
std::string formatAddress(const Address& address);

}  // namespace elmcleat
