#include "lab/members_scale.h"

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <mutex>
#include <thread>

#include "config/gateway_config.h"
#include "members_schema.h"

namespace elmcleat::lab {
namespace {

constexpr double kAfter = 30;   // seconds of the end of a scene: all back, healed, no more restarts
constexpr double kSettle = 10;  // and before its begin, once all agree

// From its making to close(): one phase.
class Meter {
 public:
  Meter(MembershipSimulation& fleet, int size, std::string name) : fleet_(fleet), size_(size) {
    phase_.name = std::move(name);
    fleet_.reset(), began_ = fleet_.now();
  }
  void agrees(double most) { phase_.agreedIn = fleet_.runUntilConverged(most); }
  void sample(double heldWrongly) { held_ += heldWrongly, ++samples_; }
  Phase close(double lasts) {
    fleet_.run(std::max(began_ + lasts, fleet_.now()));
    int there = 0;
    for (int i = 0; i < size_; ++i) {
      there += fleet_.isRunning(i);
      phase_.worstOfWorst = std::max(phase_.worstOfWorst, fleet_.traffic(i).worst());
    }
    double each = (fleet_.now() - began_) * there;
    phase_.bytes = double(fleet_.all().bytes()) / each, phase_.worst = fleet_.all().worst() / there;
    phase_.messages = double(fleet_.messages()) / each, phase_.cores = fleet_.cpu() / each;
    phase_.heldWrongly = samples_ ? held_ / samples_ : 0, phase_.wrongDowns = fleet_.falseDownDetections();
    phase_.streamsAtOnce = fleet_.streamsAtOnce(), phase_.largest = double(fleet_.largest());
    return phase_;
  }

