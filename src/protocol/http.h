// HTTP/1.1 as clients speak it: requests out of bytes, answers into bytes. No I/O.
#pragma once
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace elmcleat {

std::string toLower(std::string_view text);  // ASCII letters in lower case, as names of headers are compared

struct HttpRequest {
  std::string method, path;
  std::vector<std::pair<std::string, std::string>> headers;  // names in lower case
  std::string body;
  bool keepAlive = true;

  const std::string* header(std::string_view name) const;
};

class HttpRequestParser {
 public:
  static constexpr size_t kMaxHeadBytes = 16 * 1024, kMaxBodyBytes = 128 * 1024;
  enum class State {
    needMore,
    complete,
    expectsContinue,
    malformed
  };  // continues: the client waits for leave to send the body

  // Takes the next request off the front of `bytes`, as much of it as is there. After `malformed`, status() is the
  // answer to give, and the connection's framing is lost.
  State next(std::string& bytes, HttpRequest& request);
  int status() const { return status_; }
  bool isBetweenRequests() const { return stage_ == Stage::head; }  // no part of a request has been taken
  size_t bufferedBytes() const { return request_.body.capacity(); }

 private:
  enum class Stage { head, length, chunkSize, chunk, trailer };
  State bad(int status) {
    status_ = status;
    return State::malformed;
  }
  State readHead(std::string& bytes);
  State readChunks(std::string& bytes);

  Stage stage_ = Stage::head;
  HttpRequest request_;
  size_t left_ = 0;      // bytes of the body, or of the chunk, still to come
  size_t trailers_ = 0;  // bytes of trailers seen
  int status_ = 400;
};

std::string formatHttpResponse(int status, std::string_view body, bool keepAlive, double retryAfter = 0);

}  // namespace elmcleat
