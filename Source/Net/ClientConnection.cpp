#include "Net/ClientConnection.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace acaciaroad::net {

using boost::asio::ip::tcp;
using boost::beast::error_code;

namespace {

/// Foreign answers that are passed over before a connection is given up.
constexpr int MostSkipped = 2;

/// Requests on one connection; bounds the names that it keeps to 8 KiB.
constexpr std::size_t MostNames = 1024;

/// The usual limit of servers for a head, in bytes.
constexpr std::uint32_t HeadBytes = 8U << 10U;

/// Bytes that one call may read, as a multiple of the largest body: chunks of
/// some bytes each take up as much as their content.
constexpr std::uint64_t MostTaken = 2;

/// Interval at which a connection that the server has ended is checked until
/// the server has acknowledged the request.
constexpr core::Duration EndCheckInterval = std::chrono::milliseconds(5);

/// Share of the server's stated keep-alive time that is used, in percent; the
/// rest is room for the way.
constexpr int KeepAliveShare = 70;

std::size_t hashOf(std::string_view name) {
  return std::hash<std::string_view>()(name);
}

/// Returns the seconds of "timeout=N", if any.
std::optional<int> keepAliveSeconds(std::string_view value) {
  constexpr std::string_view Name = "timeout=";
  const auto at = value.find(Name);
  if (at == std::string_view::npos)
    return std::nullopt;
  value.remove_prefix(at + Name.size());
  int out = 0;
  const auto [it, ec] =
      std::from_chars(value.data(), value.data() + value.size(), out);
  if (ec != std::errc())
    return std::nullopt;
  return out;
}

/// Whether \p text holds the beginning of a status line.
bool holdsStatusLine(std::string_view text) {
  constexpr std::string_view Version = "HTTP/1.";
  constexpr std::string_view Pattern = "HTTP/1.1 200";
  const auto isDigit = [](char it) { return it >= '0' && it <= '9'; };
  for (auto at = text.find(Version); at != std::string_view::npos;
       at = text.find(Version, at + 1)) {
    const std::string_view rest = text.substr(at).substr(0, Pattern.size());
    if (rest.size() == Pattern.size() && isDigit(rest[7]) && rest[8] == ' ' &&
        std::all_of(rest.begin() + 9, rest.end(), isDigit))
      return true;
  }
  return false;
}

/// Whether the head of an answer that broke off runs into another answer.
bool isJoined(const HttpResponse &response) {
  return holdsStatusLine(toView(response.reason())) ||
         std::any_of(response.begin(), response.end(), [](const auto &it) {
           return holdsStatusLine(toView(it.value()));
         });
}

/// Returns why an answer with the head of \p response can't be taken, or
/// nothing.
std::string headFault(const HttpResponse &response) {
  constexpr unsigned First = 100;
  constexpr unsigned Last = 599;
  const unsigned status = response.result_int();
  // No request asks for another protocol.
  if (status < First || status > Last ||
      response.result() == http::status::switching_protocols)
    return fmt::format("answer with status {:03}", status);
  // The parser undoes "chunked", and passes other codings over.
  const auto codings = response[http::field::transfer_encoding];
  if (!codings.empty() && !boost::beast::iequals(codings, "chunked"))
    return "answer with transfer coding " + std::string(toView(codings));
  return {};
}

/// Whether the peer has reset \p socket, also if an operation on it has
/// already taken the error. It must not have been closed on this side.
bool isReset(tcp::socket &socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  return ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info,
                      &size) != 0 ||
         info.tcpi_state == TCP_CLOSE;
}

/// Whether the peer has acknowledged all that was sent on \p socket.
bool isAcknowledged(tcp::socket &socket) {
  int unacknowledged = 0;
  return ::ioctl(socket.native_handle(), TIOCOUTQ, &unacknowledged) == 0 &&
         unacknowledged == 0;
}

} // namespace

ClientConnection::ClientConnection(std::shared_ptr<HttpClient> client)
    : Client(std::move(client)), Socket(Client->Loop),
      ConnectTimer(Client->Loop), EndTimer(Client->Loop),
      IdleLimit(Client->Options.IdleLimit) {
  ++Client->Open;
}

ClientConnection::~ClientConnection() { --Client->Open; }

void ClientConnection::start(HttpRequest request, CallHandler handler,
                             PartHandler onPart, SendHook onSend) {
  Request.emplace(std::move(request));
  Request->keep_alive(true);
  Request->prepare_payload();
  Handler = std::move(handler);
  OnPart = std::move(onPart);
  OnSend = std::move(onSend);
  Skipped = 0;
  Taken = 0;
  IsFinished = false;
  if (Client->Options.RequestName)
    Names.push_back(hashOf(Client->Options.RequestName(*Request)));
  IsKept = Connected;
  if (IsKept)
    send();
  else
    connect();
}

