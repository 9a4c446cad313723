#include "view/subset_depth.h"

#include <algorithm>
#include <bit>
#include <cstdint>

namespace elmcleat::view {
namespace {

constexpr double kNarrowingStep = 1.0 / 8;   // of the depth beyond baseDepth_, per period
constexpr double kNarrowingPeriod = 1;       // seconds
constexpr double kRoundingTolerance = 1e-9;  // engines

}  // namespace

SubsetDepth::SubsetDepth(const SubsetSettings& settings, int dispatchers, std::string name,
                         std::vector<std::string> zones, std::vector<std::string> kinds)
    : settings_(settings),
      dispatchers_(dispatchers),
      baseDepth_(std::min(settings.usersPerEngine, dispatchers)),
      name_(std::move(name)),
      zones_(std::move(zones)),
      kinds_(std::move(kinds)),
      depth_(baseDepth_),
      ejectedDepth_(baseDepth_) {}

bool SubsetDepth::serves(const std::string& zone, const std::string& kind) const {
  auto allows = [](const std::vector<std::string>& names, const std::string& name) {
    return names.empty() || std::ranges::binary_search(names, name);
  };
  return allows(zones_, zone) && allows(kinds_, kind);
}

void SubsetDepth::countUsable(int rank, int by) {
  if (size_t(rank) >= usableByRank_.size())
    usableByRank_.resize(size_t(rank) + 1);
  usableByRank_[size_t(rank)] += by;
}

// For a class with few engines, the depth at which the subset has twice `minEnginesPerClass` of them on
// average. Rounded up to a power of two, so that dispatchers with lists of different age mostly agree.
int SubsetDepth::maxDepth() const {
  double forFewEngines = listed_ > 0 ? 2.0 * dispatchers_ * settings_.minEnginesPerClass / listed_ : 0;
  auto rounded = std::bit_ceil(uint64_t(std::ceil(forFewEngines)));
  return int(std::min(uint64_t(dispatchers_), std::max(uint64_t(settings_.maxUsersPerEngine), rounded)));
}

int SubsetDepth::requiredEngines() const {
  double expected = settings_.minUsableShare * listed_ * baseDepth_ / dispatchers_;
  return std::max(std::min(settings_.minEnginesPerClass, listed_),
                  int(std::ceil(expected - kRoundingTolerance)));
}

// Iterates over ranks up to maxDepth(), at most the number of dispatchers.
void SubsetDepth::update(double now) {
  const int required = requiredEngines();
  const int bound = maxDepth();
  const int known = int(usableByRank_.size());
  int wanted = baseDepth_;
  int seen = 0;  // usable engines with a rank below `wanted`
  for (int rank = 0; rank < std::min(baseDepth_, known); ++rank)
    seen += usableByRank_[size_t(rank)];
  for (int rank = baseDepth_; rank < std::min(bound, known) && seen < required; ++rank)
    if (int usable = usableByRank_[size_t(rank)]; usable > 0) {
      seen += usable;
      wanted = rank + 1;
    }
  depth_ = std::min(depth_, bound);

  if (wanted >= depth_) {
    depth_ = wanted;
    narrowsAt_ = HUGE_VAL;
  } else if (narrowsAt_ == HUGE_VAL) {
    narrowsAt_ = now + settings_.narrowingDelay;
  } else if (now >= narrowsAt_) {
    int step = std::max(1, int(std::ceil((depth_ - baseDepth_) * kNarrowingStep)));
    depth_ = std::max(wanted, depth_ - step);
    narrowsAt_ = depth_ > wanted ? now + kNarrowingPeriod : HUGE_VAL;
  }
  // A clock that was set back must not delay narrowing by the same amount.
  if (narrowsAt_ != HUGE_VAL)
    narrowsAt_ = std::min(narrowsAt_, now + std::max(settings_.narrowingDelay, kNarrowingPeriod));
  ejectedDepth_ = seen < required ? bound : depth_;
  usableInSubset_ = 0;
  for (int rank = 0; rank < std::min(depth_, known); ++rank)
    usableInSubset_ += usableByRank_[size_t(rank)];
}

}  // namespace elmcleat::view
