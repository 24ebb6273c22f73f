/// \file
/// Waits for a socket until a deadline.

#ifndef ACACIAROAD_HTTP_SOCKETWAIT_H
#define ACACIAROAD_HTTP_SOCKETWAIT_H

#include "Core/Clock.h"

namespace acaciaroad::http {

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
