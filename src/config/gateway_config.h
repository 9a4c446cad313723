// The gateway's own configuration file, in addition to the one that the platform provides: one object for
// each subsystem, validated against schemas/gateway.schema.json.
#pragma once
#include <optional>
#include <string>

#include "budget/budget_settings.h"
#include "config/schema.h"
#include "members/membership_settings.h"
#include "shared/lease_manager.h"
#include "view/subset_settings.h"

namespace elmcleat {

struct GatewayConfig {
  std::optional<budget::BudgetSettings> budgets;       // none: only the policy's own turns apply
  std::optional<members::MembershipSettings> members;  // none: this process communicates with no other
  std::optional<shared::LeaseSettings> leases;         // none: budgets are divided equally; else by leases
  std::optional<view::SubsetSettings> subset;          // none: this process uses all listed engines
};

// Throws ValidationErrors with all errors. `path` is the file's name in the messages.
GatewayConfig readGatewayConfig(const std::string& path);
GatewayConfig readGatewayConfig(const Json& document, const std::string& path);

// Single sections; the laboratory's scenarios contain them too.
budget::BudgetSettings readBudgetSettings(const Section& section);
members::MembershipSettings readMembershipSettings(const Section& section);
view::SubsetSettings readSubsetSettings(const Section& section);
// `memberCount` and the amounts in `budgets` are those of the whole fleet.
shared::LeaseSettings readLeaseSettings(const Section& section, int memberCount,
                                        const budget::BudgetSettings& budgets);

}  // namespace elmcleat
