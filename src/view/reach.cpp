#include "view/reach.h"

#include <algorithm>
#include <bit>
#include <cstdint>

namespace elmcleat::view {
namespace {

constexpr double kNarrowStep = 1.0 / 8, kNarrowPeriod = 1;  // of what is over `users`; seconds

}  // namespace

Reach::Reach(const Plan& plan, int dispatchers, std::string name, std::vector<std::string> zones,
             std::vector<std::string> kinds)
    : plan_(plan),
      dispatchers_(dispatchers),
      base_(std::min(plan.users, dispatchers)),
      name_(std::move(name)),
      zones_(std::move(zones)),
      kinds_(std::move(kinds)),
      reach_(base_),
      keeps_(base_) {}

bool Reach::serves(const std::string& zone, const std::string& kind) const {
  auto open = [](const std::vector<std::string>& names, const std::string& one) {
    return names.empty() || std::ranges::binary_search(names, one);
  };
  return open(zones_, zone) && open(kinds_, kind);
}

void Reach::count(int place, int by) {
  if (size_t(place) >= usable_.size())
    usable_.resize(size_t(place) + 1);
  usable_[size_t(place)] += by;
}

// Of few engines twice `least` are within it in the mean. In powers of two, so that lists of different age
// mostly agree.
int Reach::bound() const {
  double few = listed_ > 0 ? 2.0 * dispatchers_ * plan_.least / listed_ : 0;
  auto wide = std::bit_ceil(uint64_t(std::ceil(few)));
  return int(std::min(uint64_t(dispatchers_), std::max(uint64_t(plan_.mostUsers), wide)));
}

int Reach::need() const {
  double part = plan_.usablePart * listed_ * base_ / dispatchers_;
  return std::max(std::min(plan_.least, listed_), int(std::ceil(part - 1e-9)));
}

// Walks places up to the bound, at most the number of dispatchers.
void Reach::settle(double now) {
  const int need = this->need(), bound = this->bound(), known = int(usable_.size());
  int wanted = base_, seen = 0;
  for (int place = 0; place < std::min(base_, known); ++place)
    seen += usable_[size_t(place)];
  for (int place = base_; place < std::min(bound, known) && seen < need; ++place)
    if (int more = usable_[size_t(place)]; more > 0)
      seen += more, wanted = place + 1;
  reach_ = std::min(reach_, bound);

  if (wanted >= reach_) {
    reach_ = wanted, narrowsAt_ = HUGE_VAL;
  } else if (narrowsAt_ == HUGE_VAL) {
    narrowsAt_ = now + plan_.narrowAfter;
  } else if (now >= narrowsAt_) {
    int step = std::max(1, int(std::ceil((reach_ - base_) * kNarrowStep)));
    reach_ = std::max(wanted, reach_ - step);
    narrowsAt_ = reach_ > wanted ? now + kNarrowPeriod : HUGE_VAL;
  }
  // A clock that was set back must not put it off for as long.
  if (narrowsAt_ != HUGE_VAL)
    narrowsAt_ = std::min(narrowsAt_, now + std::max(plan_.narrowAfter, kNarrowPeriod));
  keeps_ = seen < need ? bound : reach_;
  usableInView_ = 0;
  for (int place = 0; place < std::min(reach_, known); ++place)
    usableInView_ += usable_[size_t(place)];
}

}  // namespace elmcleat::view
