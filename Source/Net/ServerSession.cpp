#include "Net/ServerSession.h"

#include <algorithm>
#include <utility>

#include <boost/asio/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <poll.h>
#include <sys/socket.h>

namespace acaciaroad::net {

using boost::asio::ip::tcp;
using boost::beast::error_code;

namespace {

/// Most bytes of a body in chunks that one read adds.
constexpr std::uint64_t ChunkRoom = MessageBuffer::MostBytes + 1;

/// A body in chunks that grows takes room for this part of its length in
/// addition, so that it isn't copied with each read.
constexpr std::uint64_t GrowthShare = 4;

/// Larger bodies keep the room that they don't use: shrinking copies them.
constexpr std::uint64_t LargestShrunkBody = 1U << 20U;

/// Clients whose request finds no room try again after this time, in seconds.
constexpr const char *RetryAfterSeconds = "1";

/// A client has this long to take in an answer that ends its connection; some
/// retransmissions. Closing with unread bytes would reset the connection and
/// drop the answer.
constexpr core::Duration LingerTimeout = std::chrono::seconds(2);

/// Bytes that are held unparsed where the limit of a head is lower; twice the
/// usual limit of servers for a head.
constexpr std::uint32_t UnparsedBytes = 16U << 10U;

/// Read at a time of what is dropped.
constexpr std::size_t DiscardBytes = 4096;

} // namespace

void Exchange::respond(HttpResponse response) {
  if (std::exchange(Answered, true))
    return;
  OnAbandoned = nullptr;
  Session->respond(std::move(response));
}

bool Exchange::hasClientLeft() const { return Session->hasClientClosed(); }

void Exchange::abandon() {
  if (std::exchange(Answered, true))
    return;
  if (const auto hook = std::exchange(OnAbandoned, nullptr))
    hook();
}

ServerSession::ServerSession(HttpServer &server, tcp::socket socket)
    : Server(&server), Socket(std::move(socket)),
      Since(core::BootClock::now()) {
  Server->Sessions.insert(this);
}

ServerSession::~ServerSession() {
  if (!Server)
    return;
  reportUnanswered(UnansweredCause::Dropped);
  enter(Phase::Closed);
  Server->Sessions.erase(this);
}

void ServerSession::detach() {
  reportUnanswered(UnansweredCause::ServerStopped);
  Server = nullptr;
  close();
}

void ServerSession::start() {
  error_code ec;
  Socket.non_blocking(true, ec);
  if (ec)
    close();
  else
    waitReadable();
}

bool ServerSession::hasRequest() const {
  return State == Phase::Reading || State == Phase::Handling ||
         State == Phase::Writing;
}

bool ServerSession::hasMoreBytes() const {
  error_code ignored; // A connection that has failed holds nothing.
  return Buffer.size() > 0 || Socket.available(ignored) > 0;
}

bool ServerSession::hasUnread() const {
  return State == Phase::Idle && hasMoreBytes();
}

void ServerSession::count(bool isAdded) {
  if (!Server)
    return;
  std::size_t *counter = nullptr;
  if (hasRequest())
    counter = &Server->InFlight;
  else if (State == Phase::Lingering)
    counter = &Server->Lingering;
  if (counter != nullptr)
    *counter = isAdded ? *counter + 1 : *counter - 1;
}

void ServerSession::enter(Phase phase) {
  count(false);
  State = phase;
  count(true);
  Since = core::BootClock::now();
}

void ServerSession::waitReadable() {
  if (WaitPending || State == Phase::Closed)
    return;
  WaitPending = true;
  Socket.async_wait(tcp::socket::wait_read,
                    [self = shared_from_this()](error_code ec) {
                      self->WaitPending = false;
                      if (!ec)
                        self->onReadable();
                    });
}

void ServerSession::onReadable() {
  if (State == Phase::Idle)
    read(Wanted::Now);
  else if (State == Phase::Handling)
    checkAbandoned();
}

bool ServerSession::hasClientClosed() {
  pollfd socket{Socket.native_handle(), POLLRDHUP, 0};
  return ::poll(&socket, 1, 0) > 0;
}

void ServerSession::abandon() {
  const auto exchange = Current.lock();
  close();
  if (exchange)
    exchange->abandon();
}

void ServerSession::checkAbandoned() {
  char buf = 0;
  const auto n =
      ::recv(Socket.native_handle(), &buf, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0)
    return; // The next request; closeIfLate() looks for the end behind it.
  if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
    waitReadable();
    return;
  }
  abandon();
}

