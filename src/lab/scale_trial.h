// One variant at one size: real dispatchers, and what is hollow round them; the steps that are measured
// there.
#pragma once
#include <memory>

#include "lab/hollow.h"
#include "lab/scale.h"
#include "lab/scale_bounds.h"

namespace elmcleat::lab {

// By figure, variant and size: a value from each dispatcher, or each try.
class FigureCollector {
 public:
  void add(const std::string& figure, const std::string& unit, const std::string& xName, double x, double y);
  std::vector<Figure> figures(const ScalePlan& plan) const;  // medians
  std::string variant;                                       // of what is added
  std::vector<Missing> missing;

 private:
  struct Taken {
    Figure of;
    std::map<double, std::vector<double>> values;
  };
  std::vector<Taken> all_;
};

class Trial {
 public:
  Trial(const ScalePlan& plan, const std::string& program, const ScaleFolder& folder, ScaleBounds& bounds,
        FigureCollector& found, int engines, const Json& gateway);
  Trial(const Trial&) = delete;
  Trial& operator=(const Trial&) = delete;
  ~Trial();
  void wait(double seconds);  // while the bounds are kept, and all dispatchers live
  void play(const Step& step);

 private:
  struct Real {
    pid_t pid = 0;
    Address at;
    std::string log;
    SharedMemory<ClientCounts> counts;
    std::unique_ptr<Child> clients;
  };
  struct Servers {  // of engines whose id, modulo how many there are, is theirs
    SharedMemory<EngineCounts> counts;
    std::unique_ptr<Child> child;
  };
  Json configFor(int dispatcher, const Address& changeLog) const;
  void start(int dispatcher, const Json& gateway);
  void awaitReady(double began);
  std::string logOf(const Real& real) const;

  void quiet(const Step& step, bool byChanges);
  void connections(const Step& step);
  void commands(const Step& step);
  void drain(const Step& step);
  void zone(const Step& step);
  void silent(const Step& step);

  void load(const Step& step, int tables = 512);  // commands come, until over()
  void over();
  void tellEngines(const std::string& order) const;
  std::vector<double> cpu(double seconds);    // of each dispatcher, over so long from now: parts of a core
  std::vector<double> worst(double seconds);  // the same, of the worst whole second
  double sum(std::atomic<uint64_t> ClientCounts::*count) const;
  double faulty() const;  // commands lost, wrong or failed
  double openToEngines() const;
  uint32_t busiest();  // the engine that gets the most commands
  void add(const std::string& figure, const std::string& unit, double y) {
    found_.add(figure, unit, "engines", engines_, y);
  }
  void addEach(const std::string& figure, const std::string& unit, const std::vector<double>& ys) {
    for (double y : ys)
      add(figure, unit, y);
  }

  const ScalePlan& plan_;
  const std::string& program_;
  const ScaleFolder& folder_;
  ScaleBounds& bounds_;
  FigureCollector& found_;
  int engines_;
  std::vector<uint16_t> ports_;
  std::vector<std::unique_ptr<Servers>> servers_;
  SharedMemory<LogCounts> log_;
  std::unique_ptr<Child> changeLog_;
  std::vector<std::unique_ptr<Real>> real_;
};

}  // namespace elmcleat::lab
