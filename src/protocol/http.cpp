#include "protocol/http.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace elmcleat {

std::string toLower(std::string_view text) {
  std::string low(text);
  for (char& c : low)
    if (c >= 'A' && c <= 'Z')
      c = static_cast<char>(c - 'A' + 'a');
  return low;
}

namespace {

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    text.remove_suffix(1);
  return text;
}

bool isToken(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
  });
}

bool readNumber(std::string_view text, size_t& value, int base = 10) {
  auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  return !text.empty() && fault == std::errc() && end == text.data() + text.size();
}

// Whether a list such as `Connection: close, te` holds the word.
bool lists(std::string_view list, std::string_view word) {
  while (!list.empty()) {
    size_t comma = std::min(list.find(','), list.size());
    if (toLower(trim(list.substr(0, comma))) == word)
      return true;
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

}  // namespace

const std::string* HttpRequest::header(std::string_view name) const {
  for (auto& [known, value] : headers)
    if (known == name)
      return &value;
  return nullptr;
}

HttpRequestParser::State HttpRequestParser::next(std::string& bytes, HttpRequest& request) {
  if (stage_ == Stage::head)
    if (State state = readHead(bytes); state != State::complete)
      return state;
  if (stage_ == Stage::length) {
    size_t part = std::min(left_, bytes.size());
    request_.body.append(bytes, 0, part);
    bytes.erase(0, part);
    left_ -= part;
    if (left_ > 0)
      return State::needMore;
  } else if (State state = readChunks(bytes); state != State::complete)
    return state;
  stage_ = Stage::head;
  request = std::exchange(request_, {});
  return State::complete;
}

HttpRequestParser::State HttpRequestParser::readHead(std::string& bytes) {
  bytes.erase(
      0, std::min(bytes.find_first_not_of("\r\n"), bytes.size()));  // stray ends of line between requests
  size_t end = bytes.find("\r\n\r\n");
  if (end == std::string::npos)
    return bytes.size() > kMaxHeadBytes ? bad(431) : State::needMore;
  if (end > kMaxHeadBytes)
    return bad(431);
  std::string head = bytes.substr(0, end);
  bytes.erase(0, end + 4);

  std::string_view rest = head;
  auto line = [&] {
    size_t stop = std::min(rest.find("\r\n"), rest.size());
    std::string_view one = rest.substr(0, stop);
    rest.remove_prefix(std::min(stop + 2, rest.size()));
    return one;
  };
  request_ = {};
  std::string_view first = line();
  size_t one = first.find(' '), two = first.rfind(' ');
  if (one == std::string_view::npos || one == two)
    return bad(400);
  std::string_view target = first.substr(one + 1, two - one - 1), version = first.substr(two + 1);
  if (!isToken(first.substr(0, one)) || target.empty() || target.front() != '/')
    return bad(400);
  if (std::ranges::any_of(target, [](char c) { return c <= ' ' || c == 0x7f; }))
    return bad(400);
  if (version != "HTTP/1.1" && version != "HTTP/1.0")
    return bad(400);
  request_.method = first.substr(0, one), request_.path = target;
  while (!rest.empty()) {
    std::string_view field = line();
    size_t colon = field.find(':');
    if (colon == std::string_view::npos || !isToken(field.substr(0, colon)))
      return bad(400);
    std::string_view value = trim(field.substr(colon + 1));
    if (std::ranges::any_of(value, [](char c) { return (c >= 0 && c < ' ' && c != '\t') || c == 0x7f; }))
      return bad(400);
    std::string name = toLower(field.substr(0, colon));
    // Two lengths, or a field of ours twice, could be read in two ways.
    bool single = name == "content-length" || name == "transfer-encoding" || name == "x-ram";
    if (request_.header(name) && (single || name.starts_with("req-")))
      return bad(400);
    request_.headers.emplace_back(std::move(name), value);
  }
  auto* connection = request_.header("connection");
  request_.keepAlive = version == "HTTP/1.1" ? !(connection && lists(*connection, "close"))
                                             : connection && lists(*connection, "keep-alive");
  auto* length = request_.header("content-length");
  left_ = trailers_ = 0;
  if (auto* coding = request_.header("transfer-encoding")) {
    if (length || toLower(*coding) != "chunked")
      return bad(400);
    stage_ = Stage::chunkSize;
  } else {
    if (length && !readNumber(*length, left_))
      return bad(400);
    if (left_ > kMaxBodyBytes)
      return bad(413);
    stage_ = Stage::length;
  }
  auto* expects = request_.header("expect");
  if (expects && toLower(*expects) != "100-continue")
    return bad(417);
  return expects && bytes.empty() ? State::expectsContinue : State::complete;
}

HttpRequestParser::State HttpRequestParser::readChunks(std::string& bytes) {
  while (true) {
    if (stage_ == Stage::chunk) {
      size_t part = std::min(left_, bytes.size());
      request_.body.append(bytes, 0, part);
      bytes.erase(0, part);
      left_ -= part;
      if (left_ > 0 || bytes.size() < 2)
        return State::needMore;
      if (!bytes.starts_with("\r\n"))
        return bad(400);
      bytes.erase(0, 2);
      stage_ = Stage::chunkSize;
    }
    size_t end = bytes.find("\r\n");
    if (end == std::string::npos)
      return bytes.size() > kMaxHeadBytes ? bad(400) : State::needMore;
    std::string text = bytes.substr(0, end);
    bytes.erase(0, end + 2);
    if (stage_ == Stage::trailer) {
      if (text.empty())
        return State::complete;
      if ((trailers_ += text.size()) > kMaxHeadBytes)
        return bad(431);
      continue;
    }
    if (!readNumber(trim(std::string_view(text).substr(0, text.find(';'))), left_, 16))
      return bad(400);
    if (left_ > kMaxBodyBytes || request_.body.size() + left_ > kMaxBodyBytes)
      return bad(413);
    stage_ = left_ > 0 ? Stage::chunk : Stage::trailer;
  }
}

std::string formatHttpResponse(int status, std::string_view body, bool keepAlive, double retryAfter) {
  auto reason = [&] {
    switch (status) {
      case 200:
        return "OK";
      case 400:
        return "Bad Request";
      case 404:
        return "Not Found";
      case 405:
        return "Method Not Allowed";
      case 408:
        return "Request Timeout";
      case 409:
        return "Conflict";
      case 413:
        return "Content Too Large";
      case 417:
        return "Expectation Failed";
      case 431:
        return "Request Header Fields Too Large";
      case 503:
        return "Service Unavailable";
      default:
        return "Internal Server Error";
    }
  };
  std::string answer = "HTTP/1.1 " + std::to_string(status) + " " + reason() + "\r\n";
  answer += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  if (retryAfter > 0)
    answer += "Retry-After: " + std::to_string(std::lround(std::ceil(retryAfter))) + "\r\n";
  if (!keepAlive)
    answer += "Connection: close\r\n";
  answer += "\r\n";
  return answer.append(body);
}

}  // namespace elmcleat
