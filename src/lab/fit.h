// Least-squares fits of a figure over sizes, as a line and as a power law: how it grows, and how well each
// fits.
#pragma once
#include <optional>
#include <vector>

namespace elmcleat::lab {

// Line: y = a + b x. Power law: y = a x^b.
struct Fit {
  double a = 0;
  double b = 0;
  double r2 = 0;  // of a power law: of the logarithms
  // Root mean square of the residuals. Of a line: relative to the mean of |y|. Of a power law: of the
  // logarithms, so that 0.1 is a tenth either way.
  double residual = 0;
};
constexpr double kMaxResidual = 0.25;  // a fit with more does not describe the growth

// Both need three points or more.
std::optional<Fit> fitLine(const std::vector<double>& xs, const std::vector<double>& ys);
std::optional<Fit> fitPower(const std::vector<double>& xs, const std::vector<double>& ys);  // all above 0

enum class Growth { none, line, power };  // none: neither fits
struct Fits {
  std::optional<Fit> line;
  std::optional<Fit> power;
  Growth best = Growth::none;  // the one with the smaller residual, if that is at most kMaxResidual
  std::optional<double> at(double x) const;
  std::optional<double> inverse(double y) const;  // the x with that y; nothing if the figure does not grow
};
Fits fitsOf(const std::vector<double>& xs, const std::vector<double>& ys);

}  // namespace elmcleat::lab
