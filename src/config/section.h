// A section of a JSON document, read key by key. Every error names the key by its full path, such as
// `settings.classes[0].name`.
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

// The enum value with this name; std::invalid_argument if there is none.
template <typename T>
T enumFromName(const std::string& text, std::initializer_list<std::pair<const char*, T>> values) {
  for (auto& [name, value] : values)
    if (text == name)
      return value;
  throw std::invalid_argument("unknown word '" + text + "'");
}

// Refers to the JSON value, which has to outlive it. All readers throw std::invalid_argument for a value of
// the wrong type.
class Section {
 public:
  // `path` is the key path of the section within the document; empty for the document itself.
  explicit Section(const Json& json, std::string path = "") : json_(json), path_(std::move(path)) {}

  // The full path of a key of this section.
  std::string pathOf(std::string_view key) const {
    return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
  }
  [[noreturn]] void fail(std::string_view key, const std::string& message) const {
    throw std::invalid_argument(pathOf(key) + ": " + message);
  }

  // The key's value; the default where it is absent or null.
  template <typename T>
  T get(const char* key, T defaultValue) const {
    const Json* found = find(key);
    return found ? read<T>(key, *found) : std::move(defaultValue);
  }
  // The key's value; an error where it is absent or null.
  template <typename T>
  T required(const char* key) const {
    if (const Json* found = find(key))
      return read<T>(key, *found);
    fail(key, "is missing");
  }
  // The key's value, which is in microseconds, as seconds; `defaultSeconds` where it is absent or null.
  double seconds(const char* key, double defaultSeconds = 0) const {
    return get(key, defaultSeconds * 1e6) / 1e6;
  }
  // The enum value whose name the key holds, or `defaultName`.
  template <typename T>
  T choice(const char* key, const char* defaultName,
           std::initializer_list<std::pair<const char*, T>> values) const {
    auto found = get<std::string>(key, defaultName);
    for (auto& [name, value] : values)
      if (found == name)
        return value;
    fail(key, "unknown word '" + found + "'");
  }

  bool has(const char* key) const { return find(key) != nullptr; }
  // The object under the key; an empty one where it is absent or null.
  Section subsection(const char* key) const {
    static const Json kEmpty = Json::object();
    const Json* found = find(key);
    if (found && !found->is_object())
      fail(key, "must be an object");
    return Section(found ? *found : kEmpty, pathOf(key));
  }
  // The objects of the list under the key; none where it is absent or null.
  std::vector<Section> items(const char* key) const {
    std::vector<Section> sections;
    const Json* found = find(key);
    if (!found)
      return sections;
    if (!found->is_array())
      fail(key, "must be a list");
    for (auto& item : *found) {
      auto path = pathOf(key) + "[" + std::to_string(sections.size()) + "]";
      if (!item.is_object())
        throw std::invalid_argument(path + ": must be an object");
      sections.emplace_back(item, path);
    }
    return sections;
  }

 private:
  // Null where the key is absent or null.
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
