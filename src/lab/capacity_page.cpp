#include "lab/capacity_page.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <sstream>

namespace elmcleat::lab {
namespace {

constexpr char kBegin[] = "<!-- scale:";
constexpr char kEnd[] = "<!-- /scale -->";

std::string formatRounded(double value) {  // to three significant digits; whole from 1000 on
  char text[32];
  std::snprintf(text, sizeof text, std::abs(value) >= 1000 || value == 0 ? "%.0f" : "%.3g", value);
  return text;
}
std::string formatRounded(const std::optional<double>& value) { return value ? formatRounded(*value) : "-"; }

std::string describeGrowth(const Figure& figure) {
  Fits fits = figure.fits();
  if (figure.xs.size() < 3)
    return "too few sizes";
  if (fits.best == Growth::none)
    return "neither line nor power";
  bool line = fits.best == Growth::line;
  const Fit& fit = line ? *fits.line : *fits.power;
  std::string form =
      line ? formatRounded(fit.a) + (fit.b < 0 ? " - " : " + ") + formatRounded(std::abs(fit.b)) + " x"
           : formatRounded(fit.a) + " x^" + formatRounded(fit.b);
  return form + ", residual " + formatRounded(std::round(fit.residual * 1000) / 1000);
}

std::string titleOf(const std::string& name, const std::string& variant) {
  return variant.empty() ? name : name + ", " + variant;
}

std::string describeLimitExceeded(const Figure& figure) {
  if (!figure.limit || figure.ys.empty())
    return "-";
  if (auto size = figure.limitExceededAt())
    return (figure.ys.front() > *figure.limit ? "at or below " : "") + formatRounded(*size);
  return "above " + formatRounded(figure.xs.back());  // and no fit says where
}

std::string rowOf(const Figure& figure) {
  std::ostringstream row;
  row << "| " << titleOf(figure.name, figure.variant) << " (" << figure.unit << ") | " << figure.xName
      << " | ";
  for (size_t i = 0; i < figure.xs.size(); ++i)
    row << (i ? "; " : "") << formatRounded(figure.xs[i]) << ": " << formatRounded(figure.ys[i]);
  row << " | " << describeGrowth(figure) << " | ";
  if (figure.target && figure.atTarget())
    row << formatRounded(*figure.target) << ": " << formatRounded(figure.atTarget())
        << (figure.measuredAtTarget() ? "" : " (fitted)");
  else
    row << "-";
  row << " | " << formatRounded(figure.limit) << " | " << describeLimitExceeded(figure) << " |\n";
  return row.str();
}

}  // namespace

std::string tableOf(const std::vector<FiguresFile>& files, const std::vector<std::string>& prefixes) {
  auto isSelected = [&](const std::string& name) {
    return std::ranges::any_of(prefixes, [&](auto& prefix) { return name.starts_with(prefix); });
  };
  std::string rows;
  for (auto& file : files)
    for (auto& figure : file.figures)
      if (isSelected(figure.name))
        rows += rowOf(figure);
  for (auto& file : files)
    for (auto& run : file.missing)
      if (isSelected(run.figure))
        rows += "| " + titleOf(run.figure, run.variant) + " | " + formatRounded(run.x) +
                " | not taken: " + run.reason + " | - | - | - | - |\n";
  if (rows.empty())
    return rows;
  return "| figure | by | measured | grows as | at target | limit | passed at |\n"
         "| --- | --- | --- | --- | --- | --- | --- |\n" +
         rows;
}

std::string filled(const std::string& page, const std::vector<FiguresFile>& files) {
  std::istringstream in(page);
  std::string out;
  std::string line;
  for (size_t number = 1; std::getline(in, line); ++number) {
    out += line + "\n";
    if (!line.starts_with(kBegin))
      continue;
    std::istringstream words(line.substr(sizeof kBegin - 1));
    std::vector<std::string> prefixes;
    for (std::string word; words >> word && word != "-->";)
      prefixes.push_back(word);
    std::string table = tableOf(files, prefixes);
    std::string where = "line " + std::to_string(number) + ": ";
    if (table.empty())
      throw ValidationErrors({where + "no figure has a name that begins so"});
    do {
      if (!std::getline(in, line))
        throw ValidationErrors({where + "the table has no " + kEnd});
      ++number;
    } while (line != kEnd);
    out += table + kEnd + "\n";
  }
  return out;
}

std::optional<std::string> firstDifference(const std::string& page, const std::vector<FiguresFile>& files) {
  std::istringstream actualLines(page);
  std::istringstream expectedLines(filled(page, files));
  for (size_t number = 1;; ++number) {
    std::string actual;
    std::string expected;
    bool hasActual = bool(std::getline(actualLines, actual));
    bool hasExpected = bool(std::getline(expectedLines, expected));
    if (!hasActual && !hasExpected)
      return std::nullopt;
    if (actual != expected)
      return "line " + std::to_string(number) + " is\n  " + actual + "\nand the figures say\n  " + expected;
  }
}

}  // namespace elmcleat::lab
