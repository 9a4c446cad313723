// The laboratory's model of an engine: sends share its cores by priority, spill where memory runs short, find groups of
// tables warm, and the machine fails in the ways that machines fail. Pure: it is told the time.
#pragma once
#include <cstdint>
#include <list>
#include <optional>
#include <vector>

#include "lab/scenario.h"

namespace elmcleat::lab {

struct RunningSend {
  uint64_t send = 0;
  double left = 0, work = 0;  // seconds on one core
  double memoryMb = 0;
  int threads = 1, priority = 1;
  double rate = 0;  // of its work, a second
};

class SimulatedEngine {
 public:
  explicit SimulatedEngine(const Fleet& fleet) : fleet_(fleet) {}

  // Whether it takes the send: false if its process is down.
  bool begin(double now, const RunningSend& send, uint64_t tables);
  void drop(double now, uint64_t send);
  void setPriority(double now, uint64_t send, int priority);
  // Sends that are done by now.
  std::vector<RunningSend> finished(double now);
  std::optional<double> nextEnd() const;  // of a send, if nothing changes

  void slow(double now, double times);
  void start(double now, bool cold);
  std::vector<RunningSend> stop(double now);  // its process ends: what ran there

  bool up = true, silent = false, failing = false;
  bool overloadedWhileCold = false;  // pushed over while cold
  std::optional<double> startedAt;
  double busy = 0;  // core seconds done
  size_t running() const { return running_.size(); }
  double threads() const;
  double cores(double now) const;

 private:
  void pass(double now);  // work done up to now
  void share(double now);

  const Fleet& fleet_;
  std::vector<RunningSend> running_;
  std::list<uint64_t> warm_;
  double last_ = 0, times_ = 1;
  std::vector<std::pair<double, double>> coldWork_;  // when it came, and how much
};

}  // namespace elmcleat::lab
