// One variant at one number of engines: starts the real dispatchers and the simulated processes around them,
// and runs the steps that measure them.
#pragma once
#include <memory>

#include "lab/hollow.h"
#include "lab/scale.h"
#include "lab/scale_bounds.h"

namespace elmcleat::lab {

// Collects values by figure, variant and size: one from each dispatcher, or from each repetition.
class FigureCollector {
 public:
  void add(const std::string& figure, const std::string& unit, const std::string& xName, double x, double y);
  std::vector<Figure> figures(const ScalePlan& plan) const;  // medians
  std::string variant;                                       // of the values that are added
  std::vector<Missing> missing;

 private:
  struct Series {
    Figure figure;
    std::map<double, std::vector<double>> valuesByX;
  };
  std::vector<Series> series_;
};

class Trial {
 public:
  Trial(const ScalePlan& plan, const std::string& program, const ScaleFolder& folder, ScaleBounds& bounds,
        FigureCollector& collector, int engines, const Json& gateway);
  Trial(const Trial&) = delete;
  Trial& operator=(const Trial&) = delete;
  ~Trial();
  void wait(double seconds);  // throws ValidationErrors if a limit is exceeded or a dispatcher exits
  void run(const Step& step);

 private:
  struct Dispatcher {
    pid_t pid = 0;
    Address address;
    std::string logPath;
    SharedMemory<ClientCounts> counts;
    std::unique_ptr<Child> clients;
  };
  struct EngineProcess {  // serves the engines whose id modulo the number of these processes is its index
    SharedMemory<EngineCounts> counts;
    std::unique_ptr<Child> child;
  };
  Json configFor(int dispatcher, const Address& changeLog) const;
  void start(int dispatcher, const Json& gateway);
  void awaitReady(double startedAt);
  std::string logOf(const Dispatcher& dispatcher) const;

  void runQuiet(const Step& step, bool byChanges);
  void runConnections(const Step& step);
  void runCommands(const Step& step);
  void runDrain(const Step& step);
  void runZone(const Step& step);
  void runSilent(const Step& step);

  void startLoad(const Step& step, int tables = 512);  // clients send commands until stopLoad()
  void stopLoad();
  void orderEngines(const std::string& order) const;
  std::vector<double> cpuShares(double seconds);  // cores used by each dispatcher during the next `seconds`
  std::vector<double> worstCpuShares(double seconds);  // the same for the worst whole second of each
  double sum(std::atomic<uint64_t> ClientCounts::*count) const;
  double faultyCommands() const;  // commands lost, answered wrongly or failed
  double openToEngines() const;   // connections to engines, mean of the dispatchers
  uint32_t busiestEngine();       // the engine that receives the most commands
  void add(const std::string& figure, const std::string& unit, double y) {
    collector_.add(figure, unit, "engines", engines_, y);
  }
  void addEach(const std::string& figure, const std::string& unit, const std::vector<double>& ys) {
    for (double y : ys)
      add(figure, unit, y);
  }

  const ScalePlan& plan_;
  const std::string& program_;
  const ScaleFolder& folder_;
  ScaleBounds& bounds_;
  FigureCollector& collector_;
  int engines_;
  std::vector<uint16_t> ports_;
  std::vector<std::unique_ptr<EngineProcess>> engineProcesses_;
  SharedMemory<LogCounts> logCounts_;
  std::unique_ptr<Child> changeLog_;
  std::vector<std::unique_ptr<Dispatcher>> dispatchers_;
};

}  // namespace elmcleat::lab
