// Settings of the engine subset (the section `view` of the gateway file): how many dispatchers use an engine,
// and when a subset widens. Its validation, and the errors that an operator can correct.
#pragma once
#include <stdexcept>
#include <string>
#include <vector>

namespace elmcleat::view {

struct SubsetSettings {
  int usersPerEngine = 24;     // dispatchers that use an engine; a cold engine is never used by more
  int maxUsersPerEngine = 96;  // while subsets are widened
  int minEnginesPerClass = 8;  // usable engines that the subset needs for each class, if the list has as many
  double minUsableShare = 0.5;  // of the subset's expected part of a class; below it the subset widens
  double narrowingDelay = 30;   // seconds for which a smaller depth must suffice before the subset narrows
  bool operator==(const SubsetSettings&) const = default;
};

struct ValidationError {
  std::string key;      // path below the section
  std::string message;  // what was found and what is allowed
};
std::vector<ValidationError> validate(const SubsetSettings& settings);

enum class ErrorKind {
  ordinalMissing,          // the settings do not say which dispatcher this is
  ordinalOutOfRange,       // the ordinal is not below the number of dispatchers
  dispatcherCountsDiffer,  // the settings and the list of members name different numbers of dispatchers
  noEngineInSubset,        // the list has engines for a class, but none of them can be used from the subset
};
constexpr size_t kErrorKinds = static_cast<size_t>(ErrorKind::noEngineInSubset) + 1;

// The name in docs/on-call.md, and what an operator can do.
const char* nameOf(ErrorKind errorKind);
const char* remedyOf(ErrorKind errorKind);
// The log line: name, subject, what happened, remedy.
std::string describe(ErrorKind errorKind, const std::string& what, const std::string& subject);

struct Error : std::runtime_error {
  Error(ErrorKind errorKind, const std::string& what, const std::string& subject);
  ErrorKind kind;
  std::string subject;  // the setting or class concerned
};

}  // namespace elmcleat::view
