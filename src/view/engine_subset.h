// EngineSubset: the bounded subset of engines that this dispatcher uses, out of a list that may be far
// longer. No I/O; callers pass the settings, the ordinal, the list and the time. Dispatchers compute their
// subsets without coordination.
//
// Rendezvous (highest random weight) hashing gives each dispatcher a rank at each engine, from the engine's
// id and the ordinals alone. A dispatcher uses the engines at which its rank is below the subset depth,
// normally `usersPerEngine`. Its module is given the rank too: dispatchers send to a cold engine in the order
// of their ranks. If too few engines of a class are usable, the depth grows up to a bound (see SubsetDepth).
// A cold engine is used by its first `usersPerEngine` dispatchers only, whatever the depth, because their
// shares of it are computed from that number.
//
// Invariant: even if dispatchers have different lists, an engine has `usersPerEngine` users, and while
// subsets are widened at most `maxUsersPerEngine`, or as many as `minEnginesPerClass` requires for its
// classes if they have few engines (see SubsetDepth::maxDepth()).
#pragma once
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "policy.h"
#include "protocol/change_log.h"
#include "view/subset_depth.h"
#include "view/subset_settings.h"

namespace elmcleat::view {

struct SubsetStatistics {
  size_t listed = 0;           // engines in service
  size_t inUse = 0;            // engines in service and in the subset
  int depth = 0;               // the largest of all classes
  uint64_t ranksComputed = 0;  // since the start; grows with the changes of the list, not with its length
  size_t rankedEngines = 0;    // engines whose rank is known, because some class may come to need them
};

class EngineSubset {
 public:
  // `settings`: as received from the platform. Throws Error if they lack this dispatcher's ordinal or the
  // ordinal is out of range.
  EngineSubset(const SubsetSettings& subsetSettings, const Settings& settings);

  // The settings for the module in place of the platform's: it sees `usersPerEngine` as the number of
  // dispatchers, and quotas reduced by the same factor, so that whatever it computes per dispatcher is right
  // for the engines it sees.
  Settings localSettings() const;

  // Times are Unix seconds, like the start times in the list. Each call returns what changes for this
  // dispatcher: engines in the subset as listed, with its rank (no rank: only in the subset because it is
  // widened), and engines that leave the subset, in the state `removed`. A whole list without a change
  // returns nothing.
  std::vector<ListedEngine> apply(const EngineListEvent& event, double now);
  // Reports the module's outlier detection. Takes effect in tick().
  void setEjected(uint32_t engine, bool ejected);
  std::vector<ListedEngine> tick(double now);  // call at nextWakeUp(), and after setEjected()
  double nextWakeUp() const;                   // HUGE_VAL: only after another call

  // Log lines on classes that cannot be served although the list has engines for them. Each class is reported
  // once until it can be served again.
  std::vector<std::string> takeWarnings();
  SubsetStatistics statistics() const;

 private:
  struct EngineType {  // the zone and kind of engines
    std::string zone;
    std::string kind;
    std::vector<size_t> classes;  // that these engines serve, as indices into depths_
    int rankLimit = 0;            // ranks are computed up to it
  };
  struct Entry {  // an engine of the list, in the subset or not
    int64_t startedAtUnixMs = 0;
    uint32_t id = 0;
    uint32_t host = 0;
    int cell = 0;
    int rank = 0;  // a lower bound if it is not `ranked`
    uint16_t port = 0;
    uint16_t type = 0;  // index into types_
    EngineState state : 3 = EngineState::inService;
    bool ranked : 1 = false;    // the rank is known
    bool indexed : 1 = false;   // is in rankedEngines_ and counted in depths_
    bool inSubset : 1 = false;  // as last reported
    bool ejected : 1 = false;
    bool cold : 1 = false;
    bool changed : 1 = false;  // since it was last reported
  };
  // Bounds the memory: with the reserve of vectors and rankedEngines_ it is well within 64 bytes per engine.
  static_assert(sizeof(Entry) == 32);
  using Changes = std::vector<ListedEngine>;

  uint16_t typeOf(const std::string& zone, const std::string& kind);
  Entry entryOf(const ListedEngine& listing, double now);
  ListedEngine listingOf(const Entry& entry) const;
  Entry* find(uint32_t id);
  double warmAt(int64_t startedAtUnixMs) const {
    return double(startedAtUnixMs) / 1000 + settings_.coldDuration;
  }

  void update(Entry& entry, const ListedEngine& listing, double now);
  void remove(Entry& entry, Changes& changes);
  void countListed(const Entry& entry, int by);  // in (1) or out (-1) of the engines in service
  void setIndexed(Entry& entry, bool indexed);   // in rankedEngines_, coldEngines_ and depths_
  void computeRank(Entry& entry);                // up to the limit of its type
  void updateRankLimits();
  bool belongsToSubset(const Entry& entry) const;
  void report(Entry& entry, Changes& changes);  // if its membership or its listing has changed
  void reconcile(double now, Changes& changes);

  Settings settings_;
  int baseDepth_;                    // usersPerEngine, or the number of dispatchers if that is smaller
  std::vector<SubsetDepth> depths_;  // by class
  std::vector<EngineType> types_;
  std::unordered_map<std::string, uint16_t> typeByName_;  // key: zone, line feed, kind
  std::vector<Entry> table_;                              // sorted by id
  std::set<std::pair<int, uint32_t>> rankedEngines_;      // rank and id: about rankLimit / N of the list
  std::set<std::pair<int64_t, uint32_t>> coldEngines_;    // start time and id, of those in rankedEngines_
  std::vector<uint32_t> dirty_;                           // ids of engines to check in reconcile()
  std::vector<bool> warned_;                              // by class
  size_t listed_ = 0;
  size_t inUse_ = 0;
  uint64_t ranksComputed_ = 0;
  double now_ = 0;
  bool tickDue_ = false;  // tick() has work to do at once
};

}  // namespace elmcleat::view
