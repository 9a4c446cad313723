#include "config/config.h"

#include <array>
#include <charconv>
#include <cstdlib>
#include <fstream>

namespace elmcleat {
namespace {

// Parses the whole text as a hexadecimal number.
template <typename T>
bool parseHex(std::string_view text, T& value) {
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  return !text.empty() && error == std::errc() && end == text.data() + text.size();
}

Address requiredAddress(const Section& section, const char* key) {
  auto address = parseAddress(section.required<std::string>(key));
  if (!address)
    section.fail(key, "must be an IPv4 address and a port");
  return *address;
}

ListedEngine readListedEngine(const Section& host) {
  ListedEngine engine;
  auto id = host.required<std::string>("host");
  if (id.size() != 10 || !id.starts_with("s-") || !parseHex(std::string_view(id).substr(2), engine.record.id))
    host.fail("host", "must be s- followed by 8 hex digits");
  engine.record.state = host.choice<EngineState>("health", "in_service",
                                                 {{"in_service", EngineState::inService},
                                                  {"terminating", EngineState::draining},
                                                  {"terminated", EngineState::removed}});
  // A removed engine needs no address.
  if (engine.record.state != EngineState::removed || host.has("dial"))
    engine.address = requiredAddress(host, "dial");
  engine.record.zone = host.get<std::string>("site", "");
  engine.record.kind = host.get<std::string>("class", "");
  engine.record.cell = host.get("block", 0);
  engine.startedAtUnixMs = host.get<int64_t>("born_ms", 0);
  return engine;
}

// Collects the engines under `known.results[].fleet.hosts[]` while the file is parsed, and drops their JSON:
// kept as a document, 44,000 engines would take 50 MB. If one of them is invalid, the collection is
// discarded; the file is then parsed into a complete document, so that the error can name the key.
class EngineCollector {
 public:
  bool allValid() const { return allValid_; }
  // The engines of the result with this index; empty if there are none.
  std::vector<ListedEngine> take(size_t result) {
    return result < enginesByResult_.size() ? std::move(enginesByResult_[result])
                                            : std::vector<ListedEngine>{};
  }
  // The parser's callback: returns false for values that it is to drop.
  bool onParseEvent(int depth, Json::parse_event_t event, const Json& parsed) {
    using Event = Json::parse_event_t;
    if (event == Event::key && depth < int(path_.size()))
      path_[size_t(depth)] = parsed.get<std::string>();
    if (path_[1] != "known" || path_[2] != "results")
      return true;
    if (event == Event::object_start && depth == 3) {  // a new result
      enginesByResult_.emplace_back();
      path_[4] = path_[5] = "";
    }
    if (depth != 6 || path_[4] != "fleet" || path_[5] != "hosts")
      return true;
    if (event == Event::value || event == Event::array_start)
      return !(allValid_ = false);
    if (event != Event::object_end)
      return true;
    try {
      enginesByResult_.at(enginesByResult_.size() - 1).push_back(readListedEngine(Section(parsed)));
    } catch (const std::exception&) {
      allValid_ = false;
    }
    return false;
  }

 private:
  std::vector<std::vector<ListedEngine>> enginesByResult_;
  std::array<std::string, 6> path_;  // the last key at each depth
  bool allValid_ = true;
};

std::vector<EngineListEvent> readInitialEvents(const Section& known, EngineCollector* collector) {
  std::vector<EngineListEvent> events;
  for (auto& result : known.items("results")) {
    EngineListEvent& event = events.emplace_back();
    if (collector)
      event.engines = collector->take(events.size() - 1);
    event.sequence = result.required<uint64_t>("seq");
    const Section fleet = result.subsection("fleet");
    event.isFullList = fleet.get("whole", false);
    for (auto& host : fleet.items("hosts"))
      event.engines.push_back(readListedEngine(host));
  }
  // The last sequence number may belong to an event that changed no engine.
  auto lastSequence = known.required<uint64_t>("seq");
  if (events.empty() || events.back().sequence < lastSequence)
    events.push_back({lastSequence, false, {}});
  return events;
}

// The key `log` takes precedence over the environment variable.
LogLevel readLogLevel(const Section& file) {
  const char* level = std::getenv("ELMCLEAT_LOG");
  return file.choice<LogLevel>("log", level ? level : "info",
                               {{"debug", LogLevel::debug},
                                {"info", LogLevel::info},
                                {"warn", LogLevel::warn},
                                {"error", LogLevel::error}});
}

Config readConfig(const Json& json, EngineCollector* collector) {
  if (!json.is_object())
    throw std::invalid_argument("the configuration must be an object");
  const Section file(json);
  Config config;
  config.name = file.get<std::string>("name", "");
  config.listenAddress = requiredAddress(file, "listen");
  config.changeLogAddress = requiredAddress(file, "changelog");
  if (!parseHex(file.required<std::string>("seed"), config.seed))
    file.fail("seed", "must be hex digits");
  config.maxDescriptors = file.subsection("limits").required<size_t>("sockets");
  config.memoryMb = file.subsection("limits").get<size_t>("memory_mb", 192);
  if (!file.has("known"))
    file.fail("known", "is missing");
  config.initialEvents = readInitialEvents(file.subsection("known"), collector);
  if (!file.has("settings"))
    file.fail("settings", "is missing");
  const Section settings = file.subsection("settings");
  config.settings = readSettings(settings);
  if (config.settings.profiles.empty())
    settings.fail("classes", "must name at least one class");
  config.connectionSettings = readConnectionSettings(settings);
  config.peersAllowed = settings.subsection("limits").get("peers", false);
  config.logLevel = readLogLevel(file);
  return config;
}

}  // namespace

Config readConfig(const Json& file) { return readConfig(file, nullptr); }

Config readConfig() {
  const char* path = std::getenv("PROXY_CONFIG");
  if (!path)
    throw std::invalid_argument("PROXY_CONFIG: is not set");
  std::ifstream file(path);
  if (!file)
    throw std::invalid_argument(std::string("PROXY_CONFIG: can't read ") + path);
  Json json;
  EngineCollector collector;
  try {
    json = Json::parse(file, [&collector](int depth, Json::parse_event_t event, Json& parsed) {
      return collector.onParseEvent(depth, event, parsed);
    });
    if (!collector.allValid()) {
      file.clear();
      file.seekg(0);
      json = Json::parse(file);
    }
  } catch (const Json::exception& error) {
    throw std::invalid_argument(std::string("PROXY_CONFIG: ") + path + ": " + error.what());
  }
  // These environment variables override the file.
  if (json.is_object()) {
    if (const char* name = std::getenv("PROXY_NAME"))
      json["name"] = name;
    if (const char* listen = std::getenv("PROXY_LISTEN"))
      json["listen"] = listen;
  }
  return readConfig(json, collector.allValid() ? &collector : nullptr);
}

}  // namespace elmcleat