void ServerSession::read(Wanted when) {
  if (!Server)
    return;
  enter(Phase::Reading);
  Parser.emplace();
  Parser->header_limit(Server->Limits.HeaderBytes);
  // The line of a chunk and the trailers are held until all of it is there.
  Buffer.max_size(std::min(
      MessageBuffer::MostBytes,
      Buffer.size() + std::max(UnparsedBytes, Server->Limits.HeaderBytes)));
  Parser->body_limit(Server->Limits.BodyBytes);
  reserveForRead(Buffer, *Parser);
  error_code ec = boost::asio::error::would_block;
  if (when == Wanted::Now)
    http::read_header(Socket, Buffer, *Parser, ec);
  if (ec != boost::asio::error::would_block) {
    onHeader(ec);
    return;
  }
  http::async_read_header(
      Socket, Buffer, *Parser,
      [self = shared_from_this()](error_code end, std::size_t) {
        self->onHeader(end);
      });
}

void ServerSession::onHeader(error_code ec) {
  if (State == Phase::Closed || !Server)
    return;
  if (ec)
    refuse(ec);
  else if (const auto refusal = reserveBody())
    answerAndClose(*refusal);
  else if (Parser->is_done())
    onRead({});
  else
    readBody();
}

std::optional<http::status> ServerSession::reserveBody() {
  const std::uint64_t wanted = Parser->content_length().value_or(0);
  RequestRoom = BodyMemory::Room(Server->Memory);
  if (wanted > Server->Limits.HeldBytes)
    return http::status::payload_too_large;
  if (!RequestRoom.grow(wanted, Server->Limits.HeldBytes))
    return http::status::service_unavailable;
  if (Parser->chunked())
    Parser->body_limit(
        std::min(Server->Limits.BodyBytes, Server->Limits.HeldBytes));
  return std::nullopt;
}

bool ServerSession::reserveChunk() {
  std::string &body = Parser->get().body();
  const std::uint64_t most =
      std::min(Server->Limits.BodyBytes, Server->Limits.HeldBytes);
  const std::uint64_t needed = std::min(body.size() + ChunkRoom, most);
  if (needed <= RequestRoom.bytes())
    return true;
  const std::uint64_t ample =
      std::min(needed + body.size() / GrowthShare, most);
  if (!RequestRoom.grow(ample, Server->Limits.HeldBytes) &&
      !RequestRoom.grow(needed, Server->Limits.HeldBytes))
    return false;
  // A string that grows by itself takes up to twice its length.
  std::string next;
  next.reserve(RequestRoom.bytes());
  next += body;
  body.swap(next);
  return true;
}

void ServerSession::returnSpareRoom() {
  std::string &body = Parser->get().body();
  if (body.size() > LargestShrunkBody)
    return;
  body.shrink_to_fit();
  RequestRoom.resize(body.size());
}

void ServerSession::readBody() {
  if (Parser->chunked()) {
    readChunks();
    return;
  }
  error_code ec;
  Parser->eager(true);
  if (Buffer.size() > 0)
    Buffer.consume(Parser->put(Buffer.data(), ec));
  if (ec == http::error::need_more)
    ec = {};
  if (ec || Parser->is_done()) {
    onRead(ec);
    return;
  }
  reserveForRead(Buffer, *Parser);
  http::async_read(Socket, Buffer, *Parser,
                   [self = shared_from_this()](error_code end, std::size_t) {
                     self->onRead(end);
                   });
}

void ServerSession::readChunks() {
  if (!reserveChunk()) {
    answerAndClose(http::status::service_unavailable);
    return;
  }
  reserveForRead(Buffer, *Parser);
  http::async_read_some(
      Socket, Buffer, *Parser,
      [self = shared_from_this()](error_code ec, std::size_t) {
        if (ec || self->State == Phase::Closed || !self->Server ||
            self->Parser->is_done())
          self->onRead(ec);
        else
          self->readChunks();
      });
}

void ServerSession::onRead(error_code ec) {
  if (State == Phase::Closed || !Server)
    return;
  if (ec) {
    refuse(ec);
    return;
  }
  if (Parser->chunked())
    returnSpareRoom();
  KeepAlive = Parser->get().keep_alive();
  IsHead = Parser->get().method() == http::verb::head;
  const auto exchange = std::make_shared<Exchange>(
      shared_from_this(), Parser->release(), std::move(RequestRoom),
      core::BootClock::now());
  Parser.reset();
  Current = exchange;
  enter(Phase::Handling);
  waitReadable();
  try {
    Server->Handler(exchange);
  } catch (...) {
    exchange->respond(HttpResponse(http::status::internal_server_error, 11));
    throw;
  }
}

