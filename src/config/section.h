// A part of a JSON document that is read key by key; whatever is wrong is told with the key's full name.
#pragma once
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace elmcleat {

using Json = nlohmann::json;

// What a word stands for.
template <typename T>
T enumFromName(const std::string& word, std::initializer_list<std::pair<const char*, T>> words) {
  for (auto& [name, value] : words)
    if (word == name)
      return value;
  throw std::invalid_argument("unknown word '" + word + "'");
}

class Section {
 public:
  explicit Section(const Json& json, std::string path = "") : json_(json), path_(std::move(path)) {}

  std::string pathOf(std::string_view key) const {
    return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
  }
  [[noreturn]] void fail(std::string_view key, const std::string& why) const {
    throw std::invalid_argument(pathOf(key) + ": " + why);
  }

  // The key's value; the default where it is absent or null.
  template <typename T>
  T get(const char* key, T otherwise) const {
    const Json* found = find(key);
    return found ? read<T>(key, *found) : std::move(otherwise);
  }
  template <typename T>
  T required(const char* key) const {
    if (const Json* found = find(key))
      return read<T>(key, *found);
    fail(key, "is missing");
  }
  double seconds(const char* key, double otherwise = 0) const { return get(key, otherwise * 1e6) / 1e6; }
  template <typename T>
  T choice(const char* key, const char* otherwise,
           std::initializer_list<std::pair<const char*, T>> words) const {
    auto said = get<std::string>(key, otherwise);
    for (auto& [name, value] : words)
      if (said == name)
        return value;
    fail(key, "unknown word '" + said + "'");
  }

  bool has(const char* key) const { return find(key) != nullptr; }
  Section subsection(const char* key) const {  // an empty one where it is absent
    static const Json none = Json::object();
    const Json* found = find(key);
    if (found && !found->is_object())
      fail(key, "must be an object");
    return Section(found ? *found : none, pathOf(key));
  }
  std::vector<Section> items(const char* key) const {
    std::vector<Section> parts;
    const Json* found = find(key);
    if (!found)
      return parts;
    if (!found->is_array())
      fail(key, "must be a list");
    for (auto& row : *found) {
      auto path = pathOf(key) + "[" + std::to_string(parts.size()) + "]";
      if (!row.is_object())
        throw std::invalid_argument(path + ": must be an object");
      parts.emplace_back(row, path);
    }
    return parts;
  }

 private:
  const Json* find(const char* key) const {
    auto found = json_.find(key);
    return found == json_.end() || found->is_null() ? nullptr : &*found;
  }
  template <typename T>
  T read(const char* key, const Json& value) const {
    try {
      return value.get<T>();
    } catch (const Json::exception&) {
      fail(key, "is of the wrong type");
    }
  }

  const Json& json_;
  std::string path_;
};

}  // namespace elmcleat
