#include "serve/request_parser.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <ranges>
#include <utility>

#include "protocol/statement.h"

namespace elmcleat {
namespace {

bool isHex16(const std::string& text) {
  return text.size() == 16 && std::ranges::all_of(text, [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
         });
}

// A word that can stand in a line to an engine.
bool isWord(const std::string& text) {
  return !text.empty() && text.size() <= 64 && std::ranges::all_of(text, [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
           c == '_' || c == '.';
  });
}

// Figures beyond these limits are no estimates and no times: the module would reckon with them, and engines could
// not use them.
constexpr double kMostWait = 86'400e3, kMostWork = 86'400e3;  // milliseconds: a day
constexpr double kMostMemory = 10e6, kMostEngines = 10;       // MB; in memories of the largest engine

constexpr size_t kMostUsers = 8;  // levels below the tenant

bool readAmount(const std::string& text, double most, double& value) {
  auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
  return !text.empty() && fault == std::errc() && end == text.data() + text.size() && std::isfinite(value) &&
         !std::signbit(value) && value <= most;
}

}  // namespace

ParsedRequest parseCommandRequest(HttpRequest&& request, const Settings& settings, double came,
                                  const std::string& actor) {
  auto refuse = [](int status, std::string why) {
    return ParsedRequest{std::nullopt, status, std::move(why)};
  };
  CommandRequest command;
  command.profile = request.path.substr(request.path.rfind('/') + 1);
  auto profile = std::ranges::find(settings.profiles, command.profile, &Profile::name);
  if (profile == settings.profiles.end())
    return refuse(404, "unknown profile");

  auto* id = request.header("req-id");
  if (!id || !isHex16(*id))
    return refuse(400, "Req-Id must be 16 hex digits");
  command.id = *id;
  double wait = 0;
  auto* left = request.header("req-wait-ms");
  if (!left || !readAmount(*left, kMostWait, wait))
    return refuse(400, "Req-Wait-Ms must be a time in milliseconds");
  command.clientDeadline = came + wait / 1e3;
  // Without a list of tenants all are one: a queue for each name that comes would never end.
  if (auto* tenant = request.header("req-owner"); tenant && !settings.tenants.empty())
    command.tenant = *tenant;
  bool known = std::ranges::find(settings.tenants, command.tenant, &Tenant::name) != settings.tenants.end();
  if (!settings.tenants.empty() && !known)
    return refuse(400, "Req-Owner names no tenant");
  if (auto* users = actor.empty() ? nullptr : request.header(actor)) {
    for (auto word : std::views::split(*users, '/'))
      if (command.users.emplace_back(word.begin(), word.end());
          !isWord(command.users.back()) || command.users.size() > kMostUsers)
        return refuse(400, "the actor's header must be a few words with / between them");
  }
  if (auto* work = request.header("req-cost")) {
    if (!readAmount(*work, kMostWork, command.estimatedWork))
      return refuse(400, "Req-Cost must be a time in milliseconds");
    command.estimatedWork /= 1e3;
  }
  double mostMemory = 0;
  for (auto& kind : settings.engineKinds)
    mostMemory = std::max(mostMemory, kMostEngines * kind.memoryMb);
  if (mostMemory <= 0)
    mostMemory = kMostMemory;
  if (auto* memory = request.header("x-ram");
      memory && !readAmount(*memory, mostMemory, command.estimatedMemoryMb))
    return refuse(400, "X-Ram must be a size in MB");
  if (auto* key = request.header("req-key")) {
    if (!isHex16(*key))
      return refuse(400, "Req-Key must be 16 hex digits");
    uint64_t number = 0;
    std::from_chars(key->data(), key->data() + key->size(), number, 16);
    command.orderingKey = number;
  }
  if (auto* token = request.header("req-token")) {
    if (!isWord(*token))
      return refuse(400, "Req-Token must be one word");
    command.token = *token;
  } else if (profile->retrySafety == RetrySafety::deduplicated) {
    return refuse(400, "Req-Token is missing");  // without it engines could not know a repeat
  }
  command.tableGroup = tableGroupOf(request.body).value_or(0);
  command.statement = std::move(request.body);
  return {std::move(command), 0, ""};
}

}  // namespace elmcleat
