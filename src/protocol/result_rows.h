// Result pages as engines write them, into the JSON that clients read.
#pragma once
#include <string>
#include <string_view>

namespace elmcleat {

// Appends the rows of a page, [["a","1","x"],...] without the outer brackets. False if it is not UTF-8, or a row
// is not whole or has not three columns: nothing is passed on that the client could read in another way.
bool appendRows(std::string& json, std::string_view page);

}  // namespace elmcleat
