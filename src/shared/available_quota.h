// AvailableQuota: the part of a fleet-wide quota that a member may use at a given time.
#pragma once
#include <utility>
#include <vector>

namespace elmcleat::shared {

// A snapshot for other threads. It stays valid without renewal, because borrowed parts carry their expiry.
struct AvailableQuota {
  double own = 0;                                   // does not expire
  std::vector<std::pair<double, double>> borrowed;  // expiry time and units of each part
  double availableAt(double now) const {
    double total = own;
    for (auto& [until, units] : borrowed)
      total += now < until ? units : 0;
    return total;
  }
};

}  // namespace elmcleat::shared
