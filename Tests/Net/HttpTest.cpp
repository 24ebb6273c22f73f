#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <unistd.h>

#include "Net/DatagramSocket.h"
#include "Net/HttpClient.h"
#include "Net/HttpServer.h"
#include "Net/RunLoop.h"
#include "Support/ByteServer.h"
#include "Support/EndlessServer.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::net;
using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// One case alone uses it.
constexpr std::uint16_t DatagramPort = 23479;

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

void answerOk(const std::shared_ptr<Exchange> &exchange) {
  exchange->respond(HttpResponse(http::status::ok, 11));
}

ClientOptions makeOptions() {
  ClientOptions out{
      milliseconds(500), seconds(1), seconds(5), 1U << 20U, 4, {}, {}};
  out.RequestName = [](const HttpFields &fields) {
    return fieldOf(fields, "id");
  };
  out.AnswerName = out.RequestName;
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
    {"a body beyond all that is held",
     "POST / HTTP/1.1\r\nContent-Length: 550000\r\n\r\n", 0,
     "HTTP/1.1 413 Payload Too Large"},
    {"a body that breaks off",
     "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc", 0, ""},
};

/// What comes of an answer: its head at once, then pieces at equal distances.
struct PacedRow {
  const char *Name;
  bool HasHead;
  std::size_t Pieces;
  milliseconds Distance;
  /// Content-Length, in pieces.
  std::size_t Length;
  CallEnd End;
  milliseconds Least;
  milliseconds Most;
};

constexpr CallTimeout PacedTimeout{milliseconds(800), milliseconds(800),
                                   milliseconds(3200)};

const PacedRow PacedRows[] = {
    {"silence",
     false,
     0,
     {},
     1,
     CallEnd::Broken,
     milliseconds(800),
     milliseconds(1600)},
    {"a head alone",
     true,
     0,
     {},
     1,
     CallEnd::Broken,
     milliseconds(800),
     milliseconds(1600)},
    {"a trickle up to the end", true, 8, milliseconds(200), 8,
     CallEnd::Answered, milliseconds(1600), milliseconds(2600)},
    {"parts that stop half-way", true, 4, milliseconds(200), 8, CallEnd::Broken,
     milliseconds(1600), milliseconds(2600)},
    {"parts without end", true, 100, milliseconds(200), 200, CallEnd::Broken,
     milliseconds(3200), milliseconds(4200)},
};

} // namespace

