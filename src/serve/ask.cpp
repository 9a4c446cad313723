#include "serve/ask.h"

#include <algorithm>
#include <charconv>
#include <cmath>
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

bool readAmount(const std::string& text, double& value) {
  auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
  return !text.empty() && fault == std::errc() && end == text.data() + text.size() && std::isfinite(value) &&
         value >= 0 && value < 1e12;
}

}  // namespace

Reading readAsk(HttpRequest&& request, const Settings& settings, double came) {
  auto refuse = [](int status, std::string why) { return Reading{std::nullopt, status, std::move(why)}; };
  Ask ask;
  ask.profile = request.path.substr(request.path.rfind('/') + 1);
  auto profile = std::ranges::find(settings.profiles, ask.profile, &Profile::name);
  if (profile == settings.profiles.end()) return refuse(404, "unknown profile");

  auto* id = request.header("req-id");
  if (!id || !isHex16(*id)) return refuse(400, "Req-Id must be 16 hex digits");
  ask.id = *id;
  double wait = 0;
  auto* left = request.header("req-wait-ms");
  if (!left || !readAmount(*left, wait)) return refuse(400, "Req-Wait-Ms must be a time in milliseconds");
  ask.endsAt = came + wait / 1e3;
  if (auto* tenant = request.header("req-owner")) ask.tenant = *tenant;
  bool known = std::ranges::find(settings.tenants, ask.tenant, &Tenant::name) != settings.tenants.end();
  if (!settings.tenants.empty() && !known) return refuse(400, "Req-Owner names no tenant");
  if (auto* work = request.header("req-cost")) {
    if (!readAmount(*work, ask.work)) return refuse(400, "Req-Cost must be a time in milliseconds");
    ask.work /= 1e3;
  }
  if (auto* memory = request.header("x-ram"); memory && !readAmount(*memory, ask.memoryMb))
    return refuse(400, "X-Ram must be a size in MB");
  if (auto* key = request.header("req-key")) {
    if (!isHex16(*key)) return refuse(400, "Req-Key must be 16 hex digits");
    uint64_t number = 0;
    std::from_chars(key->data(), key->data() + key->size(), number, 16);
    ask.key = number;
  }
  if (auto* token = request.header("req-token")) {
    if (!isWord(*token)) return refuse(400, "Req-Token must be one word");
    ask.token = *token;
  } else if (profile->effect == Effect::uniqued) {
    return refuse(400, "Req-Token is missing");  // without it engines could not know a repeat
  }
  ask.tables = tablesOf(request.body).value_or(0);
  ask.statement = std::move(request.body);
  return {std::move(ask), 0, ""};
}

}  // namespace elmcleat
