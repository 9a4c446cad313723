// JSON documents against the JSON Schemas in schemas/, all faults at once.
#pragma once
#include <stdexcept>
#include <string>
#include <vector>

#include "config/section.h"

namespace elmcleat {

// What is wrong with a file: a line a fault, each with the file, the key, what was found and what is allowed.
struct ValidationErrors : std::runtime_error {
  explicit ValidationErrors(std::vector<std::string> all);
  std::vector<std::string> messages;
};

// The document in a file; ValidationErrors if it can't be read or is no JSON.
Json readJson(const std::string& path);
// What the schema finds wrong; `schema` is the text of one.
std::vector<std::string> validateSchema(const Json& document, const char* schema, const std::string& path);

}  // namespace elmcleat
