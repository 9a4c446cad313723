// Simulated engines: the server side of the engines' protocol, with a fixed time for each command.
#include <cstdio>
#include <deque>
#include <map>
#include <set>

#include "lab/hollow.h"
#include "lab/hollow_loop.h"

namespace elmcleat::lab {

void serveEngines(int listener, int orders, EngineCounts& counts) {
  struct Connection {
    uint32_t engine = 0;
    std::string in;
    std::set<std::string> running;  // ids of commands
  };
  struct PendingAnswer {
    double dueAt;
    int fd;
    std::weak_ptr<Connection> connection;
    std::string id;
  };
  Loop loop;
  double workSeconds = 0;
  std::vector<bool> gone(kMaxEngines);
  std::map<int, std::shared_ptr<Connection>> connections;
  std::deque<PendingAnswer> pending;
  auto close = [&](int fd, bool reset = false) {
    auto found = connections.find(fd);
    if (found == connections.end())
      return;
    --counts.open;
    --counts.connections[found->second->engine];
    connections.erase(found);
    loop.close(fd, reset);
  };
  auto answer = [&](int fd, const std::string& id) {
    char bytes[96];
    int size = std::snprintf(bytes, sizeof bytes, "%s HIT fetches=1,effort=%.3f 6\r\na\tb\tc\n\r\n",
                             id.c_str(), std::max(workSeconds * 1e3, 0.1));
    return writeAll(fd, {bytes, size_t(size)});
  };
  // Handles all complete messages received; false if the connection must be closed.
  auto handleMessages = [&](int fd, const std::shared_ptr<Connection>& connection) {
    while (true) {
      size_t end = connection->in.find("\r\n");
      if (end == std::string::npos)
        return true;
      std::istringstream words(connection->in.substr(0, end));
      std::string verb;
      std::string id;
      std::string fields;
      size_t length = 0;
      words >> verb >> id;
      if (verb == "GET") {
        words >> fields >> length;
        if (connection->in.size() < end + 4 + length)
          return true;
        length += 2;
        ++counts.commands;
        ++counts.sends[connection->engine];
        counts.lastSend[connection->engine] = secondsNow();
        if (workSeconds > 0) {
          connection->running.insert(id);
          pending.push_back({secondsNow() + workSeconds, fd, connection, id});
        } else if (!answer(fd, id))
          return false;
      } else if (verb == "DROP") {
        ++counts.drops;
        connection->running.erase(id);
      } else if (verb == "PING" || verb == "LOAD") {
        if (!writeAll(fd, id + (verb == "LOAD" ? " PONG meter=inflight:0;queue:0;util:0.1 0\r\n\r\n"
                                               : " PONG - 0\r\n\r\n")))
          return false;
      }
      connection->in.erase(0, end + 2 + length);
    }
  };
  loop.watch(listener, [&](uint32_t) {
    for (int fd; (fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
      sockaddr_in address{};
      socklen_t size = sizeof address;
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
      uint32_t engine = ntohl(address.sin_addr.s_addr) - kFirstEngine;
      ++counts.accepted;
      if (engine >= kMaxEngines || gone[engine]) {
        loop.close(fd, true);
        continue;
      }
      disableNagle(fd);
      auto connection = std::make_shared<Connection>();
      connection->engine = engine;
      connections[fd] = connection;
      ++counts.open;
      ++counts.connections[engine];
      loop.watch(fd, [&, fd, connection](uint32_t) {
        if (!readAvailable(fd, connection->in) || !handleMessages(fd, connection))
          close(fd);
      });
    }
  });
  loop.readOrders(orders, [&](const std::string& verb, std::istringstream& arguments) {
    if (verb == "work")
      arguments >> workSeconds;
    uint32_t zone = 0;
    uint32_t zones = 1;
    uint32_t isGone = 0;
    if (verb != "gone" || !(arguments >> zone >> zones >> isGone))
      return;
    for (uint32_t i = zone; i < kMaxEngines; i += zones)
      gone[i] = isGone;
    if (!isGone)
      return;
    std::vector<int> closing;
    for (auto& [fd, connection] : connections)
      if (gone[connection->engine])
        closing.push_back(fd);
    for (int fd : closing)
      close(fd, true);
  });
  loop.run([&](double now) {
    for (; !pending.empty() && pending.front().dueAt <= now; pending.pop_front()) {
      auto connection = pending.front().connection.lock();
      if (connection && connection->running.erase(pending.front().id) &&
          !answer(pending.front().fd, pending.front().id))
        close(pending.front().fd);
    }
  });
}

}  // namespace elmcleat::lab
