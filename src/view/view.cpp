#include "view/view.h"

#include <algorithm>

#include "view/rank.h"

namespace elmcleat::view {
namespace {

std::vector<std::string> sorted(std::vector<std::string> names) {
  std::ranges::sort(names);
  names.erase(std::unique(names.begin(), names.end()), names.end());
  return names;
}

// By id, each once: the last counts.
std::vector<const Listing*> lastOfEach(const std::vector<Listing>& rows) {
  std::vector<const Listing*> last;
  last.reserve(rows.size());
  for (auto& row : rows)
    last.push_back(&row);
  auto id = [](const Listing* row) { return row->row.id; };
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

View::View(const Plan& plan, const Settings& settings)
    : settings_(settings), base_(std::min(plan.users, settings.gatewayCount)) {
  if (settings.ordinal < 0)
    throw Error(Wrong::ordinalMissing,
                "found none; allowed is 0 to " + std::to_string(settings.gatewayCount - 1),
                "settings.ordinal");
  if (settings.ordinal >= settings.gatewayCount)
    throw Error(Wrong::ordinalTooLarge,
                "found " + std::to_string(settings.ordinal) + " with settings.balancers " +
                    std::to_string(settings.gatewayCount) + "; allowed is 0 to " +
                    std::to_string(settings.gatewayCount - 1),
                "settings.ordinal");
  for (auto& profile : settings.profiles) {
    auto zones = sorted(profile.allowedZones), kinds = sorted(profile.allowedKinds);
    if (std::ranges::none_of(reaches_, [&](auto& reach) { return reach.sameAs(zones, kinds); }))
      reaches_.emplace_back(plan, settings.gatewayCount, profile.name, zones, kinds);
  }
  told_.resize(reaches_.size());
}

Settings View::local() const {
  Settings local = settings_;
  local.gatewayCount = base_, local.ordinal = -1;
  for (auto& tenant : local.tenants)
    tenant.quota *= double(base_) / settings_.gatewayCount;
  return local;
}

// --- the list
uint16_t View::makeOf(const std::string& zone, const std::string& kind) {
  auto [at, fresh] = makeByName_.try_emplace(zone + '\n' + kind, uint16_t(makes_.size()));
  if (fresh) {
    Make& make = makes_.emplace_back(Make{zone, kind, {}, 0});
    for (size_t i = 0; i < reaches_.size(); ++i)
      if (reaches_[i].serves(zone, kind))
        make.classes.push_back(i);
  }
  return at->second;
}

View::Entry View::entryOf(const Listing& listing, double now) {
  Entry entry;
  entry.id = listing.row.id, entry.host = listing.address.host, entry.port = listing.address.port;
  entry.bornMs = listing.bornMs, entry.cell = listing.row.cell, entry.state = listing.row.state;
  entry.make = makeOf(listing.row.zone, listing.row.kind);
  entry.cold = entry.bornMs > 0 && now < warmAt(entry.bornMs);
  return entry;
}

Listing View::listingOf(const Entry& entry) const {
  Listing listing;
  const Make& make = makes_[entry.make];
  listing.row.id = entry.id, listing.row.zone = make.zone, listing.row.kind = make.kind;
  listing.row.cell = entry.cell, listing.row.state = entry.state;
  listing.address = {entry.host, entry.port}, listing.bornMs = entry.bornMs;
  if (entry.place < base_)
    listing.row.rank = entry.place;
  return listing;
}

View::Entry* View::find(uint32_t id) {
  auto at = std::ranges::lower_bound(table_, id, {}, &Entry::id);
  return at != table_.end() && at->id == id ? &*at : nullptr;
}

void View::list(const Entry& entry, int by) {
  if (entry.state != EngineState::inService)
    return;
  listed_ += size_t(by), used_ += entry.inView ? size_t(by) : 0;
  for (size_t which : makes_[entry.make].classes)
    reaches_[which].list(by);
}

void View::index(Entry& entry, bool is) {
  if (!entry.near || entry.indexed == is)
    return;
  entry.indexed = is;
  auto keep = [is](auto& set, auto key) { is ? void(set.insert(key)) : void(set.erase(key)); };
  keep(near_, std::pair{entry.place, entry.id});
  if (entry.state != EngineState::inService)
    return;
  if (entry.cold)
    keep(cold_, std::pair{entry.bornMs, entry.id});
  if (entry.rests || (entry.cold && entry.place >= base_))
    return;
  for (size_t which : makes_[entry.make].classes)
    entry.cold ? reaches_[which].countCold(is ? 1 : -1) : reaches_[which].count(entry.place, is ? 1 : -1);
}

void View::rank(Entry& entry) {
  int cap = makes_[entry.make].cap;
  if (entry.near || entry.place >= cap)
    return;
  entry.place = placeOf(entry.id, settings_.ordinal, settings_.gatewayCount, cap), ++ranked_;
  entry.near = entry.place < cap;
}

void View::update(Entry& entry, const Listing& listing, double now) {
  Entry next = entryOf(listing, now);
  bool same = next.host == entry.host && next.port == entry.port && next.bornMs == entry.bornMs;
  if (same && next.make == entry.make && next.cell == entry.cell && next.state == entry.state)
    return;
  index(entry, false), list(entry, -1);
  next.place = entry.place, next.near = entry.near, next.inView = entry.inView;
  next.rests = entry.rests && same, next.changed = true;
  entry = next;
  list(entry, 1), touched_.push_back(entry.id);
}

void View::remove(Entry& entry, Changes& changes) {
  index(entry, false), list(entry, -1);
  entry.state = EngineState::removed;
  if (entry.inView)
    changes.push_back(listingOf(entry));
}

// The table moves once an event, as bytes: 1.4 MB at 44,000 engines. A whole list is compared row by row;
// what is the same costs that comparison and nothing else.
std::vector<Listing> View::apply(const ListEvent& event, double now) {
  Changes changes;
  std::vector<Entry> fresh;
  bool gone = false;
  auto drop = [&](Entry& entry) { remove(entry, changes), gone = true; };
  auto at = table_.begin();
  for (const Listing* row : lastOfEach(event.rows)) {
    if (event.whole)
      for (; at != table_.end() && at->id < row->row.id; ++at)
        drop(*at);
    else
      at =
          std::lower_bound(at, table_.end(), row->row.id, [](auto& entry, auto id) { return entry.id < id; });
    bool known = at != table_.end() && at->id == row->row.id, stays = row->row.state != EngineState::removed;
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
  if (event.whole)
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
void View::setCaps() {
  bool raised = false;
  int lowered = settings_.gatewayCount;
  for (Make& make : makes_) {
    int cap = base_;
    for (size_t which : make.classes)
      cap = std::max(cap, reaches_[which].bound());
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
    index(entry, false), entry.near = false, touched_.push_back(id);
  }
  if (!raised)
    return;
  for (Entry& entry : table_)
    if (!entry.near && entry.place < makes_[entry.make].cap)
      touched_.push_back(entry.id);
}

bool View::belongs(const Entry& entry) const {
  if (entry.place < base_)
    return true;  // one that isn't `near` has a place beyond all that follows
  if (entry.state != EngineState::inService)
    return entry.inView;  // until it has gone
  return !entry.cold && std::ranges::any_of(makes_[entry.make].classes, [&](size_t which) {
    return entry.place < (entry.inView && entry.rests ? reaches_[which].keeps() : reaches_[which].now());
  });
}

void View::tell(Entry& entry, Changes& changes) {
  bool is = belongs(entry), changed = entry.changed;
  entry.changed = false;
  if (is ? entry.inView && !changed : !entry.inView)
    return;
  if (entry.state == EngineState::inService)
    used_ += size_t(int(is) - int(entry.inView));
  entry.inView = is;
  Listing& told = changes.emplace_back(listingOf(entry));
  if (is)
    return;
  told.row.state = EngineState::removed;
  // Nobody looks at it any more. No class is short of engines as far out as that: none comes to count on it.
  if (entry.rests)
    index(entry, false), entry.rests = false, index(entry, true);
}

void View::settle(double now, Changes& changes) {
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
  for (Reach& reach : reaches_) {
    int from = reach.now(), to = reach.keeps();
    reach.settle(now);
    if (from == reach.now() && to == reach.keeps())
      continue;
    from = std::min(from, reach.now()), to = std::max(to, reach.now());
    for (auto at = near_.lower_bound({from, 0}); at != near_.end() && at->first < to; ++at)
      touched_.push_back(at->second);
  }
  for (size_t i = 0; i < reaches_.size(); ++i)
    if (reaches_[i].served())
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

void View::rests(uint32_t engine, bool is) {
  Entry* entry = find(engine);
  if (!entry || !entry->inView || entry->rests == is)
    return;
  index(*entry, false), entry->rests = is, index(*entry, true);
  due_ = true;
}

std::vector<Listing> View::tick(double now) {
  Changes changes;
  settle(now, changes);
  return changes;
}

double View::wakes() const {
  if (due_)
    return now_;
  double at = cold_.empty() ? HUGE_VAL : warmAt(cold_.begin()->first);
  for (auto& reach : reaches_)
    at = std::min(at, reach.wakes());
  return at;
}

// --- what is said
std::vector<std::string> View::lines() {
  std::vector<std::string> lines;
  for (size_t i = 0; i < reaches_.size(); ++i) {
    Reach& reach = reaches_[i];
    if (reach.listed() == 0 || reach.served() || told_[i])
      continue;
    told_[i] = true;
    int rest = 0, cold = 0;
    for (auto& [place, id] : near_) {
      const Entry& entry = *find(id);
      auto& classes = makes_[entry.make].classes;
      if (entry.state != EngineState::inService || std::ranges::find(classes, i) == classes.end())
        continue;
      rest += entry.rests, cold += entry.cold && !entry.inView;
    }
    lines.push_back(lineOf(
        Wrong::noEngine,
        "none of its " + std::to_string(reach.listed()) + " engines can be used: " + std::to_string(rest) +
            " in view rest, " + std::to_string(cold) +
            " start and are other dispatchers' to warm; looked as far as place " +
            std::to_string(reach.bound()) + " of " + std::to_string(settings_.gatewayCount),
        "class " + reach.name()));
  }
  return lines;
}

Figures View::figures() const {
  Figures figures{listed_, used_, base_, ranked_, near_.size()};
  for (auto& reach : reaches_)
    figures.reach = std::max(figures.reach, reach.now());
  return figures;
}

}  // namespace elmcleat::view