void ClientConnection::cancel() {
  const CallHandler dropped = takeHandler();
  close();
}

void ClientConnection::close() {
  Connected = false;
  Reusable = false;
  Parser.reset();
  Share.reset();
  ConnectTimer.cancel();
  EndTimer.cancel();
  error_code ignored; // Nothing is left to do on a failed close.
  Socket.close(ignored);
}

bool ClientConnection::isUsable(core::TimePoint now) {
  if (!Connected || !Reusable || now - IdleSince >= IdleLimit ||
      Buffer.size() > 0)
    return false;
  char buf = 0;
  const auto n =
      ::recv(Socket.native_handle(), &buf, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && errno == EAGAIN;
}

bool ClientConnection::mayCarry(const HttpRequest &request) const {
  if (!Client->Options.RequestName)
    return true;
  const std::string_view name = Client->Options.RequestName(request);
  return !name.empty() &&
         std::find(Names.begin(), Names.end(), hashOf(name)) == Names.end();
}

void ClientConnection::connect() {
  ++Client->Connects;
  ConnectTimer.start(
      Client->Options.ConnectTimeout, [self = shared_from_this()] {
        self->ConnectLate = true;
        error_code ignored; // The connect operation reports the failure.
        self->Socket.close(ignored);
      });
  Socket.async_connect(
      toSocketAddress(Client->Server),
      [self = shared_from_this()](error_code ec) { self->onConnected(ec); });
}

void ClientConnection::onConnected(error_code ec) {
  ConnectTimer.cancel();
  if (ConnectLate)
    ec = boost::asio::error::timed_out;
  if (ec) {
    fail(CallEnd::NotSent, ec);
    return;
  }
  if (!Handler)
    return;
  Connected = true;
  setSocketOptions();
  send();
}

void ClientConnection::setSocketOptions() {
  error_code ignored; // Without it, requests only go out later.
  Socket.set_option(tcp::no_delay(true), ignored);
  Socket.non_blocking(true, ignored);
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      Client->Options.SendTimeout);
  const auto value = static_cast<unsigned>(ms.count());
  ::setsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &value,
               sizeof(value));
}

void ClientConnection::send() {
  const auto hook = std::exchange(OnSend, nullptr);
  if (!hook || hook(*Request))
    write();
  else
    holdBack();
}

void ClientConnection::holdBack() {
  Request.reset();
  if (Client->Options.RequestName)
    Names.pop_back();
  if (!IsKept)
    IdleSince = core::BootClock::now();
  boost::asio::post(Socket.get_executor(), [self = shared_from_this()] {
    CallResult out;
    out.Detail = "held back";
    out.IsHeldBack = true;
    out.IsKept = self->IsKept;
    const CallHandler handler = self->takeHandler();
    self->park();
    if (handler)
      handler(std::move(out));
  });
}

void ClientConnection::write() {
  Serializer.emplace(*Request);
  error_code ec;
  if (!Socket.non_blocking())
    ec = boost::asio::error::would_block;
  while (!ec && !Serializer->is_done())
    http::write_some(Socket, *Serializer, ec);
  IsWriting = ec.failed();
  // Tells of an error too.
  if (IsWriting)
    http::async_write(Socket, *Serializer,
                      [self = shared_from_this()](error_code end, std::size_t) {
                        self->onWritten(end);
                      });
  read();
}

void ClientConnection::onWritten(error_code ec) {
  IsWriting = false;
  if (ec) {
    Reusable = false;
    HasWriteFailed = true;
  }
  if (!IsFinished)
    return;
  // The answer came before the whole body was sent.
  Request.reset();
  park();
}

void ClientConnection::park() {
  // Gives the memory of a large answer back while the connection is idle.
  if (Buffer.size() == 0)
    Buffer.shrink_to_fit();
  if (Reusable)
    Client->release(shared_from_this());
  else
    close();
}

void ClientConnection::read() {
  Parser.emplace();
  Share.emplace(Client->Options.Memory, [this] { giveUpAnswer(); });
  Parser->eager(true);
  Parser->header_limit(HeadBytes);
  Parser->body_limit(Client->Options.BodyBytes);
  if (Request->method() == http::verb::head)
    Parser->skip(true);
  parse();
}

// Beast's own operations go on for as long as part of a line is missing, so
// that their caller can't bound what they take in.
void ClientConnection::parse() {
  error_code ec;
  const bool hadHead = Parser->is_header_done();
  if (Buffer.size() > 0)
    Buffer.consume(Parser->put(Buffer.data(), ec));
  if (ec == http::error::need_more)
    ec = {};
  if (!hadHead && Parser->is_header_done()) {
    std::string fault = headFault(Parser->get());
    if (!fault.empty()) {
      breakOff({CallEnd::Broken, {}, std::move(fault)});
      return;
    }
  }
  Share->resize(Parser->get().body().size());
  if (!Handler)
    return;
  reserveForRead(Buffer, *Parser);
  const std::size_t size = boost::beast::read_size(Buffer, UnparsedBytes);
  if (!ec && !Parser->is_done() && size == 0)
    ec = http::error::buffer_overflow;
  if (ec || Parser->is_done()) {
    onRead(ec);
    return;
  }
  Socket.async_read_some(
      Buffer.prepare(size),
      [self = shared_from_this()](error_code end, std::size_t n) {
        self->onReceived(end, n);
      });
}

