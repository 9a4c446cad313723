// Discovery of engines: the actor that follows the change log, and the owner of the engines that it lists. It
// applies the change log's events, limits them to the subset that this gateway uses, passes the resulting
// list to the dispatcher, and routes the dispatcher's actions to the engines.
#pragma once
#include <functional>
#include <memory>
#include <unordered_map>

#include "config/config.h"
#include "runtime/mailbox.h"
#include "runtime/stream.h"
#include "serve/dispatcher.h"
#include "serve/engine.h"
#include "serve/engine_addresses.h"
#include "view/engine_subset.h"

namespace elmcleat {

class Discovery final : public EngineRouter {
 public:
  // With `subset` only the engines in it are used; without, all are.
  Discovery(Scheduler& scheduler, const Config& config, Dispatcher& dispatcher,
            std::unique_ptr<view::EngineSubset> subset = nullptr);

  // Applies the events that are known already, then follows the change log from the last of them on.
  void start(std::vector<EngineListEvent> initialEvents);

  // `evict` closes an idle connection of another owner; used when the system has no descriptor left for the
  // change log or for an engine. It returns false if there is none to close.
  void setEvictor(std::function<bool()> evict) { connectionQuota_.evictOther = std::move(evict); }

  // Follows the change log at this address, at once and from the last sequence number on. No effect if it is
  // the current one.
  void follow(const Address& changeLog);

  void send(uint32_t node, std::shared_ptr<RequestContext> context, double until) override;
  void reprioritise(uint32_t node, std::shared_ptr<RequestContext> context) override;
  void cancel(uint32_t node, std::shared_ptr<RequestContext> context) override;
  void withdraw(uint32_t node, std::shared_ptr<RequestContext> context) override;
  void shortenDeadline(uint32_t node, std::shared_ptr<RequestContext> context) override;
  void probe(uint32_t node) override;
  void setEjected(uint32_t node, bool ejected) override;

 private:
  Task run();
  bool read(Stream& stream);
  void apply(EngineListEvent& event);
  void updateSubset();
  void updateEngines(const std::vector<ListedEngine>& listings, bool isFullList);
  void applySubsetChanges(const std::vector<ListedEngine>& changes, const char* cause);
  void withEngine(uint32_t node, std::function<void(Engine&)> action);

  Scheduler& scheduler_;
  const Config& config_;
  Dispatcher& dispatcher_;
  Signal signal_;
  Mailbox mailbox_;
  Timer timer_;                  // connect timeout, silence timeout or retry pause, whichever applies
  bool timedOut_ = false;        // timer_ has fired
  bool addressChanged_ = false;  // since the last connect
  Address changeLog_;
  FrameParser parser_;
  std::unique_ptr<view::EngineSubset> subset_;
  Timer subsetTimer_;                // when the subset may change without an event
  EngineAddresses addresses_;        // of all listed engines, in the subset or not
  uint64_t lastSequence_ = 0;        // of the last event that was applied
  size_t connectionsPerEngine_ = 1;  // how many connections an engine opens before its sends share them
  ConnectionQuota connectionQuota_;  // for the connections of all engines together
  std::unordered_map<uint32_t, std::unique_ptr<Engine>> engines_;
  Task task_;
};

}  // namespace elmcleat
