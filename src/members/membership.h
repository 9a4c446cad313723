// The membership protocol of one process: SWIM (Das, Gupta, Motivala 2002) with the extensions of Lifeguard
// (Dadgar, Phillips, Currey 2018), and anti-entropy by bucket digests, which repairs what gossip has lost.
// Membership owns the status of every member, the failure detector, and the messages to be sent. It is a
// deterministic state machine: it receives the time and the messages, and returns the messages to send and
// the time of its next wake-up. All random choices come from the seed; it reads no clock and owns no socket.
// Times are seconds of one clock that advances while the process is stopped.
//
// Failure detection: in each probe interval one member, in a shuffled round, is pinged. If it does not answer
// in time, a few other members are asked to ping it (ping-req). If none of these pings is answered, the
// member is suspected. A suspicion ends in `down` after a time that shrinks from maxSuspicionTime to
// minSuspicionTime as other members confirm it, or at once when the member itself refutes it by a greater
// incarnation. A process whose own probes fail for no apparent reason waits longer (`localHealth_`), so that
// a slow process does not declare healthy members down.
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

// One run of a process.
struct ProcessInstance {
  uint64_t instance = 1;     // greater in each later run, as long as the clock of the machine is not set back
  uint64_t incarnation = 1;  // initial value; each refutation raises it
};

// A change of a member's state, or an error, for the operator's log.
struct MembershipEvent {
  MemberIndex member = kNoMember;
  MemberState state = MemberState::alive;
  std::optional<ErrorKind> error;  // if set, `state` does not count
  std::string reason;
};

class Membership {
 public:
  // Largest size of a message that is sent as a datagram, in bytes; larger messages are sent over a stream.
  static constexpr size_t kMaxDatagramBytes = 1200;

  // `instance` is greater than that of each earlier run of this process, as far as the clock allows.
  Membership(const MembershipSettings& settings, MemberIndex self, const ProcessInstance& instance,
             uint64_t seed, double now);

  // Does all that is due at `now`. To be called after receive() too.
  void tick(double now);
  void receive(double now, const Message& message);
  // Counts an error that the transport found in a message that it could not deliver.
  void countError(ErrorKind kind) { ++errorCounts_[static_cast<size_t>(kind)]; }
  // Announces to some members that this process ends.
  void leave(double now);
  // The time at which tick() has to be called at the latest.
  double nextWakeUp() const;

  // For subsystems on top of membership: sends bytes to a member, and takes the payloads that have been
  // received. Payloads of invalid or replayed messages are not among them.
  void sendPayload(MemberIndex to, std::string bytes);
  std::vector<Payload> takePayloads() { return std::exchange(payloads_, {}); }

  // The messages to be sent and the events, each since the last call, in order.
  std::vector<Message> takeOutgoing();
  std::vector<MembershipEvent> takeEvents();
  MembershipSnapshot snapshot(double now) const;

  const MemberStatus& statusOf(MemberIndex member) const {
    return records_[static_cast<size_t>(member)].status;
  }
  const ProcessInstance& instance() const { return instance_; }
  // Whether this process has yielded to another one with the same name. It sends nothing from then on.
  bool isDemoted() const { return demoted_; }

 private:
  struct Suspicion {
    double since = 0;
    std::vector<MemberIndex> confirmedBy;  // members that detected the failure themselves, without duplicates
    size_t nextNamed = 0;                  // index of the one that the next update names
  };
  struct Record {
    MemberStatus status;        // merged from all updates
    MemberStatus selfReported;  // from the member's own last message
    double lastHeardAt = -1;
    double correctedAt =
        -HUGE_VAL;  // when the member was last sent the status that its restart has to exceed
    std::optional<Suspicion> suspicion;
    int transmissionsLeft = 0;  // how often its update is still to be piggybacked
    // Sliding window against replays, for one instance of the sender.
    uint64_t windowInstance = 0;
    uint64_t highestSequence = 0;
    uint64_t receivedWindow = 0;  // bit i: highestSequence - i has been received
  };
  struct Probe {
    uint64_t number = 0;
    MemberIndex member = kNoMember;
    double indirectAt = 0;  // when ping-reqs are sent if no ack has arrived
    double endsAt = 0;
    bool indirectSent = false;
    int relays = 0;        // members that were sent a ping-req
    int missingNacks = 0;  // of these, the ones that have not sent a nack
  };
  // A probe on behalf of another member, after its ping-req.
  struct RelayedProbe {
    uint64_t number = 0;
    MemberIndex requester = kNoMember;
    uint64_t requesterProbe = 0;  // the probe number of the ping-req
    double nackAt = 0;
    double endsAt = 0;
    bool nackSent = false;
  };

