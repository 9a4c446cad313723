// The depth of the engine subset for one class: the commands that may run in the same zones and on the same
// kinds of engines. An engine is in the subset if this dispatcher's rank at it is below the depth.
//
// Usable engines (in service, warm, not ejected) are counted by this dispatcher's rank. The depth is the
// smallest one with which enough of them are in the subset. It grows as soon as more are needed, and shrinks
// by an eighth per second once a smaller depth has sufficed for narrowingDelay. Beyond usersPerEngine it
// never exceeds the rank of the last usable engine by more than one: where all engines of a class are cold or
// ejected, widening would gain nothing. Nothing here iterates over engines.
#pragma once
#include <cmath>
#include <string>
#include <vector>

#include "view/subset_settings.h"

namespace elmcleat::view {

class SubsetDepth {
 public:
  // `dispatchers`: their total number. Empty `zones` or `kinds`: any.
  SubsetDepth(const SubsetSettings& settings, int dispatchers, std::string name,
              std::vector<std::string> zones, std::vector<std::string> kinds);

  const std::string& name() const { return name_; }
  bool serves(const std::string& zone, const std::string& kind) const;
  bool sameAs(const std::vector<std::string>& zones, const std::vector<std::string>& kinds) const {
    return zones_ == zones && kinds_ == kinds;
  }

  // Count an engine in (1) or out (-1):
  void countListed(int by) { listed_ += by; }      // in service, whatever its rank
  void countUsable(int rank, int by);              // usable
  void countCold(int by) { coldInSubset_ += by; }  // cold, with a rank below usersPerEngine
  int listed() const { return listed_; }

  int maxDepth() const;         // bound of the depth
  int requiredEngines() const;  // usable engines that the subset needs, if there are as many
  int depth() const { return depth_; }
  // The depth for ejected engines that are in the subset already. They are kept up to maxDepth() while too
  // few engines are usable.
  int ejectedDepth() const { return ejectedDepth_; }
  void update(double now);
  double nextWakeUp() const { return narrowsAt_; }  // when update() is due; HUGE_VAL: only after a change
  bool isServed() const { return usableInSubset_ + coldInSubset_ > 0; }

 private:
  SubsetSettings settings_;
  int dispatchers_;
  int baseDepth_;  // usersPerEngine, or the number of dispatchers if that is smaller
  std::string name_;
  std::vector<std::string> zones_;  // sorted
  std::vector<std::string> kinds_;  // sorted
  std::vector<int> usableByRank_;   // up to the largest known rank
  int listed_ = 0;
  int coldInSubset_ = 0;
  int usableInSubset_ = 0;
  int depth_;
  int ejectedDepth_;
  double narrowsAt_ = HUGE_VAL;  // HUGE_VAL: not narrowing
};

}  // namespace elmcleat::view
