// An IPv4 address with a port, as written in configuration and records.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace elmcleat {

struct Address {  // in host order
  uint32_t host = 0;
  uint16_t port = 0;
  bool operator==(const Address&) const = default;
};
std::optional<Address> parseAddress(std::string_view text);  // 10.0.0.4:4100
std::string formatAddress(const Address& address);

}  // namespace elmcleat
