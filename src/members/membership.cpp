#include "members/membership.h"

#include <algorithm>
#include <cmath>

namespace elmcleat::members {
namespace {

// --- Durations, in probe intervals unless stated otherwise.
constexpr double kPingTimeout = 0.4;       // until ping-reqs are sent; SWIM requires more than a round trip
constexpr double kNackDelay = 0.3;         // until the receiver of a ping-req sends a nack
constexpr double kGossipInterval = 0.4;    // between two rounds of gossip
constexpr double kSyncInterval = 2;        // least time between two sync requests, times 0.5 to 1.5 at random
constexpr double kFastSyncInterval = 0.5;  // the same, after a message with kManyChanges
constexpr double kHealDuration = 4;        // of probing many down members after a partition has healed
constexpr double kFastProbeDuration = 4;   // of probing faster after a suspicion
constexpr double kFastProbeFactor = 0.25;  // of the probe interval, while probing faster
constexpr double kIsolatedAfter = 10;      // without a message from any member
constexpr double kNameConflictInterval =
    120;                                 // a process may outbid its name's other instance once in this time
constexpr double kStallThreshold = 2;    // between ticks, which come several times a probe interval
constexpr double kPromiseMargin = 1.25;  // times maxPromiseDuration: for clock rates and messages in transit
// --- Counts and sizes.
constexpr size_t kGossipFanout = 2;    // members that receive each round of gossip
constexpr size_t kIndirectProbes = 3;  // members that receive a ping-req for one probe
constexpr int kMaxLocalHealth = 8;     // Lifeguard's bound of the local health multiplier
constexpr double kTransmissionFactor =
    1.5;                                 // times log2 of the members: piggybacked transmissions of an update
constexpr size_t kMaxConfirmations = 3;  // confirmations after which a suspicion lasts minSuspicionTime
constexpr size_t kManyChanges = 8;       // updates applied from one message: more than gossip alone can carry
constexpr size_t kHealFanout = 4;        // down members probed with each round of gossip while healing
constexpr double kVerifyingMembers =
    6;                                // members of the fleet that probe at once when they receive a suspicion
constexpr size_t kSyncBuckets = 64;   // bucket digests of anti-entropy
constexpr size_t kUpdateBytes = 28;   // of an encoded update, without its two names
constexpr size_t kHeaderBytes = 150;  // of an encoded message without updates
constexpr size_t kMaxRelayedProbes = 256;  // ping-reqs served at the same time

// The finalizer of splitmix64: spreads names and statuses so that sums of them do not cancel out.
uint64_t mix(uint64_t x) {
  x += 0x9e3779b97f4a7c15u;
  x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9u;
  x = (x ^ x >> 27) * 0x94d049bb133111ebu;
  return x ^ x >> 31;
}
// FNV-1a, which must be the same in all versions of the program.
uint64_t hashOfName(const std::string& name) {
  uint64_t hash = 0xcbf29ce484222325u;
  for (unsigned char c : name)
    hash = (hash ^ c) * 0x100000001b3u;
  return mix(hash);
}

}  // namespace

Membership::Membership(const MembershipSettings& settings, MemberIndex self, const ProcessInstance& instance,
                       uint64_t seed, double now)
    : settings_(settings),
      self_(self),
      instance_(instance),
      random_(seed),
      now_(now),
      startedAt_(now),
      records_(settings.peers.size()) {
  for (auto& peer : settings_.peers)
    nameHashes_.push_back(hashOfName(peer.name));
  // By then all promises of an earlier instance have expired.
  promisesAllowedFrom_ = now + kPromiseMargin * settings_.maxPromiseDuration;
  lastHeardAt_ = now;
  // A random phase, so that members do not probe in step.
  nextProbe_ = nextGossip_ = now + random_.uniform() * kGossipInterval * settings_.probeInterval;
  nextSync_ = now;
  apply({self_, ownStatus()}, self_);
}

// --- Time
void Membership::tick(double now) {
  detectStall(now);
  now_ = now;
  if (demoted_)
    return;
  // Declare members down whose suspicion has not been refuted in time.
  for (MemberIndex member : suspected_) {
    if (!recordOf(member).suspicion || now_ < suspicionEndsAt(recordOf(member)))
      continue;
    MemberStatus down = recordOf(member).status;
    down.state = MemberState::down;
    apply({member, down}, self_);
  }
  std::erase_if(suspected_, [&](MemberIndex member) { return !recordOf(member).suspicion; });
  // Send nacks for unanswered probes on behalf of others, and drop those that have ended.
  while (!relayedProbes_.empty() && now_ >= relayedProbes_.front().endsAt)
    relayedProbes_.pop_front();
  for (auto& relayed : relayedProbes_)
    if (!relayed.nackSent && now_ >= relayed.nackAt) {
      relayed.nackSent = true;
      addMessage(MessageKind::nack, relayed.requester).probe = relayed.requesterProbe;
    }
  // Send ping-reqs for own probes without an ack.
  for (auto& probe : probes_) {
    if (probe.indirectSent || now_ < probe.indirectAt)
      continue;
    probe.indirectSent = true;
    for (MemberIndex relay : randomMembers(kIndirectProbes, MemberState::alive, probe.member)) {
      Message& request = addMessage(MessageKind::pingRequest, relay);
      request.probe = probe.number;
      request.subject = probe.member;
      ++probe.relays;
      ++probe.missingNacks;
    }
  }
  // Suspect the members whose probes have ended without an ack.
  auto firstExpired =
      std::stable_partition(probes_.begin(), probes_.end(), [&](auto& probe) { return now_ < probe.endsAt; });
  std::vector<Probe> expired(firstExpired, probes_.end());
  probes_.erase(firstExpired, probes_.end());
  for (auto& probe : expired)
    probeFailed(probe);
  if (now_ >= nextProbe_) {
    double interval = settings_.probeInterval * (isProbingFast() ? kFastProbeFactor : 1);
    nextProbe_ = std::max(nextProbe_ + interval, now_ + interval / 2);
    probe();
    if (now_ >= nextDownProbe_) {
      nextDownProbe_ = now_ + settings_.probeInterval;
      probeDownMembers(presentMembers_ <= 1 ? kIndirectProbes : 1);
    }
  }
  if (now_ >= nextGossip_) {
    nextGossip_ = now_ + kGossipInterval * settings_.probeInterval;
    gossip();
  }
  bool isolated = records_.size() > 1 && now_ > lastHeardAt_ + kIsolatedAfter * settings_.probeInterval;
  if (isolated && !isolated_) {
    countError(ErrorKind::isolated);
    events_.push_back({self_, MemberState::alive, ErrorKind::isolated, "no other member answers"});
  }
  isolated_ = isolated;
}

double Membership::nextWakeUp() const {
  if (demoted_)
    return now_ + settings_.probeInterval;  // a longer gap between ticks would be taken for a stall
  double time = std::min(nextProbe_, nextGossip_);
  for (auto& probe : probes_)
    time = std::min({time, probe.indirectSent ? HUGE_VAL : probe.indirectAt, probe.endsAt});
  for (auto& relayed : relayedProbes_)
    time = std::min(time, relayed.nackSent ? relayed.endsAt : relayed.nackAt);
  for (MemberIndex member : suspected_)
    if (auto& record = recordOf(member); record.suspicion)
      time = std::min(time, suspicionEndsAt(record));
  return time;
}

// Ticks are frequent. A long gap between two of them means that this process was stopped, and members that
// did not answer meanwhile are not at fault. This covers stopped processes, throttled cores and suspended
// machines: without it a process that resumes would declare the whole fleet down. The cost is that a member
// that failed during the gap is detected a little later.
void Membership::detectStall(double now) {
  double gap = now - now_;
  if (gap < kStallThreshold * settings_.probeInterval)
    return;
  probes_.clear();
  relayedProbes_.clear();
  for (auto& record : records_)
    if (record.suspicion)
      record.suspicion->since += gap;
  lastHeardAt_ += gap;
  nextProbe_ = nextGossip_ = nextSync_ = now;
  localHealth_ = std::min(localHealth_ + 1, kMaxLocalHealth);
  // Promises to or by this process may have expired during the gap. As after a restart, except that the name
  // is still this process's.
  promisesAllowedFrom_ = std::max(promisesAllowedFrom_, now + kPromiseMargin * settings_.maxPromiseDuration);
}

// --- Received messages
void Membership::receive(double now, const Message& message) {
  tick(now);
  if (message.from == self_)
    return countError(ErrorKind::duplicateName);
  if (message.to != self_)
    return countError(ErrorKind::misdirected);
  MemberIndex from = message.from;
  Record& sender = recordOf(from);
  if (!acceptSequence(message)) {
    // A duplicate, or a process that restarted with its clock set back, so that an earlier instance has a
    // greater number. Such a process has to learn of that instance: if the earlier instance left, it is no
    // longer probed, and all messages of the new one would be dropped for ever.
    if (!demoted_ && message.instance < sender.status.instance &&
        now_ >= sender.correctedAt + settings_.probeInterval) {
      sender.correctedAt = now_;
      addMessage(MessageKind::gossip, from).updates.push_back({from, sender.status});
    }
    return countError(ErrorKind::replayed);
  }
  sender.lastHeardAt = lastHeardAt_ = now_;
  if (demoted_)
    return;
  sender.selfReported = {message.instance, message.incarnation, MemberState::alive};
  // The member was down and has not restarted: a partition has healed, and more members may be reachable
  // again.
  if (sender.status.state == MemberState::down && sender.status.instance == message.instance)
    healingUntil_ = now_ + kHealDuration * settings_.probeInterval;
  uint64_t changesBefore = changes_;
  merge({from, sender.selfReported}, from);
  for (auto& update : message.updates)
    if (update.member >= 0)
      merge(update, from);
  if (changes_ - changesBefore > kManyChanges)
    nextSync_ = std::min(
        nextSync_, now_ + kFastSyncInterval * settings_.probeInterval * random_.uniformBetween(0.5, 1.5));
  if (demoted_)
    return;
  switch (message.kind) {
    case MessageKind::ping: {
      Message& ack = addMessage(MessageKind::ack, from);
      ack.probe = message.probe;
      piggybackUpdates(ack, from);
      break;
    }
    case MessageKind::pingRequest: {
      if (message.subject < 0 || message.subject == self_ || relayedProbes_.size() >= kMaxRelayedProbes)
        break;
      RelayedProbe relayed{++lastProbe_, from, message.probe, now_ + kNackDelay * settings_.probeInterval,
                           now_ + settings_.probeInterval};
      relayedProbes_.push_back(relayed);
      Message& ping = addMessage(MessageKind::ping, message.subject);
      ping.probe = relayed.number;
      piggybackUpdates(ping, message.subject);
      break;
    }
    case MessageKind::ack: {
      if (std::erase_if(probes_, [&](auto& probe) { return probe.number == message.probe; }) > 0)
        localHealth_ = std::max(localHealth_ - 1, 0);
      for (auto relayed = relayedProbes_.begin(); relayed != relayedProbes_.end(); ++relayed)
        if (relayed->number == message.probe) {
          addMessage(MessageKind::ack, relayed->requester).probe = relayed->requesterProbe;
          relayedProbes_.erase(relayed);
          break;
        }
      break;
    }
    case MessageKind::nack:
      for (auto& probe : probes_)
        if (probe.number == message.probe && probe.missingNacks > 0)
          --probe.missingNacks;
      break;
    case MessageKind::syncRequest:
      answerSync(message);
      break;
    case MessageKind::syncResponse:
      if (!message.bucketDigests.empty())
        answerSync(message);
      break;
    case MessageKind::payload:
      payloads_.push_back({from, message.payload});
      break;
    case MessageKind::gossip:
      break;
  }
  // Anti-entropy: two members whose digests differ exchange updates. This repairs what gossip has lost, and
  // transfers all that a new member or a healed partition brings.
  bool startsSync = message.kind == MessageKind::ping || message.kind == MessageKind::ack ||
                    message.kind == MessageKind::gossip;
  if (startsSync && message.digest != digest() && now_ >= nextSync_)
    requestSync(from);
  if (message.digest == digest())
    reduceTransmissions();
}

// Protection against replays: a sliding window of 64 sequence numbers for the sender's latest instance.
// Messages of earlier instances, messages before the window and repeated ones are rejected.
bool Membership::acceptSequence(const Message& message) {
  Record& sender = recordOf(message.from);
  if (message.instance < sender.windowInstance)
    return false;
  if (message.instance > sender.windowInstance) {
    sender.windowInstance = message.instance;
    sender.highestSequence = message.sequence;
    sender.receivedWindow = 1;
    return true;
  }
  if (message.sequence > sender.highestSequence) {
    uint64_t advance = message.sequence - sender.highestSequence;
    sender.receivedWindow = advance >= 64 ? 1 : sender.receivedWindow << advance | 1;
    sender.highestSequence = message.sequence;
    return true;
  }
  uint64_t age = sender.highestSequence - message.sequence;
  if (age >= 64 || sender.receivedWindow >> age & 1)
    return false;
  sender.receivedWindow |= uint64_t{1} << age;
  return true;
}

// --- Statuses
// Merges an update from `source`. Updates about this process are refuted by a greater incarnation, or are a
// name conflict if they are about another instance.
void Membership::merge(const MemberUpdate& update, MemberIndex source) {
  const MemberStatus& status = update.status;
  Record& record = recordOf(update.member);
  if (update.member != self_) {
    if (status > record.status)
      return apply(update, source);
    if (status == record.status && record.suspicion && update.suspectedBy >= 0)
      confirmSuspicion(record, update.suspectedBy);
    return;
  }
  if (status <= ownStatus())
    return;
  if (status.instance != instance_.instance)
    return resolveNameConflict(status);
  if (status.state != MemberState::alive)
    localHealth_ = std::min(localHealth_ + 1, kMaxLocalHealth);  // this process may have missed their pings
  instance_.incarnation = status.incarnation + 1;
  apply({self_, ownStatus()}, self_);
}

// Applies an update that is greater than the present status of the member: updates the digest, queues it for
// dissemination, begins or ends a suspicion, and reports an event if the state or the instance has changed.
void Membership::apply(const MemberUpdate& update, MemberIndex source) {
  Record& record = recordOf(update.member);
  const MemberStatus& status = update.status;
  const MemberStatus before = record.status;
  ++changes_;
  digest_ -= hashOf(update.member);
  record.status = mergedStatus(record.status, status);
  digest_ += hashOf(update.member);
  presentMembers_ = presentMembers_ + size_t(record.status.isPresent()) - size_t(before.isPresent());
  queueUpdate(update.member, transmissionLimit());
  if (status.state != MemberState::suspect)
    record.suspicion.reset();
  else if (!record.suspicion || before.incarnation != status.incarnation) {
    if (!record.suspicion && std::ranges::find(suspected_, update.member) == suspected_.end())
      suspected_.push_back(update.member);
    record.suspicion = Suspicion{now_, {}};
    confirmSuspicion(record, update.suspectedBy >= 0 ? update.suspectedBy : source);
    // Some members probe the suspect at once, so that the suspicion is confirmed or refuted sooner.
    if (source != self_ && random_.uniform() * double(presentMembers_) < kVerifyingMembers) {
      probeRound_.push_back(update.member);
      nextProbe_ = now_;
    }
  }
  if (update.member != self_ && (status.state == MemberState::suspect || status.state == MemberState::down))
    probingFastUntil_ = now_ + kFastProbeDuration * settings_.probeInterval;
  if (update.member == self_ || (before.state == status.state && before.instance == status.instance))
    return;
  std::string reason =
      source == self_ ? "as seen from here" : "as reported by " + settings_.peers[size_t(source)].name;
  events_.push_back({update.member, status.state, {}, reason});
}

// Another process runs, or ran, under this process's name with a greater instance. An earlier instance whose
// clock was ahead is outbid once, and does not answer. A process that is running answers by outbidding in
// turn; then the process that has already used its one bid of kNameConflictInterval is demoted. So exactly
// one of the two goes on.
void Membership::resolveNameConflict(const MemberStatus& status) {
  if (nameConflictAt_ >= 0 && now_ < nameConflictAt_ + kNameConflictInterval * settings_.probeInterval) {
    demoted_ = true;
    countError(ErrorKind::duplicateName);
    events_.push_back(
        {self_, MemberState::down, ErrorKind::duplicateName, "another running process uses this name"});
    outgoing_.clear();
    probes_.clear();
    relayedProbes_.clear();
    return;
  }
  nameConflictAt_ = now_;
  instance_.instance = status.instance + 1;
  instance_.incarnation = std::max(instance_.incarnation, status.incarnation) + 1;
  lastSequence_ = 0;
  apply({self_, ownStatus()}, self_);
}

// Called when an own probe of the member has failed.
void Membership::suspect(MemberIndex member) {
  MemberStatus status = recordOf(member).status;
  if (status.state == MemberState::suspect)
    return confirmSuspicion(recordOf(member), self_);
  if (status.state != MemberState::alive)
    return;
  status.state = MemberState::suspect;
  apply({member, status, self_}, self_);
}

// Adds a member that has detected the failure itself to a suspicion.
void Membership::confirmSuspicion(Record& record, MemberIndex by) {
  auto& confirmedBy = record.suspicion->confirmedBy;
  if (confirmedBy.size() > kMaxConfirmations || std::ranges::find(confirmedBy, by) != confirmedBy.end())
    return;
  confirmedBy.push_back(by);
  // Propagate the confirmation, so that the suspicion ends sooner at the other members too.
  queueUpdate(MemberIndex(&record - records_.data()), transmissionLimit());
}

// Lifeguard's dynamic suspicion time: it falls with the logarithm of the confirmations, and grows with the
// local health multiplier.
double Membership::suspicionEndsAt(const Record& record) const {
  size_t confirmations = record.suspicion->confirmedBy.size() - 1;  // without the first detection
  // No more than there are members to confirm it.
  size_t wanted = std::min(kMaxConfirmations, presentMembers_ > 3 ? presentMembers_ - 3 : 0);
  double fraction =
      wanted == 0 ? 1 : std::min(1.0, std::log1p(double(confirmations)) / std::log1p(double(wanted)));
  double duration =
      settings_.maxSuspicionTime - (settings_.maxSuspicionTime - settings_.minSuspicionTime) * fraction;
  return record.suspicion->since + duration * (1 + localHealth_ / 2.0);
}

// --- Probes
void Membership::probe() {
  if (probes_.size() >= (isProbingFast() ? size_t(std::ceil(1 / kFastProbeFactor)) : 1))
    return;  // with a raised local health multiplier probes take longer than the interval
  for (size_t attempt = 0; attempt <= records_.size(); ++attempt) {
    if (probeRound_.empty()) {
      for (size_t i = 0; i < records_.size(); ++i)
        if (MemberIndex(i) != self_ && records_[i].status.isPresent())
          probeRound_.push_back(MemberIndex(i));
      if (probeRound_.empty())
        return;
      for (size_t i = probeRound_.size() - 1; i > 0; --i)
        std::swap(probeRound_[i], probeRound_[random_.next() % (i + 1)]);
    }
    MemberIndex next = probeRound_.back();
    probeRound_.pop_back();
    if (!recordOf(next).status.isPresent())
      continue;
    double multiplier = 1 + localHealth_;
    probes_.push_back({++lastProbe_, next, now_ + kPingTimeout * settings_.probeInterval * multiplier,
                       now_ + settings_.probeInterval * multiplier});
    Message& ping = addMessage(MessageKind::ping, next);
    ping.probe = lastProbe_;
    piggybackUpdates(ping, next);
    return;
  }
}

void Membership::probeFailed(const Probe& probe) {
  // If none of the members that were sent a ping-req has sent a nack, the fault is probably on this side. A
  // single missing nack may be due to a relay that is down. Lifeguard counts each missing nack; then the
  // failure of a tenth of the fleet would slow down its detection by all others.
  if (probe.relays > 0 && probe.missingNacks == probe.relays)
    localHealth_ = std::min(localHealth_ + 1, kMaxLocalHealth);
  suspect(probe.member);
}

// After a suspicion members are probed more often: of many that fail at once, the last would otherwise be
// detected late.
bool Membership::isProbingFast() const { return now_ < probingFastUntil_; }

// Pings members that are down or have never been heard from, to find out when a partition has healed. The
// caller takes kIndirectProbes at a time while no other member is present, as after the start.
void Membership::probeDownMembers(size_t count) {
  for (MemberIndex member : randomAbsentMembers(count)) {
    Message& ping = addMessage(MessageKind::ping, member);
    ping.probe = ++lastProbe_;
    piggybackUpdates(ping, member);
  }
}

// --- Dissemination
// How often each member that holds an update piggybacks it.
int Membership::transmissionLimit() const {
  return int(std::ceil(kTransmissionFactor * std::log2(double(presentMembers_) + 1)));
}

// Queues the status of the member to be piggybacked so many times.
void Membership::queueUpdate(MemberIndex member, int transmissions) {
  if (recordOf(member).transmissionsLeft <= 0)
    queuedUpdates_.push_back(member);
  recordOf(member).transmissionsLeft = std::max(recordOf(member).transmissionsLeft, transmissions);
}

// Called for a message with the same digest: its sender holds the same statuses, so each queued update needs
// one transmission less. Suspicions are not part of the digest, and keep theirs.
void Membership::reduceTransmissions() {
  for (MemberIndex member : queuedUpdates_)
    if (!recordOf(member).suspicion)
      --recordOf(member).transmissionsLeft;
  std::erase_if(queuedUpdates_, [&](MemberIndex member) { return recordOf(member).transmissionsLeft <= 0; });
}

void Membership::gossip() {
  if (now_ < healingUntil_)
    probeDownMembers(kHealFanout);
  if (queuedUpdates_.empty())
    return;
  for (MemberIndex to : randomMembers(kGossipFanout, MemberState::suspect))
    piggybackUpdates(addMessage(MessageKind::gossip, to), to);
}

// Adds as many updates as fit into a datagram, those with the fewest transmissions so far first. Before all
// others comes the status of the receiver if it differs from what the receiver reported of itself: the
// receiver has to learn that it is suspected, or that an earlier instance of its name has a greater number.
void Membership::piggybackUpdates(Message& message, MemberIndex receiver) {
  size_t bytes = kHeaderBytes;
  auto add = [&](MemberIndex member) {
    Record& record = recordOf(member);
    bytes += kUpdateBytes + 2 * settings_.peers[size_t(member)].name.size();
    if (bytes > kMaxDatagramBytes)
      return false;
    MemberUpdate& update = message.updates.emplace_back(MemberUpdate{member, record.status});
    if (record.suspicion)
      update.suspectedBy =
          record.suspicion->confirmedBy[record.suspicion->nextNamed++ % record.suspicion->confirmedBy.size()];
    return true;
  };
  if (receiver >= 0 && recordOf(receiver).status > recordOf(receiver).selfReported)
    add(receiver);
  size_t limit = std::min<size_t>(queuedUpdates_.size(), kMaxDatagramBytes / kUpdateBytes);
  std::ranges::partial_sort(
      queuedUpdates_, queuedUpdates_.begin() + long(limit), {},
      [&](MemberIndex member) { return std::pair(-recordOf(member).transmissionsLeft, member); });
  for (size_t i = 0; i < limit; ++i) {
    if (queuedUpdates_[i] == receiver && !message.updates.empty())
      continue;
    if (!add(queuedUpdates_[i]))
      break;
    --recordOf(queuedUpdates_[i]).transmissionsLeft;
  }
  std::erase_if(queuedUpdates_, [&](MemberIndex member) { return recordOf(member).transmissionsLeft <= 0; });
}

// Up to `count` different members at random, without this process and `excluded`, whose state is `worstState`
// or better.
std::vector<MemberIndex> Membership::randomMembers(size_t count, MemberState worstState,
                                                   MemberIndex excluded) {
  std::vector<MemberIndex> picked;
  for (size_t attempt = 0; picked.size() < count && attempt < 6 * count; ++attempt) {
    MemberIndex member = MemberIndex(random_.next() % records_.size());
    if (member == self_ || member == excluded || !recordOf(member).status.isKnown() ||
        recordOf(member).status.state > worstState)
      continue;
    if (std::ranges::find(picked, member) == picked.end())
      picked.push_back(member);
  }
  if (!picked.empty() || presentMembers_ <= 1)
    return picked;
  // Few members are present, and random draws have missed them: take the first ones of the list.
  for (size_t i = 0; i < records_.size() && picked.size() < count; ++i)
    if (MemberIndex(i) != self_ && MemberIndex(i) != excluded && records_[i].status.isKnown() &&
        records_[i].status.state <= worstState)
      picked.push_back(MemberIndex(i));
  return picked;
}

// Up to `count` different members at random that are down or unknown. Members that have left announce their
// return themselves; they are included only if no other member is present.
std::vector<MemberIndex> Membership::randomAbsentMembers(size_t count) {
  std::vector<MemberIndex> absent;
  bool includeLeft = presentMembers_ <= 1;
  for (size_t i = 0; i < records_.size(); ++i)
    if (MemberIndex(i) != self_ && !records_[i].status.isPresent() &&
        (includeLeft || records_[i].status.state != MemberState::left))
      absent.push_back(MemberIndex(i));
  for (size_t i = 0; i < count && i < absent.size(); ++i)
    std::swap(absent[i], absent[i + random_.next() % (absent.size() - i)]);
  absent.resize(std::min(count, absent.size()));
  return absent;
}

Message& Membership::addMessage(MessageKind kind, MemberIndex to) {
  Message& message = outgoing_.emplace_back();
  message.kind = kind;
  message.from = self_;
  message.to = to;
  message.instance = instance_.instance;
  message.incarnation = instance_.incarnation;
  message.sequence = ++lastSequence_;
  message.digest = digest();
  return message;
}

void Membership::leave(double now) {
  tick(now);
  if (demoted_ || std::exchange(leaving_, true))
    return;
  apply({self_, ownStatus()}, self_);
  for (MemberIndex to : randomMembers(2 * kIndirectProbes, MemberState::suspect))
    piggybackUpdates(addMessage(MessageKind::gossip, to), to);
}

// --- Anti-entropy
// A sync request carries one digest for each of kSyncBuckets buckets of members; the updates of the buckets
// that differ are then exchanged in both directions.

// The contribution of a member to the digests. Suspicions are left out, because they are short-lived.
uint64_t Membership::hashOf(MemberIndex member) const {
  const MemberStatus& status = recordOf(member).status;
  if (!status.isKnown())
    return 0;
  MemberState state = status.state == MemberState::suspect ? MemberState::alive : status.state;
  return mix(nameHashes_[size_t(member)] ^
             mix(status.instance ^ mix(status.incarnation << 2 | uint64_t(state))));
}

size_t Membership::bucketOf(MemberIndex member) const { return nameHashes_[size_t(member)] % kSyncBuckets; }

std::vector<uint64_t> Membership::bucketDigests() const {
  std::vector<uint64_t> digests(kSyncBuckets);
  for (size_t i = 0; i < records_.size(); ++i)
    digests[bucketOf(MemberIndex(i))] += hashOf(MemberIndex(i));
  return digests;
}

void Membership::requestSync(MemberIndex with) {
  nextSync_ = now_ + kSyncInterval * settings_.probeInterval * random_.uniformBetween(0.5, 1.5);
  addMessage(MessageKind::syncRequest, with).bucketDigests = bucketDigests();
}

// Sends the updates of all buckets that differ from the message's digests; in answer to a request also the
// own digests, so that the other side sends its updates.
void Membership::answerSync(const Message& message) {
  if (message.bucketDigests.size() != kSyncBuckets)
    return;  // the sender's version has another number of buckets: only gossip is left
  auto ownDigests = bucketDigests();
  Message& answer = addMessage(MessageKind::syncResponse, message.from);
  for (size_t i = 0; i < records_.size(); ++i)
    if (records_[i].status.isKnown() &&
        ownDigests[bucketOf(MemberIndex(i))] != message.bucketDigests[bucketOf(MemberIndex(i))])
      answer.updates.push_back({MemberIndex(i), records_[i].status,
                                records_[i].suspicion ? records_[i].suspicion->confirmedBy[0] : kNoMember});
  if (message.kind == MessageKind::syncRequest)
    answer.bucketDigests = std::move(ownDigests);
  if (answer.updates.empty() && answer.bucketDigests.empty())
    outgoing_.pop_back();
}

// --- Interface to subsystems and to the control thread
void Membership::sendPayload(MemberIndex to, std::string bytes) {
  if (!demoted_)
    addMessage(MessageKind::payload, to).payload = std::move(bytes);
}

std::vector<Message> Membership::takeOutgoing() { return std::exchange(outgoing_, {}); }
std::vector<MembershipEvent> Membership::takeEvents() { return std::exchange(events_, {}); }

MembershipSnapshot Membership::snapshot(double now) const {
  MembershipSnapshot snapshot;
  snapshot.takenAt = now;
  snapshot.number = ++snapshots_;
  snapshot.self = self_;
  snapshot.demoted = demoted_;
  snapshot.isolated = isolated_;
  snapshot.promisesAllowedFrom = promisesAllowedFrom_;
  snapshot.presentMembers = presentMembers_;
  snapshot.digest = digest();
  for (auto& record : records_)
    snapshot.members.push_back({record.status, record.lastHeardAt});
  snapshot.errorCounts = errorCounts_;
  return snapshot;
}

}  // namespace elmcleat::members
