#include "members/core.h"

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

Core::Core(const Plan& plan, Member self, const Life& life, uint64_t seed, double now)
    : plan_(plan),
      self_(self),
      life_(life),
      chance_(seed),
      now_(now),
      startedAt_(now),
      records_(plan.peers.size()) {
  for (auto& peer : plan_.peers)
    nameHashes_.push_back(hashOfName(peer.name));
  promisesFrom_ =
      now + kGuard * plan_.longestPromise;  // whatever an earlier life of ours promised is over then
  heardAt_ = now;
  nextProbe_ = nextGossip_ = now + chance_.uniform() * kGossip * plan_.period;  // not in step with the others
  nextCompare_ = now;
  settle({self_, own()}, self_);
}

// --- time
void Core::tick(double now) {
  noticeStall(now);
  now_ = now;
  if (aside_)
    return;
  for (Member one : suspected_) {
    if (!at(one).suspicion || now_ < suspectedUntil(at(one)))
      continue;
    Claim down = at(one).claim;
    down.state = State::down;
    settle({one, down}, self_);
  }
  std::erase_if(suspected_, [&](Member one) { return !at(one).suspicion; });
  while (!errands_.empty() && now_ >= errands_.front().endsAt)
    errands_.pop_front();
  for (auto& errand : errands_)
    if (!errand.nacked && now_ >= errand.nackAt) {
      errand.nacked = true;
      say(Kind::nack, errand.asker).probe = errand.askersNumber;
    }
  for (auto& probe : probing_) {
    if (probe.asked || now_ < probe.askAt)
      continue;
    probe.asked = true;
    for (Member helper : drawn(kAskers, State::alive, probe.member)) {
      Message& ask = say(Kind::ask, helper);
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
    double each = plan_.period * (alarmed() ? kAlarmed : 1);
    nextProbe_ = std::max(nextProbe_ + each, now_ + each / 2);
    probe();
    if (now_ >= nextReach_)
      nextReach_ = now_ + plan_.period, reachOut(there_ <= 1 ? kAskers : 1);
  }
  if (now_ >= nextGossip_) {
    nextGossip_ = now_ + kGossip * plan_.period;
    gossip();
  }
  bool alone = records_.size() > 1 && now_ > heardAt_ + kAloneAfter * plan_.period;
  if (alone && !alone_)
    wrong(Wrong::alone), events_.push_back({self_, State::alive, Wrong::alone, "nobody answers"});
  alone_ = alone;
}

double Core::wakes() const {
  if (aside_)
    return now_ + plan_.period;  // or the next tick would take the time between for a stall
  double at = std::min(nextProbe_, nextGossip_);
  for (auto& probe : probing_)
    at = std::min({at, probe.asked ? HUGE_VAL : probe.askAt, probe.endsAt});
  for (auto& errand : errands_)
    at = std::min(at, errand.nacked ? errand.endsAt : errand.nackAt);
  for (Member one : suspected_)
    if (auto& record = this->at(one); record.suspicion)
      at = std::min(at, suspectedUntil(record));
  return at;
}

// Ticks come often. After a long time without, it is us who stood still, and nobody who failed to answer meanwhile is
// to blame. Guards against stopped processes, throttled cores, suspended machines: without it who wakes declares the
// whole fleet down. Hurts by detecting a member that failed in that time a little later.
void Core::noticeStall(double now) {
  double stood = now - now_;
  if (stood < kStall * plan_.period)
    return;
  probing_.clear(), errands_.clear();
  for (auto& record : records_)
    if (record.suspicion)
      record.suspicion->since += stood;
  heardAt_ += stood;
  nextProbe_ = nextGossip_ = nextCompare_ = now;
  strain_ = std::min(strain_ + 1, kStrainMost);
  // Whatever was promised to us or by us may have ended: as after a restart, but that our name is still ours.
  promisesFrom_ = std::max(promisesFrom_, now + kGuard * plan_.longestPromise);
}

// --- what comes
void Core::hear(double now, const Message& message) {
  tick(now);
  if (message.from == self_)
    return wrong(Wrong::twoUnderOneName);
  if (message.to != self_)
    return wrong(Wrong::misdirected);
  Member from = message.from;
  Record& sender = at(from);
  if (!fresh(message)) {
    // A copy, or a process whose clock went back and whose name an earlier life has carried further: it has to hear
    // that, or nobody would ever hear it, if the earlier life left and is asked no more.
    if (!aside_ && message.instance < sender.claim.instance && now_ >= sender.correctedAt + plan_.period) {
      sender.correctedAt = now_;
      say(Kind::news, from).rows.push_back({from, sender.claim});
    }
    return wrong(Wrong::replayed);
  }
  sender.heardAt = heardAt_ = now_;
  if (aside_)
    return;
  sender.said = {message.instance, message.incarnation, State::alive};
  // One comes back that was down and did not start anew: a cut has healed, and there may be more behind it.
  if (sender.claim.state == State::down && sender.claim.instance == message.instance)
    healingUntil_ = now_ + kHealing * plan_.period;
  uint64_t before = changes_;
  merge({from, sender.said}, from);
  for (auto& row : message.rows)
    if (row.member >= 0)
      merge(row, from);
  if (changes_ - before > kMuch)
    nextCompare_ =
        std::min(nextCompare_, now_ + kCompareSoon * plan_.period * chance_.uniformBetween(0.5, 1.5));
  if (aside_)
    return;
  switch (message.kind) {
    case Kind::ping: {
      Message& ack = say(Kind::ack, from);
      ack.probe = message.probe;
      addNews(ack, from);
      break;
    }
    case Kind::ask: {
      if (message.subject < 0 || message.subject == self_ || errands_.size() >= kErrands)
        break;
      Errand errand{++probes_, from, message.probe, now_ + kNackIn * plan_.period, now_ + plan_.period};
      errands_.push_back(errand);
      Message& ping = say(Kind::ping, message.subject);
      ping.probe = errand.number;
      addNews(ping, message.subject);
      break;
    }
    case Kind::ack: {
      if (std::erase_if(probing_, [&](auto& probe) { return probe.number == message.probe; }) > 0)
        strain_ = std::max(strain_ - 1, 0);
      for (auto at = errands_.begin(); at != errands_.end(); ++at)
        if (at->number == message.probe) {
          say(Kind::ack, at->asker).probe = at->askersNumber;
          errands_.erase(at);
          break;
        }
      break;
    }
    case Kind::nack:
      for (auto& probe : probing_)
        if (probe.number == message.probe && probe.nacksDue > 0)
          --probe.nacksDue;
      break;
    case Kind::compare:
      answerCompare(message);
      break;
    case Kind::rows:
      if (!message.sums.empty())
        answerCompare(message);
      break;
    case Kind::parcel:
      parcels_.push_back({from, message.parcel});
      break;
    case Kind::news:
      break;
  }
  // Two that know different things mend it: what gossip lost, and all that a join or a healed cut brings.
  bool mends = message.kind == Kind::ping || message.kind == Kind::ack || message.kind == Kind::news;
  if (mends && message.digest != digest() && now_ >= nextCompare_)
    compare(from);
  if (message.digest == digest())
    hush();
}

// A window of sequences for the life that was heard last. What is older than that, or was heard before, is a copy.
bool Core::fresh(const Message& message) {
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
void Core::merge(const Row& row, Member teller) {
  const Claim& claim = row.claim;
  Record& record = at(row.member);
  if (row.member != self_) {
    if (claim > record.claim)
      return settle(row, teller);
    if (claim == record.claim && record.suspicion && row.by >= 0)
      speakUp(record, row.by);
    return;
  }
  if (claim <= own())
    return;
  if (claim.instance != life_.instance)
    return contest(claim);
  if (claim.state != State::alive)
    strain_ = std::min(strain_ + 1, kStrainMost);  // did we miss their pings?
  life_.incarnation = claim.incarnation + 1;
  settle({self_, own()}, self_);
}

void Core::settle(const Row& row, Member teller) {
  Record& record = at(row.member);
  const Claim &claim = row.claim, was = record.claim;
  ++changes_;
  digest_ -= hashOf(row.member);
  record.claim = joined(record.claim, claim);
  digest_ += hashOf(row.member);
  there_ = there_ + size_t(record.claim.there()) - size_t(was.there());
  tell(row.member, tellingsEach());
  if (claim.state != State::suspect)
    record.suspicion.reset();
  else if (!record.suspicion || was.incarnation != claim.incarnation) {
    if (!record.suspicion && std::ranges::find(suspected_, row.member) == suspected_.end())
      suspected_.push_back(row.member);
    record.suspicion = Suspicion{now_, {}};
    speakUp(record, row.by >= 0 ? row.by : teller);
    // Some look for themselves, at once: it ends sooner so, either way.
    if (teller != self_ && chance_.uniform() * double(there_) < kLook)
      round_.push_back(row.member), nextProbe_ = now_;
  }
  if (row.member != self_ && (claim.state == State::suspect || claim.state == State::down))
    alarmedUntil_ = now_ + kAlarm * plan_.period;
  if (row.member == self_ || (was.state == claim.state && was.instance == claim.instance))
    return;
  std::string why =
      teller == self_ ? "as seen from here" : "as " + plan_.peers[size_t(teller)].name + " tells";
  events_.push_back({row.member, claim.state, {}, why});
}

// Somebody lives, or lived, under our name, and later than we by its own word. An earlier life of ours whose clock was
// ahead is outbid once, and nobody answers; a process that runs answers by outbidding us, and then one of the two has
// spent its one bid and stands aside. So exactly one goes on, whoever they are.
void Core::contest(const Claim& claim) {
  if (contestedAt_ >= 0 && now_ < contestedAt_ + kContest * plan_.period) {
    aside_ = true;
    wrong(Wrong::twoUnderOneName);
    events_.push_back({self_, State::down, Wrong::twoUnderOneName, "it answers to this name"});
    out_.clear(), probing_.clear(), errands_.clear();
    return;
  }
  contestedAt_ = now_;
  life_.instance = claim.instance + 1;
  life_.incarnation = std::max(life_.incarnation, claim.incarnation) + 1;
  sequence_ = 0;
  settle({self_, own()}, self_);
}

void Core::suspect(Member member) {
  Claim claim = at(member).claim;
  if (claim.state == State::suspect)
    return speakUp(at(member), self_);
  if (claim.state != State::alive)
    return;
  claim.state = State::suspect;
  settle({member, claim, self_}, self_);
}

void Core::speakUp(Record& record, Member by) {
  auto& known = record.suspicion->by;
  if (known.size() > kConfirm || std::ranges::find(known, by) != known.end())
    return;
  known.push_back(by);
  tell(Member(&record - records_.data()), tellingsEach());  // so that others' time shrinks as well
}

double Core::suspectedUntil(const Record& record) const {
  size_t others = record.suspicion->by.size() - 1;                // beside the first
  size_t want = std::min(kConfirm, there_ > 3 ? there_ - 3 : 0);  // no more than there are to speak up
  double part = want == 0 ? 1 : std::min(1.0, std::log1p(double(others)) / std::log1p(double(want)));
  double span = plan_.suspectMost - (plan_.suspectMost - plan_.suspectLeast) * part;
  return record.suspicion->since + span * (1 + strain_ / 2.0);
}

// --- probes
void Core::probe() {
  if (probing_.size() >= (alarmed() ? size_t(std::ceil(1 / kAlarmed)) : 1))
    return;  // under strain they take longer
  for (size_t tries = 0; tries <= records_.size(); ++tries) {
    if (round_.empty()) {
      for (size_t i = 0; i < records_.size(); ++i)
        if (Member(i) != self_ && records_[i].claim.there())
          round_.push_back(Member(i));
      if (round_.empty())
        return;
      for (size_t i = round_.size() - 1; i > 0; --i)
        std::swap(round_[i], round_[chance_.next() % (i + 1)]);
    }
    Member next = round_.back();
    round_.pop_back();
    if (!at(next).claim.there())
      continue;
    double stretch = 1 + strain_;
    probing_.push_back(
        {++probes_, next, now_ + kAnswerIn * plan_.period * stretch, now_ + plan_.period * stretch});
    Message& ping = say(Kind::ping, next);
    ping.probe = probes_;
    addNews(ping, next);
    return;
  }
}

void Core::failed(const Probe& probe) {
  // When none of those that were asked says anything either, it points at us. One that says nothing may be down itself:
  // counted each, as Lifeguard does, a tenth of the fleet that dies slows all others' judgement of it.
  if (probe.helpers > 0 && probe.nacksDue == probe.helpers)
    strain_ = std::min(strain_ + 1, kStrainMost);
  suspect(probe.member);
}

// While members fall, the others are looked at more often: of many that die at once the last would else be found late.
bool Core::alarmed() const { return now_ < alarmedUntil_; }

// Members that are down, or were never heard, are asked now and then whether they are back: a healed cut is found so.
// Three at a time while we hear of nobody, as after our own start.
void Core::reachOut(size_t count) {
  for (Member member : drawnDown(count)) {
    Message& ping = say(Kind::ping, member);
    ping.probe = ++probes_;
    addNews(ping, member);
  }
}

// --- telling
int Core::tellingsEach() const { return int(std::ceil(kTellings * std::log2(double(there_) + 1))); }

void Core::tell(Member member, int times) {
  if (at(member).tellings <= 0)
    told_.push_back(member);
  at(member).tellings = std::max(at(member).tellings, times);
}

// Who knows the same as we do needs none of our news: the more of those we meet, the less there is to tell. What is
// suspected stands in no digest, and is told on.
void Core::hush() {
  for (Member member : told_)
    if (!at(member).suspicion)
      --at(member).tellings;
  std::erase_if(told_, [&](Member member) { return at(member).tellings <= 0; });
}

void Core::gossip() {
  if (now_ < healingUntil_)
    reachOut(kHealTo);
  if (told_.empty())
    return;
  for (Member to : drawn(kGossipTo, State::suspect))
    addNews(say(Kind::news, to), to);
}

// The news told least often goes first; and, before all, what is said of whom this goes to, where it says otherwise of
// itself: it has to hear that it is suspected, or that its name was carried further by an earlier life.
void Core::addNews(Message& message, Member first) {
  size_t bytes = kHeadBytes;
  auto add = [&](Member member) {
    Record& record = at(member);
    bytes += kRowBytes + 2 * plan_.peers[size_t(member)].name.size();
    if (bytes > kDatagram)
      return false;
    Row& row = message.rows.emplace_back(Row{member, record.claim});
    if (record.suspicion)
      row.by = record.suspicion->by[record.suspicion->next++ % record.suspicion->by.size()];
    return true;
  };
  if (first >= 0 && at(first).claim > at(first).said)
    add(first);
  size_t most = std::min<size_t>(told_.size(), kDatagram / kRowBytes);
  std::ranges::partial_sort(told_, told_.begin() + long(most), {},
                            [&](Member one) { return std::pair(-at(one).tellings, one); });
  for (size_t i = 0; i < most; ++i) {
    if (told_[i] == first && !message.rows.empty())
      continue;
    if (!add(told_[i]))
      break;
    --at(told_[i]).tellings;
  }
  std::erase_if(told_, [&](Member member) { return at(member).tellings <= 0; });
}

std::vector<Member> Core::drawn(size_t count, State most, Member but) {
  std::vector<Member> picked;
  for (size_t tries = 0; picked.size() < count && tries < 6 * count; ++tries) {
    Member one = Member(chance_.next() % records_.size());
    if (one == self_ || one == but || !at(one).claim.heard() || at(one).claim.state > most)
      continue;
    if (std::ranges::find(picked, one) == picked.end())
      picked.push_back(one);
  }
  if (!picked.empty() || there_ <= 1)
    return picked;
  for (size_t i = 0; i < records_.size() && picked.size() < count; ++i)  // few are there: draws seldom hit
    if (Member(i) != self_ && Member(i) != but && records_[i].claim.heard() &&
        records_[i].claim.state <= most)
      picked.push_back(Member(i));
  return picked;
}

std::vector<Member> Core::drawnDown(size_t count) {
  std::vector<Member> down;
  bool all = there_ <= 1;  // who has left comes back by its own word, unless nobody else is there
  for (size_t i = 0; i < records_.size(); ++i)
    if (Member(i) != self_ && !records_[i].claim.there() && (all || records_[i].claim.state != State::left))
      down.push_back(Member(i));
  for (size_t i = 0; i < count && i < down.size(); ++i)
    std::swap(down[i], down[i + chance_.next() % (down.size() - i)]);
  down.resize(std::min(count, down.size()));
  return down;
}

Message& Core::say(Kind kind, Member to) {
  Message& message = out_.emplace_back();
  message.kind = kind, message.from = self_, message.to = to;
  message.instance = life_.instance, message.incarnation = life_.incarnation;
  message.sequence = ++sequence_;
  message.digest = digest();
  return message;
}

void Core::leave(double now) {
  tick(now);
  if (aside_ || std::exchange(leaving_, true))
    return;
  settle({self_, own()}, self_);
  for (Member to : drawn(2 * kAskers, State::suspect))
    addNews(say(Kind::news, to), to);
}

// --- mending: 64 sums of what is known by bucket; the rows of those that differ go both ways
uint64_t Core::hashOf(Member member) const {
  const Claim& claim = at(member).claim;
  if (!claim.heard())
    return 0;
  State state = claim.state == State::suspect ? State::alive : claim.state;  // suspicions come and go
  return mixed(nameHashes_[size_t(member)] ^
               mixed(claim.instance ^ mixed(claim.incarnation << 2 | uint64_t(state))));
}

size_t Core::bucketOf(Member member) const { return nameHashes_[size_t(member)] % kBuckets; }

std::vector<uint64_t> Core::sums() const {
  std::vector<uint64_t> sums(kBuckets);
  for (size_t i = 0; i < records_.size(); ++i)
    sums[bucketOf(Member(i))] += hashOf(Member(i));
  return sums;
}

void Core::compare(Member with) {
  nextCompare_ = now_ + kCompareEach * plan_.period * chance_.uniformBetween(0.5, 1.5);
  say(Kind::compare, with).sums = sums();
}

void Core::answerCompare(const Message& message) {
  if (message.sums.size() != kBuckets)
    return;  // of another version: gossip alone mends then
  auto mine = sums();
  Message& answer = say(Kind::rows, message.from);
  for (size_t i = 0; i < records_.size(); ++i)
    if (records_[i].claim.heard() && mine[bucketOf(Member(i))] != message.sums[bucketOf(Member(i))])
      answer.rows.push_back(
          {Member(i), records_[i].claim, records_[i].suspicion ? records_[i].suspicion->by[0] : kNobody});
  if (message.kind == Kind::compare)
    answer.sums = std::move(mine);
  if (answer.rows.empty() && answer.sums.empty())
    out_.pop_back();
}

// --- what is asked of it
void Core::post(Member to, std::string bytes) {
  if (!aside_)
    say(Kind::parcel, to).parcel = std::move(bytes);
}

std::vector<Message> Core::out() { return std::exchange(out_, {}); }
std::vector<Event> Core::happened() { return std::exchange(events_, {}); }

View Core::view(double now) const {
  View view;
  view.at = now, view.number = ++views_, view.self = self_, view.aside = aside_, view.alone = alone_;
  view.promisesFrom = promisesFrom_, view.there = there_, view.digest = digest();
  for (auto& record : records_)
    view.members.push_back({record.claim, record.heardAt});
  view.wrong = wrong_;
  return view;
}

}  // namespace elmcleat::members
