/// \file
/// HTTP clients for other nodes.

#ifndef ACACIAROAD_PROXY_PEERCLIENTS_H
#define ACACIAROAD_PROXY_PEERCLIENTS_H

#include <memory>

#include <boost/asio/io_context.hpp>

#include "Core/Clock.h"
#include "Core/Endpoint.h"
#include "Net/HttpClientPool.h"
#include "Proxy/TrafficView.h"
#include "Proxy/UpstreamService.h"

namespace acaciaroad::proxy {

/// Keeps one client for each peer address.
class PeerClients {
public:
  PeerClients(boost::asio::io_context &loop,
              std::shared_ptr<net::AnswerMemory> memory);

  /// Forwards \p order to the node at \p address. A large body is sent only
  /// after that node has granted a permit for it. \p codec has to outlive the
  /// call.
  std::shared_ptr<net::ClientCall> send(const core::Endpoint &address,
                                        Order order, const HeaderCodec &codec,
                                        OrderHandler handler);

  /// Closes idle connections to stopping nodes. At most every few seconds, also
  /// drops closed connections and the clients of addresses that no peer of
  /// \p view has.
  void prune(const TrafficView &view, core::TimePoint now);

private:
  net::HttpClientPool Clients;
  core::TimePoint PrunedAt{};
};

} // namespace acaciaroad::proxy

#endif
