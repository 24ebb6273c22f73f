/// \file
/// The thread of the peer transport.

#ifndef ACACIAROAD_WIRE_TRANSPORTLOOP_H
#define ACACIAROAD_WIRE_TRANSPORTLOOP_H

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include <zmq.hpp>

#include "Core/Clock.h"
#include "Wire/CurveAuthenticator.h"
#include "Wire/PeerConnection.h"
#include "Wire/PeerTransportOptions.h"
#include "Wire/SendQueue.h"

namespace acaciaroad::wire {

/// Owns the sockets. All members but bind(), counters() and the constructor
/// run on the transport thread. It waits in epoll for the descriptors of
/// libzmq, which signal changes; each signal is followed by reading the events
/// and by work until the socket has none left.
class TransportLoop {
public:
  /// The references must outlive the loop.
  TransportLoop(const PeerTransportOptions &options,
                const PeerTransportHooks &hooks, SendQueue &queue);
  TransportLoop(const TransportLoop &) = delete;
  TransportLoop &operator=(const TransportLoop &) = delete;
  ~TransportLoop();

  /// Binds and returns "ip:port"; throws zmq::error_t.
  std::string bind();

  /// Runs until the queue is closed; \p replyAddress goes with every message.
  void run(const std::string &replyAddress);

  /// Callable from any thread; QueueFull is left at 0.
  PeerTransportCounters counters() const;

private:
  using ConnectionId = std::uint64_t;
  using PeerKey = std::pair<std::string, Channel>;

  struct AtomicCounters {
    std::atomic<std::uint64_t> Sent{0};
    std::atomic<std::uint64_t> Received{0};
    std::atomic<std::uint64_t> Corrupt{0};
    std::atomic<std::uint64_t> Undelivered{0};
    std::atomic<std::uint64_t> PeersLost{0};
    std::atomic<std::uint64_t> PeersRefused{0};
    std::atomic<std::uint64_t> OpenConnections{0};
    std::atomic<std::uint64_t> WakeUps{0};
  };

  void watch(int descriptor, std::uint64_t tag) const;
  void unwatch(int descriptor) const;
  void waitAndServe();
  void serve(std::uint64_t tag);
  int waitMilliseconds() const;

  void sendQueued();
  void sendOne(OutgoingMessage &out);
  PeerConnection *connectionTo(const std::string &address, Channel channel);
  ConnectionId connect(const std::string &address, Channel channel);
  void checkConnection(ConnectionId id);
  void loseConnection(ConnectionId id);
  void eraseConnection(ConnectionId id);
  void reportUndelivered(std::string_view address, const PeerMessage &message);
  void sweep();
  void closeAll();

  void receiveSome();
  bool receiveOne();
  void handOver(std::string_view envelope, std::string_view payload);

  const PeerTransportOptions &Options;
  const PeerTransportHooks &Hooks;
  SendQueue &Queue;
  zmq::context_t Context;
  zmq::socket_t Router;
  std::optional<CurveAuthenticator> Authenticator;
  int Epoll = -1;
  std::string ReplyAddress;
  std::unordered_map<ConnectionId, std::unique_ptr<PeerConnection>> Connections;
  std::map<PeerKey, ConnectionId> ByPeer;
  std::map<PeerKey, core::TimePoint> FailedUntil;
  ConnectionId LastId = 0;
  core::TimePoint Now;
  core::TimePoint NextSweep = core::TimePoint::max();
  bool MoreToReceive = false;
  AtomicCounters Counters;
};

} // namespace acaciaroad::wire

#endif
