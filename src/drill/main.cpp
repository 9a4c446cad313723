// elmcleat_drill: adapter between the decision module and the simulator. Each line of standard input is an
// event in JSON and becomes a call on the module of one instance (a gateway); the module's actions are
// written to standard output, one JSON object a line. Nothing is decided here.
//
// FRAME sets the time, EOB ends a batch of events: then each instance that had an event decides, and NEXT is
// written. Times on the wire are microseconds (fields in ...Us). Exit status: 0, or 1 after an invalid line.
#include <charconv>
#include <cmath>
#include <cstdio>
#include <iostream>
#include <map>
#include <set>
#include <stdexcept>
#include <unordered_map>

#include "config/settings.h"
#include "policy.h"

namespace elmcleat::drill {
namespace {

// One engine list.
using EngineRecords = std::vector<EngineRecord>;

Outcome readOutcome(const std::string& name) {
  return enumFromName<Outcome>(name, {{"delivered", Outcome::answered},
                                      {"app_error", Outcome::error},
                                      {"shed", Outcome::overloaded},
                                      {"expired", Outcome::timedOut},
                                      {"dial_failed", Outcome::connectFailed},
                                      {"dropped", Outcome::reset},
                                      {"revoked", Outcome::cancelled},
                                      {"unused", Outcome::notStarted}});
}

std::optional<LoadReport> readLoadReport(const Json& event) {
  auto usage = event.find("usage");
  if (usage == event.end() || usage->is_null())
    return std::nullopt;
  auto figure = [&](const char* name) {
    auto found = usage->find(name);
    return found == usage->end() || found->is_null() ? std::nullopt : std::optional(found->get<double>());
  };
  return LoadReport{figure("concurrent"), figure("depth"), figure("load_share"), figure("x0"), figure("x1")};
}

uint64_t readHex(const std::string& text) {
  uint64_t value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  if (error != std::errc() || end != text.data() + text.size())
    throw std::invalid_argument("'" + text + "' is not a hexadecimal id");
  return value;
}

EngineRecords readEngineRecords(const Json& lines) {
  EngineRecords records;
  for (auto& line : lines) {
    const Section fields(line);
    EngineRecord record;
    record.id = fields.required<uint32_t>("node");
    record.zone = fields.get<std::string>("rackZone", "");
    record.kind = fields.get<std::string>("type", "");
    record.cell = fields.get("unitGroup", 0);
    record.state = fields.choice<EngineState>("condition", "in_service",
                                              {{"in_service", EngineState::inService},
                                               {"terminating", EngineState::draining},
                                               {"terminated", EngineState::removed}});
    if (double started = fields.seconds("bootTimeUs"); started > 0)
      record.startedAt = started;
    records.push_back(std::move(record));
  }
  return records;
}

// One gateway: its module, and its commands by the simulator's ids.
class Instance : public ActionSink {
 public:
  Instance(int id, const Json& event, double now) : id_(id), now_(now) {
    policy_ = createPolicy(readSettings(Section(event.at("config"), "config")),
                           event.at("initSeed").get<uint64_t>(), *this);
  }

  // `pages`: the engine lists that ENDPOINTS events refer to.
  void handleEvent(const std::string& kind, const Json& event, const std::map<int, EngineRecords>& pages,
                   double now) {
    now_ = now;
    policy_->advanceTo(now);
    if (kind == "INBOUND")
      submit(event);
    else if (kind == "RESPONSE")
      finishSend(event);
    else if (kind == "INTERIM")
      reportStatus(event);
    else if (kind == "OPENED") {
      if (auto* entry = find(event))
        entry->command->streamingStarted();
    } else if (kind == "WITHDRAWN")
      withdraw(event);
    else if (kind == "ENDPOINTS")
      updateEngines(event, pages);
    else if (kind == "SAMPLED") {
      auto report = readLoadReport(event);
      policy_->probeFinished(event.at("node").get<uint32_t>(),
                             readOutcome(event.at("result").get<std::string>()), report ? &*report : nullptr);
    }
  }
  void decide() { policy_->decide(); }

