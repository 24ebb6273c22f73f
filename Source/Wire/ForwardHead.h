/// \file
/// What nodes tell each other about one request and its answer.

#ifndef ACACIAROAD_WIRE_FORWARDHEAD_H
#define ACACIAROAD_WIRE_FORWARDHEAD_H

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Core/Error.h"
#include "Core/Header.h"
#include "Core/Identifiers.h"

namespace acaciaroad::wire {

using core::Header;

/// How the end of a body is known.
enum class BodyMode : std::uint8_t {
  None,
  /// BodyLength bytes follow.
  Sized,
  /// The length is not known at the start.
  Chunked,
};

/// Number of members of BodyMode.
inline constexpr std::uint32_t BodyModeCount = 3;

/// A request on its way from the entry node to the owning node.
struct ForwardHead {
  /// Chosen by the entry node, unique over the fleet.
  std::string RequestId;
  std::string Method;
  std::string Target;
  std::vector<Header> Headers;
  std::string WorkClass;
  std::string Account;
  std::string Service;
  std::uint64_t KeyHash = 0;
  core::SliceIndex SliceIndex = 0;
  std::string IdempotencyKey;
  /// Time left of the deadline; relative, because clocks differ.
  std::chrono::microseconds DeadlineRemaining{0};
  BodyMode Body = BodyMode::None;
  /// Bytes, for BodyMode::Sized.
  std::uint64_t BodyLength = 0;
  bool operator==(const ForwardHead &) const = default;
};

/// The head of the upstream's answer.
struct AnswerHead {
  int Status = 0;
  std::vector<Header> Headers;
  BodyMode Body = BodyMode::None;
  /// Bytes, for BodyMode::Sized.
  std::uint64_t BodyLength = 0;
  bool operator==(const AnswerHead &) const = default;
};

/// What the owning node answers: the head of its upstream's answer, or the
/// error for which there is none.
using ForwardAnswer = std::variant<AnswerHead, core::Error>;

} // namespace acaciaroad::wire

#endif
