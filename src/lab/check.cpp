// Checks of a run's record against the rules that every gateway has to keep.
#include <algorithm>
#include <unordered_map>

#include "lab/run_record.h"

namespace elmcleat::lab {
namespace {

constexpr double kGrace = 0.05;  // seconds after the client timeout in which an answer is accepted
constexpr size_t kMaxViolations = 20;
constexpr double kDrainGrace = 0.25;  // seconds after a gateway learned of a drain in which it may still send

// What has happened to one command.
struct CommandState {
  int finals = 0;  // answers, sheds and failures
  int sends = 0;
  int starts = 0;
  int outstanding = 0;
  double finalAt = -1;
  bool shed = false;
};

}  // namespace

std::vector<std::string> findRuleViolations(const Scenario& scenario, const RunRecord& record) {
  std::vector<std::string> violations;
  auto report = [&](int rule, uint64_t command, double at, const std::string& what) {
    if (violations.size() < kMaxViolations)
      violations.push_back("rule " + std::to_string(rule) + " at " + std::to_string(at) + " s, command " +
                           std::to_string(command) + ": " + what);
  };
  std::vector<CommandState> states(record.commands.size());
  std::unordered_map<uint64_t, double> drained;  // by gateway and engine: when the gateway learned of it
  for (auto& event : record.events) {
    uint64_t gatewayAndEngine = uint64_t(event.gateway) << 32 | event.node;
    if (event.kind == RunEventKind::drained)
      drained.try_emplace(gatewayAndEngine, event.time);
    if (event.kind == RunEventKind::listed)
      drained.erase(gatewayAndEngine);
    if (event.kind == RunEventKind::drained || event.kind == RunEventKind::listed ||
        event.kind == RunEventKind::submitted)
      continue;
    CommandState& state = states[event.command];
    const CommandRecord& command = record.commands[event.command];
    const Profile& profile = scenario.settings.profiles[command.profile];
    switch (event.kind) {
      case RunEventKind::sent:
        if (state.finals > 0)
          report(1, event.command, event.time, "sent after its answer");
        if (state.outstanding > 0)
          report(2, event.command, event.time, "two sends out at once");
        if (state.starts > 0 && profile.retrySafety == RetrySafety::nonReplayable)
          report(2, event.command, event.time, "non-replayable, and sent again after it may have run");
        if (++state.sends > scenario.settings.maxSends)
          report(7, event.command, event.time, "more sends than allowed");
        if (auto entry = drained.find(gatewayAndEngine);
            entry != drained.end() && event.time > entry->second + kDrainGrace)
          report(3, event.command, event.time,
                 "sent to node " + std::to_string(event.node) + ", drained since " +
                     std::to_string(entry->second));
        ++state.outstanding;
        break;
      case RunEventKind::started:
        ++state.starts;
        break;
      case RunEventKind::sendFinished:
        --state.outstanding;
        break;
      default:
        if (++state.finals > 1)
          report(1, event.command, event.time, "a second answer");
        if (event.kind == RunEventKind::shed && state.starts > 0 &&
            profile.retrySafety == RetrySafety::nonReplayable)
          report(2, event.command, event.time, "non-replayable, has run, and was shed");
        if (event.time > command.timeoutAt + kGrace)
          report(1, event.command, event.time, "answered after its client's end");
    }
  }
  double end = scenario.duration;
  for (size_t i = 0; i < states.size(); ++i)
    if (states[i].finals == 0 && record.commands[i].timeoutAt + kGrace < end)
      report(1, i, record.commands[i].timeoutAt, "no answer");
  if (record.coldOverloads > 0)
    report(4, 0, 0, std::to_string(record.coldOverloads) + " cold engines pushed over");
  return violations;
}

}  // namespace elmcleat::lab
