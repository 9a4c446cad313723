#include "protocol/header_fields.h"

#include <algorithm>
#include <vector>

namespace elmcleat {
namespace {

struct Field {
  std::string_view name;
  std::string_view value;
};

// Removes the first field from the front of `text`.
Field takeField(std::string_view& text) {
  std::string_view line = text.substr(0, text.find('\n'));
  text.remove_prefix(line.size() + 1);
  size_t colon = line.find(':');
  return {line.substr(0, colon), line.substr(colon + 1)};
}

}  // namespace

void HeaderFields::add(std::string_view name, std::string_view value) {
  text_.append(name).append(1, ':').append(value).append(1, '\n');
}

std::optional<std::string_view> HeaderFields::find(std::string_view name) const {
  for (std::string_view rest = text_; !rest.empty();)
    if (Field field = takeField(rest); field.name == name)
      return field.value;
  return std::nullopt;
}

// Sorted, as a comparison of each field with all others would take time quadratic in their number.
bool HeaderFields::hasDuplicate(bool (*isConcerned)(std::string_view name)) const {
  std::vector<std::string_view> names;
  for (std::string_view rest = text_; !rest.empty();)
    if (Field field = takeField(rest); isConcerned(field.name))
      names.push_back(field.name);
  std::ranges::sort(names);
  return std::ranges::adjacent_find(names) != names.end();
}

}  // namespace elmcleat
