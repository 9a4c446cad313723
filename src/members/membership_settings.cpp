#include "members/membership_settings.h"

#include <map>

namespace elmcleat::members {

std::vector<ValidationError> validate(const MembershipSettings& settings) {
  std::vector<ValidationError> errors;
  std::map<std::string, size_t> names, places;
  for (size_t i = 0; i < settings.peers.size(); ++i) {
    auto& [name, at] = settings.peers[i];
    std::string key = "peers[" + std::to_string(i) + "]";
    if (auto [known, fresh] = names.emplace(name, i); !fresh)
      errors.push_back({key + ".name", "'" + name + "' is there already, as peers[" +
                                           std::to_string(known->second) + "]; each name is one process"});
    if (at.port == 0)
      continue;  // told already, as no address
    if (auto [known, fresh] = places.emplace(formatAddress(at), i); !fresh)
      errors.push_back({key + ".at", formatAddress(at) + " is that of peers[" +
                                         std::to_string(known->second) +
                                         "]; each process needs an address of its own"});
  }
  if (settings.maxSuspicionTime < settings.minSuspicionTime)
    errors.push_back({"suspectMostS", "is " + std::to_string(settings.maxSuspicionTime) +
                                          ", below suspectLeastS of " +
                                          std::to_string(settings.minSuspicionTime)});
  if (settings.minSuspicionTime < settings.probeInterval)
    errors.push_back({"suspectLeastS", "is " + std::to_string(settings.minSuspicionTime) +
                                           ", below periodS of " + std::to_string(settings.probeInterval) +
                                           ": nobody could speak up in that time"});
  return errors;
}

}  // namespace elmcleat::members
