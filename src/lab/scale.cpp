#include "lab/scale.h"

#include <algorithm>
#include <fstream>
#include <iostream>

#include "lab/scale_trial.h"

namespace elmcleat::lab {

FiguresFile runScale(const ScalePlan& plan, const std::string& program) {
  FiguresFile file;
  file.machine = machineHere();
  file.plan = plan.document;
  double load = 0;
  std::ifstream("/proc/loadavg") >> load;
  file.machine["loadBefore"] = load;  // load of other programs
  ScaleBounds bounds;
  bounds.deadline = secondsNow() + plan.maxSeconds;
  bounds.maxMemoryMb = file.machine.value("memoryMb", 0.0) / 2;
  size_t trials = 0;
  for (auto& run : plan.runs)
    trials += run.engines.size() * (run.variants.empty() ? plan.variants.size() : run.variants.size());
  // Three processes a dispatcher: itself, its clients, and one of engines. Three more: the change log, the
  // tool and the process that removes the folder.
  std::cerr << plan.name << ": " << trials << " trials, " << 3 * plan.realDispatchers + 3
            << " processes at once, at most " << plan.maxSeconds << " s and " << int(bounds.maxMemoryMb)
            << " MB\n";
  FigureCollector collector;
  for (auto& run : plan.runs)
    for (int engines : run.engines)
      for (auto& [variant, gateway] : plan.variants) {
        if (!run.variants.empty() && std::ranges::find(run.variants, variant) == run.variants.end())
          continue;
        collector.variant = variant;
        double startedAt = secondsNow();
        auto recordMissing = [&](const std::string& figure, const std::exception& error) {
          file.missing.push_back({figure, variant, error.what(), double(engines)});
        };
        std::string action = "start";
        try {
          bounds.check();
          ScaleFolder folder;
          Trial trial(plan, program, folder, bounds, collector, engines, gateway);
          trial.wait(run.settleSeconds);
          for (auto& step : run.steps) {
            action = step.action;
            try {
              trial.run(step);
            } catch (const ValidationErrors& error) {
              trial.wait(
                  0);  // throws if a dispatcher has exited or a limit is exceeded; else the next step follows
              recordMissing(action, error);
            }
          }
        } catch (const std::exception& error) {
          bounds.processes.clear();
          recordMissing(action, error);
        }
        std::cerr << "  " << engines << " engines, " << variant << ": " << secondsNow() - startedAt << " s"
                  << (file.missing.empty() ? "" : ", " + std::to_string(file.missing.size()) + " not taken")
                  << '\n';
      }
  file.figures = collector.figures(plan);
  file.missing.insert(file.missing.end(), collector.missing.begin(), collector.missing.end());
  return file;
}

}  // namespace elmcleat::lab
