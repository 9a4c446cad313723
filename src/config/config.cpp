#include "config/config.h"

#include <array>
#include <charconv>
#include <cstdlib>
#include <fstream>

namespace elmcleat {
namespace {

template <typename T>
bool readHex(std::string_view text, T& value) {
  auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  return !text.empty() && fault == std::errc() && end == text.data() + text.size();
}

Address needAddress(const Section& from, const char* key) {
  auto address = parseAddress(from.required<std::string>(key));
  if (!address)
    from.fail(key, "must be an IPv4 address and a port");
  return *address;
}

ListedEngine readListing(const Section& host) {
  ListedEngine one;
  auto id = host.required<std::string>("host");
  if (id.size() != 10 || !id.starts_with("s-") || !readHex(std::string_view(id).substr(2), one.record.id))
    host.fail("host", "must be s- and 8 hex digits");
  one.record.state = host.choice<EngineState>("health", "in_service",
                                              {{"in_service", EngineState::inService},
                                               {"terminating", EngineState::draining},
                                               {"terminated", EngineState::removed}});
  // What is gone needs no address.
  if (one.record.state != EngineState::removed || host.has("dial"))
    one.address = needAddress(host, "dial");
  one.record.zone = host.get<std::string>("site", "");
  one.record.kind = host.get<std::string>("class", "");
  one.record.cell = host.get("block", 0);
  one.startedAtUnixMs = host.get<int64_t>("born_ms", 0);
  return one;
}

// Rows of the list by result, taken while the file is parsed: as a document 44,000 engines would take 50 MB. Where one
// of them can't be read, nothing is taken, and what is wrong is told from the whole document.
class KnownRows {
 public:
  bool sound() const { return sound_; }
  std::vector<ListedEngine> take(size_t result) {
    return result < rows_.size() ? std::move(rows_[result]) : std::vector<ListedEngine>{};
  }
  // For the parser: false drops what has just been read.
  bool keeps(int depth, Json::parse_event_t event, const Json& parsed) {
    using Event = Json::parse_event_t;
    if (event == Event::key && depth < int(path_.size()))
      path_[size_t(depth)] = parsed.get<std::string>();
    if (path_[1] != "known" || path_[2] != "results")
      return true;
    if (event == Event::object_start && depth == 3)
      rows_.emplace_back(), path_[4] = path_[5] = "";
    if (depth != 6 || path_[4] != "fleet" || path_[5] != "hosts")
      return true;
    if (event == Event::value || event == Event::array_start)
      return !(sound_ = false);
    if (event != Event::object_end)
      return true;
    try {
      rows_.at(rows_.size() - 1).push_back(readListing(Section(parsed)));
    } catch (const std::exception&) {
      sound_ = false;
    }
    return false;
  }

 private:
  std::vector<std::vector<ListedEngine>> rows_;
  std::array<std::string, 6> path_;  // the last key at each depth
  bool sound_ = true;
};

std::vector<EngineListEvent> readKnown(const Section& known, KnownRows* taken) {
  std::vector<EngineListEvent> events;
  for (auto& result : known.items("results")) {
    EngineListEvent& event = events.emplace_back();
    if (taken)
      event.engines = taken->take(events.size() - 1);
    event.sequence = result.required<uint64_t>("seq");
    const Section fleet = result.subsection("fleet");
    event.isFullList = fleet.get("whole", false);
    for (auto& host : fleet.items("hosts"))
      event.engines.push_back(readListing(host));
  }
  // The last number may be that of an event without news of engines.
  auto last = known.required<uint64_t>("seq");
  if (events.empty() || events.back().sequence < last)
    events.push_back({last, false, {}});
  return events;
}

LogLevel readLevel(const Section& file) {
  const char* level = std::getenv("ELMCLEAT_LOG");
  return file.choice<LogLevel>("log", level ? level : "info",
                               {{"debug", LogLevel::debug},
                                {"info", LogLevel::info},
                                {"warn", LogLevel::warn},
                                {"error", LogLevel::error}});
}

Config readConfig(const Json& json, KnownRows* taken) {
  if (!json.is_object())
    throw std::invalid_argument("the configuration must be an object");
  const Section file(json);
  Config config;
  config.name = file.get<std::string>("name", "");
  config.listenAddress = needAddress(file, "listen");
  config.changeLogAddress = needAddress(file, "changelog");
  if (!readHex(file.required<std::string>("seed"), config.seed))
    file.fail("seed", "must be hex digits");
  config.maxDescriptors = file.subsection("limits").required<size_t>("sockets");
  config.memoryMb = file.subsection("limits").get<size_t>("memory_mb", 192);
  if (!file.has("known"))
    file.fail("known", "is missing");
  config.initialEvents = readKnown(file.subsection("known"), taken);
  if (!file.has("settings"))
    file.fail("settings", "is missing");
  const Section settings = file.subsection("settings");
  config.settings = readSettings(settings);
  if (config.settings.profiles.empty())
    settings.fail("classes", "must name at least one class");
  config.connectionSettings = readConnectionSettings(settings);
  config.peersAllowed = settings.subsection("limits").get("peers", false);
  config.logLevel = readLevel(file);
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
  KnownRows rows;
  try {
    json = Json::parse(file, [&rows](int depth, Json::parse_event_t event, Json& parsed) {
      return rows.keeps(depth, event, parsed);
    });
    if (!rows.sound())
      file.clear(), file.seekg(0), json = Json::parse(file);
  } catch (const Json::exception& fault) {
    throw std::invalid_argument(std::string("PROXY_CONFIG: ") + path + ": " + fault.what());
  }
  // The variables hold the same as the file, and win where they are set.
  if (json.is_object()) {
    if (const char* name = std::getenv("PROXY_NAME"))
      json["name"] = name;
    if (const char* listen = std::getenv("PROXY_LISTEN"))
      json["listen"] = listen;
  }
  return readConfig(json, rows.sound() ? &rows : nullptr);
}

}  // namespace elmcleat
