#include "Net/HttpClient.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "Net/ClientConnection.h"
#include "Net/Timeout.h"

namespace acaciaroad::net {

namespace {

/// A call that found no room for another connection.
class RefusedCall : public ClientCall,
                    public std::enable_shared_from_this<RefusedCall> {
public:
  explicit RefusedCall(CallHandler handler) : Handler(std::move(handler)) {}
  void cancel() override { Handler = nullptr; }
  void run() {
    if (const auto handler = std::exchange(Handler, nullptr))
      handler({CallEnd::NotSent, {}, "no room for another connection", false});
  }

private:
  CallHandler Handler;
};

/// A call and its timer, which own it together.
class TimedCall : public std::enable_shared_from_this<TimedCall> {
public:
  TimedCall(boost::asio::io_context &loop, CallTimeout timeout,
            CallHandler handler)
      : Timer(loop), Limits(timeout), Handler(std::move(handler)),
        Started(core::BootClock::now()) {}

  void start(HttpClient &client, HttpRequest request) {
    Call = client.send(
        std::move(request),
        [self = shared_from_this()](CallResult result) {
          self->finish(std::move(result));
        },
        [self = shared_from_this()] { self->extend(); });
    wait(Limits.First);
  }

private:
  void extend() {
    const auto past = core::BootClock::now() - Started;
    const auto end = std::max(Limits.First, past + Limits.Silence);
    wait(std::min(end, Limits.Longest) - past);
  }

  void wait(core::Duration length) {
    Timer.start(length, [self = shared_from_this()] { self->giveUp(); });
  }

  void giveUp() {
    Call->cancel();
    finish({CallEnd::Broken, {}, "no answer in time", false});
  }

  void finish(CallResult result) {
    Timer.cancel();
    Call.reset();
    Handler(std::move(result));
  }

  Timeout Timer;
  CallTimeout Limits;
  CallHandler Handler;
  core::TimePoint Started;
  std::shared_ptr<ClientCall> Call;
};

} // namespace

std::string_view connectionName(std::optional<bool> isKept) {
  if (!isKept)
    return "";
  return *isKept ? "kept" : "new";
}

std::shared_ptr<HttpClient> HttpClient::create(boost::asio::io_context &loop,
                                               const core::Endpoint &server,
                                               ClientOptions options) {
  return std::shared_ptr<HttpClient>(
      new HttpClient(loop, server, std::move(options)));
}

HttpClient::HttpClient(boost::asio::io_context &loop, core::Endpoint server,
                       ClientOptions options)
    : Loop(loop), Server(std::move(server)), Options(std::move(options)) {}

std::shared_ptr<ClientCall> HttpClient::send(HttpRequest request,
                                             CallHandler handler,
                                             PartHandler onPart,
                                             SendHook onSend) {
  auto connection = takeIdle(request);
  if (!connection)
    dropOldest(); // What can't be used makes room.
  if (!connection && Open >= Options.MostConnections) {
    auto call = std::make_shared<RefusedCall>(std::move(handler));
    boost::asio::post(Loop, [call] { call->run(); });
    return call;
  }
  if (!connection)
    connection = std::make_shared<ClientConnection>(shared_from_this());
  connection->start(std::move(request), std::move(handler), std::move(onPart),
                    std::move(onSend));
  return connection;
}

std::shared_ptr<ClientConnection>
HttpClient::takeIdle(const HttpRequest &request) {
  const auto now = core::BootClock::now();
  // The one that was used last is the least likely to have been closed.
  for (std::size_t n = Idle.size(); n > 0; --n) {
    const auto at = Idle.begin() + static_cast<std::ptrdiff_t>(n - 1);
    const bool isUsable = (*at)->isUsable(now);
    if (isUsable && !(*at)->mayCarry(request))
      continue;
    auto out = std::move(*at);
    Idle.erase(at);
    if (isUsable)
      return out;
    out->close();
  }
  return nullptr;
}

void HttpClient::dropOldest() {
  if (Idle.empty())
    return;
  Idle.front()->close();
  Idle.erase(Idle.begin());
}

void HttpClient::release(std::shared_ptr<ClientConnection> connection) {
  if (Retired)
    connection->close();
  else
    Idle.push_back(std::move(connection));
}

void HttpClient::closeStale() {
  const auto now = core::BootClock::now();
  std::erase_if(Idle, [&](const auto &it) {
    if (it->isUsable(now))
      return false;
    it->close();
    return true;
  });
}

void HttpClient::retire() {
  Retired = true;
  dropIdle();
}

void HttpClient::dropIdle() {
  for (const auto &it : std::exchange(Idle, {}))
    it->close();
}

void sendWithTimeout(boost::asio::io_context &loop, HttpClient &client,
                     HttpRequest request, CallTimeout timeout,
                     CallHandler handler) {
  std::make_shared<TimedCall>(loop, timeout, std::move(handler))
      ->start(client, std::move(request));
}

} // namespace acaciaroad::net
