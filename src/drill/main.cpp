// elmcleat_drill: the decision module on the simulator's wire. Lines come in on standard input and become
// calls on the module; its answers are written straight to standard output. Nothing is decided here.
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

using Rows = std::vector<EngineRecord>;

Outcome readOutcome(const std::string& word) {
  return enumFromName<Outcome>(word, {{"delivered", Outcome::answered},
                                      {"app_error", Outcome::error},
                                      {"shed", Outcome::overloaded},
                                      {"expired", Outcome::timedOut},
                                      {"dial_failed", Outcome::connectFailed},
                                      {"dropped", Outcome::reset},
                                      {"revoked", Outcome::cancelled},
                                      {"unused", Outcome::notStarted}});
}

std::optional<LoadReport> readReport(const Json& event) {
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
  auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  if (fault != std::errc() || end != text.data() + text.size())
    throw std::invalid_argument("'" + text + "' is not a hexadecimal id");
  return value;
}

Rows readRows(const Json& lines) {
  Rows rows;
  for (auto& line : lines) {
    const Section at(line);
    EngineRecord row;
    row.id = at.required<uint32_t>("node");
    row.zone = at.get<std::string>("rackZone", "");
    row.kind = at.get<std::string>("type", "");
    row.cell = at.get("unitGroup", 0);
    row.state = at.choice<EngineState>("condition", "in_service",
                                       {{"in_service", EngineState::inService},
                                        {"terminating", EngineState::draining},
                                        {"terminated", EngineState::removed}});
    if (double started = at.seconds("bootTimeUs"); started > 0)
      row.startedAt = started;
    rows.push_back(std::move(row));
  }
  return rows;
}

// One instance: the module behind the ids of the wire.
class Instance : public ActionSink {
 public:
  Instance(int who, const Json& event, double now) : who_(who), now_(now) {
    policy_ = createPolicy(readSettings(Section(event.at("config"), "config")),
                           event.at("initSeed").get<uint64_t>(), *this);
  }

  void happen(const std::string& kind, const Json& event, const std::map<int, Rows>& pages, double now) {
    now_ = now;
    policy_->advanceTo(now);
    if (kind == "INBOUND")
      take(event);
    else if (kind == "RESPONSE")
      respond(event);
    else if (kind == "INTERIM")
      note(event);
    else if (kind == "OPENED") {
      if (auto* held = find(event))
        held->command->streamingStarted();
    } else if (kind == "WITHDRAWN")
      withdraw(event);
    else if (kind == "ENDPOINTS")
      list(event, pages);
    else if (kind == "SAMPLED") {
      auto report = readReport(event);
      policy_->probeFinished(event.at("node").get<uint32_t>(),
                             readOutcome(event.at("result").get<std::string>()), report ? &*report : nullptr);
    }
  }
  void settle() { policy_->decide(); }

  void send(Command& command, uint32_t node, double timeout, double) override {
    Held& held = live_.at(ids_.at(&command));
    ++held.out;
    write("ROUTE", {{"rid", ids_.at(&command)}, {"maxWaitUs", micros(timeout)}, {"node", node}});
  }
  void setPriorityAndMemory(Command& command, int priority, double memoryMb) override {
    write("RESOURCES", {{"rid", ids_.at(&command)}, {"rank", priority}, {"memory", memoryMb}});
  }
  void cancel(Command& command, int sendNo) override {
    write("STOP_ATTEMPT", {{"rid", ids_.at(&command)}, {"roundNo", sendNo}});
  }
  void shed(Command& command, double retryAfter) override {
    write("NOT_NOW", {{"rid", ids_.at(&command)}, {"holdOffUs", micros(retryAfter)}});
    finish(command);
  }
  void fail(Command& command) override {
    write("FAIL", {{"rid", ids_.at(&command)}});
    finish(command);
  }
  void probe(uint32_t node) override { write("TOUCH", {{"node", node}}); }
  void requestEngineList() override { write("OBSERVE", {{"want", true}}); }
  void scheduleWakeUp(double at) override {
    write("SET_ALARM", {{"alarmTimeUs", std::max(micros(at), micros(now_))}, {"name", "wake"}});
  }
  void log(const std::string& line) override { write("JOURNAL_LINE", {{"line", line}}); }
  void giveIn(const std::string& why) { write("GIVE_IN", {{"line", why}}); }

 private:
  struct Held {
    std::shared_ptr<Command> command;
    int out = 0;  // sends without an outcome
    bool over = false;
  };

  static int64_t micros(double time) { return std::llround(time * 1e6); }

  void write(const char* kind, Json message) {
    message["kind"] = kind;
    message["who"] = who_;
    std::cout << message.dump() << '\n';
  }

  Held* find(const Json& event) {
    auto found = live_.find(event.at("rid").get<std::string>());
    return found == live_.end() ? nullptr : &found->second;
  }
  void drop(Held& held) {
    if (!held.over || held.out > 0)
      return;
    auto id = ids_.find(held.command.get());
    std::string rid = std::move(id->second);
    ids_.erase(id);
    live_.erase(rid);
  }
  void finish(Command& command) { live_.at(ids_.at(&command)).over = true, ended_.push_back(&command); }
  void sweep() {  // forget what was ended by the module's own answer
    for (Command* command : ended_)
      if (auto id = ids_.find(command); id != ids_.end())
        drop(live_.at(id->second));
    ended_.clear();
  }

