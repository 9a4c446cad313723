#include "members/message_codec.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstring>

#include "wire.pb.h"  // made from wire.proto when the program is built

namespace elmcleat::members {
namespace {

constexpr size_t kSum = 8;
// No process raises its numbers as far in its life; beyond them nothing could be outbid any more.
constexpr uint64_t kMostNumber = uint64_t{1} << 62;
constexpr int kMostRows = 8192, kMostSums = 1024;

std::string sumOf(std::string_view bytes) {
  uint64_t sum = checksum(bytes);
  std::string text(kSum, '\0');
  for (size_t i = 0; i < kSum; ++i)
    text[i] = char(sum >> (8 * i) & 0xff);
  return text;
}

}  // namespace

uint64_t checksum(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

MessageCodec::MessageCodec(const MembershipSettings& settings) : fleet_(settings.fleet) {
  for (auto& peer : settings.peers) {
    places_.emplace(peer.name, MemberIndex(names_.size()));
    names_.push_back(peer.name);
  }
}

MemberIndex MessageCodec::find(const std::string& name) const {
  auto found = places_.find(name);
  return found == places_.end() ? kNoMember : found->second;
}

const std::string& MessageCodec::nameOf(MemberIndex member) const {
  static const std::string none;
  return member < 0 ? none : names_[size_t(member)];
}

std::string MessageCodec::encode(const Message& message) const {
  wire::Envelope envelope;
  envelope.set_version(kProtocolVersion), envelope.set_reads(1);
  envelope.set_fleet(fleet_);
  envelope.set_from(nameOf(message.from)), envelope.set_to(nameOf(message.to));
  envelope.set_instance(message.instance), envelope.set_incarnation(message.incarnation);
  envelope.set_sequence(message.sequence);
  envelope.set_kind(uint32_t(message.kind)), envelope.set_probe(message.probe);
  envelope.set_subject(nameOf(message.subject)), envelope.set_digest(message.digest);
  for (auto& row : message.updates) {
    auto& claim = *envelope.add_rows();
    claim.set_name(nameOf(row.member)), claim.set_by(nameOf(row.suspectedBy));
    claim.set_instance(row.status.instance), claim.set_incarnation(row.status.incarnation);
    claim.set_state(uint32_t(row.status.state));
  }
  for (uint64_t sum : message.bucketDigests)
    envelope.add_sums(sum);
  envelope.set_parcel(message.payload);
  std::string bytes = envelope.SerializeAsString();
  return sumOf(bytes) + bytes;
}

std::variant<Message, ErrorKind> MessageCodec::decode(std::string_view bytes) const {
  if (bytes.size() > kMaxMessageBytes)
    return ErrorKind::tooLarge;
  if (bytes.size() < kSum || sumOf(bytes.substr(kSum)) != bytes.substr(0, kSum))
    return ErrorKind::undecodable;
  bytes.remove_prefix(kSum);
  wire::Envelope envelope;
  if (!envelope.ParseFromArray(bytes.data(), int(bytes.size())))
    return ErrorKind::undecodable;
  if (envelope.fleet() != fleet_)
    return ErrorKind::fleetMismatch;
  if (envelope.reads() > kProtocolVersion)
    return ErrorKind::unsupportedVersion;
  if (envelope.rows_size() > kMostRows || envelope.sums_size() > kMostSums)
    return ErrorKind::tooLarge;
  Message message;
  message.from = find(envelope.from()), message.to = find(envelope.to());
  if (message.from < 0)
    return ErrorKind::unknownSender;
  if (message.to < 0)
    return ErrorKind::misdirected;
  // A kind that is not known here comes from a newer version, which says by `reads` when it must be understood.
  if (envelope.kind() > uint32_t(kLastMessageKind))
    return ErrorKind::unsupportedVersion;
  message.kind = MessageKind(envelope.kind());
  message.instance = envelope.instance(), message.incarnation = envelope.incarnation();
  message.sequence = envelope.sequence(), message.probe = envelope.probe();
  message.subject = find(envelope.subject()), message.digest = envelope.digest();
  auto sound = [](uint64_t instance, uint64_t incarnation) {
    return instance > 0 && instance < kMostNumber && incarnation < kMostNumber;
  };
  if (!sound(message.instance, message.incarnation))
    return ErrorKind::undecodable;
  for (auto& claim : envelope.rows()) {
    if (claim.state() > uint32_t(MemberState::left) || !sound(claim.instance(), claim.incarnation()))
      return ErrorKind::undecodable;
    MemberUpdate row{find(claim.name()),
                     {claim.instance(), claim.incarnation(), MemberState(claim.state())},
                     find(claim.by())};
    if (row.member >= 0)
      message.updates.push_back(row);
  }
  message.bucketDigests.assign(envelope.sums().begin(), envelope.sums().end());
  message.payload = envelope.parcel();
  return message;
}

}  // namespace elmcleat::members
