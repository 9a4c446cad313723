// A scale run: real dispatchers beside hollow engines, a hollow change log and hollow clients, on loopback,
// at sizes each some times the one before; figures by size. It keeps to its bounds while it runs, ends by
// itself, and leaves nothing.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "lab/figures_file.h"

namespace elmcleat::lab {

struct Step {
  std::string what, name;  // `name`: of its figures
  double seconds = 3, rate = 100, work = 0.005, away = 4;
  int times = 4;
  std::vector<double> speeds{0, 1, 16};
  std::vector<int> counts{};
};
struct ScaleRun {
  std::vector<int> engines;
  std::vector<std::string> variants;  // empty: all
  double settle = 2;
  std::vector<Step> steps;
};
// Of all values of a figure; of the exponent with which it grows from the least size to the greatest.
struct Expectation {
  std::string figure, variant;
  std::optional<double> least, most, leastExponent, mostExponent;
};
struct ScalePlan {
  Json document;
  std::string name;
  double mostSeconds = 60;
  int real = 3;
  std::optional<int> dispatchers;  // named in the settings; else as many as enginesEach makes of the engines
  double enginesEach = 44000.0 / 2400;
  std::map<std::string, Json> variants;  // name and gateway file; null: none
  std::map<std::string, double> targets, limits;
  std::vector<Expectation> expect;
  std::vector<ScaleRun> runs;
};
ScalePlan readScalePlan(const std::string& path);  // throws ValidationErrors

// Throws ValidationErrors if the machine can't hold it, or a bound was passed on the way.
FiguresFile runScale(const ScalePlan& plan, const std::string& program);
std::vector<std::string> unmet(const ScalePlan& plan, const FiguresFile& file);

}  // namespace elmcleat::lab
