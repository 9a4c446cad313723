#include "lab/fit.h"

#include <algorithm>
#include <cmath>

namespace elmcleat::lab {
namespace {

// Ordinary least squares. `residual` is absolute here.
std::optional<Fit> leastSquares(const std::vector<double>& xs, const std::vector<double>& ys) {
  size_t n = std::min(xs.size(), ys.size());
  if (n < 3)
    return std::nullopt;
  double meanX = 0;
  double meanY = 0;
  for (size_t i = 0; i < n; ++i) {
    meanX += xs[i] / double(n);
    meanY += ys[i] / double(n);
  }
  double sumXX = 0;
  double sumXY = 0;
  double sumYY = 0;
  for (size_t i = 0; i < n; ++i) {
    double x = xs[i] - meanX;
    double y = ys[i] - meanY;
    sumXX += x * x;
    sumXY += x * y;
    sumYY += y * y;
  }
  if (sumXX <= 0)
    return std::nullopt;
  Fit fit;
  fit.b = sumXY / sumXX;
  fit.a = meanY - fit.b * meanX;
  double residualSum = 0;
  for (size_t i = 0; i < n; ++i)
    residualSum += std::pow(ys[i] - fit.a - fit.b * xs[i], 2);
  fit.r2 = sumYY > 0 ? 1 - residualSum / sumYY : 1;
  fit.residual = std::sqrt(residualSum / double(n));
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
  std::vector<double> logX;
  std::vector<double> logY;
  for (size_t i = 0; i < std::min(xs.size(), ys.size()); ++i) {
    if (!(xs[i] > 0) || !(ys[i] > 0))
      return std::nullopt;
    logX.push_back(std::log(xs[i]));
    logY.push_back(std::log(ys[i]));
  }
  auto fit = leastSquares(logX, logY);
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

std::optional<double> Fits::inverse(double y) const {
  double x = -1;
  if (best == Growth::line && line->b > 0)
    x = (y - line->a) / line->b;
  if (best == Growth::power && power->b > 0)
    x = std::pow(y / power->a, 1 / power->b);
  return x > 0 && std::isfinite(x) ? std::optional(x) : std::nullopt;
}

Fits fitsOf(const std::vector<double>& xs, const std::vector<double>& ys) {
  Fits fits{fitLine(xs, ys), fitPower(xs, ys), Growth::none};
  double line = fits.line ? fits.line->residual : HUGE_VAL;
  double power = fits.power ? fits.power->residual : HUGE_VAL;
  if (std::min(line, power) <= kMaxResidual)
    fits.best = power < line ? Growth::power : Growth::line;
  return fits;
}

}  // namespace elmcleat::lab
