// Converts result pages, as engines write them (UTF-8, tab-separated columns, one row a line), to the JSON
// that clients read.
#pragma once
#include <string>
#include <string_view>

namespace elmcleat {

// Appends the rows of a page to `json` as [["a","1","x"],...] without the outer brackets. Returns false if
// the page is not valid UTF-8, ends within a row or has a row without exactly three columns: nothing that a
// client could misread is passed on.
bool appendRows(std::string& json, std::string_view page);

}  // namespace elmcleat
