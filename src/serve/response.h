// A command's response: assembles the pages of its result and formats the HTTP response.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "protocol/engine_protocol.h"

namespace elmcleat {

// The one response to a command.
struct Response {
  // served: the rows; shed: a retry by the client does no harm; failed: the command may have run.
  enum class Kind { served, shed, failed };
  Kind kind = Kind::failed;
  std::string rows;       // JSON, with `served`
  double retryAfter = 0;  // seconds, with `shed`; 0: no advice
};

// Collects the pages of one result. The result is passed on only when it is complete: until then another send
// can replace a lost page, and the client never sees a partial result.
class ResultAssembler {
 public:
  static constexpr size_t kMaxResultBytes = 48'000;  // of all pages together

  // Both move the page's body; false if the page can't belong to this result.
  bool addFirstPage(EngineResponse& response);
  bool addPage(EngineResponse& response);
  bool hasStarted() const { return !pages_.empty(); }
  bool hasPage(int page) const { return static_cast<size_t>(page) < pages_.size() && pages_[size_t(page)]; }
  bool isComplete() const { return hasStarted() && missing_ == 0; }
  int pageCount() const { return static_cast<int>(pages_.size()); }
  std::optional<std::string> rows() const;  // as JSON; none if a row is malformed

 private:
  bool storePage(size_t number, std::string& body);

  std::vector<std::optional<std::string>> pages_;
  size_t missing_ = 0;
  size_t bytes_ = 0;
};

const char* nameOf(Response::Kind kind);
std::string formatHttpResponse(const Response& response, bool keepAlive);

}  // namespace elmcleat
