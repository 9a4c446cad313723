// Tests of the gateway's own configuration file: the published examples, and the reporting of errors.
#include <doctest/doctest.h>

#include <algorithm>

#include "config/gateway_config.h"

using namespace elmcleat;

TEST_CASE("the example gateway file is valid") {
  auto config = readGatewayConfig(std::string(EXAMPLES) + "gateway.example.json");
  REQUIRE(config.budgets);
  const budget::BudgetSettings& budgets = *config.budgets;
  CHECK_EQ(budgets.actorHeader, "X-User");
  CHECK_EQ(budgets.preemptionMode, budget::PreemptionMode::lowerPriority);
  CHECK(budgets.adviseRetryAfter);
  REQUIRE_EQ(budgets.entries.size(), 5);
  CHECK_EQ(budgets.entries[1].settings.guarantee.cores, 16);
  CHECK_EQ(budgets.entries[1].settings.burst, 5);
  CHECK_EQ(budgets.entries[1].settings.agingThreshold, 2);                       // the default's
  CHECK_EQ(budget::parentOf(budgets, budgets.entries[2]), &budgets.entries[1]);  // by its path
  CHECK_FALSE(readGatewayConfig(Json::object(), "empty").budgets);
}

TEST_CASE("the example file of a fleet: members, and the rates that they share by leases") {
  auto config = readGatewayConfig(std::string(EXAMPLES) + "gateway.members.example.json");
  REQUIRE((config.members && config.budgets && config.leases));
  CHECK_EQ(config.members->peers[2].name, "n3");
  CHECK_EQ(formatAddress(config.members->peers[2].address), "10.0.0.6:4300");
  CHECK_EQ(config.leases->memberCount, 3);
  CHECK((config.leases->quotas == std::vector<double>{16, 8, 20}));
  auto rates = budget::fleetRates(*config.budgets);
  CHECK_EQ(rates[2].name(), "partners#ceiling");
}

TEST_CASE("errors of the schema and of the budgets are reported all at once, each with its file and key") {
  auto document = Json::parse(R"({"budgets": {"agedPrat": 0.2, "nodes": [
    {"name": "a", "ceiling": {"core": 1}}, {"name": "b", "parent": "c"}, {"parent": "a"}]}})");
  std::vector<std::string> messages;
  try {
    readGatewayConfig(document, "f.json");
  } catch (const ValidationErrors& errors) {
    messages = errors.messages;
  }
  auto countStartingWith = [&](const char* start) {
    return std::ranges::count_if(messages, [&](auto& message) { return message.starts_with(start); });
  };
  CHECK_EQ(countStartingWith("f.json: budgets.agedPrat: unknown key; the nearest known key is 'agedPart'"),
           1);
  CHECK_EQ(countStartingWith(
               "f.json: budgets.nodes[0].ceiling.core: unknown key; the nearest known key is 'cores'"),
           1);
  CHECK_EQ(countStartingWith(
               "f.json: budgets.nodes[2]: found {\"parent\":\"a\"}; Missing required property 'name'"),
           1);
}
