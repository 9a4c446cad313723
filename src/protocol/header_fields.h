// The header fields of one HTTP message, stored as one block of text: a message may have thousands of short
// fields, and a string for each name and value would take many times the bytes that the peer has sent.
#pragma once
#include <optional>
#include <string>
#include <string_view>

namespace elmcleat {

class HeaderFields {
 public:
  // Reserves memory for fields of this many bytes in all.
  void reserve(size_t bytes) { text_.reserve(bytes); }
  // `name` is in lower case and without a colon; neither contains a line feed.
  void add(std::string_view name, std::string_view value);
  // The value of the first field with this name, which is given in lower case. It is valid until the fields
  // change or are moved.
  std::optional<std::string_view> find(std::string_view name) const;
  // Whether there are two fields with the same name, of those for which `isConcerned` holds.
  bool hasDuplicate(bool (*isConcerned)(std::string_view name)) const;
  // Memory held, in bytes.
  size_t capacity() const { return text_.capacity(); }

 private:
  std::string text_;  // `name:value` and a line feed for each field
};

}  // namespace elmcleat
