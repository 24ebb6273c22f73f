/// \file
/// Everything that a node needs to talk to its peers.

#ifndef ACACIAROAD_WIRE_PEERENDPOINT_H
#define ACACIAROAD_WIRE_PEERENDPOINT_H

#include <atomic>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "Concurrency/WorkerPool.h"
#include "Core/Error.h"
#include "Wire/ForwardClient.h"
#include "Wire/ForwardServer.h"
#include "Wire/PeerTransport.h"

namespace acaciaroad::wire {

/// Settings of a PeerEndpoint.
struct PeerEndpointOptions {
  PeerTransportOptions Transport;
  /// Traffic threads that run calls from other nodes.
  concurrency::WorkerPoolOptions Pool;
  /// Calls of this node to others.
  std::size_t CallLimit = 8192;
};

/// What a PeerEndpoint calls. OnControl and OnControlLost run on the transport
/// thread and must be quick; OnCall runs on a traffic thread.
struct PeerEndpointHooks {
  std::function<void(const PeerMessageView &message)> OnControl;
  /// A control message did not leave, or the control connection broke.
  std::function<void(std::string_view address)> OnControlLost;
  CallHandler OnCall;
};

/// Transport, calls to other nodes and calls from them, wired together.
class PeerEndpoint {
public:
  /// Binds and starts all threads; fails as its parts do.
  static core::Result<std::shared_ptr<PeerEndpoint>>
  create(PeerEndpointOptions options, PeerEndpointHooks hooks);

  PeerEndpoint(const PeerEndpoint &) = delete;
  PeerEndpoint &operator=(const PeerEndpoint &) = delete;
  ~PeerEndpoint();

  /// "ip:port" at which peers reach this node.
  const std::string &address() const { return Transport->replyAddress(); }

  /// Sends a control message to "ip:port" \p address; see
  /// PeerTransport::send().
  core::Result<void> sendControl(std::string_view address, std::string message);

  /// Opens a call; see ForwardClient::open().
  core::Result<std::shared_ptr<ForwardCall>>
  open(std::string_view address, ForwardHead head,
       std::span<const std::byte> body = {}, bool complete = true);

  /// Finishes the calls that run, refuses others, closes all connections.
  void stop();

  PeerTransportCounters transportCounters() const;
  /// Calls to other nodes.
  ForwardCounters clientCounters() const;
  /// Calls from other nodes.
  ForwardCounters serverCounters() const;
  /// Forward frames that could not be decoded.
  std::uint64_t corruptFrames() const { return Corrupt; }

private:
  explicit PeerEndpoint(PeerEndpointHooks hooks);

  core::Result<void> start(PeerEndpointOptions options);
  void receive(const PeerMessageView &message);
  void undelivered(std::string_view address, const PeerMessage &message);
  void peerLost(std::string_view address, Channel channel);

  const PeerEndpointHooks Hooks;
  std::shared_ptr<PeerTransport> Transport;
  std::unique_ptr<ForwardClient> Client;
  std::unique_ptr<ForwardServer> Server;
  std::atomic<std::uint64_t> Corrupt{0};
};

} // namespace acaciaroad::wire

#endif
