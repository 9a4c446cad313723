#include "serve/outcome.h"

namespace elmcleat {

Outcome outcomeOf(CloseReason reason, bool started) {
  if (started)
    return reason == CloseReason::timedOut ? Outcome::timedOut : Outcome::reset;
  switch (reason) {
    // The engine was not tried, so these say nothing about it.
    case CloseReason::outOfDescriptors:
    case CloseReason::replaced:
    case CloseReason::timedOut:
      return Outcome::notStarted;
    default:
      return Outcome::connectFailed;
  }
}

Outcome outcomeOf(ResponseKind kind) {
  switch (kind) {
    case ResponseKind::answered:
    case ResponseKind::healthy:
      return Outcome::answered;
    case ResponseKind::overloaded:
      return Outcome::overloaded;
    case ResponseKind::expired:
      return Outcome::notStarted;  // its time had run out when it arrived: it never ran
    default:
      return Outcome::error;
  }
}

}  // namespace elmcleat
