// Compares four subsetting methods, the load of engines by the number of their users, and measures the cost
// of EngineSubset at the target size. Prints Markdown tables; takes about two minutes; with any argument only
// the costs.
//   rendezvous an engine is used by the k dispatchers that rank first at it (src/view) rounds deterministic
//   subsetting: the list is shuffled per round; the N / k dispatchers of a round take slices ring consistent
//   hashing, 64 points per dispatcher; an engine is used by the next k from its own point random each
//   dispatcher draws E k / N engines of the list by its own seed
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <functional>
#include <numeric>
#include <random>
#include <vector>

#include "view/engine_subset.h"
#include "view/rendezvous_rank.h"

using namespace elmcleat;
using namespace elmcleat::view;

namespace {

using Ids = std::vector<uint32_t>;  // of engines, in the order of a list

double seconds() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
double medianOf(int times, const std::function<void()>& work) {
  std::vector<double> took;
  for (int i = 0; i < times; ++i) {
    double began = seconds();
    work();
    took.push_back(seconds() - began);
  }
  std::ranges::nth_element(took, took.begin() + times / 2);
  return took[size_t(times / 2)];
}
Ids idsOf(uint32_t engines) {
  Ids ids(engines);
  std::iota(ids.begin(), ids.end(), 1000);
  return ids;
}

// A method returns the engines of one dispatcher, as indices into its list.
struct Method {
  const char* name;
  std::function<std::vector<uint32_t>(const Ids& list, int ordinal, int dispatchers, int users)> subset;
};

std::vector<uint32_t> rendezvous(const Ids& list, int ordinal, int dispatchers, int users) {
  std::vector<uint32_t> mine;
  for (uint32_t e = 0; e < list.size(); ++e)
    if (rendezvousRank(list[e], ordinal, dispatchers, users) < users)
      mine.push_back(e);
  return mine;
}

std::vector<uint32_t> shuffled(size_t engines, uint64_t seed,
                               size_t first) {  // only the first ones are shuffled
  std::vector<uint32_t> all(engines);
  std::iota(all.begin(), all.end(), 0);
  std::mt19937_64 random(seed * 0x9e3779b97f4a7c15 + 1);
  for (size_t i = 0; i < first; ++i)
    std::swap(all[i], all[i + random() % (engines - i)]);
  return all;
}
std::vector<uint32_t> rounds(const Ids& list, int ordinal, int dispatchers, int users) {
  size_t slices = size_t(std::max(1, dispatchers / users)), slice = size_t(ordinal) % slices,
         size = list.size();
  auto all = shuffled(size, size_t(ordinal) / slices, size);
  return {all.begin() + ptrdiff_t(slice * size / slices),
          all.begin() + ptrdiff_t((slice + 1) * size / slices)};
}
std::vector<uint32_t> randomly(const Ids& list, int ordinal, int dispatchers, int users) {
  size_t part = list.size() * size_t(users) / size_t(dispatchers);
  auto all = shuffled(list.size(), uint64_t(ordinal) + 77, part);
  all.resize(part);
  return all;
}

struct Ring {  // the points of all dispatchers
  explicit Ring(int dispatchers) {
    for (int d = 0; d < dispatchers; ++d)
      for (uint32_t point = 0; point < 64; ++point)
        points.push_back({rendezvousWeight(~point, uint32_t(d)), d});
    std::ranges::sort(points);
  }
  template <class Visit>  // until `visit` returns true
  void next(uint32_t engine, int users, std::vector<int>& seen, Visit&& visit) const {
    auto at = std::ranges::lower_bound(points, std::pair{rendezvousWeight(engine, 0xffffff), 0});
    seen.clear();
    while (int(seen.size()) < users) {
      if (at == points.end())
        at = points.begin();
      if (std::ranges::find(seen, at->second) == seen.end()) {
        seen.push_back(at->second);
        if (visit(at->second))
          return;
      }
      ++at;
    }
  }
  std::vector<std::pair<uint64_t, int>> points;
};
std::vector<uint32_t> ring(const Ids& list, int ordinal, int dispatchers, int users) {
  Ring ring(dispatchers);
  std::vector<uint32_t> mine;
  std::vector<int> seen;
  for (uint32_t e = 0; e < list.size(); ++e)
    ring.next(list[e], users, seen, [&](int d) { return d == ordinal && (mine.push_back(e), true); });
  return mine;
}

// The subsets of all dispatchers, by engine: its users in ascending order. Methods that work by engine are
// computed by engine: one subset after the other would take minutes.
using Users = std::vector<std::vector<uint16_t>>;
Users usersOf(const Method& method, const Ids& list, int dispatchers, int users, const Ids* older = nullptr) {
  Users all(list.size());
  bool byRing = std::string(method.name) == "ring";
  if (byRing || std::string(method.name) == "rendezvous") {
    Ring ring(byRing ? dispatchers : 0);
    std::vector<int> seen;
    std::vector<std::pair<uint64_t, uint16_t>> order(static_cast<size_t>(dispatchers));
    for (size_t e = 0; e < list.size(); ++e) {
      if (byRing) {
        ring.next(list[e], users, seen, [&](int d) { return all[e].push_back(uint16_t(d)), false; });
      } else {
        for (int d = 0; d < dispatchers; ++d)
          order[size_t(d)] = {~rendezvousWeight(list[e], uint32_t(d)), uint16_t(d)};
        std::ranges::nth_element(order, order.begin() + users);
        for (int i = 0; i < users; ++i)
          all[e].push_back(order[size_t(i)].second);
      }
      if (older && e >= older->size())
        std::erase_if(all[e], [](auto d) { return d % 2; });  // half of the dispatchers do not list it
      std::ranges::sort(all[e]);
    }
  } else {
    for (int d = 0; d < dispatchers; ++d)
      for (uint32_t e : method.subset(older && d % 2 ? *older : list, d, dispatchers, users))
        all[e].push_back(uint16_t(d));
  }
  return all;
}
size_t moved(const Users& from, const Users& to) {
  size_t count = 0;
  std::vector<uint16_t> differ;
  for (size_t e = 0; e < to.size(); ++e) {
    differ.clear();
    static const std::vector<uint16_t> kNoUsers;
    std::ranges::set_symmetric_difference(e < from.size() ? from[e] : kNoUsers, to[e],
                                          std::back_inserter(differ));
    count += differ.size();
  }
  return count;
}

void compare(const std::vector<Method>& methods, int dispatchers, uint32_t engines) {
  Ids list = idsOf(engines), more = idsOf(engines + 1), older = idsOf(engines - engines / 100);
  std::printf(
      "\n%d dispatchers, %u engines. Moved: entries of all views together. Older: half of the dispatchers "
      "lack the "
      "newest hundredth of the list; the most users of an engine then.\n\n"
      "| way | k | users of an engine: least / mean / p99 / most | engines of a dispatcher: least / mean / "
      "most | "
      "moved by an engine more | moved by a dispatcher more | older: most users | one view, ms |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- |\n",
      dispatchers, engines);
  for (auto& method : methods)
    for (int users : {8, 16, 24, 32, 48, 96}) {
      Users all = usersOf(method, list, dispatchers, users);
      std::vector<size_t> by, of(static_cast<size_t>(dispatchers));
      for (auto& one : all) {
        by.push_back(one.size());
        for (auto d : one)
          ++of[d];
      }
      std::ranges::sort(by);
      std::ranges::sort(of);
      size_t sum = std::accumulate(by.begin(), by.end(), size_t{0}), most = 0;
      for (auto& one : usersOf(method, list, dispatchers, users, &older))
        most = std::max(most, one.size());
      bool expensive = users == 24 || users == 96;  // the others show the same
      size_t engine = expensive ? moved(all, usersOf(method, more, dispatchers, users)) : 0;
      size_t dispatcher = expensive ? moved(all, usersOf(method, list, dispatchers + 1, users)) : 0;
      double took = medianOf(5, [&] { method.subset(list, dispatchers / 2, dispatchers, users); });
      std::printf("| %s | %d | %zu / %.1f / %zu / %zu | %zu / %.0f / %zu | ", method.name, users, by.front(),
                  double(sum) / engines, by[by.size() * 99 / 100], by.back(), of.front(),
                  double(sum) / dispatchers, of.back());
      expensive ? std::printf("%zu | %zu", engine, dispatcher) : std::printf("- | -");
      std::printf(" | %zu | %.1f |\n", most, took * 1000);
      std::fflush(stdout);
    }
}

// Utilisation of engines over its mean if each dispatcher spreads its traffic over its subset by capacity and
// ignores how busy the engines are. The module does consider that, so this is the worst case that it starts
// from.
struct Load {
  const char* what;
  double heavy,
      bound;  // traffic of a tenth of the dispatchers against the others'; its part bound to the own zone
  double p99 = 0, most = 0;
};
void addLoad(Load& sum, const Users& users, int dispatchers, uint64_t seed) {
  std::mt19937_64 random(seed);
  size_t engines = users.size(), count = size_t(dispatchers);
  std::vector<double>
      sizes;  // of 16 zones, the largest three times the smallest, for engines and dispatchers
  for (int zone = 0; zone < 16; ++zone)
    sizes.push_back(1 + zone / 7.5);
  std::discrete_distribution<int> zones(sizes.begin(), sizes.end()), kinds({4, 3, 1});
  std::vector<int> zoneOf(engines), home(count);
  std::vector<double> capacity(engines), traffic(count), subsetCapacity(count), ownZoneCapacity(count),
      load(engines);
  for (size_t e = 0; e < engines; ++e) {
    zoneOf[e] = zones(random);
    capacity[e] = 8 << kinds(random);
  }
  for (size_t d = 0; d < count; ++d) {
    home[d] = zones(random);
    traffic[d] = random() % 10 == 0 ? sum.heavy : 1;
  }
  for (size_t e = 0; e < engines; ++e)
    for (auto d : users[e]) {
      subsetCapacity[d] += capacity[e];
      ownZoneCapacity[d] += home[d] == zoneOf[e] ? capacity[e] : 0;
    }
  double work = 0, all = 0;
  for (size_t e = 0; e < engines; ++e) {
    for (auto d : users[e]) {
      double bound = ownZoneCapacity[d] > 0 ? sum.bound : 0;
      load[e] += traffic[d] *
                 ((1 - bound) / subsetCapacity[d] + (home[d] == zoneOf[e] ? bound / ownZoneCapacity[d] : 0));
    }
    work += load[e] * capacity[e];
    all += capacity[e];
  }
  std::ranges::sort(load);
  sum.p99 += load[engines * 99 / 100] / (work / all);
  sum.most += load.back() / (work / all);
}
void loads(const std::vector<Method>& methods, int dispatchers, uint32_t engines) {
  constexpr int kDraws = 3;
  std::vector<std::string> tables;
  std::vector<Load> kinds = {
      {"all dispatchers have the same traffic", 1, 0},
      {"a tenth of the dispatchers has ten times the traffic of the others", 10, 0},
      {"the same, and 0.3 of the traffic is bound to the dispatcher's own zone", 10, 0.3}};
  for (auto& kind : kinds) {
    std::string& table = tables.emplace_back(std::string(kind.what) + ":\n\n| k |");
    for (auto& method : methods)
      table.append(" ").append(method.name).append(" |");
    table += "\n| --- | --- | --- | --- | --- |\n";
  }
  auto add = [&](const Users& users) {
    for (size_t i = 0; i < kinds.size(); ++i) {
      Load load = kinds[i];
      for (uint64_t seed = 1; seed <= kDraws; ++seed)
        addLoad(load, users, dispatchers, seed);
      char text[60];
      std::snprintf(text, sizeof text, " %.2f / %.2f |", load.p99 / kDraws, load.most / kDraws);
      tables[i] += text;
    }
  };
  for (int users : {8, 16, 24, 32, 48, 96, 200}) {
    for (auto& table : tables)
      table.append("| ").append(std::to_string(users)).append(" |");
    for (auto& method : methods)
      add(usersOf(method, idsOf(engines), dispatchers, users));
    for (auto& table : tables)
      table += "\n";
  }
  Users whole(engines);
  for (auto& one : whole) {
    one.resize(size_t(dispatchers));
    std::iota(one.begin(), one.end(), uint16_t{0});
  }
  for (auto& table : tables)
    table += "| all: the whole list |";
  add(whole);
  std::printf(
      "\nUtilisation of engines over its mean, p99 / most; %d dispatchers, %u engines of three kinds in 16 "
      "unequal zones; "
      "mean of three draws of who and what is where.\n",
      dispatchers, engines);
  for (auto& table : tables)
    std::printf("\n%s | | |\n", table.c_str());
}

void costs(int dispatchers, uint32_t engines) {
  Settings settings;
  settings.gatewayCount = dispatchers;
  settings.ordinal = dispatchers / 3;
  settings.coldDuration = 30;
  settings.profiles.resize(3);
  settings.profiles[1].allowedZones = {"z3"};
  settings.profiles[2].allowedKinds = {"k2"};
  EngineListEvent list{1, true, {}};
  for (uint32_t i = 0; i < engines; ++i) {
    ListedEngine& one = list.engines.emplace_back();
    one.record.id = 1000 + 2 * i;
    one.address = {0x7f000000 + i, 4200};
    one.record.zone = std::string("z").append(std::to_string(i % 16));
    one.record.kind = std::string("k").append(std::to_string(i / 16 % 8 ? i % 2 : 2));
  }
  double now = 1e9;
  SubsetSettings subsetSettings;
  double start = medianOf(5, [&] { EngineSubset(subsetSettings, settings).apply(list, now); });
  auto bytes = [] {
    auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
  };
  malloc_trim(0);
  size_t before = bytes();
  EngineSubset subset(subsetSettings, settings);
  Ids inSubset;
  for (auto& change : subset.apply(list, now))
    inSubset.push_back(change.record.id);
  size_t held = bytes() - before;
  SubsetStatistics figures = subset.statistics();
  auto us = [](double took) { return took * 1e6; };
  double same = medianOf(21, [&] { subset.apply(list, now += 1); });
  double idle = medianOf(1001, [&] { subset.tick(now += 0.1); });
  uint32_t id = 0;
  double one = medianOf(1001, [&] {
    ListedEngine row = list.engines[++id * 37 % engines];
    row.record.cell = int(id);
    subset.apply({1, false, {row}}, now += 1);
  });
  double comes = medianOf(501, [&] {  // in the middle of the list
    ListedEngine row = list.engines[++id * 7919 % engines];
    ++row.record.id;
    subset.apply({1, false, {row}}, now += 1);
  });
  double goes = medianOf(501, [&] {
    ListedEngine row = list.engines[++id * 7919 % engines];
    row.record.state = EngineState::removed;
    subset.apply({1, false, {row}}, now += 1);
  });
  subset.apply(list, now += 1);
  bool is = false;
  double rest = medianOf(1001, [&] {
    subset.setEjected(inSubset[id++ / 2 % inSubset.size()], is = !is), subset.tick(now += 0.1);
  });
  subset.apply({1, true, {}}, now += 1);
  subset.apply(list, now += 1);
  while (subset.nextWakeUp() < HUGE_VAL)
    subset.tick(now = subset.nextWakeUp());  // until it has narrowed again
  EngineListEvent zone{1, false, {}};
  for (auto& row : list.engines)
    if (row.record.zone == "z5")
      zone.engines.push_back(row);
  auto timed = [&](auto&& work) {
    double began = seconds();
    size_t changes = work();
    return std::pair{seconds() - began, changes};
  };
  for (auto& row : zone.engines)
    row.record.state = EngineState::removed;
  auto gone = timed([&] { return subset.apply(zone, now += 60).size(); });
  for (auto& row : zone.engines) {
    row.record.state = EngineState::inService;
    row.startedAtUnixMs = int64_t(now * 1000) + 60000;
  }
  auto back = timed([&] { return subset.apply(zone, now += 60).size(); });
  auto warm = timed([&] { return subset.tick(now += 31).size(); });
  std::printf(
      "\n%d dispatchers, %u engines, users %d, at most %d, three classes.\n\n"
      "| what | time, us | entries told |\n| --- | --- | --- |\n"
      "| start: the whole list | %.0f | %zu |\n| whole list, nothing new | %.0f | 0 |\n"
      "| one engine's row changes | %.1f | |\n| one engine more | %.1f | |\n| one engine less | %.1f | |\n"
      "| one is found unfit or fit, and a tick | %.2f | |\n| a tick with nothing to do | %.2f | 0 |\n"
      "| %zu engines gone in one event | %.0f | %zu |\n| back, cold, in one event | %.0f | %zu |\n"
      "| warm, in one tick | %.0f | %zu |\n\n"
      "In view %zu, reach %d; %zu bytes held, %.1f an engine, those in view included.\n",
      dispatchers, engines, subsetSettings.usersPerEngine, subsetSettings.maxUsersPerEngine, us(start),
      inSubset.size(), us(same), us(one), us(comes), us(goes), us(rest), us(idle), zone.engines.size(),
      us(gone.first), gone.second, us(back.first), back.second, us(warm.first), warm.second, figures.inUse,
      figures.depth, held, double(held) / engines);
}

}  // namespace

int main(int count, char**) {
  std::vector<Method> methods = {
      {"rendezvous", rendezvous}, {"rounds", rounds}, {"ring", ring}, {"random", randomly}};
  for (auto [dispatchers, engines] : {std::pair{240, 4400u}, {2400, 44000u}}) {
    if (count > 1)
      break;
    compare(methods, dispatchers, engines);
    loads(methods, dispatchers, engines);
  }
  for (auto [dispatchers, engines] : {std::pair{38, 344u}, {150, 1376u}, {600, 11000u}, {2400, 44000u}})
    costs(dispatchers, engines);
  return 0;
}
