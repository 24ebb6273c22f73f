/// \file
/// Reads logs through other nodes, so that few nodes poll the platform.

#ifndef ACACIAROAD_SIDECAR_LOGRELAY_H
#define ACACIAROAD_SIDECAR_LOGRELAY_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "Feed/FeedTypes.h"
#include "Feed/RelayBuffer.h"
#include "Holdings/RenewalBatch.h"
#include "Net/HttpClientPool.h"
#include "Net/HttpServer.h"
#include "Sidecar/StoreCalls.h"

namespace acaciaroad::sidecar {

/// Identifies a relayed log; the number is part of the request path.
enum class RelayedLog : std::uint8_t { Operators, Fleet };

/// Returns the name of \p log for log lines.
std::string_view toString(RelayedLog log);

/// Where a node reads records from.
struct RelayChoice {
  /// The node to read from; empty to read the log itself.
  std::string Host;
  /// Why the log itself is read, if it is.
  StoreCallCause Cause = StoreCallCause::Poll;
  /// Older data of the node isn't accepted: the node may be cut off from the
  /// log.
  core::Duration MaxAge{};
};

struct RelayHooks {
  std::function<RelayChoice(RelayedLog)> Choose;
  /// A read from the host failed. `Choose` is asked again, once.
  std::function<void(std::string_view host, const core::Error &)> OnFailed;
  /// The log itself is read.
  std::function<void(StoreCallCause)> OnStoreRead;
  /// The log itself could not be read.
  std::function<void(StoreCallCause)> OnStoreReadFailed;
  /// Another node asks this one to append the renewal of its lease. Returns
  /// false if the record is invalid or there is no room; OnDone isn't called
  /// then.
  std::function<bool(const feed::KeyedRecord &,
                     holdings::RenewalBatch::DoneHook)>
      OnRenewal;
};

/// Serves buffered records to other nodes and reads records from them. Falls
/// back to another relay, and then to the log, if the relay fails or its data
/// is too old or of an earlier era.
class LogRelay {
public:
  /// Fails with InvalidArgument if the address cannot be bound.
  static core::Result<std::unique_ptr<LogRelay>>
  create(boost::asio::io_context &loop, const core::Endpoint &listen,
         RelayHooks hooks);

  /// Returns \p log with tail reads sent to a relay whenever one is chosen, and
  /// other reads reported as reads of the log itself.
  feed::KeyedLog wrap(RelayedLog name, const feed::KeyedLog &log);

  /// Asks \p host to append a node's \p record together with others.
  void sendRenewal(const std::string &host, const feed::KeyedRecord &record,
                   holdings::RenewalBatch::DoneHook onDone);

  feed::RelayBuffer &buffer(RelayedLog name) {
    return Buffers[static_cast<std::size_t>(name)];
  }

private:
  /// A read of a log that may go to a relay.
  struct Read {
    RelayedLog Name = RelayedLog::Operators;
    core::Offset From = 0;
    core::Duration Wait{};
    feed::TailHandler Handler;
    /// Reads the log itself.
    std::function<void(core::Offset, core::Duration, feed::TailHandler)> Direct;
    int FailedRelays = 0;
  };

  LogRelay(boost::asio::io_context &loop, core::Endpoint listen,
           RelayHooks hooks);
  void serve(const std::shared_ptr<net::Exchange> &exchange);
  void serveRenewal(const std::shared_ptr<net::Exchange> &exchange);
  net::HttpClient &clientOf(const std::string &host);
  void start(const std::shared_ptr<Read> &read);
  void onRelayFailed(const std::shared_ptr<Read> &read, std::string_view host,
                     const core::Error &error);
  void readDirectly(const Read &read, StoreCallCause cause);
  void readFrom(const RelayChoice &relay, RelayedLog name, core::Offset from,
                feed::TailHandler handler);

  /// Holds a few minutes of records of a small fleet.
  static constexpr std::size_t BufferBytes = 512U << 10U;

  boost::asio::io_context &Loop;
  core::Endpoint Listen;
  RelayHooks Hooks;
  std::unique_ptr<net::HttpServer> Server;
  std::array<feed::RelayBuffer, 2> Buffers{feed::RelayBuffer(BufferBytes),
                                           feed::RelayBuffer(BufferBytes)};
  net::HttpClientPool Clients;
};

} // namespace acaciaroad::sidecar

#endif
