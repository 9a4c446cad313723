#include "protocol/result_rows.h"

#include <algorithm>

namespace elmcleat {
namespace {

void appendJsonString(std::string& json, std::string_view text) {
  static constexpr char kHexDigits[] = "0123456789abcdef";
  json += '"';
  for (char c : text) {
    if (c == '"' || c == '\\') {
      json += '\\';
      json += c;
    } else if (static_cast<unsigned char>(c) >= 0x20) {
      json += c;
    } else if (c == '\r') {
      json += "\\r";
    } else {
      json += "\\u00";
      json += kHexDigits[c >> 4];
      json += kHexDigits[c & 15];
    }
  }
  json += '"';
}

// The length in bytes of the UTF-8 character at the front of the text; 0 if it is malformed (RFC 3629).
size_t utf8CharacterLength(std::string_view text) {
  auto byte = [&](size_t i) { return i < text.size() ? static_cast<unsigned char>(text[i]) : 0u; };
  unsigned first = byte(0);
  if (first < 0x80)
    return 1;
  size_t length = first >= 0xc2 && first < 0xe0   ? 2
                  : first >= 0xe0 && first < 0xf0 ? 3
                  : first < 0xf5                  ? 4
                                                  : 0;
  if (first < 0xc2 || length == 0)
    return 0;
  // A second byte below the minimum is an overlong encoding; one above the maximum encodes a surrogate or a
  // code point beyond U+10FFFF.
  unsigned minSecond = first == 0xe0 ? 0xa0 : first == 0xf0 ? 0x90 : 0x80;
  unsigned maxSecond = first == 0xed ? 0x9f : first == 0xf4 ? 0x8f : 0xbf;
  if (byte(1) < minSecond || byte(1) > maxSecond)
    return 0;
  for (size_t i = 2; i < length; ++i)
    if ((byte(i) & 0xc0) != 0x80)
      return 0;
  return length;
}

bool isValidUtf8(std::string_view text) {
  while (!text.empty()) {
    size_t length = utf8CharacterLength(text);
    if (length == 0)
      return false;
    text.remove_prefix(length);
  }
  return true;
}

}  // namespace

bool appendRows(std::string& json, std::string_view page) {
  constexpr int kColumns = 3;
  if (!isValidUtf8(page))
    return false;
  while (!page.empty()) {
    size_t rowEnd = page.find('\n');
    if (rowEnd == std::string_view::npos)
      return false;
    std::string_view row = page.substr(0, rowEnd);
    page.remove_prefix(rowEnd + 1);
    if (std::ranges::count(row, '\t') != kColumns - 1)
      return false;
    json += json.empty() || json.back() == '[' ? "[" : ",[";
    for (int column = 0; column < kColumns; ++column) {
      size_t columnEnd = std::min(row.find('\t'), row.size());
      if (column > 0)
        json += ',';
      appendJsonString(json, row.substr(0, columnEnd));
      row.remove_prefix(std::min(columnEnd + 1, row.size()));
    }
    json += ']';
  }
  return true;
}

}  // namespace elmcleat
