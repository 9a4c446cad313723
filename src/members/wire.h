// Messages as bytes: 8 bytes of XXH3 over all that follows, then protobuf (wire.proto). Members are names there.
// No I/O. All sizes are bounded; what can't be read is told by its kind of fault and nothing of it is used.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

#include "members/fault.h"
#include "members/message.h"
#include "members/plan.h"

namespace elmcleat::members {

constexpr uint32_t kVersion = 1;           // of what this program writes and reads
constexpr size_t kMostBytes = 256 * 1024;  // of a message
constexpr size_t kMostName = 64;           // of a member's, or the fleet's

// Of what follows the first 8 bytes, which hold it with the least byte first.
uint64_t checksum(std::string_view bytes);

class Wire {
 public:
  explicit Wire(const Plan& plan);
  std::string write(const Message& message) const;
  // The message; or what is wrong with the bytes. Rows of members that are not listed here are left out.
  std::variant<Message, Wrong> read(std::string_view bytes) const;

 private:
  Member find(const std::string& name) const;
  const std::string& nameOf(Member member) const;
  std::string fleet_;
  std::vector<std::string> names_;
  std::unordered_map<std::string, Member> places_;
};

}  // namespace elmcleat::members
