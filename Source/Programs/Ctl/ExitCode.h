/// \file
/// The exit codes of acaciactl.

#ifndef ACACIAROAD_PROGRAMS_CTL_EXITCODE_H
#define ACACIAROAD_PROGRAMS_CTL_EXITCODE_H

#include "Core/ErrorKind.h"

namespace acaciaroad::ctl {

/// Stable; documented in `acaciactl --help` and docs/OPERATIONS.md.
enum class ExitCode : int {
  Done = 0,
  Failed = 1,
  Usage = 2,
  Invalid = 3,
  /// The item changed since it was read; nothing was done.
  Conflict = 4,
  /// The change may have been made; repeat with the same --change_id.
  Unknown = 5,
  /// Nothing was done; no node or no log answers.
  Unavailable = 6,
  NotAuthorized = 7,
  NotFound = 8,
  /// Accepted, but not in force everywhere within --wait_seconds.
  NotInForce = 9,
};

/// Returns the code for a failed call.
ExitCode exitCodeFor(core::ErrorKind kind);

} // namespace acaciaroad::ctl

#endif
