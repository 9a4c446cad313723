// Reads the settings of a deployment, as the simulator's first message and the dispatcher's configuration
// hold them.
#pragma once
#include <string>
#include <vector>

#include "config/section.h"
#include "policy.h"

namespace elmcleat {

// The settings of connections to engines; the policy's own are in Settings.
struct ConnectionSettings {
  // In the order in which records of the change log number them.
  std::vector<std::string> zones, kinds;
  int sendsPerConnection = 1;
  double connectTimeout = 0, idleTimeout = 0;  // seconds
  double statusInterval = 0;                   // seconds between status updates on a send; 0: there are none
  bool loadReports = false;                    // a probe may ask for a load report
};

// Both throw std::invalid_argument, which names the invalid key.
Settings readSettings(const Section& config);
ConnectionSettings readConnectionSettings(const Section& config);

}  // namespace elmcleat
