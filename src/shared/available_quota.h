// What a member may use of an amount of the whole fleet, with the ends of what it borrowed.
#pragma once
#include <utility>
#include <vector>

namespace elmcleat::shared {

// What may be used, as another thread needs it: it holds by itself, however long nobody renews it.
struct AvailableQuota {
  double own = 0;                                   // without an end
  std::vector<std::pair<double, double>> borrowed;  // until when, how much
  double availableAt(double now) const {
    double all = own;
    for (auto& [until, units] : borrowed)
      all += now < until ? units : 0;
    return all;
  }
};

}  // namespace elmcleat::shared
