// The configuration of a dispatcher process, read at its start and again on SIGHUP.
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
  size_t memoryMb = 0;                         // memory that the process may use
  std::vector<EngineListEvent> initialEvents;  // the change log's events up to now
  Settings settings;
  ConnectionSettings connectionSettings;
  bool peersAllowed = false;  // gateways may communicate with each other
  LogLevel logLevel = LogLevel::info;
};

// Reads the file that the environment variable PROXY_CONFIG names; PROXY_NAME and PROXY_LISTEN override its
// keys. Throws std::invalid_argument, which names the invalid key.
Config readConfig();
Config readConfig(const Json& file);

}  // namespace elmcleat
