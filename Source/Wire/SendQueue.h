/// \file
/// The bounded queue through which threads hand messages to the transport.

#ifndef ACACIAROAD_WIRE_SENDQUEUE_H
#define ACACIAROAD_WIRE_SENDQUEUE_H

#include <array>
#include <cstddef>
#include <mutex>
#include <string>
#include <vector>

#include "Wire/PeerMessage.h"

namespace acaciaroad::wire {

/// A message and the peer it is for.
struct OutgoingMessage {
  /// "ip:port".
  std::string Address;
  PeerMessage Message;
};

/// A queue with one reader that waits on a descriptor. Each channel has its
/// own bound, so that traffic cannot crowd out control messages.
class SendQueue {
public:
  /// \p limit is the number of messages that may wait on one channel.
  explicit SendQueue(std::size_t limit);
  SendQueue(const SendQueue &) = delete;
  SendQueue &operator=(const SendQueue &) = delete;
  ~SendQueue();

  /// Whether the system granted the descriptor.
  bool isOpen() const { return Descriptor >= 0; }

  /// The descriptor that is readable while wake-ups are pending.
  int descriptor() const { return Descriptor; }

  /// Queues \p message; returns false if its channel is full or close() was
  /// called.
  [[nodiscard]] bool push(OutgoingMessage message);

  /// Takes everything, control messages first, and clears the descriptor.
  std::vector<OutgoingMessage> takeAll();

  /// Refuses further messages and wakes the reader.
  void close();

  bool isClosed();

private:
  void wake() const;

  const std::size_t Limit;
  int Descriptor;
  std::mutex Mutex;
  std::array<std::vector<OutgoingMessage>, ChannelCount> Waiting;
  bool Closed = false;
};

} // namespace acaciaroad::wire

#endif
