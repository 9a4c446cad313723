// The last stage of a command: its pages gathered, its one answer written.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "protocol/engine_protocol.h"

namespace elmcleat {

struct Response {  // the one and last answer to a command
  enum class Kind { served, shed, failed };
  Kind kind = Kind::failed;
  std::string rows;       // JSON, with `served`
  double retryAfter = 0;  // seconds, with `shed`; 0: no advice
};

// The pages of one result. They are passed on only when all are there: until then a lost one can be made
// good by a further send, and the client never sees half a result.
class ResultAssembler {
 public:
  static constexpr size_t kMaxResultBytes = 48'000;  // of one result

  // Each is false if the page can't belong to this result.
  bool addFirstPage(EngineResponse& response);
  bool addPage(EngineResponse& response);
  bool hasStarted() const { return !pages_.empty(); }
  bool hasPage(int page) const { return static_cast<size_t>(page) < pages_.size() && pages_[size_t(page)]; }
  bool isComplete() const { return hasStarted() && missing_ == 0; }
  int pageCount() const { return static_cast<int>(pages_.size()); }
  std::optional<std::string> rows() const;  // none if a row can't be read

 private:
  bool storePage(size_t number, std::string& page);

  std::vector<std::optional<std::string>> pages_;
  size_t missing_ = 0, bytes_ = 0;
};

const char* nameOf(Response::Kind kind);
std::string formatHttpResponse(const Response& response, bool keepAlive);

}  // namespace elmcleat
