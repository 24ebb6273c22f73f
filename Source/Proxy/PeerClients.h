/// \file
/// Connections to other nodes.

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

/// Keeps one client for each address of a peer.
class PeerClients {
public:
  PeerClients(boost::asio::io_context &loop,
              std::shared_ptr<net::AnswerMemory> memory);

  /// Forwards \p order to the node at \p address.
  std::shared_ptr<net::ClientCall> send(const core::Endpoint &address,
                                        Order order, const HeaderCodec &codec,
                                        OrderHandler handler);

  /// Closes idle connections to nodes that stop. Forgets addresses that no peer
  /// of \p view has, and connections that were closed meanwhile, every few
  /// seconds at most.
  void prune(const TrafficView &view, core::TimePoint now);

private:
  net::HttpClientPool Clients;
  core::TimePoint PrunedAt{};
};

} // namespace acaciaroad::proxy

#endif
