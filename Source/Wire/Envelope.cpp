#include "Wire/Envelope.h"

#include <utility>

#include "Wire/Generated/Forward.pb.h"

namespace acaciaroad::wire {

std::string encodeEnvelope(core::InstanceId sender,
                           std::string_view replyAddress, Channel channel,
                           std::string_view header) {
  pb::Envelope envelope;
  envelope.set_sender(sender.Value);
  envelope.set_reply_address(replyAddress.data(), replyAddress.size());
  envelope.set_channel(static_cast<std::uint32_t>(channel));
  envelope.set_header(header.data(), header.size());
  return envelope.SerializeAsString();
}

core::Result<Envelope> decodeEnvelope(std::string_view bytes) {
  pb::Envelope envelope;
  if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return core::fail(core::ErrorKind::CorruptMessage, "no envelope");
  if (envelope.sender() == 0 || envelope.reply_address().empty() ||
      envelope.channel() >= ChannelCount)
    return core::fail(core::ErrorKind::CorruptMessage, "envelope incomplete");
  Envelope out;
  out.Sender = core::InstanceId{envelope.sender()};
  out.ReplyAddress = std::move(*envelope.mutable_reply_address());
  out.On = static_cast<Channel>(envelope.channel());
  out.Header = std::move(*envelope.mutable_header());
  return out;
}

} // namespace acaciaroad::wire
