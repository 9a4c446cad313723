// Reports of runs: a table for a terminal, JSON for programs, and an HTML page with plots.
#pragma once
#include <ostream>

#include "lab/run_record.h"

namespace elmcleat::lab {

// One run of a scenario; `variant` is empty for the software under test with everything on.
struct Run {
  std::string variant;
  uint64_t seed = 0;
  RunRecord record;
  std::map<std::string, double> figures;
  std::vector<std::string> violations;
};

// An expectation of the scenario compared with the mean figure.
struct Verdict {
  std::string figure;
  double value = 0;  // NaN: there is no such figure
  std::optional<double> minimum;
  std::optional<double> maximum;
  bool met = false;
};

// Means over seeds (maxima for `rules` and `held.most`), named as in computeFigures; `VARIANT:name` for the
// variants, `lost.TEAM` for the benefit that the bursts cost, `gained` for the benefit that the engine subset
// brought.
std::map<std::string, double> meanFigures(const Scenario& scenario, const std::vector<Run>& runs);
std::vector<Verdict> checkExpectations(const Scenario& scenario,
                                       const std::map<std::string, double>& figures);

void printTable(std::ostream& output, const Scenario& scenario, const std::vector<Run>& runs,
                const std::map<std::string, double>& figures, const std::vector<Verdict>& verdicts);
// Writes result.json and report.html to `folder`; the page has plots if gnuplot is installed.
void writeReport(const std::string& folder, const Scenario& scenario, const std::vector<Run>& runs,
                 const std::map<std::string, double>& figures, const std::vector<Verdict>& verdicts);

}  // namespace elmcleat::lab