  void send(Command& command, uint32_t engine, double timeout, double) override {
    CommandEntry& entry = commands_.at(ids_.at(&command));
    ++entry.sendsOut;
    write("ROUTE", {{"rid", ids_.at(&command)}, {"maxWaitUs", microseconds(timeout)}, {"node", engine}});
  }
  void setPriorityAndMemory(Command& command, int priority, double memoryMb) override {
    write("RESOURCES", {{"rid", ids_.at(&command)}, {"rank", priority}, {"memory", memoryMb}});
  }
  void cancel(Command& command, int sendIndex) override {
    write("STOP_ATTEMPT", {{"rid", ids_.at(&command)}, {"roundNo", sendIndex}});
  }
  void shed(Command& command, double retryAfter) override {
    write("NOT_NOW", {{"rid", ids_.at(&command)}, {"holdOffUs", microseconds(retryAfter)}});
    markEnded(command);
  }
  void fail(Command& command) override {
    write("FAIL", {{"rid", ids_.at(&command)}});
    markEnded(command);
  }
  void probe(uint32_t engine) override { write("TOUCH", {{"node", engine}}); }
  void requestEngineList() override { write("OBSERVE", {{"want", true}}); }
  void scheduleWakeUp(double time) override {
    write("SET_ALARM", {{"alarmTimeUs", std::max(microseconds(time), microseconds(now_))}, {"name", "wake"}});
  }
  void log(const std::string& line) override { write("JOURNAL_LINE", {{"line", line}}); }

 private:
  struct CommandEntry {
    std::shared_ptr<Command> command;
    int sendsOut = 0;    // sends without an outcome
    bool ended = false;  // its final answer is given, or it was withdrawn
  };

  static int64_t microseconds(double seconds) { return std::llround(seconds * 1e6); }

  void write(const char* kind, Json message) {
    message["kind"] = kind;
    message["who"] = id_;
    std::cout << message.dump() << '\n';
  }

  CommandEntry* find(const Json& event) {
    auto found = commands_.find(event.at("rid").get<std::string>());
    return found == commands_.end() ? nullptr : &found->second;
  }
  // Forgets a command that has ended and has no send out.
  void forgetIfDone(CommandEntry& entry) {
    if (!entry.ended || entry.sendsOut > 0)
      return;
    auto id = ids_.find(entry.command.get());
    std::string rid = std::move(id->second);
    ids_.erase(id);
    commands_.erase(rid);
  }
  // Called from within the module, which may still use the command: forgetEnded() forgets it later.
  void markEnded(Command& command) {
    commands_.at(ids_.at(&command)).ended = true;
    ended_.push_back(&command);
  }
  void forgetEnded() {
    for (Command* command : ended_)
      if (auto id = ids_.find(command); id != ids_.end())
        forgetIfDone(commands_.at(id->second));
    ended_.clear();
  }

  void submit(const Json& event) {
    forgetEnded();
    const Section fields(event);
    Arrival arrival;
    arrival.profile = fields.required<std::string>("profile");
    if (auto tenant = event.find("billing"); tenant != event.end() && tenant->is_string())
      arrival.tenant = tenant->get<std::string>();
    arrival.tableGroup = fields.get<uint64_t>("dataGroup", 0);
    if (auto key = fields.get<std::string>("table", ""); !key.empty())
      arrival.orderingKey = readHex(key);
    arrival.estimatedWork = fields.seconds("costUs");
    arrival.estimatedMemoryMb = fields.get("needMb", 0.0);
    arrival.remainingTime = fields.seconds("expiresInUs");
    auto rid = fields.required<std::string>("rid");
    auto command = policy_->submit(arrival);
    ids_.emplace(command.get(), rid);
    commands_[rid].command = std::move(command);
  }
  void finishSend(const Json& event) {
    CommandEntry* entry = find(event);
    if (!entry)
      return;
    const Section fields(event);
    auto report = readLoadReport(event);
    std::optional<ResourceUsage> usage;
    // Milliseconds of work in the upper bits; the lower 12 bits count memory in units of 4 MB.
    if (auto used = fields.get<int64_t>("usedUp", 0); used > 0)
      usage = ResourceUsage{static_cast<double>(used / 4096) / 1e3, static_cast<double>(used % 4096) * 4};
    bool final = fields.get("final", false);
    --entry->sendsOut;
    entry->ended |= final;
    entry->command->sendFinished(readOutcome(fields.required<std::string>("result")),
                                 fields.seconds("timeTakenUs"), final, usage ? &*usage : nullptr,
                                 report ? &*report : nullptr);
    forgetIfDone(*entry);
  }
  void reportStatus(const Json& event) {
    CommandEntry* entry = find(event);
    if (!entry)
      return;
    const Section fields(event);
    int topic = fields.required<int>("topic");
    if (topic < 1 || topic > 3)
      return;
    static constexpr StatusTopic kTopics[] = {StatusTopic::progress, StatusTopic::spilling,
                                              StatusTopic::queued};
    entry->command->statusReported(kTopics[topic - 1], fields.get("level", 0.0));
  }
  void withdraw(const Json& event) {
    CommandEntry* entry = find(event);
    if (!entry)
      return;
    if (!entry->ended)
      entry->command->withdrawn();
    entry->ended = true;
    forgetIfDone(*entry);
  }
  void updateEngines(const Json& event, const std::map<int, EngineRecords>& pages) {
    auto kind = enumFromName<EngineListKind>(event.at("scope").get<std::string>(),
                                             {{"diff", EngineListKind::delta},
                                              {"snapshot", EngineListKind::full},
                                              {"disk", EngineListKind::full},
                                              {"error", EngineListKind::error}});
    static const EngineRecords kNoRecords;
    policy_->updateEngines(
        kind, kind == EngineListKind::error ? kNoRecords : pages.at(event.at("page").get<int>()));
  }

