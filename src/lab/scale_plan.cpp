#include <cmath>

#include "lab/scale.h"
#include "scale_schema.h"

namespace elmcleat::lab {
namespace {

Step readStep(const Section& row) {
  Step step;
  step.what = row.required<std::string>("do");
  step.name = row.get<std::string>("name", step.what == "commands" ? "command" : step.what);
  step.seconds = row.get("seconds", step.seconds), step.rate = row.get("rate", step.rate);
  step.work = row.get("work", step.work), step.away = row.get("away", step.away);
  step.times = row.get("times", step.times);
  step.speeds = row.get("speeds", step.speeds), step.counts = row.get("counts", step.counts);
  return step;
}

Expectation readExpectation(const Section& row) {
  Expectation one;
  one.figure = row.required<std::string>("figure"), one.variant = row.get<std::string>("variant", "");
  auto bound = [](const Section& from, const char* key) {
    return from.has(key) ? std::optional(from.required<double>(key)) : std::nullopt;
  };
  const Section value = row.subsection("value"), exponent = row.subsection("exponent");
  one.least = bound(value, "least"), one.most = bound(value, "most");
  one.leastExponent = bound(exponent, "least"), one.mostExponent = bound(exponent, "most");
  return one;
}

}  // namespace

ScalePlan readScalePlan(const std::string& path) {
  ScalePlan plan;
  plan.document = readJson(path);
  if (auto errors = validateSchema(plan.document, kScaleSchema, path); !errors.empty())
    throw ValidationErrors(std::move(errors));
  const Section file(plan.document);
  plan.name = file.required<std::string>("name"), plan.mostSeconds = file.required<double>("mostSeconds");
  plan.real = file.get("real", plan.real), plan.enginesEach = file.get("enginesEach", plan.enginesEach);
  if (file.has("dispatchers"))
    plan.dispatchers = file.required<int>("dispatchers");
  plan.variants = file.get("variants", std::map<std::string, Json>{{"off", nullptr}});
  plan.targets = file.get("target", plan.targets), plan.limits = file.get("limits", plan.limits);
  for (auto& row : file.items("expect"))
    plan.expect.push_back(readExpectation(row));
  for (auto& row : file.items("runs")) {
    ScaleRun& run = plan.runs.emplace_back();
    run.engines = row.required<std::vector<int>>("engines"), run.settle = row.get("settle", run.settle);
    run.variants = row.get("variants", run.variants);
    for (auto& one : run.variants)
      if (!plan.variants.contains(one))
        throw ValidationErrors({path + ": " + row.pathOf("variants") + ": '" + one + "' is no variant here"});
    for (auto& step : row.items("steps"))
      run.steps.push_back(readStep(step));
  }
  return plan;
}

std::vector<std::string> unmet(const ScalePlan& plan, const FiguresFile& file) {
  std::vector<std::string> lines;
  for (auto& want : plan.expect) {
    bool found = false;
    auto check = [&](const Figure& one, const char* what, double got, std::optional<double> least,
                     std::optional<double> most) {
      if ((least && !(got >= *least)) || (most && !(got <= *most)))
        lines.push_back(one.name + (one.variant.empty() ? "" : ", " + one.variant) + ": " + what + " " +
                        std::to_string(got) + " is not in " + (least ? std::to_string(*least) : "..") +
                        " to " + (most ? std::to_string(*most) : ".."));
    };
    for (auto& one : file.figures) {
      if (one.name != want.figure || (!want.variant.empty() && one.variant != want.variant) || one.ys.empty())
        continue;
      found = true;
      for (double y : one.ys)
        check(one, "value", y, want.least, want.most);
      if (!want.leastExponent && !want.mostExponent)
        continue;
      double y = std::max(one.ys.back(), 1e-9) / std::max(one.ys.front(), 1e-9);
      check(one, "exponent", std::log(y) / std::log(one.xs.back() / one.xs.front()), want.leastExponent,
            want.mostExponent);
    }
    if (!found)
      lines.push_back(want.figure + (want.variant.empty() ? "" : ", " + want.variant) + ": was not taken");
  }
  return lines;
}

}  // namespace elmcleat::lab
