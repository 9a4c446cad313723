// The line protocol spoken with engines: requests are formatted as text, responses are parsed incrementally.
// Performs no I/O. Every line ends with CR LF. A response is the line `ID WORD FIELDS LENGTH`, where FIELDS
// is `-` or `name=value,...`, followed by LENGTH bytes of body and CR LF. All fields may be absent, but for those
// of EngineResponse::hasRequiredFields().
#pragma once
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "policy.h"

namespace elmcleat {

// What an engine's response says.
enum class ResponseKind {
  answered,    // the first page of the result
  overloaded,  // refused without running it
  error,
  expired,    // its time had run out when it arrived: it didn't run
  status,     // about a running send
  page,       // a further page of the result
  healthy,    // answer to a probe
  unhealthy,  // answer to a probe
};

// One response, complete with its body.
struct EngineResponse {
  std::string id;
  ResponseKind kind = ResponseKind::answered;
  int pageCount = 0;                 // with `answered`: how many pages the result has in all; 0: not given
  int pageNumber = 0;                // with `page`: the number of this page; 0: not given
  std::optional<StatusTopic> topic;  // with `status`: what `topicValue` is about; none if nothing is reported
  std::optional<double> topicValue;
  std::optional<LoadReport> loadReport;
  std::optional<ResourceUsage> usage;
  std::string body;

  // Whether the fields are there without which a send can't use a response of this kind: the page count of an
  // answer, the number of a page. One whose name was damaged on the way has been skipped as unknown. The parser
  // does not ask for them: beside a valid response there may be one without fields that matches no send.
  bool hasRequiredFields() const;
};

// Parses responses incrementally from the bytes received so far.
class EngineResponseParser {
 public:
  static constexpr size_t kMaxLineBytes = 4 * 1024;
  static constexpr size_t kMaxBodyBytes = 48'000;  // no page is longer than a whole result
  enum class State { needMore, complete, malformed };

  // Removes as much of the next response from the front of `bytes` as has arrived, and fills `response` once
  // it is complete. After `malformed` the framing is lost: the connection has to be closed.
  State next(std::string& bytes, EngineResponse& response);

  // Whether no part of a response has arrived since the last complete one; `bytes` is what next() left.
  bool isBetweenResponses(const std::string& bytes) const { return !inBody_ && bytes.empty(); }

 private:
  State parseLine(std::string_view line);

  bool inBody_ = false;  // the line has been parsed, the body has not arrived completely
  size_t bodyBytes_ = 0;
  EngineResponse response_;
};

// Requests to engines, as the bytes to write.
namespace engine_request {

struct Send {
  std::string_view id, profile, token, statement;
  double timeLeft = 0;  // time limit in seconds; rounded up to whole milliseconds, at least 1
  std::optional<int> priority;
};
std::string send(const Send& send);

// Cancels a command.
std::string drop(std::string_view id);
// Changes the priority of a command that has been sent.
std::string priority(std::string_view id, int priority);
// Asks for one page of a result.
std::string page(std::string_view id, int number);
// Releases a result whose further pages are not needed.
std::string close(std::string_view id);
// Checks the engine's health; with `report` the response also carries a load report.
std::string probe(std::string_view tag, bool report);

}  // namespace engine_request

}  // namespace elmcleat
