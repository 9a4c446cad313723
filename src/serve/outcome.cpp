#include "serve/outcome.h"

namespace elmcleat {

Outcome outcomeOf(CloseReason ending, bool begun) {
  if (begun)
    return ending == CloseReason::timedOut ? Outcome::timedOut : Outcome::reset;
  switch (ending) {
    // Nothing was tried at the engine, so nothing is said of it.
    case CloseReason::noDescriptor:
    case CloseReason::replaced:
    case CloseReason::timedOut:
      return Outcome::notStarted;
    default:
      return Outcome::connectFailed;
  }
}

Outcome outcomeOf(Word word) {
  switch (word) {
    case Word::answered:
    case Word::well:
      return Outcome::answered;
    case Word::full:
      return Outcome::overloaded;
    case Word::over:
      return Outcome::notStarted;  // its time was up when it came: it never ran
    default:
      return Outcome::error;
  }
}

}  // namespace elmcleat
