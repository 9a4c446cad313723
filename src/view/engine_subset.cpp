#include "view/engine_subset.h"

#include <algorithm>

#include "view/rendezvous_rank.h"

namespace elmcleat::view {
namespace {

std::vector<std::string> sorted(std::vector<std::string> names) {
  std::ranges::sort(names);
  names.erase(std::unique(names.begin(), names.end()), names.end());
  return names;
}

// By id, each once: the last counts.
std::vector<const ListedEngine*> lastOfEach(const std::vector<ListedEngine>& rows) {
  std::vector<const ListedEngine*> last;
  last.reserve(rows.size());
  for (auto& row : rows)
    last.push_back(&row);
  auto id = [](const ListedEngine* row) { return row->record.id; };
  if (!std::ranges::is_sorted(last, {}, id))
    std::ranges::stable_sort(last, {}, id);
  auto end = last.begin();
  for (auto at = last.begin(); at != last.end(); ++at)
    if (at + 1 == last.end() || id(*at) != id(at[1]))
      *end++ = *at;
  last.erase(end, last.end());
  return last;
}

}  // namespace

EngineSubset::EngineSubset(const SubsetSettings& subsetSettings, const Settings& settings)
    : settings_(settings), base_(std::min(subsetSettings.usersPerEngine, settings.gatewayCount)) {
  if (settings.ordinal < 0)
    throw Error(ErrorKind::ordinalMissing,
                "found none; allowed is 0 to " + std::to_string(settings.gatewayCount - 1),
                "settings.ordinal");
  if (settings.ordinal >= settings.gatewayCount)
    throw Error(ErrorKind::ordinalOutOfRange,
                "found " + std::to_string(settings.ordinal) + " with settings.balancers " +
                    std::to_string(settings.gatewayCount) + "; allowed is 0 to " +
                    std::to_string(settings.gatewayCount - 1),
                "settings.ordinal");
  for (auto& profile : settings.profiles) {
    auto zones = sorted(profile.allowedZones), kinds = sorted(profile.allowedKinds);
    if (std::ranges::none_of(depths_, [&](auto& reach) { return reach.sameAs(zones, kinds); }))
      depths_.emplace_back(subsetSettings, settings.gatewayCount, profile.name, zones, kinds);
  }
  told_.resize(depths_.size());
}

Settings EngineSubset::localSettings() const {
  Settings local = settings_;
  local.gatewayCount = base_, local.ordinal = -1;
  for (auto& tenant : local.tenants)
    tenant.quota *= double(base_) / settings_.gatewayCount;
  return local;
}

// --- the list
uint16_t EngineSubset::makeOf(const std::string& zone, const std::string& kind) {
  auto [at, fresh] = makeByName_.try_emplace(zone + '\n' + kind, uint16_t(makes_.size()));
  if (fresh) {
    EngineType& make = makes_.emplace_back(EngineType{zone, kind, {}, 0});
    for (size_t i = 0; i < depths_.size(); ++i)
      if (depths_[i].serves(zone, kind))
        make.classes.push_back(i);
  }
  return at->second;
}

EngineSubset::Entry EngineSubset::entryOf(const ListedEngine& listing, double now) {
  Entry entry;
  entry.id = listing.record.id, entry.host = listing.address.host, entry.port = listing.address.port;
  entry.bornMs = listing.startedAtUnixMs, entry.cell = listing.record.cell,
  entry.state = listing.record.state;
  entry.make = makeOf(listing.record.zone, listing.record.kind);
  entry.cold = entry.bornMs > 0 && now < warmAt(entry.bornMs);
  return entry;
}

ListedEngine EngineSubset::listingOf(const Entry& entry) const {
  ListedEngine listing;
  const EngineType& make = makes_[entry.make];
  listing.record.id = entry.id, listing.record.zone = make.zone, listing.record.kind = make.kind;
  listing.record.cell = entry.cell, listing.record.state = entry.state;
  listing.address = {entry.host, entry.port}, listing.startedAtUnixMs = entry.bornMs;
  if (entry.rank < base_)
    listing.record.rank = entry.rank;
  return listing;
}

EngineSubset::Entry* EngineSubset::find(uint32_t id) {
  auto at = std::ranges::lower_bound(table_, id, {}, &Entry::id);
  return at != table_.end() && at->id == id ? &*at : nullptr;
}

void EngineSubset::list(const Entry& entry, int by) {
  if (entry.state != EngineState::inService)
    return;
  listed_ += size_t(by), used_ += entry.inSubset ? size_t(by) : 0;
  for (size_t which : makes_[entry.make].classes)
    depths_[which].countListed(by);
}

void EngineSubset::index(Entry& entry, bool is) {
  if (!entry.ranked || entry.indexed == is)
    return;
  entry.indexed = is;
  auto keep = [is](auto& set, auto key) { is ? void(set.insert(key)) : void(set.erase(key)); };
  keep(near_, std::pair{entry.rank, entry.id});
  if (entry.state != EngineState::inService)
    return;
  if (entry.cold)
    keep(cold_, std::pair{entry.bornMs, entry.id});
  if (entry.ejected || (entry.cold && entry.rank >= base_))
    return;
  for (size_t which : makes_[entry.make].classes)
    entry.cold ? depths_[which].countCold(is ? 1 : -1) : depths_[which].countUsable(entry.rank, is ? 1 : -1);
}

void EngineSubset::rank(Entry& entry) {
  int cap = makes_[entry.make].cap;
  if (entry.ranked || entry.rank >= cap)
    return;
  entry.rank = rendezvousRank(entry.id, settings_.ordinal, settings_.gatewayCount, cap), ++ranked_;
  entry.ranked = entry.rank < cap;
}

void EngineSubset::update(Entry& entry, const ListedEngine& listing, double now) {
  Entry next = entryOf(listing, now);
  bool same = next.host == entry.host && next.port == entry.port && next.bornMs == entry.bornMs;
  if (same && next.make == entry.make && next.cell == entry.cell && next.state == entry.state)
    return;
  index(entry, false), list(entry, -1);
  next.rank = entry.rank, next.ranked = entry.ranked, next.inSubset = entry.inSubset;
  next.ejected = entry.ejected && same, next.changed = true;
  entry = next;
  list(entry, 1), touched_.push_back(entry.id);
}

void EngineSubset::remove(Entry& entry, Changes& changes) {
  index(entry, false), list(entry, -1);
  entry.state = EngineState::removed;
  if (entry.inSubset)
    changes.push_back(listingOf(entry));
}

// The table moves once an event, as bytes: 1.4 MB at 44,000 engines. A whole list is compared row by row;
// what is the same costs that comparison and nothing else.
std::vector<ListedEngine> EngineSubset::apply(const EngineListEvent& event, double now) {
  Changes changes;
  std::vector<Entry> fresh;
  bool gone = false;
  auto drop = [&](Entry& entry) { remove(entry, changes), gone = true; };
  auto at = table_.begin();
  for (const ListedEngine* row : lastOfEach(event.engines)) {
    if (event.isFullList)
      for (; at != table_.end() && at->id < row->record.id; ++at)
        drop(*at);
    else
      at = std::lower_bound(at, table_.end(), row->record.id,
                            [](auto& entry, auto id) { return entry.id < id; });
    bool known = at != table_.end() && at->id == row->record.id,
         stays = row->record.state != EngineState::removed;
    if (known && stays)
      update(*at, *row, now);
    if (known && !stays)
      drop(*at);
    if (!known && stays) {
      Entry& entry = fresh.emplace_back(entryOf(*row, now));
      entry.changed = true, list(entry, 1), touched_.push_back(entry.id);
    }
    at += known;
  }
  if (event.isFullList)
    for (; at != table_.end(); ++at)
      drop(*at);

  if (gone)
    std::erase_if(table_, [](auto& entry) { return entry.state == EngineState::removed; });
  if (size_t size = table_.size() + fresh.size(); size > table_.capacity())
    table_.reserve(size + size / 8);
  auto middle = table_.insert(table_.end(), fresh.begin(), fresh.end());
  std::ranges::inplace_merge(table_, middle, {}, &Entry::id);
  settle(now, changes);
  return changes;
}

// --- what is in view

// A class that lost so many engines that its bound doubles needs the places of the others further out: one walk over
// all 44,000 entries then. What is kept by place shrinks again when a class has grown: by no less than four times,
// so that a count that goes up and down over a power of two costs nothing.
void EngineSubset::setCaps() {
  bool raised = false;
  int lowered = settings_.gatewayCount;
  for (EngineType& make : makes_) {
    int cap = base_;
    for (size_t which : make.classes)
      cap = std::max(cap, depths_[which].maxDepth());
    if (cap <= make.cap && 4 * cap > make.cap)
      continue;
    cap > make.cap ? raised |= make.cap > 0 : lowered = std::min(lowered, cap);
    make.cap = cap;
  }
  std::vector<uint32_t> beyond;
  for (auto at = near_.lower_bound({lowered, 0}); at != near_.end(); ++at)
    if (at->first >= makes_[find(at->second)->make].cap)
      beyond.push_back(at->second);
  for (uint32_t id : beyond) {
    Entry& entry = *find(id);
    index(entry, false), entry.ranked = false, touched_.push_back(id);
  }
  if (!raised)
    return;
  for (Entry& entry : table_)
    if (!entry.ranked && entry.rank < makes_[entry.make].cap)
      touched_.push_back(entry.id);
}

bool EngineSubset::belongs(const Entry& entry) const {
  if (entry.rank < base_)
    return true;  // one that isn't `ranked` has a place beyond all that follows
  if (entry.state != EngineState::inService)
    return entry.inSubset;  // until it has gone
  return !entry.cold && std::ranges::any_of(makes_[entry.make].classes, [&](size_t which) {
    return entry.rank <
           (entry.inSubset && entry.ejected ? depths_[which].ejectedDepth() : depths_[which].depth());
  });
}

void EngineSubset::tell(Entry& entry, Changes& changes) {
  bool is = belongs(entry), changed = entry.changed;
  entry.changed = false;
  if (is ? entry.inSubset && !changed : !entry.inSubset)
    return;
  if (entry.state == EngineState::inService)
    used_ += size_t(int(is) - int(entry.inSubset));
  entry.inSubset = is;
  ListedEngine& told = changes.emplace_back(listingOf(entry));
  if (is)
    return;
  told.record.state = EngineState::removed;
  // Nobody looks at it any more. No class is short of engines as far out as that: none comes to count on it.
  if (entry.ejected)
    index(entry, false), entry.ejected = false, index(entry, true);
}

void EngineSubset::settle(double now, Changes& changes) {
  now_ = now, due_ = false;
  setCaps();
  for (uint32_t id : touched_)
    if (Entry* entry = find(id))
      rank(*entry), index(*entry, true);
  while (!cold_.empty() && warmAt(cold_.begin()->first) <= now) {
    Entry& entry = *find(cold_.begin()->second);
    index(entry, false), entry.cold = false, index(entry, true);
    touched_.push_back(entry.id);
  }
  for (SubsetDepth& reach : depths_) {
    int from = reach.depth(), to = reach.ejectedDepth();
    reach.update(now);
    if (from == reach.depth() && to == reach.ejectedDepth())
      continue;
    from = std::min(from, reach.depth()), to = std::max(to, reach.depth());
    for (auto at = near_.lower_bound({from, 0}); at != near_.end() && at->first < to; ++at)
      touched_.push_back(at->second);
  }
  for (size_t i = 0; i < depths_.size(); ++i)
    if (depths_[i].isServed())
      told_[i] = false;
  std::ranges::sort(touched_);
  touched_.erase(std::unique(touched_.begin(), touched_.end()), touched_.end());
  for (uint32_t id : touched_)
    if (Entry* entry = find(id))
      tell(*entry, changes);
  touched_.clear();
  if (touched_.capacity() > 4096)
    touched_.shrink_to_fit();  // a whole list came
}

void EngineSubset::setEjected(uint32_t engine, bool is) {
  Entry* entry = find(engine);
  if (!entry || !entry->inSubset || entry->ejected == is)
    return;
  index(*entry, false), entry->ejected = is, index(*entry, true);
  due_ = true;
}

std::vector<ListedEngine> EngineSubset::tick(double now) {
  Changes changes;
  settle(now, changes);
  return changes;
}

double EngineSubset::nextWakeUp() const {
  if (due_)
    return now_;
  double at = cold_.empty() ? HUGE_VAL : warmAt(cold_.begin()->first);
  for (auto& reach : depths_)
    at = std::min(at, reach.nextWakeUp());
  return at;
}

// --- what is said
std::vector<std::string> EngineSubset::takeWarnings() {
  std::vector<std::string> lines;
  for (size_t i = 0; i < depths_.size(); ++i) {
    SubsetDepth& reach = depths_[i];
    if (reach.listed() == 0 || reach.isServed() || told_[i])
      continue;
    told_[i] = true;
    int rest = 0, cold = 0;
    for (auto& [place, id] : near_) {
      const Entry& entry = *find(id);
      auto& classes = makes_[entry.make].classes;
      if (entry.state != EngineState::inService || std::ranges::find(classes, i) == classes.end())
        continue;
      rest += entry.ejected, cold += entry.cold && !entry.inSubset;
    }
    lines.push_back(describe(
        ErrorKind::noEngineInSubset,
        "none of its " + std::to_string(reach.listed()) + " engines can be used: " + std::to_string(rest) +
            " in view rest, " + std::to_string(cold) +
            " start and are other dispatchers' to warm; looked as far as place " +
            std::to_string(reach.maxDepth()) + " of " + std::to_string(settings_.gatewayCount),
        "class " + reach.name()));
  }
  return lines;
}

SubsetStatistics EngineSubset::statistics() const {
  SubsetStatistics figures{listed_, used_, base_, ranked_, near_.size()};
  for (auto& reach : depths_)
    figures.depth = std::max(figures.depth, reach.depth());
  return figures;
}

}  // namespace elmcleat::view
