// The list of engines: the actor that follows the change log, and the engines that it names.
#pragma once
#include <functional>
#include <memory>
#include <unordered_map>

#include "config/config.h"
#include "runtime/mailbox.h"
#include "runtime/stream.h"
#include "serve/dispatcher.h"
#include "serve/engine.h"
#include "view/engine_subset.h"

namespace elmcleat {

class Discovery final : public EngineRouter {
 public:
  // With a view, only the engines in it are used; without one all are.
  Discovery(Scheduler& scheduler, const Config& config, Dispatcher& dispatcher,
            std::unique_ptr<view::EngineSubset> view = nullptr);
  void start(const std::vector<EngineListEvent>& known);  // then the change log is followed
  // Who can do without a descriptor when the system has none for the change log, or for an engine.
  void setEvictor(std::function<bool()> evict) { connectionQuota_.evictOther = std::move(evict); }
  void follow(const Address& changeLog);  // from the last number on, at once, if it is another one

  void send(uint32_t node, std::shared_ptr<RequestContext> context, double until) override;
  void reprioritise(uint32_t node, std::shared_ptr<RequestContext> context) override;
  void cancel(uint32_t node, std::shared_ptr<RequestContext> context) override;
  void withdraw(uint32_t node, std::shared_ptr<RequestContext> context) override;
  void shortenDeadline(uint32_t node, std::shared_ptr<RequestContext> context) override;
  void probe(uint32_t node) override;
  void setEjected(uint32_t node, bool is) override;

 private:
  Task run();
  bool read(Stream& stream);
  void apply(const EngineListEvent& event);
  void updateSubset();  // has the view to be wider, or narrower?
  void updateEngines(const std::vector<ListedEngine>& listings,
                     bool whole);  // what is not named in a whole list is gone
  void applySubsetChanges(const std::vector<ListedEngine>& changes, const char* why);  // of the view
  void withEngine(uint32_t node, std::function<void(Engine&)> call);

  Scheduler& scheduler_;
  const Config& config_;
  Dispatcher& dispatcher_;
  Signal signal_;
  Mailbox mailbox_;
  Timer timer_;
  bool late_ = false;   // the timer has run out
  bool moved_ = false;  // the change log has another address since we last connected
  Address changeLog_;
  FrameParser reader_;
  std::unique_ptr<view::EngineSubset> subset_;
  Timer subsetTimer_;                // when the view may change by itself
  uint64_t last_ = 0;                // number of the last event that is known
  size_t connectionsPerEngine_ = 1;  // connections that one engine should do with
  ConnectionQuota connectionQuota_;  // of all engines' connections
  std::unordered_map<uint32_t, std::unique_ptr<Engine>> engines_;
  Task task_;
};

}  // namespace elmcleat
