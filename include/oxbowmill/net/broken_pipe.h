// Writes to connections and pipes whose other end is gone. The functions change the state of the whole
// process.
#pragma once

namespace oxbowmill::net {

/// From now on, a write to a connection or pipe whose other end is gone fails with EPIPE, where the default
/// action of SIGPIPE would end the process. If the program has installed a handler of its own, it stays.
void ignore_broken_pipe_signal();

/// Writes what std::cout holds. Ends the process by SIGPIPE if nobody reads standard output any more, as
/// command-line tools do. Throws oxbowmill::Error if it cannot be written for another reason.
void flush_standard_output();

}  // namespace oxbowmill::net
