#include "protocol/engine_protocol.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace elmcleat {
namespace {

template <typename T>
bool readNumber(std::string_view text, T& value) {
  auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
  return !text.empty() && fault == std::errc() && end == text.data() + text.size();
}

std::string_view cut(std::string_view& text, char mark) {  // the part before the mark, taken off the front
  size_t at = std::min(text.find(mark), text.size());
  std::string_view part = text.substr(0, at);
  text.remove_prefix(std::min(at + 1, text.size()));
  return part;
}

// No engine has a figure beyond this, or below nothing: what says so is damaged, and the module would reckon with it.
constexpr double kMostFigure = 1e9;

bool readFigure(std::string_view text, double& value) {
  return readNumber(text, value) && std::isfinite(value) && value >= 0 && value <= kMostFigure;
}

bool readReport(std::string_view text, LoadReport& report) {
  while (!text.empty()) {
    std::string_view pair = cut(text, ';'), name = cut(pair, ':');
    double value = 0;
    if (!readFigure(pair, value))
      return false;
    if (name == "inflight" || name == "concurrent")
      report.inFlight = value;
    else if (name == "queue" || name == "depth")
      report.queued = value;
    else if (name == "util" || name == "load_share")
      report.utilisation = value;
    else if (name == "x0")
      report.memoryGranted = value;
    else if (name == "x1")
      report.diskUtilisation = value;
  }
  return true;
}

std::optional<StatusTopic> readTopic(std::string_view name) {
  if (name == "pct")
    return StatusTopic::progress;
  if (name == "overflow")
    return StatusTopic::spilling;
  if (name == "queued")
    return StatusTopic::queued;
  return std::nullopt;  // a note that we don't know says nothing to us
}

std::optional<ResponseKind> readWord(std::string_view word) {
  static constexpr std::pair<std::string_view, ResponseKind> words[] = {
      {"HIT", ResponseKind::answered}, {"SHED", ResponseKind::overloaded}, {"FAULT", ResponseKind::error},
      {"LATE", ResponseKind::expired}, {"INFO", ResponseKind::status},     {"PART", ResponseKind::page},
      {"PONG", ResponseKind::healthy}, {"SICK", ResponseKind::unhealthy}};
  for (auto& [name, meaning] : words)
    if (name == word)
      return meaning;
  return std::nullopt;
}

bool readField(std::string_view name, std::string_view value, EngineResponse& response) {
  double figure = 0;
  if (name == "fetches")
    return readNumber(value, response.pageCount) && response.pageCount > 0;
  if (name == "fetch_no")
    return readNumber(value, response.pageNumber) && response.pageNumber > 0;
  if (name == "meter")
    return readReport(value, response.loadReport.emplace());
  if (name == "tell")
    return response.topic = readTopic(value), true;
  if (name == "figure")
    return readFigure(value, response.topicValue);
  if (name != "effort" && name != "high")
    return true;  // unknown fields are skipped
  if (!readFigure(value, figure))
    return false;
  if (!response.usage)
    response.usage.emplace();
  (name == "effort" ? response.usage->work : response.usage->memoryMb) =
      name == "effort" ? figure / 1e3 : figure;
  return true;
}

}  // namespace

EngineResponseParser::State EngineResponseParser::next(std::string& bytes, EngineResponse& response) {
  if (!inBody_) {
    size_t end = bytes.find("\r\n");
    if (end == std::string::npos)
      return bytes.size() > kMaxLineBytes ? State::malformed : State::needMore;
    if (end > kMaxLineBytes || readLine(std::string_view(bytes).substr(0, end)) == State::malformed)
      return State::malformed;
    bytes.erase(0, end + 2);
    inBody_ = true;
  }
  if (bytes.size() < left_ + 2)
    return State::needMore;
  if (bytes.compare(left_, 2, "\r\n") != 0)
    return State::malformed;
  answer_.body = bytes.substr(0, left_);
  bytes.erase(0, left_ + 2);
  inBody_ = false;
  response = std::exchange(answer_, {});
  return State::complete;
}

EngineResponseParser::State EngineResponseParser::readLine(std::string_view line) {
  answer_ = {};
  std::string_view id = cut(line, ' '), word = cut(line, ' '), fields = cut(line, ' ');
  auto known = readWord(word);
  if (id.empty() || !known || fields.empty() || !readNumber(line, left_) || left_ > kMaxBodyBytes)
    return State::malformed;
  answer_.id = id, answer_.kind = *known;
  if (fields == "-")
    return State::complete;
  while (!fields.empty()) {
    std::string_view value = cut(fields, ','), name = cut(value, '=');
    if (name.empty() || !readField(name, value, answer_))
      return State::malformed;
  }
  return State::complete;
}

namespace engine_request {

std::string send(const Send& send) {
  auto limit = std::max(1L, std::lround(std::ceil(send.timeLeft * 1e3)));
  std::string line = "GET ";
  line.append(send.id).append(" cls=").append(send.profile);
  line.append(",limit=").append(std::to_string(limit));
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
