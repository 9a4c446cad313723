#include <algorithm>
#include <cmath>
#include <set>

#include "lab/run_record.h"

namespace elmcleat::lab {
namespace {

// Shares of hits and the median error, of waits that came in a span.
void waitFigures(const std::vector<WaitRecord>& waits, double from, double to, const std::string& name,
                 std::map<std::string, double>& figures) {
  double half = 0, nine = 0;
  std::vector<double> errors;
  for (auto& wait : waits) {
    if (wait.arrivedAt < from || wait.arrivedAt >= to || wait.measured <= 0.02)
      continue;  // what was held at all
    half += wait.measured <= wait.predictedMedian, nine += wait.measured <= wait.predictedP90;
    errors.push_back(std::abs(wait.measured - wait.predictedMedian) / wait.measured);
  }
  if (errors.empty())
    return;
  figures[name + ".half"] = half / double(errors.size()),
                 figures[name + ".nine"] = nine / double(errors.size());
  std::ranges::nth_element(errors, errors.begin() + long(errors.size() / 2));
  figures[name + ".error"] = errors[errors.size() / 2];
  figures[name + ".count"] = double(errors.size());
}

// The ninety-ninth of a hundred and the greatest, over the mean.
void spread(std::vector<double> values, const std::string& name, std::map<std::string, double>& figures) {
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

// How evenly engines were used, by how many gateways, and how far cold ones.
void engineFigures(const Scenario& scenario, const RunRecord& record,
                   std::map<std::string, double>& figures) {
  std::vector<double> work(size_t(scenario.fleet.engines));
  std::set<std::pair<uint32_t, uint32_t>> pairs;
  for (auto& row : record.events) {
    if (row.kind == RunEventKind::sent)
      pairs.emplace(row.node, row.gateway);
    if (row.kind == RunEventKind::started && row.time >= scenario.measuredFrom)
      work[row.node] += record.commands[row.command].work;
  }
  std::vector<double> users(work.size());
  for (auto& [node, gateway] : pairs)
    ++users[node];
  spread(work, "engines.work", figures), spread(record.threadsPerCore, "engines.threads", figures);
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
  struct Part {
    double asked = 0, earned = 0, work = 0, workAsked = 0;
  };
  Part all;
  std::vector<Part> teams(scenario.teams.size()), byProfile(profiles.size());
  std::vector<double> best(record.commands.size(), 0);  // by first command: a client's tries count as one
  std::vector<double> firstSent(record.commands.size(), -1);
  double most = 0, sheds = 0;
  std::vector<double> mostByTeam(teams.size());
  for (auto& row : record.events) {
    if (row.kind == RunEventKind::sent && firstSent[row.command] < 0) {
      firstSent[row.command] = row.time;
      most = std::max(most, row.time - record.commands[row.command].arrivedAt);
      auto& its = mostByTeam[record.commands[row.command].team];
      its = std::max(its, row.time - record.commands[row.command].arrivedAt);
    }
    sheds += row.kind == RunEventKind::shed;
    if (row.kind != RunEventKind::answered)
      continue;
    const CommandRecord& asked = record.commands[row.command];
    const CommandRecord& first = record.commands[asked.firstTry];
    const Profile& profile = profiles[asked.profile];
    double worth = row.time <= first.targetAt ? 1 : profile.lateBenefitShare;
    best[asked.firstTry] = std::max(best[asked.firstTry], worth);
    if (first.arrivedAt >= scenario.measuredFrom && first.timeoutAt <= scenario.duration)
      teams[asked.team].work += asked.work;
  }
  double longest = 0;  // only what could be over by the end counts
  for (auto& profile : profiles)
    longest = std::max(longest, profile.clientTimeout);
  double end = scenario.duration - longest;
  for (size_t i = 0; i < record.commands.size(); ++i) {
    const CommandRecord& asked = record.commands[i];
    if (asked.firstTry != i || asked.arrivedAt < scenario.measuredFrom || asked.timeoutAt > scenario.duration)
      continue;
    double benefit = profiles[asked.profile].benefit;
    for (Part* part : {&all, &teams[asked.team], &byProfile[asked.profile]})
      part->asked += benefit, part->earned += benefit * best[i], part->workAsked += asked.work;
  }
  auto share = [](const Part& part) { return part.asked > 0 ? part.earned / part.asked : 1; };
  figures["benefit"] = share(all);
  for (size_t i = 0; i < teams.size(); ++i) {
    figures["benefit." + scenario.teams[i].name] = share(teams[i]);
    figures["held.most." + scenario.teams[i].name] = mostByTeam[i];
    if (!scenario.budgets)
      continue;
    for (auto& entry :
         scenario.budgets->entries)  // of what it was guaranteed and asked for, the part that it got
      if (entry.name == scenario.teams[i].name && entry.settings.guarantee.cores) {
        double due =
            std::min(*entry.settings.guarantee.cores * (end - scenario.measuredFrom), teams[i].workAsked);
        figures["kept." + entry.name] = due > 0 ? std::min(1.0, teams[i].work / due) : 1;
      }
  }
  for (size_t i = 0; i < byProfile.size(); ++i)
    figures["benefit.profile." + profiles[i].name] = share(byProfile[i]);
  std::vector<double> lost(3 * teams.size());  // by team: shed, failed, late
  for (auto& row : record.events) {
    if (row.kind != RunEventKind::shed && row.kind != RunEventKind::failed &&
        row.kind != RunEventKind::answered)
      continue;
    const CommandRecord& asked = record.commands[row.command];
    if (asked.firstTry != row.command || asked.arrivedAt < scenario.measuredFrom ||
        asked.timeoutAt > scenario.duration)
      continue;
    bool late = row.kind == RunEventKind::answered && row.time > asked.targetAt;
    size_t how = row.kind == RunEventKind::shed ? 0 : row.kind == RunEventKind::failed ? 1 : 2;
    if (how < 2 || late)
      lost[3 * asked.team + how] += profiles[asked.profile].benefit;
  }
  for (size_t i = 0; i < teams.size(); ++i)
    for (size_t how = 0; how < 3; ++how)  // benefit at stake in what was not answered in time, by cause
      figures["cause." + scenario.teams[i].name +
              (how == 0   ? ".shed"
               : how == 1 ? ".failed"
                          : ".late")] = teams[i].asked > 0 ? lost[3 * i + how] / teams[i].asked : 0;
  figures["held.most"] = most;
  figures["shed"] = record.commands.empty() ? 0 : sheds / double(record.commands.size());
  std::vector<WaitRecord> answered;
  std::vector<bool> was(record.commands.size());
  for (auto& row : record.events)
    if (row.kind == RunEventKind::answered)
      was[row.command] = true;
  for (auto& wait : record.waits)
    if (was[wait.command])
      answered.push_back(wait);
  waitFigures(answered, scenario.measuredFrom, scenario.duration, "waits", figures);
  for (auto& disturbance : scenario.disturbances)
    if (disturbance.kind == "slow")
      waitFigures(answered, disturbance.start, disturbance.start + disturbance.duration, "waits.slow",
                  figures);
  engineFigures(scenario, record, figures);
  figures["rules"] = double(findRuleViolations(scenario, record).size());
  figures["faster"] = record.wallSeconds > 0 ? scenario.duration / record.wallSeconds : 0;
  return figures;
}

}  // namespace elmcleat::lab
