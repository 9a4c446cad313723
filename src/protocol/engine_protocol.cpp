#include "protocol/engine_protocol.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace elmcleat {
namespace {

// Parses the whole text as a number.
template <typename T>
bool parseNumber(std::string_view text, T& value) {
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return !text.empty() && error == std::errc() && end == text.data() + text.size();
}

// Removes and returns the part of the text before the delimiter, or all of it; the delimiter is removed too.
std::string_view takeUntil(std::string_view& text, char delimiter) {
  size_t position = std::min(text.find(delimiter), text.size());
  std::string_view part = text.substr(0, position);
  text.remove_prefix(std::min(position + 1, text.size()));
  return part;
}

// Calls `useElement` with each element of a list, also with empty ones; false as soon as that returns false.
template <typename UseElement>
bool forEachElement(std::string_view list, char separator, UseElement useElement) {
  while (true) {
    size_t end = std::min(list.find(separator), list.size());
    if (!useElement(list.substr(0, end)))
      return false;
    if (end == list.size())
      return true;
    list.remove_prefix(end + 1);
  }
}

// Upper bound of any measurement that an engine reports. A larger or a negative value can only come from a
// damaged response, and the policy would base its decisions on it.
constexpr double kMaxMeasurement = 1e9;

bool parseMeasurement(std::string_view text, double& value) {
  return parseNumber(text, value) && std::isfinite(value) && value >= 0 && value <= kMaxMeasurement;
}

bool parseLoadReport(std::string_view text, LoadReport& report) {
  if (text.empty())
    return true;
  return forEachElement(text, ';', [&](std::string_view value) {
    std::string_view name = takeUntil(value, ':');
    double measurement = 0;
    if (!parseMeasurement(value, measurement))
      return false;
    if (name == "inflight" || name == "concurrent")
      report.inFlight = measurement;
    else if (name == "queue" || name == "depth")
      report.queued = measurement;
    else if (name == "util" || name == "load_share")
      report.utilisation = measurement;
    else if (name == "x0")
      report.memoryGranted = measurement;
    else if (name == "x1")
      report.diskUtilisation = measurement;
    return true;
  });
}

std::optional<StatusTopic> parseStatusTopic(std::string_view name) {
  if (name == "pct")
    return StatusTopic::progress;
  if (name == "overflow")
    return StatusTopic::spilling;
  if (name == "queued")
    return StatusTopic::queued;
  return std::nullopt;  // an unknown topic: the status update carries nothing that we use
}

std::optional<ResponseKind> parseResponseKind(std::string_view word) {
  static constexpr std::pair<std::string_view, ResponseKind> kKinds[] = {
      {"HIT", ResponseKind::answered}, {"SHED", ResponseKind::overloaded}, {"FAULT", ResponseKind::error},
      {"LATE", ResponseKind::expired}, {"INFO", ResponseKind::status},     {"PART", ResponseKind::page},
      {"PONG", ResponseKind::healthy}, {"SICK", ResponseKind::unhealthy}};
  for (auto& [name, kind] : kKinds)
    if (name == word)
      return kind;
  return std::nullopt;
}

ResourceUsage& usageOf(EngineResponse& response) {
  return response.usage ? *response.usage : response.usage.emplace();
}

// False if the value can't be what the name says. Unknown fields are skipped.
bool parseField(std::string_view name, std::string_view value, EngineResponse& response) {
  if (name == "fetches")
    return parseNumber(value, response.pageCount) && response.pageCount > 0;
  if (name == "fetch_no")
    return parseNumber(value, response.pageNumber) && response.pageNumber > 0;
  if (name == "meter")
    return parseLoadReport(value, response.loadReport.emplace());
  if (name == "tell") {
    response.topic = parseStatusTopic(value);
    return true;
  }
  if (name == "figure")
    return parseMeasurement(value, response.topicValue.emplace());
  if (name == "effort") {
    double milliseconds = 0;
    if (!parseMeasurement(value, milliseconds))
      return false;
    usageOf(response).work = milliseconds / 1e3;
    return true;
  }
  if (name == "high")
    return parseMeasurement(value, usageOf(response).memoryMb);
  return true;
}

// Parses fields as they stand in a line: `name=value,...`.
bool parseFields(std::string_view fields, EngineResponse& response) {
  return forEachElement(fields, ',', [&](std::string_view value) {
    if (value.find('=') == std::string_view::npos)
      return false;
    std::string_view name = takeUntil(value, '=');
    return !name.empty() && parseField(name, value, response);
  });
}

}  // namespace

bool EngineResponse::hasRequiredFields() const {
  switch (kind) {
    case ResponseKind::answered:
      return pageCount > 0;
    case ResponseKind::page:
      return pageNumber > 0;
    default:
      return true;
  }
}

EngineResponseParser::State EngineResponseParser::next(std::string& bytes, EngineResponse& response) {
  if (!inBody_) {
    size_t end = bytes.find("\r\n");
    if (end == std::string::npos)
      return bytes.size() > kMaxLineBytes ? State::malformed : State::needMore;
    if (end > kMaxLineBytes || parseLine(std::string_view(bytes).substr(0, end)) == State::malformed)
      return State::malformed;
    bytes.erase(0, end + 2);
    inBody_ = true;
  }
  if (bytes.size() < bodyBytes_ + 2)
    return State::needMore;
  if (bytes.compare(bodyBytes_, 2, "\r\n") != 0)
    return State::malformed;
  response_.body = bytes.substr(0, bodyBytes_);
  bytes.erase(0, bodyBytes_ + 2);
  inBody_ = false;
  response = std::exchange(response_, {});
  return State::complete;
}

EngineResponseParser::State EngineResponseParser::parseLine(std::string_view line) {
  response_ = {};
  std::string_view id = takeUntil(line, ' ');
  std::string_view word = takeUntil(line, ' ');
  std::string_view fields = takeUntil(line, ' ');
  auto kind = parseResponseKind(word);
  if (id.empty() || !kind || fields.empty() || !parseNumber(line, bodyBytes_) || bodyBytes_ > kMaxBodyBytes)
    return State::malformed;
  response_.id = id;
  response_.kind = *kind;
  if (fields != "-" && !parseFields(fields, response_))
    return State::malformed;
  if (!response_.topicValue)
    response_.topic.reset();  // a topic alone reports nothing
  return State::complete;
}

namespace engine_request {

std::string send(const Send& send) {
  auto limitMs = std::max(1L, std::lround(std::ceil(send.timeLeft * 1e3)));
  std::string line = "GET ";
  line.append(send.id).append(" cls=").append(send.profile);
  line.append(",limit=").append(std::to_string(limitMs));
  if (!send.token.empty())
    line.append(",nonce=").append(send.token);
  if (send.priority)
    line.append(",weight=").append(std::to_string(*send.priority));
  line.append(" ").append(std::to_string(send.statement.size())).append("\r\n");
  return line.append(send.statement).append("\r\n");
}
std::string drop(std::string_view id) { return std::string("DROP ").append(id).append("\r\n"); }
std::string priority(std::string_view id, int priority) {
  return std::string("RANK ").append(id).append(" ").append(std::to_string(priority)).append("\r\n");
}
std::string page(std::string_view id, int number) {
  return std::string("PAGE ").append(id).append(" ").append(std::to_string(number)).append("\r\n");
}
std::string close(std::string_view id) { return std::string("CLOSE ").append(id).append("\r\n"); }
std::string probe(std::string_view tag, bool report) {
  return std::string(report ? "LOAD " : "PING ").append(tag).append("\r\n");
}

}  // namespace engine_request

}  // namespace elmcleat
