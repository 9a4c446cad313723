// Figures taken at several sizes as a line and as a power: how they grow, and how well that is told.
#pragma once
#include <optional>
#include <vector>

namespace elmcleat::lab {

// Line: y = a + b x. Power: y = a x^b. `residual`: root mean square of what is left, of the line over the
// mean of |y|, of the power of the logarithms (0.1 is a tenth either way); `r2` in the same terms.
struct Fit {
  double a = 0, b = 0, r2 = 0, residual = 0;
};
constexpr double kMostResidual = 0.25;  // above it a fit doesn't tell how the figure grows

std::optional<Fit> fitLine(const std::vector<double>& xs,
                           const std::vector<double>& ys);  // of three points or more
std::optional<Fit> fitPower(const std::vector<double>& xs, const std::vector<double>& ys);  // all above 0

enum class Growth { none, line, power };  // none: neither fits
struct Fits {
  std::optional<Fit> line, power;
  Growth best = Growth::none;  // the one with less residual, if that is at most kMostResidual
  std::optional<double> at(double x) const;
  std::optional<double> reaches(double y) const;  // the x; nothing where the figure doesn't grow
};
Fits fitsOf(const std::vector<double>& xs, const std::vector<double>& ys);

}  // namespace elmcleat::lab
