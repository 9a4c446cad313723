// The page of capacity: between `<!-- scale: NAME ... -->` and `<!-- /scale -->` stands a table of the
// figures whose names begin so, made from figures files.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "lab/figures_file.h"

namespace elmcleat::lab {

std::string tableOf(const std::vector<FiguresFile>& files, const std::vector<std::string>& prefixes);
// The page with all its tables made anew; ValidationErrors if one has no end, or names no figure at all.
std::string filled(const std::string& page, const std::vector<FiguresFile>& files);
// The first line that is not as the files have it: its number and both forms. Nothing: they agree.
std::optional<std::string> firstDifference(const std::string& page, const std::vector<FiguresFile>& files);

}  // namespace elmcleat::lab
