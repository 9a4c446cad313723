#include "members/membership.h"

#include <algorithm>
#include <cmath>

namespace elmcleat::members {
namespace {

// --- tuned values; times are parts of a period unless said otherwise
constexpr double kAnswerIn = 0.4;  // until others are asked; SWIM wants more than a round trip
constexpr double kNackIn = 0.3;    // until who was asked says that it hears nothing either
constexpr double kGossip = 0.4;    // from one gossip to the next
constexpr size_t kGossipTo = 2;    // members told at each
constexpr size_t kAskers = 3;      // members asked to ping for us
constexpr int kStrainMost = 8;     // Lifeguard's bound of its local health multiplier
constexpr double kTellings = 1.5;  // times log2 of the members: how often news is told by each that has it
constexpr size_t kConfirm = 3;     // members that speak up for the least time of suspicion
constexpr double kCompareEach =
    2;  // least time between two comparisons that we begin, drawn from half to 1.5
constexpr double kCompareSoon = 0.5;  // the same, while the last one brought much
constexpr size_t kMuch = 8;     // rows that one message changed: more is being found out than gossip carries
constexpr double kHealing = 4;  // how long many are tried, after one came back that was down
constexpr size_t kHealTo = 4;   // so many at each gossip
constexpr double kAlarm = 4, kAlarmed = 0.25;  // after a suspicion: how long probes come so much closer
constexpr double kLook = 6;         // members of all that look for themselves when they hear of a suspicion
constexpr double kAloneAfter = 10;  // without a word from anybody
constexpr double kContest = 120;    // our name may be outbid once in so long: a restart whose clock went back
constexpr double kStall = 2;        // ticks come several times a period: after this long we were stopped
constexpr double kGuard = 1.25;     // times the longest promise: clocks and what was on its way
constexpr size_t kBuckets = 64;     // of the exchange that mends
constexpr size_t kRowBytes = 28, kHeadBytes = 150;  // of a message on the wire, names left out
constexpr size_t kErrands = 256;                    // pings for others at once

uint64_t mixed(uint64_t x) {  // splitmix64: names and claims to sums that don't cancel out
  x += 0x9e3779b97f4a7c15u;
  x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9u;
  x = (x ^ x >> 27) * 0x94d049bb133111ebu;
  return x ^ x >> 31;
}
uint64_t hashOfName(const std::string& name) {  // FNV-1a: the same in all versions
  uint64_t hash = 0xcbf29ce484222325u;
  for (unsigned char c : name)
    hash = (hash ^ c) * 0x100000001b3u;
  return mixed(hash);
}

}  // namespace

Membership::Membership(const MembershipSettings& settings, MemberIndex self, const ProcessInstance& life,
                       uint64_t seed, double now)
    : settings_(settings),
      self_(self),
      life_(life),
      chance_(seed),
      now_(now),
      startedAt_(now),
      records_(settings.peers.size()) {
  for (auto& peer : settings_.peers)
    nameHashes_.push_back(hashOfName(peer.name));
  promisesFrom_ =
      now + kGuard * settings_.maxPromiseDuration;  // whatever an earlier life of ours promised is over then
  heardAt_ = now;
  nextProbe_ = nextGossip_ =
      now + chance_.uniform() * kGossip * settings_.probeInterval;  // not in step with the others
  nextCompare_ = now;
  settle({self_, own()}, self_);
}

// --- time
void Membership::tick(double now) {
  noticeStall(now);
  now_ = now;
  if (demoted_)
    return;
  for (MemberIndex one : suspected_) {
    if (!at(one).suspicion || now_ < suspectedUntil(at(one)))
      continue;
    MemberStatus down = at(one).status;
    down.state = MemberState::down;
    settle({one, down}, self_);
  }
  std::erase_if(suspected_, [&](MemberIndex one) { return !at(one).suspicion; });
  while (!relayedProbes_.empty() && now_ >= relayedProbes_.front().endsAt)
    relayedProbes_.pop_front();
  for (auto& errand : relayedProbes_)
    if (!errand.nacked && now_ >= errand.nackAt) {
      errand.nacked = true;
      addMessage(MessageKind::nack, errand.asker).probe = errand.askersNumber;
    }
  for (auto& probe : probing_) {
    if (probe.asked || now_ < probe.askAt)
      continue;
    probe.asked = true;
    for (MemberIndex helper : drawn(kAskers, MemberState::alive, probe.member)) {
      Message& ask = addMessage(MessageKind::pingRequest, helper);
      ask.probe = probe.number, ask.subject = probe.member;
      ++probe.helpers, ++probe.nacksDue;
    }
  }
  auto over = std::stable_partition(probing_.begin(), probing_.end(),
                                    [&](auto& probe) { return now_ < probe.endsAt; });
  std::vector<Probe> late(over, probing_.end());
  probing_.erase(over, probing_.end());
  for (auto& probe : late)
    failed(probe);
  if (now_ >= nextProbe_) {
    double each = settings_.probeInterval * (alarmed() ? kAlarmed : 1);
    nextProbe_ = std::max(nextProbe_ + each, now_ + each / 2);
    probe();
    if (now_ >= nextReach_)
      nextReach_ = now_ + settings_.probeInterval, probeDownMembers(there_ <= 1 ? kAskers : 1);
  }
  if (now_ >= nextGossip_) {
    nextGossip_ = now_ + kGossip * settings_.probeInterval;
    gossip();
  }
  bool alone = records_.size() > 1 && now_ > heardAt_ + kAloneAfter * settings_.probeInterval;
  if (alone && !alone_)
    countError(ErrorKind::isolated),
        events_.push_back({self_, MemberState::alive, ErrorKind::isolated, "nobody answers"});
  alone_ = alone;
}

double Membership::nextWakeUp() const {
  if (demoted_)
    return now_ + settings_.probeInterval;  // or the next tick would take the time between for a stall
  double at = std::min(nextProbe_, nextGossip_);
  for (auto& probe : probing_)
    at = std::min({at, probe.asked ? HUGE_VAL : probe.askAt, probe.endsAt});
  for (auto& errand : relayedProbes_)
    at = std::min(at, errand.nacked ? errand.endsAt : errand.nackAt);
  for (MemberIndex one : suspected_)
    if (auto& record = this->at(one); record.suspicion)
      at = std::min(at, suspectedUntil(record));
  return at;
}

// Ticks come often. After a long time without, it is us who stood still, and nobody who failed to answer meanwhile is
// to blame. Guards against stopped processes, throttled cores, suspended machines: without it who wakes declares the
// whole fleet down. Hurts by detecting a member that failed in that time a little later.
void Membership::noticeStall(double now) {
  double stood = now - now_;
  if (stood < kStall * settings_.probeInterval)
    return;
  probing_.clear(), relayedProbes_.clear();
  for (auto& record : records_)
    if (record.suspicion)
      record.suspicion->since += stood;
  heardAt_ += stood;
  nextProbe_ = nextGossip_ = nextCompare_ = now;
  localHealth_ = std::min(localHealth_ + 1, kStrainMost);
  // Whatever was promised to us or by us may have ended: as after a restart, but that our name is still ours.
  promisesFrom_ = std::max(promisesFrom_, now + kGuard * settings_.maxPromiseDuration);
}

// --- what comes
void Membership::receive(double now, const Message& message) {
  tick(now);
  if (message.from == self_)
    return countError(ErrorKind::duplicateName);
  if (message.to != self_)
    return countError(ErrorKind::misdirected);
  MemberIndex from = message.from;
  Record& sender = at(from);
  if (!fresh(message)) {
    // A copy, or a process whose clock went back and whose name an earlier life has carried further: it has to hear
    // that, or nobody would ever hear it, if the earlier life left and is asked no more.
    if (!demoted_ && message.instance < sender.status.instance &&
        now_ >= sender.correctedAt + settings_.probeInterval) {
      sender.correctedAt = now_;
      addMessage(MessageKind::gossip, from).updates.push_back({from, sender.status});
    }
    return countError(ErrorKind::replayed);
  }
  sender.heardAt = heardAt_ = now_;
  if (demoted_)
    return;
  sender.said = {message.instance, message.incarnation, MemberState::alive};
  // One comes back that was down and did not start anew: a cut has healed, and there may be more behind it.
  if (sender.status.state == MemberState::down && sender.status.instance == message.instance)
    healingUntil_ = now_ + kHealing * settings_.probeInterval;
  uint64_t before = changes_;
  merge({from, sender.said}, from);
  for (auto& row : message.updates)
    if (row.member >= 0)
      merge(row, from);
  if (changes_ - before > kMuch)
    nextCompare_ = std::min(nextCompare_,
                            now_ + kCompareSoon * settings_.probeInterval * chance_.uniformBetween(0.5, 1.5));
  if (demoted_)
    return;
  switch (message.kind) {
    case MessageKind::ping: {
      Message& ack = addMessage(MessageKind::ack, from);
      ack.probe = message.probe;
      addNews(ack, from);
      break;
    }
    case MessageKind::pingRequest: {
      if (message.subject < 0 || message.subject == self_ || relayedProbes_.size() >= kErrands)
        break;
      RelayedProbe errand{++probes_, from, message.probe, now_ + kNackIn * settings_.probeInterval,
                          now_ + settings_.probeInterval};
      relayedProbes_.push_back(errand);
      Message& ping = addMessage(MessageKind::ping, message.subject);
      ping.probe = errand.number;
      addNews(ping, message.subject);
      break;
    }
    case MessageKind::ack: {
      if (std::erase_if(probing_, [&](auto& probe) { return probe.number == message.probe; }) > 0)
        localHealth_ = std::max(localHealth_ - 1, 0);
      for (auto at = relayedProbes_.begin(); at != relayedProbes_.end(); ++at)
        if (at->number == message.probe) {
          addMessage(MessageKind::ack, at->asker).probe = at->askersNumber;
          relayedProbes_.erase(at);
          break;
        }
      break;
    }
    case MessageKind::nack:
      for (auto& probe : probing_)
        if (probe.number == message.probe && probe.nacksDue > 0)
          --probe.nacksDue;
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
  // Two that know different things mend it: what gossip lost, and all that a join or a healed cut brings.
  bool mends = message.kind == MessageKind::ping || message.kind == MessageKind::ack ||
               message.kind == MessageKind::gossip;
  if (mends && message.digest != digest() && now_ >= nextCompare_)
    requestSync(from);
  if (message.digest == digest())
    stopGossip();
}

// A window of sequences for the life that was heard last. What is older than that, or was heard before, is a copy.
bool Membership::fresh(const Message& message) {
  Record& sender = at(message.from);
  if (message.instance < sender.heardInstance)
    return false;
  if (message.instance > sender.heardInstance) {
    sender.heardInstance = message.instance, sender.top = message.sequence, sender.window = 1;
    return true;
  }
  if (message.sequence > sender.top) {
    uint64_t ahead = message.sequence - sender.top;
    sender.window = ahead >= 64 ? 1 : sender.window << ahead | 1;
    sender.top = message.sequence;
    return true;
  }
  uint64_t back = sender.top - message.sequence;
  if (back >= 64 || sender.window >> back & 1)
    return false;
  sender.window |= uint64_t{1} << back;
  return true;
}

// --- claims
void Membership::merge(const MemberUpdate& row, MemberIndex teller) {
  const MemberStatus& status = row.status;
  Record& record = at(row.member);
  if (row.member != self_) {
    if (status > record.status)
      return settle(row, teller);
    if (status == record.status && record.suspicion && row.suspectedBy >= 0)
      confirmSuspicion(record, row.suspectedBy);
    return;
  }
  if (status <= own())
    return;
  if (status.instance != life_.instance)
    return contest(status);
  if (status.state != MemberState::alive)
    localHealth_ = std::min(localHealth_ + 1, kStrainMost);  // did we miss their pings?
  life_.incarnation = status.incarnation + 1;
  settle({self_, own()}, self_);
}

void Membership::settle(const MemberUpdate& row, MemberIndex teller) {
  Record& record = at(row.member);
  const MemberStatus &status = row.status, was = record.status;
  ++changes_;
  digest_ -= hashOf(row.member);
  record.status = mergedStatus(record.status, status);
  digest_ += hashOf(row.member);
  there_ = there_ + size_t(record.status.isPresent()) - size_t(was.isPresent());
  tell(row.member, tellingsEach());
  if (status.state != MemberState::suspect)
    record.suspicion.reset();
  else if (!record.suspicion || was.incarnation != status.incarnation) {
    if (!record.suspicion && std::ranges::find(suspected_, row.member) == suspected_.end())
      suspected_.push_back(row.member);
    record.suspicion = Suspicion{now_, {}};
    confirmSuspicion(record, row.suspectedBy >= 0 ? row.suspectedBy : teller);
    // Some look for themselves, at once: it ends sooner so, either way.
    if (teller != self_ && chance_.uniform() * double(there_) < kLook)
      round_.push_back(row.member), nextProbe_ = now_;
  }
  if (row.member != self_ && (status.state == MemberState::suspect || status.state == MemberState::down))
    alarmedUntil_ = now_ + kAlarm * settings_.probeInterval;
  if (row.member == self_ || (was.state == status.state && was.instance == status.instance))
    return;
  std::string why =
      teller == self_ ? "as seen from here" : "as " + settings_.peers[size_t(teller)].name + " tells";
  events_.push_back({row.member, status.state, {}, why});
}

// Somebody lives, or lived, under our name, and later than we by its own word. An earlier life of ours whose clock was
// ahead is outbid once, and nobody answers; a process that runs answers by outbidding us, and then one of the two has
// spent its one bid and stands aside. So exactly one goes on, whoever they are.
void Membership::contest(const MemberStatus& status) {
  if (contestedAt_ >= 0 && now_ < contestedAt_ + kContest * settings_.probeInterval) {
    demoted_ = true;
    countError(ErrorKind::duplicateName);
    events_.push_back({self_, MemberState::down, ErrorKind::duplicateName, "it answers to this name"});
    out_.clear(), probing_.clear(), relayedProbes_.clear();
    return;
  }
  contestedAt_ = now_;
  life_.instance = status.instance + 1;
  life_.incarnation = std::max(life_.incarnation, status.incarnation) + 1;
  sequence_ = 0;
  settle({self_, own()}, self_);
}

void Membership::suspect(MemberIndex member) {
  MemberStatus status = at(member).status;
  if (status.state == MemberState::suspect)
    return confirmSuspicion(at(member), self_);
  if (status.state != MemberState::alive)
    return;
  status.state = MemberState::suspect;
  settle({member, status, self_}, self_);
}

void Membership::confirmSuspicion(Record& record, MemberIndex by) {
  auto& known = record.suspicion->by;
  if (known.size() > kConfirm || std::ranges::find(known, by) != known.end())
    return;
  known.push_back(by);
  tell(MemberIndex(&record - records_.data()), tellingsEach());  // so that others' time shrinks as well
}

double Membership::suspectedUntil(const Record& record) const {
  size_t others = record.suspicion->by.size() - 1;                // beside the first
  size_t want = std::min(kConfirm, there_ > 3 ? there_ - 3 : 0);  // no more than there are to speak up
  double part = want == 0 ? 1 : std::min(1.0, std::log1p(double(others)) / std::log1p(double(want)));
  double span = settings_.maxSuspicionTime - (settings_.maxSuspicionTime - settings_.minSuspicionTime) * part;
  return record.suspicion->since + span * (1 + localHealth_ / 2.0);
}

// --- probes
void Membership::probe() {
  if (probing_.size() >= (alarmed() ? size_t(std::ceil(1 / kAlarmed)) : 1))
    return;  // under strain they take longer
  for (size_t tries = 0; tries <= records_.size(); ++tries) {
    if (round_.empty()) {
      for (size_t i = 0; i < records_.size(); ++i)
        if (MemberIndex(i) != self_ && records_[i].status.isPresent())
          round_.push_back(MemberIndex(i));
      if (round_.empty())
        return;
      for (size_t i = round_.size() - 1; i > 0; --i)
        std::swap(round_[i], round_[chance_.next() % (i + 1)]);
    }
    MemberIndex next = round_.back();
    round_.pop_back();
    if (!at(next).status.isPresent())
      continue;
    double stretch = 1 + localHealth_;
    probing_.push_back({++probes_, next, now_ + kAnswerIn * settings_.probeInterval * stretch,
                        now_ + settings_.probeInterval * stretch});
    Message& ping = addMessage(MessageKind::ping, next);
    ping.probe = probes_;
    addNews(ping, next);
    return;
  }
}

void Membership::failed(const Probe& probe) {
  // When none of those that were asked says anything either, it points at us. One that says nothing may be down itself:
  // counted each, as Lifeguard does, a tenth of the fleet that dies slows all others' judgement of it.
  if (probe.helpers > 0 && probe.nacksDue == probe.helpers)
    localHealth_ = std::min(localHealth_ + 1, kStrainMost);
  suspect(probe.member);
}

// While members fall, the others are looked at more often: of many that die at once the last would else be found late.
bool Membership::alarmed() const { return now_ < alarmedUntil_; }

// Members that are down, or were never heard, are asked now and then whether they are back: a healed cut is found so.
// Three at a time while we hear of nobody, as after our own start.
void Membership::probeDownMembers(size_t count) {
  for (MemberIndex member : drawnDown(count)) {
    Message& ping = addMessage(MessageKind::ping, member);
    ping.probe = ++probes_;
    addNews(ping, member);
  }
}

// --- telling
int Membership::tellingsEach() const { return int(std::ceil(kTellings * std::log2(double(there_) + 1))); }

void Membership::tell(MemberIndex member, int times) {
  if (at(member).tellings <= 0)
    told_.push_back(member);
  at(member).tellings = std::max(at(member).tellings, times);
}

// Who knows the same as we do needs none of our news: the more of those we meet, the less there is to tell. What is
// suspected stands in no digest, and is told on.
void Membership::stopGossip() {
  for (MemberIndex member : told_)
    if (!at(member).suspicion)
      --at(member).tellings;
  std::erase_if(told_, [&](MemberIndex member) { return at(member).tellings <= 0; });
}

void Membership::gossip() {
  if (now_ < healingUntil_)
    probeDownMembers(kHealTo);
  if (told_.empty())
    return;
  for (MemberIndex to : drawn(kGossipTo, MemberState::suspect))
    addNews(addMessage(MessageKind::gossip, to), to);
}

// The news told least often goes first; and, before all, what is said of whom this goes to, where it says otherwise of
// itself: it has to hear that it is suspected, or that its name was carried further by an earlier life.
void Membership::addNews(Message& message, MemberIndex first) {
  size_t bytes = kHeadBytes;
  auto add = [&](MemberIndex member) {
    Record& record = at(member);
    bytes += kRowBytes + 2 * settings_.peers[size_t(member)].name.size();
    if (bytes > kMaxDatagramBytes)
      return false;
    MemberUpdate& row = message.updates.emplace_back(MemberUpdate{member, record.status});
    if (record.suspicion)
      row.suspectedBy = record.suspicion->by[record.suspicion->next++ % record.suspicion->by.size()];
    return true;
  };
  if (first >= 0 && at(first).status > at(first).said)
    add(first);
  size_t most = std::min<size_t>(told_.size(), kMaxDatagramBytes / kRowBytes);
  std::ranges::partial_sort(told_, told_.begin() + long(most), {},
                            [&](MemberIndex one) { return std::pair(-at(one).tellings, one); });
  for (size_t i = 0; i < most; ++i) {
    if (told_[i] == first && !message.updates.empty())
      continue;
    if (!add(told_[i]))
      break;
    --at(told_[i]).tellings;
  }
  std::erase_if(told_, [&](MemberIndex member) { return at(member).tellings <= 0; });
}

std::vector<MemberIndex> Membership::drawn(size_t count, MemberState most, MemberIndex but) {
  std::vector<MemberIndex> picked;
  for (size_t tries = 0; picked.size() < count && tries < 6 * count; ++tries) {
    MemberIndex one = MemberIndex(chance_.next() % records_.size());
    if (one == self_ || one == but || !at(one).status.isKnown() || at(one).status.state > most)
      continue;
    if (std::ranges::find(picked, one) == picked.end())
      picked.push_back(one);
  }
  if (!picked.empty() || there_ <= 1)
    return picked;
  for (size_t i = 0; i < records_.size() && picked.size() < count; ++i)  // few are there: draws seldom hit
    if (MemberIndex(i) != self_ && MemberIndex(i) != but && records_[i].status.isKnown() &&
        records_[i].status.state <= most)
      picked.push_back(MemberIndex(i));
  return picked;
}

std::vector<MemberIndex> Membership::drawnDown(size_t count) {
  std::vector<MemberIndex> down;
  bool all = there_ <= 1;  // who has left comes back by its own word, unless nobody else is there
  for (size_t i = 0; i < records_.size(); ++i)
    if (MemberIndex(i) != self_ && !records_[i].status.isPresent() &&
        (all || records_[i].status.state != MemberState::left))
      down.push_back(MemberIndex(i));
  for (size_t i = 0; i < count && i < down.size(); ++i)
    std::swap(down[i], down[i + chance_.next() % (down.size() - i)]);
  down.resize(std::min(count, down.size()));
  return down;
}

Message& Membership::addMessage(MessageKind kind, MemberIndex to) {
  Message& message = out_.emplace_back();
  message.kind = kind, message.from = self_, message.to = to;
  message.instance = life_.instance, message.incarnation = life_.incarnation;
  message.sequence = ++sequence_;
  message.digest = digest();
  return message;
}

void Membership::leave(double now) {
  tick(now);
  if (demoted_ || std::exchange(leaving_, true))
    return;
  settle({self_, own()}, self_);
  for (MemberIndex to : drawn(2 * kAskers, MemberState::suspect))
    addNews(addMessage(MessageKind::gossip, to), to);
}

// --- mending: 64 sums of what is known by bucket; the rows of those that differ go both ways
uint64_t Membership::hashOf(MemberIndex member) const {
  const MemberStatus& status = at(member).status;
  if (!status.isKnown())
    return 0;
  MemberState state =
      status.state == MemberState::suspect ? MemberState::alive : status.state;  // suspicions come and go
  return mixed(nameHashes_[size_t(member)] ^
               mixed(status.instance ^ mixed(status.incarnation << 2 | uint64_t(state))));
}

size_t Membership::bucketOf(MemberIndex member) const { return nameHashes_[size_t(member)] % kBuckets; }

std::vector<uint64_t> Membership::sums() const {
  std::vector<uint64_t> sums(kBuckets);
  for (size_t i = 0; i < records_.size(); ++i)
    sums[bucketOf(MemberIndex(i))] += hashOf(MemberIndex(i));
  return sums;
}

void Membership::requestSync(MemberIndex with) {
  nextCompare_ = now_ + kCompareEach * settings_.probeInterval * chance_.uniformBetween(0.5, 1.5);
  addMessage(MessageKind::syncRequest, with).bucketDigests = sums();
}

void Membership::answerSync(const Message& message) {
  if (message.bucketDigests.size() != kBuckets)
    return;  // of another version: gossip alone mends then
  auto mine = sums();
  Message& answer = addMessage(MessageKind::syncResponse, message.from);
  for (size_t i = 0; i < records_.size(); ++i)
    if (records_[i].status.isKnown() &&
        mine[bucketOf(MemberIndex(i))] != message.bucketDigests[bucketOf(MemberIndex(i))])
      answer.updates.push_back({MemberIndex(i), records_[i].status,
                                records_[i].suspicion ? records_[i].suspicion->by[0] : kNoMember});
  if (message.kind == MessageKind::syncRequest)
    answer.bucketDigests = std::move(mine);
  if (answer.updates.empty() && answer.bucketDigests.empty())
    out_.pop_back();
}

// --- what is asked of it
void Membership::sendPayload(MemberIndex to, std::string bytes) {
  if (!demoted_)
    addMessage(MessageKind::payload, to).payload = std::move(bytes);
}

std::vector<Message> Membership::takeOutgoing() { return std::exchange(out_, {}); }
std::vector<MembershipEvent> Membership::takeEvents() { return std::exchange(events_, {}); }

MembershipSnapshot Membership::snapshot(double now) const {
  MembershipSnapshot view;
  view.takenAt = now, view.number = ++views_, view.self = self_, view.demoted = demoted_,
  view.isolated = alone_;
  view.promisesAllowedFrom = promisesFrom_, view.presentMembers = there_, view.digest = digest();
  for (auto& record : records_)
    view.members.push_back({record.status, record.heardAt});
  view.errorCounts = errorCounts_;
  return view;
}

}  // namespace elmcleat::members
