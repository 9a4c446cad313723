// Simulated processes of a scale run: engines, the change log and clients, many in one process, that only
// behave as the real dispatchers beside them need. Each process is a child of the tool that ends with it. It
// reads orders, one a line, from a socket, and publishes its counts in shared memory.
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

constexpr uint32_t kMaxEngines = 1 << 16;
constexpr double kSecondsPerDay = 86'400;
constexpr double kChangesPerSecond = 97'000.0 / kSecondsPerDay;   // average over a day
constexpr double kRestartsPerSecond = 18'000.0 / kSecondsPerDay;  // the same; two changes each

inline double secondsNow() {  // monotonic, the same in all processes of the machine
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

// A zeroed T shared with the children that are forked after its construction.
template <typename T>
class SharedMemory {
 public:
  SharedMemory()
      : value_(static_cast<T*>(
            mmap(nullptr, sizeof(T), PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0))) {}
  SharedMemory(const SharedMemory&) = delete;
  SharedMemory& operator=(const SharedMemory&) = delete;
  ~SharedMemory() { munmap(value_, sizeof(T)); }
  T* operator->() const { return value_; }
  T& operator*() const { return *value_; }

 private:
  T* value_;
};

// A forked process that ends when its parent does. `body` reads its orders from the descriptor `orders`.
class Child {
 public:
  explicit Child(const std::function<void(int orders)>& body);
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;
  ~Child();
  void order(const std::string& line) const;
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_;
  int orders_ = -1;
};

// Makes this process, a child just forked, end with its parent and at the latest after `seconds` (0: no
// limit).
void endWith(pid_t parent, unsigned seconds);

// --- Engines: one address each, from kFirstEngine on, all at one port. Orders: "work SECONDS" (time that a
// command takes), "gone ZONE ZONES 0|1" (1: engines of the zone drop their connections and refuse new ones;
// 0: they are back).
constexpr uint32_t kFirstEngine = 0x7fc00000;
struct EngineCounts {
  std::atomic<uint64_t> commands;
  std::atomic<uint64_t> drops;  // cancelled commands
  std::atomic<uint64_t> accepted;
  std::atomic<uint64_t> open;
  std::array<std::atomic<double>, kMaxEngines> lastSend;       // by engine; secondsNow()
  std::array<std::atomic<uint32_t>, kMaxEngines> sends;        // by engine
  std::array<std::atomic<uint32_t>, kMaxEngines> connections;  // by engine; open now
};
void serveEngines(int listener, int orders, EngineCounts& counts);

// --- The change log. Orders: "speed FACTOR" (of the day's average rate of changes), "silent 0|1", "zone ZONE
// ZONES STATE SECONDS" (changes a zone's records in twenty frames spread over that time), "row ID STATE".
// States as in records: 0 in service, 1 draining, 2 gone. A record that returns to service gets the present
// time as its start. A follower that resumes from any other sequence number than the latest gets the full
// list.
struct LogCounts {
  std::atomic<uint64_t> sequence;
  std::atomic<uint64_t> events;
  std::atomic<uint64_t> rows;
  std::atomic<uint64_t> bytesOut;
  std::atomic<uint64_t> bytesIn;
  std::atomic<uint64_t> followers;
  std::atomic<uint64_t> connects;
  std::atomic<double> lastEventAt;  // when the last frame other than a heartbeat was sent; secondsNow()
};
struct LogPlan {
  uint32_t engines = 0;
  uint32_t zones = 16;
  uint64_t sequence = 1;        // of the list with which the dispatchers start
  std::vector<uint16_t> ports;  // of the engine processes, by engine id modulo their count
};
void serveChangeLog(int listener, int orders, const LogPlan& plan, LogCounts& counts);

// --- Clients of one dispatcher. Orders: "idle N" (connections that request /check every 6 s), "rate R
// TABLES" (commands per second, open loop, spread over that many tables).
struct ClientCounts {
  std::atomic<uint64_t> sent;
  std::atomic<uint64_t> answered;
  std::atomic<uint64_t> shed;
  std::atomic<uint64_t> failed;
  std::atomic<uint64_t> lost;  // no answer in time, or the connection broke
  std::atomic<uint64_t> wrong;
  std::atomic<uint64_t> checks;
  std::atomic<uint64_t> broken;                    // idle connections that the dispatcher closed
  std::atomic<uint64_t> idle;                      // idle connections open now
  std::array<std::atomic<uint64_t>, 200> latency;  // histogram: kLatencyBucketsPerDecade, from 10 us
};
constexpr double kLatencyBucketsPerDecade = 40;
double latencyQuantile(const ClientCounts& counts, double quantile);  // seconds
void serveClients(const Address& dispatcher, int orders, const std::string& profile, ClientCounts& counts);

uint16_t portOf(int listener);
int listenOnFreePort();  // on all local addresses

}  // namespace elmcleat::lab
