// The simulated change log: its protocol's server side, with changes at a multiple of the day's average rate.
#include <chrono>
#include <map>
#include <utility>

#include "lab/hollow.h"
#include "lab/hollow_loop.h"
#include "pcg32.h"

namespace elmcleat::lab {
namespace {

constexpr double kHeartbeatInterval = 1;
constexpr double kRestartDowntime = 5;  // seconds; less where changes are faster than real time
constexpr size_t kRecordBytes = 27;
constexpr size_t kFrameHeaderBytes = 9;  // sequence number and kind
constexpr size_t kResumeBytes = 8;       // the follower's first message: a sequence number
constexpr uint32_t kFramesPerBurst = 20;

// Kinds of frames.
constexpr int kHeartbeat = 0;
constexpr int kFullList = 1;
constexpr int kChanges = 2;

// States of records.
constexpr uint8_t kInService = 0;
constexpr uint8_t kGone = 2;

void appendBigEndian(std::string& bytes, uint64_t value, int width) {
  for (int i = width - 1; i >= 0; --i)
    bytes += char(value >> (8 * i) & 0xff);
}

}  // namespace

void serveChangeLog(int listener, int orders, const LogPlan& plan, LogCounts& counts) {
  struct Record {
    uint8_t state = kInService;
    uint32_t weight = 1000;
    uint64_t startedAtMs = 0;  // since 1970
  };
  struct Follower {
    std::string in;
    std::string out;  // not sent yet
    bool resumed = false;
  };
  struct Burst {  // a change of a zone's records, spread over time
    uint32_t zone;
    uint32_t zones;
    uint32_t state;
    uint32_t nextId;
    double startedAt;
    double duration;
  };
  Loop loop;
  Pcg32 random(1);
  std::vector<Record> records(plan.engines);
  std::map<int, Follower> followers;
  std::map<double, std::pair<uint32_t, uint8_t>> scheduled;  // by time: records to change, and their state
  std::vector<Burst> bursts;
  double speed = 0;
  double changesDue = 0;
  double restartsDue = 0;
  double lastTick = secondsNow();
  double nextHeartbeat = 0;
  bool silent = false;
  counts.sequence = plan.sequence;

  auto appendRecord = [&](std::string& bytes, uint32_t id) {
    const Record& record = records[id];
    appendBigEndian(bytes, id + 1, 4);
    appendBigEndian(bytes, kFirstEngine + id, 4);
    appendBigEndian(bytes, plan.ports[id % plan.ports.size()], 2);
    appendBigEndian(bytes, record.state, 1);
    appendBigEndian(bytes, id % plan.zones, 1);
    appendBigEndian(bytes, 0, 1);
    appendBigEndian(bytes, id / plan.zones & 0xffff, 2);
    appendBigEndian(bytes, record.weight, 4);
    appendBigEndian(bytes, record.startedAtMs, 8);
  };
  auto frame = [&](int kind, const std::string& payload) {
    std::string bytes;
    appendBigEndian(bytes, kFrameHeaderBytes + payload.size(), 4);
    appendBigEndian(bytes, counts.sequence, 8);
    appendBigEndian(bytes, uint64_t(kind), 1);
    return bytes + payload;
  };
  auto flush = [&](int fd, Follower& to) {
    ssize_t sent = to.out.empty() ? 0 : send(fd, to.out.data(), to.out.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
      to.out.erase(0, size_t(sent));
      counts.bytesOut += uint64_t(sent);
    }
    loop.setEvents(fd, to.out.empty() ? EPOLLIN : EPOLLIN | EPOLLOUT);
  };
  auto broadcast = [&](const std::string& bytes) {
    if (silent)
      return;
    for (auto& [fd, to] : followers)
      if (to.resumed) {
        to.out += bytes;
        flush(fd, to);
      }
  };
  auto publish = [&](const std::vector<uint32_t>& ids) {
    std::string payload;
    for (uint32_t id : ids)
      appendRecord(payload, id);
    ++counts.sequence;
    ++counts.events;
    counts.rows += ids.size();
    broadcast(frame(kChanges, payload));
    counts.lastEventAt = secondsNow();
  };
  auto fullList = [&] {
    std::string payload;
    payload.reserve(kRecordBytes * records.size());
    for (uint32_t id = 0; id < records.size(); ++id)
      appendRecord(payload, id);
    return frame(kFullList, payload);
  };
  auto setState = [&](uint32_t id, uint8_t state) {
    if (state == kInService && records[id].state != kInService)
      records[id].startedAtMs = uint64_t(
          std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
              .count());
    records[id].state = state;
  };
  loop.watch(listener, [&](uint32_t) {
    for (int fd; (fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
      followers[fd];
      ++counts.connects;
      counts.followers = followers.size();
      disableNagle(fd);
      loop.watch(fd, [&, fd](uint32_t) {
        Follower& from = followers[fd];
        size_t sizeBefore = from.in.size();
        bool open = readAvailable(fd, from.in);
        counts.bytesIn += from.in.size() - sizeBefore;
        if (!open) {
          followers.erase(fd);
          counts.followers = followers.size();
          return loop.close(fd);
        }
        if (!from.resumed && from.in.size() >= kResumeBytes && !silent) {
          uint64_t sequence = 0;
          for (int i = 0; i < 8; ++i)
            sequence = sequence << 8 | static_cast<unsigned char>(from.in[size_t(i)]);
          from.resumed = true;
          from.out += sequence == counts.sequence ? frame(kHeartbeat, "") : fullList();
        }
        flush(fd, from);
      });
    }
  });
  loop.readOrders(orders, [&](const std::string& verb, std::istringstream& arguments) {
    uint32_t id = 0;
    uint32_t state = 0;
    if (verb == "speed") {
      arguments >> speed;
      changesDue = restartsDue = 0;
    }
    if (verb == "row" && arguments >> id >> state) {
      setState(id, uint8_t(state));
      publish({id});
    }
    if (Burst burst{};
        verb == "zone" && arguments >> burst.zone >> burst.zones >> burst.state >> burst.duration) {
      burst.nextId = burst.zone;
      burst.startedAt = secondsNow();
      bursts.push_back(burst);
    }
    if (verb != "silent")
      return;
    arguments >> silent;
    if (silent)
      return;
    // At the end of a silence every follower gets the full list under a new sequence number.
    ++counts.sequence;
    ++counts.events;
    counts.rows += records.size();
    for (auto& [fd, to] : followers)
      to.resumed = to.in.size() >= kResumeBytes;
    broadcast(fullList());
    counts.lastEventAt = secondsNow();
  });
  loop.run([&](double now) {
    double elapsed = now - std::exchange(lastTick, now);
    changesDue += elapsed * speed * (kChangesPerSecond - 2 * kRestartsPerSecond);
    restartsDue += elapsed * speed * kRestartsPerSecond;
    for (; restartsDue >= 1; --restartsDue) {
      uint32_t id = random.next() % plan.engines;
      if (records[id].state != kInService)
        continue;
      setState(id, kGone);
      publish({id});
      scheduled[now + kRestartDowntime / std::max(1.0, speed / 4)] = {id, kInService};
    }
    for (; changesDue >= 1; --changesDue) {  // other changes: a new weight
      uint32_t id = random.next() % plan.engines;
      records[id].weight = 900 + random.next() % 200;
      publish({id});
    }
    for (; !scheduled.empty() && scheduled.begin()->first <= now; scheduled.erase(scheduled.begin())) {
      setState(scheduled.begin()->second.first, scheduled.begin()->second.second);
      publish({scheduled.begin()->second.first});
    }
    for (auto& burst : bursts) {
      uint32_t idsPerFrame = (plan.engines / burst.zones + kFramesPerBurst) / kFramesPerBurst * burst.zones;
      if (burst.duration > 0 &&
          now < burst.startedAt + burst.duration * double(burst.nextId / idsPerFrame) / kFramesPerBurst)
        continue;
      std::vector<uint32_t> ids;
      for (uint32_t end = burst.nextId + idsPerFrame; burst.nextId < std::min(end, plan.engines);
           burst.nextId += burst.zones) {
        setState(burst.nextId, uint8_t(burst.state));
        ids.push_back(burst.nextId);
      }
      if (!ids.empty())
        publish(ids);
    }
    std::erase_if(bursts, [&](const Burst& burst) { return burst.nextId >= plan.engines; });
    if (now >= nextHeartbeat) {
      broadcast(frame(kHeartbeat, ""));
      nextHeartbeat = now + kHeartbeatInterval;
    }
  });
}

}  // namespace elmcleat::lab
