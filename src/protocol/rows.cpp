#include "protocol/rows.h"

#include <algorithm>

namespace elmcleat {
namespace {

void appendText(std::string& json, std::string_view text) {
  static constexpr char digits[] = "0123456789abcdef";
  json += '"';
  for (char c : text) {
    if (c == '"' || c == '\\') json += '\\', json += c;
    else if (static_cast<unsigned char>(c) >= 0x20) json += c;
    else if (c == '\r') json += "\\r";
    else json += "\\u00", json += digits[c >> 4], json += digits[c & 15];
  }
  json += '"';
}

}  // namespace

bool appendRows(std::string& json, std::string_view page) {
  constexpr int kColumns = 3;
  while (!page.empty()) {
    size_t end = page.find('\n');
    if (end == std::string_view::npos) return false;
    std::string_view row = page.substr(0, end);
    page.remove_prefix(end + 1);
    if (std::ranges::count(row, '\t') != kColumns - 1) return false;
    json += json.empty() || json.back() == '[' ? "[" : ",[";
    for (int column = 0; column < kColumns; ++column) {
      size_t stop = std::min(row.find('\t'), row.size());
      if (column > 0) json += ',';
      appendText(json, row.substr(0, stop));
      row.remove_prefix(std::min(stop + 1, row.size()));
    }
    json += ']';
  }
  return true;
}

}  // namespace elmcleat
