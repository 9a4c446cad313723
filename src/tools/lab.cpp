// elmcleat-lab: runs scenarios, beside baselines, and reports their figures and violations; measures at
// scale; fills the capacity page.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>

#include "lab/capacity_page.h"
#include "lab/members_scale.h"
#include "lab/report.h"
#include "lab/scale.h"
#include "lab/simulation.h"
#include "lab/sockets.h"

using namespace elmcleat;
using namespace elmcleat::lab;

namespace {

struct Options {
  std::vector<std::string> files, against;
  std::string report, program;
  uint64_t seed = 1, seeds = 1;
};

// Runs a scenario in all its variants; true if no rule was violated and all expectations were met.
bool runScenario(const std::string& path, const Options& options) {
  Scenario scenario = readScenario(path);
  std::vector<std::string> variants{""};
  variants.insert(variants.end(), scenario.comparedVariants.begin(), scenario.comparedVariants.end());
  for (auto& name : options.against)
    if (std::ranges::find(variants, name) == variants.end())
      variants.push_back(name);
  std::vector<Run> runs;
  for (auto& name : variants)
    for (uint64_t seed = options.seed; seed < options.seed + options.seeds; ++seed) {
      Run run{name, seed, simulate(scenario, seed, variantNamed(name)), {}, {}};
      bool module = variantNamed(name).decider == Decider::module;
      if (!options.program.empty() && module) {  // the same arrivals on sockets and in real time
        Run real{(name.empty() ? "" : name + "-") + std::string("sockets"),
                 seed,
                 runOnSockets(scenario, run.record, variantNamed(name), options.program),
                 {},
                 {}};
        real.figures = computeFigures(scenario, real.record);
        real.violations = findRuleViolations(scenario, real.record);
        runs.push_back(std::move(real));
      }
      run.figures = computeFigures(scenario, run.record);
      bool baseline = name == "random" || name == "fifo";
      if (!baseline)
        run.violations = findRuleViolations(scenario, run.record);  // the rules do not apply to baselines
      if (seed > options.seed)
        run.record = {};
      runs.push_back(std::move(run));
    }
  auto figures = meanFigures(scenario, runs);
  auto verdicts = checkExpectations(scenario, figures);
  printTable(std::cout, scenario, runs, figures, verdicts);
  if (!options.report.empty()) {
    std::string folder = options.report + "/" + scenario.name;
    writeReport(folder, scenario, runs, figures, verdicts);
    std::cout << "report: " << folder << "/report.html\n";
  }
  bool passed = std::ranges::all_of(verdicts, &Verdict::met);
  for (auto& run : runs)
    passed &= run.violations.empty();
  return passed;
}

// Measures membership at several sizes. The figures file is written after each run, so that a measurement
// that is stopped keeps what it has.
struct MembersOptions {
  std::string plan, json, with, conditions;
  std::vector<int> sizes;
  int threads = 2;
};
bool runMembers(const MembersOptions& options) {
  bool passed = true;
  MembersPlan plan = readMembersPlan(options.plan);
  if (!options.sizes.empty())
    for (auto& scene : plan.scenes)
      std::erase_if(scene.sizes, [&](int size) { return !std::ranges::count(options.sizes, size); });
  FiguresFile earlier;  // read first, so that an invalid file costs no run
  if (!options.with.empty())
    earlier = readFigures(options.with);
  auto whole = [&](FiguresFile file) {
    file.plan = readJson(options.plan);
    file.machine["conditions"] = options.conditions;
    if (options.with.empty())
      return file;
    addEarlier(file, earlier);
    file.machine["earlier"] = earlier.machine;
    return file;
  };
  auto began = std::chrono::steady_clock::now();
  FiguresFile file =
      runMembersScale(plan, options.threads, [&](const FiguresFile& soFar, const std::string& line) {
        std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
        std::cerr << long(took.count()) << " s: " << line << '\n';
        if (!options.json.empty())
          writeFigures(options.json, whole(soFar));
        passed &= std::ranges::none_of(soFar.missing, [](auto& one) { return one.figure == "members"; });
      });
  std::cout << tableOf({whole(file)}, {""});
  return passed;
}

// Measures real dispatchers at scale; true if all figures were measured and meet the plan's expectations.
bool scale(const std::string& path, const std::string& program, const std::string& json) {
  ScalePlan plan = readScalePlan(path);
  FiguresFile file = runScale(plan, program);
  if (!json.empty())
    writeFigures(json, file);
  std::cout << tableOf({file}, {""});
  auto lines = unmet(plan, file);
  for (auto& line : lines)
    std::cout << "unmet: " << line << '\n';
  return lines.empty() && file.missing.empty();
}

// Checks that the capacity page agrees with the figures, or with `write` fills it from them.
bool capacity(const std::string& path, const std::vector<std::string>& names, bool write) {
  std::vector<FiguresFile> files;
  for (auto& name : names)
    files.push_back(readFigures(name));
  std::stringstream page;
  page << std::ifstream(path).rdbuf();
  if (write)
    std::ofstream(path) << filled(page.str(), files);
  else if (auto difference = firstDifference(page.str(), files)) {
    std::cout << path << ": " << *difference << '\n';
    return false;
  }
  return true;
}

}  // namespace

