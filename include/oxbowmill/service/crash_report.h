// One line on standard error for a program that ends by a signal or by an exception that nothing catches.
#pragma once

namespace oxbowmill::service {

/// From now on, a fatal signal or an uncaught exception leaves a line with the signal or exception, the
/// message that was being handled and the version. The program then ends as it would have without the line.
/// The line needs no stack of the thread that calls this: an exhausted stack is reported too.
void report_crashes();

/// Logs that the program ends because of an exception that left the event loop, or the start of the program.
void log_failure(const char* reason);

}  // namespace oxbowmill::service
