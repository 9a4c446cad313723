// The lines spoken with engines: commands out, answers in. No I/O.
#pragma once
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "policy.h"

namespace elmcleat {

enum class ResponseKind { answered, overloaded, error, expired, status, page, healthy, unhealthy };

struct EngineResponse {
  std::string id;
  ResponseKind kind = ResponseKind::answered;
  int pageCount = 1, pageNumber = 0;  // of all pages, with `answered`; its number, with `page`
  std::optional<StatusTopic> topic;
  double topicValue = 0;
  std::optional<LoadReport> loadReport;
  std::optional<ResourceUsage> usage;
  std::string body;
};

class EngineResponseParser {
 public:
  static constexpr size_t kMaxLineBytes = 4 * 1024,
                          kMaxBodyBytes = 48'000;  // no page is longer than a whole result
  enum class State { needMore, complete, malformed };
  State next(std::string& bytes, EngineResponse& response);
  bool isBetweenResponses(const std::string& bytes) const {
    return !inBody_ && bytes.empty();
  }  // no part of an answer

 private:
  State readLine(std::string_view line);

  bool inBody_ = false;
  size_t left_ = 0;
  EngineResponse answer_;
};

namespace engine_request {

struct Send {
  std::string_view id, profile, token, statement;
  double timeLeft = 0;
  std::optional<int> priority;
};
std::string send(const Send& send);
std::string drop(std::string_view id);
std::string priority(std::string_view id, int priority);
std::string page(std::string_view id, int number);
std::string close(std::string_view id);
std::string probe(std::string_view tag, bool report);

}  // namespace engine_request

}  // namespace elmcleat
