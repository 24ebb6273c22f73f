/// \file
/// Encodes the control messages between nodes.

#ifndef ACACIAROAD_CODEC_CONTROLCODEC_H
#define ACACIAROAD_CODEC_CONTROLCODEC_H

#include <span>
#include <string>
#include <variant>

#include "Accounts/CreditMessages.h"
#include "Core/Error.h"
#include "Core/Identifiers.h"
#include "Ownership/LeaseMessages.h"
#include "Requests/IdempotencyMessages.h"

namespace acaciaroad::codec {

/// Asks the receiver to tell once it has folded the record at Offset.
struct OffsetQuery {
  core::Offset Offset = 0;
};

struct OffsetReport {
  /// First offset that the sender has not folded.
  core::Offset NextOffset = 0;
};

/// Every kind of control message.
using ControlBody =
    std::variant<ownership::ControlMessage, accounts::CreditAsk,
                 accounts::CreditGrant, accounts::CreditReturn,
                 accounts::CreditHandover, requests::IdempotencyTell,
                 requests::IdempotencyAck, requests::IdempotencyForget,
                 requests::IdempotencyHandoverAsk,
                 requests::IdempotencyHandover, OffsetQuery, OffsetReport>;

/// A control message and the incarnation that sent it.
struct PeerControl {
  core::InstanceId From;
  ControlBody Body;
};

/// Longest control message, in bytes.
inline constexpr std::size_t MaxControlBytes = 1U << 20U;

/// Returns the encoding of \p message.
std::string encode(const PeerControl &message);

/// Decodes a message. CorruptMessage if it is too long, of no known kind or
/// holds a value out of range.
core::Result<PeerControl> decodeControl(std::string_view bytes);

} // namespace acaciaroad::codec

#endif
