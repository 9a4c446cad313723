// What stand-in clients need of an answer over HTTP: its end and its status.
#pragma once
#include <cstdlib>
#include <optional>
#include <string>

namespace elmcleat::lab {

// Takes the first whole answer off `bytes` and tells its status, as "200"; nothing while there is none.
inline std::optional<std::string> takeResponseStatus(std::string& bytes) {
  size_t head = bytes.find("\r\n\r\n");
  if (head == std::string::npos)
    return std::nullopt;
  size_t at = bytes.find("Content-Length: "), length = 0;
  if (at < head)
    length = std::strtoull(bytes.c_str() + at + 16, nullptr, 10);
  if (bytes.size() < head + 4 + length)
    return std::nullopt;
  std::string status = bytes.substr(9, 3);
  bytes.erase(0, head + 4 + length);
  return status;
}

}  // namespace elmcleat::lab
