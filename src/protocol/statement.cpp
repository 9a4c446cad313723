#include "protocol/statement.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <string>

namespace elmcleat {
namespace {

bool isNameStart(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' || (c & 0x80);
}
bool isNamePart(char c) { return isNameStart(c) || (c >= '0' && c <= '9') || c == '$'; }
bool isBlank(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n' || c == '\f' || c == '\v'; }

// Where the delimiters of dollar-quoted strings stand in a statement. Whether a delimiter occurs again is
// looked up: a search of the rest for each delimiter without a counterpart would take time quadratic in the
// length of the statement.
class DollarDelimiters {
 public:
  // Whether `delimiter`, `$tag$` or `$$` with no dollar sign in its tag, occurs in `text` at `from` or behind.
  // `text` is the same in all calls.
  bool occursFrom(std::string_view text, std::string_view delimiter, size_t from) {
    if (!indexed_)
      index(text);
    auto last = lastPositions_.find(delimiter);
    return last != lastPositions_.end() && last->second >= from;
  }

 private:
  // A delimiter extends from one dollar sign to the next.
  void index(std::string_view text) {
    indexed_ = true;
    size_t start = text.find('$');
    while (start != std::string_view::npos) {
      size_t end = text.find('$', start + 1);
      if (end != std::string_view::npos)
        lastPositions_[text.substr(start, end - start + 1)] = start;
      start = end;
    }
  }

  bool indexed_ = false;
  std::map<std::string_view, size_t> lastPositions_;  // ordered: its cost can't be raised by chosen keys
};

// A lexer that yields the identifiers and keywords of a statement, and skips everything else.
class NameScanner {
 public:
  explicit NameScanner(std::string_view text) : text_(text) {}

  // The next name, quoted or not; nullopt at the end.
  std::optional<std::string> next() {
    while (position_ < text_.size()) {
      if (skipBlankOrComment())
        continue;
      char c = text_[position_];
      if (c == '\'')
        readQuoted('\'');
      else if (c == '"' || c == '`')
        return readQuoted(c);
      else if (c == '$' && skipDollarQuoted())
        continue;
      else if (isNameStart(c))
        return readName();
      else if (c >= '0' && c <= '9')
        while (position_ < text_.size() && (isNamePart(text_[position_]) || text_[position_] == '.'))
          ++position_;
      else
        ++position_;
    }
    return std::nullopt;
  }
  // Skips a dot if one follows: the name before it is then that of a schema. Returns whether it did.
  bool skipDot() {
    while (skipBlankOrComment()) {
    }
    return position_ < text_.size() && text_[position_] == '.' ? ++position_, true : false;
  }

 private:
  // Skips one blank character or one comment. Returns whether there was one.
  bool skipBlankOrComment() {
    if (position_ >= text_.size())
      return false;
    std::string_view rest = text_.substr(position_);
    if (isBlank(rest[0])) {
      ++position_;
      return true;
    }
    if (rest.starts_with("--")) {
      position_ = std::min(text_.find('\n', position_), text_.size());
      return true;
    }
    if (!rest.starts_with("/*"))
      return false;
    int depth = 0;  // block comments nest in SQL
    do {
      rest = text_.substr(position_);
      if (rest.starts_with("/*")) {
        ++depth;
        position_ += 2;
      } else if (rest.starts_with("*/")) {
        --depth;
        position_ += 2;
      } else {
        ++position_;
      }
    } while (depth > 0 && position_ < text_.size());
    return true;
  }
  // Reads a quoted name or string; within it a doubled quote stands for one.
  std::string readQuoted(char quote) {
    std::string content;
    for (++position_; position_ < text_.size(); ++position_) {
      if (text_[position_] == quote && (++position_ >= text_.size() || text_[position_] != quote))
        return content;
      content += text_[position_];
    }
    return content;
  }
  // Skips a dollar-quoted string, $$text$$ or $tag$text$tag$. Returns whether there was one.
  bool skipDollarQuoted() {
    size_t end = position_ + 1;
    while (end < text_.size() && isNamePart(text_[end]) && text_[end] != '$')
      ++end;
    if (end >= text_.size() || text_[end] != '$')
      return false;
    std::string_view delimiter = text_.substr(position_, end - position_ + 1);
    if (!delimiters_.occursFrom(text_, delimiter, end + 1))
      return false;
    position_ = text_.find(delimiter, end + 1) + delimiter.size();
    return true;
  }
  std::string readName() {
    size_t start = position_;
    while (position_ < text_.size() && isNamePart(text_[position_]))
      ++position_;
    return std::string(text_.substr(start, position_ - start));
  }

  std::string_view text_;
  size_t position_ = 0;
  DollarDelimiters delimiters_;
};

// The number after the last underscore of a schema's name.
std::optional<uint64_t> schemaNumber(const std::string& schema) {
  size_t underscore = schema.rfind('_');
  if (underscore == std::string::npos || underscore + 1 == schema.size())
    return std::nullopt;
  uint64_t number = 0;
  const char* first = schema.data() + underscore + 1;
  const char* last = schema.data() + schema.size();
  auto [end, error] = std::from_chars(first, last, number);
  return error == std::errc() && end == last ? std::optional(number) : std::nullopt;
}

// Whether the keyword is followed by a table's name. Elsewhere a qualified name may be that of a column, with
// an alias in front.
bool introducesTable(std::string keyword) {
  for (char& c : keyword)
    if (c >= 'A' && c <= 'Z')
      c = static_cast<char>(c - 'A' + 'a');
  for (auto known : {"from", "join", "into", "update", "table", "only", "copy", "using"})
    if (keyword == known)
      return true;
  return false;
}

}  // namespace

std::optional<uint64_t> tableGroupOf(std::string_view statement) {
  NameScanner scanner(statement);
  std::optional<uint64_t> firstElsewhere;  // the number in the first qualified name that is not a table's
  bool afterTableKeyword = false;
  while (auto name = scanner.next()) {
    if (!scanner.skipDot()) {
      afterTableKeyword = introducesTable(*name);
      continue;
    }
    auto number = schemaNumber(*name);
    if (number && afterTableKeyword)
      return number;
    if (number && !firstElsewhere)
      firstElsewhere = number;
  }
  return firstElsewhere;
}

}  // namespace elmcleat
