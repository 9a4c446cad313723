#include "serve/request_parser.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <ranges>
#include <string_view>
#include <utility>

#include "protocol/statement.h"

namespace elmcleat {
namespace {

bool isHex16(std::string_view text) {
  return text.size() == 16 && std::ranges::all_of(text, [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
         });
}

// Whether the text can be sent as one word in a line of the engine protocol.
bool isWord(std::string_view text) {
  return !text.empty() && text.size() <= 64 && std::ranges::all_of(text, [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
           c == '_' || c == '.';
  });
}

// Values beyond these limits can't be real estimates or times: the module would compute with them, and
// engines could not use them.
constexpr double kMaxWaitMs = 86'400e3;   // a day
constexpr double kMaxWorkMs = 86'400e3;   // a day
constexpr double kMaxMemoryMb = 10e6;     // where no engine kind is configured
constexpr double kMaxMemoryEngines = 10;  // in multiples of the memory of the largest engine kind

constexpr size_t kMaxUserLevels = 8;  // below the tenant

// Reads a finite number from 0 to `max`; -0 is refused.
bool readAmount(std::string_view text, double max, double& value) {
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return !text.empty() && error == std::errc() && end == text.data() + text.size() && std::isfinite(value) &&
         !std::signbit(value) && value <= max;
}

}  // namespace

ParsedRequest parseCommandRequest(HttpRequest&& request, const Settings& settings, double receivedAt,
                                  const std::string& actorHeader) {
  auto refuse = [](int status, std::string reason) {
    return ParsedRequest{std::nullopt, status, std::move(reason)};
  };
  CommandRequest command;
  command.profile = request.path.substr(request.path.rfind('/') + 1);
  auto profile = std::ranges::find(settings.profiles, command.profile, &Profile::name);
  if (profile == settings.profiles.end())
    return refuse(404, "unknown profile");
  command.retrySafety = profile->retrySafety;

  auto id = request.header("req-id");
  if (!id || !isHex16(*id))
    return refuse(400, "Req-Id must be 16 hex digits");
  command.id = *id;
  double waitMs = 0;
  auto waitHeader = request.header("req-wait-ms");
  if (!waitHeader || !readAmount(*waitHeader, kMaxWaitMs, waitMs))
    return refuse(400, "Req-Wait-Ms must be a time in milliseconds");
  command.clientDeadline = receivedAt + waitMs / 1e3;
  // Without a list of tenants all commands belong to one: a queue for each name that clients send would be
  // unbounded.
  if (auto tenant = request.header("req-owner"); tenant && !settings.tenants.empty())
    command.tenant = *tenant;
  bool known = std::ranges::find(settings.tenants, command.tenant, &Tenant::name) != settings.tenants.end();
  if (!settings.tenants.empty() && !known)
    return refuse(400, "Req-Owner names no tenant");
  if (auto users = actorHeader.empty() ? std::nullopt : request.header(actorHeader)) {
    for (auto word : std::views::split(*users, '/'))
      if (command.users.emplace_back(word.begin(), word.end());
          !isWord(command.users.back()) || command.users.size() > kMaxUserLevels)
        return refuse(400, "the actor header must be 1 to 8 words separated by /");
  }
  if (auto work = request.header("req-cost")) {
    if (!readAmount(*work, kMaxWorkMs, command.estimatedWork))
      return refuse(400, "Req-Cost must be a time in milliseconds");
    command.estimatedWork /= 1e3;
  }
  double maxMemoryMb = 0;
  for (auto& kind : settings.engineKinds)
    maxMemoryMb = std::max(maxMemoryMb, kMaxMemoryEngines * kind.memoryMb);
  if (maxMemoryMb <= 0)
    maxMemoryMb = kMaxMemoryMb;
  if (auto memory = request.header("x-ram");
      memory && !readAmount(*memory, maxMemoryMb, command.estimatedMemoryMb))
    return refuse(400, "X-Ram must be a size in MB");
  if (auto key = request.header("req-key")) {
    if (!isHex16(*key))
      return refuse(400, "Req-Key must be 16 hex digits");
    uint64_t value = 0;
    std::from_chars(key->data(), key->data() + key->size(), value, 16);
    command.orderingKey = value;
  }
  if (auto token = request.header("req-token")) {
    if (!isWord(*token))
      return refuse(400, "Req-Token must be one word");
    command.token = *token;
  } else if (profile->retrySafety == RetrySafety::deduplicated) {
    return refuse(400, "Req-Token is missing");  // without it engines could not recognise a repeat
  }
  command.tableGroup = tableGroupOf(request.body).value_or(0);
  command.statement = std::move(request.body);
  return {std::move(command), 0, ""};
}

}  // namespace elmcleat