int main(int count, char** arguments) {
  CLI::App app(
      "elmcleat-lab: plays scenarios, and runs at size; status 1 if a rule broke or an expectation failed");
  Options options;
  auto* run = app.add_subcommand("run", "play scenarios");
  run->add_option("FILE", options.files)->required();
  run->add_option("--seed", options.seed, "the first seed");
  run->add_option("--seeds", options.seeds, "how many, one after the other; figures are their means")
      ->check(CLI::Range(1, 1000));
  run->add_option("--against", options.against, "also play it so: plain, apart, whole, calm, random, fifo")
      ->check(CLI::IsMember({"plain", "apart", "whole", "calm", "random", "fifo"}));
  run->add_option("--sockets", options.program,
                  "play it on sockets as well, with this dispatcher, in real time")
      ->type_name("PROGRAM")
      ->check(CLI::ExistingFile);
  run->add_option("--report", options.report, "a folder for JSON, plots and a page");
  auto* members = app.add_subcommand("members", "membership at several sizes, in virtual time");
  MembersOptions membersOptions;
  members->add_option("PLAN", membersOptions.plan, "as lab/scale/members.json")
      ->required()
      ->check(CLI::ExistingFile);
  members->add_option("--json", membersOptions.json, "a file for the figures");
  members->add_option("--sizes", membersOptions.sizes, "of the plan's, these alone");
  members
      ->add_option("--with", membersOptions.with, "figures of an earlier run, for what this one doesn't play")
      ->check(CLI::ExistingFile);
  members->add_option("--conditions", membersOptions.conditions, "what else ran, for the file");
  members->add_option("--threads", membersOptions.threads)->check(CLI::Range(1, 64));
  std::string plan, program, json, page;
  std::vector<std::string> figures;
  bool check = false, write = false;
  auto* scaling = app.add_subcommand("scale", "real dispatchers beside hollow processes, by size");
  scaling->add_option("PLAN", plan)->required()->check(CLI::ExistingFile);
  scaling->add_option("--program", program, "the dispatcher")->required()->check(CLI::ExistingFile);
  scaling->add_option("--json", json, "the file that the figures are written to");
  auto* paging =
      app.add_subcommand("capacity", "the page of capacity, and the figures that it is filled from");
  paging->add_option("PAGE", page)->required()->check(CLI::ExistingFile);
  paging->add_option("FIGURES", figures)->required()->check(CLI::ExistingFile);
  auto* checking =
      paging->add_flag("--check", check, "status 1 and the first line that differs (the default)");
  paging->add_flag("--write", write, "fill it anew")->excludes(checking);
  app.require_subcommand(1, 1);
  CLI11_PARSE(app, count, arguments);
  bool passed = true;
  if (!run->parsed())
    try {
      if (members->parsed())
        return runMembers(membersOptions) ? 0 : 1;
      return (scaling->parsed() ? scale(plan, program, json) : capacity(page, figures, write)) ? 0 : 1;
    } catch (const std::exception& error) {
      std::cerr << error.what() << '\n';
      return 1;
    }
  for (auto& file : options.files)
    try {
      passed &= runScenario(file, options);
    } catch (const std::exception& error) {
      std::cerr << error.what() << '\n';
      passed = false;
    }
  return passed ? 0 : 1;
}
