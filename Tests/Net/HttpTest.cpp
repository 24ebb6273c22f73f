#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "Net/HttpClient.h"
#include "Net/HttpServer.h"
#include "Support/EndlessServer.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::net;
using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

enum class AfterAnswer { Keep, Close, Reset };

/// Accepts one connection, reads what comes, and answers with fixed bytes.
class ScriptedServer {
public:
  ScriptedServer(boost::asio::io_context &loop, std::string bytes,
                 AfterAnswer after)
      : Acceptor(loop,
                 tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        Socket(loop), Bytes(std::move(bytes)), After(after) {
    Acceptor.async_accept(Socket, [this](error_code ec) {
      if (!ec)
        read();
    });
  }

  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }
  std::size_t received() const { return Received; }

private:
  void read() {
    Socket.async_read_some(boost::asio::buffer(Buffer),
                           [this](error_code ec, std::size_t n) {
                             Received += n;
                             if (ec)
                               return;
                             if (!std::exchange(HasAnswered, true))
                               answer();
                             read();
                           });
  }

  void answer() {
    error_code ignored; // The client may have gone.
    boost::asio::write(Socket, boost::asio::buffer(Bytes), ignored);
    if (After == AfterAnswer::Keep)
      return;
    if (After == AfterAnswer::Reset)
      Socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    Socket.close(ignored);
  }

  tcp::acceptor Acceptor;
  tcp::socket Socket;
  std::string Bytes;
  AfterAnswer After;
  std::array<char, 65536> Buffer{};
  std::size_t Received = 0;
  bool HasAnswered = false;
};

ClientOptions makeOptions() {
  ClientOptions out{milliseconds(500), seconds(1), seconds(5),
                    1U << 20U,         4,          {}};
  out.Belongs = [](const HttpRequest &request, const HttpResponse &response) {
    const auto id = fieldOf(response, "id");
    return id.empty() || id == fieldOf(request, "id");
  };
  return out;
}

struct AnswerRow {
  const char *Name;
  const char *Bytes;
  AfterAnswer After;
  CallEnd End;
  const char *Body;
};

const AnswerRow AnswerRows[] = {
    {"whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nid: 1\r\n\r\nok",
     AfterAnswer::Keep, CallEnd::Answered, "ok"},
    {"chunked",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nid: 1\r\n\r\n"
     "2\r\nok\r\n0\r\n\r\n",
     AfterAnswer::Keep, CallEnd::Answered, "ok"},
    {"to the end of the connection", "HTTP/1.1 200 OK\r\nid: 1\r\n\r\nok",
     AfterAnswer::Close, CallEnd::Answered, "ok"},
    {"reset before the end of the connection",
     "HTTP/1.1 200 OK\r\nid: 1\r\n\r\nok", AfterAnswer::Reset, CallEnd::Broken,
     ""},
    {"shorter than its length",
     "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nid: 1\r\n\r\nok",
     AfterAnswer::Close, CallEnd::Broken, ""},
    {"chunks without an end",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nid: "
     "1\r\n\r\n2\r\nok\r\n",
     AfterAnswer::Close, CallEnd::Broken, ""},
    {"no HTTP", "garbage\r\n\r\n", AfterAnswer::Keep, CallEnd::Broken, ""},
    {"nothing", "", AfterAnswer::Close, CallEnd::Broken, ""},
    {"another request's answer first",
     "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nid: 0\r\n\r\nold"
     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nid: 1\r\n\r\nok",
     AfterAnswer::Keep, CallEnd::Answered, "ok"},
    {"only another request's answer",
     "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nid: 0\r\n\r\nold",
     AfterAnswer::Close, CallEnd::Broken, ""},
    {"an interim answer first",
     "HTTP/1.1 100 Continue\r\n\r\n"
     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nid: 1\r\n\r\nok",
     AfterAnswer::Keep, CallEnd::Answered, "ok"},
};

