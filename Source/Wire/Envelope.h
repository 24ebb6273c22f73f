/// \file
/// Coding of the first part of every message between nodes.

#ifndef ACACIAROAD_WIRE_ENVELOPE_H
#define ACACIAROAD_WIRE_ENVELOPE_H

#include <string>
#include <string_view>

#include "Core/Error.h"
#include "Wire/PeerMessage.h"

namespace acaciaroad::wire {

/// What an envelope says.
struct Envelope {
  core::InstanceId Sender;
  std::string ReplyAddress;
  Channel On = Channel::Control;
  std::string Header;
};

/// Returns the encoded envelope.
std::string encodeEnvelope(core::InstanceId sender,
                           std::string_view replyAddress, Channel channel,
                           std::string_view header);

/// Decodes \p bytes; fails with CorruptMessage.
core::Result<Envelope> decodeEnvelope(std::string_view bytes);

} // namespace acaciaroad::wire

#endif
