// How far the view goes for one class: the commands that may run in the same zones and on the same kinds of
// engines.
//
// Usable engines (in service, warm, not found unfit) are counted by this dispatcher's place among their
// users. The reach is the least place, and one, with which enough of them are in view. It grows as soon as
// more is needed, and shrinks by an eighth a second once less has done for a while. It never goes beyond the
// last usable one: where all of a class are cold or unfit there is nothing to widen for. Nothing here walks
// engines.
#pragma once
#include <cmath>
#include <string>
#include <vector>

#include "view/subset_settings.h"

namespace elmcleat::view {

class SubsetDepth {
 public:
  // `dispatchers`: all there are. Empty zones or kinds: any.
  SubsetDepth(const SubsetSettings& settings, int dispatchers, std::string name,
              std::vector<std::string> zones, std::vector<std::string> kinds);

  const std::string& name() const { return name_; }
  bool serves(const std::string& zone, const std::string& kind) const;
  bool sameAs(const std::vector<std::string>& zones, const std::vector<std::string>& kinds) const {
    return zones_ == zones && kinds_ == kinds;
  }

  void countListed(int by) { listed_ += by; }    // engines in service come (1) or go (-1), wherever they are;
  void countUsable(int place, int by);           // those that are usable, by place;
  void countCold(int by) { coldInView_ += by; }  // those that are cold and in the base view
  int listed() const { return listed_; }

  int maxDepth() const;         // over which the reach never goes
  int requiredEngines() const;  // usable engines that have to be in view, if there are so many
  int depth() const { return depth_; }
  // While there is too little, engines in view that were found unfit are kept as far as this.
  int ejectedDepth() const { return ejectedDepth_; }
  void update(double now);
  double nextWakeUp() const { return narrowsAt_; }  // HUGE_VAL: not by itself
  bool isServed() const { return usableInView_ + coldInView_ > 0; }

 private:
  SubsetSettings settings_;
  int dispatchers_, base_;
  std::string name_;
  std::vector<std::string> zones_, kinds_;  // sorted
  std::vector<int> usable_;                 // by place, as far as any is known
  int listed_ = 0, coldInView_ = 0, usableInView_ = 0;
  int depth_, ejectedDepth_;
  double narrowsAt_ = HUGE_VAL;
};

}  // namespace elmcleat::view
