#include "lab/scale.h"

#include <algorithm>
#include <fstream>
#include <iostream>

#include "lab/scale_trial.h"

namespace elmcleat::lab {

FiguresFile runScale(const ScalePlan& plan, const std::string& program) {
  FiguresFile file;
  file.machine = machineHere(), file.plan = plan.document;
  double load = 0;
  std::ifstream("/proc/loadavg") >> load;
  file.machine["loadBefore"] = load;  // what else ran beside it
  ScaleBounds bounds;
  bounds.endsAt = secondsNow() + plan.mostSeconds, bounds.mostMb = file.machine.value("memoryMb", 0.0) / 2;
  size_t trials = 0;
  for (auto& run : plan.runs)
    trials += run.engines.size() * (run.variants.empty() ? plan.variants.size() : run.variants.size());
  std::cerr << plan.name << ": " << trials << " trials, " << 3 * plan.real + 3
            << " processes at once, at most " << plan.mostSeconds << " s and " << int(bounds.mostMb)
            << " MB\n";
  FigureCollector found;
  for (auto& run : plan.runs)
    for (int engines : run.engines)
      for (auto& [variant, gateway] : plan.variants) {
        if (!run.variants.empty() && std::ranges::find(run.variants, variant) == run.variants.end())
          continue;
        found.variant = variant;
        double began = secondsNow();
        auto missing = [&](const std::string& what, const std::exception& fault) {
          file.missing.push_back({what, variant, fault.what(), double(engines)});
        };
        std::string doing = "start";
        try {
          bounds.check();
          ScaleFolder folder;
          Trial trial(plan, program, folder, bounds, found, engines, gateway);
          trial.wait(run.settle);
          for (auto& step : run.steps) {
            doing = step.what;
            try {
              trial.play(step);
            } catch (const ValidationErrors& fault) {
              trial.wait(0);  // all still run, and no bound is passed: the other steps are made
              missing(doing, fault);
            }
          }
        } catch (const std::exception& fault) {
          bounds.processes.clear();
          missing(doing, fault);
        }
        std::cerr << "  " << engines << " engines, " << variant << ": " << secondsNow() - began << " s"
                  << (file.missing.empty() ? "" : ", " + std::to_string(file.missing.size()) + " not taken")
                  << '\n';
      }
  file.figures = found.figures(plan);
  file.missing.insert(file.missing.end(), found.missing.begin(), found.missing.end());
  return file;
}

}  // namespace elmcleat::lab
