#include "lab/hollow.h"

#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

#include "runtime/stream.h"

namespace elmcleat::lab {
namespace {

constexpr unsigned kMaxLifetimeSeconds = 1800;

}  // namespace

void endWith(pid_t parent, unsigned seconds) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent)
    _exit(0);
  alarm(seconds);
}

Child::Child(const std::function<void(int)>& body) {
  int ends[2];
  if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends) < 0)
    throw std::system_error(errno, std::generic_category(), "socketpair");
  pid_t parent = getpid();
  pid_ = fork();
  if (pid_ < 0)
    throw std::system_error(errno, std::generic_category(), "fork");
  if (pid_ == 0) {
    endWith(parent, kMaxLifetimeSeconds);
    ::close(ends[0]);
    body(ends[1]);
    _exit(0);
  }
  ::close(ends[1]);
  orders_ = ends[0];
}
Child::~Child() {
  ::kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  ::close(orders_);
}
void Child::order(const std::string& line) const {
  std::string bytes = line + "\n";
  (void)!send(orders_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

uint16_t portOf(int listener) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}
int listenOnFreePort() { return listenOn({INADDR_ANY, 0}); }

}  // namespace elmcleat::lab
