#include "Http/CallerServer.h"

#include <exception>
#include <system_error>
#include <utility>

#include "Core/Identifiers.h"

namespace acaciaroad::http {

namespace {

using core::ErrorKind;

constexpr std::string_view EmptyLine = "\r\n";

/// A name for a request that was refused before it had one.
std::string freshRequestId() {
  return core::toString(core::InstanceId{core::randomId()});
}

} // namespace

core::Result<std::unique_ptr<CallerServer>>
CallerServer::create(CallerServerOptions options, Handler handler) {
  std::unique_ptr<CallerServer> out(
      new CallerServer(std::move(options), std::move(handler)));
  if (core::Result<void> started = out->start(); !started)
    return tl::unexpected(started.error());
  return out;
}

CallerServer::CallerServer(CallerServerOptions options, Handler handler)
    : Options(std::move(options)), OnRequest(std::move(handler)),
      Connections(Options.Connections),
      Door([this](int descriptor) { Connections.adopt(descriptor); }) {}

CallerServer::~CallerServer() { stop(); }

core::Result<void> CallerServer::start() {
  if (!Connections.isOpen())
    return core::fail(ErrorKind::Internal, "no descriptor");
  Port = Door.bind(Options.Host, Options.Port);
  if (Port <= 0)
    return core::fail(ErrorKind::InvalidSettings,
                      "cannot bind " + Options.Host + ":" +
                          std::to_string(Options.Port));
  try {
    for (std::size_t n = 0; n < Options.Threads; ++n)
      Workers.emplace_back([this] { work(); });
    Acceptor = std::thread([this] { Door.run(); });
  } catch (const std::system_error &ec) {
    return core::fail(ErrorKind::Internal, ec.what());
  }
  Door.waitUntilRunning();
  return {};
}

void CallerServer::stop() {
  if (Stopping.exchange(true))
    return;
  Door.stop();
  if (Acceptor.joinable())
    Acceptor.join();
  Connections.closeIdle(core::BootClock::now() + Options.StopTimeout);
  Connections.endWaits();
  for (std::thread &it : Workers)
    it.join();
}

CallerServerCounters CallerServer::counters() const {
  CallerServerCounters out;
  out.Requests = Requests;
  out.Malformed = Malformed;
  out.ConnectionsRefused = Connections.refused();
  out.OpenConnections = Connections.size();
  return out;
}

void CallerServer::work() {
  while (const auto id = Connections.wait())
    serve(*id);
}

void CallerServer::serve(ConnectionTable::Id id) {
  const auto connection = Connections.claim(id);
  if (!connection)
    return;
  const auto got = connection->receive();
  if (got == CallerConnection::Received::End)
    return Connections.close(id);
  const Next next = got == CallerConnection::Received::Bytes
                        ? serveBuffered(connection)
                        : Next::Serve;
  if (next == Next::Drain)
    Connections.drain(id);
  else if (next == Next::Close)
    Connections.close(id);
  else
    Connections.park(id);
}

CallerServer::Next CallerServer::serveBuffered(
    const std::shared_ptr<CallerConnection> &connection) {
  while (true) {
    while (connection->buffered().starts_with(EmptyLine))
      connection->consume(EmptyLine.size());
    const auto length = headLength(connection->buffered());
    if (!length && isHeadTooLong(connection->buffered(), Options.Limits))
      return refuseHead(connection, {ErrorKind::HeaderTooLarge, {}});
    if (!length)
      return Next::Serve;
    if (const Next next = serveHead(connection, *length); next != Next::Serve)
      return next;
  }
}

CallerServer::Next
CallerServer::serveHead(const std::shared_ptr<CallerConnection> &connection,
                        std::size_t length) {
  core::Result<RequestHead> head = checkRequestHead(
      connection->buffered().substr(0, length), Options.Limits);
  if (!head)
    return refuseHead(connection, head.error());
  connection->consume(length);
  return serveRequest(connection, std::move(*head));
}

CallerServer::Next
CallerServer::serveRequest(const std::shared_ptr<CallerConnection> &connection,
                           RequestHead head) {
  ++Requests;
  const auto exchange = Exchange::create(connection, std::move(head),
                                         Options.Exchanges, Stopping);
  handle(exchange);
  exchange->detach();
  if (exchange->isReusable())
    return Next::Serve;
  return exchange->isAborted() ? Next::Close : Next::Drain;
}

CallerServer::Next
CallerServer::refuseHead(const std::shared_ptr<CallerConnection> &connection,
                         const core::Error &error) {
  ++Malformed;
  RequestHead unknown;
  unknown.KeepAlive = false;
  const auto exchange = Exchange::create(connection, std::move(unknown),
                                         Options.Exchanges, Stopping);
  exchange->refuse(error, freshRequestId());
  return exchange->isAborted() ? Next::Close : Next::Drain;
}

void CallerServer::handle(const std::shared_ptr<Exchange> &exchange) {
  if (const core::Result<void> read = exchange->prefetch(); !read) {
    ++Malformed;
    return exchange->refuse(read.error(), freshRequestId());
  }
  try {
    OnRequest(exchange);
  } catch (const std::exception &ec) {
    return exchange->refuse({ErrorKind::Internal, ec.what()}, freshRequestId());
  }
  if (!exchange->isAnswered() && !exchange->isAborted())
    exchange->refuse({ErrorKind::Internal, "the request was not answered"},
                     freshRequestId());
}

} // namespace acaciaroad::http
