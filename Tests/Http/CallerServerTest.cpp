#include "Http/CallerServer.h"

#include <future>
#include <random>

#include <nlohmann/json.hpp>

#include "Http/RawSocket.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::http;
using tests::RawSocket;

namespace {

std::span<const std::byte> bytesOf(std::string_view text) {
  return std::as_bytes(std::span(text.data(), text.size()));
}

/// Answers with what the handler saw.
void echo(const std::shared_ptr<Exchange> &exchange) {
  std::string seen(exchange->method());
  seen += ' ';
  seen += exchange->target();
  for (const Header &it : exchange->headers())
    seen += ' ' + it.Name + '=' + it.Value;
  seen += " <";
  std::array<std::byte, 100> buf{};
  auto n = exchange->readBody(buf);
  for (; n && *n > 0; n = exchange->readBody(buf))
    seen.append(reinterpret_cast<const char *>(buf.data()), *n);
  if (!n)
    return exchange->refuse(n.error(), "r-1");
  (void)exchange->respond(200, {}, bytesOf(seen + ">"));
}

std::unique_ptr<CallerServer> start(CallerServer::Handler handler,
                                    CallerServerOptions options = {}) {
  options.Threads = 4;
  auto out = CallerServer::create(options, std::move(handler));
  cr_assert(out.has_value());
  return std::move(*out);
}

/// Sends \p request and returns all that comes until the server closes.
std::string exchangeWith(const CallerServer &server, std::string_view request,
                         bool endSend) {
  const RawSocket caller(RawSocket::connect(server.port()));
  caller.send(request);
  if (endSend)
    caller.endSend();
  return caller.receiveAll();
}

struct BadRow {
  const char *Name;
  std::string Request;
  const char *Status;
  const char *Kind;
};

const std::string Start = "POST /a HTTP/1.1\r\nHost: x\r\n";
const std::string Chunked = Start + "Transfer-Encoding: chunked\r\n\r\n";

std::string manyHeaders() {
  std::string out = Start;
  for (int n = 0; n < 200; ++n)
    out += "X-" + std::to_string(n) + ": 1\r\n";
  return out + "\r\n";
}

const BadRow BadRows[] = {
    {"two lengths", Start + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
     "400", "malformed_request"},
    {"the same length twice",
     Start + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na", "400",
     "malformed_request"},
    {"a list of lengths", Start + "Content-Length: 1, 1\r\n\r\na", "400",
     "malformed_request"},
    {"length and chunks",
     Start + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     "400", "malformed_request"},
    {"two encodings", Start + "Transfer-Encoding: gzip, chunked\r\n\r\n", "400",
     "malformed_request"},
    {"chunks in HTTP/1.0",
     "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400",
     "malformed_request"},
    {"negative length", Start + "Content-Length: -1\r\n\r\n", "400",
     "malformed_request"},
    {"signed length", Start + "Content-Length: +1\r\n\r\na", "400",
     "malformed_request"},
    {"empty length", Start + "Content-Length:\r\n\r\n", "400",
     "malformed_request"},
    {"absurd length", Start + "Content-Length: 99999999999999999999\r\n\r\n",
     "413", "body_too_large"},
    {"very large length", Start + "Content-Length: 9000000000000000000\r\n\r\n",
     "413", "body_too_large"},
    {"no host", "GET / HTTP/1.1\r\n\r\n", "400", "malformed_request"},
    {"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400",
     "malformed_request"},
    {"no version", "GET /\r\nHost: x\r\n\r\n", "400", "malformed_request"},
    {"HTTP/2", "GET / HTTP/2.0\r\nHost: x\r\n\r\n", "400", "malformed_request"},
    {"space in the target", "GET /a b HTTP/1.1\r\nHost: x\r\n\r\n", "400",
     "malformed_request"},
    {"no target", "GET  HTTP/1.1\r\nHost: x\r\n\r\n", "400",
     "malformed_request"},
    {"tunnel", "CONNECT a:1 HTTP/1.1\r\nHost: x\r\n\r\n", "400",
     "malformed_request"},
    {"method that is no token", "G(T / HTTP/1.1\r\nHost: x\r\n\r\n", "400",
     "malformed_request"},
    {"space before the colon", Start + "Content-Length : 1\r\n\r\na", "400",
     "malformed_request"},
    {"folded header", Start + "X-A: 1\r\n  2\r\n\r\n", "400",
     "malformed_request"},
    {"bare line feed", Start + "X-A: 1\nX-B: 2\r\n\r\n", "400",
     "malformed_request"},
    {"zero byte", Start + std::string("X-A: 1\0", 7) + "\r\n\r\n", "400",
     "malformed_request"},
    {"long header line", Start + "X-A: " + std::string(9000, 'a') + "\r\n\r\n",
     "431", "header_too_large"},
    {"long request line",
     "GET /" + std::string(9000, 'a') + " HTTP/1.1\r\nHost: x\r\n\r\n", "431",
     "header_too_large"},
    {"head without an end", Start + "X-A: " + std::string(100'000, 'a'), "431",
     "header_too_large"},
    {"too many headers", manyHeaders(), "431", "header_too_large"},
    {"bad size of a chunk", Chunked + "zz\r\nab\r\n0\r\n\r\n", "400",
     "malformed_request"},
    {"negative size of a chunk", Chunked + "-2\r\nab\r\n0\r\n\r\n", "400",
     "malformed_request"},
    {"huge size of a chunk", Chunked + "fffffffffffffffff\r\nab", "400",
     "malformed_request"},
    {"chunk without its end", Chunked + "2\r\nabXX0\r\n\r\n", "400",
     "malformed_request"},
    {"short body", Start + "Content-Length: 9\r\n\r\nabc", "400",
     "body_incomplete"},
    {"chunks without the last", Chunked + "2\r\nab\r\n", "400",
     "body_incomplete"},
};

struct GoodRow {
  const char *Name;
  std::string Request;
  const char *Seen;
};

const GoodRow GoodRows[] = {
    {"unknown method", "LOCK /a?b=%20 HTTP/1.1\r\nHost: x\r\n",
     "LOCK /a?b=%20 Host=x <>"},
    {"body of a GET", "GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n",
     "GET / Host=x <ab>"},
    {"escapes in a value", "GET / HTTP/1.1\r\nHost: x\r\nX-A: a%0d%0ab\r\n",
     "GET / Host=x X-A=a%0d%0ab <>"},
    {"hop-by-hop headers",
     "GET / HTTP/1.1\r\nHost: x\r\nConnection: X-Drop\r\nX-Drop: 1\r\n"
     "Keep-Alive: 5\r\nTE: trailers\r\nUpgrade: h2c\r\n",
     "GET / Host=x <>"},
    {"absolute form", "GET HTTP://x:1/a HTTP/1.1\r\nHost: x\r\n",
     "GET /a Host=x <>"},
    {"asterisk form", "OPTIONS * HTTP/1.1\r\nHost: x\r\n",
     "OPTIONS * Host=x <>"},
};

struct ChunkRow {
  const char *Body;
  const char *Seen;
};

const ChunkRow ChunkRows[] = {
    {"0\r\n\r\n", "<>"},
    {"3\r\nabc\r\n0\r\n\r\n", "<abc>"},
    {"1;x=y\r\na\r\n0A\r\n0123456789\r\n00\r\nX-T: 1\r\n\r\n", "<a0123456789>"},
};

/// How a handler may leave an answer.
struct CutRow {
  const char *Name;
  CallerServer::Handler Handler;
};

const CutRow CutRows[] = {
    {"aborts",
     [](const std::shared_ptr<Exchange> &it) {
       (void)it->begin(200, {}, std::nullopt);
       (void)it->write(bytesOf("part"));
       it->abort();
     }},
    {"stops short of the length",
     [](const std::shared_ptr<Exchange> &it) {
       (void)it->begin(200, {}, 10);
       (void)it->write(bytesOf("part"));
       (void)it->end();
     }},
    {"exceeds the length",
     [](const std::shared_ptr<Exchange> &it) {
       (void)it->begin(200, {}, 6);
       (void)it->write(bytesOf("part"));
       (void)it->write(bytesOf("part"));
     }},
    {"returns within the answer",
     [](const std::shared_ptr<Exchange> &it) {
       (void)it->begin(200, {}, std::nullopt);
       (void)it->write(bytesOf("part"));
     }},
    {"refuses within the answer",
     [](const std::shared_ptr<Exchange> &it) {
       (void)it->begin(200, {}, std::nullopt);
       (void)it->write(bytesOf("part"));
       it->refuse({core::ErrorKind::Internal, {}}, "r-1");
     }},
};

/// Answers without a body, and the lengths that they may state.
struct BodilessRow {
  const char *Method;
  int Status;
  std::vector<Header> Headers;
  std::optional<std::uint64_t> Length;
  const char *Expected;
};

const BodilessRow BodilessRows[] = {
    {"HEAD", 200, {{"Content-Length", "7"}}, 0, "Content-Length: 7\r\n"},
    {"HEAD", 200, {{"Content-Length", "7"}}, {}, "Content-Length: 7\r\n"},
    {"HEAD", 200, {}, 5, "Content-Length: 5\r\n"},
    {"GET", 204, {}, 0, ""},
    {"GET", 304, {{"Content-Length", "7"}}, {}, "Content-Length: 7\r\n"},
};

const unsigned FuzzSeeds[] = {1, 2, 3, 4};

/// A request that is mostly well-formed, in a way that depends on \p random
/// alone.
std::string mutatedRequest(std::mt19937 &random) {
  std::string out = random() % 2 == 0 ? Chunked + "3\r\nabc\r\n0\r\n\r\n"
                                      : Start + "Content-Length: 3\r\n\r\nabc";
  const auto edits = 1 + random() % 4;
  for (std::uint32_t n = 0; n < edits; ++n)
    out[random() % out.size()] = static_cast<char>(random());
  if (random() % 4 == 0)
    out.resize(random() % out.size());
  return out;
}

struct RefusalRow {
  core::ErrorKind Kind;
  std::optional<int> RetryAfter;
  const char *Expected;
};

const RefusalRow RefusalRows[] = {
    {core::ErrorKind::RateExceeded, std::nullopt, "Retry-After: 1\r\n"},
    {core::ErrorKind::RateExceeded, 7, "Retry-After: 7\r\n"},
    {core::ErrorKind::OutcomeUnknown, std::nullopt, ""},
};

} // namespace

ACACIA_TABLE_TEST(CallerServerTest, badInputGetsAProblemDocument, BadRows) {
  std::atomic<int> calls{0};
  const auto server = start([&](const std::shared_ptr<Exchange> &it) {
    ++calls;
    echo(it);
  });
  const std::string answer = exchangeWith(*server, row.Request, true);
  cr_assert(answer.starts_with(std::string("HTTP/1.1 ") + row.Status), "%s: %s",
            row.Name, answer.c_str());
  cr_assert(answer.find("application/problem+json") != answer.npos);
  const auto document = nlohmann::json::parse(
      answer.substr(answer.find("\r\n\r\n")), nullptr, false);
  cr_assert(document.value("kind", "") == row.Kind, "%s: %s", row.Name,
            answer.c_str());
  cr_assert(!document.value("request_id", "").empty());
  cr_assert_eq(calls.load(), 0, "%s", row.Name);
}

ACACIA_TABLE_TEST(CallerServerTest, requestsArriveAsTheyWereSent, GoodRows) {
  const auto server = start(echo);
  const std::string answer =
      exchangeWith(*server, row.Request + "Connection: close\r\n\r\nab", false);
  cr_assert(answer.ends_with(row.Seen), "%s: %s", row.Name, answer.c_str());
}

ACACIA_TABLE_TEST(CallerServerTest, chunksAreJoined, ChunkRows) {
  const auto server = start(echo);
  // Byte by byte, and then a second request in the same packet as the end.
  const RawSocket caller(RawSocket::connect(server->port()));
  for (const char c : Chunked + row.Body)
    caller.send({&c, 1});
  caller.send("GET /next HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  const std::string answers = caller.receiveAll();
  const std::size_t first = answers.find(row.Seen);
  cr_assert(first != answers.npos, "%s", answers.c_str());
  cr_assert(answers.find("GET /next", first) != answers.npos);
}

ACACIA_TABLE_TEST(CallerServerTest, partOfAnAnswerIsNeverWhole, CutRows) {
  const auto server = start(row.Handler);
  const std::string answer =
      exchangeWith(*server, "GET / HTTP/1.1\r\nHost: x\r\n\r\n", false);
  cr_assert(answer.find("\r\n0\r\n\r\n") == answer.npos, "%s", row.Name);
  cr_assert(answer.find("partpart") == answer.npos, "%s", row.Name);
}

ACACIA_TABLE_TEST(CallerServerTest, refusalsSayWhenToComeBack, RefusalRows) {
  const auto server = start([&](const std::shared_ptr<Exchange> &it) {
    it->refuse({row.Kind, "\xff"}, "r-1", row.RetryAfter);
  });
  // The body of a refused upload is read off.
  const std::string upload(300'000, 'a');
  const std::string answer = exchangeWith(
      *server, Start + "Content-Length: 300000\r\n\r\n" + upload, false);
  cr_assert(answer.find(row.Expected) != answer.npos, "%s", answer.c_str());
  cr_assert_eq(answer.find("Retry-After") != answer.npos, *row.Expected != 0);
  cr_assert(answer.ends_with("\"request_id\":\"r-1\"}"));
}

ACACIA_TABLE_TEST(CallerServerTest, bodilessAnswersKeepTheirLength,
                  BodilessRows) {
  const auto server = start([&](const std::shared_ptr<Exchange> &it) {
    (void)it->begin(row.Status, row.Headers, row.Length);
    (void)it->write(bytesOf("dropped"));
    (void)it->end();
  });
  const std::string answer = exchangeWith(
      *server,
      row.Method + std::string(" / HTTP/1.1\r\nHost: x\r\nConnection: "
                               "close\r\n\r\n"),
      false);
  cr_assert(answer.find(row.Expected) != answer.npos, "%s", answer.c_str());
  cr_assert_eq(answer.find("Content-Length") != answer.npos,
               *row.Expected != 0);
  cr_assert_eq(answer.find("Content-Length"), answer.rfind("Content-Length"));
  cr_assert(answer.ends_with("\r\n\r\n"));
}

ACACIA_TABLE_TEST(CallerServerTest, corruptRequestsNeverCrash, FuzzSeeds) {
  constexpr int Requests = 300;
  const auto server = start(echo);
  std::mt19937 random(row);
  for (int n = 0; n < Requests; ++n) {
    const std::string answer =
        exchangeWith(*server, mutatedRequest(random), true);
    cr_assert(answer.empty() || answer.starts_with("HTTP/1.1 "));
  }
  const std::string answer =
      exchangeWith(*server, Start + "Connection: close\r\n\r\n", false);
  cr_assert(answer.ends_with("<>"));
}

Test(CallerServerTest, continueIsSentOnlyWhenTheBodyIsWanted) {
  const auto server = start([](const std::shared_ptr<Exchange> &it) {
    if (it->target() == "/wanted")
      return echo(it);
    it->refuse({core::ErrorKind::RateExceeded, {}}, "r-1");
  });
  const std::string rest = " HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
                           "Expect: 100-continue\r\nConnection: close\r\n\r\n";
  const RawSocket wanted(RawSocket::connect(server->port()));
  wanted.send("PUT /wanted" + rest);
  std::string answer;
  cr_assert(wanted.receiveUntil(answer, "100 Continue\r\n\r\n"));
  wanted.send("ab");
  cr_assert(wanted.receiveAll().ends_with("<ab>"));
  const RawSocket refused(RawSocket::connect(server->port()));
  refused.send("PUT /refused" + rest);
  cr_assert(refused.receiveAll().starts_with("HTTP/1.1 429"));
}

Test(CallerServerTest, connectionsAreBounded) {
  CallerServerOptions options;
  options.Connections.Limit = 2;
  const auto server = start(echo, options);
  const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  const RawSocket first(RawSocket::connect(server->port()));
  const RawSocket second(RawSocket::connect(server->port()));
  std::string answer;
  first.send(request);
  cr_assert(first.receiveUntil(answer, ">"));
  answer.clear();
  second.send(request);
  cr_assert(second.receiveUntil(answer, ">"));
  const RawSocket third(RawSocket::connect(server->port()));
  third.send(request);
  cr_assert(third.receiveAll().empty());
  cr_assert_eq(server->counters().ConnectionsRefused, 1);
}

Test(CallerServerTest, stopFinishesWhatRuns) {
  std::promise<void> entered;
  std::promise<void> release;
  auto gate = release.get_future().share();
  const auto server = start([&, gate](const std::shared_ptr<Exchange> &it) {
    entered.set_value();
    gate.wait();
    echo(it);
  });
  const RawSocket idle(RawSocket::connect(server->port()));
  const RawSocket busy(RawSocket::connect(server->port()));
  busy.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  entered.get_future().wait();
  std::thread stopper([&] { server->stop(); });
  cr_assert(idle.receiveAll().empty());
  release.set_value();
  const std::string answer = busy.receiveAll();
  stopper.join();
  cr_assert(answer.ends_with("<>"), "%s", answer.c_str());
  cr_assert(answer.find("Connection: close") != answer.npos);
}

Test(CallerServerTest, callerThatLeavesIsNoticed) {
  std::promise<void> entered;
  std::promise<void> left;
  std::promise<bool> gone;
  const auto server = start([&](const std::shared_ptr<Exchange> &it) {
    const bool before = it->isCallerGone();
    entered.set_value();
    left.get_future().wait();
    gone.set_value(!before && it->isCallerGone());
  });
  {
    const RawSocket caller(RawSocket::connect(server->port()));
    caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    entered.get_future().wait();
  }
  left.set_value();
  cr_assert(gone.get_future().get());
}
