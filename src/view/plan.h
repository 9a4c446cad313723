// How many dispatchers use an engine, and when a view widens: the section `view` of the gateway file.
#pragma once
#include <stdexcept>
#include <string>
#include <vector>

namespace elmcleat::view {

struct Plan {
  int users = 24;      // dispatchers that use an engine on an ordinary day; a cold one is never used by more
  int mostUsers = 96;  // and while views are wide
  int least = 8;       // engines that each class finds in view, if the list has as many
  double usablePart = 0.5;  // a view widens while less of its part of a class's engines is usable
  double narrowAfter = 30;  // seconds for which less would have done, before it narrows
  bool operator==(const Plan&) const = default;
};

struct Flaw {
  std::string key, why;
};
std::vector<Flaw> flawsOf(const Plan& plan);

enum class Wrong {
  ordinalMissing,   // the settings don't say which of the dispatchers this is
  ordinalTooLarge,  // or say that it is one of more than there are
  countsDiffer,     // settings and the list of members name different numbers of dispatchers
  noEngine,         // the list has engines for a class, and none of them is in view
};
constexpr size_t kWrongs = static_cast<size_t>(Wrong::noEngine) + 1;

// The name under which docs/on-call.md lists it; and what an operator can do.
const char* nameOf(Wrong wrong);
const char* remedyOf(Wrong wrong);
// One line: what happened, to what, what can be done.
std::string lineOf(Wrong wrong, const std::string& what, const std::string& subject);

struct Error : std::runtime_error {
  Error(Wrong kind, const std::string& what, const std::string& whom);
  Wrong wrong;
  std::string subject;  // to what it happened
};

}  // namespace elmcleat::view
