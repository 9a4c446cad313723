#include "protocol/result_rows.h"

#include <algorithm>

namespace elmcleat {
namespace {

void appendText(std::string& json, std::string_view text) {
  static constexpr char digits[] = "0123456789abcdef";
  json += '"';
  for (char c : text) {
    if (c == '"' || c == '\\')
      json += '\\', json += c;
    else if (static_cast<unsigned char>(c) >= 0x20)
      json += c;
    else if (c == '\r')
      json += "\\r";
    else
      json += "\\u00", json += digits[c >> 4], json += digits[c & 15];
  }
  json += '"';
}

// The length of the UTF-8 character at the front; 0 if there is none.
size_t characterAt(std::string_view text) {
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
  unsigned least = first == 0xe0 ? 0xa0 : first == 0xf0 ? 0x90 : 0x80;  // shorter forms exist,
  unsigned most = first == 0xed ? 0x9f : first == 0xf4 ? 0x8f : 0xbf;   // or it is no character
  if (byte(1) < least || byte(1) > most)
    return 0;
  for (size_t i = 2; i < length; ++i)
    if ((byte(i) & 0xc0) != 0x80)
      return 0;
  return length;
}

bool isText(std::string_view text) {
  while (!text.empty()) {
    size_t length = characterAt(text);
    if (length == 0)
      return false;
    text.remove_prefix(length);
  }
  return true;
}

}  // namespace

bool appendRows(std::string& json, std::string_view page) {
  constexpr int kColumns = 3;
  if (!isText(page))
    return false;
  while (!page.empty()) {
    size_t end = page.find('\n');
    if (end == std::string_view::npos)
      return false;
    std::string_view row = page.substr(0, end);
    page.remove_prefix(end + 1);
    if (std::ranges::count(row, '\t') != kColumns - 1)
      return false;
    json += json.empty() || json.back() == '[' ? "[" : ",[";
    for (int column = 0; column < kColumns; ++column) {
      size_t stop = std::min(row.find('\t'), row.size());
      if (column > 0)
        json += ',';
      appendText(json, row.substr(0, stop));
      row.remove_prefix(std::min(stop + 1, row.size()));
    }
    json += ']';
  }
  return true;
}

}  // namespace elmcleat
