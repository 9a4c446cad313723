// Encoding of membership messages: an XXH3 checksum of 8 bytes over all that follows, then a protobuf
// Envelope (wire.proto), in which members are identified by name. No I/O. All sizes are bounded. A message
// that cannot be decoded is reported by its ErrorKind, and no part of it is used.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

#include "members/error.h"
#include "members/membership_settings.h"
#include "members/message.h"

namespace elmcleat::members {

constexpr uint32_t kProtocolVersion = 1;         // that this program writes and reads
constexpr size_t kMaxMessageBytes = 256 * 1024;  // of an encoded message
constexpr size_t kMaxNameBytes = 64;             // of the name of a member or of the fleet

// XXH3-64 of the bytes after the checksum. On the wire the checksum is little-endian.
uint64_t checksum(std::string_view bytes);

class MessageCodec {
 public:
  explicit MessageCodec(const MembershipSettings& settings);
  std::string encode(const Message& message) const;
  // Returns the message, or the error in the bytes. Updates about members that are not listed here are left
  // out.
  std::variant<Message, ErrorKind> decode(std::string_view bytes) const;

 private:
  MemberIndex indexOf(const std::string& name) const;
  const std::string& nameOf(MemberIndex member) const;
  std::string fleet_;
  std::vector<std::string> names_;  // by MemberIndex
  std::unordered_map<std::string, MemberIndex> indices_;
};

}  // namespace elmcleat::members
