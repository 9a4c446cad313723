#include "serve/answer.h"

#include <utility>

#include "protocol/http.h"
#include "protocol/rows.h"

namespace elmcleat {

bool Gathering::first(EngineAnswer& answer) {
  // A page holds a byte at least, so a number beyond that of the bytes is no number of pages.
  if (begun() || static_cast<size_t>(answer.pages) > kMostBytes)
    return false;
  pages_.resize(static_cast<size_t>(answer.pages));
  missing_ = pages_.size();
  return keep(0, answer.body);
}

bool Gathering::further(EngineAnswer& answer) { return keep(static_cast<size_t>(answer.page), answer.body); }

bool Gathering::keep(size_t number, std::string& page) {
  if (number >= pages_.size() || pages_[number])
    return false;
  if ((bytes_ += page.size()) > kMostBytes)
    return false;
  pages_[number] = std::move(page);
  --missing_;
  return true;
}

std::optional<std::string> Gathering::rows() const {
  std::string json = "[";
  json.reserve(bytes_ + bytes_ / 4);
  for (auto& page : pages_)
    if (!page || !appendRows(json, *page))
      return std::nullopt;
  return json += ']';
}

const char* nameOf(Answer::Kind kind) {
  static constexpr const char* names[] = {"served", "shed", "failed"};
  return names[static_cast<int>(kind)];
}

std::string httpAnswer(const Answer& answer, bool keepAlive) {
  switch (answer.kind) {
    case Answer::Kind::served:
      return httpAnswer(200, "{\"records\":" + answer.rows + "}", keepAlive);
    case Answer::Kind::shed:
      return httpAnswer(503, R"({"problem":"Busy"})", keepAlive, answer.retryAfter);
    case Answer::Kind::failed:
      break;
  }
  return httpAnswer(500, R"({"problem":"Failed"})", keepAlive);
}

}  // namespace elmcleat
