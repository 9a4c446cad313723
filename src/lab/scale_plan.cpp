#include <cmath>

#include "lab/scale.h"
#include "scale_schema.h"

namespace elmcleat::lab {
namespace {

Step readStep(const Section& row) {
  Step step;
  step.action = row.required<std::string>("do");
  step.figurePrefix = row.get<std::string>("name", step.action == "commands" ? "command" : step.action);
  step.seconds = row.get("seconds", step.seconds);
  step.commandRate = row.get("rate", step.commandRate);
  step.workSeconds = row.get("work", step.workSeconds);
  step.zoneAwaySeconds = row.get("away", step.zoneAwaySeconds);
  step.drainCount = row.get("times", step.drainCount);
  step.changeSpeeds = row.get("speeds", step.changeSpeeds);
  step.connectionCounts = row.get("counts", step.connectionCounts);
  return step;
}

Expectation readExpectation(const Section& row) {
  Expectation expectation;
  expectation.figure = row.required<std::string>("figure");
  expectation.variant = row.get<std::string>("variant", "");
  auto bound = [](const Section& from, const char* key) {
    return from.has(key) ? std::optional(from.required<double>(key)) : std::nullopt;
  };
  const Section value = row.subsection("value");
  const Section exponent = row.subsection("exponent");
  expectation.minimum = bound(value, "least");
  expectation.maximum = bound(value, "most");
  expectation.minExponent = bound(exponent, "least");
  expectation.maxExponent = bound(exponent, "most");
  return expectation;
}

}  // namespace

ScalePlan readScalePlan(const std::string& path) {
  ScalePlan plan;
  plan.document = readJson(path);
  if (auto errors = validateSchema(plan.document, kScaleSchema, path); !errors.empty())
    throw ValidationErrors(std::move(errors));
  const Section file(plan.document);
  plan.name = file.required<std::string>("name");
  plan.maxSeconds = file.required<double>("mostSeconds");
  plan.realDispatchers = file.get("real", plan.realDispatchers);
  plan.enginesPerDispatcher = file.get("enginesEach", plan.enginesPerDispatcher);
  if (file.has("dispatchers"))
    plan.configuredDispatchers = file.required<int>("dispatchers");
  plan.variants = file.get("variants", std::map<std::string, Json>{{"off", nullptr}});
  plan.targets = file.get("target", plan.targets);
  plan.limits = file.get("limits", plan.limits);
  for (auto& row : file.items("expect"))
    plan.expectations.push_back(readExpectation(row));
  for (auto& row : file.items("runs")) {
    ScaleRun& run = plan.runs.emplace_back();
    run.engines = row.required<std::vector<int>>("engines");
    run.settleSeconds = row.get("settle", run.settleSeconds);
    run.variants = row.get("variants", run.variants);
    for (auto& variant : run.variants)
      if (!plan.variants.contains(variant))
        throw ValidationErrors(
            {path + ": " + row.pathOf("variants") + ": '" + variant + "' is no variant here"});
    for (auto& step : row.items("steps"))
      run.steps.push_back(readStep(step));
  }
  return plan;
}

std::vector<std::string> unmet(const ScalePlan& plan, const FiguresFile& file) {
  std::vector<std::string> lines;
  for (auto& expectation : plan.expectations) {
    bool found = false;
    auto check = [&](const Figure& figure, const char* what, double actual, std::optional<double> minimum,
                     std::optional<double> maximum) {
      if ((minimum && !(actual >= *minimum)) || (maximum && !(actual <= *maximum)))
        lines.push_back(figure.name + (figure.variant.empty() ? "" : ", " + figure.variant) + ": " + what +
                        " " + std::to_string(actual) + " is not in " +
                        (minimum ? std::to_string(*minimum) : "..") + " to " +
                        (maximum ? std::to_string(*maximum) : ".."));
    };
    for (auto& figure : file.figures) {
      if (figure.name != expectation.figure ||
          (!expectation.variant.empty() && figure.variant != expectation.variant) || figure.ys.empty())
        continue;
      found = true;
      for (double value : figure.ys)
        check(figure, "value", value, expectation.minimum, expectation.maximum);
      if (!expectation.minExponent && !expectation.maxExponent)
        continue;
      double growth = std::max(figure.ys.back(), 1e-9) / std::max(figure.ys.front(), 1e-9);
      check(figure, "exponent", std::log(growth) / std::log(figure.xs.back() / figure.xs.front()),
            expectation.minExponent, expectation.maxExponent);
    }
    if (!found)
      lines.push_back(expectation.figure + (expectation.variant.empty() ? "" : ", " + expectation.variant) +
                      ": was not taken");
  }
  return lines;
}

}  // namespace elmcleat::lab
