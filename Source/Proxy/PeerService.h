/// \file
/// Takes the orders that other nodes forward.

#ifndef ACACIAROAD_PROXY_PEERSERVICE_H
#define ACACIAROAD_PROXY_PEERSERVICE_H

#include <memory>

#include "Net/HttpServer.h"
#include "Proxy/UpstreamService.h"

namespace acaciaroad::proxy {

class PeerService {
public:
  PeerService(Dialect dialect, UpstreamService &upstream)
      : Speech(std::move(dialect)), Upstream(upstream) {}

  /// Runs a forwarded order at the own upstream and answers with its outcome.
  void handle(const std::shared_ptr<net::Exchange> &exchange);

private:
  Dialect Speech;
  UpstreamService &Upstream;
};

} // namespace acaciaroad::proxy

#endif
