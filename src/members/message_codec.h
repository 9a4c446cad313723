// Messages as bytes: 8 bytes of XXH3 over all that follows, then protobuf (wire.proto). Members are names there.
// No I/O. All sizes are bounded; what can't be read is told by its kind of fault and nothing of it is used.
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

constexpr uint32_t kProtocolVersion = 1;         // of what this program writes and reads
constexpr size_t kMaxMessageBytes = 256 * 1024;  // of a message
constexpr size_t kMaxNameBytes = 64;             // of a member's, or the fleet's

// Of what follows the first 8 bytes, which hold it with the least byte first.
uint64_t checksum(std::string_view bytes);

class MessageCodec {
 public:
  explicit MessageCodec(const MembershipSettings& settings);
  std::string encode(const Message& message) const;
  // The message; or what is wrong with the bytes. Rows of members that are not listed here are left out.
  std::variant<Message, ErrorKind> decode(std::string_view bytes) const;

 private:
  MemberIndex find(const std::string& name) const;
  const std::string& nameOf(MemberIndex member) const;
  std::string fleet_;
  std::vector<std::string> names_;
  std::unordered_map<std::string, MemberIndex> places_;
};

}  // namespace elmcleat::members
