#include "view/engine_subset.h"

#include <algorithm>

#include "view/rendezvous_rank.h"

namespace elmcleat::view {
namespace {

constexpr int kLoweringFactor = 4;  // a rank limit is lowered only if it falls by this factor
// Memory of the list of changed engines that is kept after a whole list.
constexpr size_t kMaxIdleCapacity = 4096;

std::vector<std::string> sortedUnique(std::vector<std::string> names) {
  std::ranges::sort(names);
  names.erase(std::unique(names.begin(), names.end()), names.end());
  return names;
}

// Sorted by id. Of several listings of one engine only the last is kept.
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
    : settings_(settings), baseDepth_(std::min(subsetSettings.usersPerEngine, settings.gatewayCount)) {
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
    auto zones = sortedUnique(profile.allowedZones);
    auto kinds = sortedUnique(profile.allowedKinds);
    if (std::ranges::none_of(depths_, [&](auto& depth) { return depth.sameAs(zones, kinds); }))
      depths_.emplace_back(subsetSettings, settings.gatewayCount, profile.name, zones, kinds);
  }
  warned_.resize(depths_.size());
}

Settings EngineSubset::localSettings() const {
  Settings local = settings_;
  local.gatewayCount = baseDepth_;
  local.ordinal = -1;
  for (auto& tenant : local.tenants)
    tenant.quota *= double(baseDepth_) / settings_.gatewayCount;
  return local;
}

// --- the list
uint16_t EngineSubset::typeOf(const std::string& zone, const std::string& kind) {
  auto [found, added] = typeByName_.try_emplace(zone + '\n' + kind, uint16_t(types_.size()));
  if (added) {
    EngineType& type = types_.emplace_back(EngineType{zone, kind, {}, 0});
    for (size_t i = 0; i < depths_.size(); ++i)
      if (depths_[i].serves(zone, kind))
        type.classes.push_back(i);
  }
  return found->second;
}

EngineSubset::Entry EngineSubset::entryOf(const ListedEngine& listing, double now) {
  Entry entry;
  entry.id = listing.record.id;
  entry.host = listing.address.host;
  entry.port = listing.address.port;
  entry.startedAtUnixMs = listing.startedAtUnixMs;
  entry.cell = listing.record.cell;
  entry.state = listing.record.state;
  entry.type = typeOf(listing.record.zone, listing.record.kind);
  entry.cold = entry.startedAtUnixMs > 0 && now < warmAt(entry.startedAtUnixMs);
  return entry;
}

ListedEngine EngineSubset::listingOf(const Entry& entry) const {
  ListedEngine listing;
  const EngineType& type = types_[entry.type];
  listing.record.id = entry.id;
  listing.record.zone = type.zone;
  listing.record.kind = type.kind;
  listing.record.cell = entry.cell;
  listing.record.state = entry.state;
  listing.address = {entry.host, entry.port};
  listing.startedAtUnixMs = entry.startedAtUnixMs;
  if (entry.rank < baseDepth_)
    listing.record.rank = entry.rank;
  return listing;
}

EngineSubset::Entry* EngineSubset::find(uint32_t id) {
  auto found = std::ranges::lower_bound(table_, id, {}, &Entry::id);
  return found != table_.end() && found->id == id ? &*found : nullptr;
}

void EngineSubset::countListed(const Entry& entry, int by) {
  if (entry.state != EngineState::inService)
    return;
  listed_ += size_t(by);
  inUse_ += entry.inSubset ? size_t(by) : 0;
  for (size_t classIndex : types_[entry.type].classes)
    depths_[classIndex].countListed(by);
}

void EngineSubset::setIndexed(Entry& entry, bool indexed) {
  if (!entry.ranked || entry.indexed == indexed)
    return;
  entry.indexed = indexed;
  auto update = [indexed](auto& set, auto key) { indexed ? void(set.insert(key)) : void(set.erase(key)); };
  update(rankedEngines_, std::pair{entry.rank, entry.id});
  if (entry.state != EngineState::inService)
    return;
  if (entry.cold)
    update(coldEngines_, std::pair{entry.startedAtUnixMs, entry.id});
  if (entry.ejected || (entry.cold && entry.rank >= baseDepth_))
    return;
  for (size_t classIndex : types_[entry.type].classes)
    entry.cold ? depths_[classIndex].countCold(indexed ? 1 : -1)
               : depths_[classIndex].countUsable(entry.rank, indexed ? 1 : -1);
}

void EngineSubset::computeRank(Entry& entry) {
  int rankLimit = types_[entry.type].rankLimit;
  if (entry.ranked || entry.rank >= rankLimit)
    return;
  entry.rank = rendezvousRank(entry.id, settings_.ordinal, settings_.gatewayCount, rankLimit);
  ++ranksComputed_;
  entry.ranked = entry.rank < rankLimit;
}

void EngineSubset::update(Entry& entry, const ListedEngine& listing, double now) {
  Entry next = entryOf(listing, now);
  bool sameInstance =
      next.host == entry.host && next.port == entry.port && next.startedAtUnixMs == entry.startedAtUnixMs;
  if (sameInstance && next.type == entry.type && next.cell == entry.cell && next.state == entry.state)
    return;
  setIndexed(entry, false);
  countListed(entry, -1);
  next.rank = entry.rank;
  next.ranked = entry.ranked;
  next.inSubset = entry.inSubset;
  next.ejected = entry.ejected && sameInstance;
  next.changed = true;
  entry = next;
  countListed(entry, 1);
  dirty_.push_back(entry.id);
}

void EngineSubset::remove(Entry& entry, Changes& changes) {
  setIndexed(entry, false);
  countListed(entry, -1);
  entry.state = EngineState::removed;
  if (entry.inSubset)
    changes.push_back(listingOf(entry));
}

// The table is merged once per event, which moves 1.4 MB at 44,000 engines. A whole list is compared row by
// row; an unchanged row costs only that comparison.
std::vector<ListedEngine> EngineSubset::apply(const EngineListEvent& event, double now) {
  Changes changes;
  std::vector<Entry> added;
  bool anyRemoved = false;
  auto drop = [&](Entry& entry) {
    remove(entry, changes);
    anyRemoved = true;
  };
  auto position = table_.begin();
  for (const ListedEngine* listing : lastOfEach(event.engines)) {
    if (event.isFullList)
      for (; position != table_.end() && position->id < listing->record.id; ++position)
        drop(*position);
    else
      position = std::lower_bound(position, table_.end(), listing->record.id,
                                  [](auto& entry, auto id) { return entry.id < id; });
    bool known = position != table_.end() && position->id == listing->record.id;
    bool stays = listing->record.state != EngineState::removed;
    if (known && stays)
      update(*position, *listing, now);
    if (known && !stays)
      drop(*position);
    if (!known && stays) {
      Entry& entry = added.emplace_back(entryOf(*listing, now));
      entry.changed = true;
      countListed(entry, 1);
      dirty_.push_back(entry.id);
    }
    position += known;
  }
  if (event.isFullList)
    for (; position != table_.end(); ++position)
      drop(*position);

  if (anyRemoved)
    std::erase_if(table_, [](auto& entry) { return entry.state == EngineState::removed; });
  if (size_t size = table_.size() + added.size(); size > table_.capacity())
    table_.reserve(size + size / 8);
  auto middle = table_.insert(table_.end(), added.begin(), added.end());
  std::ranges::inplace_merge(table_, middle, {}, &Entry::id);
  reconcile(now, changes);
  return changes;
}

// --- membership of the subset

// If a class loses so many engines that its bound doubles, the ranks of further engines are needed: that
// takes one walk over all 44,000 entries. A limit is lowered only to a quarter or less, so that a count that
// crosses a power of two back and forth costs nothing.
void EngineSubset::updateRankLimits() {
  bool raised = false;
  int lowered = settings_.gatewayCount;
  for (EngineType& type : types_) {
    int rankLimit = baseDepth_;
    for (size_t classIndex : type.classes)
      rankLimit = std::max(rankLimit, depths_[classIndex].maxDepth());
    if (rankLimit <= type.rankLimit && kLoweringFactor * rankLimit > type.rankLimit)
      continue;
    // A limit of 0 is that of a type without entries so far.
    rankLimit > type.rankLimit ? raised |= type.rankLimit > 0 : lowered = std::min(lowered, rankLimit);
    type.rankLimit = rankLimit;
  }
  std::vector<uint32_t> beyond;
  for (auto at = rankedEngines_.lower_bound({lowered, 0}); at != rankedEngines_.end(); ++at)
    if (at->first >= types_[find(at->second)->type].rankLimit)
      beyond.push_back(at->second);
  for (uint32_t id : beyond) {
    Entry& entry = *find(id);
    setIndexed(entry, false);
    entry.ranked = false;
    dirty_.push_back(id);
  }
  if (!raised)
    return;
  for (Entry& entry : table_)
    if (!entry.ranked && entry.rank < types_[entry.type].rankLimit)
      dirty_.push_back(entry.id);
}

// An entry that is not ranked has a rank of at least its type's limit, which no depth exceeds.
bool EngineSubset::belongsToSubset(const Entry& entry) const {
  if (entry.rank < baseDepth_)
    return true;
  if (entry.state != EngineState::inService)
    return entry.inSubset;  // stays until it is removed
  return !entry.cold && std::ranges::any_of(types_[entry.type].classes, [&](size_t classIndex) {
    return entry.rank < (entry.inSubset && entry.ejected ? depths_[classIndex].ejectedDepth()
                                                         : depths_[classIndex].depth());
  });
}

void EngineSubset::report(Entry& entry, Changes& changes) {
  bool belongs = belongsToSubset(entry);
  bool changed = entry.changed;
  entry.changed = false;
  if (belongs ? entry.inSubset && !changed : !entry.inSubset)
    return;
  if (entry.state == EngineState::inService)
    inUse_ += size_t(int(belongs) - int(entry.inSubset));
  entry.inSubset = belongs;
  ListedEngine& listing = changes.emplace_back(listingOf(entry));
  if (belongs)
    return;
  listing.record.state = EngineState::removed;
  // Outside the subset nothing observes the engine, so the ejection is dropped. No class is short of engines
  // at that depth, so none relies on it meanwhile.
  if (entry.ejected) {
    setIndexed(entry, false);
    entry.ejected = false;
    setIndexed(entry, true);
  }
}

void EngineSubset::reconcile(double now, Changes& changes) {
  now_ = now;
  tickDue_ = false;
  updateRankLimits();
  for (uint32_t id : dirty_)
    if (Entry* entry = find(id)) {
      computeRank(*entry);
      setIndexed(*entry, true);
    }
  while (!coldEngines_.empty() && warmAt(coldEngines_.begin()->first) <= now) {
    Entry& entry = *find(coldEngines_.begin()->second);
    setIndexed(entry, false);
    entry.cold = false;
    setIndexed(entry, true);
    dirty_.push_back(entry.id);
  }
  for (SubsetDepth& depth : depths_) {
    int from = depth.depth();
    int to = depth.ejectedDepth();
    depth.update(now);
    if (from == depth.depth() && to == depth.ejectedDepth())
      continue;
    from = std::min(from, depth.depth());
    to = std::max(to, depth.depth());
    for (auto at = rankedEngines_.lower_bound({from, 0}); at != rankedEngines_.end() && at->first < to; ++at)
      dirty_.push_back(at->second);
  }
  for (size_t i = 0; i < depths_.size(); ++i)
    if (depths_[i].isServed())
      warned_[i] = false;
  std::ranges::sort(dirty_);
  dirty_.erase(std::unique(dirty_.begin(), dirty_.end()), dirty_.end());
  for (uint32_t id : dirty_)
    if (Entry* entry = find(id))
      report(*entry, changes);
  dirty_.clear();
  if (dirty_.capacity() > kMaxIdleCapacity)
    dirty_.shrink_to_fit();
}

void EngineSubset::setEjected(uint32_t engine, bool ejected) {
  Entry* entry = find(engine);
  if (!entry || !entry->inSubset || entry->ejected == ejected)
    return;
  setIndexed(*entry, false);
  entry->ejected = ejected;
  setIndexed(*entry, true);
  tickDue_ = true;
}

std::vector<ListedEngine> EngineSubset::tick(double now) {
  Changes changes;
  reconcile(now, changes);
  return changes;
}

double EngineSubset::nextWakeUp() const {
  if (tickDue_)
    return now_;
  double wakeUp = coldEngines_.empty() ? HUGE_VAL : warmAt(coldEngines_.begin()->first);
  for (auto& depth : depths_)
    wakeUp = std::min(wakeUp, depth.nextWakeUp());
  return wakeUp;
}

// --- warnings and statistics
std::vector<std::string> EngineSubset::takeWarnings() {
  std::vector<std::string> lines;
  for (size_t i = 0; i < depths_.size(); ++i) {
    SubsetDepth& depth = depths_[i];
    if (depth.listed() == 0 || depth.isServed() || warned_[i])
      continue;
    warned_[i] = true;
    int ejected = 0;
    int cold = 0;
    for (auto& [rank, id] : rankedEngines_) {
      const Entry& entry = *find(id);
      auto& classes = types_[entry.type].classes;
      if (entry.state != EngineState::inService || std::ranges::find(classes, i) == classes.end())
        continue;
      ejected += entry.ejected;
      cold += entry.cold && !entry.inSubset;
    }
    lines.push_back(describe(
        ErrorKind::noEngineInSubset,
        "none of its " + std::to_string(depth.listed()) + " engines can be used: " + std::to_string(ejected) +
            " in view are ejected, " + std::to_string(cold) +
            " are cold and warmed by other dispatchers; searched up to rank " +
            std::to_string(depth.maxDepth()) + " of " + std::to_string(settings_.gatewayCount),
        "class " + depth.name()));
  }
  return lines;
}

SubsetStatistics EngineSubset::statistics() const {
  SubsetStatistics statistics{listed_, inUse_, baseDepth_, ranksComputed_, rankedEngines_.size()};
  for (auto& depth : depths_)
    statistics.depth = std::max(statistics.depth, depth.depth());
  return statistics;
}

}  // namespace elmcleat::view
