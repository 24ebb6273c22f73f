#include "Programs/Ctl/ExitCode.h"

namespace acaciaroad::ctl {

ExitCode exitCodeFor(core::ErrorKind kind) {
  using core::ErrorKind;
  switch (kind) {
  case ErrorKind::InvalidArgument:
  case ErrorKind::MalformedRequest:
    return ExitCode::Invalid;
  case ErrorKind::Conflict:
    return ExitCode::Conflict;
  case ErrorKind::OutcomeUnknown:
  case ErrorKind::LogOutcomeUnknown:
    return ExitCode::Unknown;
  case ErrorKind::PeerUnreachable:
  case ErrorKind::LogUnavailable:
  case ErrorKind::QueueFull:
    return ExitCode::Unavailable;
  case ErrorKind::KeyMissing:
  case ErrorKind::KeyUnknown:
  case ErrorKind::NotAuthorized:
    return ExitCode::NotAuthorized;
  case ErrorKind::NotFound:
    return ExitCode::NotFound;
  default:
    return ExitCode::Failed;
  }
}

} // namespace acaciaroad::ctl
