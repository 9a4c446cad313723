#include "protocol/http.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace elmcleat {

std::string toLower(std::string_view text) {
  std::string lowered(text);
  for (char& c : lowered)
    if (c >= 'A' && c <= 'Z')
      c = static_cast<char>(c - 'A' + 'a');
  return lowered;
}

namespace {

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    text.remove_suffix(1);
  return text;
}

// Whether the text is a `token` of RFC 9110: a method or a header name.
bool isToken(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
  });
}

// Parses the whole text as a number.
bool parseNumber(std::string_view text, size_t& value, int base = 10) {
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  return !text.empty() && error == std::errc() && end == text.data() + text.size();
}

// Whether a comma-separated list such as `close, te` contains the token, which is given in lower case.
bool listContains(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    size_t comma = std::min(list.find(','), list.size());
    if (toLower(trim(list.substr(0, comma))) == token)
      return true;
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

// A second length, or a second header of our own, would make a request ambiguous.
bool mustBeUnique(std::string_view name) {
  return name == "content-length" || name == "transfer-encoding" || name == "x-ram" ||
         name.starts_with("req-");
}

}  // namespace

size_t HttpRequest::capacity() const {
  return method.capacity() + path.capacity() + headers.capacity() + body.capacity();
}

HttpRequestParser::State HttpRequestParser::next(std::string& bytes, HttpRequest& request) {
  if (stage_ == Stage::head)
    if (State state = parseHead(bytes); state != State::complete)
      return state;
  if (stage_ == Stage::length) {
    size_t part = std::min(remainingBytes_, bytes.size());
    request_.body.append(bytes, 0, part);
    bytes.erase(0, part);
    remainingBytes_ -= part;
    if (remainingBytes_ > 0)
      return State::needMore;
  } else if (State state = parseChunks(bytes); state != State::complete)
    return state;
  stage_ = Stage::head;
  request = std::exchange(request_, {});
  return State::complete;
}

HttpRequestParser::State HttpRequestParser::parseHead(std::string& bytes) {
  // Empty lines before a request line are ignored (RFC 9112, section 2.2).
  bytes.erase(0, std::min(bytes.find_first_not_of("\r\n"), bytes.size()));
  size_t end = bytes.find("\r\n\r\n");
  if (end == std::string::npos)
    return bytes.size() > kMaxHeadBytes ? fail(431) : State::needMore;
  if (end > kMaxHeadBytes)
    return fail(431);
  std::string head = bytes.substr(0, end);
  bytes.erase(0, end + 4);

  std::string_view rest = head;
  auto nextLine = [&] {
    size_t lineEnd = std::min(rest.find("\r\n"), rest.size());
    std::string_view line = rest.substr(0, lineEnd);
    rest.remove_prefix(std::min(lineEnd + 2, rest.size()));
    return line;
  };

  // The request line.
  request_ = {};
  std::string_view requestLine = nextLine();
  size_t firstSpace = requestLine.find(' ');
  size_t lastSpace = requestLine.rfind(' ');
  if (firstSpace == std::string_view::npos || firstSpace == lastSpace)
    return fail(400);
  std::string_view target = requestLine.substr(firstSpace + 1, lastSpace - firstSpace - 1);
  std::string_view version = requestLine.substr(lastSpace + 1);
  if (!isToken(requestLine.substr(0, firstSpace)) || target.empty() || target.front() != '/')
    return fail(400);
  if (std::ranges::any_of(target, [](char c) { return c <= ' ' || c == 0x7f; }))
    return fail(400);
  if (version != "HTTP/1.1" && version != "HTTP/1.0")
    return fail(400);
  request_.method = requestLine.substr(0, firstSpace);
  request_.path = target;

  // The headers.
  request_.headers.reserve(rest.size());
  while (!rest.empty()) {
    std::string_view field = nextLine();
    size_t colon = field.find(':');
    if (colon == std::string_view::npos || !isToken(field.substr(0, colon)))
      return fail(400);
    std::string_view value = trim(field.substr(colon + 1));
    if (std::ranges::any_of(value, [](char c) { return (c >= 0 && c < ' ' && c != '\t') || c == 0x7f; }))
      return fail(400);
    request_.headers.add(toLower(field.substr(0, colon)), value);
  }
  if (request_.headers.hasDuplicate(mustBeUnique))
    return fail(400);

  // How the body is framed, and whether the connection stays open after it.
  auto connection = request_.header("connection");
  request_.keepAlive = version == "HTTP/1.1" ? !(connection && listContains(*connection, "close"))
                                             : connection && listContains(*connection, "keep-alive");
  auto length = request_.header("content-length");
  trailerBytes_ = 0;
  remainingBytes_ = 0;
  if (auto coding = request_.header("transfer-encoding")) {
    if (length || toLower(*coding) != "chunked")
      return fail(400);
    stage_ = Stage::chunkSize;
  } else {
    if (length && !parseNumber(*length, remainingBytes_))
      return fail(400);
    if (remainingBytes_ > kMaxBodyBytes)
      return fail(413);
    stage_ = Stage::length;
  }
  auto expect = request_.header("expect");
  if (expect && toLower(*expect) != "100-continue")
    return fail(417);
  return expect && bytes.empty() ? State::expectsContinue : State::complete;
}

// What was consumed is removed once: a removal for each of many small chunks would move the rest each time.
HttpRequestParser::State HttpRequestParser::parseChunks(std::string& bytes) {
  std::string_view rest = bytes;
  State state = takeChunks(rest);
  bytes.erase(0, bytes.size() - rest.size());
  return state;
}

HttpRequestParser::State HttpRequestParser::takeChunks(std::string_view& rest) {
  while (true) {
    if (stage_ == Stage::chunk) {
      size_t part = std::min(remainingBytes_, rest.size());
      request_.body.append(rest, 0, part);
      rest.remove_prefix(part);
      remainingBytes_ -= part;
      if (remainingBytes_ > 0 || rest.size() < 2)
        return State::needMore;
      if (!rest.starts_with("\r\n"))
        return fail(400);
      rest.remove_prefix(2);
      stage_ = Stage::chunkSize;
    }
    size_t end = rest.find("\r\n");
    if (end == std::string_view::npos)
      return rest.size() > kMaxHeadBytes ? fail(400) : State::needMore;
    std::string_view line = rest.substr(0, end);
    rest.remove_prefix(end + 2);
    if (stage_ == Stage::trailer) {
      if (line.empty())
        return State::complete;
      if ((trailerBytes_ += line.size()) > kMaxHeadBytes)
        return fail(431);
      continue;
    }
    // A chunk size, in hex; extensions after a semicolon are ignored.
    if (!parseNumber(trim(line.substr(0, line.find(';'))), remainingBytes_, 16))
      return fail(400);
    if (remainingBytes_ > kMaxBodyBytes || request_.body.size() + remainingBytes_ > kMaxBodyBytes)
      return fail(413);
    stage_ = remainingBytes_ > 0 ? Stage::chunk : Stage::trailer;
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
  std::string response = "HTTP/1.1 " + std::to_string(status) + " " + reason() + "\r\n";
  response += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  if (retryAfter > 0)
    response += "Retry-After: " + std::to_string(std::lround(std::ceil(retryAfter))) + "\r\n";
  if (!keepAlive)
    response += "Connection: close\r\n";
  response += "\r\n";
  return response.append(body);
}

}  // namespace elmcleat
