/// \file
/// Reads logs through other nodes, so that few nodes poll the platform.

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

/// Identifies a relayed log; the number is part of the request path.
enum class RelayedLog : std::uint8_t { Operators, Fleet };

/// Serves buffered records to other nodes and reads records from them. Falls
/// back to the log if the relay fails or its data is too old.
class LogRelay {
public:
  /// Returns the host to read from, or nothing to read the log directly.
  using ChooseHost = std::function<std::optional<std::string>(RelayedLog)>;

  /// Fails with InvalidArgument if the address cannot be bound.
  static core::Result<std::unique_ptr<LogRelay>>
  create(boost::asio::io_context &loop, const core::Endpoint &listen,
         ChooseHost choose);

  /// Returns \p log with tail reads sent to a relay whenever one is chosen.
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

  /// Holds a few minutes of records of a small fleet.
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
