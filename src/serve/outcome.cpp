#include "serve/outcome.h"

namespace elmcleat {

Outcome outcomeOf(CloseReason ending, bool begun) {
  if (begun)
    return ending == CloseReason::timedOut ? Outcome::timedOut : Outcome::reset;
  switch (ending) {
    // Nothing was tried at the engine, so nothing is said of it.
    case CloseReason::outOfDescriptors:
    case CloseReason::replaced:
    case CloseReason::timedOut:
      return Outcome::notStarted;
    default:
      return Outcome::connectFailed;
  }
}

Outcome outcomeOf(ResponseKind word) {
  switch (word) {
    case ResponseKind::answered:
    case ResponseKind::healthy:
      return Outcome::answered;
    case ResponseKind::overloaded:
      return Outcome::overloaded;
    case ResponseKind::expired:
      return Outcome::notStarted;  // its time was up when it came: it never ran
    default:
      return Outcome::error;
  }
}

}  // namespace elmcleat
