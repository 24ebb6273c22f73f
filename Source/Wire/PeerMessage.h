/// \file
/// Messages between nodes.

#ifndef ACACIAROAD_WIRE_PEERMESSAGE_H
#define ACACIAROAD_WIRE_PEERMESSAGE_H

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "Core/Identifiers.h"

namespace acaciaroad::wire {

/// Traffic of one kind between two nodes. Each channel has a connection and a
/// bounded queue of its own, so that bodies never delay lease messages.
enum class Channel : std::uint8_t { Control, Forward };

/// Number of members of Channel.
inline constexpr std::size_t ChannelCount = 2;

/// A message to a peer; one way.
struct PeerMessage {
  Channel On = Channel::Control;
  /// Encoded by the module that uses the channel.
  std::string Header;
  /// Bytes that need no encoding, such as a part of a body; may be empty.
  std::string Payload;
};

/// A received message; the views are valid during the call that passes it.
struct PeerMessageView {
  /// Incarnation of the sender.
  core::InstanceId From;
  /// "ip:port" to which answers go.
  std::string_view ReplyAddress;
  Channel On = Channel::Control;
  std::string_view Header;
  std::string_view Payload;
};

} // namespace acaciaroad::wire

#endif
