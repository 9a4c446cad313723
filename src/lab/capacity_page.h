// The capacity page: between `<!-- scale: PREFIX ... -->` and `<!-- /scale -->` it holds a table, generated
// from figures files, of the figures whose names begin with one of the prefixes.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "lab/figures_file.h"

namespace elmcleat::lab {

std::string tableOf(const std::vector<FiguresFile>& files, const std::vector<std::string>& prefixes);
// The page with all its tables generated again. Throws ValidationErrors if a table has no end marker, or if
// no figure has one of its prefixes.
std::string filled(const std::string& page, const std::vector<FiguresFile>& files);
// The number and both forms of the first line that differs from the files; nothing if the page agrees.
std::optional<std::string> firstDifference(const std::string& page, const std::vector<FiguresFile>& files);

}  // namespace elmcleat::lab
