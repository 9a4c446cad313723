// Which engines this dispatcher uses, of a list that may be far longer. Pure: told the settings, its ordinal, the list
// and the time; the same in every dispatcher, so nothing is agreed upon.
//
// For each engine all dispatchers stand in an order that follows from its id and their ordinals alone (rendezvous
// hash by engine). The first `usersPerEngine` of them use it; a dispatcher's place in that order is what its module takes
// turns by at a cold engine. Whoever's usable part of a class's engines is too small takes more of the same order: a
// greater place is enough then, up to a bound. Cold engines are used by the first `usersPerEngine` alone, whatever happens:
// their part is reckoned by that number.
//
// Invariant: whatever lists two dispatchers have, an engine has `usersPerEngine` users, and in trouble `maxUsersPerEngine` (or, of a
// class with few engines, as many as its classes' `minEnginesPerClass` needs: see maxDepth()).
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
  size_t listed = 0, inUse = 0;  // engines in service; in view
  int depth = 0;                 // the greatest place, and one, with which an engine is in view
  uint64_t ranksComputed =
      0;                     // orders worked out since the start: grows with what changes, not with the list
  size_t rankedEngines = 0;  // engines whose place is known, as some class may come to need them
};

class EngineSubset {
 public:
  // `settings`: as the platform hands them over; throws Error if they don't say which of how many this is.
  EngineSubset(const SubsetSettings& subsetSettings, const Settings& settings);

  // What the module is told in place of those settings: the users of an engine in place of all dispatchers (and quotas
  // by the same part), so that what it reckons by N is right for each engine that it sees.
  Settings localSettings() const;

  // Time is Unix seconds, as starts are in the list. Each call tells what changes for this dispatcher: engines in view,
  // as the list has them, with its place among their users (none: they are in view because it is wide), and those
  // that leave it (state: gone). A whole list
  // that changes nothing tells nothing.
  std::vector<ListedEngine> apply(const EngineListEvent& event, double now);
  void setEjected(uint32_t engine, bool is);   // the module has found an engine in view unfit, or fit again
  std::vector<ListedEngine> tick(double now);  // at nextWakeUp(), and after setEjected()
  double nextWakeUp() const;                   // HUGE_VAL: not before something is told

  // A class that can't be served here although the list has engines for it: told once until it can.
  std::vector<std::string> takeWarnings();
  SubsetStatistics statistics() const;

 private:
  struct EngineType {  // what engines of one zone and kind have in common
    std::string zone, kind;
    std::vector<size_t> classes;  // that they serve, of reaches_
    int cap = 0;                  // to which their places are known
  };
  struct Entry {  // an engine of the list, in view or not
    int64_t bornMs = 0;
    uint32_t id = 0, host = 0;
    int cell = 0;
    int rank = 0;  // if it is not `ranked`: no less than that
    uint16_t port = 0, make = 0;
    EngineState state : 3 = EngineState::inService;
    bool ranked : 1 = false;    // its place is known
    bool indexed : 1 = false;   // stands in near_ and is counted
    bool inSubset : 1 = false;  // as told
    bool ejected : 1 = false, cold : 1 = false;
    bool changed : 1 = false;  // since it was told
  };
  static_assert(sizeof(Entry) == 32);  // with what vectors keep in reserve and near_ well within 64 an engine
  using Changes = std::vector<ListedEngine>;

  uint16_t makeOf(const std::string& zone, const std::string& kind);
  Entry entryOf(const ListedEngine& listing, double now);
  ListedEngine listingOf(const Entry& entry) const;
  Entry* find(uint32_t id);
  double warmAt(int64_t bornMs) const { return double(bornMs) / 1000 + settings_.coldDuration; }

  void update(Entry& entry, const ListedEngine& listing, double now);
  void remove(Entry& entry, Changes& changes);
  void list(const Entry& entry, int by);  // count it among those in service, or no longer
  void index(Entry& entry, bool is);      // what is kept by place
  void rank(Entry& entry);                // as far as its make's cap asks for
  void setCaps();
  bool belongs(const Entry& entry) const;  // in view
  void tell(Entry& entry, Changes& changes);
  void settle(double now, Changes& changes);

  Settings settings_;
  int base_;  // the first so many use an engine
  std::vector<SubsetDepth> depths_;
  std::vector<EngineType> makes_;
  std::unordered_map<std::string, uint16_t> makeByName_;  // zone, line end, kind
  std::vector<Entry> table_;                              // by id
  std::set<std::pair<int, uint32_t>> near_;               // place and id: some cap / N of the list
  std::set<std::pair<int64_t, uint32_t>> cold_;           // start and id, of those in near_
  std::vector<uint32_t> touched_;                         // to be looked at by settle()
  std::vector<bool> told_;                                // by class: that it can't be served
  size_t listed_ = 0, used_ = 0;
  uint64_t ranked_ = 0;
  double now_ = 0;
  bool due_ = false;  // tick() has something to do at once
};

}  // namespace elmcleat::view
