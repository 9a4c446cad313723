#include "lab/figures_file.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <thread>

#include "figures_schema.h"

namespace elmcleat::lab {
namespace {

Json jsonOf(const std::optional<Fit>& fit) {
  if (!fit)
    return nullptr;
  return {{"a", fit->a}, {"b", fit->b}, {"r2", fit->r2}, {"residual", fit->residual}};
}
Json jsonOf(const std::optional<double>& value) { return value ? Json(*value) : Json(nullptr); }
const char* nameOf(Growth growth) {
  return growth == Growth::line ? "line" : growth == Growth::power ? "power" : "neither";
}

Json jsonOf(const Figure& figure) {
  Fits fits = figure.fits();
  return {{"name", figure.name},
          {"variant", figure.variant},
          {"unit", figure.unit},
          {"xName", figure.xName},
          {"xs", figure.xs},
          {"ys", figure.ys},
          {"repeats", figure.repeats},
          {"target", jsonOf(figure.target)},
          {"limit", jsonOf(figure.limit)},
          {"note", figure.note},
          {"fits", {{"line", jsonOf(fits.line)}, {"power", jsonOf(fits.power)}, {"best", nameOf(fits.best)}}},
          {"atTarget", jsonOf(figure.atTarget())},
          {"measuredAtTarget", figure.measuredAtTarget()},
          {"passedAt", jsonOf(figure.passedAt())}};
}

}  // namespace

void Figure::take(double x, std::vector<double> all) {
  repeats.push_back(all);
  std::ranges::sort(all);
  size_t n = all.size();
  xs.push_back(x), ys.push_back((all[(n - 1) / 2] + all[n / 2]) / 2);
}

bool Figure::measuredAtTarget() const { return target && std::ranges::find(xs, *target) != xs.end(); }

std::optional<double> Figure::atTarget() const {
  if (!target)
    return std::nullopt;
  if (measuredAtTarget())
    return ys[size_t(std::ranges::find(xs, *target) - xs.begin())];
  return fits().at(*target);
}

std::optional<double> Figure::passedAt() const {
  if (!limit || ys.empty())
    return std::nullopt;
  if (ys.front() > *limit)
    return xs.front();  // at the least size already
  for (size_t i = 1; i < ys.size(); ++i)
    if (ys[i] > *limit)
      return xs[i - 1] + (xs[i] - xs[i - 1]) * (*limit - ys[i - 1]) / (ys[i] - ys[i - 1]);
  auto at = fits().reaches(*limit);
  // Far beyond what was measured no fit tells anything.
  constexpr double kFarthest = 16;
  if (!at || *at > kFarthest * xs.back())
    return std::nullopt;
  return std::max(*at, xs.back());
}

Json machineHere() {
  Json machine{{"cores", std::thread::hardware_concurrency()}};
  std::ifstream file("/proc/meminfo");
  std::string key;
  if (double kb = 0; file >> key >> kb)
    machine["memoryMb"] = std::round(kb / 1024);
  return machine;
}

void writeFigures(const std::string& path, const FiguresFile& file) {
  Json figures = Json::array(), missing = Json::array();
  for (auto& figure : file.figures)
    figures.push_back(jsonOf(figure));
  for (auto& one : file.missing)
    missing.push_back(
        {{"figure", one.figure}, {"variant", one.variant}, {"x", one.x}, {"reason", one.reason}});
  std::ofstream out(path);
  out << Json{{"machine", file.machine}, {"plan", file.plan}, {"figures", figures}, {"missing", missing}}
             .dump(1)
      << '\n';
  if (!out.flush())
    throw ValidationErrors({path + ": can't be written"});
}

FiguresFile readFigures(const std::string& path) {
  Json document = readJson(path);
  if (auto errors = validateSchema(document, kFiguresSchema, path); !errors.empty())
    throw ValidationErrors(std::move(errors));
  FiguresFile file{document["machine"], document["plan"], {}, {}};
  auto number = [](const Json& row, const char* key) {
    return row[key].is_null() ? std::nullopt : std::optional(row[key].get<double>());
  };
  for (auto& row : document["figures"]) {
    Figure& one = file.figures.emplace_back();
    one.name = row["name"], one.variant = row["variant"], one.unit = row["unit"], one.xName = row["xName"];
    one.xs = row["xs"].get<std::vector<double>>(), one.ys = row["ys"].get<std::vector<double>>();
    one.repeats = row["repeats"].get<std::vector<std::vector<double>>>();
    one.target = number(row, "target"), one.limit = number(row, "limit"), one.note = row["note"];
    if (one.xs.size() != one.ys.size())
      throw ValidationErrors({path + ": " + one.name + ": xs and ys differ in length"});
  }
  for (auto& row : document["missing"])
    file.missing.push_back({row["figure"], row["variant"], row["reason"], row["x"].get<double>()});
  return file;
}

}  // namespace elmcleat::lab
