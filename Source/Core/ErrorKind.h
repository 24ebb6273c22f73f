/// \file
/// The closed list of error kinds and the table from kind to answer.

#ifndef ACACIAROAD_CORE_ERRORKIND_H
#define ACACIAROAD_CORE_ERRORKIND_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace acaciaroad::core {

/// Every reason for which an operation or a request can fail.
enum class ErrorKind : std::uint8_t {
  // The caller's request is wrong.
  MalformedRequest,
  HeaderTooLarge,
  BodyTooLarge,
  BodyIncomplete,
  UnknownClass,
  KeyMissing,
  KeyUnknown,
  RoutingKeyMissing,
  IdempotencyKeyMissing,
  IdempotencyKeyReused,
  // The request is in order, but not served now.
  RateExceeded,
  CreditUnavailable,
  QueueFull,
  DeadlineTooShort,
  NoOwner,
  NoUpstream,
  UpstreamShedding,
  NodeIsolated,
  NodeStopping,
  OwnerChanged,
  PeerUnreachable,
  DuplicateRequest,
  RegisterFull,
  OutcomeUnknown,
  AnswerIncomplete,
  // Administration and platform.
  Conflict,
  NotAuthorized,
  NotFound,
  InvalidArgument,
  InvalidSettings,
  LogUnavailable,
  LogOutcomeUnknown,
  LogTrimmed,
  CorruptMessage,
  Internal,
  // Nodes of other versions know the numbers: new kinds come last.
  AnswerTooLarge,
};

/// Number of members of ErrorKind.
inline constexpr std::size_t ErrorKindCount =
    static_cast<std::size_t>(ErrorKind::AnswerTooLarge) + 1;

/// Whether the order that a refused request asked for has run.
enum class Ran : std::uint8_t { No, Unknown };

/// What a caller is told about an error.
struct Answer {
  ErrorKind Kind;
  /// Stable identifier, the `kind` member of the problem document.
  std::string_view Name;
  int HttpStatus;
  Ran HasRan;
  /// Whole seconds for `Retry-After`; 0 where waiting does not help.
  int RetryAfterSeconds;
  std::string_view Title;
};

/// Returns the one answer that belongs to \p kind.
const Answer &answerFor(ErrorKind kind);

/// Returns the kind whose name is \p name, or nothing.
std::optional<ErrorKind> errorKindFromName(std::string_view name);

/// Returns "no" or "unknown".
std::string_view toString(Ran ran);

} // namespace acaciaroad::core

#endif
