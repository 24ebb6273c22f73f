/// \file
/// Connections to other nodes.

#ifndef ACACIAROAD_PROXY_PEERCLIENTS_H
#define ACACIAROAD_PROXY_PEERCLIENTS_H

#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "Net/HttpClient.h"
#include "Proxy/UpstreamService.h"

namespace acaciaroad::proxy {

/// Keeps one client for each address of a peer.
class PeerClients {
public:
  explicit PeerClients(boost::asio::io_context &loop) : Loop(loop) {}

  /// Forwards \p order to the node at \p address.
  std::shared_ptr<net::ClientCall> send(const core::Endpoint &address,
                                        Order order, const Dialect &dialect,
                                        OrderHandler handler);

  /// Forgets addresses that no peer of \p view has, and connections that were
  /// closed meanwhile; does so every few seconds at most.
  void tidy(const TrafficView &view, core::TimePoint now);

private:
  std::shared_ptr<net::HttpClient> clientFor(const core::Endpoint &address);

  boost::asio::io_context &Loop;
  core::TimePoint TidiedAt{};
  std::map<std::string, std::shared_ptr<net::HttpClient>> Clients;
};

} // namespace acaciaroad::proxy

#endif
