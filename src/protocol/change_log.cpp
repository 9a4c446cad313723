#include "protocol/change_log.h"

#include <string_view>
#include <utility>

namespace elmcleat {
namespace {

constexpr size_t kHead = 9, kRecord = 27;  // number and kind; one engine

class Bytes {  // big-endian numbers off the front; whoever calls has checked the length
 public:
  explicit Bytes(std::string_view text) : text_(text) {}
  uint64_t number(size_t width) {
    uint64_t value = 0;
    for (size_t i = 0; i < width; ++i)
      value = value << 8 | static_cast<unsigned char>(text_[i]);
    text_.remove_prefix(width);
    return value;
  }
  bool empty() const { return text_.empty(); }

 private:
  std::string_view text_;
};

}  // namespace

FrameParser::State FrameParser::next(std::string& bytes, EngineListEvent& event) const {
  if (bytes.size() < 4)
    return State::needMore;
  size_t length = Bytes(bytes).number(4);
  if (length < kHead || length + 4 > kMaxFrameBytes)
    return State::malformed;
  if (bytes.size() < length + 4)
    return State::needMore;
  std::string frame = bytes.substr(4, length);
  bytes.erase(0, length + 4);

  Bytes from(frame);
  event = {};
  event.sequence = from.number(8);
  uint64_t kind = from.number(1);
  size_t payload = length - kHead;
  if (kind == 0)
    return payload == 0 ? State::heartbeat : State::malformed;
  if (kind > 2 || payload % kRecord != 0)
    return State::malformed;
  event.isFullList = kind == 1;
  while (!from.empty()) {
    ListedEngine& one = event.engines.emplace_back();
    one.record.id = static_cast<uint32_t>(from.number(4));
    one.address.host = static_cast<uint32_t>(from.number(4));
    one.address.port = static_cast<uint16_t>(from.number(2));
    uint64_t state = from.number(1), zone = from.number(1), machine = from.number(1);
    one.record.cell = static_cast<int>(from.number(2));
    from.number(4);  // the weight: no decision needs it
    one.startedAtUnixMs = static_cast<int64_t>(from.number(8));
    if (state > 2 || zone >= zones_.size() || machine >= kinds_.size())
      return State::malformed;
    static constexpr EngineState states[] = {EngineState::inService, EngineState::draining,
                                             EngineState::removed};
    one.record.state = states[state], one.record.zone = zones_[zone], one.record.kind = kinds_[machine];
  }
  return State::event;
}

std::string encodeResumeRequest(uint64_t number) {
  std::string bytes;
  for (int shift = 56; shift >= 0; shift -= 8)
    bytes += static_cast<char>(number >> shift & 0xff);
  return bytes;
}

}  // namespace elmcleat
