#include "serve/response.h"

#include <utility>

#include "protocol/http.h"
#include "protocol/result_rows.h"

namespace elmcleat {

bool ResultAssembler::addFirstPage(EngineResponse& response) {
  // A page holds a byte at least, so a number beyond that of the bytes is no number of pages.
  if (hasStarted() || static_cast<size_t>(response.pageCount) > kMaxResultBytes)
    return false;
  pages_.resize(static_cast<size_t>(response.pageCount));
  missing_ = pages_.size();
  return storePage(0, response.body);
}

bool ResultAssembler::addPage(EngineResponse& response) {
  return storePage(static_cast<size_t>(response.pageNumber), response.body);
}

bool ResultAssembler::storePage(size_t number, std::string& page) {
  if (number >= pages_.size() || pages_[number])
    return false;
  if ((bytes_ += page.size()) > kMaxResultBytes)
    return false;
  pages_[number] = std::move(page);
  --missing_;
  return true;
}

std::optional<std::string> ResultAssembler::rows() const {
  std::string json = "[";
  json.reserve(bytes_ + bytes_ / 4);
  for (auto& page : pages_)
    if (!page || !appendRows(json, *page))
      return std::nullopt;
  return json += ']';
}

const char* nameOf(Response::Kind kind) {
  static constexpr const char* names[] = {"served", "shed", "failed"};
  return names[static_cast<int>(kind)];
}

std::string formatHttpResponse(const Response& response, bool keepAlive) {
  switch (response.kind) {
    case Response::Kind::served:
      return formatHttpResponse(200, "{\"records\":" + response.rows + "}", keepAlive);
    case Response::Kind::shed:
      return formatHttpResponse(503, R"({"problem":"Busy"})", keepAlive, response.retryAfter);
    case Response::Kind::failed:
      break;
  }
  return formatHttpResponse(500, R"({"problem":"Failed"})", keepAlive);
}

}  // namespace elmcleat