struct RequestRow {
  const char *Name;
  const char *Bytes;
  /// Requests that the handler gets.
  int Requests;
  /// First line of what comes back; empty if the connection just ends.
  const char *Status;
};

const RequestRow RequestRows[] = {
    {"plain", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 1, "HTTP/1.1 200 OK"},
    {"two at once",
     "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", 2,
     "HTTP/1.1 200 OK"},
    {"chunked body",
     "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
     "2\r\nab\r\n0\r\n\r\n",
     1, "HTTP/1.1 200 OK"},
    {"two lengths that differ",
     "POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", 0,
     "HTTP/1.1 400 Bad Request"},
    {"length and chunks",
     "POST / HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n"
     "\r\n0\r\n\r\n",
     0, "HTTP/1.1 400 Bad Request"},
    {"chunks and length",
     "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n"
     "\r\n0\r\n\r\n",
     0, "HTTP/1.1 400 Bad Request"},
    {"a length that is no number",
     "POST / HTTP/1.1\r\nContent-Length: -2\r\n\r\nab", 0,
     "HTTP/1.1 400 Bad Request"},
    {"a space before the colon", "GET / HTTP/1.1\r\nHost : h\r\n\r\n", 0,
     "HTTP/1.1 400 Bad Request"},
    {"a folded line", "GET / HTTP/1.1\r\nA: b\r\n Content-Length: 9\r\n\r\n", 1,
     "HTTP/1.1 200 OK"},
    {"a body above the limit",
     "POST / HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n", 0,
     "HTTP/1.1 413 Payload Too Large"},
    {"a body beyond what is held",
     "POST / HTTP/1.1\r\nContent-Length: 550000\r\n\r\n", 0,
     "HTTP/1.1 503 Service Unavailable"},
    {"a body that breaks off",
     "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc", 0, ""},
};

} // namespace

ACACIA_TABLE_TEST(HttpClient, ReadsAnswers, AnswerRows) {
  boost::asio::io_context loop;
  ScriptedServer server(loop, row.Bytes, row.After);
  const auto client =
      HttpClient::create(loop, {"127.0.0.1", server.port()}, makeOptions());
  HttpRequest request{http::verb::get, "/", 11};
  request.set("id", "1");
  CallResult result;
  const auto call = client->send(std::move(request), [&](CallResult it) {
    result = std::move(it);
    loop.stop();
  });
  loop.run_for(seconds(2));
  cr_assert(result.End == row.End, "%s: %s", row.Name, result.Detail.c_str());
  if (row.End == CallEnd::Answered)
    cr_assert_eq(result.Response.body(), row.Body, "%s", row.Name);
  client->dropIdle();
}

Test(HttpClient, SendsTheRestAfterAnEarlyAnswer) {
  constexpr std::size_t BodyBytes = 8U << 20U;
  boost::asio::io_context loop;
  ScriptedServer server(loop, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
                        AfterAnswer::Keep);
  const auto client =
      HttpClient::create(loop, {"127.0.0.1", server.port()}, makeOptions());
  HttpRequest request{http::verb::post, "/", 11};
  request.body().assign(BodyBytes, 'x');
  unsigned status = 0;
  const auto call = client->send(std::move(request), [&](const CallResult &it) {
    status = it.Response.result_int();
  });
  loop.run_for(seconds(2));
  cr_assert_eq(status, 503U);
  cr_assert_geq(server.received(), BodyBytes);
  client->dropIdle();
}

Test(HttpClient, TellsThatNothingWasSent) {
  boost::asio::io_context loop;
  std::uint16_t port = 0;
  {
    const ScriptedServer closed(loop, "", AfterAnswer::Close);
    port = closed.port();
  }
  const auto client =
      HttpClient::create(loop, {"127.0.0.1", port}, makeOptions());
  CallResult result;
  result.End = CallEnd::Answered;
  const auto call =
      client->send({http::verb::get, "/", 11},
                   [&](CallResult it) { result = std::move(it); });
  loop.run_for(seconds(2));
  cr_assert(result.End == CallEnd::NotSent);
  cr_assert(result.IsRefused);
}

