#include "lab/membership_simulation.h"

#include <time.h>

#include <cmath>

namespace elmcleat::lab {

using namespace members;

namespace {

constexpr size_t kLooked = 64;  // claims that are looked at in each turn, beside those that may have changed

double threadSeconds() {
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return double(time.tv_sec) + double(time.tv_nsec) * 1e-9;
}

}  // namespace

MembershipSettings MembershipSimulation::settingsFor(int count) {
  MembershipSettings settings;
  settings.fleet = "laboratory";
  for (int i = 0; i < count; ++i)
    settings.peers.push_back({"n" + std::to_string(i), {0x7f000000u + uint32_t(i) + 1, 4300}});
  return settings;
}

MembershipSimulation::MembershipSimulation(MembershipSettings settings, uint64_t seed)
    : settings_(std::move(settings)),
      codec_(settings_),
      chance_(seed),
      hosts_(settings_.peers.size()),
      cut_(settings_.peers.size(), std::vector<bool>(settings_.peers.size())),
      seeds_(seed << 20) {
  for (size_t i = 0; i < hosts_.size(); ++i)
    hosts_[i].member = int(i);
  seconds_.reserve(1);
  reset();
}

// --- what happens to processes
void MembershipSimulation::start(int member, double clockOff) {
  Host& its = host(member);
  ProcessInstance life{uint64_t(1e12 + now_ * 1e3 + clockOff * 1e3), 1};
  its.membership = std::make_unique<Membership>(settings_, member, life, ++seeds_, now_);
  its.paused = false, its.waiting.clear();
  its.held.assign(settings_.peers.size(), {});
  turn(its, nullptr);
}

void MembershipSimulation::startAll() {
  for (size_t i = 0; i < hosts_.size(); ++i)
    start(int(i));
}

void MembershipSimulation::kill(int member) {
  host(member).membership.reset(), host(member).paused = false, ++host(member).version;
}

void MembershipSimulation::leave(int member) {
  host(member).membership->leave(now_);
  turn(host(member), nullptr);
  kill(member);
}

void MembershipSimulation::pause(int member) { host(member).paused = true, ++host(member).version; }

void MembershipSimulation::resume(int member) {
  host(member).paused = false;
  for (auto& bytes : std::exchange(host(member).waiting, {}))
    turn(host(member), &bytes);
  turn(host(member), nullptr);
}

void MembershipSimulation::startDuplicate(int member) {
  Host& made = seconds_.emplace_back();
  made.member = member;
  made.membership = std::make_unique<Membership>(
      settings_, member, ProcessInstance{uint64_t(1e12 + now_ * 1e3), 1}, ++seeds_, now_);
  made.held.assign(settings_.peers.size(), {});
  turn(made, nullptr);
}

void MembershipSimulation::cut(int from, int to, bool is) { cut_[size_t(from)][size_t(to)] = is; }

void MembershipSimulation::partition(const std::vector<int>& apart, bool is) {
  std::vector<bool> inside(hosts_.size());
  for (int one : apart)
    inside[size_t(one)] = true;
  for (size_t a = 0; a < hosts_.size(); ++a)
    for (size_t b = 0; b < hosts_.size(); ++b)
      if (inside[a] != inside[b])
        cut_[a][b] = is;
}

void MembershipSimulation::slow(int member, double by) { host(member).slow = by; }

// --- turns
void MembershipSimulation::turn(Host& its, const std::string* bytes) {
  if (!its.membership)
    return;
  double began = threadSeconds();
  touched_.assign(1, its.member);
  if (bytes) {
    auto read = codec_.decode(*bytes);
    if (auto* message = std::get_if<Message>(&read)) {
      its.membership->receive(now_, *message);
      touched_.push_back(message->from);
      for (auto& row : message->updates)
        touched_.push_back(row.member);
    } else
      its.membership->countError(std::get<ErrorKind>(read));
  }
  its.membership->tick(now_);
  std::vector<std::pair<int, std::string>> out;
  for (auto& message : its.membership->takeOutgoing())
    out.emplace_back(message.to, codec_.encode(message));
  double wakes = its.membership->nextWakeUp();
  cpu_ += threadSeconds() - began;
  for (auto& event : its.membership->takeEvents()) {
    touched_.push_back(event.member);
    if (event.error || event.reason != "as seen from here" || !isRunning(event.member))
      continue;
    if (event.state == MemberState::down) {
      ++downs_[size_t(its.member)];
      bool apart =
          cut_[size_t(its.member)][size_t(event.member)] || cut_[size_t(event.member)][size_t(its.member)];
      wrongDowns_ += !apart && its.membership->statusOf(event.member).instance ==
                                   membership(event.member).instance().instance;
    }
    if (event.state == MemberState::suspect)
      ++suspicions_[size_t(its.member)];
  }
  check(its);
  for (auto& [to, text] : out)
    deliver(its.member, host(to), text);
  uint64_t version = ++its.version;
  bool isSecond = !seconds_.empty() && &its == &seconds_[0];
  size_t place = size_t(its.member);
  events_.schedule(std::max(wakes, now_ + 1e-4), [this, place, isSecond, version] {
    Host& woken = isSecond ? seconds_[0] : hosts_[place];
    if (woken.version == version && !woken.paused)
      turn(woken, nullptr);
  });
}

void MembershipSimulation::deliver(int from, Host& to, const std::string& bytes) {
  bool stream = bytes.size() > Membership::kMaxDatagramBytes;
  bytes_ += bytes.size(), ++messages_, streams_ += stream;
  largest_ = std::max(largest_, bytes.size());
  for (Traffic* its : {&traffic_[size_t(from)], &all_})
    its->add(now_, bytes.size());
  if (stream)
    for (Host* its : {&host(from), &to})
      streamsAtOnce_ = std::max(streamsAtOnce_, ++its->streams);
  if (bytes.size() > kMaxMessageBytes && broken_.empty())
    broken_ = "a message of " + std::to_string(bytes.size()) + " bytes";
  const NetworkConditions& link = regions_ && regionOf(from) != regionOf(to.member) ? regionNetwork : network;
  int copies = 1 + (chance_.uniform() < link.duplication);
  for (int i = 0; i < copies; ++i) {
    if (!stream && chance_.uniform() < link.loss)
      continue;
    double way = chance_.uniformBetween(link.minDelay, link.maxDelay) * (stream ? 3 : 1) + to.slow;
    int place = to.member;
    // Who is reached as a member, where two have its name, is a matter of chance.
    bool other = !seconds_.empty() && seconds_[0].member == place && chance_.uniform() < 0.5;
    bool counts = stream && i == 0;  // a copy is no second stream
    events_.schedule(now_ + way, [this, from, place, other, counts, bytes] {
      if (counts)
        --host(from).streams, --host(place).streams;
      if (cut_[size_t(from)][size_t(place)])
        return;
      if (host(place).membership)
        traffic_[size_t(place)].add(now_, bytes.size()), all_.add(now_, bytes.size());
      Host& reached = other ? seconds_[0] : hosts_[size_t(place)];
      if (reached.paused) {
        if (reached.waiting.size() < 64)
          reached.waiting.push_back(bytes);  // what its socket holds
      } else
        turn(reached, &bytes);
    });
  }
}

bool MembershipSimulation::checkClaim(Host& its, int of) {
  if (of < 0)
    return true;
  const MemberStatus& claim = its.membership->statusOf(of);
  MemberStatus& held = its.held[size_t(of)];
  if (claim < held)
    return breaks(its, "what it holds of n" + std::to_string(of) + " went back");
  held = claim;
  const ProcessInstance& most = host(of).highest;  // a figure has one writer: nobody else makes it greater
  if (claim.instance <= most.instance &&
      (claim.instance != most.instance || claim.incarnation <= most.incarnation))
    return true;
  return breaks(its, "it holds of n" + std::to_string(of) + " what that never said");
}

// What must hold at every step, whatever the network and the processes do. A claim changes by a row or the
// sender of what was heard, by an event, or is our own: those are looked at after each turn, and so are 64
// others, round and round. So up to 64 members all are looked at each time; among more, a change by any other
// way is found within N/64 turns of that member, about 3 s among 2,400. What went back and rose
// again in between, by no row and no event, is not seen.
void MembershipSimulation::check(Host& its) {
  if (!broken_.empty())
    return;
  const ProcessInstance& life = its.membership->instance();
  Host& named = host(its.member);
  if (life.instance > named.highest.instance)
    named.highest = life;
  else if (life.instance == named.highest.instance)
    named.highest.incarnation = std::max(named.highest.incarnation, life.incarnation);
  for (int of : touched_)
    if (!checkClaim(its, of))
      return;
  for (size_t i = 0; i < std::min(kLooked, hosts_.size()); ++i, its.next = (its.next + 1) % hosts_.size())
    if (!checkClaim(its, int(its.next)))
      return;
  const MemberStatus& own = its.membership->statusOf(its.member);
  if (!its.membership->isDemoted() && own.state != MemberState::alive && own.state != MemberState::left)
    breaks(its, "it holds itself to be " + std::string(nameOf(own.state)));
}

void MembershipSimulation::run(double until) {
  bool reached = false;
  events_.schedule(until, [&reached] { reached = true; });
  while (!reached && events_.runNext(now_)) {
  }
}

// Every pair is looked at before it is true. The search begins with the last pair that did not agree, which
// mostly answers at once.
bool MembershipSimulation::hasConverged() const {
  for (size_t i = 0, n = hosts_.size(); i < n; ++i, wrongHost_ = (wrongHost_ + 1) % n) {
    auto& its = hosts_[wrongHost_];
    if (!its.membership || its.paused || its.membership->isDemoted())
      continue;
    for (size_t j = 0; j < n; ++j, wrongOf_ = (wrongOf_ + 1) % n)
      if (!held(its, int(wrongOf_)))
        return false;
  }
  return true;
}

double MembershipSimulation::inaccurateShare() const {
  double pairs = 0, wrong = 0;
  for (auto& its : hosts_)
    if (its.membership && !its.paused && !its.membership->isDemoted())
      for (auto& other : hosts_)
        ++pairs, wrong += !held(its, other.member);
  return pairs > 0 ? wrong / pairs : 0;
}

double MembershipSimulation::runUntilConverged(double most) {
  double began = now_;
  while (now_ < began + most) {
    if (hasConverged())
      return now_ - began;
    run(now_ + 0.02);
  }
  return -1;
}

void MembershipSimulation::reset() {
  bytes_ = messages_ = streams_ = 0, cpu_ = 0, wrongDowns_ = 0, largest_ = 0, streamsAtOnce_ = 0;
  traffic_.assign(hosts_.size(), Traffic(now_)), all_ = Traffic(now_);
  downs_.assign(hosts_.size(), 0), suspicions_ = downs_;
}

}  // namespace elmcleat::lab
