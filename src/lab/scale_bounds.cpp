#include "lab/scale_bounds.h"

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "config/schema.h"
#include "lab/hollow.h"

namespace elmcleat::lab {

double cpuSecondsOf(pid_t pid) {
  double sum = 0;
  double nanoseconds = 0;
  std::error_code ignored;
  for (auto& task : std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/task", ignored))
    if (std::ifstream(task.path() / "schedstat") >> nanoseconds)
      sum += nanoseconds / 1e9;
  return sum;
}

ProcessUsage usageOf(pid_t pid) {
  ProcessUsage usage;
  std::string base = "/proc/" + std::to_string(pid);
  std::string key;
  usage.cpuSeconds = cpuSecondsOf(pid);
  std::ifstream file(base + "/status");
  for (double value = 0; file >> key;) {
    if (key == "VmRSS:" && file >> value)
      usage.rss = value / 1024;
    if (key == "VmHWM:" && file >> value)
      usage.peakRss = value / 1024;
    if (key == "RssAnon:" && file >> value)
      usage.anonymous = value / 1024;
    if (key == "Threads:" && file >> value)
      usage.threads = value;
  }
  std::error_code ignored;
  for (auto entry = std::filesystem::directory_iterator(base + "/fd", ignored); entry != end(entry); ++entry)
    ++usage.descriptors;
  return usage;
}

ScaleFolder::ScaleFolder() {
  char name[] = "/tmp/elmcleat-scale-XXXXXX";
  if (!mkdtemp(name))
    throw ValidationErrors({std::string(name) + ": can't be made"});
  path = name;
  sigset_t removalSignal;
  sigset_t old;
  sigemptyset(&removalSignal);
  sigaddset(&removalSignal, SIGUSR1);
  sigprocmask(SIG_BLOCK, &removalSignal, &old);
  pid_t parent = getpid();
  cleanerPid_ = fork();
  if (cleanerPid_ == 0) {
    setpgid(0, 0);  // signals from the terminal, such as Ctrl+C, must not end this process
    prctl(PR_SET_PDEATHSIG, SIGUSR1);
    if (int signal = 0; getppid() == parent)
      sigwait(&removalSignal, &signal);
    constexpr useconds_t kExitWaitMicroseconds = 200'000;
    usleep(kExitWaitMicroseconds);  // until the other processes have exited and write no more files
    std::error_code ignored;
    std::filesystem::remove_all(path, ignored);
    _exit(0);
  }
  sigprocmask(SIG_SETMASK, &old, nullptr);
}
ScaleFolder::~ScaleFolder() {
  ::kill(cleanerPid_, SIGUSR1);
  waitpid(cleanerPid_, nullptr, 0);
}

void ScaleBounds::check() const {
  if (secondsNow() > deadline)
    throw ValidationErrors({"mostSeconds: the run has taken longer than it was told to"});
  if (processes.size() + 2 > kMaxProcesses)
    throw ValidationErrors({"more than 200 processes"});
  double sum = 0;
  for (pid_t pid : processes) {
    double pages = 0;
    double skipped = 0;
    std::ifstream("/proc/" + std::to_string(pid) + "/statm") >> skipped >> pages;
    sum += pages * double(sysconf(_SC_PAGESIZE)) / (1 << 20);
  }
  if (sum > maxMemoryMb)
    throw ValidationErrors(
        {"the processes hold " + std::to_string(int(sum)) + " MB, over half of the machine's memory"});
}

}  // namespace elmcleat::lab
