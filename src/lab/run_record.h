// What was sent and answered in a run, as the outside saw it. Checkers and figures read this, not the program.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lab/scenario.h"

namespace elmcleat::lab {

enum class RunEventKind : uint8_t { taken, sent, ran, over, answered, shed, failed, told, drained };

struct RunEvent {
  double at = 0;
  RunEventKind mark{};
  uint32_t gateway = 0, node = 0;
  uint64_t command = 0;
};
struct
    CommandRecord {  // a command; retries of a client are commands of their own, with the first one's number
  uint64_t first = 0;
  uint32_t team = 0, profile = 0;
  double at = 0, work = 0, targetAt = 0, timeoutAt = 0;
  uint32_t gate = 0, tables = 0;  // which gateway was asked; its group of tables
};
struct WaitRecord {
  double at = 0, half = 0, nine = 0, seen = 0;  // when it came; told; held
  uint64_t command = 0;
};
struct SecondRecord {                       // of the run, for plots
  std::vector<double> asked, earned, work;  // by team: benefit, benefit, work done
  double held = 0, busy = 0;                // commands; part of all cores
};

struct RunRecord {
  std::vector<RunEvent> events;
  std::vector<CommandRecord> commands;
  std::vector<WaitRecord> waits;
  std::vector<SecondRecord> seconds;
  std::vector<double> load;           // threads a core of each engine that is up, every second
  double coldBusy = 0, coldAble = 0;  // cores of cold engines in use, and there, summed every second
  uint64_t fell = 0;                  // cold engines pushed over
  double realSeconds = 0;
};

// Broken rules, a line each; empty: none.
std::vector<std::string> brokenRules(const Scenario& scene, const RunRecord& record);

// Figures by name: benefit, benefit.TEAM, benefit.profile.NAME, kept.TEAM, waits.half, waits.nine, waits.error,
// waits.slow.half, waits.slow.nine, held.most, shed, rules; engines.work.p99|most and
// engines.threads.p99|most over their means, engines.users|users.most (gateways that sent to one), cold.used, cold.fell.
std::map<std::string, double> figuresOf(const Scenario& scene, const RunRecord& record);

}  // namespace elmcleat::lab
