// HTTP/1.1 (RFC 9112) as clients speak it: an incremental parser for requests, and a formatter for responses.
// Performs no I/O.
#pragma once
#include <cstddef>
#include <string>
#include <string_view>

#include "protocol/header_fields.h"

namespace elmcleat {

// ASCII letters in lower case; header names and tokens are compared in this form.
std::string toLower(std::string_view text);

struct HttpRequest {
  std::string method, path;
  HeaderFields headers;
  std::string body;
  bool keepAlive = true;

  // The value of the header, whose name is given in lower case; nullopt if absent. It is valid for as long as
  // the request is, unless that is moved.
  std::optional<std::string_view> header(std::string_view name) const { return headers.find(name); }
  // Memory held for its parts, in bytes.
  size_t capacity() const;
};

class HttpRequestParser {
 public:
  static constexpr size_t kMaxHeadBytes = 16 * 1024;
  static constexpr size_t kMaxBodyBytes = 128 * 1024;
  // With `expectsContinue` the client waits for `100 Continue` before it sends the body.
  enum class State { needMore, complete, expectsContinue, malformed };

  // Removes as much of the next request from the front of `bytes` as has arrived, and fills `request` once it
  // is complete. After `malformed`, status() is the status to respond with, and the connection's framing is
  // lost.
  State next(std::string& bytes, HttpRequest& request);
  int status() const { return status_; }
  // Whether no part of a request has been taken since the last complete one.
  bool isBetweenRequests() const { return stage_ == Stage::head; }
  // Memory held for the request being parsed, in bytes.
  size_t bufferedBytes() const { return request_.capacity(); }

 private:
  enum class Stage { head, length, chunkSize, chunk, trailer };
  State fail(int status) {
    status_ = status;
    return State::malformed;
  }
  State parseHead(std::string& bytes);
  State parseChunks(std::string& bytes);
  // Removes whole chunks, and what has arrived of one, from the front of `rest`.
  State takeChunks(std::string_view& rest);

  Stage stage_ = Stage::head;
  HttpRequest request_;
  size_t remainingBytes_ = 0;  // of the body, or of the chunk, still to come
  size_t trailerBytes_ = 0;    // of trailers seen
  int status_ = 400;
};

// A response with a JSON body. `retryAfter` is in seconds, rounded up to a whole one; 0 leaves the header
// out.
std::string formatHttpResponse(int status, std::string_view body, bool keepAlive, double retryAfter = 0);

}  // namespace elmcleat
