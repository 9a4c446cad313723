// What a run came to: a table for a terminal, JSON for programs, a page with plots for people.
#pragma once
#include <ostream>

#include "lab/run_record.h"

namespace elmcleat::lab {

struct Run {
  std::string variant;
  uint64_t seed = 0;
  RunRecord record;
  std::map<std::string, double> figures;
  std::vector<std::string> broken;
};
struct Verdict {
  std::string figure;
  double value = 0;
  std::optional<double> least, most;
  bool met = false;
};

// Means over seeds; names as in figuresOf, `VARIANT:name` for those beside it, `lost.TEAM` for what the burst cost,
// `gained` for what the view brought.
std::map<std::string, double> meanFigures(const Scenario& scene, const std::vector<Run>& runs);
std::vector<Verdict> checkExpectations(const Scenario& scene, const std::map<std::string, double>& figures);

void printTable(std::ostream& to, const Scenario& scene, const std::vector<Run>& runs,
                const std::map<std::string, double>& figures, const std::vector<Verdict>& verdicts);
// Writes result.json and, where gnuplot is there, report.html with its plots.
void writeReport(const std::string& folder, const Scenario& scene, const std::vector<Run>& runs,
                 const std::map<std::string, double>& figures, const std::vector<Verdict>& verdicts);

}  // namespace elmcleat::lab