 private:
  MembershipSimulation& fleet_;
  int size_, samples_ = 0;
  double began_ = 0, held_ = 0;
  Phase phase_;
};

void churn(MembershipSimulation& fleet, const MembersScene& scene, int size, double each, Meter& meter) {
  double ends = fleet.now() + scene.lasts, next = fleet.now(), sampled = fleet.now();
  std::vector<std::pair<double, int>> away;  // when it starts again; the first is the earliest
  while (fleet.now() < ends || !away.empty()) {
    bool starts = !away.empty() && (away[0].first <= next || next >= ends);
    fleet.run(starts ? away[0].first : next);
    if (starts) {
      fleet.start(away[0].second), away.erase(away.begin());
      continue;
    }
    int who = int(fleet.chance().next() % uint32_t(size));
    if (fleet.isRunning(who))
      fleet.leave(who), away.push_back({fleet.now() + scene.awayTime, who});
    next += each;
    if (fleet.now() >= sampled + 5)
      sampled = fleet.now(), meter.sample(fleet.inaccurateShare());
  }
}

// While regions are cut off: part of what is held that is not "my own region is there, and nobody else".
double heldOfOtherRegions(const MembershipSimulation& fleet, int size) {
  double wrong = 0;
  for (int a = 0; a < size; ++a)
    for (int b = 0; b < size; ++b)
      wrong += fleet.membership(a).statusOf(b).isPresent() != (fleet.regionOf(a) == fleet.regionOf(b));
  return wrong / size / size;
}

}  // namespace

SceneResult simulate(const MembersScene& scene, int size, int regions, uint64_t seed, int target) {
  using Kind = MembersScene::Kind;
  SceneResult played;
  MembershipSimulation fleet(MembershipSimulation::settingsFor(size), seed);
  fleet.regions(regions);
  if (scene.kind == Kind::quiet) {
    Meter meter(fleet, size, "all start");
    fleet.startAll(), meter.agrees(kAfter);
    played.phases.push_back(meter.close(kAfter));
  } else {
    fleet.startAll();
    if (fleet.runUntilConverged(60) < 0)
      played.broken = "no agreement within 60 s of the start";
  }
  fleet.run(fleet.now() + kSettle);
  Meter first(fleet, size, scene.name);
  switch (scene.kind) {
    case Kind::quiet:
      played.phases.push_back(first.close(scene.lasts));
      break;
    case Kind::lost: {
      int count = std::max(1, int(std::lround(scene.part * size)));
      for (int i = 1; i <= count; ++i)
        fleet.kill(i);
      first.agrees(scene.lasts), played.phases.push_back(first.close(scene.lasts));
      Meter back(fleet, size, scene.name + ", back");
      for (int i = 1; i <= count; ++i)
        fleet.start(i);
      back.agrees(kAfter), played.phases.push_back(back.close(kAfter));
      break;
    }
    case Kind::apart: {
      auto cut = [&](bool is) {
        for (int a = 0; a < size; ++a)
          for (int b = 0; b < size; ++b)
            if (fleet.regionOf(a) != fleet.regionOf(b))
              fleet.cut(a, b, is);
      };
      cut(true), fleet.run(fleet.now() + scene.lasts);
      first.sample(heldOfOtherRegions(fleet, size));
      played.phases.push_back(first.close(scene.lasts));
      Meter healed(fleet, size, scene.name + ", healed");
      cut(false), healed.agrees(kAfter), played.phases.push_back(healed.close(kAfter));
      break;
    }
    case Kind::restarts: {
      churn(fleet, scene, size, target / scene.restartsAt / size, first);
      played.phases.push_back(first.close(scene.lasts));
      Meter after(fleet, size, scene.name + ", over");
      after.agrees(kAfter), played.phases.push_back(after.close(kAfter));
      break;
    }
  }
  if (played.broken.empty())
    played.broken = fleet.violation();
  return played;
}

double bytesOfCore(int size) {
  using namespace members;
  MembershipSettings plan = MembershipSimulation::settingsFor(size);
  auto inUse = [] {
    auto info = ::mallinfo2();
    return double(info.uordblks + info.hblkhd);
  };
  double before = inUse();
  MessageCodec wire(plan);
  Membership membership(plan, 0, {5, 1}, 1, 0);
  Message message;
  message.kind = MessageKind::syncResponse, message.from = 1, message.to = 0, message.instance = 5,
  message.sequence = 1;
  for (int i = 1; i < size; ++i)
    message.updates.push_back({i, {5, 1, MemberState::alive}, kNoMember});
  membership.receive(0, message), membership.tick(1), membership.takeOutgoing(), membership.takeEvents();
  message = {};
  return inUse() - before;
}

MembersPlan readMembersPlan(const std::string& path) {
  Json document = readJson(path);
  if (auto errors = validateSchema(document, kMembersSchema, path); !errors.empty())
    throw ValidationErrors(std::move(errors));
  const Section file(document);
  MembersPlan plan;
  plan.sizes = document["sizes"].get<std::vector<int>>(),
  plan.seeds = document["seeds"].get<std::vector<int>>();
  if (plan.seeds.size() != plan.sizes.size())
    throw ValidationErrors({path + ": seeds: one number a size is needed"});
  plan.regions = file.get("regions", plan.regions), plan.target = file.get("target", plan.target);
  for (auto& row : file.items("scenes")) {
    using Kind = MembersScene::Kind;
    MembersScene& scene = plan.scenes.emplace_back();
    scene.name = row.required<std::string>("name");
    scene.kind = row.choice<Kind>(
        "kind", "quiet",
        {{"quiet", Kind::quiet}, {"lost", Kind::lost}, {"apart", Kind::apart}, {"restarts", Kind::restarts}});
    scene.lasts = row.get("lasts", scene.lasts), scene.part = row.get("part", scene.part);
    scene.restartsAt = row.get("restartsAt", 1.0), scene.awayTime = row.get("awayTime", scene.awayTime);
    scene.sizes = row.get("sizes", plan.sizes), scene.seeds = row.get("seeds", scene.seeds);
  }
  return plan;
}

namespace {

struct Job {
  const MembersScene* scene;
  int size, seed;
  double cost() const { return 1e9 * size + size * scene->lasts; }  // large ones first, whatever they play
};

struct Column {  // of a phase: how it is named and read, and what it may be
  const char *name, *unit;
  double Phase::*of;
  double MembersPlan::*limit;
};
constexpr Column kColumns[] = {
    {"members.agreed", "s", &Phase::agreedIn, nullptr},
    {"members.bytes", "B/s", &Phase::bytes, &MembersPlan::limitBytes},
    {"members.bytes.worst", "B/s", &Phase::worst, &MembersPlan::limitBytes},
    {"members.bytes.worst.member", "B/s", &Phase::worstOfWorst, &MembersPlan::limitBytes},
    {"members.messages", "1/s", &Phase::messages, nullptr},
    {"members.cores", "cores", &Phase::cores, &MembersPlan::limitCores},
    {"members.wrong.held", "part", &Phase::heldWrongly, nullptr},
    {"members.wrong.downs", "", &Phase::wrongDowns, nullptr},
    {"members.streams", "", &Phase::streamsAtOnce, nullptr},
    {"members.largest", "B", &Phase::largest, nullptr},
};

using Results = std::map<std::string, std::map<int, std::vector<Phase>>>;  // by phase and size: a seed each

void addFigures(const MembersPlan& plan, const Results& results, FiguresFile& file) {
  for (auto& column : kColumns)
    for (auto& [name, bySize] : results) {
      Figure figure;
      figure.name = column.name, figure.variant = name, figure.unit = column.unit, figure.xName = "members";
      figure.target = plan.target;
      if (column.limit)
        figure.limit = plan.*column.limit;
      for (auto& [size, phases] : bySize) {
        std::vector<double> all;
        for (auto& phase : phases)
          all.push_back(phase.*column.of);
        if (std::ranges::count_if(all, [](double one) { return one < 0; })) {
          file.missing.push_back({figure.name, name, "no agreement within the part", double(size)});
          continue;
        }
        figure.take(size, std::move(all));
      }
      bool told = std::ranges::any_of(figure.ys, [](double one) { return one > 0; });
      if (told || column.of == &Phase::wrongDowns)
        file.figures.push_back(std::move(figure));
    }
}

}  // namespace

void addEarlier(FiguresFile& file, const FiguresFile& earlier) {
  for (auto& old : earlier.figures) {
    auto same = [&](auto& one) { return one.name == old.name && one.variant == old.variant; };
    auto figure = std::ranges::find_if(file.figures, same);
    if (figure == file.figures.end()) {
      file.figures.push_back(old);
      continue;
    }
    for (size_t i = 0; i < old.xs.size(); ++i) {
      auto place = std::ranges::lower_bound(figure->xs, old.xs[i]) - figure->xs.begin();
      if (size_t(place) < figure->xs.size() && figure->xs[size_t(place)] == old.xs[i])
        continue;
      figure->xs.insert(figure->xs.begin() + place, old.xs[i]);
      figure->ys.insert(figure->ys.begin() + place, old.ys[i]);
      if (!old.repeats.empty())
        figure->repeats.insert(figure->repeats.begin() + place, old.repeats[i]);
    }
  }
  file.missing.insert(file.missing.end(), earlier.missing.begin(), earlier.missing.end());
}

FiguresFile runMembersScale(const MembersPlan& plan, int threads,
                            const std::function<void(const FiguresFile&, const std::string&)>& done) {
  FiguresFile base;
  base.machine = machineHere();
  Figure memory{"members.memory",
                "",
                "MB",
                "members",
                {},
                {},
                {},
                double(plan.target),
                plan.limitMb,
                "a core that has heard of all, and the wire's names"};
  for (int size : plan.sizes)
    memory.xs.push_back(size), memory.ys.push_back(bytesOfCore(size) / 1e6);
  base.figures.push_back(memory);

  std::vector<Job> jobs;
  for (auto& scene : plan.scenes)
    for (size_t i = 0; i < plan.sizes.size(); ++i)
      if (std::ranges::count(scene.sizes, plan.sizes[i]))
        for (int seed = 1; seed <= std::min(plan.seeds[i], scene.seeds); ++seed)
          jobs.push_back({&scene, plan.sizes[i], seed});
  std::ranges::stable_sort(jobs, std::greater{}, &Job::cost);
  std::mutex lock;
  size_t next = 0;
  Results results;
  FiguresFile file = base;
  auto work = [&] {
    while (true) {
      Job job{};
      {
        std::lock_guard held(lock);
        if (next == jobs.size())
          return;
        job = jobs[next++];
      }
      SceneResult played = simulate(*job.scene, job.size, plan.regions, uint64_t(job.seed), plan.target);
      std::lock_guard held(lock);
      std::string line =
          job.scene->name + ", " + std::to_string(job.size) + ", seed " + std::to_string(job.seed);
      if (!played.broken.empty()) {
        base.missing.push_back({"members", job.scene->name, played.broken, double(job.size)});
        line += ": BROKEN " + played.broken;
      } else
        for (auto& phase : played.phases)
          results[phase.name][job.size].push_back(phase);
      file = base;
      addFigures(plan, results, file);
      done(file, line);
    }
  };
  std::vector<std::thread> others;
  for (int i = 1; i < threads; ++i)
    others.emplace_back(work);
  work();
  for (auto& other : others)
    other.join();
  return file;
}

}  // namespace elmcleat::lab