void ClientConnection::onReceived(error_code ec, std::size_t n) {
  if (!Handler)
    return;
  Buffer.commit(n);
  Taken += n;
  if (n > 0 && OnPart)
    OnPart();
  if (!ec && Taken > HeadBytes + MostTaken * Client->Options.BodyBytes)
    ec = http::error::body_limit;
  if (!ec) {
    parse();
    return;
  }
  if (ec == boost::asio::error::eof) {
    ec = http::error::end_of_stream;
    if (Parser->got_some())
      Parser->put_eof(ec);
  }
  onRead(ec);
}

void ClientConnection::onRead(error_code ec) {
  if (!Handler)
    return;
  if (ec) {
    fail(CallEnd::Broken, ec);
    return;
  }
  if (Parser->need_eof())
    onEnded();
  else
    onAnswer();
}

// A write may have taken the error of a reset, and the read then sees an
// orderly end. A server that fails while it reads ends the connection, too, and
// resets it only once more of the request comes.
void ClientConnection::onEnded() {
  if (HasWriteFailed || isReset(Socket)) {
    fail(CallEnd::Broken, boost::asio::error::connection_reset);
    return;
  }
  if (!IsWriting && isAcknowledged(Socket)) {
    onAnswer();
    return;
  }
  EndTimer.start(EndCheckInterval, [self = shared_from_this()] {
    if (self->Handler)
      self->onEnded();
  });
}

void ClientConnection::onAnswer() {
  const auto &response = Parser->get();
  if (isJoined(response)) {
    fail(CallEnd::Broken, boost::asio::error::invalid_argument);
    return;
  }
  const bool isInterim = response.result_int() < 200;
  if (!isInterim && isOwn(response)) {
    finish();
    return;
  }
  IsFresh = IsFresh && isInterim;
  Reusable = Reusable && isInterim;
  if (++Skipped > MostSkipped || Parser->need_eof())
    fail(CallEnd::Broken, boost::asio::error::invalid_argument);
  else
    read();
}

bool ClientConnection::isOwn(const HttpResponse &response) const {
  if (!Client->Options.AnswerName)
    return true;
  const std::string_view name = Client->Options.AnswerName(response);
  return name.empty() ? IsFresh : name == Client->Options.RequestName(*Request);
}

void ClientConnection::noteKeepAlive() {
  IsFresh = false;
  if (Client->Options.CloseEndsIdle && !Parser->keep_alive())
    Client->dropIdle();
  Reusable = Reusable && Parser->keep_alive() && Buffer.size() == 0 &&
             Names.size() < MostNames;
  IdleLimit = Client->Options.IdleLimit;
  const auto stated =
      keepAliveSeconds(toView(Parser->get()[http::field::keep_alive]));
  if (stated)
    IdleLimit = std::min<core::Duration>(
        IdleLimit, std::chrono::seconds(*stated) * KeepAliveShare / 100);
  IdleSince = core::BootClock::now();
}

void ClientConnection::finish() {
  noteKeepAlive();
  CallResult out;
  out.End = CallEnd::Answered;
  out.IsKept = IsKept;
  out.Response = Parser->release();
  Parser.reset();
  Share.reset();
  IsFinished = true;
  const CallHandler handler = takeHandler();
  if (!IsWriting) {
    Request.reset();
    park();
  }
  handler(std::move(out));
}

void ClientConnection::fail(CallEnd end, error_code ec) {
  CallResult out;
  out.End = end;
  out.Detail = ec.message();
  out.IsRefused =
      end == CallEnd::NotSent && ec == boost::asio::error::connection_refused;
  out.IsTooLarge = ec == http::error::header_limit ||
                   ec == http::error::body_limit ||
                   ec == http::error::buffer_overflow;
  breakOff(std::move(out));
}

void ClientConnection::giveUpAnswer() {
  breakOff({CallEnd::Broken, {}, "no memory for the answer", false, true});
}

CallHandler ClientConnection::takeHandler() {
  OnPart = nullptr;
  OnSend = nullptr;
  return std::exchange(Handler, nullptr);
}

void ClientConnection::breakOff(CallResult result) {
  result.IsKept = IsKept;
  const CallHandler handler = takeHandler();
  close();
  if (handler)
    handler(std::move(result));
}

} // namespace acaciaroad::net
