#include "protocol/statement.h"

#include <algorithm>
#include <charconv>
#include <string>

namespace elmcleat {
namespace {

bool starts(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' || (c & 0x80); }
bool goesOn(char c) { return starts(c) || (c >= '0' && c <= '9') || c == '$'; }
bool blank(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n' || c == '\f' || c == '\v'; }

// Walks over a statement name by name.
class Walk {
 public:
  explicit Walk(std::string_view text) : text_(text) {}

  // The next name, quoted or not; none at the end. What lies between is passed over.
  std::optional<std::string> name() {
    while (at_ < text_.size()) {
      if (gap())
        continue;
      char c = text_[at_];
      if (c == '\'')
        quoted('\'');
      else if (c == '"' || c == '`')
        return quoted(c);
      else if (c == '$' && dollars())
        continue;
      else if (starts(c))
        return word();
      else if (c >= '0' && c <= '9')
        while (at_ < text_.size() && (goesOn(text_[at_]) || text_[at_] == '.'))
          ++at_;
      else
        ++at_;
    }
    return std::nullopt;
  }
  // Whether a point comes next: what went before then names a schema.
  bool point() {
    while (gap()) {
    }
    return at_ < text_.size() && text_[at_] == '.' ? ++at_, true : false;
  }

 private:
  bool gap() {  // a blank or a comment
    if (at_ >= text_.size())
      return false;
    std::string_view rest = text_.substr(at_);
    if (blank(rest[0]))
      return ++at_, true;
    if (rest.starts_with("--"))
      return at_ = std::min(text_.find('\n', at_), text_.size()), true;
    if (!rest.starts_with("/*"))
      return false;
    int depth = 0;  // comments of this kind nest in SQL
    do {
      rest = text_.substr(at_);
      if (rest.starts_with("/*"))
        ++depth, at_ += 2;
      else if (rest.starts_with("*/"))
        --depth, at_ += 2;
      else
        ++at_;
    } while (depth > 0 && at_ < text_.size());
    return true;
  }
  std::string quoted(char mark) {  // a doubled mark stands for one
    std::string inside;
    for (++at_; at_ < text_.size(); ++at_) {
      if (text_[at_] == mark && (++at_ >= text_.size() || text_[at_] != mark))
        return inside;
      inside += text_[at_];
    }
    return inside;
  }
  bool dollars() {  // $$text$$ and $mark$text$mark$
    size_t end = at_ + 1;
    while (end < text_.size() && goesOn(text_[end]) && text_[end] != '$')
      ++end;
    if (end >= text_.size() || text_[end] != '$')
      return false;
    std::string_view mark = text_.substr(at_, end - at_ + 1);
    size_t close = text_.find(mark, end + 1);
    if (close == std::string_view::npos)
      return false;
    at_ = close + mark.size();
    return true;
  }
  std::string word() {
    size_t from = at_;
    while (at_ < text_.size() && goesOn(text_[at_]))
      ++at_;
    return std::string(text_.substr(from, at_ - from));
  }

  std::string_view text_;
  size_t at_ = 0;
};

std::optional<uint64_t> numberOf(const std::string& schema) {
  size_t underscore = schema.rfind('_');
  if (underscore == std::string::npos || underscore + 1 == schema.size())
    return std::nullopt;
  uint64_t number = 0;
  const char *from = schema.data() + underscore + 1, *to = schema.data() + schema.size();
  auto [end, fault] = std::from_chars(from, to, number);
  return fault == std::errc() && end == to ? std::optional(number) : std::nullopt;
}

// A name after one of these is a table's; elsewhere it may be a column's, with an alias in front.
bool namesTable(std::string word) {
  for (char& c : word)
    if (c >= 'A' && c <= 'Z')
      c = static_cast<char>(c - 'A' + 'a');
  for (auto known : {"from", "join", "into", "update", "table", "only", "copy", "using"})
    if (word == known)
      return true;
  return false;
}

}  // namespace

std::optional<uint64_t> tableGroupOf(std::string_view statement) {
  Walk walk(statement);
  std::optional<uint64_t> elsewhere;
  bool atTable = false;
  while (auto name = walk.name()) {
    if (!walk.point()) {
      atTable = namesTable(*name);
      continue;
    }
    auto number = numberOf(*name);
    if (number && atTable)
      return number;
    if (number && !elsewhere)
      elsewhere = number;
  }
  return elsewhere;
}

}  // namespace elmcleat
