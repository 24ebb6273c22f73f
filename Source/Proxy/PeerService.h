/// \file
/// Takes the orders that other nodes forward.

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
#include "Proxy/Dialect.h"
#include "Proxy/UpstreamService.h"
#include "Upstream/TransferGate.h"

namespace acaciaroad::proxy {

class PeerService {
public:
  PeerService(boost::asio::io_context &loop, Dialect dialect,
              UpstreamService &upstream,
              std::shared_ptr<logging::Logger> logger)
      : Speech(std::move(dialect)), Upstream(upstream), Log(std::move(logger)),
        Timer(loop) {}

  /// Runs a forwarded order at the own upstream and answers with its outcome,
  /// or tells whether a large body may come.
  void handle(const std::shared_ptr<net::Exchange> &exchange);

  /// Refuses the large bodies that wait for room.
  void conclude();

private:
  void askForRoom(const std::shared_ptr<net::Exchange> &exchange,
                  std::uint64_t bytes);
  void refuseRoom(net::Exchange &exchange, core::ErrorKind reason);
  void giveRoom(net::Exchange &exchange, upstream::Ticket room);
  void advanceRooms();

  Dialect Speech;
  UpstreamService &Upstream;
  std::shared_ptr<logging::Logger> Log;
  net::Timeout Timer;
  upstream::TransferGate Gate;
  upstream::Ticket LastRoom = 0;
  /// Those that wait for room.
  std::map<upstream::Ticket, std::shared_ptr<net::Exchange>> Waiting;
};

} // namespace acaciaroad::proxy

#endif
