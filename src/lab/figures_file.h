// What a scale run has found, as a JSON file: figures by size, how they grow, where their limits are passed.
// Whoever makes figures (the scale run, virtual time) writes this form; docs/CAPACITY.md is filled from it.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "config/schema.h"
#include "lab/fit.h"

namespace elmcleat::lab {

struct Figure {
  std::string name;              // with dots, from what is general to what is special: control.quiet.cores
  std::string variant;           // "off", "view"; empty: there is one alone
  std::string unit;              // cores, MB, s, B/s, ...: of `ys`
  std::string xName;             // what is varied: engines, dispatchers, connections, changes
  std::vector<double> xs, ys{};  // sizes, ascending; the median of the repeats at each
  std::vector<std::vector<double>> repeats{};  // at each size, if there is more than one
  std::optional<double> target{}, limit{};     // the size that is coming; what the figure may be there
  std::string note{};                          // conditions, or why nothing was taken

  void take(double x, std::vector<double> all);  // the repeats at one size, greater than those before
  Fits fits() const { return fitsOf(xs, ys); }
  // At the target: as measured there, or else as the fit has it; nothing where neither tells.
  std::optional<double> atTarget() const;
  bool measuredAtTarget() const;
  // The size at which the limit is passed: between two sizes measured, or else where the fit has it. Nothing:
  // at none.
  std::optional<double> passedAt() const;
};

struct Missing {  // a run that failed, or was not made
  std::string figure, variant, reason;
  double x = 0;
};

struct FiguresFile {
  Json machine = Json::object();  // cores, memoryMb, program, ...: what figures depend on
  Json plan = Json::object();
  std::vector<Figure> figures;
  std::vector<Missing> missing;
};

Json machineHere();  // cores, memoryMb
void writeFigures(const std::string& path, const FiguresFile& file);
FiguresFile readFigures(const std::string& path);  // throws ValidationErrors

}  // namespace elmcleat::lab
