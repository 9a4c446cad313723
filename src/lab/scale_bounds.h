// Limits that a scale run enforces on itself, its temporary folder, and resource usage of processes from
// /proc.
#pragma once
#include <sys/types.h>

#include <set>
#include <string>

namespace elmcleat::lab {

struct ProcessUsage {  // memory in MB
  double cpuSeconds = 0;
  double rss = 0;
  double peakRss = 0;
  double anonymous = 0;
  double threads = 0;
  double descriptors = 0;
};
double cpuSecondsOf(pid_t pid);  // CPU time of all threads
ProcessUsage usageOf(pid_t pid);

// The temporary folder of a run. A separate process removes it, so that it is removed even if this process is
// killed.
class ScaleFolder {
 public:
  ScaleFolder();
  ScaleFolder(const ScaleFolder&) = delete;
  ScaleFolder& operator=(const ScaleFolder&) = delete;
  ~ScaleFolder();
  std::string path;

 private:
  pid_t cleanerPid_;
};

// Limits of the whole run: its deadline, the number of its processes and their memory.
struct ScaleBounds {
  static constexpr size_t kMaxProcesses = 200;
  double deadline = 0;  // as secondsNow()
  double maxMemoryMb = 0;
  std::set<pid_t> processes;  // without the tool itself and the process that removes the folder
  void check() const;         // throws ValidationErrors
};

}  // namespace elmcleat::lab
