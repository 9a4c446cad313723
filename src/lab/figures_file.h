// The results of scale runs as a JSON file: figures by size, how they grow, and the size at which they exceed
// their limits. The scale run and the simulations in virtual time write it; docs/CAPACITY.md is generated
// from it.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "config/schema.h"
#include "lab/fit.h"

namespace elmcleat::lab {

struct Figure {
  std::string name;          // with dots, from the general to the specific: control.quiet.cores
  std::string variant;       // "off", "view"; empty: there is only one
  std::string unit;          // of `ys`: cores, MB, s, B/s, ...
  std::string xName;         // the size that varies: engines, dispatchers, connections, changes
  std::vector<double> xs;    // sizes, ascending
  std::vector<double> ys{};  // the median of the repeats at each size
  std::vector<std::vector<double>> repeats{};  // all values at each size, if there is more than one
  std::optional<double> target{};              // the size that is planned for
  std::optional<double> limit{};               // the largest acceptable value at that size
  std::string note{};                          // conditions, or why there is no value

  void addSize(double x, std::vector<double> values);  // `x` above all sizes before
  Fits fits() const { return fitsOf(xs, ys); }
  // The value at the target: measured there, or else from the fit; nothing if there is neither.
  std::optional<double> atTarget() const;
  bool measuredAtTarget() const;
  // The size at which the limit is exceeded: interpolated between two measured sizes, or else from the fit;
  // nothing if it is not.
  std::optional<double> limitExceededAt() const;
};

struct Missing {  // a run that failed or was not made
  std::string figure;
  std::string variant;
  std::string reason;
  double x = 0;
};

struct FiguresFile {
  Json machine = Json::object();  // what figures depend on: cores, memoryMb, program, ...
  Json plan = Json::object();
  std::vector<Figure> figures;
  std::vector<Missing> missing;
};

Json machineHere();  // cores, memoryMb
void writeFigures(const std::string& path, const FiguresFile& file);
FiguresFile readFigures(const std::string& path);  // throws ValidationErrors

}  // namespace elmcleat::lab
