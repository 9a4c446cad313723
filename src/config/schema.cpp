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

std::string joined(const std::vector<std::string>& lines) {
  std::string text;
  for (auto& line : lines)
    text += (text.empty() ? "" : "\n") + line;
  return text;
}

// Edits between two words (Levenshtein).
size_t apart(const std::string& a, const std::string& b) {
  std::vector<size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (size_t i = 1; i <= a.size(); ++i) {
    size_t corner = std::exchange(row[0], i);
    for (size_t j = 1; j <= b.size(); ++j)
      corner = std::exchange(row[j], std::min({row[j] + 1, row[j - 1] + 1, corner + (a[i - 1] != b[j - 1])}));
  }
  return row.back();
}

const Json& resolved(const Json& schema, const Json& root) {
  auto ref = schema.find("$ref");
  return ref == schema.end() ? schema : root.at(Json::json_pointer(ref->get<std::string>().substr(1)));
}

std::string shown(const Json& value) {
  std::string text = value.dump(-1, ' ', false, Json::error_handler_t::replace);
  return text.size() <= 60 ? text : text.substr(0, 57) + "...";
}

// Unknown keys, with the nearest known one: the library only says that there is one.
void unknownKeys(const Json& value, const Json& given, const Json& root, const std::string& key,
                 const std::string& path, std::vector<std::string>& faults) {
  const Json& schema = resolved(given, root);
  if (value.is_array() && schema.contains("items")) {
    for (size_t i = 0; i < value.size(); ++i)
      unknownKeys(value[i], schema["items"], root, key + "[" + std::to_string(i) + "]", path, faults);
  }
  if (!value.is_object() || !schema.contains("properties"))
    return;
  const Json& known = schema["properties"];
  for (auto& [name, part] : value.items()) {
    std::string full = key.empty() ? name : key + "." + name;
    if (known.contains(name)) {
      unknownKeys(part, known[name], root, full, path, faults);
      continue;
    }
    std::string nearest;
    for (auto& [other, rest] : known.items())
      if (nearest.empty() || apart(name, other) < apart(name, nearest))
        nearest = other;
    faults.push_back(path + ": " + full + ": is no key here; the nearest known one is '" + nearest + "'");
  }
}

std::string allowed(const Json& schema) {
  Json told = Json::object();
  for (auto name : {"type", "enum", "minimum", "maximum", "exclusiveMinimum", "exclusiveMaximum", "minLength",
                    "maxLength", "pattern", "required", "maxItems"})
    if (schema.contains(name))
      told[name] = schema[name];
  return told.dump();
}

}  // namespace

ValidationErrors::ValidationErrors(std::vector<std::string> all)
    : std::runtime_error(joined(all)), messages(std::move(all)) {}

Json readJson(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    throw ValidationErrors({path + ": can't be read"});
  try {
    return Json::parse(file);
  } catch (const Json::exception& fault) {
    throw ValidationErrors({path + ": is no JSON: " + fault.what()});
  }
}

std::vector<std::string> validateSchema(const Json& document, const char* schemaText,
                                        const std::string& path) {
  Json schemaJson = Json::parse(schemaText);
  std::vector<std::string> faults;
  unknownKeys(document, schemaJson, schemaJson, "", path, faults);

  valijson::Schema schema;
  valijson::SchemaParser parser;
  valijson::adapters::NlohmannJsonAdapter schemaAdapter(schemaJson), documentAdapter(document);
  parser.populateSchema(schemaAdapter, schema);
  valijson::Validator validator;
  valijson::ValidationResults results;
  if (validator.validate(schema, documentAdapter, &results))
    return faults;
  std::set<std::string> told;
  valijson::ValidationResults::Error error;
  std::vector<valijson::ValidationResults::Error> errors;
  while (results.popError(error))
    errors.push_back(error);
  for (auto& [place, what] :
       errors) {  // the deepest place of each fault, with what stands and what may stand there
    bool missing = what.starts_with("Missing required property");
    bool deeper = std::ranges::any_of(errors, [&](auto& other) {
      return other.context.size() > place.size() &&
             std::equal(place.begin(), place.end(), other.context.begin());
    });
    if (deeper && !missing)
      continue;
    const Json* value = &document;
    const Json* at = &resolved(schemaJson, schemaJson);
    std::string key;
    for (size_t i = 1; i < place.size(); ++i) {  // steps are written [name] and [3]
      std::string step = place[i].substr(1, place[i].size() - 2);
      if (value->is_array()) {
        key += "[" + step + "]";
        value = &value->at(std::stoul(step)), at = &resolved((*at)["items"], schemaJson);
      } else {
        if (!value->contains(step) || !at->contains("properties") || !(*at)["properties"].contains(step))
          break;
        key += (key.empty() ? "" : ".") + step;
        value = &(*value)[step], at = &resolved((*at)["properties"][step], schemaJson);
      }
    }
    std::string head = path + ": " + (key.empty() ? "the document" : key) + ": ";
    if (missing) {
      told.insert(head + "found " + shown(*value) + "; " + what.substr(0, what.size() - 1));
      continue;
    }
    bool unknown = std::ranges::any_of(faults, [&](auto& line) {  // told above, and better
      return line.starts_with(path + ": " + key + (key.empty() ? "" : "."));
    });
    if (!unknown)
      told.insert(head + "found " + shown(*value) + "; allowed is " + allowed(*at));
  }
  faults.insert(faults.end(), told.begin(), told.end());
  return faults;
}

}  // namespace elmcleat
