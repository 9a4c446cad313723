#include <chrono>
#include <map>
#include <utility>

#include "lab/hollow.h"
#include "lab/hollow_loop.h"
#include "pcg32.h"

namespace elmcleat::lab {
namespace {

void big(std::string& bytes, uint64_t value, int width) {
  for (int i = width - 1; i >= 0; --i)
    bytes += char(value >> (8 * i) & 0xff);
}

}  // namespace

void serveChangeLog(int listener, int orders, const LogPlan& plan, LogCounts& counts) {
  struct Row {
    uint8_t state = 0;
    uint32_t weight = 1000;
    uint64_t born = 0;
  };
  struct Follower {
    std::string in, out;  // `out`: what has not gone out yet
    bool resumed = false;
  };
  struct Burst {
    uint32_t zone, zones, state, next;
    double began, lasts;
  };
  Loop loop;
  Pcg32 chance(1);
  std::vector<Row> rows(plan.engines);
  std::map<int, Follower> followers;
  std::map<double, std::pair<uint32_t, uint8_t>> later;  // engines that come back
  std::vector<Burst> bursts;
  double speed = 0, owed = 0, restartsOwed = 0, last = secondsNow(), beatAt = 0;
  bool silent = false;
  counts.number = plan.number;

  auto record = [&](std::string& bytes, uint32_t id) {
    const Row& row = rows[id];
    big(bytes, id + 1, 4), big(bytes, kFirstEngine + id, 4),
        big(bytes, plan.ports[id % plan.ports.size()], 2);
    big(bytes, row.state, 1), big(bytes, id % plan.zones, 1), big(bytes, 0, 1),
        big(bytes, id / plan.zones & 0xffff, 2);
    big(bytes, row.weight, 4), big(bytes, row.born, 8);
  };
  auto frame = [&](int kind, const std::string& payload) {
    std::string bytes;
    big(bytes, 9 + payload.size(), 4), big(bytes, counts.number, 8), big(bytes, uint64_t(kind), 1);
    return bytes + payload;
  };
  auto flush = [&](int fd, Follower& to) {
    ssize_t gone = to.out.empty() ? 0 : send(fd, to.out.data(), to.out.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (gone > 0)
      to.out.erase(0, size_t(gone)), counts.bytesOut += uint64_t(gone);
    loop.want(fd, to.out.empty() ? EPOLLIN : EPOLLIN | EPOLLOUT);
  };
  auto tell = [&](const std::string& bytes) {
    if (silent)
      return;
    for (auto& [fd, to] : followers)
      if (to.resumed)
        to.out += bytes, flush(fd, to);
  };
  auto change = [&](const std::vector<uint32_t>& ids) {
    std::string payload;
    for (uint32_t id : ids)
      record(payload, id);
    ++counts.number, ++counts.events, counts.rows += ids.size();
    tell(frame(2, payload));
    counts.toldAt = secondsNow();
  };
  auto whole = [&] {
    std::string payload;
    payload.reserve(27 * rows.size());
    for (uint32_t id = 0; id < rows.size(); ++id)
      record(payload, id);
    return frame(1, payload);
  };
  auto put = [&](uint32_t id, uint8_t state) {
    if (state == 0 && rows[id].state != 0)
      rows[id].born = uint64_t(
          std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
              .count());
    rows[id].state = state;
  };
  loop.watch(listener, [&](uint32_t) {
    for (int fd; (fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
      followers[fd], ++counts.connects, counts.followers = followers.size();
      promptly(fd);
      loop.watch(fd, [&, fd](uint32_t) {
        Follower& from = followers[fd];
        size_t had = from.in.size();
        bool open = readAll(fd, from.in);
        counts.bytesIn += from.in.size() - had;
        if (!open) {
          followers.erase(fd), counts.followers = followers.size();
          return loop.close(fd);
        }
        if (!from.resumed && from.in.size() >= 8 && !silent) {
          uint64_t number = 0;
          for (int i = 0; i < 8; ++i)
            number = number << 8 | static_cast<unsigned char>(from.in[size_t(i)]);
          from.resumed = true;
          from.out += number == counts.number ? frame(0, "") : whole();
        }
        flush(fd, from);
      });
    }
  });
  loop.heed(orders, [&](const std::string& word, std::istringstream& rest) {
    uint32_t id = 0, state = 0;
    if (word == "speed")
      rest >> speed, owed = restartsOwed = 0;
    if (word == "row" && rest >> id >> state)
      put(id, uint8_t(state)), change({id});
    if (Burst burst{}; word == "zone" && rest >> burst.zone >> burst.zones >> burst.state >> burst.lasts)
      burst.next = burst.zone, burst.began = secondsNow(), bursts.push_back(burst);
    if (word != "silent")
      return;
    rest >> silent;
    if (silent)
      return;
    ++counts.number, ++counts.events, counts.rows += rows.size();  // it comes back, and tells all
    for (auto& [fd, to] : followers)
      to.resumed = to.in.size() >= 8;
    tell(whole());
    counts.toldAt = secondsNow();
  });
  loop.run([&](double now) {
    double span = now - std::exchange(last, now);
    owed += span * speed * (kDaysChanges - 2 * kDaysRestarts), restartsOwed += span * speed * kDaysRestarts;
    for (; restartsOwed >= 1; --restartsOwed) {  // gone, and back 5 s later, or sooner where days are short
      uint32_t id = chance.next() % plan.engines;
      if (rows[id].state != 0)
        continue;
      put(id, 2), change({id});
      later[now + 5 / std::max(1.0, speed / 4)] = {id, 0};
    }
    for (; owed >= 1; --owed) {  // another weight
      uint32_t id = chance.next() % plan.engines;
      rows[id].weight = 900 + chance.next() % 200, change({id});
    }
    for (; !later.empty() && later.begin()->first <= now; later.erase(later.begin()))
      put(later.begin()->second.first, later.begin()->second.second), change({later.begin()->second.first});
    for (auto& burst : bursts) {
      uint32_t each = (plan.engines / burst.zones + 20) / 20 * burst.zones;
      if (burst.lasts > 0 && now < burst.began + burst.lasts * double(burst.next / each) / 20)
        continue;
      std::vector<uint32_t> ids;
      for (uint32_t end = burst.next + each; burst.next < std::min(end, plan.engines);
           burst.next += burst.zones)
        put(burst.next, uint8_t(burst.state)), ids.push_back(burst.next);
      if (!ids.empty())
        change(ids);
    }
    std::erase_if(bursts, [&](const Burst& burst) { return burst.next >= plan.engines; });
    if (now >= beatAt)
      tell(frame(0, "")), beatAt = now + 1;
  });
}

}  // namespace elmcleat::lab
