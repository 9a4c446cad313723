// Which engines this dispatcher uses, of a list that may be far longer. Pure: told the settings, its ordinal, the list
// and the time; the same in every dispatcher, so nothing is agreed upon.
//
// For each engine all dispatchers stand in an order that follows from its id and their ordinals alone (rendezvous
// hash by engine). The first `users` of them use it; a dispatcher's place in that order is what its module takes
// turns by at a cold engine. Whoever's usable part of a class's engines is too small takes more of the same order: a
// greater place is enough then, up to a bound. Cold engines are used by the first `users` alone, whatever happens:
// their part is reckoned by that number.
//
// Invariant: whatever lists two dispatchers have, an engine has `users` users, and in trouble `mostUsers` (or, of a
// class with few engines, as many as its classes' `least` needs: see bound()).
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "policy.h"
#include "protocol/change_log.h"
#include "view/plan.h"

namespace elmcleat::view {

struct Change {  // of an engine in view, or one that leaves it (state: gone); as the list has it otherwise
  Listing listing;
  int place = -1;  // of this dispatcher among the engine's users; -1: it uses it because its view is wide
};

struct Figures {
  size_t listed = 0, used = 0;  // engines in service; in view
  int reach = 0;                // the greatest place, and one, with which an engine is in view
  uint64_t ranked = 0;          // orders worked out since the start: grows with what changes, not with the list
};

class View {
 public:
  // `settings`: as the platform hands them over; throws Error if they don't say which of how many this is.
  View(const Plan& plan, const Settings& settings);

  // What the module is told in place of those settings: the users of an engine in place of all dispatchers (and quotas
  // by the same part), so that what it reckons by N is right for each engine that it sees.
  Settings local() const;

  // Time is Unix seconds, as starts are in the list. Each call tells what changes for this dispatcher; a whole list
  // that changes nothing tells nothing.
  std::vector<Change> apply(const ListEvent& event, double now);
  void rests(uint32_t engine, bool is);  // the module has found an engine in view unfit, or fit again
  std::vector<Change> tick(double now);  // at wakes(), and after rests()
  double wakes() const;                  // HUGE_VAL: not before something is told

  // A class that can't be served here although the list has engines for it: told once until it can.
  std::vector<std::string> lines();
  Figures figures() const;
};

}  // namespace elmcleat::view
