// Every way in which a connection, or an exchange on it, can end: one value of this type.
#pragma once

namespace elmcleat {

enum class CloseReason {
  none,              // it has not ended
  refused,           // nobody listens there, or there is no way there
  connectTimedOut,   // it did not come up in time
  outOfDescriptors,  // we are out of descriptors
  closed,            // closed by the other side
  reset,             // broken by the other side or by the network
  malformed,         // what came can't be read
  bufferFull,        // more came, or waits to go out, than a buffer may hold
  idle,              // closed by us with nothing open on it
  unresponsive,      // closed by us: nothing came for too long
  incomplete,        // closed by us: a part of a message came, and the rest did not
  replaced,          // closed by us: who is there drains, is gone, or has been replaced by another
  timedOut,          // the exchange alone: its time is up
};
constexpr const char* nameOf(CloseReason ending) {
  constexpr const char* names[] = {"none",     "refused", "connect timed out", "out of descriptors",
                                   "closed",   "reset",   "garbled",           "overfull",
                                   "idle",     "silent",  "cut short",         "replaced",
                                   "timed out"};
  return names[static_cast<int>(ending)];
}

}  // namespace elmcleat
