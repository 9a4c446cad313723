// Why a connection, or a single exchange on it, ended.
#pragma once

namespace elmcleat {

enum class CloseReason {
  none,              // still open
  refused,           // nothing listens at the address, or there is no route to it
  connectTimedOut,   // not established within the connect timeout
  outOfDescriptors,  // this process has no descriptor or memory left for it
  closed,            // closed by the peer
  reset,             // reset by the peer or broken by the network
  malformed,         // the peer sent something that can't be parsed
  bufferFull,        // the input or the output exceeded the bound of its buffer
  idle,              // closed by us: no exchange open, or the client did not take its response in time
  unresponsive,      // closed by us: nothing was received for too long
  incomplete,        // closed by us: a message was received in part, and its rest did not follow
  replaced,          // closed by us: the peer drains, was removed, or was replaced by another
  // Of an exchange: its time limit expired, or it was cancelled or withdrawn. Of a connection: closed by us
  // because its only exchange was abandoned or took too long.
  timedOut,
};

// The name as written to the log.
constexpr const char* nameOf(CloseReason reason) {
  constexpr const char* names[] = {"none",     "refused", "connect timed out", "out of descriptors",
                                   "closed",   "reset",   "garbled",           "overfull",
                                   "idle",     "silent",  "cut short",         "replaced",
                                   "timed out"};
  return names[static_cast<int>(reason)];
}

}  // namespace elmcleat
