#include "oxbowmill/net/broken_pipe.h"

#include <poll.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

#include "oxbowmill/error.h"

namespace oxbowmill::net {

namespace {
bool is_reader_gone(int descriptor) {
  pollfd poll_request{descriptor, POLLOUT, 0};
  return ::poll(&poll_request, 1, 0) > 0 && (poll_request.revents & POLLERR) != 0;
}

[[noreturn]] void end_by_broken_pipe_signal() {
  std::signal(SIGPIPE, SIG_DFL);
  std::raise(SIGPIPE);
  // Only reached if the signal is blocked.
  std::_Exit(EXIT_FAILURE);
}
}  // namespace

void ignore_broken_pipe_signal() {
  struct sigaction current {};
  bool is_default = sigaction(SIGPIPE, nullptr, &current) == 0 && (current.sa_flags & SA_SIGINFO) == 0 &&
                    current.sa_handler == SIG_DFL;
  if (is_default) std::signal(SIGPIPE, SIG_IGN);
}

void flush_standard_output() {
  std::cout.flush();
  if (std::cout) return;
  if (is_reader_gone(STDOUT_FILENO)) end_by_broken_pipe_signal();
  throw Error("standard output cannot be written");
}

}  // namespace oxbowmill::net
