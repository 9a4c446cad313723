// How many dispatchers use an engine, and when a view widens: the section `view` of the gateway file.
#pragma once
#include <stdexcept>
#include <string>
#include <vector>

namespace elmcleat::view {

struct SubsetSettings {
  int usersPerEngine =
      24;  // dispatchers that use an engine on an ordinary day; a cold one is never used by more
  int maxUsersPerEngine = 96;   // and while views are wide
  int minEnginesPerClass = 8;   // engines that each class finds in view, if the list has as many
  double minUsableShare = 0.5;  // a view widens while less of its part of a class's engines is usable
  double narrowingDelay = 30;   // seconds for which less would have done, before it narrows
  bool operator==(const SubsetSettings&) const = default;
};

struct ValidationError {
  std::string key, message;
};
std::vector<ValidationError> validate(const SubsetSettings& settings);

enum class ErrorKind {
  ordinalMissing,          // the settings don't say which of the dispatchers this is
  ordinalOutOfRange,       // or say that it is one of more than there are
  dispatcherCountsDiffer,  // settings and the list of members name different numbers of dispatchers
  noEngineInSubset,        // the list has engines for a class, and none of them is in view
};
constexpr size_t kErrorKinds = static_cast<size_t>(ErrorKind::noEngineInSubset) + 1;

// The name under which docs/on-call.md lists it; and what an operator can do.
const char* nameOf(ErrorKind errorKind);
const char* remedyOf(ErrorKind errorKind);
// One line: what happened, to what, what can be done.
std::string describe(ErrorKind errorKind, const std::string& what, const std::string& subject);

struct Error : std::runtime_error {
  Error(ErrorKind errorKind, const std::string& what, const std::string& whom);
  ErrorKind kind;
  std::string subject;  // to what it happened
};

}  // namespace elmcleat::view
