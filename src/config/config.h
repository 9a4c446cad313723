// All that a dispatcher is told at its start.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "config/settings.h"
#include "protocol/change_log.h"
#include "runtime/log.h"

namespace elmcleat {

struct Config {
  std::string name;
  Address listenAddress, changeLogAddress;
  uint64_t seed = 0;
  size_t maxDescriptors = 0;                   // descriptors that the process may hold
  size_t memoryMb = 0;                         // memory that it may take
  std::vector<EngineListEvent> initialEvents;  // the change log's events up to now
  Settings settings;
  ConnectionSettings connectionSettings;
  bool peersAllowed = false;  // instances may speak with each other
  LogLevel logLevel = LogLevel::info;
};

// From the environment and the file that it names; std::invalid_argument names the faulty key.
Config readConfig();
Config readConfig(const Json& file);

}  // namespace elmcleat
