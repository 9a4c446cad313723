// Fuzzer for all that a process reads from its peers. The first byte of the input is the time step; then
// follow messages, each after two bytes with its length. Each is given a valid checksum, decoded and received
// by a Membership in a fleet of eight, and also decoded as a lease message for a LeaseManager. Built with
// clang's libFuzzer (ELMCLEAT_FUZZ) it searches for failures; without it the program runs the files named on
// its command line, as CI does with the corpus.
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include "lab/membership_simulation.h"
#include "shared/lease_codec.h"

using namespace elmcleat;
using namespace elmcleat::members;

namespace {

std::string withChecksum(const std::string& body) {
  uint64_t sum = checksum(body);
  std::string bytes;
  for (size_t i = 0; i < 8; ++i)
    bytes += char(sum >> (8 * i) & 0xff);
  return bytes + body;
}

void require(bool holds, const char* failure) {
  if (holds)
    return;
  std::cerr << "invariant violated: " << failure << std::endl;
  std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  static const MembershipSettings kSettings = lab::MembershipSimulation::settingsFor(8);
  static const MessageCodec kCodec(kSettings);
  std::string input(reinterpret_cast<const char*>(data), size);
  if (input.size() < 3)
    return 0;
  double now = 0;
  double step = static_cast<unsigned char>(input[0]) / 32.0;
  Membership membership(kSettings, 0, {5, 1}, 1, now);
  shared::LeaseSettings leaseSettings;
  leaseSettings.memberCount = 8;
  leaseSettings.quotas = {80, 8};
  const shared::LeaseCodec leaseCodec({"a", "b"}, leaseSettings.quotas);
  shared::LeaseManager leases(leaseSettings, 0, 5, 1, now);
  leases.setDemand(0, 60);
  leases.setDemand(1, 0.5);
  for (size_t position = 1; position + 2 <= input.size(); now += step) {
    size_t length = size_t(static_cast<unsigned char>(input[position])) << 8 |
                    static_cast<unsigned char>(input[position + 1]);
    std::string bytes = withChecksum(input.substr(position + 2, length));
    position += 2 + length;
    auto decoded = kCodec.decode(bytes);
    if (auto* message = std::get_if<Message>(&decoded)) {
      require(message->from >= 0 && message->to >= 0, "a message without sender or receiver was decoded");
      for (auto& update : message->updates)
        require(update.member >= 0 && update.member < 8, "an update for an unlisted member");
      require(std::holds_alternative<Message>(kCodec.decode(kCodec.encode(*message))),
              "a decoded message does not round-trip");
      membership.receive(now, *message);
    }
    membership.tick(now);
    for (auto& message : membership.takeOutgoing())
      require(kCodec.encode(message).size() <= kMaxMessageBytes, "an outgoing message over the size limit");
    const MemberStatus& own = membership.statusOf(0);
    require(membership.isDemoted() || own.state == MemberState::alive,
            "the process accepted a status of itself other than alive");
    require(membership.instance().incarnation < (uint64_t{1} << 62) + 1000,
            "the incarnation is out of bounds");
    if (auto leaseMessage =
            leaseCodec.decode(input.substr(position - length, length), 1 + int(length % 7), 0))
      leases.receive(now, *leaseMessage);
    leases.tick(now);
    leases.takeOutgoing();
    for (size_t i = 0; i < 2; ++i)  // never negative, and never more than the quota of the fleet
      require(
          leases.available(i, now) >= 0 && leases.available(i, now) <= leaseSettings.quotas[i] * 1.0000001,
          "quota out of bounds");
    require(membership.nextWakeUp() >= 0, "the next wake-up is negative");
  }
  return 0;
}

#ifndef ELMCLEAT_FUZZ
int main(int count, char** files) {
  for (int i = 1; i < count; ++i) {
    std::ifstream file(files[i], std::ios::binary);
    std::string bytes{std::istreambuf_iterator<char>(file), {}};
    if (bytes.empty())
      return std::cerr << files[i] << ": empty or unreadable\n", 1;
    LLVMFuzzerTestOneInput(reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
  }
  std::cout << count - 1 << " files run\n";
  return count > 1 ? 0 : 1;
}
#endif
