// A laboratory scenario: the fleet, its tenants and their traffic, the disturbances, and the expected
// figures. Scenarios are JSON files (lab/scenarios/*.json); keys of the file are given where they differ from
// a member's name.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "budget/budget_settings.h"
#include "config/schema.h"
#include "policy.h"
#include "shared/lease_manager.h"
#include "view/subset_settings.h"

namespace elmcleat::lab {

struct EngineHardware {
  std::string name = "std";
  double cores = 8;
  double memoryMb = 0;  // 0: unlimited
  double speed = 1;     // of one core, relative to the core that work is measured on
};

// Engines and gateways, and the model that engines follow.
struct Fleet {
  int engines = 8;
  int gateways = 1;
  EngineHardware hardware;
  std::vector<std::string> zones{"east"};  // engines are assigned round-robin
  double networkDelay = 0.0005;            // seconds, one way; key "delay"
  double listLag = 1;  // seconds from a change of an engine to the engine list that reports it
  double saturationThreadsPerCore = 2;   // throughput falls above this; key "knee"
  double throughputLossPerThread = 0.1;  // per thread per core above saturation; key "fall"
  double spillCost = 1.5;                // additional work, relative, of commands that have no memory at all
  int warmTableGroups = 4;               // table groups that an engine keeps in its cache
  double warmSavings = 0.2;              // share of the work that a cached table group saves
  bool loadReports = false;              // responses carry load reports; key "reports"
  // A restarted engine begins with this share of its capacity, which rises linearly to 1 over coldDuration
  // seconds. It counts as overloaded while cold if the work that it gets within coldOverloadWindow seconds
  // exceeds coldOverloadFactor times its capacity (0: never). Keys "coldFrom", "coldTime", "fallMultiple",
  // "fallTime".
  double coldCapacity = 0.4;
  double coldDuration = 10;
  double coldOverloadFactor = 0;
  double coldOverloadWindow = 1;
};

struct ProfileMix {
  std::string profile;
  double weight = 1;  // relative to the others of the mix; key "part"
};

// A tenant and its traffic.
struct Team {
  std::string name;
  double rate = 10;            // commands a second, over all gateways
  int users = 0;               // equally likely users of the tenant; 0: none
  double workPerEstimate = 1;  // actual over estimated work; key "estimateOver"
  double gatewayShare = 1;     // share of the gateways that its commands are sent to; key "gates"
  std::vector<ProfileMix> mix;
};

// Log-normal distribution of the work of a profile's commands.
struct WorkDistribution {
  double mean = 0.2;    // seconds on one core
  double spread = 0.5;  // standard deviation of the logarithm
  double memoryMb = 0;
};

// A change of traffic, a fault, or an operator's action.
struct Disturbance {
  std::string kind;  // burst, quiet, slow, silent, failing, lose, roll, drain, reload
  double start = 0;  // seconds; key "at"
  double duration = 0;
  std::string team;        // of burst and quiet
  double factor = 1;       // burst: of the rate; slow: of the run times; key "times"
  double engineShare = 1;  // share of the engines affected; key "part"
  std::optional<budget::BudgetSettings> budgetSettings;  // of reload
  std::string zone = {};                                 // only engines of this zone; empty: all
  int steps = 1;                                         // of a roll: number of batches
};

// An expectation: a figure's name and its allowed range. Keys "least", "most".
struct FigureBounds {
  std::string figure;
  std::optional<double> minimum;
  std::optional<double> maximum;
};

struct Scenario {
  std::string name;
  std::string description;  // key "about"
  double duration = 60;     // seconds
  double measuredFrom = 5;  // seconds; figures leave out what came earlier
  Fleet fleet;
  Settings settings;
  std::vector<WorkDistribution> workByProfile;
  std::vector<Team> teams;
  std::vector<Disturbance> disturbances;
  std::optional<budget::BudgetSettings> budgets;
  std::optional<shared::LeaseSettings> leases;  // gateways share the budgets by leases; key "shared"
  std::optional<view::SubsetSettings> subset;   // each gateway uses only a subset of the engines; key "view"
  Json budgetsJson;    // section "budgets" as written, for runs of the real dispatcher
  double retries = 0;  // per client: repeats of a shed command, each 1 s after the shed
  std::vector<std::string> comparedVariants;  // plain, apart, whole, calm, fifo, random
  std::vector<FigureBounds> expectations;
};

// Throws ValidationErrors with all errors of the file.
Scenario readScenario(const std::string& path);

}  // namespace elmcleat::lab
