// What comes from peers, as a fuzzer makes it up: bytes with a right sum, read and heard by a core of a fleet of eight.
// The first byte says how far the clock goes on; the rest are messages, each after two bytes with its length; each is a
// letter about loans as well. With
// clang's libFuzzer (ELMCLEAT_FUZZ) it searches; without it plays the files that it is given, as CI does with the corpus.
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

std::string sealed(const std::string& body) {
  uint64_t sum = checksum(body);
  std::string bytes;
  for (size_t i = 0; i < 8; ++i)
    bytes += char(sum >> (8 * i) & 0xff);
  return bytes + body;
}

void must(bool holds, const char* what) {
  if (holds)
    return;
  std::cerr << "broken: " << what << std::endl;
  std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  static const MembershipSettings plan = lab::MembershipSimulation::settingsFor(8);
  static const MessageCodec wire(plan);
  std::string in(reinterpret_cast<const char*>(data), size);
  if (in.size() < 3)
    return 0;
  double now = 0, step = static_cast<unsigned char>(in[0]) / 32.0;
  Membership membership(plan, 0, {5, 1}, 1, now);
  shared::LeaseSettings terms;
  terms.memberCount = 8, terms.quotas = {80, 8};
  const shared::LeaseCodec letters({"a", "b"}, terms.quotas);
  shared::LeaseManager loans(terms, 0, 5, 1, now);
  loans.setDemand(0, 60), loans.setDemand(1, 0.5);
  for (size_t at = 1; at + 2 <= in.size(); now += step) {
    size_t length = size_t(static_cast<unsigned char>(in[at])) << 8 | static_cast<unsigned char>(in[at + 1]);
    std::string bytes = sealed(in.substr(at + 2, length));
    at += 2 + length;
    auto read = wire.decode(bytes);
    if (auto* message = std::get_if<Message>(&read)) {
      must(message->from >= 0 && message->to >= 0, "a message without its two ends was passed on");
      for (auto& row : message->updates)
        must(row.member >= 0 && row.member < 8, "a row names nobody");
      must(std::holds_alternative<Message>(wire.decode(wire.encode(*message))),
           "what was read can't be written and read");
      membership.receive(now, *message);
    }
    membership.tick(now);
    for (auto& message : membership.takeOutgoing())
      must(wire.encode(message).size() <= kMaxMessageBytes, "too large a message");
    const MemberStatus& own = membership.statusOf(0);
    must(membership.isDemoted() || own.state == MemberState::alive, "it was talked into its own end");
    must(membership.instance().incarnation < (uint64_t{1} << 62) + 1000, "numbers ran away");
    if (auto letter = letters.decode(in.substr(at - length, length), 1 + int(length % 7), 0))
      loans.receive(now, *letter);
    loans.tick(now), loans.takeOutgoing();
    for (size_t i = 0; i < 2; ++i)  // no more than all own, and no less than nothing
      must(loans.available(i, now) >= 0 && loans.available(i, now) <= terms.quotas[i] * 1.0000001,
           "loans out of all bounds");
    must(membership.nextWakeUp() >= 0, "it wants to be woken in the past");
  }
  return 0;
}

#ifndef ELMCLEAT_FUZZ
int main(int count, char** files) {
  for (int i = 1; i < count; ++i) {
    std::ifstream file(files[i], std::ios::binary);
    std::string bytes{std::istreambuf_iterator<char>(file), {}};
    if (bytes.empty())
      return std::cerr << files[i] << ": nothing to read\n", 1;
    LLVMFuzzerTestOneInput(reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
  }
  std::cout << count - 1 << " files played\n";
  return count > 1 ? 0 : 1;
}
#endif
