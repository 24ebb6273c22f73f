/// \file
/// Clients of several servers that are spoken to alike.

#ifndef ACACIAROAD_NET_HTTPCLIENTPOOL_H
#define ACACIAROAD_NET_HTTPCLIENTPOOL_H

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>

#include "Core/Endpoint.h"
#include "Net/HttpClient.h"

namespace acaciaroad::net {

/// Keeps one client for each address. All members are called on the loop's
/// thread.
class HttpClientPool {
public:
  HttpClientPool(boost::asio::io_context &loop, ClientOptions options);

  /// Makes the client if there is none.
  std::shared_ptr<HttpClient> clientFor(const core::Endpoint &server);

  /// Retires the client of \p server, if there is one.
  void retire(const core::Endpoint &server);

  /// Retires the clients of servers that are not in \p servers, and closes
  /// stale connections of the others.
  void keepOnly(const std::set<core::Endpoint> &servers);

  bool contains(const core::Endpoint &server) const {
    return Clients.contains(server);
  }
  std::size_t size() const { return Clients.size(); }

private:
  boost::asio::io_context &Loop;
  ClientOptions Options;
  std::map<core::Endpoint, std::shared_ptr<HttpClient>> Clients;
};

} // namespace acaciaroad::net

#endif
