#include "Sidecar/LogRelay.h"

#include <string>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

#include "Codec/FleetRecords.h"
#include "Core/Milliseconds.h"
#include "Core/ParseNumber.h"
#include "Feed/RelayTiming.h"

namespace acaciaroad::sidecar {

using core::ErrorKind;
using std::chrono::milliseconds;

namespace {

constexpr core::Duration ConnectTimeout = milliseconds(100);
constexpr core::Duration IdleLimit = std::chrono::seconds(20);
constexpr std::size_t MaxRelayConnections = 4;

/// Larger responses are read from the log, which has more bandwidth: a relay on
/// a slow link would delay dozens of nodes.
constexpr std::size_t MaxRelayedBytes = 32U << 10U;

/// Hosts with pooled connections: two readers, and nodes that announced
/// records.
constexpr std::size_t MaxRelayHosts = 16;

/// Time for a renewal to be collected with others and appended. After it, the
/// node appends the renewal itself.
constexpr core::Duration RenewalTimeout = milliseconds(800);

constexpr std::string_view PathPrefix = "/relay/";
constexpr std::string_view RenewalPath = "/relay/renewals";

net::ClientOptions makeOptions() {
  net::ClientOptions out;
  out.ConnectTimeout = ConnectTimeout;
  out.SendTimeout = feed::RelayTimeout;
  out.IdleLimit = IdleLimit;
  out.BodyBytes = MaxRelayedBytes;
  out.MostConnections = MaxRelayConnections;
  return out;
}

/// Returns "/relay/LOG/OFFSET", with the number of the log.
std::string targetOf(RelayedLog name, core::Offset from) {
  return fmt::format("{}{}/{}", PathPrefix, static_cast<int>(name), from);
}

struct RelayTarget {
  RelayedLog Name = RelayedLog::Operators;
  core::Offset From = 0;
};

std::optional<RelayTarget> parseTarget(std::string_view target) {
  if (!target.starts_with(PathPrefix))
    return std::nullopt;
  target.remove_prefix(PathPrefix.size());
  if (target.size() < 3 || target[1] != '/' ||
      (target[0] != '0' && target[0] != '1'))
    return std::nullopt;
  const auto from = core::parseNumber<core::Offset>(target.substr(2));
  if (!from)
    return std::nullopt;
  return RelayTarget{static_cast<RelayedLog>(target[0] - '0'), *from};
}

/// Parses the answer to a renewal: milliseconds until the next regular append.
std::optional<core::Duration> parseRound(const net::CallResult &result) {
  if (result.End != net::CallEnd::Answered ||
      result.Response.result() != net::http::status::ok)
    return std::nullopt;
  const auto ms = core::parseNumber<std::uint32_t>(result.Response.body());
  if (!ms)
    return std::nullopt;
  return milliseconds(*ms);
}

} // namespace

std::string_view toString(RelayedLog log) {
  return log == RelayedLog::Operators ? "operators" : "fleet";
}

core::Result<std::unique_ptr<LogRelay>>
LogRelay::create(boost::asio::io_context &loop, const core::Endpoint &listen,
                 RelayHooks hooks) {
  std::unique_ptr<LogRelay> out(new LogRelay(loop, listen, std::move(hooks)));
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
                   RelayHooks hooks)
    : Loop(loop), Listen(std::move(listen)), Hooks(std::move(hooks)),
      Clients(loop, makeOptions()) {}

feed::KeyedLog LogRelay::wrap(RelayedLog name, const feed::KeyedLog &log) {
  feed::KeyedLog out = log;
  out.ReadNewest = [this, read = log.ReadNewest](std::string_view after,
                                                 feed::PageHandler handler) {
    Hooks.OnStoreRead(StoreCallCause::Snapshot);
    read(after, std::move(handler));
  };
  out.ReadFrom = [this, name,
                  direct = log.ReadFrom](core::Offset from, core::Duration wait,
                                         feed::TailHandler handler) {
    start(std::make_shared<Read>(
        Read{name, from, wait, std::move(handler), direct, 0}));
  };
  return out;
}

void LogRelay::start(const std::shared_ptr<Read> &read) {
  const RelayChoice choice = Hooks.Choose(read->Name);
  if (choice.Host.empty()) {
    readDirectly(*read, choice.Cause);
    return;
  }
  readFrom(choice, read->Name, read->From,
           [this, read, host = choice.Host](core::Result<feed::Tail> tail) {
             if (tail && tail->Era < buffer(read->Name).era())
               tail = core::fail(ErrorKind::NodeIsolated,
                                 "the relay's records are of an earlier era");
             if (tail)
               read->Handler(std::move(tail));
             else
               onRelayFailed(read, host, tail.error());
           });
}

void LogRelay::onRelayFailed(const std::shared_ptr<Read> &read,
                             std::string_view host, const core::Error &error) {
  read->Wait = core::Duration{};
  // The other relays don't have the records either.
  if (error.Kind == ErrorKind::LogTrimmed) {
    readDirectly(*read, StoreCallCause::RelayRefused);
    return;
  }
  Hooks.OnFailed(host, error);
  if (++read->FailedRelays < feed::MaxRelaysPerRead)
    start(read);
  else
    readDirectly(*read, error.Kind == ErrorKind::NodeIsolated
                            ? StoreCallCause::RelayOutdated
                            : StoreCallCause::RelaySilent);
}

void LogRelay::readDirectly(const Read &read, StoreCallCause cause) {
  Hooks.OnStoreRead(cause);
  read.Direct(
      read.From, read.Wait,
      [this, cause, handler = read.Handler](core::Result<feed::Tail> tail) {
        if (!tail && tail.error().Kind != ErrorKind::LogTrimmed)
          Hooks.OnStoreReadFailed(cause);
        handler(std::move(tail));
      });
}

void LogRelay::serve(const std::shared_ptr<net::Exchange> &exchange) {
  if (net::toView(exchange->request().target()) == RenewalPath) {
    serveRenewal(exchange);
    return;
  }
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

void LogRelay::serveRenewal(const std::shared_ptr<net::Exchange> &exchange) {
  const auto tail = codec::decodeTail(exchange->request().body());
  const auto onDone = [exchange](std::optional<core::Duration> round) {
    net::HttpResponse out(round ? net::http::status::ok
                                : net::http::status::service_unavailable,
                          11);
    if (round)
      out.body() = std::to_string(core::toMilliseconds(*round));
    exchange->respond(std::move(out));
  };
  if (!tail || tail->Records.size() != 1 ||
      !Hooks.OnRenewal(tail->Records.front(), onDone))
    exchange->respond(net::HttpResponse(net::http::status::bad_request, 11));
}

void LogRelay::sendRenewal(const std::string &host,
                           const feed::KeyedRecord &record,
                           holdings::RenewalBatch::DoneHook onDone) {
  net::HttpRequest request{net::http::verb::post, std::string(RenewalPath), 11};
  feed::Tail tail;
  tail.Records.push_back(record);
  request.body() = codec::encodeTail(tail);
  net::sendWithTimeout(
      Loop, clientOf(host), std::move(request),
      net::CallTimeout::ofWholeCall(RenewalTimeout),
      [onDone = std::move(onDone)](const net::CallResult &result) {
        onDone(parseRound(result));
      });
}

net::HttpClient &LogRelay::clientOf(const std::string &host) {
  const core::Endpoint server{host, Listen.Port};
  if (Clients.size() >= MaxRelayHosts && !Clients.contains(server))
    Clients.keepOnly({});
  return *Clients.clientFor(server);
}

void LogRelay::readFrom(const RelayChoice &relay, RelayedLog name,
                        core::Offset from, feed::TailHandler handler) {
  net::sendWithTimeout(
      Loop, clientOf(relay.Host),
      {net::http::verb::get, targetOf(name, from), 11},
      net::CallTimeout::ofWholeCall(feed::RelayTimeout),
      [handler = std::move(handler),
       maxAge = relay.MaxAge](const net::CallResult &result) {
        if (result.End != net::CallEnd::Answered) {
          handler(core::fail(ErrorKind::PeerUnreachable, result.Detail));
          return;
        }
        if (result.Response.result() != net::http::status::ok) {
          handler(core::fail(ErrorKind::LogTrimmed,
                             fmt::format("the relay answered {}",
                                         result.Response.result_int())));
          return;
        }
        auto tail = codec::decodeTail(result.Response.body());
        if (tail)
          tail->IsRelayed = true;
        if (tail && tail->Age > maxAge)
          tail = core::fail(ErrorKind::NodeIsolated,
                            "the relay's records are out of date");
        handler(std::move(tail));
      });
}

} // namespace acaciaroad::sidecar
