/// \file
/// Waits for a socket until a deadline, and receives from it.

#ifndef ACACIAROAD_HTTP_SOCKETWAIT_H
#define ACACIAROAD_HTTP_SOCKETWAIT_H

#include <string>

#include <sys/types.h>

#include "Core/Clock.h"

namespace acaciaroad::http {

/// Receives once, without a wait, and appends what came to \p buffer. Returns
/// what recv() returns, and leaves errno.
ssize_t receiveInto(int descriptor, std::string &buffer);

/// Waits until a read would not block; returns false at \p deadline.
bool waitReadable(int descriptor, core::TimePoint deadline);

/// Waits until a write would not block; returns false at \p deadline.
bool waitWritable(int descriptor, core::TimePoint deadline);

/// Whether bytes, or the end of the stream, are there to be read.
bool isReadable(int descriptor);

/// Whether the other end has closed.
bool hasHungUp(int descriptor);

} // namespace acaciaroad::http

#endif
