#include <cstdio>
#include <deque>
#include <map>
#include <set>

#include "lab/hollow.h"
#include "lab/hollow_loop.h"

namespace elmcleat::lab {

void serveEngines(int listener, int orders, EngineCounts& counts) {
  struct Line {
    uint32_t engine = 0;
    std::string in;
    std::set<std::string> open;  // commands in work
  };
  struct Due {
    double at;
    int fd;
    std::weak_ptr<Line> line;
    std::string id;
  };
  Loop loop;
  double work = 0;
  std::vector<bool> gone(kMostEngines);
  std::map<int, std::shared_ptr<Line>> lines;
  std::deque<Due> due;
  auto close = [&](int fd, bool hard = false) {
    auto found = lines.find(fd);
    if (found == lines.end())
      return;
    --counts.open, --counts.connections[found->second->engine];
    lines.erase(found);
    loop.close(fd, hard);
  };
  auto answer = [&](int fd, const std::string& id) {
    char bytes[96];
    int size = std::snprintf(bytes, sizeof bytes, "%s HIT fetches=1,effort=%.3f 6\r\na\tb\tc\n\r\n",
                             id.c_str(), std::max(work * 1e3, 0.1));
    return put(fd, {bytes, size_t(size)});
  };
  auto heed = [&](int fd, const std::shared_ptr<Line>& line) {  // false: it is over
    while (true) {
      size_t end = line->in.find("\r\n");
      if (end == std::string::npos)
        return true;
      std::istringstream words(line->in.substr(0, end));
      std::string verb, id, fields;
      size_t length = 0;
      words >> verb >> id;
      if (verb == "GET") {
        words >> fields >> length;
        if (line->in.size() < end + 4 + length)
          return true;
        length += 2;
        ++counts.commands, ++counts.sends[line->engine];
        counts.lastSend[line->engine] = secondsNow();
        if (work > 0)
          line->open.insert(id), due.push_back({secondsNow() + work, fd, line, id});
        else if (!answer(fd, id))
          return false;
      } else if (verb == "DROP") {
        ++counts.drops, line->open.erase(id);
      } else if (verb == "PING" || verb == "LOAD") {
        if (!put(fd, id + (verb == "LOAD" ? " PONG meter=inflight:0;queue:0;util:0.1 0\r\n\r\n"
                                          : " PONG - 0\r\n\r\n")))
          return false;
      }
      line->in.erase(0, end + 2 + length);
    }
  };
  loop.watch(listener, [&](uint32_t) {
    for (int fd; (fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
      sockaddr_in at{};
      socklen_t size = sizeof at;
      getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
      uint32_t engine = ntohl(at.sin_addr.s_addr) - kFirstEngine;
      ++counts.accepted;
      if (engine >= kMostEngines || gone[engine]) {
        loop.close(fd, true);
        continue;
      }
      promptly(fd);
      auto line = std::make_shared<Line>();
      line->engine = engine;
      lines[fd] = line, ++counts.open, ++counts.connections[engine];
      loop.watch(fd, [&, fd, line](uint32_t) {
        if (!readAll(fd, line->in) || !heed(fd, line))
          close(fd);
      });
    }
  });
  loop.heed(orders, [&](const std::string& word, std::istringstream& rest) {
    if (word == "work")
      rest >> work;
    uint32_t zone = 0, zones = 1, is = 0;
    if (word != "gone" || !(rest >> zone >> zones >> is))
      return;
    for (uint32_t i = zone; i < kMostEngines; i += zones)
      gone[i] = is;
    if (!is)
      return;
    std::vector<int> over;
    for (auto& [fd, line] : lines)
      if (gone[line->engine])
        over.push_back(fd);
    for (int fd : over)
      close(fd, true);
  });
  loop.run([&](double now) {
    for (; !due.empty() && due.front().at <= now; due.pop_front()) {
      auto line = due.front().line.lock();
      if (line && line->open.erase(due.front().id) && !answer(due.front().fd, due.front().id))
        close(due.front().fd);
    }
  });
}

}  // namespace elmcleat::lab
