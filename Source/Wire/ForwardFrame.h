/// \file
/// Frames of the forwarding protocol and their coding.

#ifndef ACACIAROAD_WIRE_FORWARDFRAME_H
#define ACACIAROAD_WIRE_FORWARDFRAME_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "Core/Error.h"
#include "Wire/ForwardHead.h"

namespace acaciaroad::wire {

/// Bytes of body in one frame at most.
inline constexpr std::size_t ChunkLimitBytes = std::size_t{64} * 1024;

/// Bytes of body on the way in one direction of one call at most.
inline constexpr std::size_t WindowBytes = std::size_t{256} * 1024;

/// Opens a call; the payload is the start of the body.
struct OpenFrame {
  ForwardHead Head;
  bool BodyComplete = false;
};

/// The payload is a part of a body.
struct DataFrame {
  bool Last = false;
};

/// The receiver has room for more bytes.
struct CreditFrame {
  std::uint32_t Bytes = 0;
};

/// Starts the answer; the payload is the start of its body.
struct AnswerFrame {
  std::string RequestId;
  AnswerHead Head;
  bool BodyComplete = false;
};

/// Ends the call without an upstream's answer.
struct RefusalFrame {
  std::string RequestId;
  core::Error Why;
};

/// The sender gives the call up.
struct CancelFrame {};

/// A frame of one call.
struct ForwardFrame {
  /// Chosen by the opener.
  std::uint64_t Call = 0;
  /// Hash of the request id.
  std::uint64_t RequestCheck = 0;
  /// Whether the frame goes from the opener to the owner.
  bool ToOwner = false;
  std::variant<OpenFrame, DataFrame, CreditFrame, AnswerFrame, RefusalFrame,
               CancelFrame>
      Kind;
};

/// Returns the encoded frame.
std::string encodeFrame(const ForwardFrame &frame);

/// Decodes \p bytes; fails with CorruptMessage, also for values out of range.
core::Result<ForwardFrame> decodeFrame(std::string_view bytes);

} // namespace acaciaroad::wire

#endif
