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

constexpr double kRecoveryDuration =
    30;                                 // seconds of a scene's last phase: all back, healed, no more restarts
constexpr double kSettleDuration = 10;  // seconds before a scene begins, once all agree
constexpr double kStartTimeout = 60;    // seconds in which all must agree after the start
constexpr double kSampleInterval = 5;

// Measures one phase, from its construction to finish().
class PhaseMeter {
 public:
  PhaseMeter(MembershipSimulation& fleet, int size, std::string name) : fleet_(fleet), size_(size) {
    phase_.name = std::move(name);
    fleet_.reset();
    startedAt_ = fleet_.now();
  }
  void awaitConvergence(double timeout) { phase_.convergenceTime = fleet_.runUntilConverged(timeout); }
  void sample(double inaccurateShare) {
    inaccurateSum_ += inaccurateShare;
    ++samples_;
  }
  // Runs to the end of the phase's duration, if that is not reached yet.
  Phase finish(double duration) {
    fleet_.run(std::max(startedAt_ + duration, fleet_.now()));
    int running = 0;
    for (int i = 0; i < size_; ++i) {
      running += fleet_.isRunning(i);
      phase_.worstMemberBytesPerSecond =
          std::max(phase_.worstMemberBytesPerSecond, fleet_.traffic(i).worst());
    }
    double memberSeconds = (fleet_.now() - startedAt_) * running;
    phase_.bytesPerSecond = double(fleet_.totalTraffic().bytes()) / memberSeconds;
    phase_.worstBytesPerSecond = fleet_.totalTraffic().worst() / running;
    phase_.messagesPerSecond = double(fleet_.messages()) / memberSeconds;
    phase_.cores = fleet_.cpu() / memberSeconds;
    phase_.inaccurateShare = samples_ ? inaccurateSum_ / samples_ : 0;
    phase_.falseDowns = fleet_.falseDownDetections();
    phase_.maxConcurrentStreams = fleet_.maxConcurrentStreams();
    phase_.largestMessage = double(fleet_.largestMessage());
    return phase_;
  }

 private:
  MembershipSimulation& fleet_;
  int size_;
  int samples_ = 0;
  double startedAt_ = 0;
  double inaccurateSum_ = 0;
  Phase phase_;
};

// Restarts a random member every `interval` seconds. Returns when all are back.
void runRestarts(MembershipSimulation& fleet, const MembersScene& scene, int size, double interval,
                 PhaseMeter& meter) {
  double endsAt = fleet.now() + scene.duration;
  double nextLeaveAt = fleet.now();
  double sampledAt = fleet.now();
  std::vector<std::pair<double, int>> away;  // time of the start and member; the earliest first
  while (fleet.now() < endsAt || !away.empty()) {
    bool startIsNext = !away.empty() && (away[0].first <= nextLeaveAt || nextLeaveAt >= endsAt);
    fleet.run(startIsNext ? away[0].first : nextLeaveAt);
    if (startIsNext) {
      fleet.start(away[0].second);
      away.erase(away.begin());
      continue;
    }
    int member = int(fleet.random().next() % uint32_t(size));
    if (fleet.isRunning(member)) {
      fleet.leave(member);
      away.push_back({fleet.now() + scene.restartDowntime, member});
    }
    nextLeaveAt += interval;
    if (fleet.now() >= sampledAt + kSampleInterval) {
      sampledAt = fleet.now();
      meter.sample(fleet.inaccurateShare());
    }
  }
}

// While regions are partitioned: share of the states held that are not "present exactly if in my own region".
double inaccurateRegionShare(const MembershipSimulation& fleet, int size) {
  double inaccurate = 0;
  for (int a = 0; a < size; ++a)
    for (int b = 0; b < size; ++b)
      inaccurate += fleet.membership(a).statusOf(b).isPresent() != (fleet.regionOf(a) == fleet.regionOf(b));
  return inaccurate / size / size;
}

}  // namespace

