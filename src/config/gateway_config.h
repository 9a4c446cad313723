// What is ours beside what the platform hands over: a second file, one object a subsystem. The schema in
// schemas/gateway.schema.json says what may stand in it.
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
  std::optional<budget::BudgetSettings> budgets;       // none: the module's own turns decide alone
  std::optional<members::MembershipSettings> members;  // none: this process speaks with no other
  std::optional<shared::LeaseSettings> leases;         // none: budgets are divided equally; else by loans
  std::optional<view::SubsetSettings> subset;          // none: this process uses all engines of the list
};

// Throws ValidationErrors, with all that is wrong.
GatewayConfig readGatewayConfig(const std::string& path);
GatewayConfig readGatewayConfig(const Json& document, const std::string& path);

// The sections by themselves; the laboratory's scenarios hold them too.
budget::BudgetSettings readBudgetSettings(const Section& section);
members::MembershipSettings readMembershipSettings(const Section& section);
view::SubsetSettings readSubsetSettings(const Section& section);
// Members and amounts are those of the whole fleet.
shared::LeaseSettings readLeaseSettings(const Section& section, int members,
                                        const budget::BudgetSettings& budgets);

}  // namespace elmcleat
