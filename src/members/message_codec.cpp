#include "members/message_codec.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstring>

#include "wire.pb.h"  // generated from wire.proto by the build

namespace elmcleat::members {
namespace {

constexpr size_t kChecksumBytes = 8;
// Upper bound of instances and incarnations, which no process reaches in operation. It leaves room for
// greater values, with which a status can always be refuted.
constexpr uint64_t kMaxStatusNumber = uint64_t{1} << 62;
constexpr int kMaxUpdates = 8192;        // in a message
constexpr int kMaxBucketDigests = 1024;  // in a message

// The checksum of the bytes as it is on the wire, little-endian.
std::string encodedChecksum(std::string_view bytes) {
  uint64_t value = checksum(bytes);
  std::string encoded(kChecksumBytes, '\0');
  for (size_t i = 0; i < kChecksumBytes; ++i)
    encoded[i] = char(value >> (8 * i) & 0xff);
  return encoded;
}

}  // namespace

uint64_t checksum(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

MessageCodec::MessageCodec(const MembershipSettings& settings) : fleet_(settings.fleet) {
  for (auto& peer : settings.peers) {
    indices_.emplace(peer.name, MemberIndex(names_.size()));
    names_.push_back(peer.name);
  }
}

MemberIndex MessageCodec::indexOf(const std::string& name) const {
  auto found = indices_.find(name);
  return found == indices_.end() ? kNoMember : found->second;
}

const std::string& MessageCodec::nameOf(MemberIndex member) const {
  static const std::string kNone;
  return member < 0 ? kNone : names_[size_t(member)];
}

std::string MessageCodec::encode(const Message& message) const {
  wire::Envelope envelope;
  envelope.set_version(kProtocolVersion);
  envelope.set_reads(1);
  envelope.set_fleet(fleet_);
  envelope.set_from(nameOf(message.from));
  envelope.set_to(nameOf(message.to));
  envelope.set_instance(message.instance);
  envelope.set_incarnation(message.incarnation);
  envelope.set_sequence(message.sequence);
  envelope.set_kind(uint32_t(message.kind));
  envelope.set_probe(message.probe);
  envelope.set_subject(nameOf(message.subject));
  envelope.set_digest(message.digest);
  for (auto& update : message.updates) {
    auto& claim = *envelope.add_rows();
    claim.set_name(nameOf(update.member));
    claim.set_by(nameOf(update.suspectedBy));
    claim.set_instance(update.status.instance);
    claim.set_incarnation(update.status.incarnation);
    claim.set_state(uint32_t(update.status.state));
  }
  for (uint64_t digest : message.bucketDigests)
    envelope.add_sums(digest);
  envelope.set_parcel(message.payload);
  std::string bytes = envelope.SerializeAsString();
  return encodedChecksum(bytes) + bytes;
}

std::variant<Message, ErrorKind> MessageCodec::decode(std::string_view bytes) const {
  if (bytes.size() > kMaxMessageBytes)
    return ErrorKind::tooLarge;
  if (bytes.size() < kChecksumBytes ||
      encodedChecksum(bytes.substr(kChecksumBytes)) != bytes.substr(0, kChecksumBytes))
    return ErrorKind::undecodable;
  bytes.remove_prefix(kChecksumBytes);
  wire::Envelope envelope;
  if (!envelope.ParseFromArray(bytes.data(), int(bytes.size())))
    return ErrorKind::undecodable;
  if (envelope.fleet() != fleet_)
    return ErrorKind::fleetMismatch;
  if (envelope.reads() > kProtocolVersion)
    return ErrorKind::unsupportedVersion;
  if (envelope.rows_size() > kMaxUpdates || envelope.sums_size() > kMaxBucketDigests)
    return ErrorKind::tooLarge;
  Message message;
  message.from = indexOf(envelope.from());
  message.to = indexOf(envelope.to());
  if (message.from < 0)
    return ErrorKind::unknownSender;
  if (message.to < 0)
    return ErrorKind::misdirected;
  // An unknown kind comes from a newer version. A kind that every reader has to understand raises `reads`.
  if (envelope.kind() > uint32_t(kLastMessageKind))
    return ErrorKind::unsupportedVersion;
  message.kind = MessageKind(envelope.kind());
  message.instance = envelope.instance();
  message.incarnation = envelope.incarnation();
  message.sequence = envelope.sequence();
  message.probe = envelope.probe();
  message.subject = indexOf(envelope.subject());
  message.digest = envelope.digest();
  auto isValid = [](uint64_t instance, uint64_t incarnation) {
    return instance > 0 && instance < kMaxStatusNumber && incarnation < kMaxStatusNumber;
  };
  if (!isValid(message.instance, message.incarnation))
    return ErrorKind::undecodable;
  for (auto& claim : envelope.rows()) {
    if (claim.state() > uint32_t(MemberState::left) || !isValid(claim.instance(), claim.incarnation()))
      return ErrorKind::undecodable;
    MemberUpdate update{indexOf(claim.name()),
                        {claim.instance(), claim.incarnation(), MemberState(claim.state())},
                        indexOf(claim.by())};
    if (update.member >= 0)
      message.updates.push_back(update);
  }
  message.bucketDigests.assign(envelope.sums().begin(), envelope.sums().end());
  message.payload = envelope.parcel();
  return message;
}

}  // namespace elmcleat::members
