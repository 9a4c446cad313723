// The ids of commands that may have run at an engine and must not run twice: a command that comes again under
// such an id is refused, even if its client has left before the answer. Told the time; performs no I/O.
#pragma once
#include <string>

#include "protocol/http.h"
#include "serve/recent_ids.h"

namespace elmcleat {

class ExecutedCommands {
 public:
  // Far longer than any client repeats a command.
  static constexpr double kRetentionSeconds = 600;
  static constexpr size_t kMaxIds = 65'536;  // bounds the memory, some 7 MB

  void add(const std::string& id, double now) {
    ids_.add(toLower(id), now);
    ids_.forgetBefore(now - kRetentionSeconds);
    ids_.keepLatest(kMaxIds);
  }
  // Ids are hex digits, of which the case doesn't matter.
  bool contains(const std::string& id, double now) {
    ids_.forgetBefore(now - kRetentionSeconds);
    return ids_.contains(toLower(id));
  }

 private:
  RecentIds ids_;
};

}  // namespace elmcleat
