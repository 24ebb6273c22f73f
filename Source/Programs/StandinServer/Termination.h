/// \file
/// Ends a program on SIGTERM or SIGINT without a signal handler.

#ifndef ACACIAROAD_STANDINSERVER_TERMINATION_H
#define ACACIAROAD_STANDINSERVER_TERMINATION_H

namespace acaciaroad::standin {

/// Blocks the signals for this thread and those it starts afterwards; called
/// first in main.
void blockTerminationSignals();

/// Waits for one of the signals.
void waitForTermination();

} // namespace acaciaroad::standin

#endif
