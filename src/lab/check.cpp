#include <algorithm>
#include <unordered_map>

#include "lab/run_record.h"

namespace elmcleat::lab {
namespace {

constexpr double kGrace = 0.05;  // seconds by which an answer may be late

struct Life {  // of one command
  int finals = 0, sends = 0, ran = 0, out = 0;
  double finalAt = -1;
  bool shed = false;
};

}  // namespace

std::vector<std::string> findRuleViolations(const Scenario& scenario, const RunRecord& record) {
  std::vector<std::string> broken;
  auto say = [&](int rule, uint64_t command, double at, const std::string& what) {
    if (broken.size() < 20)
      broken.push_back("rule " + std::to_string(rule) + " at " + std::to_string(at) + " s, command " +
                       std::to_string(command) + ": " + what);
  };
  std::vector<Life> lives(record.commands.size());
  std::unordered_map<uint64_t, double> drained;  // by gateway and node: told when
  for (auto& row : record.events) {
    uint64_t place = uint64_t(row.gateway) << 32 | row.node;
    if (row.kind == RunEventKind::drained)
      drained.try_emplace(place, row.time);
    if (row.kind == RunEventKind::listed)
      drained.erase(place);
    if (row.kind == RunEventKind::drained || row.kind == RunEventKind::listed ||
        row.kind == RunEventKind::submitted)
      continue;
    Life& life = lives[row.command];
    const CommandRecord& asked = record.commands[row.command];
    const Profile& profile = scenario.settings.profiles[asked.profile];
    switch (row.kind) {
      case RunEventKind::sent:
        if (life.finals > 0)
          say(1, row.command, row.time, "sent after its answer");
        if (life.out > 0)
          say(2, row.command, row.time, "two sends out at once");
        if (life.ran > 0 && profile.retrySafety == RetrySafety::nonReplayable)
          say(2, row.command, row.time, "non-replayable, and sent again after it may have run");
        if (++life.sends > scenario.settings.maxSends)
          say(7, row.command, row.time, "more sends than allowed");
        if (auto told = drained.find(place); told != drained.end() && row.time > told->second + 0.25)
          say(3, row.command, row.time,
              "sent to node " + std::to_string(row.node) + ", drained since " + std::to_string(told->second));
        ++life.out;
        break;
      case RunEventKind::started:
        ++life.ran;
        break;
      case RunEventKind::sendFinished:
        --life.out;
        break;
      default:
        if (++life.finals > 1)
          say(1, row.command, row.time, "a second answer");
        if (row.kind == RunEventKind::shed && life.ran > 0 &&
            profile.retrySafety == RetrySafety::nonReplayable)
          say(2, row.command, row.time, "non-replayable, has run, and was shed");
        if (row.time > asked.timeoutAt + kGrace)
          say(1, row.command, row.time, "answered after its client's end");
    }
  }
  double end = scenario.duration;
  for (size_t i = 0; i < lives.size(); ++i)
    if (lives[i].finals == 0 && record.commands[i].timeoutAt + kGrace < end)
      say(1, i, record.commands[i].timeoutAt, "no answer");
  if (record.coldOverloads > 0)
    say(4, 0, 0, std::to_string(record.coldOverloads) + " cold engines pushed over");
  return broken;
}

}  // namespace elmcleat::lab
