// Reads the wire's `config` object into the module's settings.
#pragma once
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "policy.h"

namespace elmcleat::drill {

using Json = nlohmann::json;

Settings readSettings(const Json& config);

// What a word of the wire stands for.
template <typename T>
T named(const std::string& word, std::initializer_list<std::pair<const char*, T>> words) {
  for (auto& [name, value] : words)
    if (word == name) return value;
  throw std::invalid_argument("unknown word '" + word + "'");
}

// A field's value, or `otherwise` where it is absent or null.
template <typename T>
T field(const Json& object, const char* name, T otherwise) {
  auto found = object.find(name);
  return found == object.end() || found->is_null() ? otherwise : found->get<T>();
}
inline double seconds(const Json& object, const char* name, double otherwise = 0) {
  return field(object, name, otherwise * 1e6) / 1e6;
}

}  // namespace elmcleat::drill
