#include "members/wire.h"

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

Wire::Wire(const Plan& plan) : fleet_(plan.fleet) {
  for (auto& peer : plan.peers) {
    places_.emplace(peer.name, Member(names_.size()));
    names_.push_back(peer.name);
  }
}

Member Wire::find(const std::string& name) const {
  auto found = places_.find(name);
  return found == places_.end() ? kNobody : found->second;
}

const std::string& Wire::nameOf(Member member) const {
  static const std::string none;
  return member < 0 ? none : names_[size_t(member)];
}

std::string Wire::write(const Message& message) const {
  wire::Envelope envelope;
  envelope.set_version(kVersion), envelope.set_reads(1);
  envelope.set_fleet(fleet_);
  envelope.set_from(nameOf(message.from)), envelope.set_to(nameOf(message.to));
  envelope.set_instance(message.instance), envelope.set_incarnation(message.incarnation);
  envelope.set_sequence(message.sequence);
  envelope.set_kind(uint32_t(message.kind)), envelope.set_probe(message.probe);
  envelope.set_subject(nameOf(message.subject)), envelope.set_digest(message.digest);
  for (auto& row : message.rows) {
    auto& claim = *envelope.add_rows();
    claim.set_name(nameOf(row.member)), claim.set_by(nameOf(row.by));
    claim.set_instance(row.claim.instance), claim.set_incarnation(row.claim.incarnation);
    claim.set_state(uint32_t(row.claim.state));
  }
  for (uint64_t sum : message.sums)
    envelope.add_sums(sum);
  envelope.set_parcel(message.parcel);
  std::string bytes = envelope.SerializeAsString();
  return sumOf(bytes) + bytes;
}

std::variant<Message, Wrong> Wire::read(std::string_view bytes) const {
  if (bytes.size() > kMostBytes)
    return Wrong::tooLarge;
  if (bytes.size() < kSum || sumOf(bytes.substr(kSum)) != bytes.substr(0, kSum))
    return Wrong::undecodable;
  bytes.remove_prefix(kSum);
  wire::Envelope envelope;
  if (!envelope.ParseFromArray(bytes.data(), int(bytes.size())))
    return Wrong::undecodable;
  if (envelope.fleet() != fleet_)
    return Wrong::otherFleet;
  if (envelope.reads() > kVersion)
    return Wrong::tooNew;
  if (envelope.rows_size() > kMostRows || envelope.sums_size() > kMostSums)
    return Wrong::tooLarge;
  Message message;
  message.from = find(envelope.from()), message.to = find(envelope.to());
  if (message.from < 0)
    return Wrong::stranger;
  if (message.to < 0)
    return Wrong::misdirected;
  // A kind that is not known here comes from a newer version, which says by `reads` when it must be understood.
  if (envelope.kind() > uint32_t(kLastKind))
    return Wrong::tooNew;
  message.kind = Kind(envelope.kind());
  message.instance = envelope.instance(), message.incarnation = envelope.incarnation();
  message.sequence = envelope.sequence(), message.probe = envelope.probe();
  message.subject = find(envelope.subject()), message.digest = envelope.digest();
  auto sound = [](uint64_t instance, uint64_t incarnation) {
    return instance > 0 && instance < kMostNumber && incarnation < kMostNumber;
  };
  if (!sound(message.instance, message.incarnation))
    return Wrong::undecodable;
  for (auto& claim : envelope.rows()) {
    if (claim.state() > uint32_t(State::left) || !sound(claim.instance(), claim.incarnation()))
      return Wrong::undecodable;
    Row row{
        find(claim.name()), {claim.instance(), claim.incarnation(), State(claim.state())}, find(claim.by())};
    if (row.member >= 0)
      message.rows.push_back(row);
  }
  message.sums.assign(envelope.sums().begin(), envelope.sums().end());
  message.parcel = envelope.parcel();
  return message;
}

}  // namespace elmcleat::members
