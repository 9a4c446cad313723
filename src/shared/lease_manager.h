// LeaseManager: divides fleet-wide quotas among the members so that the parts in use never add up to more
// than the quota, whatever messages are lost, duplicated or delayed and whatever members are partitioned,
// stopped or restarted; without consensus. No I/O: callers pass received messages and the time of a clock
// that advances while the process is stopped, and send the messages returned. Randomness is seeded.
//
// Each member owns an equal part. A small reserve of it is never lent; the rest moves by leases (escrow,
// O'Neil 1986; bounded counters, Balegas 2015). Why the sum holds:
//   - A lender counts a lease as granted from its decision until `leaseDuration` plus the guard time later.
//   - A borrower uses it until `leaseDuration` minus the guard time after the *request*, which came before
//     the decision. So clocks are never compared, only their rates matter: the guards cover a drift of 2
//     guardTime / leaseDuration.
//   - Of several unexpired leases between the same two members both sides count only the largest: renewals
//     overlap without adding up, and each expires at the borrower before it does at the lender.
//   - A restarted member does not know what its earlier instance lent: until the longest lease has expired it
//     uses its reserve only.
//   - Users of a quota call available(now) at the time of use: after a long stop of the process their leases
//     have expired. A suspended machine is not covered, as the process's clock (runtime/clock.h) does not
//     advance meanwhile.
// Only rates (work per second) can be leased. Resources in use at the same time could not be taken back from
// an engine when a lease expires; they are divided and never lent.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pcg32.h"
#include "shared/available_quota.h"

namespace elmcleat::shared {

struct LeaseSettings {
  int memberCount = 1;          // of the configuration, alive or not
  double reservedShare = 0.02;  // part of its own quota that a member never lends
  double leaseDuration = 2;     // seconds
  double guardTime = 0.1;       // seconds on each side of the expiry, against clock drift
  std::vector<double> quotas;   // totals of the fleet, each in its own unit

  double ownQuota(size_t quota) const { return quotas[quota] / memberCount; }
};

struct ValidationError {
  std::string key;
  std::string message;
};
std::vector<ValidationError> validate(const LeaseSettings& settings);

// A message between two members. Requests and releases are numbered by the borrower, within one instance of
// it.
struct LeaseMessage {
  enum class Kind : uint8_t { request, grant, release };
  struct Item {
    uint32_t quota = 0;   // index into LeaseSettings::quotas
    double units = 0;     // requested or granted
    double lendable = 0;  // in a grant: what the lender could still lend
  };
  Kind kind = Kind::request;
  int from = -1;
  int to = -1;
  uint64_t instance = 0;       // of the borrower
  uint64_t requestNumber = 0;  // of the request; a release covers all requests up to it
  std::vector<Item> items;
};

class LeaseManager {
 public:
  // `instance` must differ in each run of the process.
  LeaseManager(const LeaseSettings& settings, int self, uint64_t instance, uint64_t seed, double now);

  size_t quotaCount() const { return quotas_.size(); }
  void setDemand(size_t quota, double units);  // units that there is use for now
  // As membership reports it. Only affects who is asked for leases, never what may be used.
  void setMemberAlive(int member, bool alive) { alive_[size_t(member)] = alive; }
  void tick(double now);  // requests, renews and releases leases
  void receive(double now, const LeaseMessage& message);
  std::vector<LeaseMessage> takeOutgoing() { return std::exchange(outgoing_, {}); }

  double available(size_t quota, double now) const { return availableQuota(quota, now).availableAt(now); }
  // The same for other threads. Publish it before the messages of takeOutgoing() are sent: grants reduce it.
  AvailableQuota availableQuota(size_t quota, double now) const;
  double nextWakeUp() const { return nextTick_; }
  uint64_t rejectedMessages() const { return rejected_; }  // invalid, or with an unexpected request number

 private:
  struct GrantedLease {  // of one quota, to one borrower
    uint64_t instance = 0;
    uint64_t requestNumber = 0;
    double units = 0;
    double until = 0;
  };
  struct BorrowedLease {  // of all quotas, by one request
    double requestedAt = 0;
    double until = 0;
    std::vector<double> units;  // by quota
  };
  struct PendingRequest {
    uint64_t number = 0;
    double time = 0;
  };
  struct Quota {
    double demand = 0;
    std::map<int, std::vector<GrantedLease>> granted;  // by borrower
  };

  double grantedUnits(size_t quota, double now) const;
  double lendableUnits(size_t quota, double now) const;
  double missingUnits(size_t quota, double now) const;
  static double borrowedUnits(const std::vector<BorrowedLease>& leases, size_t quota, double now);
  bool mayLend(double now) const { return now >= lendsFrom_; }
  void handleRequest(double now, const LeaseMessage& request);
  void handleGrant(double now, const LeaseMessage& grant);
  void handleRelease(const LeaseMessage& release);
  void sendRequest(int lender, double now, const std::vector<double>& units);
  void releaseUnneeded(double now);
  void removeExpired(double now);
  std::vector<int> selectLenders(double now, size_t limit);

  LeaseSettings settings_;
  int self_;
  uint64_t instance_;
  Pcg32 random_;
  double nextTick_;
  double lendsFrom_;  // when all leases of an earlier instance have expired
  double nextRequest_;
  std::vector<Quota> quotas_;
  std::vector<bool> alive_;                             // by member
  std::map<int, std::vector<BorrowedLease>> borrowed_;  // by lender, in the order of the requests
  std::map<int, PendingRequest> pendingRequests_;       // by lender
  // By lender: the part of its own quota that it could lend, and when it said so.
  std::map<int, std::pair<double, double>> knownLendable_;
  size_t fanout_ = 2;   // members asked per tick: doubles while they grant, else decreases
  double backoff_ = 0;  // seconds between requests: doubles while none is granted
  uint64_t requestCount_ = 0;
  uint64_t rejected_ = 0;
  std::vector<LeaseMessage> outgoing_;
};

}  // namespace elmcleat::shared