  void take(const Json& event) {
    sweep();
    const Section from(event);
    Arrival arrival;
    arrival.profile = from.required<std::string>("profile");
    if (auto tenant = event.find("billing"); tenant != event.end() && tenant->is_string())
      arrival.tenant = tenant->get<std::string>();
    arrival.tableGroup = from.get<uint64_t>("dataGroup", 0);
    if (auto key = from.get<std::string>("table", ""); !key.empty())
      arrival.orderingKey = readHex(key);
    arrival.estimatedWork = from.seconds("costUs");
    arrival.estimatedMemoryMb = from.get("needMb", 0.0);
    arrival.remainingTime = from.seconds("expiresInUs");
    auto rid = from.required<std::string>("rid");
    auto command = policy_->submit(arrival);
    ids_.emplace(command.get(), rid);
    live_[rid].command = std::move(command);
  }
  void respond(const Json& event) {
    Held* held = find(event);
    if (!held)
      return;
    const Section from(event);
    auto report = readReport(event);
    std::optional<ResourceUsage> usage;
    if (auto used = from.get<int64_t>("usedUp", 0); used > 0)
      usage = ResourceUsage{static_cast<double>(used / 4096) / 1e3, static_cast<double>(used % 4096) * 4};
    bool final = from.get("final", false);
    --held->out;
    held->over |= final;
    held->command->sendFinished(readOutcome(from.required<std::string>("result")),
                                from.seconds("timeTakenUs"), final, usage ? &*usage : nullptr,
                                report ? &*report : nullptr);
    drop(*held);
  }
  void note(const Json& event) {
    Held* held = find(event);
    if (!held)
      return;
    const Section from(event);
    int topic = from.required<int>("topic");
    if (topic < 1 || topic > 3)
      return;
    static constexpr StatusTopic topics[] = {StatusTopic::progress, StatusTopic::spilling,
                                             StatusTopic::queued};
    held->command->statusReported(topics[topic - 1], from.get("level", 0.0));
  }
  void withdraw(const Json& event) {
    Held* held = find(event);
    if (!held)
      return;
    if (!held->over)
      held->command->withdrawn();
    held->over = true;
    drop(*held);
  }
  void list(const Json& event, const std::map<int, Rows>& pages) {
    auto kind = enumFromName<EngineListKind>(event.at("scope").get<std::string>(),
                                             {{"diff", EngineListKind::delta},
                                              {"snapshot", EngineListKind::full},
                                              {"disk", EngineListKind::full},
                                              {"error", EngineListKind::error}});
    static const Rows none;
    policy_->updateEngines(kind,
                           kind == EngineListKind::error ? none : pages.at(event.at("page").get<int>()));
  }

  int who_;
  double now_;
  std::unique_ptr<Policy> policy_;
  std::unordered_map<std::string, Held> live_;
  std::unordered_map<const Command*, std::string> ids_;
  std::vector<Command*> ended_;
};

class Drill {
 public:
  void line(const std::string& text) {
    Json event = Json::parse(text);
    auto kind = event.at("kind").get<std::string>();
    if (kind == "FRAME")
      now_ = event.at("tUs").get<double>() / 1e6;
    else if (kind == "EOB")
      endBatch();
    else if (kind == "SNAPSHOT_ROWS")
      pages_[event.at("page").get<int>()] = readRows(event.at("lines"));
    else {
      int who = event.at("who").get<int>();
      guarded(who, [&] {
        if (kind == "NEW_INSTANCE")
          instances_[who] = std::make_unique<Instance>(who, event, now_);
        else if (kind == "CRASH_NOW")
          instances_.erase(who), touched_.erase(who);
        if (auto found = instances_.find(who); found != instances_.end()) {
          touched_.insert(who);
          found->second->happen(kind, event, pages_, now_);
        }
      });
    }
  }

 private:
  // What is wrong with the input ends the drill; a fault of the module is told to the simulator.
  template <typename Act>
  void guarded(int who, Act act) {
    try {
      act();
    } catch (const Json::exception&) {
      throw;
    } catch (const std::invalid_argument&) {
      throw;
    } catch (const std::exception& fault) {
      Json line = {{"kind", "GIVE_IN"}, {"who", who}, {"line", fault.what()}};
      std::cout << line.dump() << '\n';
    }
  }
  void endBatch() {
    for (int who : touched_)
      guarded(who, [&] { instances_.at(who)->settle(); });
    touched_.clear();
    std::cout << "{\"kind\":\"NEXT\"}\n" << std::flush;
  }

  double now_ = 0;
  std::map<int, Rows> pages_;
  std::map<int, std::unique_ptr<Instance>> instances_;
  std::set<int> touched_;
};

}  // namespace
}  // namespace elmcleat::drill

int main() {
  std::ios::sync_with_stdio(false);
  elmcleat::drill::Drill drill;
  std::string text;
  long number = 0;
  while (std::getline(std::cin, text)) {
    ++number;
    if (text.empty())
      continue;
    try {
      drill.line(text);
    } catch (const std::exception& fault) {
      std::cerr << "elmcleat_drill: line " << number << ": " << fault.what() << '\n';
      return 1;
    }
  }
  return 0;
}
