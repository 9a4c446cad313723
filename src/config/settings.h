// The settings of a deployment, as in the simulator's first message and the dispatcher's configuration.
#pragma once
#include <string>
#include <vector>

#include "config/section.h"
#include "policy.h"

namespace elmcleat {

// What the connections need of the settings, beside the module's own.
struct ConnectionSettings {
  std::vector<std::string> zones, kinds;  // as records of the change log number them
  int sendsPerConnection = 1;
  double connectTimeout = 0, idleTimeout = 0;  // seconds
  double statusInterval = 0;                   // between notes on a send; 0: there are none
  bool loadReports = false;                    // a probe may ask for a load report
};

Settings readSettings(const Section& config);
ConnectionSettings readConnectionSettings(const Section& config);

}  // namespace elmcleat
