// The membership of one process: SWIM (Das, Gupta, Motivala 2002) with the extensions of Lifeguard (Dadgar, Phillips,
// Currey 2018) and an exchange by buckets that mends what gossip lost. Pure: told the time and what came, it says
// what to send and when it wants to be woken. Seeded; reads no clock, holds no socket. Times are seconds of one clock
// that goes on while the process is stopped.
//
// Probes: each period one member, in a shuffled round, is pinged; without an answer a few others are asked to; without
// any it is suspected. A suspicion ends in `down` after a time that shrinks as others suspect the same (from
// maxSuspicionTime to minSuspicionTime), or at once by a greater incarnation from the member itself. Whoever finds its own
// probes failing without cause waits longer (`localHealth_`): a slow process must not declare the quick ones down.
#pragma once
#include <cmath>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "members/membership_settings.h"
#include "members/message.h"
#include "members/snapshot.h"
#include "pcg32.h"

namespace elmcleat::members {

struct ProcessInstance {     // one life of a process
  uint64_t instance = 1;     // greater in each later life, as far as its clock tells
  uint64_t incarnation = 1;  // where it starts; it grows by refutations
};

// What happened that an operator may want to read, in the order of happening.
struct MembershipEvent {
  MemberIndex member = kNoMember;
  MemberState state = MemberState::alive;
  std::optional<ErrorKind> error;  // instead of a state
  std::string reason;
};

class Membership {
 public:
  // Bytes that a message may have as a datagram; what needs more goes by a stream.
  static constexpr size_t kMaxDatagramBytes = 1200;

  Membership(const MembershipSettings& settings, MemberIndex self, const ProcessInstance& life, uint64_t seed,
             double now);

  void tick(double now);  // does what is due; also after any receive()
  void receive(double now, const Message& message);
  void countError(ErrorKind kind) {
    ++errorCounts_[static_cast<size_t>(kind)];
  }                           // what the shell could not even pass on
  void leave(double now);     // tells some that this process ends
  double nextWakeUp() const;  // when tick() has something to do

  // For subsystems above: bytes to a member, and what came from members that were heard as they should be.
  void sendPayload(MemberIndex to, std::string bytes);
  std::vector<Payload> takePayloads() { return std::exchange(payloads_, {}); }

  std::vector<Message> takeOutgoing();        // what is to be sent since the last call
  std::vector<MembershipEvent> takeEvents();  // since the last call
  MembershipSnapshot snapshot(double now) const;

  // For a checker: what it holds of each member.
  const MemberStatus& statusOf(MemberIndex member) const {
    return records_[static_cast<size_t>(member)].status;
  }
  const ProcessInstance& instance() const { return life_; }
  bool isDemoted() const { return demoted_; }

 private:
  struct Suspicion {
    double since = 0;
    std::vector<MemberIndex> by;  // who has found it, each once
    size_t next = 0;              // of them, who is named at the next telling
  };
  struct Record {
    MemberStatus status, said;  // what is known of it; what it said of itself last
    double heardAt = -1, correctedAt = -HUGE_VAL;
    std::optional<Suspicion> suspicion;
    int tellings = 0;  // how often its news is still to be told
    uint64_t heardInstance = 0, top = 0,
             window = 0;  // sequences heard of that life: the greatest, and 64 below
  };
  struct Probe {
    uint64_t number = 0;
    MemberIndex member = kNoMember;
    double askAt = 0, endsAt = 0;
    bool asked = false;
    int helpers = 0, nacksDue = 0;
  };
  struct RelayedProbe {  // a ping for another
    uint64_t number = 0;
    MemberIndex asker = kNoMember;
    uint64_t askersNumber = 0;
    double nackAt = 0, endsAt = 0;
    bool nacked = false;
  };

  Record& at(MemberIndex member) { return records_[static_cast<size_t>(member)]; }
  const Record& at(MemberIndex member) const { return records_[static_cast<size_t>(member)]; }
  MemberStatus own() const {
    return {life_.instance, life_.incarnation, leaving_ ? MemberState::left : MemberState::alive};
  }

  bool fresh(const Message& message);
  void merge(const MemberUpdate& row, MemberIndex teller);
  void settle(const MemberUpdate& row, MemberIndex teller);
  void contest(const MemberStatus& status);
  void confirmSuspicion(Record& record, MemberIndex by);
  void suspect(MemberIndex member);
  double suspectedUntil(const Record& record) const;
  void noticeStall(double now);

  void probe();
  void failed(const Probe& probe);
  bool alarmed() const;
  void probeDownMembers(size_t count);
  void gossip();
  void stopGossip();
  void requestSync(MemberIndex with);
  void answerSync(const Message& message);

  std::vector<MemberIndex> drawn(size_t count, MemberState most, MemberIndex but = kNoMember);
  std::vector<MemberIndex> drawnDown(size_t count);
  Message& addMessage(MessageKind kind, MemberIndex to);
  void addNews(Message& message, MemberIndex first = kNoMember);
  void tell(MemberIndex member, int times);
  int tellingsEach() const;
  uint64_t digest() const { return digest_; }
  std::vector<uint64_t> sums() const;
  uint64_t hashOf(MemberIndex member) const;
  size_t bucketOf(MemberIndex member) const;

  MembershipSettings settings_;
  MemberIndex self_;
  ProcessInstance life_;
  Pcg32 chance_;
  double now_ = 0, startedAt_ = 0;
  std::vector<Record> records_;
  std::vector<uint64_t> nameHashes_;
  std::vector<MemberIndex> told_;  // members with news to tell
  std::vector<MemberIndex> suspected_;
  std::vector<MemberIndex> round_;  // whom to probe, this round
  std::vector<Message> out_;
  std::vector<MembershipEvent> events_;
  std::vector<Payload> payloads_;
  std::vector<Probe> probing_;
  std::deque<RelayedProbe> relayedProbes_;
  ErrorCounts errorCounts_{};
  uint64_t sequence_ = 0, probes_ = 0, digest_ = 0, changes_ = 0;
  mutable uint64_t views_ = 0;
  size_t there_ = 0;
  int localHealth_ = 0;  // 0: our own probes work as they should
  double nextProbe_ = 0, nextReach_ = 0, nextGossip_ = 0, nextCompare_ = 0, heardAt_ = 0, promisesFrom_ = 0;
  double healingUntil_ = -1, alarmedUntil_ = -1;
  double contestedAt_ = -1;  // our name was claimed by another life
  bool demoted_ = false, leaving_ = false, alone_ = false;
};

}  // namespace elmcleat::members
