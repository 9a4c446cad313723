#include "lab/report.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <set>

namespace elmcleat::lab {
namespace {

std::string formatBounds(const Verdict& verdict) {
  std::ostringstream text;
  if (verdict.minimum)
    text << "at least " << *verdict.minimum;
  if (verdict.minimum && verdict.maximum)
    text << ", ";
  if (verdict.maximum)
    text << "at most " << *verdict.maximum;
  return text.str();
}

// Draws FOLDER/NAME.svg by gnuplot; false if gnuplot is missing or fails.
bool plot(const std::string& folder, const std::string& name, const std::string& commands) {
  std::ofstream(folder + "/" + name + ".plot")
      << "set terminal svg size 900,320 background 'white'\nset output '" << folder << "/" << name
      << ".svg'\nset key outside\nset grid\n"
      << commands;
  return std::system(("gnuplot '" + folder + "/" + name + ".plot' 2>/dev/null").c_str()) == 0;
}

}  // namespace

std::map<std::string, double> meanFigures(const Scenario& scenario, const std::vector<Run>& runs) {
  std::map<std::string, std::pair<double, double>> sums;
  for (auto& run : runs)
    for (auto& [name, value] : run.figures) {
      auto& [sum, count] = sums[(run.variant.empty() ? "" : run.variant + ":") + name];
      if (name == "rules" || name.starts_with("held.most")) {
        sum = std::max(sum, value);
        count = 1;
      } else {
        sum += value;
        count += 1;
      }
    }
  std::map<std::string, double> figures;
  for (auto& [name, sum] : sums)
    figures[name] = sum.first / sum.second;
  if (auto whole = figures.find("whole:benefit"); whole != figures.end())
    figures["gained"] = figures["benefit"] - whole->second;
  for (auto& team : scenario.teams) {
    auto calm = figures.find("calm:benefit." + team.name);
    if (calm == figures.end())
      continue;
    figures["lost." + team.name] = calm->second - figures["benefit." + team.name];
    if (figures.contains("plain:benefit." + team.name))
      figures["plain:lost." + team.name] = calm->second - figures["plain:benefit." + team.name];
  }
  return figures;
}

std::vector<Verdict> checkExpectations(const Scenario& scenario,
                                       const std::map<std::string, double>& figures) {
  std::vector<Verdict> verdicts;
  for (auto& expect : scenario.expectations) {
    Verdict verdict{expect.figure, NAN, expect.minimum, expect.maximum, false};
    if (auto found = figures.find(expect.figure); found != figures.end())
      verdict.value = found->second;
    verdict.met = !std::isnan(verdict.value) && verdict.value >= verdict.minimum.value_or(-HUGE_VAL) &&
                  verdict.value <= verdict.maximum.value_or(HUGE_VAL);
    verdicts.push_back(verdict);
  }
  return verdicts;
}

void printTable(std::ostream& output, const Scenario& scenario, const std::vector<Run>& runs,
                const std::map<std::string, double>& figures, const std::vector<Verdict>& verdicts) {
  output << scenario.name << ": " << scenario.description << '\n';
  std::set<std::string> names;
  std::vector<std::string> variants;
  for (auto& run : runs) {
    if (std::ranges::find(variants, run.variant) == variants.end())
      variants.push_back(run.variant);
    for (auto& [name, value] : run.figures)
      names.insert(name);
  }
  output << std::left << std::setw(26) << "figure";
  for (auto& variant : variants)
    output << std::right << std::setw(12) << (variant.empty() ? "module" : variant);
  output << '\n' << std::fixed << std::setprecision(3);
  for (auto& name : names) {
    output << std::left << std::setw(26) << name << std::right;
    for (auto& variant : variants) {
      auto found = figures.find((variant.empty() ? "" : variant + ":") + name);
      if (found == figures.end())
        output << std::setw(12) << "-";
      else
        output << std::setw(12) << found->second;
    }
    output << '\n';
  }
  for (auto& verdict : verdicts)
    output << (verdict.met ? "met     " : "NOT MET ") << verdict.figure << " is " << verdict.value
           << ", expected " << formatBounds(verdict) << '\n';
  for (auto& run : runs)
    for (auto& line : run.violations)
      output << "BROKEN  " << (run.variant.empty() ? "" : run.variant + ", ") << "seed " << run.seed << ": "
             << line << '\n';
}

void writeReport(const std::string& folder, const Scenario& scenario, const std::vector<Run>& runs,
                 const std::map<std::string, double>& figures, const std::vector<Verdict>& verdicts) {
  std::filesystem::create_directories(folder);
  Json result{{"scenario", scenario.name}, {"figures", figures}};
  for (auto& verdict : verdicts)
    result["expect"].push_back({{"figure", verdict.figure}, {"value", verdict.value}, {"met", verdict.met}});
  for (auto& run : runs)
    result["runs"].push_back(
        {{"variant", run.variant}, {"seed", run.seed}, {"figures", run.figures}, {"broken", run.violations}});
  std::ofstream(folder + "/result.json") << result.dump(2) << '\n';

  std::string page = "<!doctype html><meta charset=utf-8><title>" + scenario.name + "</title><h1>" +
                     scenario.name + "</h1><p>" + scenario.description + "</p>";
  std::ostringstream table;
  printTable(table, scenario, runs, figures, verdicts);
  page += "<pre>" + table.str() + "</pre>";
  std::set<std::string> drawn;
  for (auto& run : runs) {
    std::string name = run.variant.empty() ? "module" : run.variant;
    if (!drawn.insert(name).second)
      continue;  // plots show the first seed of each variant only
    std::ofstream data(folder + "/" + name + ".dat");
    for (size_t t = 0; t + 1 < run.record.seconds.size(); ++t) {
      auto& second = run.record.seconds[t];
      data << t << ' ' << second.waitingCommands << ' ' << second.busyCoreShare;
      for (size_t i = 0; i < scenario.teams.size(); ++i)
        data << ' ' << second.offeredBenefit[i] << ' ' << second.earnedBenefit[i];
      data << '\n';
    }
    data.close();
    std::string file = folder + "/" + name + ".dat", teams, comma;
    for (size_t i = 0; i < scenario.teams.size(); ++i, comma = ", ")
      teams += comma + "'" + file + "' using 1:" + std::to_string(5 + 2 * i) + " with lines title '" +
               scenario.teams[i].name + "', '' using 1:" + std::to_string(4 + 2 * i) +
               " with lines dt 2 title 'asked'";
    if (plot(folder, name + "-benefit",
             "set title '" + name + ": benefit a second, earned and asked'\nplot " + teams + "\n"))
      page += "<img src='" + name + "-benefit.svg'>";
    if (plot(folder, name + "-held",
             "set title '" + name + ": commands held; part of cores in use'\nset y2tics\nplot '" + file +
                 "' using 1:2 with lines title 'held', '' using 1:3 axes x1y2 with lines title 'in use'\n"))
      page += "<img src='" + name + "-held.svg'>";
    if (run.record.waits.empty())
      continue;
    std::ofstream waits(folder + "/" + name + "-waits.dat");
    for (auto& wait : run.record.waits)
      if (wait.measured > 0.02)
        waits << wait.arrivedAt << ' ' << wait.measured << ' ' << wait.predictedMedian << ' '
              << wait.predictedP90 << '\n';
    waits.close();
    std::string from = folder + "/" + name + "-waits.dat";
    if (plot(folder, name + "-waits",
             "set title '" + name + ": waits seen and told'\nplot '" + from +
                 "' using 1:2 with dots title 'seen', '' using 1:3 with dots title 'half', '' "
                 "using 1:4 with dots title 'nine in ten'\n"))
      page += "<img src='" + name + "-waits.svg'>";
  }
  std::ofstream(folder + "/report.html") << page;
}

}  // namespace elmcleat::lab
