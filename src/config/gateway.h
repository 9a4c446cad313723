// What is ours beside what the platform hands over: a second file, one object a subsystem. The schema in
// schemas/gateway.schema.json says what may stand in it.
#pragma once
#include <optional>
#include <string>

#include "budget/plan.h"
#include "config/schema.h"
#include "members/plan.h"
#include "shared/loans.h"
#include "view/plan.h"

namespace elmcleat {

struct GatewayConfig {
  std::optional<budget::Plan> budgets;      // none: the module's own turns decide alone
  std::optional<members::Plan> members;     // none: this process speaks with no other
  std::optional<shared::LoanTerms> shared;  // none: budgets are divided equally; else by loans
  std::optional<view::Plan> view;           // none: this process uses all engines of the list
};

// Throws Faults, with all that is wrong.
GatewayConfig readGateway(const std::string& path);
GatewayConfig readGateway(const Json& document, const std::string& path);

// The sections by themselves; the laboratory's scenarios hold them too.
budget::Plan readBudgets(const Section& section);
members::Plan readMembers(const Section& section);
view::Plan readView(const Section& section);
// Members and amounts are those of the whole fleet.
shared::LoanTerms readShared(const Section& section, int members, const budget::Plan& budgets);

}  // namespace elmcleat
