#include "members/membership_settings.h"

#include <map>

namespace elmcleat::members {

std::vector<ValidationError> validate(const MembershipSettings& settings) {
  std::vector<ValidationError> errors;
  // Index of the first peer with each name and with each address.
  std::map<std::string, size_t> names;
  std::map<std::string, size_t> addresses;
  for (size_t i = 0; i < settings.peers.size(); ++i) {
    auto& [name, address] = settings.peers[i];
    std::string key = "peers[" + std::to_string(i) + "]";
    if (auto [known, isNew] = names.emplace(name, i); !isNew)
      errors.push_back({key + ".name", "'" + name + "' is already the name of peers[" +
                                           std::to_string(known->second) +
                                           "]; each process needs its own name"});
    if (address.port == 0)
      continue;  // an invalid address, reported when the configuration is read
    if (auto [known, isNew] = addresses.emplace(formatAddress(address), i); !isNew)
      errors.push_back({key + ".at", formatAddress(address) + " is already the address of peers[" +
                                         std::to_string(known->second) +
                                         "]; each process needs its own address"});
  }
  if (settings.maxSuspicionTime < settings.minSuspicionTime)
    errors.push_back({"suspectMostS", "is " + std::to_string(settings.maxSuspicionTime) +
                                          ", below suspectLeastS of " +
                                          std::to_string(settings.minSuspicionTime)});
  if (settings.minSuspicionTime < settings.probeInterval)
    errors.push_back({"suspectLeastS", "is " + std::to_string(settings.minSuspicionTime) +
                                           ", below periodS of " + std::to_string(settings.probeInterval) +
                                           ": no member could confirm or refute a suspicion in that time"});
  return errors;
}

}  // namespace elmcleat::members
