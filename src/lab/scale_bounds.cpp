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

double cpuOf(pid_t pid) {
  double sum = 0, ns = 0;
  std::error_code gone;
  for (auto& task : std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/task", gone))
    if (std::ifstream(task.path() / "schedstat") >> ns)
      sum += ns / 1e9;
  return sum;
}

Usage usageOf(pid_t pid) {
  Usage usage;
  std::string base = "/proc/" + std::to_string(pid), word;
  usage.cpu = cpuOf(pid);
  std::ifstream file(base + "/status");
  for (double value = 0; file >> word;) {
    if (word == "VmRSS:" && file >> value)
      usage.rss = value / 1024;
    if (word == "VmHWM:" && file >> value)
      usage.peak = value / 1024;
    if (word == "RssAnon:" && file >> value)
      usage.anonymous = value / 1024;
    if (word == "Threads:" && file >> value)
      usage.threads = value;
  }
  std::error_code gone;
  for (auto at = std::filesystem::directory_iterator(base + "/fd", gone); at != end(at); ++at)
    ++usage.descriptors;
  return usage;
}

ScaleFolder::ScaleFolder() {
  char name[] = "/tmp/elmcleat-scale-XXXXXX";
  if (!mkdtemp(name))
    throw ValidationErrors({std::string(name) + ": can't be made"});
  path = name;
  sigset_t heeded, old;
  sigemptyset(&heeded), sigaddset(&heeded, SIGUSR1);
  sigprocmask(SIG_BLOCK, &heeded, &old);
  pid_t parent = getpid();
  pid_ = fork();
  if (pid_ == 0) {
    setpgid(0, 0);  // what interrupts the tool from a terminal is not for this one
    prctl(PR_SET_PDEATHSIG, SIGUSR1);
    if (int signal = 0; getppid() == parent)
      sigwait(&heeded, &signal);
    usleep(200'000);  // all others end, and write no more
    std::error_code fault;
    std::filesystem::remove_all(path, fault);
    _exit(0);
  }
  sigprocmask(SIG_SETMASK, &old, nullptr);
}
ScaleFolder::~ScaleFolder() {
  ::kill(pid_, SIGUSR1);
  waitpid(pid_, nullptr, 0);
}

void ScaleBounds::check() const {
  if (secondsNow() > endsAt)
    throw ValidationErrors({"mostSeconds: the run has taken longer than it was told to"});
  if (processes.size() + 2 > kMostProcesses)
    throw ValidationErrors({"more than 200 processes"});
  double sum = 0;
  for (pid_t pid : processes) {
    double pages = 0, skipped = 0;
    std::ifstream("/proc/" + std::to_string(pid) + "/statm") >> skipped >> pages;
    sum += pages * double(sysconf(_SC_PAGESIZE)) / (1 << 20);
  }
  if (sum > mostMb)
    throw ValidationErrors(
        {"the processes hold " + std::to_string(int(sum)) + " MB, over half of the machine's memory"});
}

}  // namespace elmcleat::lab
