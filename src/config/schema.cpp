#include "config/schema.h"

#include <algorithm>
#include <fstream>
#include <numeric>
#include <set>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

namespace elmcleat {
namespace {

std::string joinLines(const std::vector<std::string>& lines) {
  std::string text;
  for (auto& line : lines)
    text += (text.empty() ? "" : "\n") + line;
  return text;
}

// The Levenshtein distance of two words.
size_t editDistance(const std::string& a, const std::string& b) {
  std::vector<size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (size_t i = 1; i <= a.size(); ++i) {
    size_t diagonal = std::exchange(row[0], i);
    for (size_t j = 1; j <= b.size(); ++j)
      diagonal =
          std::exchange(row[j], std::min({row[j] + 1, row[j - 1] + 1, diagonal + (a[i - 1] != b[j - 1])}));
  }
  return row.back();
}

// The schema itself, or the one that its `$ref` points to.
const Json& resolveReference(const Json& schema, const Json& root) {
  auto ref = schema.find("$ref");
  return ref == schema.end() ? schema : root.at(Json::json_pointer(ref->get<std::string>().substr(1)));
}

// The value as JSON, shortened to at most 60 characters.
std::string abbreviated(const Json& value) {
  std::string text = value.dump(-1, ' ', false, Json::error_handler_t::replace);
  return text.size() <= 60 ? text : text.substr(0, 57) + "...";
}

// Reports unknown keys, each with the nearest known one: the library only reports that an object has some.
void findUnknownKeys(const Json& value, const Json& schemaOrReference, const Json& root,
                     const std::string& key, const std::string& path, std::vector<std::string>& errors) {
  const Json& schema = resolveReference(schemaOrReference, root);
  if (value.is_array() && schema.contains("items")) {
    for (size_t i = 0; i < value.size(); ++i)
      findUnknownKeys(value[i], schema["items"], root, key + "[" + std::to_string(i) + "]", path, errors);
  }
  if (!value.is_object() || !schema.contains("properties"))
    return;
  const Json& properties = schema["properties"];
  for (auto& [name, member] : value.items()) {
    std::string memberKey = key.empty() ? name : key + "." + name;
    if (properties.contains(name)) {
      findUnknownKeys(member, properties[name], root, memberKey, path, errors);
      continue;
    }
    std::string nearest;
    for (auto& [known, definition] : properties.items())
      if (nearest.empty() || editDistance(name, known) < editDistance(name, nearest))
        nearest = known;
    errors.push_back(path + ": " + memberKey + ": unknown key; the nearest known key is '" + nearest + "'");
  }
}

// The constraints of a schema, as JSON.
std::string constraintsOf(const Json& schema) {
  Json constraints = Json::object();
  for (auto name : {"type", "enum", "minimum", "maximum", "exclusiveMinimum", "exclusiveMaximum", "minLength",
                    "maxLength", "pattern", "required", "maxItems"})
    if (schema.contains(name))
      constraints[name] = schema[name];
  return constraints.dump();
}

}  // namespace

ValidationErrors::ValidationErrors(std::vector<std::string> errors)
    : std::runtime_error(joinLines(errors)), messages(std::move(errors)) {}

Json readJson(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    throw ValidationErrors({path + ": can't be read"});
  try {
    return Json::parse(file);
  } catch (const Json::exception& error) {
    throw ValidationErrors({path + ": is not valid JSON: " + error.what()});
  }
}

std::vector<std::string> validateSchema(const Json& document, const char* schemaText,
                                        const std::string& path) {
  Json schemaJson = Json::parse(schemaText);
  std::vector<std::string> errors;
  findUnknownKeys(document, schemaJson, schemaJson, "", path, errors);

  valijson::Schema schema;
  valijson::SchemaParser parser;
  valijson::adapters::NlohmannJsonAdapter schemaAdapter(schemaJson), documentAdapter(document);
  parser.populateSchema(schemaAdapter, schema);
  valijson::Validator validator;
  valijson::ValidationResults results;
  if (validator.validate(schema, documentAdapter, &results))
    return errors;
  std::set<std::string> messages;
  valijson::ValidationResults::Error result;
  std::vector<valijson::ValidationResults::Error> found;
  while (results.popError(result))
    found.push_back(result);
  // The library reports an error for each enclosing value too. Only the innermost one is kept.
  for (auto& [context, description] : found) {
    bool missing = description.starts_with("Missing required property");
    bool deeper = std::ranges::any_of(found, [&](auto& other) {
      return other.context.size() > context.size() &&
             std::equal(context.begin(), context.end(), other.context.begin());
    });
    if (deeper && !missing)
      continue;
    const Json* value = &document;
    const Json* schemaAt = &resolveReference(schemaJson, schemaJson);
    std::string key;
    // Follow the error's location through the document and the schema; the library writes each step as [name]
    // or [3].
    for (size_t i = 1; i < context.size(); ++i) {
      std::string step = context[i].substr(1, context[i].size() - 2);
      if (value->is_array()) {
        key += "[" + step + "]";
        value = &value->at(std::stoul(step));
        schemaAt = &resolveReference((*schemaAt)["items"], schemaJson);
      } else {
        if (!value->contains(step) || !schemaAt->contains("properties") ||
            !(*schemaAt)["properties"].contains(step))
          break;
        key += (key.empty() ? "" : ".") + step;
        value = &(*value)[step];
        schemaAt = &resolveReference((*schemaAt)["properties"][step], schemaJson);
      }
    }
    std::string prefix = path + ": " + (key.empty() ? "the document" : key) + ": ";
    if (missing) {
      messages.insert(prefix + "found " + abbreviated(*value) + "; " +
                      description.substr(0, description.size() - 1));
      continue;
    }
    // An unknown key has already been reported above, in more detail.
    bool hasUnknownKey = std::ranges::any_of(errors, [&](auto& message) {
      return message.starts_with(path + ": " + key + (key.empty() ? "" : "."));
    });
    if (!hasUnknownKey)
      messages.insert(prefix + "found " + abbreviated(*value) + "; allowed is " + constraintsOf(*schemaAt));
  }
  errors.insert(errors.end(), messages.begin(), messages.end());
  return errors;
}

}  // namespace elmcleat
