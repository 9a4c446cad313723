// Record of a run as seen from outside the gateways. Rule checks and figures use only this record, not the
// state of the software under test.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lab/scenario.h"

namespace elmcleat::lab {

enum class RunEventKind : uint8_t {
  submitted,     // a client's command reached its gateway
  sent,          // a send left the gateway
  started,       // the engine began (or may have begun) the work
  sendFinished,  // a send ended, with whatever outcome
  answered,      // final results of a command
  shed,
  failed,
  listed,  // the engine list showed the engine in service
  drained  // the engine list showed the engine as draining or removed
};

struct RunEvent {
  double time = 0;
  RunEventKind kind{};
  uint32_t gateway = 0;
  uint32_t node = 0;  // the engine
  uint64_t command = 0;
};

// A command; each retry by a client has a record of its own, which refers to the first try.
struct CommandRecord {
  uint64_t firstTry = 0;
  uint32_t team = 0;
  uint32_t profile = 0;
  double arrivedAt = 0;
  double work = 0;       // seconds on one core
  double targetAt = 0;   // when its latency target ends
  double timeoutAt = 0;  // when its client stops waiting
  uint32_t gateway = 0;
  uint32_t tableGroup = 0;
};

// Predicted and measured queue wait of a command, in seconds.
struct WaitRecord {
  double arrivedAt = 0;
  double predictedMedian = 0;
  double predictedP90 = 0;
  double measured = 0;
  uint64_t command = 0;
};

// One second of the run, for plots.
struct SecondRecord {
  std::vector<double> offeredBenefit;  // by team
  std::vector<double> earnedBenefit;   // by team
  std::vector<double> completedWork;   // by team; seconds on one core
  double waitingCommands = 0;
  double busyCoreShare = 0;  // of all cores
};

struct RunRecord {
  std::vector<RunEvent> events;
  std::vector<CommandRecord> commands;
  std::vector<WaitRecord> waits;
  std::vector<SecondRecord> seconds;
  std::vector<double> threadsPerCore;  // of each running engine, sampled every second
  double coldCoresUsed = 0;            // cores of cold engines in use, summed over the samples
  double coldCoresAvailable = 0;       // cores that cold engines had, summed over the samples
  uint64_t coldOverloads = 0;          // engines that were overloaded while cold
  double wallSeconds = 0;
};

// Violations of the rules, one line each; at most 20.
std::vector<std::string> findRuleViolations(const Scenario& scenario, const RunRecord& record);

// Figures by name: benefit, benefit.TEAM, benefit.profile.NAME, kept.TEAM, cause.TEAM.shed|failed|late,
// waits.half, waits.nine, waits.error, waits.count, the same of waits.slow, held.most, held.most.TEAM, shed,
// rules, faster; engines.work.p99|most and engines.threads.p99|most (relative to their means),
// engines.users|users.most (gateways that sent to one engine), cold.used, cold.fell.
std::map<std::string, double> computeFigures(const Scenario& scenario, const RunRecord& record);

}  // namespace elmcleat::lab
