// The lines spoken with engines: commands out, answers in. No I/O.
#pragma once
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "policy.h"

namespace elmcleat {

enum class Word { answered, full, error, over, note, page, well, sick };

struct EngineAnswer {
  std::string id;
  Word word = Word::answered;
  int pages = 1, page = 0;  // of all pages, with `answered`; its number, with `page`
  std::optional<StatusTopic> topic;
  double level = 0;
  std::optional<LoadReport> report;
  std::optional<ResourceUsage> bill;
  std::string body;
};

class EngineReader {
 public:
  static constexpr size_t kMostLine = 4 * 1024, kMostBody = 48'000;  // no page is longer than a whole result
  enum class State { more, whole, bad };
  State next(std::string& bytes, EngineAnswer& answer);
  bool between(const std::string& bytes) const { return !inBody_ && bytes.empty(); }  // no part of an answer

 private:
  State readLine(std::string_view line);

  bool inBody_ = false;
  size_t left_ = 0;
  EngineAnswer answer_;
};

namespace engine_line {

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

}  // namespace engine_line

}  // namespace elmcleat
