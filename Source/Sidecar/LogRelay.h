/// \file
/// Reads of a log through other nodes, so that few nodes call the platform.

#ifndef ACACIAROAD_SIDECAR_LOGRELAY_H
#define ACACIAROAD_SIDECAR_LOGRELAY_H

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "Feed/FeedTypes.h"
#include "Feed/RelayBuffer.h"
#include "Net/HttpClientPool.h"
#include "Net/HttpServer.h"

namespace acaciaroad::sidecar {

/// Names a log among those that nodes relay.
enum class RelayedLog : std::uint8_t { Operators, Fleet };

/// Serves what this node has read, and reads from others. A node whose relay
/// fails or is out of date asks the log itself.
class LogRelay {
public:
  /// Returns the host to read from, or nothing if this node reads the log.
  using ChooseHost = std::function<std::optional<std::string>(RelayedLog)>;

  /// Fails with InvalidArgument if the address cannot be bound.
  static core::Result<std::unique_ptr<LogRelay>>
  create(boost::asio::io_context &loop, const core::Endpoint &listen,
         ChooseHost choose);

  /// Returns \p log with reads that go through a relay where one is chosen.
  feed::KeyedLog wrap(RelayedLog name, const feed::KeyedLog &log);

  feed::RelayBuffer &buffer(RelayedLog name) {
    return Buffers[static_cast<std::size_t>(name)];
  }

private:
  LogRelay(boost::asio::io_context &loop, core::Endpoint listen,
           ChooseHost choose);
  void serve(const std::shared_ptr<net::Exchange> &exchange);
  void readFrom(RelayedLog name, const std::string &host, core::Offset from,
                feed::TailHandler handler);

  /// Some minutes of a small fleet's records.
  static constexpr std::size_t BufferBytes = 512U << 10U;

  boost::asio::io_context &Loop;
  core::Endpoint Listen;
  ChooseHost Choose;
  std::unique_ptr<net::HttpServer> Server;
  std::array<feed::RelayBuffer, 2> Buffers{feed::RelayBuffer(BufferBytes),
                                           feed::RelayBuffer(BufferBytes)};
  net::HttpClientPool Clients;
};

} // namespace acaciaroad::sidecar

#endif
