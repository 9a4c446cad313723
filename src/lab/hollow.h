// Hollow processes of a scale run: what only has to be there, many in one process, beside the real
// dispatchers. Each is a child of the tool that ends with it; it is told by lines through a socket, and
// writes its counts into memory that both share.
#pragma once
#include <signal.h>
#include <sys/mman.h>
#include <sys/types.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "protocol/address.h"

namespace elmcleat::lab {

constexpr uint32_t kMostEngines = 1 << 16;
constexpr double kDaysChanges = 97'000.0 / 86'400, kDaysRestarts = 18'000.0 / 86'400;  // a second

inline double secondsNow() {  // the same in all processes of the machine
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

template <typename T>
class SharedMemory {  // with children that are forked later; zeroes at first
 public:
  SharedMemory()
      : at_(static_cast<T*>(
            mmap(nullptr, sizeof(T), PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0))) {}
  SharedMemory(const SharedMemory&) = delete;
  SharedMemory& operator=(const SharedMemory&) = delete;
  ~SharedMemory() { munmap(at_, sizeof(T)); }
  T* operator->() const { return at_; }
  T& operator*() const { return *at_; }

 private:
  T* at_;
};

// A child that ends when its parent does; it reads its orders from `orders`.
class Child {
 public:
  explicit Child(const std::function<void(int orders)>& body);
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;
  ~Child();
  void tell(const std::string& line) const;
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_;
  int orders_ = -1;
};

// Makes this process, a child just forked, end with its parent and at the latest after so many seconds.
void endWith(pid_t parent, unsigned seconds);

// --- engines: all addresses from kFirstEngine on, at one port. Orders: "work S", "gone ZONE ZONES 0|1"
// (engines of a zone break off and refuse, or are there again).
constexpr uint32_t kFirstEngine = 0x7fc00000;
struct EngineCounts {
  std::atomic<uint64_t> commands, drops, accepted, open;
  std::array<std::atomic<double>, kMostEngines> lastSend;              // by engine; secondsNow()
  std::array<std::atomic<uint32_t>, kMostEngines> sends, connections;  // commands; open now
};
void serveEngines(int listener, int orders, EngineCounts& counts);

// --- the change log. Orders: "speed TIMES" (of the day's changes), "silent 0|1", "zone Z ZONES STATE
// SECONDS" (a zone's rows in twenty frames over so long), "row ID STATE". States as in records: 0 in service,
// 1 draining, 2 gone. A row that is back in service has started just now. Who resumes from elsewhere than the
// last number is told the whole list.
struct LogCounts {
  std::atomic<uint64_t> number, events, rows, bytesOut, bytesIn, followers, connects;
  std::atomic<double> toldAt;  // the last frame that was no heartbeat
};
struct LogPlan {
  uint32_t engines = 0, zones = 16;
  uint64_t number = 1;          // of the list with which the dispatchers start
  std::vector<uint16_t> ports;  // of the engines' processes, by engine id modulo their count
};
void serveChangeLog(int listener, int orders, const LogPlan& plan, LogCounts& counts);

// --- clients of one dispatcher. Orders: "idle N" (connections that ask /check each 6 s), "rate R TABLES"
// (commands a second, open loop, over so many tables).
struct ClientCounts {
  std::atomic<uint64_t> asked, answered, shed, failed, lost, wrong, checks, broken, idle;
  std::array<std::atomic<uint64_t>, 200> latency;  // by kLatencySteps an order of magnitude, from 10 us
};
constexpr double kLatencySteps = 40;
double latencyAt(const ClientCounts& counts, double part);  // seconds
void serveClients(const Address& dispatcher, int orders, const std::string& profile, ClientCounts& counts);

uint16_t portOf(int listener);
int listenAnywhere();  // on all of loopback, at a port that is free

}  // namespace elmcleat::lab
