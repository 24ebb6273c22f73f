#include "Sidecar/LogRelay.h"

#include <charconv>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

#include "Codec/FleetRecords.h"

namespace acaciaroad::sidecar {

using core::ErrorKind;
using std::chrono::milliseconds;

namespace {

/// Round trips between nodes take milliseconds. After this time the log is read
/// directly.
constexpr core::Duration RelayTimeout = milliseconds(150);
constexpr core::Duration ConnectTimeout = milliseconds(100);
constexpr core::Duration IdleLimit = std::chrono::seconds(20);
constexpr std::size_t MaxRelayConnections = 4;

/// Larger responses are read from the log, which has more bandwidth: a relay on
/// a slow link would delay dozens of nodes.
constexpr std::size_t MaxRelayedBytes = 32U << 10U;

/// Hosts with pooled connections: two readers, and nodes that announced
/// records.
constexpr std::size_t MaxRelayHosts = 16;

/// Maximum age of a relay's data. Older data means that the relay may be cut
/// off from the log, so the log is read directly. Covers two long polls of one
/// second each and a margin.
constexpr core::Duration MaxRelayAge = milliseconds(2400);

constexpr std::string_view PathPrefix = "/relay/";

net::ClientOptions makeOptions() {
  net::ClientOptions out;
  out.ConnectTimeout = ConnectTimeout;
  out.SendTimeout = RelayTimeout;
  out.IdleLimit = IdleLimit;
  out.BodyBytes = MaxRelayedBytes;
  out.MostConnections = MaxRelayConnections;
  return out;
}

/// Returns "/relay/LOG/OFFSET", with the number of the log.
std::string targetOf(RelayedLog name, core::Offset from) {
  return fmt::format("{}{}/{}", PathPrefix, static_cast<int>(name), from);
}

struct RelayRead {
  RelayedLog Name = RelayedLog::Operators;
  core::Offset From = 0;
};

std::optional<RelayRead> parseTarget(std::string_view target) {
  if (!target.starts_with(PathPrefix))
    return std::nullopt;
  target.remove_prefix(PathPrefix.size());
  if (target.size() < 3 || target[1] != '/' ||
      (target[0] != '0' && target[0] != '1'))
    return std::nullopt;
  RelayRead out;
  out.Name = static_cast<RelayedLog>(target[0] - '0');
  const char *end = target.data() + target.size();
  const auto [it, ec] = std::from_chars(target.data() + 2, end, out.From);
  if (ec != std::errc() || it != end)
    return std::nullopt;
  return out;
}

} // namespace

core::Result<std::unique_ptr<LogRelay>>
LogRelay::create(boost::asio::io_context &loop, const core::Endpoint &listen,
                 ChooseHost choose) {
  std::unique_ptr<LogRelay> out(new LogRelay(loop, listen, std::move(choose)));
  constexpr net::ServerLimits Limits{4096, 4096, std::chrono::seconds(3),
                                     std::chrono::seconds(60)};
  auto server = net::HttpServer::create(
      loop, listen, Limits,
      [it = out.get()](const std::shared_ptr<net::Exchange> &exchange) {
        it->serve(exchange);
      });
  if (!server)
    return tl::unexpected(server.error());
  out->Server = std::move(*server);
  return out;
}

LogRelay::LogRelay(boost::asio::io_context &loop, core::Endpoint listen,
                   ChooseHost choose)
    : Loop(loop), Listen(std::move(listen)), Choose(std::move(choose)),
      Clients(loop, makeOptions()) {}

feed::KeyedLog LogRelay::wrap(RelayedLog name, const feed::KeyedLog &log) {
  feed::KeyedLog out = log;
  out.ReadFrom = [this, name,
                  direct = log.ReadFrom](core::Offset from, core::Duration wait,
                                         feed::TailHandler handler) {
    const auto host = Choose(name);
    if (!host) {
      direct(from, wait, std::move(handler));
      return;
    }
    readFrom(name, *host, from,
             [direct, from,
              handler = std::move(handler)](core::Result<feed::Tail> tail) {
               if (tail)
                 handler(std::move(tail));
               else
                 direct(from, core::Duration{}, handler);
             });
  };
  return out;
}

void LogRelay::serve(const std::shared_ptr<net::Exchange> &exchange) {
  const auto read = parseTarget(net::toView(exchange->request().target()));
  const auto tail =
      read ? buffer(read->Name).read(read->From, core::BootClock::now())
           : std::nullopt;
  std::string bytes = tail ? codec::encodeTail(*tail) : std::string();
  const bool isServed = tail && bytes.size() <= MaxRelayedBytes;
  net::HttpResponse out(
      isServed ? net::http::status::ok : net::http::status::not_found, 11);
  if (isServed)
    out.body() = std::move(bytes);
  exchange->respond(std::move(out));
}

void LogRelay::readFrom(RelayedLog name, const std::string &host,
                        core::Offset from, feed::TailHandler handler) {
  const core::Endpoint server{host, Listen.Port};
  if (Clients.size() >= MaxRelayHosts && !Clients.contains(server))
    Clients.keepOnly({});
  net::sendWithTimeout(
      Loop, *Clients.clientFor(server),
      {net::http::verb::get, targetOf(name, from), 11},
      net::CallTimeout::ofWholeCall(RelayTimeout),
      [handler = std::move(handler)](net::CallResult result) {
        if (result.End != net::CallEnd::Answered ||
            result.Response.result() != net::http::status::ok) {
          handler(core::fail(ErrorKind::PeerUnreachable, result.Detail));
          return;
        }
        auto tail = codec::decodeTail(result.Response.body());
        if (tail && tail->Age > MaxRelayAge)
          tail = core::fail(ErrorKind::NodeIsolated,
                            "the relay's records are out of date");
        handler(std::move(tail));
      });
}

} // namespace acaciaroad::sidecar