SceneResult simulate(const MembersScene& scene, int size, int regions, uint64_t seed, int target) {
  using Kind = MembersScene::Kind;
  SceneResult result;
  MembershipSimulation fleet(MembershipSimulation::settingsFor(size), seed);
  fleet.setRegionCount(regions);
  if (scene.kind == Kind::quiet) {
    PhaseMeter meter(fleet, size, "all start");
    fleet.startAll();
    meter.awaitConvergence(kRecoveryDuration);
    result.phases.push_back(meter.finish(kRecoveryDuration));
  } else {
    fleet.startAll();
    if (fleet.runUntilConverged(kStartTimeout) < 0)
      result.violation = "no agreement within 60 s of the start";
  }
  fleet.run(fleet.now() + kSettleDuration);
  PhaseMeter first(fleet, size, scene.name);
  switch (scene.kind) {
    case Kind::quiet:
      result.phases.push_back(first.finish(scene.duration));
      break;
    case Kind::lost: {
      int count = std::max(1, int(std::lround(scene.lostShare * size)));
      for (int i = 1; i <= count; ++i)
        fleet.kill(i);
      first.awaitConvergence(scene.duration);
      result.phases.push_back(first.finish(scene.duration));
      PhaseMeter back(fleet, size, scene.name + ", back");
      for (int i = 1; i <= count; ++i)
        fleet.start(i);
      back.awaitConvergence(kRecoveryDuration);
      result.phases.push_back(back.finish(kRecoveryDuration));
      break;
    }
    case Kind::apart: {
      auto partitionRegions = [&](bool isCut) {
        for (int a = 0; a < size; ++a)
          for (int b = 0; b < size; ++b)
            if (fleet.regionOf(a) != fleet.regionOf(b))
              fleet.cut(a, b, isCut);
      };
      partitionRegions(true);
      fleet.run(fleet.now() + scene.duration);
      first.sample(inaccurateRegionShare(fleet, size));
      result.phases.push_back(first.finish(scene.duration));
      PhaseMeter healed(fleet, size, scene.name + ", healed");
      partitionRegions(false);
      healed.awaitConvergence(kRecoveryDuration);
      result.phases.push_back(healed.finish(kRecoveryDuration));
      break;
    }
    case Kind::restarts: {
      runRestarts(fleet, scene, size, target / scene.restartsPerSecond / size, first);
      result.phases.push_back(first.finish(scene.duration));
      PhaseMeter after(fleet, size, scene.name + ", over");
      after.awaitConvergence(kRecoveryDuration);
      result.phases.push_back(after.finish(kRecoveryDuration));
      break;
    }
  }
  if (result.violation.empty())
    result.violation = fleet.violation();
  return result;
}

double membershipBytes(int size) {
  using namespace members;
  MembershipSettings settings = MembershipSimulation::settingsFor(size);
  auto heapBytes = [] {
    auto info = ::mallinfo2();
    return double(info.uordblks + info.hblkhd);
  };
  double before = heapBytes();
  MessageCodec codec(settings);
  Membership membership(settings, 0, {5, 1}, 1, 0);
  Message message;
  message.kind = MessageKind::syncResponse;
  message.from = 1;
  message.to = 0;
  message.instance = 5;
  message.sequence = 1;
  for (int i = 1; i < size; ++i)
    message.updates.push_back({i, {5, 1, MemberState::alive}, kNoMember});
  membership.receive(0, message), membership.tick(1), membership.takeOutgoing(), membership.takeEvents();
  message = {};
  return heapBytes() - before;
}

MembersPlan readMembersPlan(const std::string& path) {
  Json document = readJson(path);
  if (auto errors = validateSchema(document, kMembersSchema, path); !errors.empty())
    throw ValidationErrors(std::move(errors));
  const Section file(document);
  MembersPlan plan;
  plan.sizes = document["sizes"].get<std::vector<int>>();
  plan.seeds = document["seeds"].get<std::vector<int>>();
  if (plan.seeds.size() != plan.sizes.size())
    throw ValidationErrors({path + ": seeds: one number a size is needed"});
  plan.regions = file.get("regions", plan.regions);
  plan.target = file.get("target", plan.target);
  for (auto& row : file.items("scenes")) {
    using Kind = MembersScene::Kind;
    MembersScene& scene = plan.scenes.emplace_back();
    scene.name = row.required<std::string>("name");
    scene.kind = row.choice<Kind>(
        "kind", "quiet",
        {{"quiet", Kind::quiet}, {"lost", Kind::lost}, {"apart", Kind::apart}, {"restarts", Kind::restarts}});
    scene.duration = row.get("lasts", scene.duration);
    scene.lostShare = row.get("part", scene.lostShare);
    scene.restartsPerSecond = row.get("restartsAt", 1.0);
    scene.restartDowntime = row.get("awayTime", scene.restartDowntime);
    scene.sizes = row.get("sizes", plan.sizes);
    scene.seeds = row.get("seeds", scene.seeds);
  }
  return plan;
}

