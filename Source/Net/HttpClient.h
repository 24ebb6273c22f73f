/// \file
/// Kept connections to one HTTP/1.1 server, on one event loop.

#ifndef ACACIAROAD_NET_HTTPCLIENT_H
#define ACACIAROAD_NET_HTTPCLIENT_H

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "Core/Clock.h"
#include "Core/Endpoint.h"
#include "Net/AnswerMemory.h"
#include "Net/HttpMessage.h"

namespace acaciaroad::net {

class ClientConnection;

/// How a call ended.
enum class CallEnd : std::uint8_t {
  /// The whole answer came.
  Answered,
  /// Nothing of the request left this process.
  NotSent,
  /// The request was sent at least in part, and no whole answer came.
  Broken,
};

/// What a call ended with; Response only counts with CallEnd::Answered.
struct CallResult {
  CallEnd End = CallEnd::NotSent;
  HttpResponse Response;
  std::string Detail;
  /// Nothing listens at the server's address.
  bool IsRefused = false;
  /// With CallEnd::Broken: the answer met a bound of this client.
  bool IsTooLarge = false;
  /// With CallEnd::NotSent: the SendHook held the request back.
  bool IsHeldBack = false;
  /// Whether the connection had carried another request before, if it is known.
  std::optional<bool> IsKept = std::nullopt;
};

/// Returns "kept" or "new" for logs, or nothing.
std::string_view connectionName(std::optional<bool> isKept);

/// Returns the name that the fields carry, or nothing at all.
using NameReader = std::function<std::string_view(const HttpFields &)>;

struct ClientOptions {
  core::Duration ConnectTimeout{};
  /// Unacknowledged bytes end a connection after it (TCP_USER_TIMEOUT).
  core::Duration SendTimeout{};
  /// A connection that was idle for longer is not used again.
  core::Duration IdleLimit{};
  /// Bytes of an answer's body.
  std::uint64_t BodyBytes = 0;
  /// Open connections, idle ones included.
  std::size_t MostConnections = 0;
  /// Read the names of requests, and of the requests that answers belong to.
  /// Without them, each answer belongs to the request that waits for one.
  ///
  /// With them, an answer of another name is skipped, and so is one without a
  /// name unless it is the first on its connection. A connection carries each
  /// name once, and a request without a name only as its first.
  NameReader RequestName;
  NameReader AnswerName;
  /// What answers may take together, with other clients; null for no bound.
  std::shared_ptr<AnswerMemory> Memory = nullptr;
  /// A server that closes one connection behind its answer is about to end: the
  /// idle ones are closed too, so that no request on them crosses its end.
  bool CloseEndsIdle = false;
};

using CallHandler = std::function<void(CallResult)>;
/// Part of the answer has come.
using PartHandler = std::function<void()>;

/// Called when the connection is there, just before the request is sent. May
/// set fields; returns false if the request must not be sent any more.
using SendHook = std::function<bool(HttpFields &)>;

/// When a call without its whole answer is given up.
struct CallTimeout {
  static CallTimeout ofWholeCall(core::Duration length) {
    return {length, {}, length};
  }

  /// From the start, if nothing comes.
  core::Duration First{};
  /// From the last part of the answer on, if that is later.
  core::Duration Silence{};
  /// From the start, whatever comes.
  core::Duration Longest{};
};

/// One request under way.
class ClientCall {
public:
  virtual ~ClientCall() = default;
  /// Drops the request and its connection; the handler is not called.
  virtual void cancel() = 0;
};

/// All members are called on the loop's thread.
class HttpClient : public std::enable_shared_from_this<HttpClient> {
public:
  static std::shared_ptr<HttpClient> create(boost::asio::io_context &loop,
                                            const core::Endpoint &server,
                                            ClientOptions options);

  /// Sends \p request on a kept connection, or on a new one. \p handler is
  /// called once, never before this returns; \p onPart up to then, \p onSend
  /// at most once.
  std::shared_ptr<ClientCall> send(HttpRequest request, CallHandler handler,
                                   PartHandler onPart = nullptr,
                                   SendHook onSend = nullptr);

  /// Closes the connections that wait for a request.
  void dropIdle();

  /// Closes those among them that have waited for too long or that the server
  /// has closed; to be called now and then.
  void closeStale();

  /// The server is not needed any more: connections are closed once the calls
  /// on them have ended.
  void retire();

  std::size_t connections() const { return Open; }
  /// Those that wait for a request.
  std::size_t idle() const { return Idle.size(); }
  std::uint64_t connectsStarted() const { return Connects; }
  const core::Endpoint &server() const { return Server; }

private:
  friend class ClientConnection;
  HttpClient(boost::asio::io_context &loop, core::Endpoint server,
             ClientOptions options);
  /// Returns a kept connection that may carry \p request, if any.
  std::shared_ptr<ClientConnection> takeIdle(const HttpRequest &request);
  /// Closes the kept connection that was used least recently.
  void dropOldest();
  void release(std::shared_ptr<ClientConnection> connection);

  boost::asio::io_context &Loop;
  core::Endpoint Server;
  ClientOptions Options;
  std::vector<std::shared_ptr<ClientConnection>> Idle;
  bool Retired = false;
  std::size_t Open = 0;
  std::uint64_t Connects = 0;
};

/// Sends \p request and gives it up after \p timeout, as CallEnd::Broken.
void sendWithTimeout(boost::asio::io_context &loop, HttpClient &client,
                     HttpRequest request, CallTimeout timeout,
                     CallHandler handler);

} // namespace acaciaroad::net

#endif
