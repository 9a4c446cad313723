// A scenario of the laboratory: a fleet, who asks for what, what goes wrong, and what is expected of it.
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

struct EngineHardware {  // all figures are the scenario's
  std::string name = "std";
  double cores = 8, memoryMb = 0;  // 0: memory never runs short
  double speed = 1;                // of a core, against the yardstick
};

struct Fleet {
  int engines = 8, gateways = 1;
  EngineHardware hardware;
  std::vector<std::string> zones{"east"};
  double delay = 0.0005;        // seconds, one way
  double listLag = 1;           // seconds until the list tells
  double knee = 2, fall = 0.1;  // threads a core beyond which work done falls, by how much a thread
  double spillCost = 1.5;       // more work, with no memory at all
  int warmGroups = 4;           // groups of tables that stay warm
  double warmSaves = 0.2;       // part of the work that a warm group saves
  bool reports = false;         // answers carry load reports
  double coldFrom = 0.4, coldTime = 10, fallMultiple = 0, fallTime = 1;
};

struct ProfileMix {
  std::string profile;
  double part = 1;
};
struct Team {  // who asks: a tenant
  std::string name;
  double rate = 10;         // commands a second, of the whole installation
  int users = 0;            // names below it, each as likely; 0: none
  double estimateOver = 1;  // work over its estimate
  double gates = 1;         // part of the gateways that its commands come to
  std::vector<ProfileMix> mix;
};
struct WorkDistribution {           // of a profile's commands
  double mean = 0.2, spread = 0.5;  // seconds on one core; sigma of the logarithm
  double memoryMb = 0;
};

struct Disturbance {
  std::string kind;  // burst, quiet, slow, silent, failing, lose, roll, drain, reload
  double at = 0, lasts = 0;
  std::string team;                                      // of burst and quiet
  double times = 1;                                      // of burst: traffic; of slow: run times
  double part = 1;                                       // of the engines
  std::optional<budget::BudgetSettings> budgetSettings;  // of reload
  std::string zone = {};                                 // whose engines alone are meant; empty: all
  int steps = 1;                                         // of a roll: in so many it replaces them
};

struct FigureBounds {  // a figure by its name, with bounds
  std::string figure;
  std::optional<double> least, most;
};

struct Scenario {
  std::string name, about;
  double duration = 60, measuredFrom = 5;  // seconds; figures count from `from` on
  Fleet fleet;
  Settings settings;
  std::vector<WorkDistribution> work;  // by profile
  std::vector<Team> teams;
  std::vector<Disturbance> disturbances;
  std::optional<budget::BudgetSettings> budgets;
  std::optional<shared::LeaseSettings> shared;  // budgets by loans; members and amounts are the fleet's
  std::optional<view::SubsetSettings> view;     // gateways see only these engines
  Json budgetsText;                             // the same as it stands in the file, for the program
  double retries = 0;                           // times that a client asks again after a shed, after a second
  std::vector<std::string> comparedVariants;    // plain, apart, whole, calm, fifo, random
  std::vector<FigureBounds> expect;
};

// Throws ValidationErrors with all that is wrong.
Scenario readScenario(const std::string& path);

}  // namespace elmcleat::lab
