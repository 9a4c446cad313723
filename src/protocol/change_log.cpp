#include "protocol/change_log.h"

#include <string_view>
#include <utility>

namespace elmcleat {
namespace {

constexpr size_t kLengthBytes = 4;
constexpr size_t kHeaderBytes = 9;   // sequence number and kind
constexpr size_t kRecordBytes = 27;  // one engine

constexpr uint64_t kHeartbeatKind = 0;
constexpr uint64_t kFullListKind = 1;
constexpr uint64_t kChangesKind = 2;

// Reads big-endian numbers from the front of a text. The caller has checked the length.
class BigEndianReader {
 public:
  explicit BigEndianReader(std::string_view bytes) : bytes_(bytes) {}
  uint64_t number(size_t width) {
    uint64_t value = 0;
    for (size_t i = 0; i < width; ++i)
      value = value << 8 | static_cast<unsigned char>(bytes_[i]);
    bytes_.remove_prefix(width);
    return value;
  }
  bool empty() const { return bytes_.empty(); }

 private:
  std::string_view bytes_;
};

}  // namespace

FrameParser::State FrameParser::next(std::string& bytes, EngineListEvent& event) const {
  if (bytes.size() < kLengthBytes)
    return State::needMore;
  size_t length = BigEndianReader(bytes).number(kLengthBytes);
  if (length < kHeaderBytes || length + kLengthBytes > kMaxFrameBytes)
    return State::malformed;
  if (bytes.size() < length + kLengthBytes)
    return State::needMore;
  std::string frame = bytes.substr(kLengthBytes, length);
  bytes.erase(0, length + kLengthBytes);

  BigEndianReader reader(frame);
  event = {};
  event.sequence = reader.number(8);
  uint64_t kind = reader.number(1);
  size_t payloadBytes = length - kHeaderBytes;
  if (kind == kHeartbeatKind)
    return payloadBytes == 0 ? State::heartbeat : State::malformed;
  if (kind > kChangesKind || payloadBytes % kRecordBytes != 0)
    return State::malformed;
  event.isFullList = kind == kFullListKind;
  while (!reader.empty()) {
    ListedEngine& engine = event.engines.emplace_back();
    engine.record.id = static_cast<uint32_t>(reader.number(4));
    engine.address.host = static_cast<uint32_t>(reader.number(4));
    engine.address.port = static_cast<uint16_t>(reader.number(2));
    uint64_t state = reader.number(1);
    uint64_t zone = reader.number(1);
    uint64_t engineKind = reader.number(1);
    engine.record.cell = static_cast<int>(reader.number(2));
    reader.number(4);  // the engine's weight: no decision uses it
    engine.startedAtUnixMs = static_cast<int64_t>(reader.number(8));
    if (state > 2 || zone >= zones_.size() || engineKind >= kinds_.size())
      return State::malformed;
    static constexpr EngineState kStates[] = {EngineState::inService, EngineState::draining,
                                              EngineState::removed};
    engine.record.state = kStates[state];
    engine.record.zone = zones_[zone];
    engine.record.kind = kinds_[engineKind];
  }
  return State::event;
}

std::string encodeResumeRequest(uint64_t sequence) {
  std::string bytes;
  for (int shift = 56; shift >= 0; shift -= 8)
    bytes += static_cast<char>(sequence >> shift & 0xff);
  return bytes;
}

}  // namespace elmcleat