ACACIA_TABLE_TEST(HttpServer, ReadsRequests, RequestRows) {
  boost::asio::io_context loop;
  int requests = 0;
  const auto server = HttpServer::create(
      loop, {"127.0.0.1", 0},
      {4096, 600'000, seconds(1), seconds(2), 512U << 10U},
      [&](const std::shared_ptr<Exchange> &exchange) {
        ++requests;
        exchange->respond(HttpResponse(http::status::ok, 11));
      });
  cr_assert(server.has_value());
  tcp::socket socket(loop);
  socket.connect({boost::asio::ip::address_v4::loopback(), (*server)->port()});
  boost::asio::write(socket, boost::asio::buffer(std::string(row.Bytes)));
  socket.shutdown(tcp::socket::shutdown_send);
  std::string answer;
  boost::asio::async_read(socket, boost::asio::dynamic_buffer(answer),
                          [&](error_code, std::size_t) { loop.stop(); });
  loop.run_for(seconds(3));
  cr_assert_eq(requests, row.Requests, "%s: %d", row.Name, requests);
  cr_assert_eq(answer.substr(0, answer.find("\r\n")), row.Status, "%s: %s",
               row.Name, answer.c_str());
}

namespace {

/// In bytes; the answer doesn't fit into what the client takes in unread.
constexpr std::size_t LargeAnswer = 300'000;
constexpr int SmallWindow = 4096;

/// Requests that are answered while their client still sends.
const RequestRow EarlyAnswerRows[] = {
    {"a body above the limit",
     "POST / HTTP/1.1\r\nContent-Length: 4000000\r\n\r\n", 0,
     "HTTP/1.1 413 Payload Too Large"},
    {"a body beyond what is held",
     "POST / HTTP/1.1\r\nContent-Length: 550000\r\n\r\n", 0,
     "HTTP/1.1 503 Service Unavailable"},
    {"no HTTP", "garbage\r\n\r\n", 0, "HTTP/1.1 400 Bad Request"},
    {"bytes behind the last request",
     "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", 1,
     "HTTP/1.1 200 OK"},
};

} // namespace

// Closing a socket with unread bytes resets it, and drops what has not gone
// out.
ACACIA_TABLE_TEST(HttpServer, AnswerOutlivesUnreadBytes, EarlyAnswerRows) {
  boost::asio::io_context loop;
  int requests = 0;
  const auto server =
      HttpServer::create(loop, {"127.0.0.1", 0},
                         {4096, 600'000, seconds(1), seconds(2), 512U << 10U},
                         [&](const std::shared_ptr<Exchange> &exchange) {
                           ++requests;
                           HttpResponse out(http::status::ok, 11);
                           out.body().assign(LargeAnswer, 'x');
                           exchange->respond(std::move(out));
                         });
  cr_assert(server.has_value());
  tcp::socket socket(loop, tcp::v4());
  socket.set_option(boost::asio::socket_base::receive_buffer_size(SmallWindow));
  socket.connect({boost::asio::ip::address_v4::loopback(), (*server)->port()});
  const std::string sent = row.Bytes + std::string(4U << 20U, 'x');
  boost::asio::async_write(socket, boost::asio::buffer(sent),
                           [](error_code, std::size_t) {});
  // The client reads only after it has sent for a while.
  std::string answer;
  error_code end;
  boost::asio::steady_timer timer(loop, milliseconds(200));
  timer.async_wait([&](error_code) {
    boost::asio::async_read(socket, boost::asio::dynamic_buffer(answer),
                            [&](error_code ec, std::size_t) {
                              end = ec;
                              loop.stop();
                            });
  });
  loop.run_for(seconds(3));
  cr_assert_eq(requests, row.Requests, "%s: %d", row.Name, requests);
  cr_assert_eq(answer.substr(0, answer.find("\r\n")), row.Status, "%s: %s",
               row.Name, answer.c_str());
  if (row.Requests > 0)
    cr_assert_gt(answer.size(), LargeAnswer, "%s: %zu", row.Name,
                 answer.size());
  cr_assert(end == boost::asio::error::eof, "%s: %s", row.Name,
            end.message().c_str());
}

Test(HttpServer, TellsThatAClientHasLeft) {
  boost::asio::io_context loop;
  bool hasLeft = false;
  std::shared_ptr<Exchange> kept;
  const auto server = HttpServer::create(
      loop, {"127.0.0.1", 0}, {4096, 4096, seconds(1), seconds(2)},
      [&](const std::shared_ptr<Exchange> &exchange) {
        kept = exchange;
        exchange->setOnAbandoned([&] {
          hasLeft = true;
          loop.stop();
        });
      });
  const auto client =
      HttpClient::create(loop, {"127.0.0.1", (*server)->port()}, makeOptions());
  const auto call =
      client->send({http::verb::get, "/", 11}, [](const CallResult &) {});
  boost::asio::steady_timer timer(loop, milliseconds(50));
  timer.async_wait([&](error_code) { call->cancel(); });
  loop.run_for(seconds(2));
  cr_assert(hasLeft);
}

namespace {

struct UnansweredRow {
  const char *Name;
  /// What happens to a request that has been read.
  enum { Leave, Stop, Answer } What;
  /// Empty if the request isn't lost.
  const char *Cause;
};

const UnansweredRow UnansweredRows[] = {
    {"the client leaves", UnansweredRow::Leave, "client left"},
    {"the server goes away", UnansweredRow::Stop, "server stopped"},
    {"the request is answered", UnansweredRow::Answer, ""},
};

} // namespace

ACACIA_TABLE_TEST(HttpServer, TellsOfUnansweredRequests, UnansweredRows) {
  boost::asio::io_context loop;
  std::shared_ptr<Exchange> kept;
  auto server = *HttpServer::create(
      loop, {"127.0.0.1", 0}, {4096, 4096, seconds(1), seconds(2)},
      [&](const std::shared_ptr<Exchange> &exchange) { kept = exchange; });
  std::string cause;
  std::string id;
  server->setOnUnanswered([&](const UnansweredRequest &it) {
    cause = toString(it.Cause);
    if (it.Request != nullptr)
      id = fieldOf(*it.Request, "id");
  });
  const auto client =
      HttpClient::create(loop, {"127.0.0.1", server->port()}, makeOptions());
  HttpRequest request(http::verb::get, "/", 11);
  request.set("id", "1");
  const auto call = client->send(std::move(request), [](const CallResult &) {});
  loop.run_for(milliseconds(50));
  cr_assert(kept != nullptr);
  if (row.What == UnansweredRow::Leave)
    call->cancel();
  else if (row.What == UnansweredRow::Stop)
    server.reset();
  else
    kept->respond(HttpResponse(http::status::ok, 11));
  loop.restart();
  loop.run_for(milliseconds(50));
  cr_assert_eq(cause, row.Cause, "%s: %s", row.Name, cause.c_str());
  cr_assert_eq(id, row.Cause[0] == '\0' ? "" : "1", "%s", row.Name);
  client->dropIdle();
}

// After a pause of the process, an answer and its timeout are due at once. The
// timeout must not end the call that uses the connection next.
Test(SendWithTimeout, LeavesTheNextCallAlone) {
  boost::asio::io_context loop;
  constexpr auto Timeout = milliseconds(30);
  bool isFirst = true;
  const auto server = *HttpServer::create(
      loop, {"127.0.0.1", 0}, {4096, 4096, seconds(1), seconds(5)},
      [&](const std::shared_ptr<Exchange> &exchange) {
        exchange->respond(HttpResponse(http::status::ok, 11));
        if (std::exchange(isFirst, false))
          std::this_thread::sleep_for(2 * Timeout);
      });
  const auto client =
      HttpClient::create(loop, {"127.0.0.1", server->port()},
                         {seconds(1), seconds(1), seconds(5), 1024, 4, {}});
  std::vector<CallEnd> ends;
  const HttpRequest request(http::verb::get, "/", 11);
  sendWithTimeout(loop, *client, request, Timeout, [&](const CallResult &one) {
    ends.push_back(one.End);
    sendWithTimeout(loop, *client, request, 20 * Timeout,
                    [&](const CallResult &other) {
                      ends.push_back(other.End);
                      loop.stop();
                    });
  });
  loop.run_for(seconds(3));
  client->dropIdle();
  cr_assert_eq(ends.size(), 2U);
  cr_assert(ends[1] == CallEnd::Answered);
}

// A server closes connections that are idle for long; the client gives their
// descriptors back although it needs no connection.
Test(HttpClient, ClosesWhatTheServerHasClosed) {
  boost::asio::io_context loop;
  const auto server = *HttpServer::create(
      loop, {"127.0.0.1", 0},
      {4096, 4096, milliseconds(100), milliseconds(100)},
      [](const std::shared_ptr<Exchange> &exchange) {
        exchange->respond(HttpResponse(http::status::ok, 11));
      });
  const auto client =
      HttpClient::create(loop, {"127.0.0.1", server->port()},
                         {seconds(1), seconds(1), seconds(60), 1024, 4, {}});
  const auto call =
      client->send({http::verb::get, "/", 11}, [](const CallResult &) {});
  loop.run_for(milliseconds(50));
  client->closeStale();
  cr_assert_eq(client->connections(), 1U);
  loop.run_for(seconds(2));
  client->closeStale();
  loop.run_for(milliseconds(50));
  cr_assert_eq(server->connections(), 0U);
  cr_assert_eq(client->idle(), 0U);
}

Test(HttpClient, KeepsNoConnectionOnceItIsRetired) {
  boost::asio::io_context loop;
  const auto server = *HttpServer::create(
      loop, {"127.0.0.1", 0}, {4096, 4096, seconds(1), seconds(5)},
      [](const std::shared_ptr<Exchange> &exchange) {
        exchange->respond(HttpResponse(http::status::ok, 11));
      });
  const auto client =
      HttpClient::create(loop, {"127.0.0.1", server->port()},
                         {seconds(1), seconds(1), seconds(60), 1024, 4, {}});
  bool isAnswered = false;
  const auto call =
      client->send({http::verb::get, "/", 11}, [&](const CallResult &it) {
        isAnswered = it.End == CallEnd::Answered;
      });
  client->retire();
  loop.run_for(milliseconds(200));
  cr_assert(isAnswered);
  cr_assert_eq(client->idle(), 0U);
}

namespace {

/// In bytes; what the buffers of two sockets on one machine take besides.
constexpr std::size_t SocketBuffers = 8U << 20U;

const char *const ChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nid: 1\r\n\r\n";

struct EndlessRow {
  const char *Name;
  std::string Prefix;
  std::string Piece;
  CallEnd End;
  bool IsTooLarge;
};

const EndlessRow EndlessRows[] = {
    {"a status line", "HTTP/1.1 200 ", "x", CallEnd::Broken, true},
    {"a header field", "HTTP/1.1 200 OK\r\nX: ", "x", CallEnd::Broken, true},
    {"a folded header field", "HTTP/1.1 200 OK\r\nX: y", "\r\n y",
     CallEnd::Broken, true},
    {"header fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n", CallEnd::Broken, true},
    {"no HTTP", "", "x", CallEnd::Broken, false},
    {"empty lines", "", "\r\n", CallEnd::Broken, false},
    {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", CallEnd::Broken,
     false},
    {"answers to another request", "",
     "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nid: 0\r\n\r\nold",
     CallEnd::Broken, false},
    {"a body without a length", "HTTP/1.1 200 OK\r\nid: 1\r\n\r\n", "x",
     CallEnd::Broken, true},
    {"chunks", ChunkedHead, "2\r\nok\r\n", CallEnd::Broken, true},
    {"a chunk's size", ChunkedHead, "0", CallEnd::Broken, true},
    {"a chunk's extension", std::string(ChunkedHead) + "1;a=", "b",
     CallEnd::Broken, true},
    {"extensions of a chunk", std::string(ChunkedHead) + "1", ";a=b",
     CallEnd::Broken, true},
    {"chunks with long extensions", ChunkedHead,
     "1;a=" + std::string(4000, 'b') + "\r\nx\r\n", CallEnd::Broken, true},
    {"extensions of the last chunk", std::string(ChunkedHead) + "0", ";a=b",
     CallEnd::Broken, true},
    {"a trailer field", std::string(ChunkedHead) + "0\r\nX: ", "x",
     CallEnd::Broken, true},
    {"trailer fields", std::string(ChunkedHead) + "0\r\n", "X: y\r\n",
     CallEnd::Broken, true},
    {"bytes after a whole answer",
     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nid: 1\r\n\r\nok", "x",
     CallEnd::Answered, false},
};

} // namespace

// An upstream in trouble may send without end until its caller closes.
ACACIA_TABLE_TEST(HttpClient, EndsAnswersWithoutEnd, EndlessRows) {
  boost::asio::io_context loop;
  tests::EndlessServer server(loop, row.Prefix, row.Piece);
  const auto client =
      HttpClient::create(loop, {"127.0.0.1", server.port()}, makeOptions());
  HttpRequest request{http::verb::get, "/", 11};
  request.set("id", "1");
  std::optional<CallResult> result;
  const auto call = client->send(
      std::move(request), [&](CallResult it) { result = std::move(it); });
  loop.run_for(seconds(1));
  client->closeStale();
  loop.restart();
  loop.run_for(milliseconds(200));
  cr_assert(result.has_value(), "%s: %zu bytes, no end", row.Name,
            server.sent());
  cr_assert(result->End == row.End, "%s: %s", row.Name, result->Detail.c_str());
  cr_assert_eq(result->IsTooLarge, row.IsTooLarge, "%s: %s", row.Name,
               result->Detail.c_str());
  cr_assert_leq(server.sent(), SocketBuffers + 2 * makeOptions().BodyBytes,
                "%s: %zu", row.Name, server.sent());
  cr_assert_eq(server.open(), 0, "%s", row.Name);
}

namespace {

struct ManyRow {
  const char *Name;
  std::string Prefix;
  std::string Piece;
};

const ManyRow ManyRows[] = {
    {"bodies without a length", "HTTP/1.1 200 OK\r\n\r\n", "x"},
    {"bodies of a stated length",
     "HTTP/1.1 200 OK\r\nContent-Length: 16777216\r\n\r\n", "x"},
    {"chunks", ChunkedHead, "400\r\n" + std::string(1024, 'x') + "\r\n"},
};

} // namespace

// Each answer alone is within its bound; a usual one among them is not harmed.
ACACIA_TABLE_TEST(HttpClient, BoundsAllAnswersTogether, ManyRows) {
  constexpr std::uint64_t MostHeld = 8U << 20U;
  constexpr int Calls = 24;
  constexpr std::size_t UsualAnswer = 300'000;
  boost::asio::io_context loop;
  tests::EndlessServer endless(loop, row.Prefix, row.Piece);
  const auto server = *HttpServer::create(
      loop, {"127.0.0.1", 0}, {4096, 4096, seconds(1), seconds(5)},
      [&](const std::shared_ptr<Exchange> &exchange) {
        HttpResponse out(http::status::ok, 11);
        out.body().assign(UsualAnswer, 'x');
        exchange->respond(std::move(out));
      });
  ClientOptions options = makeOptions();
  options.BodyBytes = 16U << 20U;
  options.MostConnections = Calls;
  options.Memory = AnswerMemory::create(MostHeld);
  const auto client =
      HttpClient::create(loop, {"127.0.0.1", endless.port()}, options);
  const auto other =
      HttpClient::create(loop, {"127.0.0.1", server->port()}, options);
  int tooLarge = 0;
  CallResult answered;
  for (int n = 0; n < Calls; ++n)
    client->send({http::verb::get, "/", 11}, [&](const CallResult &it) {
      tooLarge += it.IsTooLarge ? 1 : 0;
      // Asked while the others hold all that there is.
      if (tooLarge != 1)
        return;
      other->send({http::verb::get, "/", 11},
                  [&](CallResult result) { answered = std::move(result); });
    });
  loop.run_for(seconds(2));
  cr_assert_eq(tooLarge, Calls, "%s: %d", row.Name, tooLarge);
  cr_assert_eq(answered.Response.body().size(), UsualAnswer, "%s: %s", row.Name,
               answered.Detail.c_str());
  cr_assert_leq(endless.sent(), MostHeld + Calls * SocketBuffers, "%s: %zu",
                row.Name, endless.sent());
  cr_assert_eq(endless.open(), 0, "%s", row.Name);
  cr_assert_eq(options.Memory->held(), 0U, "%s", row.Name);
  other->dropIdle();
}

namespace {

struct EndlessRequestRow {
  const char *Name;
  std::string Prefix;
  std::string Piece;
  /// First line of what comes back.
  const char *Status;
};

const char *const ChunkedRequest =
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

const EndlessRequestRow EndlessRequestRows[] = {
    {"a request line", "GET /", "x",
     "HTTP/1.1 431 Request Header Fields Too Large"},
    {"header fields", "GET / HTTP/1.1\r\n", "X: y\r\n",
     "HTTP/1.1 431 Request Header Fields Too Large"},
    {"chunks", ChunkedRequest, "2\r\nok\r\n", "HTTP/1.1 413 Payload Too Large"},
    {"a chunk's extension", std::string(ChunkedRequest) + "1;a=", "b",
     "HTTP/1.1 400 Bad Request"},
    {"a trailer field", std::string(ChunkedRequest) + "0\r\nX: ", "x",
     "HTTP/1.1 400 Bad Request"},
    {"trailer fields", std::string(ChunkedRequest) + "0\r\n", "X: y\r\n",
     "HTTP/1.1 400 Bad Request"},
};

} // namespace

// The client sends on until the server answers.
ACACIA_TABLE_TEST(HttpServer, RefusesRequestsWithoutEnd, EndlessRequestRows) {
  boost::asio::io_context loop;
  const auto server = *HttpServer::create(
      loop, {"127.0.0.1", 0}, {4096, 4096, seconds(1), seconds(2)},
      [](const std::shared_ptr<Exchange> &) {});
  tcp::socket socket(loop);
  socket.connect({boost::asio::ip::address_v4::loopback(), server->port()});
  std::string pieces;
  while (pieces.size() < 16U << 10U)
    pieces += row.Piece;
  boost::asio::write(socket, boost::asio::buffer(row.Prefix));
  std::size_t sent = 0;
  std::function<void()> send = [&] {
    boost::asio::async_write(socket, boost::asio::buffer(pieces),
                             [&](error_code ec, std::size_t n) {
                               sent += n;
                               if (!ec)
                                 send();
                             });
  };
  send();
  std::string answer(1024, '\0');
  std::size_t length = 0;
  socket.async_read_some(boost::asio::buffer(answer),
                         [&](error_code, std::size_t n) {
                           length = n;
                           loop.stop();
                         });
  loop.run_for(milliseconds(500));
  answer.resize(length);
  cr_assert_eq(answer.substr(0, answer.find("\r\n")), row.Status,
               "%s: %s after %zu bytes", row.Name, answer.c_str(), sent);
  cr_assert_leq(sent, SocketBuffers, "%s: %zu", row.Name, sent);
}
