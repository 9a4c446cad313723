#include "view/plan.h"

#include <array>

namespace elmcleat::view {
namespace {

struct Told {
  const char *name, *remedy;
};
constexpr std::array<Told, kWrongs> kTold = {{
    {"ordinal-missing",
     "let the platform set settings.ordinal, another one in each dispatcher; or take the section view out of "
     "the "
     "gateway file"},
    {"ordinal-too-large",
     "correct settings.ordinal or settings.balancers: ordinals go from 0 to balancers - 1"},
    {"counts-differ",
     "let settings.balancers and members.peers name the same dispatchers; until then the settings hold"},
    {"no-engine-in-view",
     "look why the engines of this class rest or start; if there are few of them add some, or raise "
     "view.users"},
}};

std::string number(double value) {  // without the zeros that std::to_string adds
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.')
    text.pop_back();
  return text;
}

}  // namespace

std::vector<Flaw> flawsOf(const Plan& plan) {
  std::vector<Flaw> flaws;
  auto need = [&](bool sound, const char* key, double found, const std::string& allowed) {
    if (!sound)
      flaws.push_back({key, "found " + number(found) + "; allowed is " + allowed});
  };
  need(plan.users >= 1, "users", plan.users, "1 or more");
  need(plan.mostUsers >= plan.users, "mostUsers", plan.mostUsers,
       "users or more, which is " + std::to_string(plan.users));
  need(plan.least >= 1, "least", plan.least, "1 or more");
  need(plan.usablePart >= 0 && plan.usablePart <= 1, "usablePart", plan.usablePart, "0 to 1");
  need(plan.narrowAfter > 0, "narrowAfterS", plan.narrowAfter, "more than 0");
  return flaws;
}

const char* nameOf(Wrong wrong) { return kTold[static_cast<size_t>(wrong)].name; }
const char* remedyOf(Wrong wrong) { return kTold[static_cast<size_t>(wrong)].remedy; }

std::string lineOf(Wrong wrong, const std::string& what, const std::string& subject) {
  return "view: " + std::string(nameOf(wrong)) + ": " + subject + ": " + what + "; " + remedyOf(wrong);
}

Error::Error(Wrong kind, const std::string& what, const std::string& whom)
    : std::runtime_error(lineOf(kind, what, whom)), wrong(kind), subject(whom) {}

}  // namespace elmcleat::view
