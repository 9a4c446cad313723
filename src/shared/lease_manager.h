// Amounts of a whole fleet, divided so that what all members may use never adds up to more, whatever is cut, lost,
// copied, late, stopped or started anew; without agreement. Pure: told the time of a clock that goes on while the
// process is stopped, and what came; it says what to send. Seeded.
//
// Each member has an equal part of its own. A little of that is kept, and is never lent; the rest moves by loans with
// an end (escrow; O'Neil 1986, bounded counters; Balegas 2015). Why it holds:
//   - A lender counts a loan as gone from the moment it decides it until `leaseDuration` and a guard after that.
//   - A borrower may use it until `leaseDuration` less a guard after it *asked*, which was before the lender decided. So no two
//     clocks are compared, only their speed: the guards cover 2 guard / length of difference.
//   - Of the loans between two that have not ended both count the greatest: renewals overlap and don't add up, and each
//     ends at the borrower before it does at the lender.
//   - Who starts knows nothing of what an earlier life lent: until the longest loan is over it uses what is kept, alone.
//   - Whoever uses an amount asks available(now) at that moment: who was stopped finds its loans ended when it goes on.
// It is for rates (work a second). What is in use at once can't be called back from an engine when a loan ends: such
// amounts are divided, and not lent.
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
  int memberCount = 1;          // listed, there or not
  double reservedShare = 0.02;  // part of its own that no member lends
  double leaseDuration = 2;     // seconds that a loan lasts
  double guardTime = 0.1;       // seconds, at each side of its end
  std::vector<double> quotas;   // of the whole fleet, a unit each

  double ownQuota(size_t amount) const { return quotas[amount] / memberCount; }
};

struct ValidationError {
  std::string key, message;
};
std::vector<ValidationError> validate(const LeaseSettings& settings);

// Between two members. An ask and a return are numbered by the asker, in one life of it.
struct LeaseMessage {
  enum class Kind : uint8_t { request, grant, release };
  struct Item {
    uint32_t quota = 0;
    double units = 0, lendable = 0;  // asked for, or granted; what the lender has left to lend
  };
  Kind kind = Kind::request;
  int from = -1, to = -1;
  uint64_t instance = 0;       // the asker's
  uint64_t requestNumber = 0;  // the ask's; of a return, all up to it
  std::vector<Item> items;
};

class LeaseManager {
 public:
  // `life` differs in each life of the process; `promisesFrom`: when whatever an earlier one lent is over at the latest.
  LeaseManager(const LeaseSettings& settings, int self, uint64_t life, uint64_t seed, double now);

  size_t quotaCount() const { return quotas_.size(); }
  void setDemand(size_t amount, double units);  // what there is use for now
  void setMemberAlive(int member, bool is) {
    there_[size_t(member)] = is;
  }                       // as members tell it; only who is asked rests on it
  void tick(double now);  // asks, renews, gives back
  void receive(double now, const LeaseMessage& message);
  std::vector<LeaseMessage> takeOutgoing() { return std::exchange(out_, {}); }

  double available(size_t amount, double now) const { return availableQuota(amount, now).availableAt(now); }
  // The same for another thread. What is lent is taken off it before a grant is sent: publish it before takeOutgoing().
  AvailableQuota availableQuota(size_t amount, double now) const;
  double nextWakeUp() const { return nextTick_; }
  uint64_t rejectedMessages() const {
    return refused_;
  }  // letters that made no sense, by number or by amount

 private:
  struct GrantedLease {  // to one borrower, of one amount
    uint64_t life = 0, number = 0;
    double units = 0, until = 0;
  };
  struct BorrowedLease {  // of one lender, by one ask
    double askedAt = 0, until = 0;
    std::vector<double> units;
  };
  struct PendingRequest {
    uint64_t number = 0;
    double at = 0;
  };
  struct Quota {
    double want = 0;
    std::map<int, std::vector<GrantedLease>> lent;  // by borrower
  };

  double lentOut(size_t amount, double now) const;
  double spare(size_t amount, double now) const;
  double missing(size_t amount, double now) const;
  static double unitsOf(const std::vector<BorrowedLease>& loans, size_t amount, double now);
  bool mayLend(double now) const { return now >= lendsFrom_; }
  void grant(double now, const LeaseMessage& request);
  void granted(double now, const LeaseMessage& grant);
  void returned(const LeaseMessage& message);
  void ask(int lender, double now, const std::vector<double>& units);
  void giveBack(double now);
  void forget(double now);
  std::vector<int> lenders(double now, size_t most);

  LeaseSettings settings_;
  int self_;
  uint64_t life_;
  Pcg32 chance_;
  double nextTick_, lendsFrom_, nextAsk_;
  std::vector<Quota> quotas_;
  std::vector<bool> there_;
  std::map<int, std::vector<BorrowedLease>>
      borrowed_;                         // by lender; the last one is what it was asked for last
  std::map<int, PendingRequest> asked_;  // by lender: the last that has no answer
  std::map<int, std::pair<double, double>>
      spares_;        // by lender: how much it had to lend, as a part of its own; when
  size_t reach_ = 2;  // members asked at a tick: more while they give
  double pause_ = 0;  // between asks: longer while they don't
  uint64_t asks_ = 0, refused_ = 0;
  std::vector<LeaseMessage> out_;
};

}  // namespace elmcleat::shared