void ServerSession::refuse(error_code ec) {
  const auto &parseErrors =
      http::make_error_code(http::error::bad_method).category();
  if (ec.category() != parseErrors || ec == http::error::end_of_stream ||
      ec == http::error::partial_message) {
    close();
    return;
  }
  http::status status = http::status::bad_request;
  if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
    status = http::status::request_header_fields_too_large;
  else if (ec == http::error::body_limit)
    status = http::status::payload_too_large;
  answerAndClose(status);
}

void ServerSession::answerAndClose(http::status status) {
  KeepAlive = false;
  enter(Phase::Handling);
  // What was read of the request is given back at once.
  Parser.reset();
  RequestRoom = {};
  HttpResponse out(status, 11);
  if (status == http::status::service_unavailable)
    out.set(http::field::retry_after, RetryAfterSeconds);
  respond(std::move(out));
}

void ServerSession::respond(HttpResponse response) {
  if (State == Phase::Closed)
    return;
  // What the client has sent behind the request is answered first.
  const bool close =
      !KeepAlive || !Server || (Server->Draining && !hasMoreBytes());
  Response.emplace(std::move(response));
  Response->keep_alive(!close);
  Response->prepare_payload();
  if (IsHead)
    Response->body().clear(); // Its length stays (RFC 9110, section 9.3.2).
  enter(Phase::Writing);
  Serializer.emplace(*Response);
  write(close);
}

void ServerSession::write(bool close) {
  error_code ec;
  while (!ec && !Serializer->is_done())
    http::write_some(Socket, *Serializer, ec);
  if (!ec) {
    onWritten(ec, close);
    return;
  }
  // Tells of an error too, but not from within respond().
  http::async_write_some(
      Socket, *Serializer,
      [self = shared_from_this(), close](error_code end, std::size_t) {
        self->Since = core::BootClock::now();
        if (end || self->Serializer->is_done())
          self->onWritten(end, close);
        else
          self->write(close);
      });
}

void ServerSession::onWritten(error_code ec, bool close) {
  Serializer.reset();
  Response.reset();
  if (ec || State == Phase::Closed) {
    this->close(UnansweredCause::WriteFailed);
    return;
  }
  enter(Phase::Idle);
  if (close)
    linger();
  else if (Buffer.size() > 0)
    read(Wanted::Later); // Requests in a row would nest.
  else {
    // Gives the memory of a large request back while the client is idle.
    Buffer = {};
    waitReadable();
  }
}

void ServerSession::linger() {
  enter(Phase::Lingering);
  Buffer = {};
  error_code ec;
  Socket.shutdown(tcp::socket::shutdown_send, ec);
  if (ec)
    close();
  else
    discard();
}

void ServerSession::discard() {
  Socket.async_read_some(
      Buffer.prepare(DiscardBytes),
      [self = shared_from_this()](error_code ec, std::size_t) {
        if (self->State != Phase::Lingering)
          return;
        if (ec)
          self->close();
        else
          self->discard();
      });
}

void ServerSession::closeIfLate(core::TimePoint now) {
  if (!Server)
    return;
  if (State == Phase::Handling && !WaitPending && hasClientClosed()) {
    abandon();
    return;
  }
  const auto &limits = Server->limits();
  // A request may have come that the loop has not seen yet.
  const bool isIdle = State == Phase::Idle &&
                      now - Since > limits.IdleTimeout && !hasMoreBytes();
  const bool isSlow = State == Phase::Reading && Parser &&
                      !Parser->is_header_done() &&
                      now - Since > limits.HeaderTimeout;
  const bool isStuck = (State == Phase::Writing || State == Phase::Reading) &&
                       now - Since > limits.IdleTimeout + limits.HeaderTimeout;
  const bool hasLingered =
      State == Phase::Lingering && now - Since > LingerTimeout;
  if (isIdle || isSlow || isStuck || hasLingered)
    close(UnansweredCause::WriteTimedOut);
}

void ServerSession::reportUnanswered(UnansweredCause cause) {
  const bool isBusy = State == Phase::Handling || State == Phase::Writing;
  if (!isBusy || !Server || !Server->OnUnanswered)
    return;
  const auto exchange = Current.lock();
  const bool isHandled = State == Phase::Handling && exchange;
  Server->OnUnanswered({cause, isHandled ? &exchange->request() : nullptr,
                        core::BootClock::now() - Since});
}

void ServerSession::close(UnansweredCause cause) {
  if (State == Phase::Closed)
    return;
  reportUnanswered(cause);
  enter(Phase::Closed);
  error_code ignored; // Nothing is left to do on a failed close.
  Socket.close(ignored);
}

} // namespace acaciaroad::net
