#include "lab/fit.h"

#include <algorithm>
#include <cmath>

namespace elmcleat::lab {
namespace {

// Least squares; `residual` is not relative yet.
std::optional<Fit> leastSquares(const std::vector<double>& xs, const std::vector<double>& ys) {
  size_t n = std::min(xs.size(), ys.size());
  if (n < 3)
    return std::nullopt;
  double mx = 0, my = 0, xx = 0, xy = 0, yy = 0, left = 0;
  for (size_t i = 0; i < n; ++i)
    mx += xs[i] / double(n), my += ys[i] / double(n);
  for (size_t i = 0; i < n; ++i) {
    double x = xs[i] - mx, y = ys[i] - my;
    xx += x * x, xy += x * y, yy += y * y;
  }
  if (xx <= 0)
    return std::nullopt;
  Fit fit;
  fit.b = xy / xx, fit.a = my - fit.b * mx;
  for (size_t i = 0; i < n; ++i)
    left += std::pow(ys[i] - fit.a - fit.b * xs[i], 2);
  fit.r2 = yy > 0 ? 1 - left / yy : 1;
  fit.residual = std::sqrt(left / double(n));
  return fit;
}

}  // namespace

std::optional<Fit> fitLine(const std::vector<double>& xs, const std::vector<double>& ys) {
  auto fit = leastSquares(xs, ys);
  double mean = 0;
  for (double y : ys)
    mean += std::abs(y) / double(ys.size());
  if (fit && mean > 0)
    fit->residual /= mean;
  return fit;
}

std::optional<Fit> fitPower(const std::vector<double>& xs, const std::vector<double>& ys) {
  std::vector<double> lx, ly;
  for (size_t i = 0; i < std::min(xs.size(), ys.size()); ++i) {
    if (!(xs[i] > 0) || !(ys[i] > 0))
      return std::nullopt;
    lx.push_back(std::log(xs[i])), ly.push_back(std::log(ys[i]));
  }
  auto fit = leastSquares(lx, ly);
  if (fit)
    fit->a = std::exp(fit->a);
  return fit;
}

std::optional<double> Fits::at(double x) const {
  if (best == Growth::line)
    return line->a + line->b * x;
  if (best == Growth::power)
    return power->a * std::pow(x, power->b);
  return std::nullopt;
}

std::optional<double> Fits::reaches(double y) const {
  double x = -1;
  if (best == Growth::line && line->b > 0)
    x = (y - line->a) / line->b;
  if (best == Growth::power && power->b > 0)
    x = std::pow(y / power->a, 1 / power->b);
  return x > 0 && std::isfinite(x) ? std::optional(x) : std::nullopt;
}

Fits fitsOf(const std::vector<double>& xs, const std::vector<double>& ys) {
  Fits fits{fitLine(xs, ys), fitPower(xs, ys), Growth::none};
  double line = fits.line ? fits.line->residual : HUGE_VAL,
         power = fits.power ? fits.power->residual : HUGE_VAL;
  if (std::min(line, power) <= kMostResidual)
    fits.best = power < line ? Growth::power : Growth::line;
  return fits;
}

}  // namespace elmcleat::lab
