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
          {"passedAt", jsonOf(figure.limitExceededAt())}};
}

}  // namespace

void Figure::addSize(double x, std::vector<double> values) {
  repeats.push_back(values);
  std::ranges::sort(values);
  size_t n = values.size();
  xs.push_back(x);
  ys.push_back((values[(n - 1) / 2] + values[n / 2]) / 2);  // median
}

bool Figure::measuredAtTarget() const { return target && std::ranges::find(xs, *target) != xs.end(); }

std::optional<double> Figure::atTarget() const {
  if (!target)
    return std::nullopt;
  if (measuredAtTarget())
    return ys[size_t(std::ranges::find(xs, *target) - xs.begin())];
  return fits().at(*target);
}

std::optional<double> Figure::limitExceededAt() const {
  if (!limit || ys.empty())
    return std::nullopt;
  if (ys.front() > *limit)
    return xs.front();  // already at the smallest size
  for (size_t i = 1; i < ys.size(); ++i)
    if (ys[i] > *limit)
      return xs[i - 1] + (xs[i] - xs[i - 1]) * (*limit - ys[i - 1]) / (ys[i] - ys[i - 1]);
  auto size = fits().inverse(*limit);
  // A fit says nothing about sizes far above the measured ones.
  constexpr double kMaxExtrapolation = 16;  // times the largest measured size
  if (!size || *size > kMaxExtrapolation * xs.back())
    return std::nullopt;
  return std::max(*size, xs.back());
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
  Json figures = Json::array();
  Json missing = Json::array();
  for (auto& figure : file.figures)
    figures.push_back(jsonOf(figure));
  for (auto& run : file.missing)
    missing.push_back(
        {{"figure", run.figure}, {"variant", run.variant}, {"x", run.x}, {"reason", run.reason}});
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
    Figure& figure = file.figures.emplace_back();
    figure.name = row["name"];
    figure.variant = row["variant"];
    figure.unit = row["unit"];
    figure.xName = row["xName"];
    figure.xs = row["xs"].get<std::vector<double>>();
    figure.ys = row["ys"].get<std::vector<double>>();
    figure.repeats = row["repeats"].get<std::vector<std::vector<double>>>();
    figure.target = number(row, "target");
    figure.limit = number(row, "limit");
    figure.note = row["note"];
    if (figure.xs.size() != figure.ys.size())
      throw ValidationErrors({path + ": " + figure.name + ": xs and ys differ in length"});
  }
  for (auto& row : document["missing"])
    file.missing.push_back({row["figure"], row["variant"], row["reason"], row["x"].get<double>()});
  return file;
}

}  // namespace elmcleat::lab
