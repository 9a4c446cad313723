// The control thread: state that many processes share, kept apart from traffic, with a scheduler of its own. Traffic
// reads the latest view without waiting and judges it by its age; a control thread that hangs or ends costs what it
// tells, never a command. Absent unless the gateway file asks for it: no thread, no socket.
#pragma once
#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include "members/plan.h"
#include "members/view.h"
#include "runtime/latest.h"
#include "runtime/scheduler.h"

namespace elmcleat {

class Control {
 public:
  // Binds the sockets, so that the start ends with what is wrong: members::Fault. `name` is this process's; the clock is
  // that of both threads, so that ages can be told.
  Control(const Clock& clock, const members::Plan& plan, const std::string& name, uint64_t seed);
  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;
  ~Control();

  // All that follows is for the traffic thread. The latest view, or null where there is none or it is too old to act on.
  const members::View* latest(double now);
  // Looks now and then whether the control thread still tells something, and logs when that changes.
  void watch(Scheduler& traffic);

  // Says goodbye to the others and ends the thread. It is given a bounded time; false: it hangs, and can't be waited for.
  bool stop();

 private:
  struct Inside;
  void run();
  Task leave(Inside& inside, const Descriptor& wake);

  const Clock& clock_;
  double startedAt_;
  std::unique_ptr<Inside> inside_;
  Latest<members::View> views_;
  std::atomic<bool> ended_{false};
  int wake_ = -1;  // an eventfd: stop() has been called
  bool silent_ = false;
  std::unique_ptr<Timer> watch_;
  std::thread thread_;
};

}  // namespace elmcleat