namespace {

struct Job {
  const MembersScene* scene;
  int size;
  int seed;
  double cost() const { return 1e9 * size + size * scene->duration; }  // by size first, whatever the scene
};

struct FigureColumn {  // the figure made of one member of Phase
  const char* name;
  const char* unit;
  double Phase::*value;
  double MembersPlan::*limit;
};
constexpr FigureColumn kColumns[] = {
    {"members.agreed", "s", &Phase::convergenceTime, nullptr},
    {"members.bytes", "B/s", &Phase::bytesPerSecond, &MembersPlan::limitBytes},
    {"members.bytes.worst", "B/s", &Phase::worstBytesPerSecond, &MembersPlan::limitBytes},
    {"members.bytes.worst.member", "B/s", &Phase::worstMemberBytesPerSecond, &MembersPlan::limitBytes},
    {"members.messages", "1/s", &Phase::messagesPerSecond, nullptr},
    {"members.cores", "cores", &Phase::cores, &MembersPlan::limitCores},
    {"members.wrong.held", "part", &Phase::inaccurateShare, nullptr},
    {"members.wrong.downs", "", &Phase::falseDowns, nullptr},
    {"members.streams", "", &Phase::maxConcurrentStreams, nullptr},
    {"members.largest", "B", &Phase::largestMessage, nullptr},
};

using Results =
    std::map<std::string, std::map<int, std::vector<Phase>>>;  // by phase and size, an element for each seed

void addFigures(const MembersPlan& plan, const Results& results, FiguresFile& file) {
  for (auto& column : kColumns)
    for (auto& [name, bySize] : results) {
      Figure figure;
      figure.name = column.name;
      figure.variant = name;
      figure.unit = column.unit;
      figure.xName = "members";
      figure.target = plan.target;
      if (column.limit)
        figure.limit = plan.*column.limit;
      for (auto& [size, phases] : bySize) {
        std::vector<double> values;
        for (auto& phase : phases)
          values.push_back(phase.*column.value);
        if (std::ranges::count_if(values, [](double value) { return value < 0; })) {
          file.missing.push_back({figure.name, name, "no agreement within the part", double(size)});
          continue;
        }
        figure.addSize(size, std::move(values));
      }
      bool hasValues = std::ranges::any_of(figure.ys, [](double value) { return value > 0; });
      if (hasValues || column.value == &Phase::falseDowns)
        file.figures.push_back(std::move(figure));
    }
}

}  // namespace

void addEarlier(FiguresFile& file, const FiguresFile& earlier) {
  for (auto& old : earlier.figures) {
    auto same = [&](auto& figure) { return figure.name == old.name && figure.variant == old.variant; };
    auto figure = std::ranges::find_if(file.figures, same);
    if (figure == file.figures.end()) {
      file.figures.push_back(old);
      continue;
    }
    for (size_t i = 0; i < old.xs.size(); ++i) {
      auto index = std::ranges::lower_bound(figure->xs, old.xs[i]) - figure->xs.begin();
      if (size_t(index) < figure->xs.size() && figure->xs[size_t(index)] == old.xs[i])
        continue;
      figure->xs.insert(figure->xs.begin() + index, old.xs[i]);
      figure->ys.insert(figure->ys.begin() + index, old.ys[i]);
      if (!old.repeats.empty())
        figure->repeats.insert(figure->repeats.begin() + index, old.repeats[i]);
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
  for (int size : plan.sizes) {
    memory.xs.push_back(size);
    memory.ys.push_back(membershipBytes(size) / 1e6);
  }
  base.figures.push_back(memory);

  std::vector<Job> jobs;
  for (auto& scene : plan.scenes)
    for (size_t i = 0; i < plan.sizes.size(); ++i)
      if (std::ranges::count(scene.sizes, plan.sizes[i]))
        for (int seed = 1; seed <= std::min(plan.seeds[i], scene.seeds); ++seed)
          jobs.push_back({&scene, plan.sizes[i], seed});
  std::ranges::stable_sort(jobs, std::greater{}, &Job::cost);
  std::mutex mutex;
  size_t nextJob = 0;
  Results results;
  FiguresFile file = base;
  auto runJobs = [&] {
    while (true) {
      Job job{};
      {
        std::lock_guard guard(mutex);
        if (nextJob == jobs.size())
          return;
        job = jobs[nextJob++];
      }
      SceneResult result = simulate(*job.scene, job.size, plan.regions, uint64_t(job.seed), plan.target);
      std::lock_guard guard(mutex);
      std::string line =
          job.scene->name + ", " + std::to_string(job.size) + ", seed " + std::to_string(job.seed);
      if (!result.violation.empty()) {
        base.missing.push_back({"members", job.scene->name, result.violation, double(job.size)});
        line += ": BROKEN " + result.violation;
      } else
        for (auto& phase : result.phases)
          results[phase.name][job.size].push_back(phase);
      file = base;
      addFigures(plan, results, file);
      done(file, line);
    }
  };
  std::vector<std::thread> others;
  for (int i = 1; i < threads; ++i)
    others.emplace_back(runJobs);
  runJobs();
  for (auto& other : others)
    other.join();
  return file;
}

}  // namespace elmcleat::lab
