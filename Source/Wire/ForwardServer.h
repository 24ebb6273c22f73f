/// \file
/// The owning node's side of forwarding.

#ifndef ACACIAROAD_WIRE_FORWARDSERVER_H
#define ACACIAROAD_WIRE_FORWARDSERVER_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "Concurrency/WorkerPool.h"
#include "Core/Error.h"
#include "Wire/CallTable.h"
#include "Wire/ForwardCall.h"
#include "Wire/ForwardClient.h"
#include "Wire/ForwardFrame.h"
#include "Wire/PeerMessage.h"

namespace acaciaroad::wire {

/// Runs for each call on a traffic thread. A call that it drops unanswered is
/// refused with Internal.
using CallHandler = std::function<void(std::shared_ptr<ForwardCall> call)>;

/// Takes calls from entry nodes and runs them on a bounded pool of threads.
class ForwardServer {
public:
  /// Starts the pool; fails as WorkerPool::create() does.
  static core::Result<std::unique_ptr<ForwardServer>>
  create(SendFunction send, concurrency::WorkerPoolOptions pool,
         CallHandler onCall);

  /// Takes a frame from an opener. A call for which there is no thread and no
  /// place in the queue is refused with QueueFull.
  void receive(const PeerMessageView &message, ForwardFrame frame);

  /// A frame of a call did not leave this node.
  void undelivered(std::string_view address, const ForwardFrame &frame);

  /// The node at \p address was lost; its calls are cancelled.
  void peerLost(std::string_view address);

  /// Refuses new calls with NodeStopping and waits for those that run.
  void stop();

  ForwardCounters counters() const;

private:
  ForwardServer(SendFunction send,
                std::unique_ptr<concurrency::WorkerPool> pool,
                std::size_t callLimit, CallHandler onCall);

  void open(const PeerMessageView &message, ForwardFrame frame);
  void refuse(const PeerMessageView &message, const ForwardFrame &frame,
              core::ErrorKind kind);

  const SendFunction Send;
  const CallHandler OnCall;
  const std::unique_ptr<concurrency::WorkerPool> Pool;
  /// Shared with the calls, which remove themselves.
  const std::shared_ptr<CallTable> Calls;
  std::atomic<bool> Stopping{false};
  std::atomic<std::uint64_t> Opened{0};
  std::atomic<std::uint64_t> LateOrCrossed{0};
  std::atomic<std::uint64_t> QueueFull{0};
};

} // namespace acaciaroad::wire

#endif