  Record& recordOf(MemberIndex member) { return records_[static_cast<size_t>(member)]; }
  const Record& recordOf(MemberIndex member) const { return records_[static_cast<size_t>(member)]; }
  MemberStatus ownStatus() const {
    return {instance_.instance, instance_.incarnation, leaving_ ? MemberState::left : MemberState::alive};
  }

  bool acceptSequence(const Message& message);
  void merge(const MemberUpdate& update, MemberIndex source);
  void apply(const MemberUpdate& update, MemberIndex source);
  void resolveNameConflict(const MemberStatus& status);
  void confirmSuspicion(Record& record, MemberIndex by);
  void suspect(MemberIndex member);
  double suspicionEndsAt(const Record& record) const;
  void detectStall(double now);

  void probe();
  void probeFailed(const Probe& probe);
  bool isProbingFast() const;
  void probeDownMembers(size_t count);
  void gossip();
  void reduceTransmissions();
  void requestSync(MemberIndex with);
  void answerSync(const Message& message);

  std::vector<MemberIndex> randomMembers(size_t count, MemberState worstState,
                                         MemberIndex excluded = kNoMember);
  std::vector<MemberIndex> randomAbsentMembers(size_t count);
  Message& addMessage(MessageKind kind, MemberIndex to);
  void piggybackUpdates(Message& message, MemberIndex receiver = kNoMember);
  void queueUpdate(MemberIndex member, int transmissions);
  int transmissionLimit() const;
  uint64_t digest() const { return digest_; }
  std::vector<uint64_t> bucketDigests() const;
  uint64_t hashOf(MemberIndex member) const;
  size_t bucketOf(MemberIndex member) const;

  MembershipSettings settings_;
  MemberIndex self_;
  ProcessInstance instance_;
  Pcg32 random_;
  double now_ = 0;
  [[maybe_unused]] double startedAt_ = 0;
  std::vector<Record> records_;
  std::vector<uint64_t> nameHashes_;
  std::vector<MemberIndex> queuedUpdates_;  // members whose updates are still to be piggybacked
  std::vector<MemberIndex> suspected_;
  std::vector<MemberIndex> probeRound_;  // members still to be probed in this round, from the back
  std::vector<Message> outgoing_;
  std::vector<MembershipEvent> events_;
  std::vector<Payload> payloads_;
  std::vector<Probe> probes_;
  std::deque<RelayedProbe> relayedProbes_;
  ErrorCounts errorCounts_{};
  uint64_t lastSequence_ = 0;
  uint64_t lastProbe_ = 0;  // number of the last probe, own or relayed
  uint64_t digest_ = 0;     // sum of hashOf() of all members
  uint64_t changes_ = 0;    // updates applied so far
  mutable uint64_t snapshots_ = 0;
  size_t presentMembers_ = 0;
  int localHealth_ = 0;  // Lifeguard's local health multiplier; 0: the own probes work as expected
  double nextProbe_ = 0;
  double nextDownProbe_ = 0;
  double nextGossip_ = 0;
  double nextSync_ = 0;
  double lastHeardAt_ = 0;  // time of the last message from any member
  double promisesAllowedFrom_ = 0;
  double healingUntil_ = -1;
  double probingFastUntil_ = -1;
  double nameConflictAt_ = -1;  // when this process last outbid another instance of its name; negative: never
  bool demoted_ = false;
  bool leaving_ = false;
  bool isolated_ = false;
};

}  // namespace elmcleat::members