  int id_;
  double now_;  // seconds
  std::unique_ptr<Policy> policy_;
  std::unordered_map<std::string, CommandEntry> commands_;  // by the simulator's id
  std::unordered_map<const Command*, std::string> ids_;
  std::vector<Command*> ended_;  // by the module's own final answer, not yet forgotten
};

// All instances of a simulation.
class Drill {
 public:
  // Handles one line of input. Throws Json::exception or std::invalid_argument if it is invalid.
  void handleLine(const std::string& text) {
    Json event = Json::parse(text);
    auto kind = event.at("kind").get<std::string>();
    if (kind == "FRAME")
      now_ = event.at("tUs").get<double>() / 1e6;
    else if (kind == "EOB")
      endBatch();
    else if (kind == "SNAPSHOT_ROWS")
      pages_[event.at("page").get<int>()] = readEngineRecords(event.at("lines"));
    else {
      int id = event.at("who").get<int>();
      reportErrors(id, [&] {
        if (kind == "NEW_INSTANCE")
          instances_[id] = std::make_unique<Instance>(id, event, now_);
        else if (kind == "CRASH_NOW") {
          instances_.erase(id);
          undecided_.erase(id);
        }
        if (auto found = instances_.find(id); found != instances_.end()) {
          undecided_.insert(id);
          found->second->handleEvent(kind, event, pages_, now_);
        }
      });
    }
  }

 private:
  // Invalid input ends the drill. An error of the module is passed to the simulator as GIVE_IN.
  template <typename Call>
  void reportErrors(int id, Call call) {
    try {
      call();
    } catch (const Json::exception&) {
      throw;
    } catch (const std::invalid_argument&) {
      throw;
    } catch (const std::exception& error) {
      Json line = {{"kind", "GIVE_IN"}, {"who", id}, {"line", error.what()}};
      std::cout << line.dump() << '\n';
    }
  }
  void endBatch() {
    for (int id : undecided_)
      reportErrors(id, [&] { instances_.at(id)->decide(); });
    undecided_.clear();
    std::cout << "{\"kind\":\"NEXT\"}\n" << std::flush;
  }

  double now_ = 0;                      // seconds
  std::map<int, EngineRecords> pages_;  // engine lists by page number
  std::map<int, std::unique_ptr<Instance>> instances_;
  std::set<int> undecided_;  // instances with an event in this batch
};

}  // namespace
}  // namespace elmcleat::drill

int main() {
  std::ios::sync_with_stdio(false);
  elmcleat::drill::Drill drill;
  std::string text;
  long lineNumber = 0;
  while (std::getline(std::cin, text)) {
    ++lineNumber;
    if (text.empty())
      continue;
    try {
      drill.handleLine(text);
    } catch (const std::exception& error) {
      std::cerr << "elmcleat_drill: line " << lineNumber << ": " << error.what() << '\n';
      return 1;
    }
  }
  return 0;
}
