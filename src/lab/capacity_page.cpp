#include "lab/capacity_page.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <sstream>

namespace elmcleat::lab {
namespace {

constexpr char kBegin[] = "<!-- scale:", kEnd[] = "<!-- /scale -->";

std::string shortly(double value) {  // three digits that count
  char text[32];
  std::snprintf(text, sizeof text, std::abs(value) >= 1000 || value == 0 ? "%.0f" : "%.3g", value);
  return text;
}
std::string shortly(const std::optional<double>& value) { return value ? shortly(*value) : "-"; }

std::string growth(const Figure& figure) {
  Fits fits = figure.fits();
  if (figure.xs.size() < 3)
    return "too few sizes";
  if (fits.best == Growth::none)
    return "neither line nor power";
  bool line = fits.best == Growth::line;
  const Fit& fit = line ? *fits.line : *fits.power;
  std::string form = line ? shortly(fit.a) + (fit.b < 0 ? " - " : " + ") + shortly(std::abs(fit.b)) + " x"
                          : shortly(fit.a) + " x^" + shortly(fit.b);
  return form + ", residual " + shortly(std::round(fit.residual * 1000) / 1000);
}

std::string nameOf(const std::string& name, const std::string& variant) {
  return variant.empty() ? name : name + ", " + variant;
}

std::string passed(const Figure& one) {
  if (!one.limit || one.ys.empty())
    return "-";
  if (auto at = one.passedAt())
    return (one.ys.front() > *one.limit ? "at or below " : "") + shortly(*at);
  return "above " + shortly(one.xs.back());  // and no fit tells where
}

std::string rowOf(const Figure& one) {
  std::ostringstream row;
  row << "| " << nameOf(one.name, one.variant) << " (" << one.unit << ") | " << one.xName << " | ";
  for (size_t i = 0; i < one.xs.size(); ++i)
    row << (i ? "; " : "") << shortly(one.xs[i]) << ": " << shortly(one.ys[i]);
  row << " | " << growth(one) << " | ";
  if (one.target && one.atTarget())
    row << shortly(*one.target) << ": " << shortly(one.atTarget())
        << (one.measuredAtTarget() ? "" : " (fitted)");
  else
    row << "-";
  row << " | " << shortly(one.limit) << " | " << passed(one) << " |\n";
  return row.str();
}

}  // namespace

std::string tableOf(const std::vector<FiguresFile>& files, const std::vector<std::string>& prefixes) {
  auto named = [&](const std::string& name) {
    return std::ranges::any_of(prefixes, [&](auto& prefix) { return name.starts_with(prefix); });
  };
  std::string rows;
  for (auto& file : files)
    for (auto& one : file.figures)
      if (named(one.name))
        rows += rowOf(one);
  for (auto& file : files)
    for (auto& one : file.missing)
      if (named(one.figure))
        rows += "| " + nameOf(one.figure, one.variant) + " | " + shortly(one.x) +
                " | not taken: " + one.reason + " | - | - | - | - |\n";
  if (rows.empty())
    return rows;
  return "| figure | by | measured | grows as | at target | limit | passed at |\n"
         "| --- | --- | --- | --- | --- | --- | --- |\n" +
         rows;
}

std::string filled(const std::string& page, const std::vector<FiguresFile>& files) {
  std::istringstream in(page);
  std::string out, line;
  for (size_t number = 1; std::getline(in, line); ++number) {
    out += line + "\n";
    if (!line.starts_with(kBegin))
      continue;
    std::istringstream words(line.substr(sizeof kBegin - 1));
    std::vector<std::string> prefixes;
    for (std::string word; words >> word && word != "-->";)
      prefixes.push_back(word);
    std::string table = tableOf(files, prefixes), where = "line " + std::to_string(number) + ": ";
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
  std::istringstream has(page), wants(filled(page, files));
  for (size_t number = 1;; ++number) {
    std::string found, wanted;
    bool more = bool(std::getline(has, found)), due = bool(std::getline(wants, wanted));
    if (!more && !due)
      return std::nullopt;
    if (found != wanted)
      return "line " + std::to_string(number) + " is\n  " + found + "\nand the figures say\n  " + wanted;
  }
}

}  // namespace elmcleat::lab
