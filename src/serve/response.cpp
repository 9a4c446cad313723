#include "serve/response.h"

#include <utility>

#include "protocol/http.h"
#include "protocol/result_rows.h"

namespace elmcleat {

bool ResultAssembler::addFirstPage(EngineResponse& response) {
  // Each page holds at least one byte, so a result can't have more pages than bytes.
  if (hasStarted() || static_cast<size_t>(response.pageCount) > kMaxResultBytes)
    return false;
  pages_.resize(static_cast<size_t>(response.pageCount));
  missing_ = pages_.size();
  return storePage(0, response.body);
}

bool ResultAssembler::addPage(EngineResponse& response) {
  return storePage(static_cast<size_t>(response.pageNumber), response.body);
}

bool ResultAssembler::storePage(size_t number, std::string& body) {
  if (number >= pages_.size() || pages_[number])
    return false;
  bytes_ += body.size();
  if (bytes_ > kMaxResultBytes)
    return false;
  pages_[number] = std::move(body);
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
  static constexpr const char* kNames[] = {"served", "shed", "failed"};
  return kNames[static_cast<int>(kind)];
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
