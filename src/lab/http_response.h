// Minimal HTTP/1.1 response parsing for the laboratory's clients: finds the end of a response and its status.
#pragma once
#include <cstdlib>
#include <optional>
#include <string>

namespace elmcleat::lab {

// Removes the first complete response from `bytes` and returns its status code, such as "200"; nothing while
// the response is incomplete. Bodies need a Content-Length header.
inline std::optional<std::string> takeResponseStatus(std::string& bytes) {
  size_t headEnd = bytes.find("\r\n\r\n");
  if (headEnd == std::string::npos)
    return std::nullopt;
  size_t lengthHeader = bytes.find("Content-Length: ");
  size_t bodyLength = 0;
  if (lengthHeader < headEnd)
    bodyLength = std::strtoull(bytes.c_str() + lengthHeader + 16, nullptr, 10);
  if (bytes.size() < headEnd + 4 + bodyLength)
    return std::nullopt;
  std::string status = bytes.substr(9, 3);
  bytes.erase(0, headEnd + 4 + bodyLength);
  return status;
}

}  // namespace elmcleat::lab
