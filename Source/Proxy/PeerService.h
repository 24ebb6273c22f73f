/// \file
/// Handles orders that other nodes forward to this node's upstream.

#ifndef ACACIAROAD_PROXY_PEERSERVICE_H
#define ACACIAROAD_PROXY_PEERSERVICE_H

#include <cstdint>
#include <map>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "Logging/Logger.h"
#include "Net/HttpServer.h"
#include "Net/Timeout.h"
#include "Proxy/HeaderCodec.h"
#include "Proxy/UpstreamService.h"
#include "Upstream/TransferGate.h"

namespace acaciaroad::proxy {

/// Runs forwarded orders and limits how many large bodies come in at a time.
/// All members are called on the traffic thread.
class PeerService {
public:
  PeerService(boost::asio::io_context &loop, HeaderCodec codec,
              UpstreamService &upstream,
              std::shared_ptr<logging::Logger> logger)
      : Codec(std::move(codec)), Upstream(upstream), Log(std::move(logger)),
        Timer(loop) {}

  /// Runs a forwarded order on this node's upstream and answers with its
  /// outcome, or answers a request for a permit to send a large body.
  void handle(const std::shared_ptr<net::Exchange> &exchange);

  /// Refuses the requests that wait for a permit.
  void refuseWaiting();

private:
  void requestPermit(const std::shared_ptr<net::Exchange> &exchange,
                     std::uint64_t bytes);
  void refusePermit(net::Exchange &exchange, core::ErrorKind reason);
  void grantPermit(net::Exchange &exchange, upstream::Ticket permit);
  void advancePermits();

  HeaderCodec Codec;
  UpstreamService &Upstream;
  std::shared_ptr<logging::Logger> Log;
  net::Timeout Timer;
  upstream::TransferGate Gate;
  upstream::Ticket LastPermit = 0;
  /// Requests that wait for a permit, by its number.
  std::map<upstream::Ticket, std::shared_ptr<net::Exchange>> Waiting;
};

} // namespace acaciaroad::proxy

#endif