namespace {

struct HugeAnswerRow {
  const char *Name;
  std::string Bytes;
};

const HugeAnswerRow HugeAnswerRows[] = {
    {"value in the header", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nA: " +
                                std::string(70'000, 'a') + "\r\n\r\n"},
    {"value behind the body",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: " +
         std::string(70'000, 'a') + "\r\n\r\n"},
};

struct ReadCountRow {
  std::size_t Length;
  std::size_t MostReads;
};
const ReadCountRow ReadCountRows[] = {{100, 1}, {1500, 1}, {60'000, 8}};

} // namespace

// The library throws for them, which ended the process.
ACACIA_TABLE_TEST(HttpClient, SurvivesHugeFields, HugeAnswerRows) {
  boost::asio::io_context loop;
  ScriptedServer server(loop, row.Bytes, AfterAnswer::Keep);
  const auto client =
      HttpClient::create(loop, {"127.0.0.1", server.port()}, makeOptions());
  CallResult result;
  result.End = CallEnd::NotSent;
  const auto call =
      client->send({http::verb::get, "/", 11}, [&](CallResult it) {
        result = std::move(it);
        loop.stop();
      });
  loop.run_for(seconds(2));
  cr_assert(result.End == CallEnd::Broken, "%s", row.Name);
  client->dropIdle();
}

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

namespace {

struct LateConnectRow {
  const char *Name;
  /// Between the moment at which the connection can be made and the one at
  /// which the process goes on; the connection is made a second after its
  /// start.
  core::Duration Timeout;
  core::Duration Pause;
  CallEnd End;
};

const LateConnectRow LateConnectRows[] = {
    {"in time", milliseconds(2500), milliseconds(1500), CallEnd::Answered},
    {"timeout due after the connection was made", milliseconds(1300),
     milliseconds(1600), CallEnd::Answered},
    {"timeout due before the connection is made", milliseconds(500),
     milliseconds(700), CallEnd::NotSent},
};

} // namespace

// After a pause of the process, a new connection and its timeout are due at
// once. The timeout must not close the connection under the request.
ACACIA_TABLE_TEST(HttpClient, KeepsACallWhoseConnectTimeoutIsDue,
                  LateConnectRows) {
  boost::asio::io_context loop;
  tcp::acceptor acceptor(loop);
  acceptor.open(tcp::v4());
  acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
  acceptor.listen(0);
  // Fills the queue of the listener, which drops the next opening packet; it is
  // sent again after a second.
  tcp::socket first(loop);
  first.connect(acceptor.local_endpoint());
  auto options = makeOptions();
  options.ConnectTimeout = row.Timeout;
  const auto client = HttpClient::create(
      loop, {"127.0.0.1", acceptor.local_endpoint().port()}, options);
  std::optional<CallEnd> end;
  HttpRequest request(http::verb::get, "/", 11);
  request.set("id", "1");
  const auto call = client->send(std::move(request), [&](CallResult result) {
    end = result.End;
    loop.stop();
  });
  loop.run_for(milliseconds(50));
  acceptor.accept();
  std::this_thread::sleep_for(row.Pause);
  std::string received;
  tcp::socket second(loop);
  acceptor.async_accept(second, [&](error_code ec) {
    if (ec)
      return;
    boost::asio::async_read_until(
        second, boost::asio::dynamic_buffer(received), "\r\n\r\n",
        [&](error_code failure, std::size_t) {
          if (!failure)
            boost::asio::write(
                second,
                boost::asio::buffer(std::string_view(
                    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nid: 1\r\n\r\n")),
                failure);
        });
  });
  loop.restart();
  loop.run_for(seconds(3));
  client->dropIdle();
  cr_assert(end.has_value(), "%s", row.Name);
  cr_assert(*end == row.End, "%s: %d", row.Name, static_cast<int>(*end));
  cr_assert_eq(received.empty(), row.End == CallEnd::NotSent, "%s", row.Name);
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
    {"a body beyond all that is held",
     "POST / HTTP/1.1\r\nContent-Length: 550000\r\n\r\n", 0,
     "HTTP/1.1 413 Payload Too Large"},
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

namespace {

/// Above what a field of a message can hold, 64 KB; in bytes.
constexpr std::size_t HugeField = 70'000;

std::string chunkedWith(const std::string &trailer) {
  return "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
         "2\r\nab\r\n0\r\n" +
         trailer + "\r\n\r\n";
}

struct HugeFieldRow {
  const char *Name;
  /// Of a server that lets large headers in.
  std::string Request;
  /// First line of what comes back.
  const char *Status;
};

const HugeFieldRow HugeFieldRows[] = {
    {"value in the header",
     "GET / HTTP/1.1\r\nA: " + std::string(HugeField, 'a') + "\r\n\r\n",
     "HTTP/1.1 431 Request Header Fields Too Large"},
    {"name in the header",
     "GET / HTTP/1.1\r\n" + std::string(HugeField, 'a') + ": a\r\n\r\n",
     "HTTP/1.1 431 Request Header Fields Too Large"},
    {"folded value in the header",
     "GET / HTTP/1.1\r\nA: a\r\n " + std::string(9000, 'a') + "\r\n\r\n",
     "HTTP/1.1 431 Request Header Fields Too Large"},
    {"value behind the body", chunkedWith("A: " + std::string(HugeField, 'a')),
     "HTTP/1.1 431 Request Header Fields Too Large"},
    {"name behind the body", chunkedWith(std::string(HugeField, 'a') + ": a"),
     "HTTP/1.1 431 Request Header Fields Too Large"},
    {"small value behind the body", chunkedWith("A: a"), "HTTP/1.1 200 OK"},
};

} // namespace

// The library throws for them, which ended the process.
ACACIA_TABLE_TEST(HttpServer, SurvivesHugeFields, HugeFieldRows) {
  boost::asio::io_context loop;
  const auto server = HttpServer::create(
      loop, {"127.0.0.1", 0}, {1U << 20U, 600'000, seconds(1), seconds(2)},
      answerOk);
  cr_assert(server.has_value());
  tcp::socket socket(loop);
  socket.connect({boost::asio::ip::address_v4::loopback(), (*server)->port()});
  boost::asio::async_write(
      socket, boost::asio::buffer(row.Request), [&](error_code, std::size_t) {
        error_code ignored; // The server may close first.
        socket.shutdown(tcp::socket::shutdown_send, ignored);
      });
  std::string answer;
  boost::asio::async_read(socket, boost::asio::dynamic_buffer(answer),
                          [&](error_code, std::size_t) { loop.stop(); });
  loop.run_for(seconds(3));
  cr_assert_eq(answer.substr(0, answer.find("\r\n")), row.Status, "%s: %s",
               row.Name, answer.c_str());
}

// A retry of the accept and the look for late connections once shared a timer.
Test(HttpServer, AcceptsAgainOnceDescriptorsAreFree) {
  boost::asio::io_context loop;
  const auto server = HttpServer::create(
      loop, {"127.0.0.1", 0}, {4096, 4096, seconds(1), seconds(2)}, answerOk);
  cr_assert(server.has_value());
  loop.run_for(milliseconds(10));
  tcp::socket socket(loop);
  socket.connect({boost::asio::ip::address_v4::loopback(), (*server)->port()});
  boost::asio::write(
      socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  // Both are due when the loop goes on, as after a pause of the process.
  std::this_thread::sleep_for(milliseconds(700));
  std::vector<int> taken;
  for (int it = ::dup(0); it >= 0; it = ::dup(0))
    taken.push_back(it);
  loop.run_for(milliseconds(100));
  for (const int it : taken)
    ::close(it);
  std::string answer;
  boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(answer),
                                "\r\n\r\n",
                                [&](error_code, std::size_t) { loop.stop(); });
  loop.run_for(seconds(3));
  cr_assert(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
}

Test(DatagramSocket, ReceivesAfterAHandlerThatThrows) {
  boost::asio::io_context loop;
  int received = 0;
  const auto socket = DatagramSocket::create(
      loop, {"127.0.0.1", DatagramPort}, [&](std::string_view) {
        if (++received == 1)
          throw std::length_error("first");
        loop.stop();
      });
  cr_assert(socket.has_value());
  for (int n = 0; n < 2; ++n)
    (*socket)->send({"127.0.0.1", DatagramPort}, "datagram");
  int failures = 0;
  runLoop(loop, [&](std::string_view) {
    ++failures;
    return AfterFailure::Continue;
  });
  cr_assert_eq(failures, 1);
  cr_assert_eq(received, 2);
}

namespace {

struct PipelineRow {
  const char *Name;
  /// Sent at once.
  std::string Bytes;
  /// Paths of the requests that the handler gets.
  std::string Handled;
  /// Status and path of each answer.
  std::string Answers;
};

std::string safeRequest(const std::string &path,
                        const std::string &field = "") {
  return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + field + "\r\n";
}

std::string unsafeRequest(const std::string &path) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
}

const PipelineRow PipelineRows[] = {
    {"a later one is quicker",
     safeRequest("/slow") + safeRequest("/a") + safeRequest("/b"), "/slow/a/b",
     "200/slow 200/a 200/b "},
    {"one in the middle is refused",
     safeRequest("/slow") + safeRequest("/refused") + safeRequest("/b"),
     "/slow/refused/b", "200/slow 503/refused 200/b "},
    {"a body in the middle",
     safeRequest("/slow") + unsafeRequest("/a") + safeRequest("/b"),
     "/slow/a/b", "200/slow 200/a 200/b "},
    {"an unsafe one waits for its turn",
     safeRequest("/slow") + unsafeRequest("/slow") + unsafeRequest("/b"),
     "/slow/slow/b", "200/slow 200/slow 200/b "},
    {"the last answer closes",
     safeRequest("/slow") + safeRequest("/a", "Connection: close\r\n") +
         safeRequest("/b"),
     "/slow/a", "200/slow 200/a "},
    {"the last answer closes, an unsafe one behind it",
     safeRequest("/slow", "Connection: close\r\n") + unsafeRequest("/a"),
     "/slow", "200/slow "},
    {"an unsafe one closes, two behind it",
     "POST /slow HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
     "Content-Length: 4\r\n\r\nbody" +
         unsafeRequest("/a") + safeRequest("/b"),
     "/slow", "200/slow "},
    {"version 1.0, an unsafe one behind it",
     "GET /a HTTP/1.0\r\nHost: h\r\n\r\n" + unsafeRequest("/b"), "/a",
     "200/a "},
    {"a body above the limit, an unsafe one behind it",
     safeRequest("/slow") +
         "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n" +
         unsafeRequest("/b"),
     "/slow", "200/slow 413 "},
    {"no HTTP in the middle",
     safeRequest("/slow") + "garbage\r\n\r\n" + safeRequest("/b"), "/slow",
     "200/slow 400 "},
    {"an answer without a body in the middle",
     safeRequest("/slow") + "HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n" +
         safeRequest("/b"),
     "/slow/a/b", "200/slow 200/a 200/b "},
};

/// Answers by path: "/slow" after some time, "/refused" with 503, others with
/// 200 at once. Each answer names its path.
void answerByPath(boost::asio::io_context &loop,
                  const std::shared_ptr<Exchange> &exchange) {
  const std::string path(toView(exchange->request().target()));
  HttpResponse out(path == "/refused" ? http::status::service_unavailable
                                      : http::status::ok,
                   11);
  out.set("path", path);
  if (path != "/slow") {
    exchange->respond(std::move(out));
    return;
  }
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(loop, milliseconds(100));
  timer->async_wait([exchange, timer, out = std::move(out)](error_code) {
    exchange->respond(out);
  });
}

/// Returns "STATUS/PATH " for each head in \p bytes.
std::string summarise(std::string_view bytes) {
  constexpr std::string_view StatusLine = "HTTP/1.1 ";
  constexpr std::string_view Path = "path: ";
  std::string out;
  while (!bytes.empty()) {
    const auto end = std::min(bytes.find("\r\n\r\n"), bytes.size() - 4);
    const std::string_view head = bytes.substr(0, end);
    bytes.remove_prefix(end + 4);
    out += head.substr(StatusLine.size(), 3);
    if (const auto it = head.find(Path); it != std::string_view::npos)
      out += head.substr(it + Path.size(),
                         head.find("\r\n", it) - it - Path.size());
    out += ' ';
  }
  return out;
}

} // namespace

ACACIA_TABLE_TEST(HttpServer, AnswersPipelinedRequestsInOrder, PipelineRows) {
  boost::asio::io_context loop;
  std::string handled;
  const auto server = HttpServer::create(
      loop, {"127.0.0.1", 0}, {4096, 4096, seconds(1), seconds(1)},
      [&](const std::shared_ptr<Exchange> &exchange) {
        handled += toView(exchange->request().target());
        answerByPath(loop, exchange);
      });
  tcp::socket socket(loop);
  socket.connect({boost::asio::ip::address_v4::loopback(), (*server)->port()});
  boost::asio::write(socket, boost::asio::buffer(row.Bytes));
  std::string answers;
  boost::asio::async_read(socket, boost::asio::dynamic_buffer(answers),
                          [&](error_code, std::size_t) { loop.stop(); });
  loop.run_for(seconds(4));
  cr_assert_str_eq(handled.c_str(), row.Handled.c_str(), "%s: %s", row.Name,
                   handled.c_str());
  const std::string summary = summarise(answers);
  cr_assert_str_eq(summary.c_str(), row.Answers.c_str(), "%s: %s", row.Name,
                   summary.c_str());
}

namespace {

struct LeaveRow {
  const char *Name;
  /// Sent with the request that is handled when the client leaves.
  std::string With;
  /// Sent while it is handled.
  std::string Behind;
  AfterAnswer End;
};

const LeaveRow LeaveRows[] = {
    {"closed", "", "", AfterAnswer::Close},
    {"reset", "", "", AfterAnswer::Reset},
    {"closed, a request sent with it", safeRequest("/a"), "",
     AfterAnswer::Close},
    {"closed, a request behind", "", safeRequest("/a"), AfterAnswer::Close},
    {"reset, a request behind", "", safeRequest("/a"), AfterAnswer::Reset},
    {"closed, part of a request behind", "", "GET /a HTT", AfterAnswer::Close},
    {"not closed, a request behind", "", safeRequest("/a"), AfterAnswer::Keep},
};

} // namespace

// A request whose client has left is cancelled within half a second.
ACACIA_TABLE_TEST(HttpServer, TellsThatAClientHasLeft, LeaveRows) {
  boost::asio::io_context loop;
  bool hasLeft = false;
  std::vector<std::shared_ptr<Exchange>> kept;
  const auto server = HttpServer::create(
      loop, {"127.0.0.1", 0}, {4096, 4096, seconds(1), seconds(2)},
      [&](const std::shared_ptr<Exchange> &exchange) {
        kept.push_back(exchange);
        exchange->setOnAbandoned([&] {
          hasLeft = true;
          loop.stop();
        });
      });
  tcp::socket socket(loop);
  socket.connect({boost::asio::ip::address_v4::loopback(), (*server)->port()});
  boost::asio::write(socket,
                     boost::asio::buffer(safeRequest("/first") + row.With));
  loop.run_for(milliseconds(50));
  boost::asio::write(socket, boost::asio::buffer(row.Behind));
  loop.restart();
  loop.run_for(milliseconds(50));
  if (row.End == AfterAnswer::Reset)
    socket.set_option(boost::asio::socket_base::linger(true, 0));
  if (row.End != AfterAnswer::Keep)
    socket.close();
  loop.restart();
  loop.run_for(milliseconds(500));
  cr_assert_eq(hasLeft, row.End != AfterAnswer::Keep, "%s", row.Name);
  cr_assert_eq(kept.size(), 1U, "%s: %zu", row.Name, kept.size());
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
                         {seconds(1), seconds(1), seconds(5), 1024, 4, {}, {}});
  std::vector<CallEnd> ends;
  const HttpRequest request(http::verb::get, "/", 11);
  sendWithTimeout(loop, *client, request, CallTimeout::ofWholeCall(Timeout),
                  [&](const CallResult &one) {
                    ends.push_back(one.End);
                    sendWithTimeout(loop, *client, request,
                                    CallTimeout::ofWholeCall(20 * Timeout),
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

// An answer that comes slowly is not asked for again from its start; one that
// has stopped is given up.
ACACIA_TABLE_TEST(SendWithTimeout, WaitsWhilePartsOfTheAnswerCome, PacedRows) {
  boost::asio::io_context loop;
  tests::ByteServer server(
      loop, [&row](const HttpRequest &, std::size_t) -> tests::ByteAnswer {
        tests::ByteAnswer out;
        if (row.HasHead)
          out.Pieces.push_back({{},
                                "HTTP/1.1 200 OK\r\nContent-Length: " +
                                    std::to_string(row.Length) + "\r\n\r\n"});
        for (std::size_t n = 0; n < row.Pieces; ++n)
          out.Pieces.push_back({row.Distance, "x"});
        return out;
      });
  const auto client =
      HttpClient::create(loop, {"127.0.0.1", server.port()},
                         {seconds(1), seconds(1), seconds(5), 1024, 4, {}, {}});
  const auto start = core::BootClock::now();
  std::optional<CallEnd> end;
  sendWithTimeout(loop, *client, HttpRequest(http::verb::get, "/", 11),
                  PacedTimeout, [&](const CallResult &it) {
                    end = it.End;
                    loop.stop();
                  });
  loop.run_for(seconds(8));
  const auto length = core::BootClock::now() - start;
  client->dropIdle();
  cr_assert(end == row.End, "%s", row.Name);
  cr_assert(length >= row.Least && length <= row.Most, "%s: %lld ms", row.Name,
            static_cast<long long>(length / milliseconds(1)));
}

// An answer of some kilobytes took a read for each 512 bytes of it.
ACACIA_TABLE_TEST(HttpClient, TakesAnswersInFewReads, ReadCountRows) {
  boost::asio::io_context loop;
  tests::ByteServer server(
      loop, [&row](const HttpRequest &, std::size_t) -> tests::ByteAnswer {
        return {{{{},
                  "HTTP/1.1 200 OK\r\nContent-Length: " +
                      std::to_string(row.Length) + "\r\n\r\n" +
                      std::string(row.Length, 'x')}}};
      });
  const auto client = HttpClient::create(
      loop, {"127.0.0.1", server.port()},
      {seconds(1), seconds(1), seconds(5), 1U << 20U, 4, {}, {}});
  std::size_t length = 0;
  std::size_t reads = 0;
  const auto call = client->send(
      {http::verb::get, "/", 11},
      [&](const CallResult &it) {
        length = it.Response.body().size();
        loop.stop();
      },
      [&] { ++reads; });
  loop.run_for(seconds(3));
  client->dropIdle();
  cr_assert_eq(length, row.Length, "%zu", row.Length);
  cr_assert_leq(reads, row.MostReads, "%zu: %zu", row.Length, reads);
}

// A server closes connections that are idle for long; the client gives their
// descriptors back although it needs no connection.
Test(HttpClient, ClosesWhatTheServerHasClosed) {
  boost::asio::io_context loop;
  const auto server = *HttpServer::create(
      loop, {"127.0.0.1", 0},
      {4096, 4096, milliseconds(100), milliseconds(100)}, answerOk);
  const auto client = HttpClient::create(
      loop, {"127.0.0.1", server->port()},
      {seconds(1), seconds(1), seconds(60), 1024, 4, {}, {}});
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
      loop, {"127.0.0.1", 0}, {4096, 4096, seconds(1), seconds(5)}, answerOk);
  const auto client = HttpClient::create(
      loop, {"127.0.0.1", server->port()},
      {seconds(1), seconds(1), seconds(60), 1024, 4, {}, {}});
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

struct EndingRow {
  const char *Name;
  bool CloseEndsIdle;
  /// Of two kept connections, after a third answer closed one of them.
  std::size_t Idle;
};

const EndingRow EndingRows[] = {
    {"a server that closes is about to end", true, 0},
    {"a server may close one alone", false, 1},
};

} // namespace

ACACIA_TABLE_TEST(HttpClient, KeepsConnectionsToAServerThatCloses, EndingRows) {
  boost::asio::io_context loop;
  const auto server = *HttpServer::create(
      loop, {"127.0.0.1", 0}, {4096, 4096, seconds(1), seconds(5)}, answerOk);
  auto options = makeOptions();
  options.RequestName = nullptr;
  options.AnswerName = nullptr;
  options.CloseEndsIdle = row.CloseEndsIdle;
  const auto client =
      HttpClient::create(loop, {"127.0.0.1", server->port()}, options);
  int answered = 0;
  const auto send = [&] {
    client->send({http::verb::get, "/", 11}, [&](const CallResult &result) {
      answered += result.End == CallEnd::Answered ? 1 : 0;
    });
  };
  send();
  send();
  loop.run_for(milliseconds(100));
  cr_assert_eq(client->idle(), 2U, "%s", row.Name);
  server->beginDrain();
  send();
  loop.run_for(milliseconds(100));
  cr_assert_eq(answered, 3, "%s: %d", row.Name, answered);
  cr_assert_eq(client->idle(), row.Idle, "%s", row.Name);
}

// A connection that was made before the server stopped accepting is served,
// even if the server had not seen it yet.
Test(HttpServer, ServesWhatWasConnectedBeforeItStoppedAccepting) {
  boost::asio::io_context loop;
  const auto server = *HttpServer::create(
      loop, {"127.0.0.1", 0}, {4096, 4096, seconds(1), seconds(5)}, answerOk);
  const tcp::endpoint address(boost::asio::ip::address_v4::loopback(),
                              server->port());
  tcp::socket early(loop);
  early.connect(address);
  boost::asio::write(early, boost::asio::buffer(std::string_view(
                                "GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
  server->beginDrain();
  server->stopAccepting();
  error_code ec;
  tcp::socket late(loop);
  late.connect(address, ec);
  cr_assert(ec == boost::asio::error::connection_refused);
  std::string answer;
  boost::asio::async_read(early, boost::asio::dynamic_buffer(answer),
                          [&](error_code, std::size_t) { early.close(); });
  loop.run_for(milliseconds(200));
  cr_assert(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
  cr_assert_eq(server->connections(), 0U);
}

namespace {

struct IdleSweepRow {
  const char *Name;
  std::string_view Sent;
  /// What the client receives begins so.
  std::string_view Received;
};

const IdleSweepRow IdleSweepRows[] = {
    {"nothing came", "", ""},
    {"a request came in time", "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
     "HTTP/1.1 200"},
};

} // namespace

// The loop is held up between the moment at which idle connections are to be
// looked for, each 500 ms, and the search.
ACACIA_TABLE_TEST(HttpServer, ServesARequestWhoseIdleTimeoutIsDue,
                  IdleSweepRows) {
  boost::asio::io_context loop;
  const auto server = *HttpServer::create(
      loop, {"127.0.0.1", 0}, {4096, 4096, seconds(1), milliseconds(700)},
      answerOk);
  loop.run_for(milliseconds(400));
  boost::asio::io_context clients;
  tcp::socket client(clients);
  client.connect({boost::asio::ip::address_v4::loopback(), server->port()});
  loop.restart();
  loop.run_for(milliseconds(200));
  boost::asio::post(loop, [&] {
    std::this_thread::sleep_for(milliseconds(410));
    boost::asio::post(loop, [&] {
      boost::asio::write(client, boost::asio::buffer(row.Sent));
      std::this_thread::sleep_for(milliseconds(200));
    });
  });
  loop.restart();
  loop.run_for(milliseconds(800));
  std::string received(64, '\0');
  error_code ec;
  client.non_blocking(true);
  received.resize(client.read_some(boost::asio::buffer(received), ec));
  cr_assert(received.starts_with(row.Received) &&
                received.empty() == row.Received.empty(),
            "%s: %s %s", row.Name, received.c_str(), ec.message().c_str());
}

namespace {

struct UnreadRow {
  const char *Name;
  const char *Bytes;
  /// Answers on the connection.
  std::size_t Answers;
};

const UnreadRow UnreadRows[] = {
    {"one request", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 1},
    {"one behind another",
     "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", 2},
    {"one behind a body",
     "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
     "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
     2},
    {"one behind the last that the client wants answered",
     "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
     "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
     1},
};

} // namespace

// A request that has come is answered, also behind another one and if the
// server is to end; it isn't idle before.
ACACIA_TABLE_TEST(HttpServer, AnswersWhatHasComeBeforeItEnds, UnreadRows) {
  boost::asio::io_context loop;
  const auto server = *HttpServer::create(
      loop, {"127.0.0.1", 0}, {4096, 4096, seconds(1), seconds(5)}, answerOk);
  tcp::socket socket(loop);
  socket.connect({boost::asio::ip::address_v4::loopback(), server->port()});
  loop.run_for(milliseconds(20));
  cr_assert_eq(server->connections(), 1U, "%s", row.Name);
  cr_assert(server->isIdle(), "%s", row.Name);
  server->beginDrain();
  boost::asio::write(socket, boost::asio::buffer(std::string_view(row.Bytes)));
  cr_assert_not(server->isIdle(), "%s", row.Name);
  std::string answers;
  boost::asio::async_read(socket, boost::asio::dynamic_buffer(answers),
                          [&](error_code, std::size_t) { socket.close(); });
  loop.run_for(milliseconds(200));
  std::size_t found = 0;
  for (auto at = answers.find("HTTP/1.1 200"); at != std::string::npos;
       at = answers.find("HTTP/1.1 200", at + 1))
    ++found;
  cr_assert_eq(found, row.Answers, "%s: %s", row.Name, answers.c_str());
  cr_assert(server->isIdle(), "%s", row.Name);
  cr_assert_eq(server->connections(), 0U, "%s", row.Name);
}

// The time for an answer is measured since it last went forward.
Test(HttpServer, AnswerThatGoesForwardIsNotCut) {
  constexpr std::size_t Size = 16U << 20U;
  constexpr std::size_t Step = 400'000;
  boost::asio::io_context loop;
  std::optional<UnansweredCause> cause;
  const auto server = HttpServer::create(
      loop, {"127.0.0.1", 0}, {4096, 64, milliseconds(500), milliseconds(500)},
      [](const std::shared_ptr<Exchange> &exchange) {
        HttpResponse out(http::status::ok, 11);
        out.body().assign(Size, 'x');
        exchange->respond(std::move(out));
      });
  cr_assert(server.has_value());
  (*server)->setOnUnanswered(
      [&](const UnansweredRequest &it) { cause = it.Cause; });
  tcp::socket socket(loop, tcp::v4());
  socket.set_option(boost::asio::socket_base::receive_buffer_size(65536));
  socket.connect({boost::asio::ip::address_v4::loopback(), (*server)->port()});
  boost::asio::write(socket, boost::asio::buffer(std::string(
                                 "GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
  std::vector<char> buf(Step);
  std::size_t got = 0;
  boost::asio::steady_timer timer(loop);
  std::function<void()> step = [&] {
    boost::asio::async_read(socket, boost::asio::buffer(buf),
                            [&](error_code ec, std::size_t n) {
                              got += n;
                              if (ec || got >= Size) {
                                loop.stop();
                                return;
                              }
                              timer.expires_after(milliseconds(60));
                              timer.async_wait([&](error_code) { step(); });
                            });
  };
  step();
  loop.run_for(seconds(8));
  cr_assert(!cause, "%s after %zu bytes", std::string(toString(*cause)).c_str(),
            got);
  cr_assert_geq(got, Size, "%zu", got);
}

// A server isn't idle before its clients have taken in their last answers.
Test(HttpServer, AnswerOutlivesServer) {
  boost::asio::io_context loop;
  auto server =
      HttpServer::create(loop, {"127.0.0.1", 0},
                         {4096, 600'000, seconds(1), seconds(2), 512U << 10U},
                         [](const std::shared_ptr<Exchange> &exchange) {
                           HttpResponse out(http::status::ok, 11);
                           out.body().assign(LargeAnswer, 'x');
                           exchange->respond(std::move(out));
                         });
  cr_assert(server.has_value());
  tcp::socket socket(loop, tcp::v4());
  socket.set_option(boost::asio::socket_base::receive_buffer_size(SmallWindow));
  socket.connect({boost::asio::ip::address_v4::loopback(), (*server)->port()});
  const std::string sent =
      "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" +
      std::string(1000, 'x');
  boost::asio::write(socket, boost::asio::buffer(sent));
  loop.run_for(milliseconds(50));
  cr_assert_eq((*server)->inFlight(), 0);
  cr_assert_not((*server)->isIdle());
  // The client has not seen the end yet and sends on.
  boost::asio::write(socket, boost::asio::buffer(std::string(1000, 'x')));
  std::string answer;
  error_code end;
  boost::asio::async_read(socket, boost::asio::dynamic_buffer(answer),
                          [&](error_code ec, std::size_t) {
                            end = ec;
                            socket.close();
                          });
  boost::asio::steady_timer look(loop);
  std::function<void()> stopWhenIdle = [&] {
    look.expires_after(milliseconds(10));
    look.async_wait([&](error_code) {
      if (!(*server)->isIdle()) {
        stopWhenIdle();
        return;
      }
      server->reset();
      loop.stop();
    });
  };
  stopWhenIdle();
  loop.restart();
  loop.run_for(seconds(3));
  cr_assert_eq(*server, nullptr, "never idle");
  cr_assert_gt(answer.size(), LargeAnswer, "%zu: %s", answer.size(),
               end.message().c_str());
}

namespace {

using tests::ByteAnswer;
using tests::ByteServer;
using tests::ConnectionEnd;

/// When a server writes something that nobody asked for.
enum class ExtraAt {
  /// With the first answer, in one segment.
  Answer,
  /// With the first answer, but its second half only later.
  AnswerCut,
  /// Between two requests.
  Idle,
  /// After the second request, before its answer.
  Request,
  /// The same, its second half 20 ms after its first.
  RequestCut,
  /// The same, in one segment with the answer.
  RequestJoined,
};

struct ExtraRow {
  const char *Name;
  /// Names of the two requests; empty for none.
  const char *FirstId;
  const char *SecondId;
  const char *Extra;
  ExtraAt When;
  /// How the second request ends, and the status of its answer.
  CallEnd End;
  unsigned Status;
  /// Connections in use up to a third request.
  std::size_t Connections;
};

#define REFUSAL(Status, Fields)                                                \
  "HTTP/1.1 " Status "\r\nContent-Length: 0\r\nrefused: 1\r\n" Fields "\r\n"

const ExtraRow ExtraRows[] = {
    {"nothing", "1", "2", "", ExtraAt::Idle, CallEnd::Answered, 200, 1},
    {"earlier refusal with its answer", "1", "2",
     REFUSAL("503 Busy", "id: 1\r\n"), ExtraAt::Answer, CallEnd::Answered, 200,
     2},
    {"earlier refusal, cut in two", "1", "2", REFUSAL("503 Busy", "id: 1\r\n"),
     ExtraAt::AnswerCut, CallEnd::Answered, 200, 2},
    {"earlier refusal between requests", "1", "2",
     REFUSAL("503 Busy", "id: 1\r\n"), ExtraAt::Idle, CallEnd::Answered, 200,
     2},
    {"earlier refusal after the request", "1", "2",
     REFUSAL("503 Busy", "id: 1\r\n"), ExtraAt::Request, CallEnd::Answered, 200,
     2},
    {"earlier refusal after the request, cut in two", "1", "2",
     REFUSAL("503 Busy", "id: 1\r\n"), ExtraAt::RequestCut, CallEnd::Answered,
     200, 2},
    {"earlier refusal joined with the answer", "1", "2",
     REFUSAL("503 Busy", "id: 1\r\n"), ExtraAt::RequestJoined,
     CallEnd::Answered, 200, 2},
    {"earlier 429", "1", "2", REFUSAL("429 Slow", "id: 1\r\n"),
     ExtraAt::Request, CallEnd::Answered, 200, 2},
    {"earlier 421", "1", "2", REFUSAL("421 Other", "id: 1\r\n"),
     ExtraAt::Request, CallEnd::Answered, 200, 2},
    {"two earlier refusals", "1", "2",
     REFUSAL("503 Busy", "id: 1\r\n") REFUSAL("503 Busy", "id: 1\r\n"),
     ExtraAt::Request, CallEnd::Answered, 200, 2},
    {"three earlier refusals", "1", "2",
     REFUSAL("503 Busy", "id: 1\r\n") REFUSAL("503 Busy", "id: 1\r\n")
         REFUSAL("503 Busy", "id: 1\r\n"),
     ExtraAt::Request, CallEnd::Broken, 0, 2},
    {"interim answer and earlier refusal", "1", "2",
     "HTTP/1.1 102 Wait\r\n\r\n" REFUSAL("503 Busy", "id: 1\r\n"),
     ExtraAt::Request, CallEnd::Answered, 200, 2},
    {"earlier refusal and interim answer", "1", "2",
     REFUSAL("503 Busy", "id: 1\r\n") "HTTP/1.1 102 Wait\r\n\r\n",
     ExtraAt::Request, CallEnd::Answered, 200, 2},
    {"earlier refusal without a name", "1", "2", REFUSAL("503 Busy", ""),
     ExtraAt::Request, CallEnd::Answered, 200, 2},
    {"earlier refusal without a name, cut in two", "1", "2",
     REFUSAL("503 Busy", ""), ExtraAt::RequestCut, CallEnd::Answered, 200, 2},
    {"earlier 421 without a name", "1", "2", REFUSAL("421 Other", ""),
     ExtraAt::Request, CallEnd::Answered, 200, 2},
    {"earlier 429 without a name after an interim answer", "1", "2",
     "HTTP/1.1 102 Wait\r\n\r\n" REFUSAL("429 Slow", ""), ExtraAt::Request,
     CallEnd::Answered, 200, 2},
    {"earlier refusals with and without a name", "1", "2",
     REFUSAL("503 Busy", "id: 1\r\n") REFUSAL("503 Busy", ""), ExtraAt::Request,
     CallEnd::Answered, 200, 2},
    {"success without a name", "1", "2",
     "HTTP/1.1 201 OK\r\nContent-Length: 3\r\n\r\nold", ExtraAt::Request,
     CallEnd::Answered, 200, 2},
    {"earlier refusal of a request without a name", "", "2",
     REFUSAL("400 No", ""), ExtraAt::Request, CallEnd::Answered, 200, 2},
    {"earlier refusal before a request without a name", "1", "",
     REFUSAL("503 Busy", ""), ExtraAt::Request, CallEnd::Answered, 200, 2},
    {"earlier refusal, both requests without a name", "", "",
     REFUSAL("400 No", ""), ExtraAt::Request, CallEnd::Answered, 200, 2},
    {"earlier refusal of the same name", "1", "1",
     REFUSAL("503 Busy", "id: 1\r\n"), ExtraAt::Request, CallEnd::Answered, 200,
     2},
    {"earlier refusal of the same name after an interim answer", "1", "1",
     "HTTP/1.1 102 Wait\r\n\r\n" REFUSAL("503 Busy", "id: 1\r\n"),
     ExtraAt::Request, CallEnd::Answered, 200, 2},
    {"refusal cut in its reason, and the answer", "1", "2", "HTTP/1.1 503 Bu",
     ExtraAt::RequestJoined, CallEnd::Broken, 0, 2},
    {"refusal cut in a value, and the answer", "1", "2",
     "HTTP/1.1 503 Busy\r\nrefused: ", ExtraAt::RequestJoined, CallEnd::Broken,
     0, 2},
    {"refusal cut in a name, and the answer", "1", "2",
     "HTTP/1.1 503 Busy\r\nref", ExtraAt::RequestJoined, CallEnd::Broken, 0, 2},
    {"refusal cut after a field, and the answer", "1", "2",
     "HTTP/1.1 503 Busy\r\nrefused: 1\r\n", ExtraAt::RequestJoined,
     CallEnd::Broken, 0, 2},
};

/// A named or unnamed answer that ends after its body.
std::string answerFor(const HttpRequest &request, const char *status) {
  std::string out = "HTTP/1.1 " + std::string(status) + "\r\n";
  if (const auto id = fieldOf(request, "id"); !id.empty())
    out += "id: " + std::string(id) + "\r\n";
  return out + "Content-Length: 2\r\n\r\nok";
}

ByteAnswer answerWithExtra(const ExtraRow &row, const HttpRequest &request,
                           int number, std::size_t onConnection) {
  const std::string extra = row.Extra;
  const std::string half = extra.substr(0, extra.size() / 2);
  const std::string rest = extra.substr(half.size());
  constexpr auto Pause = milliseconds(20);
  ByteAnswer out;
  if (number == 0) {
    const std::string refusal = answerFor(request, "503 Busy");
    if (row.When == ExtraAt::Answer)
      out.Pieces = {{{}, refusal + extra}};
    else if (row.When == ExtraAt::AnswerCut)
      out.Pieces = {{{}, refusal + half}, {Pause, rest}};
    else if (row.When == ExtraAt::Idle)
      out.Pieces = {{{}, refusal}, {Pause, extra}};
    else
      out.Pieces = {{{}, refusal}};
    return out;
  }
  const std::string answer = answerFor(request, "200 OK");
  out.Pieces = {{{}, answer}};
  if (number > 1 || onConnection == 0)
    return out;
  if (row.When == ExtraAt::Request)
    out.Pieces = {{{}, extra}, {Pause, answer}};
  else if (row.When == ExtraAt::RequestCut)
    out.Pieces = {{{}, half}, {Pause, rest}, {Pause, answer}};
  else if (row.When == ExtraAt::RequestJoined)
    out.Pieces = {{{}, extra + answer}};
  return out;
}

/// Sends a request named \p id, or without a name, and waits for its end.
CallResult ask(boost::asio::io_context &loop, HttpClient &client,
               const std::string &id) {
  HttpRequest request{http::verb::get, "/", 11};
  if (!id.empty())
    request.set("id", id);
  CallResult out;
  out.Detail = "nothing came";
  const auto call = client.send(std::move(request), [&](CallResult it) {
    out = std::move(it);
    loop.stop();
  });
  loop.restart();
  loop.run_for(seconds(1));
  return out;
}

} // namespace

ACACIA_TABLE_TEST(HttpClient, TakesNoAnswerOfAnotherRequest, ExtraRows) {
  boost::asio::io_context loop;
  int requests = 0;
  ByteServer server(
      loop, [&](const HttpRequest &request, std::size_t onConnection) {
        return answerWithExtra(row, request, requests++, onConnection);
      });
  const auto client =
      HttpClient::create(loop, {"127.0.0.1", server.port()}, makeOptions());
  const CallResult first = ask(loop, *client, row.FirstId);
  cr_assert(first.End == CallEnd::Answered, "%s", row.Name);
  cr_assert_eq(first.Response.result_int(), 503U, "%s", row.Name);
  loop.restart();
  loop.run_for(milliseconds(60));
  const CallResult second = ask(loop, *client, row.SecondId);
  cr_assert(second.End == row.End, "%s: %s", row.Name, second.Detail.c_str());
  if (row.End == CallEnd::Answered)
    cr_assert_eq(second.Response.result_int(), row.Status, "%s: %u", row.Name,
                 second.Response.result_int());
  const CallResult third = ask(loop, *client, "3");
  cr_assert(third.End == CallEnd::Answered, "%s", row.Name);
  cr_assert_eq(third.Response.result_int(), 200U, "%s", row.Name);
  cr_assert_eq(requests, 3, "%s", row.Name);
  cr_assert_eq(server.connections(), row.Connections, "%s: %zu", row.Name,
               server.connections());
  client->dropIdle();
}

// A request without a name takes the place of a kept connection, so that their
// number doesn't grow.
Test(HttpClient, UsesANewConnectionForEachRequestWithoutAName) {
  constexpr std::size_t Requests = 5;
  boost::asio::io_context loop;
  const ByteServer server(loop, [](const HttpRequest &request, std::size_t) {
    return ByteAnswer{{{{}, answerFor(request, "400 No")}},
                      ConnectionEnd::None};
  });
  const auto client =
      HttpClient::create(loop, {"127.0.0.1", server.port()}, makeOptions());
  for (std::size_t n = 0; n < Requests; ++n) {
    const CallResult result = ask(loop, *client, "");
    cr_assert(result.End == CallEnd::Answered);
    cr_assert_eq(result.Response.result_int(), 400U);
    cr_assert_eq(client->idle(), 1U);
  }
  cr_assert_eq(server.connections(), Requests);
  cr_assert(ask(loop, *client, "1").End == CallEnd::Answered);
  cr_assert_eq(server.connections(), Requests);
  client->dropIdle();
}

// The names that a connection remembers are bounded.
Test(HttpClient, ReplacesAConnectionOnceIn1024Requests) {
  boost::asio::io_context loop;
  const ByteServer server(loop, [](const HttpRequest &request, std::size_t) {
    return ByteAnswer{{{{}, answerFor(request, "200 OK")}},
                      ConnectionEnd::None};
  });
  const auto client =
      HttpClient::create(loop, {"127.0.0.1", server.port()}, makeOptions());
  for (int n = 0; n < 1024; ++n)
    cr_assert(ask(loop, *client, std::to_string(n)).End == CallEnd::Answered);
  cr_assert_eq(server.connections(), 1U);
  cr_assert(ask(loop, *client, "next").End == CallEnd::Answered);
  cr_assert_eq(server.connections(), 2U);
  client->dropIdle();
}

namespace {

struct EarlyEndRow {
  const char *Name;
  std::size_t BodyBytes;
  const char *Bytes;
  AfterAnswer After;
  CallEnd End;
};

/// The answer comes while the body is still being sent, if it is large. Closing
/// with unread bytes resets the connection.
const EarlyEndRow EarlyEndRows[] = {
    {"small body, closed", 10, "HTTP/1.1 200 OK\r\nid: 1\r\n\r\nok",
     AfterAnswer::Close, CallEnd::Answered},
    {"small body, reset", 10, "HTTP/1.1 200 OK\r\nid: 1\r\n\r\nok",
     AfterAnswer::Reset, CallEnd::Broken},
    {"large body, reset", 8U << 20U, "HTTP/1.1 200 OK\r\nid: 1\r\n\r\nok",
     AfterAnswer::Reset, CallEnd::Broken},
    {"large body, reset in the head", 8U << 20U, "HTTP/1.1 200 OK\r\nid: 1\r\n",
     AfterAnswer::Reset, CallEnd::Broken},
    {"large body, closed", 8U << 20U, "HTTP/1.1 200 OK\r\nid: 1\r\n\r\nok",
     AfterAnswer::Close, CallEnd::Broken},
    {"large body, reset behind an answer with a length", 8U << 20U,
     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nid: 1\r\n\r\nok",
     AfterAnswer::Reset, CallEnd::Answered},
};

} // namespace

// A write that is pending takes the error of a reset; the read then sees an
// orderly end.
ACACIA_TABLE_TEST(HttpClient, TakesNoResetForTheEndOfAnAnswer, EarlyEndRows) {
  boost::asio::io_context loop;
  ScriptedServer server(loop, row.Bytes, row.After);
  const auto client =
      HttpClient::create(loop, {"127.0.0.1", server.port()}, makeOptions());
  HttpRequest request{http::verb::post, "/", 11};
  request.set("id", "1");
  request.body().assign(row.BodyBytes, 'x');
  CallResult result;
  const auto call = client->send(std::move(request), [&](CallResult it) {
    result = std::move(it);
    loop.stop();
  });
  loop.run_for(seconds(2));
  cr_assert(result.End == row.End, "%s: %s", row.Name, result.Detail.c_str());
  client->dropIdle();
}

namespace {

/// What a handler does with an exchange beside answering it.
enum class Beside { Nothing, AnswerAgain, AnswerAgainLater };

struct OnceRow {
  const char *Name;
  http::verb Method;
  unsigned Status;
  Beside What;
};

const OnceRow OnceRows[] = {
    {"answered", http::verb::get, 200, Beside::Nothing},
    {"answered twice", http::verb::get, 200, Beside::AnswerAgain},
    {"answered once more later", http::verb::get, 200,
     Beside::AnswerAgainLater},
    {"refused twice", http::verb::get, 503, Beside::AnswerAgain},
    {"refused once more later", http::verb::get, 503, Beside::AnswerAgainLater},
    {"HEAD answered", http::verb::head, 200, Beside::Nothing},
    {"HEAD refused", http::verb::head, 503, Beside::Nothing},
};

} // namespace

// What a client reads behind an answer would count as the answer to its next
// request.
ACACIA_TABLE_TEST(HttpServer, WritesNothingBehindAnAnswer, OnceRows) {
  boost::asio::io_context loop;
  std::shared_ptr<Exchange> kept;
  const auto server = *HttpServer::create(
      loop, {"127.0.0.1", 0}, {4096, 4096, seconds(1), seconds(5)},
      [&](const std::shared_ptr<Exchange> &exchange) {
        const auto again = kept ? std::exchange(kept, nullptr) : exchange;
        HttpResponse out(static_cast<http::status>(row.Status), 11);
        out.body() = "body";
        if (row.What == Beside::AnswerAgainLater) {
          again->respond(out);
          kept = exchange;
        }
        exchange->respond(out);
        if (row.What == Beside::AnswerAgain)
          exchange->respond(out);
      });
  const auto client = HttpClient::create(
      loop, {"127.0.0.1", server->port()},
      {seconds(1), seconds(1), seconds(60), 1024, 4, {}, {}});
  for (int n = 0; n < 3; ++n) {
    CallResult result;
    const auto call = client->send({row.Method, "/", 11}, [&](CallResult it) {
      result = std::move(it);
      loop.stop();
    });
    loop.restart();
    loop.run_for(seconds(1));
    cr_assert(result.End == CallEnd::Answered, "%s: %s", row.Name,
              result.Detail.c_str());
    cr_assert_eq(result.Response.result_int(), row.Status, "%s", row.Name);
    cr_assert_eq(fieldOf(result.Response, "Content-Length"), "4", "%s",
                 row.Name);
    loop.restart();
    loop.run_for(milliseconds(20));
  }
  cr_assert_eq(client->connectsStarted(), 1U, "%s: %zu", row.Name,
               static_cast<std::size_t>(client->connectsStarted()));
  client->dropIdle();
}

// A node that ends while it writes leaves an answer that is visibly short.
Test(HttpServer, LeavesNoAnswerThatLooksWholeWhenItEnds) {
  // More than the system takes in for a client that doesn't read.
  constexpr std::size_t Bytes = 32U << 20U;
  boost::asio::io_context loop;
  auto server = *HttpServer::create(
      loop, {"127.0.0.1", 0}, {4096, 4096, seconds(1), seconds(5)},
      [](const std::shared_ptr<Exchange> &exchange) {
        HttpResponse out(http::status::ok, 11);
        out.body().assign(Bytes, 'x');
        exchange->respond(std::move(out));
      });
  tcp::socket socket(loop, tcp::v4());
  socket.set_option(boost::asio::socket_base::receive_buffer_size(SmallWindow));
  socket.connect({boost::asio::ip::address_v4::loopback(), server->port()});
  boost::asio::write(
      socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  loop.run_for(milliseconds(50));
  server.reset();
  loop.restart();
  loop.run_for(milliseconds(50));
  std::string answer;
  error_code ec;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ec);
  cr_assert(ec);
  cr_assert(answer.find("Content-Length: 33554432\r\n") != std::string::npos);
  cr_assert_lt(answer.size(), Bytes, "%zu", answer.size());
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

/// Memory of the smallest machine, in bytes.
constexpr std::uint64_t MachineBytes = 160U << 20U;

/// Returns the most memory that this process has had resident, in bytes.
std::uint64_t peakMemory() {
  std::ifstream status("/proc/self/status");
  std::string word;
  while (status >> word)
    if (word == "VmHWM:") {
      std::uint64_t kilobytes = 0;
      status >> kilobytes;
      return kilobytes << 10U;
    }
  return UINT64_MAX;
}

const ManyRow MachineRows[] = {
    {"header fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
    {"a header field", "HTTP/1.1 200 OK\r\nX: ", "x"},
    {"no HTTP", "", "x"},
    {"bodies without a length", "HTTP/1.1 200 OK\r\n\r\n", "x"},
    {"bodies of a stated length",
     "HTTP/1.1 200 OK\r\nContent-Length: 16777216\r\n\r\n", "x"},
    {"chunks", ChunkedHead, "400\r\n" + std::string(1024, 'x') + "\r\n"},
    {"small chunks", ChunkedHead, "2\r\nok\r\n"},
};

} // namespace

// With the bounds of a node, an upstream whose answers have no end on all of
// its connections leaves room on the smallest machine.
ACACIA_TABLE_TEST(HttpClient, FitsTheSmallestMachine, MachineRows) {
  constexpr int Calls = 100;
  boost::asio::io_context loop;
  tests::EndlessServer endless(loop, row.Prefix, row.Piece);
  ClientOptions options = makeOptions();
  options.BodyBytes = 16U << 20U;
  options.MostConnections = Calls;
  options.Memory = AnswerMemory::create(32U << 20U);
  const auto client =
      HttpClient::create(loop, {"127.0.0.1", endless.port()}, options);
  int ended = 0;
  for (int n = 0; n < Calls; ++n)
    client->send({http::verb::get, "/", 11},
                 [&](const CallResult &) { ++ended; });
  while (ended < Calls && loop.run_one_for(seconds(5)) > 0)
    continue;
  cr_assert_eq(ended, Calls, "%s: %d", row.Name, ended);
  cr_assert_lt(peakMemory(), MachineBytes, "%s: %lu MB", row.Name,
               static_cast<unsigned long>(peakMemory() >> 20U));
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
     "HTTP/1.1 431 Request Header Fields Too Large"},
    {"a trailer field", std::string(ChunkedRequest) + "0\r\nX: ", "x",
     "HTTP/1.1 431 Request Header Fields Too Large"},
    {"trailer fields", std::string(ChunkedRequest) + "0\r\n", "X: y\r\n",
     "HTTP/1.1 431 Request Header Fields Too Large"},
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

namespace {

/// Clients that send a body each, all at once, to a server that answers none
/// before all have sent theirs. The server holds 1 MiB.
struct HeldBodyRow {
  const char *Name;
  int Clients;
  std::size_t Bytes;
  bool IsChunked;
  /// Number of bodies that the server takes, and the first line for the others.
  int MostTaken;
  int LeastTaken;
  const char *Refusal;
};

constexpr std::uint64_t HeldLimit = 1U << 20U;
constexpr std::size_t ChunkLength = 16U << 10U;

const HeldBodyRow HeldBodyRows[] = {
    {"small bodies in chunks", 8, 50'000, true, 8, 8, ""},
    {"more than fit, in chunks", 8, 400U << 10U, true, 2, 1,
     "HTTP/1.1 503 Service Unavailable"},
    {"more than fit, with their length", 8, 400U << 10U, false, 2, 2,
     "HTTP/1.1 503 Service Unavailable"},
    {"one that fits, in chunks", 1, 1'000'000, true, 1, 1, ""},
    {"one that never fits, in chunks", 1, 2U << 20U, true, 0, 0,
     "HTTP/1.1 413 Payload Too Large"},
    {"one that never fits, with its length", 1, 2U << 20U, false, 0, 0,
     "HTTP/1.1 413 Payload Too Large"},
};

std::string makeUpload(const HeldBodyRow &row) {
  if (!row.IsChunked)
    return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(row.Bytes) +
           "\r\n\r\n" + std::string(row.Bytes, 'x');
  std::string out = ChunkedRequest;
  for (std::size_t n = 0; n < row.Bytes; n += ChunkLength) {
    const std::size_t length = std::min(ChunkLength, row.Bytes - n);
    std::array<char, 16> head{};
    const int size = std::snprintf(head.data(), head.size(), "%zx\r\n", length);
    out.append(head.data(), static_cast<std::size_t>(size));
    out += std::string(length, 'x') + "\r\n";
  }
  return out + "0\r\n\r\n";
}

} // namespace

// However a body is sent, all that a server holds together stays below its
// limit; what doesn't fit is refused, and what fits is taken.
ACACIA_TABLE_TEST(HttpServer, BoundsTheBodiesItHolds, HeldBodyRows) {
  boost::asio::io_context loop;
  ServerLimits limits{4096, 4U << 20U, seconds(1), seconds(2)};
  limits.HeldBytes = HeldLimit;
  std::vector<std::shared_ptr<Exchange>> taken;
  const auto server =
      *HttpServer::create(loop, {"127.0.0.1", 0}, limits,
                          [&](const auto &it) { taken.push_back(it); });
  const std::string upload = makeUpload(row);
  std::deque<tcp::socket> sockets;
  std::deque<std::string> buffers;
  std::vector<std::string> answers;
  for (int n = 0; n < row.Clients; ++n) {
    tcp::socket &socket = sockets.emplace_back(loop);
    std::string &answer = buffers.emplace_back();
    socket.connect({boost::asio::ip::address_v4::loopback(), server->port()});
    boost::asio::async_write(socket, boost::asio::buffer(upload),
                             [](error_code, std::size_t) {});
    boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(answer),
                                  "\r\n", [&](error_code, std::size_t length) {
                                    answers.push_back(answer.substr(0, length));
                                  });
  }
  loop.run_for(milliseconds(700));
  cr_assert_leq(static_cast<int>(taken.size()), row.MostTaken, "%s: %zu",
                row.Name, taken.size());
  cr_assert_geq(static_cast<int>(taken.size()), row.LeastTaken, "%s: %zu",
                row.Name, taken.size());
  for (const std::string &it : answers)
    cr_assert_eq(it.substr(0, it.find("\r\n")), row.Refusal, "%s: %s", row.Name,
                 it.c_str());
  const std::size_t ended = answers.size() + taken.size();
  cr_assert_eq(ended, static_cast<std::size_t>(row.Clients), "%s: %zu",
               row.Name, ended);
  // What the answered requests held is free again.
  for (const auto &it : taken)
    it->respond(HttpResponse(http::status::ok, 11));
  taken.clear();
  sockets.clear();
  loop.run_for(milliseconds(600));
  const std::string next = makeUpload({"", 1, 900'000, true, 1, 1, ""});
  tcp::socket socket(loop);
  socket.connect({boost::asio::ip::address_v4::loopback(), server->port()});
  boost::asio::async_write(socket, boost::asio::buffer(next),
                           [](error_code, std::size_t) {});
  loop.run_for(milliseconds(300));
  cr_assert_eq(taken.size(), 1U, "%s: a later one", row.Name);
}
