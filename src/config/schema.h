// Validates JSON documents against the JSON Schemas in schemas/, and reports all errors at once.
#pragma once
#include <stdexcept>
#include <string>
#include <vector>

#include "config/section.h"

namespace elmcleat {

// All errors of a file, one message each, with the file, the key, what was found and what is allowed. what()
// returns the messages as lines.
struct ValidationErrors : std::runtime_error {
  explicit ValidationErrors(std::vector<std::string> errors);
  std::vector<std::string> messages;
};

// Parses a file; throws ValidationErrors if it can't be read or is not JSON.
Json readJson(const std::string& path);
// Validates the document against a JSON Schema, given as text, and returns the errors. `path` is the file's
// name in the messages.
std::vector<std::string> validateSchema(const Json& document, const char* schemaText,
                                        const std::string& path);

}  // namespace elmcleat
