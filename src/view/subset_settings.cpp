#include "view/subset_settings.h"

#include <array>

namespace elmcleat::view {
namespace {

struct ErrorText {
  const char* name;
  const char* remedy;
};
constexpr std::array<ErrorText, kErrorKinds> kErrorTexts = {{
    {"ordinal-missing",
     "have the platform set settings.ordinal, a different one for each dispatcher, "
     "or remove the section view from the gateway file"},
    {"ordinal-too-large",
     "correct settings.ordinal or settings.balancers: ordinals go from 0 to balancers - 1"},
    {"counts-differ",
     "make settings.balancers and members.peers name the same dispatchers; "
     "until then the gateway does not start"},
    {"no-engine-in-view",
     "check why the engines of this class are ejected or cold; "
     "if the class has few engines, add some or raise view.users"},
}};

// Without the trailing zeros of std::to_string.
std::string formatNumber(double value) {
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.')
    text.pop_back();
  return text;
}

}  // namespace

std::vector<ValidationError> validate(const SubsetSettings& settings) {
  std::vector<ValidationError> errors;
  auto require = [&](bool valid, const char* key, double found, const std::string& allowed) {
    if (!valid)
      errors.push_back({key, "found " + formatNumber(found) + "; allowed is " + allowed});
  };
  require(settings.usersPerEngine >= 1, "users", settings.usersPerEngine, "1 or more");
  require(settings.maxUsersPerEngine >= settings.usersPerEngine, "mostUsers", settings.maxUsersPerEngine,
          "users or more, which is " + std::to_string(settings.usersPerEngine));
  require(settings.minEnginesPerClass >= 1, "least", settings.minEnginesPerClass, "1 or more");
  require(settings.minUsableShare >= 0 && settings.minUsableShare <= 1, "usablePart", settings.minUsableShare,
          "0 to 1");
  require(settings.narrowingDelay > 0, "narrowAfterS", settings.narrowingDelay, "more than 0");
  return errors;
}

const char* nameOf(ErrorKind errorKind) { return kErrorTexts[static_cast<size_t>(errorKind)].name; }
const char* remedyOf(ErrorKind errorKind) { return kErrorTexts[static_cast<size_t>(errorKind)].remedy; }

std::string describe(ErrorKind errorKind, const std::string& what, const std::string& subject) {
  return "view: " + std::string(nameOf(errorKind)) + ": " + subject + ": " + what + "; " +
         remedyOf(errorKind);
}

Error::Error(ErrorKind errorKind, const std::string& what, const std::string& errorSubject)
    : std::runtime_error(describe(errorKind, what, errorSubject)), kind(errorKind), subject(errorSubject) {}

}  // namespace elmcleat::view
