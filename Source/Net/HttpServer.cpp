#include "Net/HttpServer.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "Net/ServerSession.h"

namespace acaciaroad::net {

using boost::asio::ip::tcp;
using boost::beast::error_code;

namespace {

/// Interval at which idle and slow connections are looked for, and clients that
/// left behind unread requests: a request is cancelled within half a second.
constexpr core::Duration SweepInterval = std::chrono::milliseconds(250);

/// Pause after a failed accept, such as one without a free descriptor.
constexpr core::Duration AcceptPause = std::chrono::milliseconds(50);

} // namespace

std::string_view toString(UnansweredCause cause) {
  switch (cause) {
  case UnansweredCause::ClientLeft:
    return "client left";
  case UnansweredCause::WriteFailed:
    return "write failed";
  case UnansweredCause::WriteTimedOut:
    return "write timed out";
  case UnansweredCause::ServerStopped:
    return "server stopped";
  case UnansweredCause::Dropped:
    return "dropped";
  }
  return "";
}

core::Result<std::unique_ptr<HttpServer>>
HttpServer::create(boost::asio::io_context &loop, const core::Endpoint &listen,
                   ServerLimits limits, ExchangeHandler handler) {
  std::unique_ptr<HttpServer> out(
      new HttpServer(loop, limits, std::move(handler)));
  const auto address = toSocketAddress(listen);
  error_code ec;
  out->Acceptor.open(address.protocol(), ec);
  if (!ec)
    out->Acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec)
    out->Acceptor.bind(address, ec);
  if (!ec)
    out->Acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
  if (ec)
    return core::fail(core::ErrorKind::InvalidArgument,
                      core::toString(listen) + ": " + ec.message());
  out->accept();
  out->sweep();
  return out;
}

HttpServer::HttpServer(boost::asio::io_context &loop, ServerLimits limits,
                       ExchangeHandler handler)
    : Loop(loop), Acceptor(loop), AcceptRetry(loop), Sweep(loop),
      Limits(limits), Handler(std::move(handler)) {}

HttpServer::~HttpServer() {
  const std::vector<ServerSession *> sessions(Sessions.begin(), Sessions.end());
  Sessions.clear();
  for (ServerSession *it : sessions)
    it->detach();
}

bool HttpServer::isIdle() const {
  return InFlight == 0 && Lingering == 0 &&
         std::none_of(Sessions.begin(), Sessions.end(),
                      [](const auto *it) { return it->hasUnread(); });
}

void HttpServer::accept() {
  Acceptor.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec == boost::asio::error::operation_aborted || !Acceptor.is_open())
      return;
    if (ec) {
      AcceptRetry.expires_after(AcceptPause);
      AcceptRetry.async_wait([this](error_code e) {
        if (!e)
          accept();
      });
      return;
    }
    accept();
    serve(std::move(socket));
  });
}

void HttpServer::serve(tcp::socket socket) {
  error_code ignored; // Without it, answers only come later.
  socket.set_option(tcp::no_delay(true), ignored);
  std::make_shared<ServerSession>(*this, std::move(socket))->start();
}

void HttpServer::stopAccepting() {
  error_code ec;
  Acceptor.non_blocking(true, ec);
  // Closing the acceptor resets connections that wait in its queue.
  while (!ec) {
    tcp::socket socket(Loop);
    Acceptor.accept(socket, ec);
    if (!ec)
      serve(std::move(socket));
  }
  Acceptor.close(ec); // What fails here ends with the process.
}

void HttpServer::sweep() {
  Sweep.expires_after(SweepInterval);
  Sweep.async_wait([this](error_code ec) {
    if (ec)
      return;
    sweep();
    const auto now = core::BootClock::now();
    const std::vector<ServerSession *> sessions(Sessions.begin(),
                                                Sessions.end());
    for (ServerSession *it : sessions)
      it->closeIfLate(now);
  });
}

} // namespace acaciaroad::net
