#include "lab/membership_simulation.h"

#include <time.h>

#include <cmath>

namespace elmcleat::lab {

using namespace members;

namespace {

constexpr size_t kCheckedPerStep = 64;     // beside the members whose status may have changed
constexpr size_t kMaxQueuedMessages = 64;  // of a paused member: its socket's buffer
constexpr double kMinWakeUpInterval = 1e-4;
constexpr double kConvergenceCheckInterval = 0.02;
constexpr int kStreamDelayFactor = 3;  // a connection is set up first

double threadCpuSeconds() {
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
      random_(seed),
      hosts_(settings_.peers.size()),
      isCut_(settings_.peers.size(), std::vector<bool>(settings_.peers.size())),
      lastSeed_(seed << 20) {
  for (size_t i = 0; i < hosts_.size(); ++i)
    hosts_[i].member = int(i);
  duplicates_.reserve(1);
  reset();
}

// --- Processes and links
void MembershipSimulation::start(int member, double clockOffset) {
  Host& started = host(member);
  ProcessInstance instance{uint64_t(1e12 + now_ * 1e3 + clockOffset * 1e3), 1};
  started.membership = std::make_unique<Membership>(settings_, member, instance, ++lastSeed_, now_);
  started.paused = false;
  started.queued.clear();
  started.lastChecked.assign(settings_.peers.size(), {});
  step(started, nullptr);
}

void MembershipSimulation::startAll() {
  for (size_t i = 0; i < hosts_.size(); ++i)
    start(int(i));
}

void MembershipSimulation::kill(int member) {
  host(member).membership.reset();
  host(member).paused = false;
  ++host(member).wakeUpVersion;
}

void MembershipSimulation::leave(int member) {
  host(member).membership->leave(now_);
  step(host(member), nullptr);
  kill(member);
}

void MembershipSimulation::pause(int member) {
  host(member).paused = true;
  ++host(member).wakeUpVersion;
}

void MembershipSimulation::resume(int member) {
  host(member).paused = false;
  for (auto& bytes : std::exchange(host(member).queued, {}))
    step(host(member), &bytes);
  step(host(member), nullptr);
}

void MembershipSimulation::startDuplicate(int member) {
  Host& duplicate = duplicates_.emplace_back();
  duplicate.member = member;
  duplicate.membership = std::make_unique<Membership>(
      settings_, member, ProcessInstance{uint64_t(1e12 + now_ * 1e3), 1}, ++lastSeed_, now_);
  duplicate.lastChecked.assign(settings_.peers.size(), {});
  step(duplicate, nullptr);
}

void MembershipSimulation::cut(int from, int to, bool isCut) { isCut_[size_t(from)][size_t(to)] = isCut; }

void MembershipSimulation::partition(const std::vector<int>& group, bool isCut) {
  std::vector<bool> inGroup(hosts_.size());
  for (int member : group)
    inGroup[size_t(member)] = true;
  for (size_t a = 0; a < hosts_.size(); ++a)
    for (size_t b = 0; b < hosts_.size(); ++b)
      if (inGroup[a] != inGroup[b])
        isCut_[a][b] = isCut;
}

void MembershipSimulation::slow(int member, double delay) { host(member).extraDelay = delay; }

// --- Steps Lets a host receive a message, if one is given, and do what is due. Then checks the invariants,
// delivers what it sends, and schedules its next wake-up.
void MembershipSimulation::step(Host& acting, const std::string* bytes) {
  if (!acting.membership)
    return;
  double cpuBefore = threadCpuSeconds();
  changed_.assign(1, acting.member);
  if (bytes) {
    auto decoded = codec_.decode(*bytes);
    if (auto* message = std::get_if<Message>(&decoded)) {
      acting.membership->receive(now_, *message);
      changed_.push_back(message->from);
      for (auto& update : message->updates)
        changed_.push_back(update.member);
    } else
      acting.membership->countError(std::get<ErrorKind>(decoded));
  }
  acting.membership->tick(now_);
  std::vector<std::pair<int, std::string>> outgoing;
  for (auto& message : acting.membership->takeOutgoing())
    outgoing.emplace_back(message.to, codec_.encode(message));
  double wakeUpAt = acting.membership->nextWakeUp();
  cpu_ += threadCpuSeconds() - cpuBefore;
  for (auto& event : acting.membership->takeEvents()) {
    changed_.push_back(event.member);
    // Only what this member itself detected counts, and only of members that run.
    if (event.error || event.reason != "as seen from here" || !isRunning(event.member))
      continue;
    if (event.state == MemberState::down) {
      ++downDetections_[size_t(acting.member)];
      bool linkCut = isCut_[size_t(acting.member)][size_t(event.member)] ||
                     isCut_[size_t(event.member)][size_t(acting.member)];
      falseDownDetections_ += !linkCut && acting.membership->statusOf(event.member).instance ==
                                              membership(event.member).instance().instance;
    }
    if (event.state == MemberState::suspect)
      ++suspicions_[size_t(acting.member)];
  }
  checkInvariants(acting);
  for (auto& [to, text] : outgoing)
    deliver(acting.member, host(to), text);
  uint64_t version = ++acting.wakeUpVersion;
  bool isDuplicate = !duplicates_.empty() && &acting == &duplicates_[0];
  size_t index = size_t(acting.member);
  events_.schedule(std::max(wakeUpAt, now_ + kMinWakeUpInterval), [this, index, isDuplicate, version] {
    Host& woken = isDuplicate ? duplicates_[0] : hosts_[index];
    if (woken.wakeUpVersion == version && !woken.paused)
      step(woken, nullptr);
  });
}

// Schedules the arrival of a message: as a stream if it is too large for a datagram. Streams are not lost.
void MembershipSimulation::deliver(int from, Host& to, const std::string& bytes) {
  bool stream = bytes.size() > Membership::kMaxDatagramBytes;
  bytes_ += bytes.size();
  ++messages_;
  streams_ += stream;
  largestMessage_ = std::max(largestMessage_, bytes.size());
  for (Traffic* traffic : {&traffic_[size_t(from)], &totalTraffic_})
    traffic->add(now_, bytes.size());
  if (stream)
    for (Host* end : {&host(from), &to})
      maxConcurrentStreams_ = std::max(maxConcurrentStreams_, ++end->streams);
  if (bytes.size() > kMaxMessageBytes && violation_.empty())
    violation_ = "a message of " + std::to_string(bytes.size()) + " bytes";
  const NetworkConditions& link =
      regionCount_ && regionOf(from) != regionOf(to.member) ? regionNetwork : network;
  int copies = 1 + (random_.uniform() < link.duplication);
  for (int i = 0; i < copies; ++i) {
    if (!stream && random_.uniform() < link.loss)
      continue;
    double delay = random_.uniformBetween(link.minDelay, link.maxDelay) * (stream ? kStreamDelayFactor : 1) +
                   to.extraDelay;
    int index = to.member;
    // Of two processes under one name, each receives half of the messages at random.
    bool toDuplicate = !duplicates_.empty() && duplicates_[0].member == index && random_.uniform() < 0.5;
    bool countsAsStream = stream && i == 0;  // a copy is no second stream
    events_.schedule(now_ + delay, [this, from, index, toDuplicate, countsAsStream, bytes] {
      if (countsAsStream) {
        --host(from).streams;
        --host(index).streams;
      }
      if (isCut_[size_t(from)][size_t(index)])
        return;
      if (host(index).membership) {
        traffic_[size_t(index)].add(now_, bytes.size());
        totalTraffic_.add(now_, bytes.size());
      }
      Host& receiver = toDuplicate ? duplicates_[0] : hosts_[size_t(index)];
      if (receiver.paused) {
        if (receiver.queued.size() < kMaxQueuedMessages)
          receiver.queued.push_back(bytes);
      } else
        step(receiver, &bytes);
    });
  }
}

// --- Invariants
bool MembershipSimulation::checkStatusOf(Host& checked, int other) {
  if (other < 0)
    return true;
  const MemberStatus& status = checked.membership->statusOf(other);
  MemberStatus& before = checked.lastChecked[size_t(other)];
  if (status < before)
    return reportViolation(checked, "what it holds of n" + std::to_string(other) + " went back");
  before = status;
  // Only the member itself raises its instance and its incarnation.
  const ProcessInstance& highest = host(other).highestOwn;
  if (status.instance <= highest.instance &&
      (status.instance != highest.instance || status.incarnation <= highest.incarnation))
    return true;
  return reportViolation(checked, "it holds of n" + std::to_string(other) + " what that never said");
}

// Checks what must hold at every step, whatever the network and the processes do. A status changes by an
// update in a received message, for the message's sender, by an event, or is the member's own: those are
// checked after each step, and so are 64 others in rotation. Among up to 64 members, therefore, all are
// checked each time; among more, a change made in any other way is found within N/64 steps of that member,
// about 3 s among 2,400. A status that goes back and rises again in between, by no update and no event, is
// not detected.
void MembershipSimulation::checkInvariants(Host& checked) {
  if (!violation_.empty())
    return;
  const ProcessInstance& own = checked.membership->instance();
  Host& named = host(checked.member);  // a duplicate's instance counts for the member as well
  if (own.instance > named.highestOwn.instance)
    named.highestOwn = own;
  else if (own.instance == named.highestOwn.instance)
    named.highestOwn.incarnation = std::max(named.highestOwn.incarnation, own.incarnation);
  for (int member : changed_)
    if (!checkStatusOf(checked, member))
      return;
  for (size_t i = 0; i < std::min(kCheckedPerStep, hosts_.size());
       ++i, checked.nextChecked = (checked.nextChecked + 1) % hosts_.size())
    if (!checkStatusOf(checked, int(checked.nextChecked)))
      return;
  const MemberStatus& ownStatus = checked.membership->statusOf(checked.member);
  if (!checked.membership->isDemoted() && ownStatus.state != MemberState::alive &&
      ownStatus.state != MemberState::left)
    reportViolation(checked, "it holds itself to be " + std::string(nameOf(ownStatus.state)));
}

void MembershipSimulation::run(double until) {
  bool reached = false;
  events_.schedule(until, [&reached] { reached = true; });
  while (!reached && events_.runNext(now_)) {
  }
}

// Every pair is checked before the answer is true. The search begins with the last pair that disagreed, which
// mostly still does.
bool MembershipSimulation::hasConverged() const {
  for (size_t i = 0, n = hosts_.size(); i < n; ++i, disagreeingHost_ = (disagreeingHost_ + 1) % n) {
    auto& holder = hosts_[disagreeingHost_];
    if (!holder.membership || holder.paused || holder.membership->isDemoted())
      continue;
    for (size_t j = 0; j < n; ++j, disagreeingMember_ = (disagreeingMember_ + 1) % n)
      if (!isAccurate(holder, int(disagreeingMember_)))
        return false;
  }
  return true;
}

double MembershipSimulation::inaccurateShare() const {
  double pairs = 0;
  double inaccurate = 0;
  for (auto& holder : hosts_)
    if (holder.membership && !holder.paused && !holder.membership->isDemoted())
      for (auto& other : hosts_) {
        ++pairs;
        inaccurate += !isAccurate(holder, other.member);
      }
  return pairs > 0 ? inaccurate / pairs : 0;
}

double MembershipSimulation::runUntilConverged(double timeout) {
  double startedAt = now_;
  while (now_ < startedAt + timeout) {
    if (hasConverged())
      return now_ - startedAt;
    run(now_ + kConvergenceCheckInterval);
  }
  return -1;
}

void MembershipSimulation::reset() {
  bytes_ = messages_ = streams_ = 0;
  cpu_ = 0;
  falseDownDetections_ = 0;
  largestMessage_ = 0;
  maxConcurrentStreams_ = 0;
  traffic_.assign(hosts_.size(), Traffic(now_));
  totalTraffic_ = Traffic(now_);
  downDetections_.assign(hosts_.size(), 0);
  suspicions_ = downDetections_;
}

}  // namespace elmcleat::lab
