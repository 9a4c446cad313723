// An outlet for tests that look at sends alone: all else that a module wants is passed over.
#pragma once
#include <string>

#include "policy.h"

namespace elmcleat {

struct NullActionSink : ActionSink {
  void setPriorityAndMemory(Command&, int, double) override {}
  void cancel(Command&, int) override {}
  void probe(uint32_t) override {}
  void requestEngineList() override {}
  void scheduleWakeUp(double) override {}
  void log(const std::string&) override {}
};

}  // namespace elmcleat
