// What a scale run keeps to, and what /proc tells of its processes.
#pragma once
#include <sys/types.h>

#include <set>
#include <string>

namespace elmcleat::lab {

struct Usage {  // sizes in MB
  double cpu = 0, rss = 0, peak = 0, anonymous = 0, threads = 0, descriptors = 0;
};
double cpuOf(pid_t pid);  // seconds on a core, of all its threads
Usage usageOf(pid_t pid);

// The folder of a run. A process of its own removes it, also where this one is killed.
class ScaleFolder {
 public:
  ScaleFolder();
  ScaleFolder(const ScaleFolder&) = delete;
  ScaleFolder& operator=(const ScaleFolder&) = delete;
  ~ScaleFolder();
  std::string path;

 private:
  pid_t pid_;
};

// Of the whole run: its end, its processes and their memory.
struct ScaleBounds {
  static constexpr size_t kMostProcesses = 200;
  double endsAt = 0, mostMb = 0;
  std::set<pid_t> processes;  // but for the tool itself and the one that removes the folder
  void check() const;         // throws ValidationErrors
};

}  // namespace elmcleat::lab
