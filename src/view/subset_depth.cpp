#include "view/subset_depth.h"

#include <algorithm>
#include <bit>
#include <cstdint>

namespace elmcleat::view {
namespace {

constexpr double kNarrowStep = 1.0 / 8, kNarrowPeriod = 1;  // of what is over `usersPerEngine`; seconds

}  // namespace

SubsetDepth::SubsetDepth(const SubsetSettings& settings, int dispatchers, std::string name,
                         std::vector<std::string> zones, std::vector<std::string> kinds)
    : settings_(settings),
      dispatchers_(dispatchers),
      base_(std::min(settings.usersPerEngine, dispatchers)),
      name_(std::move(name)),
      zones_(std::move(zones)),
      kinds_(std::move(kinds)),
      depth_(base_),
      ejectedDepth_(base_) {}

bool SubsetDepth::serves(const std::string& zone, const std::string& kind) const {
  auto open = [](const std::vector<std::string>& names, const std::string& one) {
    return names.empty() || std::ranges::binary_search(names, one);
  };
  return open(zones_, zone) && open(kinds_, kind);
}

void SubsetDepth::countUsable(int place, int by) {
  if (size_t(place) >= usable_.size())
    usable_.resize(size_t(place) + 1);
  usable_[size_t(place)] += by;
}

// Of few engines twice `minEnginesPerClass` are within it in the mean. In powers of two, so that lists of different age
// mostly agree.
int SubsetDepth::maxDepth() const {
  double few = listed_ > 0 ? 2.0 * dispatchers_ * settings_.minEnginesPerClass / listed_ : 0;
  auto wide = std::bit_ceil(uint64_t(std::ceil(few)));
  return int(std::min(uint64_t(dispatchers_), std::max(uint64_t(settings_.maxUsersPerEngine), wide)));
}

int SubsetDepth::requiredEngines() const {
  double part = settings_.minUsableShare * listed_ * base_ / dispatchers_;
  return std::max(std::min(settings_.minEnginesPerClass, listed_), int(std::ceil(part - 1e-9)));
}

// Walks places up to the bound, at most the number of dispatchers.
void SubsetDepth::update(double now) {
  const int need = this->requiredEngines(), bound = this->maxDepth(), known = int(usable_.size());
  int wanted = base_, seen = 0;
  for (int place = 0; place < std::min(base_, known); ++place)
    seen += usable_[size_t(place)];
  for (int place = base_; place < std::min(bound, known) && seen < need; ++place)
    if (int more = usable_[size_t(place)]; more > 0)
      seen += more, wanted = place + 1;
  depth_ = std::min(depth_, bound);

  if (wanted >= depth_) {
    depth_ = wanted, narrowsAt_ = HUGE_VAL;
  } else if (narrowsAt_ == HUGE_VAL) {
    narrowsAt_ = now + settings_.narrowingDelay;
  } else if (now >= narrowsAt_) {
    int step = std::max(1, int(std::ceil((depth_ - base_) * kNarrowStep)));
    depth_ = std::max(wanted, depth_ - step);
    narrowsAt_ = depth_ > wanted ? now + kNarrowPeriod : HUGE_VAL;
  }
  // A clock that was set back must not put it off for as long.
  if (narrowsAt_ != HUGE_VAL)
    narrowsAt_ = std::min(narrowsAt_, now + std::max(settings_.narrowingDelay, kNarrowPeriod));
  ejectedDepth_ = seen < need ? bound : depth_;
  usableInView_ = 0;
  for (int place = 0; place < std::min(depth_, known); ++place)
    usableInView_ += usable_[size_t(place)];
}

}  // namespace elmcleat::view
