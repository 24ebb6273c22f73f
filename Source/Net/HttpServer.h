/// \file
/// An HTTP/1.1 server on one event loop.

#ifndef ACACIAROAD_NET_HTTPSERVER_H
#define ACACIAROAD_NET_HTTPSERVER_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_set>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Core/Clock.h"
#include "Core/Endpoint.h"
#include "Core/Error.h"
#include "Net/BodyMemory.h"
#include "Net/HttpMessage.h"

namespace acaciaroad::net {

class ServerSession;

/// Bounds on what a client may send and how long it may take.
struct ServerLimits {
  std::uint32_t HeaderBytes = 0;
  std::uint64_t BodyBytes = 0;
  core::Duration HeaderTimeout{};
  core::Duration IdleTimeout{};
  /// Bytes of bodies that are held for all requests together. A
  /// request whose body doesn't fit is answered 503, or 413 if it never fits.
  std::uint64_t HeldBytes = 64U << 20U;
};

/// One request and the answer to it. Keeps its session alive.
class Exchange {
public:
  /// \p room is what the request takes of the server's memory.
  Exchange(std::shared_ptr<ServerSession> session, HttpRequest request,
           BodyMemory::Room room, core::TimePoint received)
      : Received(received), Session(std::move(session)), Room(std::move(room)),
        Request(std::move(request)) {}

  /// Sends the answer; later calls have no effect.
  void respond(HttpResponse response);

  /// Sets what is called once if the client leaves before the answer.
  void setOnAbandoned(std::function<void()> hook) {
    OnAbandoned = std::move(hook);
  }

  /// Returns whether the client has ended its half of the connection by now,
  /// which the session may see only later.
  bool hasClientLeft() const;

  HttpRequest &request() { return Request; }
  bool isAnswered() const { return Answered; }

  const core::TimePoint Received;

private:
  friend class ServerSession;
  void abandon();

  std::shared_ptr<ServerSession> Session;
  BodyMemory::Room Room;
  HttpRequest Request;
  std::function<void()> OnAbandoned;
  bool Answered = false;
};

using ExchangeHandler = std::function<void(std::shared_ptr<Exchange>)>;

/// Why a connection ended before its request was answered in full.
enum class UnansweredCause : std::uint8_t {
  ClientLeft,
  WriteFailed,
  /// The answer could not be written within the time allowed.
  WriteTimedOut,
  /// The server went away.
  ServerStopped,
  /// The handler gave the request up without an answer.
  Dropped,
};

inline constexpr std::size_t UnansweredCauseCount =
    static_cast<std::size_t>(UnansweredCause::Dropped) + 1;

/// Returns the name of \p cause for logs.
std::string_view toString(UnansweredCause cause);

/// A request that was read and whose answer didn't go out.
struct UnansweredRequest {
  UnansweredCause Cause = UnansweredCause::ClientLeft;
  /// Null once the answer was being written.
  const HttpRequest *Request = nullptr;
  /// Since the request was read, or since the answer was begun.
  core::Duration Age{};
};

using UnansweredHook = std::function<void(const UnansweredRequest &)>;

/// Listens on one address. All members are called on the loop's thread.
class HttpServer {
public:
  /// Fails with InvalidArgument if the address cannot be bound.
  static core::Result<std::unique_ptr<HttpServer>>
  create(boost::asio::io_context &loop, const core::Endpoint &listen,
         ServerLimits limits, ExchangeHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Sets what is told of each request that is lost with its connection.
  void setOnUnanswered(UnansweredHook hook) { OnUnanswered = std::move(hook); }

  void setLimits(const ServerLimits &limits) { Limits = limits; }

  /// Counts bodies in \p memory, together with other servers of the process. To
  /// be called before the first request.
  void shareMemory(std::shared_ptr<BodyMemory> memory) {
    Memory = std::move(memory);
  }
  const ServerLimits &limits() const { return Limits; }

  /// Answers from now on ask the client to close its connection, unless it has
  /// sent another request on it already.
  void beginDrain() { Draining = true; }
  bool isDraining() const { return Draining; }

  /// Connections from now on are refused; those that were made are served.
  void stopAccepting();

  /// Returns the port that the system chose for port 0.
  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }

  /// Number of requests without a complete answer, those included that are
  /// still being read, and of open connections.
  std::size_t inFlight() const { return InFlight; }

  /// Whether no request is in flight or still to be read, and no client is
  /// still to take in an answer that ends its connection.
  bool isIdle() const;
  std::size_t connections() const { return Sessions.size(); }

private:
  friend class ServerSession;
  HttpServer(boost::asio::io_context &loop, ServerLimits limits,
             ExchangeHandler handler);
  void accept();
  void serve(boost::asio::ip::tcp::socket socket);
  void sweep();

  boost::asio::io_context &Loop;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer AcceptRetry;
  boost::asio::steady_timer Sweep;
  ServerLimits Limits;
  ExchangeHandler Handler;
  UnansweredHook OnUnanswered;
  std::unordered_set<ServerSession *> Sessions;
  std::size_t InFlight = 0;
  /// Sessions that wait for their client to close.
  std::size_t Lingering = 0;
  std::shared_ptr<BodyMemory> Memory = std::make_shared<BodyMemory>();
  bool Draining = false;
};

} // namespace acaciaroad::net

#endif
