// Figures of a run, computed from its record alone.
#include <algorithm>
#include <cmath>
#include <set>

#include "lab/run_record.h"

namespace elmcleat::lab {
namespace {

constexpr double kMinWait = 0.02;  // seconds; a shorter wait counts as none

// Calibration of the wait predictions, for commands that arrived within [from, to): the shares of waits that
// did not exceed the predicted median and 90th percentile, the median relative error, and the number of
// waits.
void waitFigures(const std::vector<WaitRecord>& waits, double from, double to, const std::string& name,
                 std::map<std::string, double>& figures) {
  double withinMedian = 0;
  double withinP90 = 0;
  std::vector<double> errors;
  for (auto& wait : waits) {
    if (wait.arrivedAt < from || wait.arrivedAt >= to || wait.measured <= kMinWait)
      continue;
    withinMedian += wait.measured <= wait.predictedMedian;
    withinP90 += wait.measured <= wait.predictedP90;
    errors.push_back(std::abs(wait.measured - wait.predictedMedian) / wait.measured);
  }
  if (errors.empty())
    return;
  figures[name + ".half"] = withinMedian / double(errors.size()),
                 figures[name + ".nine"] = withinP90 / double(errors.size());
  std::ranges::nth_element(errors, errors.begin() + long(errors.size() / 2));
  figures[name + ".error"] = errors[errors.size() / 2];
  figures[name + ".count"] = double(errors.size());
}

// The 99th percentile and the maximum, relative to the mean.
void spreadFigures(std::vector<double> values, const std::string& name,
                   std::map<std::string, double>& figures) {
  double sum = 0;
  for (double value : values)
    sum += value;
  if (sum <= 0)
    return;
  double mean = sum / double(values.size());
  std::ranges::sort(values);
  figures[name + ".p99"] = values[size_t(0.99 * double(values.size() - 1))] / mean;
  figures[name + ".most"] = values.back() / mean;
}

// How evenly the engines were loaded, by how many gateways each was used, and how much of cold engines was
// used.
void engineFigures(const Scenario& scenario, const RunRecord& record,
                   std::map<std::string, double>& figures) {
  std::vector<double> work(size_t(scenario.fleet.engines));
  std::set<std::pair<uint32_t, uint32_t>> pairs;
  for (auto& event : record.events) {
    if (event.kind == RunEventKind::sent)
      pairs.emplace(event.node, event.gateway);
    if (event.kind == RunEventKind::started && event.time >= scenario.measuredFrom)
      work[event.node] += record.commands[event.command].work;
  }
  std::vector<double> users(work.size());
  for (auto& [node, gateway] : pairs)
    ++users[node];
  spreadFigures(work, "engines.work", figures),
      spreadFigures(record.threadsPerCore, "engines.threads", figures);
  figures["engines.users"] = double(pairs.size()) / double(users.size());
  figures["engines.users.most"] = *std::ranges::max_element(users);
  figures["cold.fell"] = double(record.coldOverloads);
  if (record.coldCoresAvailable > 0)
    figures["cold.used"] = record.coldCoresUsed / record.coldCoresAvailable;
}

}  // namespace

std::map<std::string, double> computeFigures(const Scenario& scenario, const RunRecord& record) {
  std::map<std::string, double> figures;
  const auto& profiles = scenario.settings.profiles;
  struct Sums {
    double offeredBenefit = 0;
    double earnedBenefit = 0;
    double completedWork = 0;
    double offeredWork = 0;
  };
  Sums all;
  std::vector<Sums> teams(scenario.teams.size());
  std::vector<Sums> byProfile(profiles.size());
  // Share of the benefit earned, by first try: a client's retries count as one command.
  std::vector<double> bestShare(record.commands.size(), 0);
  std::vector<double> firstSent(record.commands.size(), -1);
  double maxWait = 0;  // from arrival to the first send
  double sheds = 0;
  std::vector<double> maxWaitByTeam(teams.size());
  for (auto& event : record.events) {
    if (event.kind == RunEventKind::sent && firstSent[event.command] < 0) {
      firstSent[event.command] = event.time;
      maxWait = std::max(maxWait, event.time - record.commands[event.command].arrivedAt);
      auto& teamMax = maxWaitByTeam[record.commands[event.command].team];
      teamMax = std::max(teamMax, event.time - record.commands[event.command].arrivedAt);
    }
    sheds += event.kind == RunEventKind::shed;
    if (event.kind != RunEventKind::answered)
      continue;
    const CommandRecord& command = record.commands[event.command];
    const CommandRecord& firstTry = record.commands[command.firstTry];
    const Profile& profile = profiles[command.profile];
    double benefitShare = event.time <= firstTry.targetAt ? 1 : profile.lateBenefitShare;
    bestShare[command.firstTry] = std::max(bestShare[command.firstTry], benefitShare);
    if (firstTry.arrivedAt >= scenario.measuredFrom && firstTry.timeoutAt <= scenario.duration)
      teams[command.team].completedWork += command.work;
  }
  // Only commands whose client timeout ends within the run count.
  double longest = 0;
  for (auto& profile : profiles)
    longest = std::max(longest, profile.clientTimeout);
  double end = scenario.duration - longest;
  for (size_t i = 0; i < record.commands.size(); ++i) {
    const CommandRecord& command = record.commands[i];
    if (command.firstTry != i || command.arrivedAt < scenario.measuredFrom ||
        command.timeoutAt > scenario.duration)
      continue;
    double benefit = profiles[command.profile].benefit;
    for (Sums* sums : {&all, &teams[command.team], &byProfile[command.profile]}) {
      sums->offeredBenefit += benefit;
      sums->earnedBenefit += benefit * bestShare[i];
      sums->offeredWork += command.work;
    }
  }
  auto share = [](const Sums& sums) {
    return sums.offeredBenefit > 0 ? sums.earnedBenefit / sums.offeredBenefit : 1;
  };
  figures["benefit"] = share(all);
  for (size_t i = 0; i < teams.size(); ++i) {
    figures["benefit." + scenario.teams[i].name] = share(teams[i]);
    figures["held.most." + scenario.teams[i].name] = maxWaitByTeam[i];
    if (!scenario.budgets)
      continue;
    // kept: completed work relative to the smaller of the guaranteed and the offered work
    for (auto& entry : scenario.budgets->entries)
      if (entry.name == scenario.teams[i].name && entry.settings.guarantee.cores) {
        double owed =
            std::min(*entry.settings.guarantee.cores * (end - scenario.measuredFrom), teams[i].offeredWork);
        figures["kept." + entry.name] = owed > 0 ? std::min(1.0, teams[i].completedWork / owed) : 1;
      }
  }
  for (size_t i = 0; i < byProfile.size(); ++i)
    figures["benefit.profile." + profiles[i].name] = share(byProfile[i]);
  std::vector<double> lost(3 * teams.size());  // benefit, by team and cause: shed, failed, late
  for (auto& event : record.events) {
    if (event.kind != RunEventKind::shed && event.kind != RunEventKind::failed &&
        event.kind != RunEventKind::answered)
      continue;
    const CommandRecord& command = record.commands[event.command];
    if (command.firstTry != event.command || command.arrivedAt < scenario.measuredFrom ||
        command.timeoutAt > scenario.duration)
      continue;
    bool late = event.kind == RunEventKind::answered && event.time > command.targetAt;
    size_t cause = event.kind == RunEventKind::shed ? 0 : event.kind == RunEventKind::failed ? 1 : 2;
    if (cause < 2 || late)
      lost[3 * command.team + cause] += profiles[command.profile].benefit;
  }
  for (size_t i = 0; i < teams.size(); ++i)
    // cause: benefit of the commands that were not answered in time, by cause, relative to the offered
    // benefit
    for (size_t cause = 0; cause < 3; ++cause)
      figures["cause." + scenario.teams[i].name +
              (cause == 0   ? ".shed"
               : cause == 1 ? ".failed"
                            : ".late")] =
          teams[i].offeredBenefit > 0 ? lost[3 * i + cause] / teams[i].offeredBenefit : 0;
  figures["held.most"] = maxWait;
  figures["shed"] = record.commands.empty() ? 0 : sheds / double(record.commands.size());
  std::vector<WaitRecord> answeredWaits;
  std::vector<bool> answered(record.commands.size());
  for (auto& event : record.events)
    if (event.kind == RunEventKind::answered)
      answered[event.command] = true;
  for (auto& wait : record.waits)
    if (answered[wait.command])
      answeredWaits.push_back(wait);
  waitFigures(answeredWaits, scenario.measuredFrom, scenario.duration, "waits", figures);
  for (auto& disturbance : scenario.disturbances)
    if (disturbance.kind == "slow")
      waitFigures(answeredWaits, disturbance.start, disturbance.start + disturbance.duration, "waits.slow",
                  figures);
  engineFigures(scenario, record, figures);
  figures["rules"] = double(findRuleViolations(scenario, record).size());
  figures["faster"] = record.wallSeconds > 0 ? scenario.duration / record.wallSeconds : 0;
  return figures;
}

}  // namespace elmcleat::lab
