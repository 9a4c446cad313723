// A set of ids, each with the time at which it was last added. Ids are forgotten in the order of these times, so
// that adding one costs the same however many there are. Told the time; performs no I/O.
#pragma once
#include <cstddef>
#include <iterator>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace elmcleat {

class RecentIds {
 public:
  // `time` must not go back from one call to the next.
  void add(const std::string& id, double time) {
    if (auto found = positions_.find(id); found != positions_.end())
      erase(found->second);
    entries_.emplace_back(id, time);
    positions_.emplace(entries_.back().first, std::prev(entries_.end()));
  }
  bool contains(std::string_view id) const { return positions_.contains(id); }
  size_t size() const { return entries_.size(); }
  // Forgets the ids that were last added before `time`.
  void forgetBefore(double time) {
    while (!entries_.empty() && entries_.front().second < time)
      erase(entries_.begin());
  }
  // Forgets the earliest ids, so that no more than `count` are left.
  void keepLatest(size_t count) {
    while (entries_.size() > count)
      erase(entries_.begin());
  }

 private:
  using Entries = std::list<std::pair<std::string, double>>;  // the earliest first
  void erase(Entries::iterator entry) {
    positions_.erase(entry->first);
    entries_.erase(entry);
  }

  Entries entries_;
  std::unordered_map<std::string_view, Entries::iterator> positions_;  // keys are those of the entries
};

}  // namespace elmcleat
