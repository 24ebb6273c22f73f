#include "Proxy/EntryService.h"

#include <algorithm>
#include <sstream>
#include <string>
#include <vector>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>

#include "Proxy/FieldCodec.h"
#include "Proxy/PeerService.h"
#include "Support/ByteServer.h"
#include "Support/EndingAnswers.h"
#include "Support/EndlessServer.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::proxy;
using boost::asio::ip::tcp;
using boost::system::error_code;
using net::HttpFields;
using net::HttpRequest;
using net::HttpResponse;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::makeHeaderCodec;
using tests::UpstreamId;

namespace {

const char *const NodeName = "here";
/// Used by two nodes on different addresses, in one test only.
constexpr std::uint16_t CreditPort = 23413;

routing::Route makeRoute(const std::string &name, bool isPublic) {
  routing::Route out;
  out.Name = name;
  out.Host = "h";
  out.PathPrefix = "/" + name + "/";
  out.Kind = routing::WorkKind::AtMostOnce;
  out.Timeout = seconds(3);
  out.LatencyTarget = milliseconds(200);
  out.Services = {{"service", 1}};
  out.IsPublic = isPublic;
  return out;
}

std::shared_ptr<const routing::RouteTable>
makeRouteTable(core::Duration timeout = milliseconds(400),
               bool isKeyed = false) {
  routing::Configuration out;
  out.Version = 1;
  out.Services.emplace_back().Name = "service";
  out.Services.back().IsKeyed = isKeyed;
  out.Routes = {makeRoute("closed", false), makeRoute("open", true)};
  out.Routes.push_back(makeRoute("again", true));
  out.Routes.back().Kind = routing::WorkKind::Idempotent;
  out.Routes.push_back(makeRoute("odd", true));
  out.Routes.back().Kind = routing::WorkKind::Unsupported;
  for (routing::Route &it : out.Routes) {
    it.MaxAttempts = 2;
    it.Timeout = timeout;
  }
  routing::ClientAccount account;
  account.Name = "account";
  account.Keys = {"right"};
  account.Rate = {1, 1};
  out.Accounts = {account};
  return *routing::RouteTable::create(out);
}

/// Returns a route table that divides the requests of "/split/" between
/// "service" and "other".
std::shared_ptr<const routing::RouteTable> makeSplitTable(double service,
                                                          double other) {
  routing::Configuration out;
  out.Version = 1;
  out.Services.emplace_back().Name = "service";
  out.Services.emplace_back().Name = "other";
  out.Routes = {makeRoute("split", true)};
  out.Routes.front().Services = {{"service", service}, {"other", other}};
  return *routing::RouteTable::create(out);
}

/// One node whose upstream is provided by the test.
class Fixture {
public:
  using Behaviour = std::function<void(std::shared_ptr<net::Exchange>)>;

  explicit Fixture(Behaviour behaviour) {
    UpstreamServer = *net::HttpServer::create(Loop, {"127.0.0.1", 0}, Limits,
                                              std::move(behaviour));
    start(UpstreamServer->port());
  }

  explicit Fixture(tests::ByteServer::Hook hook,
                   tests::AnswerAfter when = tests::AnswerAfter::Body) {
    ByteUpstream =
        std::make_unique<tests::ByteServer>(Loop, std::move(hook), when);
    start(ByteUpstream->port());
  }

  void start(std::uint16_t upstream) {
    logging::LoggerOptions options;
    options.Sink = [](std::string_view) {};
    Log = *logging::Logger::create(std::move(options));
    useUpstream(upstream);
    Server =
        *net::HttpServer::create(Loop, {"127.0.0.1", 0}, Limits,
                                 [this](const auto &it) { Entry->handle(it); });
  }

  /// Starts a node in another data centre whose upstream runs every request.
  void startPeer() {
    Peer = *net::HttpServer::create(
        Loop, {"127.0.0.1", 0}, Limits,
        [this](const std::shared_ptr<net::Exchange> &exchange) {
          HttpResponse out(net::http::status::ok, 11);
          if (readPermitRequest(exchange->request())) {
            writePermit(out, 1);
            exchange->respond(std::move(out));
            return;
          }
          ++PeerRuns;
          out.set("id", exchange->request()["id"]);
          out.set("signed", "1");
          out.body() = "peer";
          ForwardOutcome outcome;
          outcome.Outcome = requests::AttemptOutcome::Answered;
          outcome.ReachedUpstream = true;
          outcome.Load = {0, 0, 2};
          writeOutcome(out, outcome);
          exchange->respond(std::move(out));
        });
    PeerPort = Peer->port();
  }

  void useUpstream(std::uint16_t port) {
    Entry.reset();
    Upstream = std::make_unique<UpstreamService>(
        Loop, core::Endpoint{"127.0.0.1", port}, makeHeaderCodec(), Log,
        Counters, UpstreamHooks{[] {}, [](const auto &) {}});
    Entry = std::make_unique<EntryService>(
        Loop, EntryIdentity{NodeName, "dc", "service"},
        EntryLimits{seconds(4), seconds(4), seconds(5), 0.2, 10},
        makeHeaderCodec(), Log, Counters, *Upstream);
  }

  void setView(std::shared_ptr<const routing::RouteTable> table) {
    auto view = std::make_shared<TrafficView>();
    view->Routes = std::move(table);
    view->Own.Service = "service";
    view->Own.Process = {UpstreamId, 1};
    view->Own.IsOpen = true;
    view->Own.Slots = Slots;
    view->Services["service"].Peers.push_back({NodeName,
                                               "dc",
                                               {"127.0.0.1", 1},
                                               core::InstanceId{1},
                                               {UpstreamId, 1},
                                               IsOpen});
    if (PeerPort == 0)
      view->Services["service"].Peers.push_back(
          {"peer", "dc", {"127.0.0.2", 1}, core::InstanceId{2}, {}, false});
    else
      view->Services["service"].Peers.push_back({"peer",
                                                 "far",
                                                 {"127.0.0.1", PeerPort},
                                                 core::InstanceId{2},
                                                 {UpstreamId, 1},
                                                 true});
    view->Services["service"].Peers[0].Version = "v1";
    view->Services["service"].Peers[1].Version = "v2";
    view->Services["service"].Rollout = Rollout;
    const auto *service =
        view->Routes ? view->Routes->findService("service") : nullptr;
    if (view->Routes)
      for (const routing::Service &it : view->Routes->configuration().Services)
        view->Services[it.Name];
    // The other node holds all keys.
    view->Services["service"].Holdings = {{{}, "peer", {UpstreamId, 1}, 1, {}}};
    view->Nodes = {NodeName, "peer"};
    Entry->setView(view);
    Upstream->setView(view, service);
  }

  /// Sends one request and returns the answer.
  HttpResponse ask(const std::string &path, const std::string &key,
                   const std::string &id = "r-1",
                   const std::string &body = "") {
    const auto client = net::HttpClient::create(
        Loop, {"127.0.0.1", Server->port()},
        {seconds(1), seconds(1), seconds(1), 1U << 20U, 4, {}, {}});
    HttpRequest request{net::http::verb::post, path, 11};
    request.set(net::http::field::host, "h");
    request.body() = body;
    if (!id.empty())
      request.set("id", id);
    if (!key.empty())
      request.set("account-key", key);
    HttpResponse out;
    const auto call =
        client->send(std::move(request), [&](net::CallResult result) {
          out = std::move(result.Response);
          Loop.stop();
        });
    Loop.restart();
    Loop.run_for(seconds(6));
    client->dropIdle();
    return out;
  }

  static constexpr net::ServerLimits Limits{4096, 8U << 20U, seconds(1),
                                            seconds(5)};
  /// If set before setView, the other node accepts requests on this port.
  std::uint16_t PeerPort = 0;
  std::uint32_t Slots = 2;
  /// This node's upstream runs version v1, the other node's v2.
  std::optional<rollouts::VersionShare> Rollout;
  /// Whether this node's upstream accepts requests.
  bool IsOpen = true;

  boost::asio::io_context Loop;
  TrafficCounters Counters;
  std::shared_ptr<logging::Logger> Log;
  std::unique_ptr<net::HttpServer> UpstreamServer;
  std::unique_ptr<tests::ByteServer> ByteUpstream;
  std::unique_ptr<net::HttpServer> Peer;
  int PeerRuns = 0;
  std::unique_ptr<UpstreamService> Upstream;
  std::unique_ptr<EntryService> Entry;
  std::unique_ptr<net::HttpServer> Server;
};

void answerWith(net::Exchange &exchange, unsigned status, const char *field) {
  HttpResponse out(static_cast<net::http::status>(status), 11);
  out.set("id", exchange.request()["id"]);
  if (field[0] != '\0')
    out.set(field, "1");
  out.body() = "whole";
  exchange.respond(std::move(out));
}

struct AnswerRow {
  const char *Name;
  const char *Path;
  const char *Key;
  /// Whether a configuration is loaded, and whether it was confirmed recently.
  bool IsConfigured;
  bool IsFresh;
  /// Status that the upstream answers with; 0 if it does not answer.
  unsigned UpstreamStatus;
  const char *UpstreamField;
  unsigned Status;
  bool HasRetryAfter;
  const char *Body;
};

const AnswerRow AnswerRows[] = {
    {"complete answer", "/open/x", "", true, true, 200, "signed", 200, false,
     "whole"},
    {"error status of the upstream", "/open/x", "", true, true, 500, "signed",
     500, false, "whole"},
    {"success without a signature", "/open/x", "", true, true, 200, "", 502,
     false, ""},
    {"success without a signature, idempotent, no other upstream", "/again/x",
     "", true, true, 200, "", 502, false, ""},
    {"not run by the upstream", "/open/x", "", true, true, 503, "not-run", 503,
     true, ""},
    {"503 without the statement that it did not run", "/open/x", "", true, true,
     503, "signed", 502, false, ""},
    {"429 without the statement that it did not run", "/open/x", "", true, true,
     429, "signed", 502, false, ""},
    {"408 without the statement that it did not run", "/open/x", "", true, true,
     408, "signed", 502, false, ""},
    {"404 of the upstream", "/open/x", "", true, true, 404, "signed", 404,
     false, "whole"},
    {"no answer until the deadline", "/open/x", "", true, true, 0, "", 504,
     false, ""},
    {"no configuration", "/open/x", "", false, false, 200, "signed", 503, true,
     ""},
    {"no route", "/none/x", "", true, true, 200, "signed", 404, false, ""},
    {"no route in an outdated configuration", "/none/x", "", true, false, 200,
     "signed", 503, true, ""},
    {"no account key", "/closed/x", "", true, true, 200, "signed", 401, false,
     ""},
    {"unknown account key", "/closed/x", "wrong", true, true, 200, "signed",
     401, false, ""},
    {"account key in an outdated configuration", "/closed/x", "right", true,
     false, 200, "signed", 503, true, ""},
    {"a route of an unknown kind", "/odd/x", "", true, true, 200, "signed", 503,
     true, ""},
    {"account without credit", "/closed/x", "right", true, true, 200, "signed",
     429, true, ""},
};

} // namespace

ACACIA_TABLE_TEST(EntryService, Answers, AnswerRows) {
  Fixture fixture([&](const std::shared_ptr<net::Exchange> &exchange) {
    cr_assert_eq(exchange->request().count("account-key"), 0U);
    if (row.UpstreamStatus != 0)
      answerWith(*exchange, row.UpstreamStatus, row.UpstreamField);
    else
      exchange->setOnAbandoned([exchange] {});
  });
  if (row.IsConfigured)
    fixture.setView(makeRouteTable());
  if (row.IsFresh)
    fixture.Entry->configurationConfirmed(core::BootClock::now());
  const HttpResponse answer = fixture.ask(row.Path, row.Key);
  cr_assert_eq(answer.result_int(), row.Status, "%s: %u", row.Name,
               answer.result_int());
  cr_assert_eq(answer.count(net::http::field::retry_after) > 0,
               row.HasRetryAfter, "%s", row.Name);
  cr_assert_eq(net::fieldOf(answer, "id"), "r-1", "%s", row.Name);
  if (row.Body[0] != '\0')
    cr_assert_eq(answer.body(), row.Body, "%s", row.Name);
}

Test(EntryService, AcceptsKeysWithoutBounds) {
  Fixture fixture([](const std::shared_ptr<net::Exchange> &exchange) {
    answerWith(*exchange, 200, "signed");
  });
  fixture.Entry->setLimits({std::nullopt, seconds(2), std::nullopt, 0.2, 10});
  fixture.setView(makeRouteTable());
  cr_assert_eq(fixture.ask("/closed/x", "right").result_int(), 200U);
  cr_assert_eq(fixture.ask("/closed/x", "wrong").result_int(), 401U);
}

namespace {

struct SplitRow {
  const char *Name;
  /// Weights of "service", which has an upstream, and "other", which has none.
  double Service;
  double Other;
  /// Requests out of 200 that are answered by the upstream.
  int Answered;
};

const SplitRow SplitRows[] = {
    {"even", 1, 1, 100},
    {"nine to one", 90, 10, 180},
    {"weight 0 without an upstream", 1, 0, 200},
    {"weight 0 with an upstream", 0, 1, 0},
};

} // namespace

// A request of the part that has no upstream is rejected, not moved to another
// part.
ACACIA_TABLE_TEST(EntryService, DividesRequestsByWeight, SplitRows) {
  int runs = 0;
  Fixture fixture([&](const std::shared_ptr<net::Exchange> &exchange) {
    ++runs;
    answerWith(*exchange, 200, "signed");
  });
  fixture.setView(makeSplitTable(row.Service, row.Other));
  fixture.Entry->configurationConfirmed(core::BootClock::now());
  int answered = 0;
  for (int n = 0; n < 200; ++n) {
    const HttpResponse answer = fixture.ask("/split/x", "");
    answered += answer.result_int() == 200 ? 1 : 0;
    cr_assert(answer.result_int() == 200 ||
                  (answer.result_int() == 503 &&
                   answer.count(net::http::field::retry_after) > 0),
              "%s: %u", row.Name, answer.result_int());
  }
  cr_assert_eq(answered, row.Answered, "%s: %d", row.Name, answered);
  cr_assert_eq(runs, row.Answered, "%s: %d", row.Name, runs);
}

// The weights change after each tenth request.
Test(EntryService, FollowsNewWeights) {
  int runs = 0;
  Fixture fixture([&](const std::shared_ptr<net::Exchange> &exchange) {
    ++runs;
    answerWith(*exchange, 200, "signed");
  });
  fixture.Entry->configurationConfirmed(core::BootClock::now());
  for (int n = 0; n < 200; ++n) {
    if (n % 20 == 0)
      fixture.setView(makeSplitTable(1, 4));
    else if (n % 20 == 10)
      fixture.setView(makeSplitTable(4, 1));
    fixture.ask("/split/x", "");
  }
  cr_assert_eq(runs, 100, "%d", runs);
}

namespace {

struct MethodRow {
  const char *Name;
  const char *Method;
  const char *Body;
  const char *Status;
  bool IsSent;
};

const MethodRow MethodRows[] = {
    {"TRACE with a body", "TRACE", "body", "HTTP/1.1 400 Bad Request", false},
    {"TRACE", "TRACE", "", "HTTP/1.1 200 OK", true},
    {"unknown method with a body", "BREW", "body", "HTTP/1.1 200 OK", true},
    {"GET with a body", "GET", "body", "HTTP/1.1 200 OK", true},
    {"CONNECT with a body", "CONNECT", "body", "HTTP/1.1 200 OK", true},
};

} // namespace

// Beast throws for a TRACE with a body, which used to end the process.
ACACIA_TABLE_TEST(EntryService, AnswersAnyMethod, MethodRows) {
  bool isSent = false;
  Fixture fixture([&](const std::shared_ptr<net::Exchange> &exchange) {
    isSent = true;
    answerWith(*exchange, 200, "signed");
  });
  fixture.setView(makeRouteTable());
  fixture.Entry->configurationConfirmed(core::BootClock::now());
  const std::string body = row.Body;
  const std::string request =
      std::string(row.Method) + " /open/x HTTP/1.1\r\nHost: h\r\nid: r-1\r\n" +
      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  tcp::socket socket(fixture.Loop);
  socket.connect(
      {boost::asio::ip::address_v4::loopback(), fixture.Server->port()});
  boost::asio::write(socket, boost::asio::buffer(request));
  std::string answer;
  boost::asio::async_read_until(
      socket, boost::asio::dynamic_buffer(answer), "\r\n\r\n",
      [&](error_code, std::size_t) { fixture.Loop.stop(); });
  fixture.Loop.run_for(seconds(3));
  cr_assert_eq(answer.substr(0, answer.find("\r\n")), row.Status, "%s: %s",
               row.Name, answer.c_str());
  cr_assert_eq(isSent, row.IsSent, "%s", row.Name);
}

// The configuration is replaced while a request waits for borrowed credit. Its
// route and account have to stay valid.
Test(EntryService, KeepsConfigurationAliveForRequest) {
  std::weak_ptr<const routing::RouteTable> before;
  bool wasAlive = false;
  Fixture fixture([&](const std::shared_ptr<net::Exchange> &exchange) {
    wasAlive = !before.expired();
    answerWith(*exchange, 200, "signed");
  });
  cr_assert(
      fixture.Entry->openCreditExchange({"127.0.0.1", CreditPort}).has_value());
  accounts::AccountShares lent((seconds(5)));
  const auto start = core::BootClock::now() - seconds(5);
  lent.prepare("account", {10, 10}, start);
  const auto lender = CreditExchange::create(
      fixture.Loop, {"127.0.0.2", CreditPort}, lent, fixture.Log);
  cr_assert(lender.has_value());
  fixture.Entry->configurationConfirmed(core::BootClock::now());
  auto table = makeRouteTable();
  before = table;
  fixture.setView(std::move(table));
  fixture.Server = *net::HttpServer::create(
      fixture.Loop, {"127.0.0.1", 0}, {4096, 4096, seconds(1), seconds(5)},
      [&](const auto &it) {
        fixture.Entry->handle(it);
        fixture.setView(makeRouteTable());
      });
  const auto client = net::HttpClient::create(
      fixture.Loop, {"127.0.0.1", fixture.Server->port()},
      {seconds(1), seconds(1), seconds(1), 1U << 20U, 4, {}, {}});
  HttpRequest request{net::http::verb::post, "/closed/x", 11};
  request.set(net::http::field::host, "h");
  request.set("id", "r-1");
  request.set("account-key", "right");
  unsigned status = 0;
  const auto call =
      client->send(std::move(request), [&](const net::CallResult &result) {
        status = result.Response.result_int();
        fixture.Loop.stop();
      });
  fixture.Loop.restart();
  fixture.Loop.run_for(seconds(3));
  client->dropIdle();
  cr_assert_eq(status, 200U, "%u", status);
  cr_assert(wasAlive);
}

namespace {

using tests::ByteAnswer;
using tests::ConnectionEnd;

#define REFUSAL(Status, Fields)                                                \
  "HTTP/1.1 " Status "\r\nContent-Length: 0\r\nnot-run: 1\r\n" Fields "\r\n"

struct RefusalRow {
  const char *Name;
  const char *Path;
  /// Ids of the two requests; empty for none.
  const char *FirstId;
  const char *SecondId;
  /// Bytes that the upstream writes before its answer to the second request.
  const char *Extra;
  /// Whether there is another upstream.
  bool HasPeer;
  /// Answer to the second request.
  unsigned Status;
  /// How often the other upstream runs the second request.
  int PeerRuns;
};

const RefusalRow RefusalRows[] = {
    {"no extra bytes", "/open/x", "1", "2", "", false, 200, 0},
    {"503 with the id of the first request", "/open/x", "1", "2",
     REFUSAL("503 Busy", "id: 1\r\n"), false, 200, 0},
    {"503 without an id", "/open/x", "1", "2", REFUSAL("503 Busy", ""), false,
     200, 0},
    {"503 without an id, with a peer", "/open/x", "1", "2",
     REFUSAL("503 Busy", ""), true, 200, 0},
    {"429 without an id, with a peer", "/open/x", "1", "2",
     REFUSAL("429 Slow", ""), true, 200, 0},
    {"421 without an id, with a peer", "/open/x", "1", "2",
     REFUSAL("421 Other", ""), true, 200, 0},
    {"503, both requests with the same id", "/open/x", "1", "1",
     REFUSAL("503 Busy", "id: 1\r\n"), false, 200, 0},
    {"503, both requests with the same id, with a peer", "/open/x", "1", "1",
     REFUSAL("503 Busy", "id: 1\r\n"), true, 200, 0},
    {"400, both requests without an id", "/open/x", "", "",
     REFUSAL("400 No", ""), false, 200, 0},
    {"success without an id", "/open/x", "1", "2",
     "HTTP/1.1 200 OK\r\nsigned: 1\r\nContent-Length: 3\r\n\r\nold", true, 200,
     0},
    {"three refusals, at most once", "/open/x", "1", "2",
     REFUSAL("503 Busy", "") REFUSAL("503 Busy", "") REFUSAL("503 Busy", ""),
     true, 502, 0},
    {"three refusals, idempotent", "/again/x", "1", "2",
     REFUSAL("503 Busy", "") REFUSAL("503 Busy", "") REFUSAL("503 Busy", ""),
     true, 200, 1},
    {"refusal truncated in a value, at most once", "/open/x", "1", "2",
     "HTTP/1.1 503 Busy\r\nnot-run: ", true, 502, 0},
    {"refusal truncated in a value, idempotent", "/again/x", "1", "2",
     "HTTP/1.1 503 Busy\r\nnot-run: ", true, 200, 1},
};

std::string signedAnswer(const HttpRequest &request, const char *status,
                         const char *field) {
  std::string out = "HTTP/1.1 " + std::string(status) + "\r\n";
  if (const auto id = net::fieldOf(request, "id"); !id.empty())
    out += "id: " + std::string(id) + "\r\n";
  return out + field + ": 1\r\nContent-Length: 5\r\n\r\nwhole";
}

} // namespace

// The upstream refuses the first request and runs the second one, but writes
// stray refusals before that answer. They must not count as the answer to the
// second request, since it would then be reported or retried as not run.
ACACIA_TABLE_TEST(EntryService, RefusesOnlyWhatDidNotRun, RefusalRows) {
  int requests = 0;
  Fixture fixture([&](const HttpRequest &request, std::size_t onConnection) {
    ByteAnswer out;
    if (requests++ == 0) {
      out.Pieces = {{{}, signedAnswer(request, "503 Busy", "not-run")}};
      return out;
    }
    const std::string extra = onConnection == 0 ? "" : row.Extra;
    out.Pieces = {{{}, extra + signedAnswer(request, "200 OK", "signed")}};
    return out;
  });
  fixture.setView(makeRouteTable());
  fixture.Entry->configurationConfirmed(core::BootClock::now());
  fixture.ask("/open/x", "", row.FirstId);
  cr_assert_eq(requests, 1, "%s", row.Name);
  if (row.HasPeer) {
    fixture.startPeer();
    fixture.setView(makeRouteTable());
  }
  const HttpResponse answer = fixture.ask(row.Path, "", row.SecondId);
  cr_assert_eq(answer.result_int(), row.Status, "%s: %u", row.Name,
               answer.result_int());
  cr_assert_eq(requests, 2, "%s", row.Name);
  cr_assert_eq(fixture.PeerRuns, row.PeerRuns, "%s: %d", row.Name,
               fixture.PeerRuns);
  cr_assert_eq(net::fieldOf(answer, "id"), row.SecondId, "%s", row.Name);
  if (row.Status == 200)
    cr_assert_eq(answer.body(), row.PeerRuns > 0 ? "peer" : "whole", "%s",
                 row.Name);
}

namespace {

struct TruncatedRow {
  const char *Name;
  /// Bytes that the upstream writes before it ends the connection.
  const char *Bytes;
  ConnectionEnd End;
  /// Size of the request's body. If it is not 0, the upstream answers before it
  /// has read the body.
  std::size_t BodyBytes;
  /// Answer to a request that runs at most once, and the error kind in its body
  /// if this node made the answer.
  unsigned Status;
  const char *Kind;
};

#define HEAD "HTTP/1.1 200 OK\r\nid: 2\r\nsigned: 1\r\n"
const char *const Incomplete = "answer_incomplete";

const TruncatedRow TruncatedRows[] = {
    {"before the first byte", "", ConnectionEnd::Close, 0, 502, Incomplete},
    {"in the version", "HTTP/1", ConnectionEnd::Close, 0, 502, Incomplete},
    {"in the status", "HTTP/1.1 20", ConnectionEnd::Close, 0, 502, Incomplete},
    {"in the reason phrase", "HTTP/1.1 200 O", ConnectionEnd::Close, 0, 502,
     Incomplete},
    {"in the line break after the status line", "HTTP/1.1 200 OK\r",
     ConnectionEnd::Close, 0, 502, Incomplete},
    {"after the status line", "HTTP/1.1 200 OK\r\n", ConnectionEnd::Close, 0,
     502, Incomplete},
    {"in a field name", HEAD "Content-Le", ConnectionEnd::Close, 0, 502,
     Incomplete},
    {"after a field name", HEAD "Content-Length", ConnectionEnd::Close, 0, 502,
     Incomplete},
    {"after the colon", HEAD "Content-Length:", ConnectionEnd::Close, 0, 502,
     Incomplete},
    {"in a field value", HEAD "Content-Length: 1", ConnectionEnd::Close, 0, 502,
     Incomplete},
    {"in the line break after a field", HEAD "Content-Length: 10\r",
     ConnectionEnd::Close, 0, 502, Incomplete},
    {"after Content-Length", HEAD "Content-Length: 10\r\n",
     ConnectionEnd::Close, 0, 502, Incomplete},
    {"after Content-Length 0", HEAD "Content-Length: 0\r\n",
     ConnectionEnd::Close, 0, 502, Incomplete},
    {"after Transfer-Encoding", HEAD "Transfer-Encoding: chunked\r\n",
     ConnectionEnd::Close, 0, 502, Incomplete},
    {"after a field, without Content-Length", HEAD, ConnectionEnd::Close, 0,
     502, Incomplete},
    {"in the blank line", HEAD "\r", ConnectionEnd::Close, 0, 502, Incomplete},
    {"in the head of a refusal", "HTTP/1.1 503 Busy\r\nid: 2\r\nnot-run: 1\r\n",
     ConnectionEnd::Close, 0, 502, Incomplete},
    {"in the head of an error status",
     "HTTP/1.1 500 No\r\nid: 2\r\nsigned: 1\r\n", ConnectionEnd::Close, 0, 502,
     Incomplete},
    {"in the status, reset", "HTTP/1.1 20", ConnectionEnd::Reset, 0, 502,
     Incomplete},
    {"in a field value, reset", HEAD "Content-Length: 1", ConnectionEnd::Reset,
     0, 502, Incomplete},
    {"after a field, reset", HEAD, ConnectionEnd::Reset, 0, 502, Incomplete},
    {"after the head, with Content-Length", HEAD "Content-Length: 10\r\n\r\n",
     ConnectionEnd::Close, 0, 502, Incomplete},
    {"after the head, chunked", HEAD "Transfer-Encoding: chunked\r\n\r\n",
     ConnectionEnd::Close, 0, 502, Incomplete},
    {"in the size of a chunk", HEAD "Transfer-Encoding: chunked\r\n\r\n5",
     ConnectionEnd::Close, 0, 502, Incomplete},
    {"before the last chunk",
     HEAD "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
     ConnectionEnd::Close, 0, 502, Incomplete},
    {"in the last chunk",
     HEAD "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n",
     ConnectionEnd::Close, 0, 502, Incomplete},
    {"in the body, reset", HEAD "\r\nwho", ConnectionEnd::Reset, 0, 502,
     Incomplete},
    {"in the body, reset while the request is sent", HEAD "\r\nwho",
     ConnectionEnd::Reset, 6U << 20U, 502, Incomplete},
    {"in a field value, reset while the request is sent",
     HEAD "Content-Length: 1", ConnectionEnd::Reset, 6U << 20U, 502,
     Incomplete},
    {"complete body that ends with the connection", HEAD "\r\nwhole",
     ConnectionEnd::Close, 0, 200, ""},
};

} // namespace

// A truncated answer must not count as a success, and the answer to the caller
// must always have a Content-Length.
ACACIA_TABLE_TEST(EntryService, RejectsTruncatedAnswers, TruncatedRows) {
  // Sending a large body takes longer.
  const auto table =
      makeRouteTable(milliseconds(row.BodyBytes > 0 ? 2500 : 400));
  for (const bool isKept : {false, true})
    for (const bool mayRepeat : {false, true}) {
      int runs = 0;
      Fixture fixture(
          [&](const HttpRequest &request, std::size_t) {
            if (net::fieldOf(request, "id") == "1")
              return ByteAnswer{
                  {{{}, signedAnswer(request, "200 OK", "signed")}},
                  ConnectionEnd::None};
            ++runs;
            return ByteAnswer{{{{}, row.Bytes}}, row.End};
          },
          row.BodyBytes > 0 ? tests::AnswerAfter::Head
                            : tests::AnswerAfter::Body);
      fixture.setView(table);
      fixture.Entry->configurationConfirmed(core::BootClock::now());
      if (isKept)
        cr_assert_eq(fixture.ask("/open/x", "", "1").result_int(), 200U);
      fixture.startPeer();
      fixture.setView(table);
      const HttpResponse answer =
          fixture.ask(mayRepeat ? "/again/x" : "/open/x", "", "2",
                      std::string(row.BodyBytes, 'x'));
      const bool isMadeHere = row.Kind[0] != '\0';
      const bool isRepeated = mayRepeat && isMadeHere;
      cr_assert_eq(answer.result_int(), isRepeated ? 200U : row.Status,
                   "%s: %u", row.Name, answer.result_int());
      cr_assert_eq(runs, 1, "%s: %d", row.Name, runs);
      cr_assert_eq(fixture.PeerRuns, isRepeated ? 1 : 0, "%s", row.Name);
      cr_assert_eq(net::fieldOf(answer, "id"), "2", "%s", row.Name);
      cr_assert_eq(net::fieldOf(answer, "Content-Length"),
                   std::to_string(answer.body().size()), "%s", row.Name);
      cr_assert(answer.keep_alive(), "%s", row.Name);
      if (isRepeated)
        cr_assert_eq(answer.body(), "peer", "%s", row.Name);
      else if (isMadeHere)
        cr_assert(answer.body().find(row.Kind) != std::string::npos, "%s: %s",
                  row.Name, answer.body().c_str());
      else
        cr_assert_eq(answer.body(), "whole", "%s", row.Name);
    }
}
namespace {

struct BrokenRow {
  const char *Name;
  const char *Path;
  unsigned Status;
  /// How often the request is sent to the holder.
  int Sent;
};

const BrokenRow BrokenRows[] = {
    {"idempotent", "/again/x", 200, 2},
    {"at most once", "/open/x", 504, 1},
};

} // namespace

// The connection to the node that holds a request's key breaks, but the node
// and its upstream work. An idempotent request has to be retried there.
ACACIA_TABLE_TEST(EntryService, RetriesBrokenCallToKeyHolder, BrokenRows) {
  Fixture fixture([](const auto &) {});
  int sent = 0;
  const tests::ByteServer holder(
      fixture.Loop, [&](const HttpRequest &request, std::size_t) {
        if (++sent == 1)
          return ByteAnswer{{{{}, ""}}, ConnectionEnd::Close};
        HttpResponse out(net::http::status::ok, 11);
        out.set("id", request["id"]);
        out.set("signed", "1");
        ForwardOutcome outcome;
        outcome.Outcome = requests::AttemptOutcome::Answered;
        outcome.ReachedUpstream = true;
        writeOutcome(out, outcome);
        out.prepare_payload();
        std::ostringstream text;
        text << out;
        return ByteAnswer{{{{}, text.str()}}, ConnectionEnd::None};
      });
  fixture.PeerPort = holder.port();
  fixture.setView(makeRouteTable(seconds(2), true));
  const HttpResponse answer = fixture.ask(row.Path, "");
  cr_assert_eq(sent, row.Sent, "%s: %d", row.Name, sent);
  cr_assert_eq(answer.result_int(), row.Status, "%s: %u", row.Name,
               answer.result_int());
  cr_assert_eq(fixture.Counters.Retries, row.Sent - 1U, "%s", row.Name);
}

namespace {

/// Which of the servers behind the entry node sends an endless answer.
enum class Endless { Upstream, OtherNode, UpstreamOfOtherNode, Both };

/// Service, process and keys of the upstream beside another node.
struct OtherUpstream {
  std::string Service = "service";
  std::string Id = UpstreamId;
  /// Whether the service is keyed; the upstream then holds all keys.
  bool IsKeyed = false;
};

/// A node that runs forwarded orders.
class OtherNode {
public:
  OtherNode(Fixture &fixture, std::uint16_t upstream,
            const OtherUpstream &own = {})
      : Upstream(fixture.Loop, {"127.0.0.1", upstream}, makeHeaderCodec(),
                 fixture.Log, fixture.Counters, {[] {}, [](const auto &) {}}),
        Service(fixture.Loop, makeHeaderCodec(), Upstream, fixture.Log),
        Server(*net::HttpServer::create(
            fixture.Loop, {"127.0.0.1", 0}, Fixture::Limits,
            [this](const auto &it) { Service.handle(it); })) {
    auto view = std::make_shared<TrafficView>();
    view->Own.Service = own.Service;
    view->Own.Process = {own.Id, 1};
    view->Own.IsOpen = true;
    view->Own.Slots = 2;
    view->Own.GrantedUntil = core::BootClock::now() + seconds(10);
    if (own.IsKeyed)
      view->Own.Granted = {{{}, "other", view->Own.Process, 1, {}}};
    routing::Service service;
    service.Name = own.Service;
    service.IsKeyed = own.IsKeyed;
    Upstream.setView(view, &service);
  }

  std::uint16_t port() const { return Server->port(); }

private:
  UpstreamService Upstream;
  PeerService Service;
  std::unique_ptr<net::HttpServer> Server;
};

const char *const EndlessHead = "HTTP/1.1 200 OK\r\nsigned: 1\r\nX: ";
const char *const EndlessBody = "HTTP/1.1 200 OK\r\nsigned: 1\r\n\r\n";

struct EndlessRow {
  const char *Name;
  Endless Where;
  const char *Prefix;
  const char *Path;
  /// How often the request is sent.
  int Sent;
};

const EndlessRow EndlessRows[] = {
    {"head, upstream", Endless::Upstream, EndlessHead, "/open/x", 1},
    {"body, upstream", Endless::Upstream, EndlessBody, "/open/x", 1},
    {"head, other node", Endless::OtherNode, EndlessHead, "/open/x", 1},
    {"body, other node", Endless::OtherNode, EndlessBody, "/open/x", 1},
    {"head, upstream of another node", Endless::UpstreamOfOtherNode,
     EndlessHead, "/open/x", 1},
    {"body, upstream of another node", Endless::UpstreamOfOtherNode,
     EndlessBody, "/open/x", 1},
    {"head, no other upstream", Endless::Upstream, EndlessHead, "/again/x", 1},
    {"head, sent again", Endless::Both, EndlessHead, "/again/x", 2},
    {"body, sent again", Endless::Both, EndlessBody, "/again/x", 2},
    {"head, at most once", Endless::Both, EndlessHead, "/open/x", 1},
};

} // namespace

// An answer over the size limit is reported as answer_too_large as soon as it
// exceeds the limit, not as incomplete or missing.
ACACIA_TABLE_TEST(EntryService, RejectsEndlessAnswers, EndlessRows) {
  Fixture fixture([](const auto &) {});
  const tests::EndlessServer server(fixture.Loop, row.Prefix, "x");
  std::unique_ptr<OtherNode> other;
  if (row.Where == Endless::Upstream || row.Where == Endless::Both)
    fixture.useUpstream(server.port());
  if (row.Where == Endless::OtherNode || row.Where == Endless::Both)
    fixture.PeerPort = server.port();
  if (row.Where == Endless::UpstreamOfOtherNode) {
    other = std::make_unique<OtherNode>(fixture, server.port());
    fixture.PeerPort = other->port();
  }
  fixture.IsOpen = row.Where == Endless::Upstream || row.Where == Endless::Both;
  constexpr auto Timeout = seconds(4);
  fixture.setView(makeRouteTable(Timeout));
  const auto start = core::BootClock::now();
  const HttpResponse answer = fixture.ask(row.Path, "");
  // The size limit ended the call, not its deadline.
  cr_assert(core::BootClock::now() - start < Timeout, "%s", row.Name);
  cr_assert_eq(answer.result_int(), 502U, "%s: %u", row.Name,
               answer.result_int());
  cr_assert(answer.body().find("answer_too_large") != std::string::npos,
            "%s: %s", row.Name, answer.body().c_str());
  cr_assert_eq(server.accepted(), row.Sent, "%s: %d", row.Name,
               server.accepted());
}

namespace {

struct LateRow {
  const char *Name;
  Endless Where;
  const char *Prefix;
  /// Sent repeatedly, with pauses.
  const char *Piece;
};

const LateRow LateRows[] = {
    {"no answer, upstream", Endless::Upstream, "", ""},
    {"head, upstream", Endless::Upstream, EndlessHead, "x"},
    {"body, upstream", Endless::Upstream, EndlessBody, "x"},
    {"no answer, other node", Endless::OtherNode, "", ""},
    {"head, other node", Endless::OtherNode, EndlessHead, "x"},
    {"body, other node", Endless::OtherNode, EndlessBody, "x"},
};

} // namespace

// A call whose deadline has passed keeps its connection and the bytes received
// on it only for the time that a late answer may take.
ACACIA_TABLE_TEST(EntryService, EndsCallsAfterDeadline, LateRows) {
  Fixture fixture([](const auto &) {});
  const tests::EndlessServer server(fixture.Loop, row.Prefix, row.Piece,
                                    milliseconds(20));
  fixture.IsOpen = row.Where == Endless::Upstream;
  if (fixture.IsOpen)
    fixture.useUpstream(server.port());
  else
    fixture.PeerPort = server.port();
  fixture.setView(makeRouteTable());
  const HttpResponse answer = fixture.ask("/open/x", "");
  cr_assert_eq(answer.result_int(), 504U, "%s: %u", row.Name,
               answer.result_int());
  cr_assert_eq(server.accepted(), 1, "%s: %d", row.Name, server.accepted());
  fixture.Loop.restart();
  fixture.Loop.run_for(seconds(2));
  cr_assert_eq(server.open(), 0, "%s", row.Name);
}

// Nothing reads bytes that arrive on an idle connection, and their buffers
// count as memory of the process.
Test(EntryService, ClosesIdleConnectionsThatReceiveBytes) {
  Fixture fixture([](const auto &) {});
  const tests::EndlessServer server(
      fixture.Loop,
      "HTTP/1.1 200 OK\r\nsigned: 1\r\nContent-Length: 2\r\n\r\nok",
      std::string(1024, 'x'), milliseconds(20));
  fixture.useUpstream(server.port());
  fixture.setView(makeRouteTable());
  const HttpResponse answer = fixture.ask("/open/x", "");
  cr_assert_eq(answer.result_int(), 200U, "%u", answer.result_int());
  cr_assert_eq(server.open(), 1);
  fixture.Loop.restart();
  fixture.Loop.run_for(seconds(3));
  cr_assert_eq(server.open(), 0);
}

namespace {

const Endless ManyRows[] = {Endless::Upstream, Endless::OtherNode};

} // namespace

// The clients for the upstream and for other nodes share one memory limit.
ACACIA_TABLE_TEST(EntryService, SharesAnswerMemoryLimitBetweenClients,
                  ManyRows) {
  constexpr std::size_t MaxHeldBytes = 32U << 20U;
  constexpr std::size_t MaxAnswerBytes = 16U << 20U;
  constexpr std::size_t SocketBuffers = 8U << 20U;
  constexpr std::uint32_t Calls = 6;
  Fixture fixture([](const auto &) {});
  const tests::EndlessServer server(fixture.Loop, EndlessBody, "x");
  fixture.Slots = Calls;
  fixture.IsOpen = row == Endless::Upstream;
  if (fixture.IsOpen)
    fixture.useUpstream(server.port());
  else
    fixture.PeerPort = server.port();
  fixture.setView(makeRouteTable(seconds(4)));
  const auto client = net::HttpClient::create(
      fixture.Loop, {"127.0.0.1", fixture.Server->port()},
      {seconds(1), seconds(1), seconds(1), 1U << 20U, Calls, {}, {}});
  std::uint32_t refused = 0;
  for (std::uint32_t n = 0; n < Calls; ++n) {
    HttpRequest request{net::http::verb::post, "/open/x", 11};
    request.set(net::http::field::host, "h");
    request.set("id", std::to_string(n));
    client->send(std::move(request), [&](const net::CallResult &result) {
      const std::string &body = result.Response.body();
      refused += body.find("answer_too_large") != std::string::npos ? 1U : 0U;
      if (refused == Calls)
        fixture.Loop.stop();
    });
  }
  fixture.Loop.run_for(seconds(6));
  client->dropIdle();
  cr_assert_eq(refused, Calls, "%u", refused);
  cr_assert_eq(server.accepted(), static_cast<int>(Calls));
  // The largest answer is dropped first, so that none of the last n answers
  // holds more than its share of the limit.
  std::size_t most = Calls * SocketBuffers;
  for (std::size_t n = 1; n <= Calls; ++n)
    most += std::min(MaxAnswerBytes, MaxHeldBytes / n);
  cr_assert_leq(server.sent(), most, "%zu", server.sent());
}

namespace {

struct AddressRow {
  const char *Name;
  /// The upstream beside the node at the address of the key's holder.
  OtherUpstream Own;
  unsigned Status;
  int Runs;
};

const AddressRow AddressRows[] = {
    {"the holder", {}, 200, 1},
    {"the holder, whose upstream has restarted",
     {"service", "v", true},
     200,
     1},
    {"another keyed service", {"other", "v", true}, 503, 0},
    {"another keyed service, same id", {"other", UpstreamId, true}, 503, 0},
    {"a service without keys", {"other", "v", false}, 503, 0},
    {"a service without keys, same id", {"other", UpstreamId, false}, 503, 0},
};

} // namespace

// The address of a lost node may be assigned to a node of another service. That
// node must not run the orders that are still sent to the address.
ACACIA_TABLE_TEST(EntryService, RunsOrdersAtTheirServiceOnly, AddressRows) {
  int runs = 0;
  Fixture fixture([](const auto &) {});
  const auto upstream = *net::HttpServer::create(
      fixture.Loop, {"127.0.0.1", 0}, Fixture::Limits,
      [&](const std::shared_ptr<net::Exchange> &exchange) {
        ++runs;
        answerWith(*exchange, 200, "signed");
      });
  const OtherNode other(fixture, upstream->port(), row.Own);
  fixture.PeerPort = other.port();
  fixture.setView(makeRouteTable(seconds(2), true));
  const HttpResponse answer = fixture.ask("/open/x", "");
  cr_assert_eq(answer.result_int(), row.Status, "%s: %u", row.Name,
               answer.result_int());
  cr_assert_eq(runs, row.Runs, "%s: %d", row.Name, runs);
}

namespace {

/// Returns an upload to "/open/x", which runs at most once.
std::string uploadOf(std::size_t bytes, bool isChunked) {
  std::string out = "POST /open/x HTTP/1.1\r\nHost: h\r\nid: 1\r\n";
  if (!isChunked)
    return out + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n" +
           std::string(bytes, 'x');
  constexpr std::size_t ChunkBytes = 64U << 10U;
  out += "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t n = 0; n < bytes; n += ChunkBytes)
    out += tests::chunkOf(std::string(std::min(ChunkBytes, bytes - n), 'x'));
  return out + "0\r\n\r\n";
}

/// Returns the answer that the caller gets, or one with status 500.
HttpResponse sendBytes(Fixture &fixture, const std::string &request) {
  tcp::socket socket(fixture.Loop);
  socket.connect(
      {boost::asio::ip::address_v4::loopback(), fixture.Server->port()});
  boost::asio::async_write(socket, boost::asio::buffer(request),
                           [](error_code, std::size_t) {});
  boost::beast::flat_buffer buf;
  HttpResponse out(net::http::status::internal_server_error, 11);
  net::http::async_read(socket, buf, out, [&](error_code ec, std::size_t) {
    if (ec)
      out.result(net::http::status::internal_server_error);
    fixture.Loop.stop();
  });
  fixture.Loop.restart();
  fixture.Loop.run_for(seconds(4));
  return out;
}

} // namespace

// What an upstream answers, beside this node or beside another one, reaches the
// caller whole or as a failure that doesn't claim that nothing has run.
ACACIA_TABLE_TEST(EntryService, GivesWholeAnswersOnly, tests::EndingAnswers) {
  const std::string body = "the whole body";
  for (const bool isForwarded : {false, true})
    for (const bool isChunked : {false, true}) {
      int runs = 0;
      Fixture fixture(
          [&](const HttpRequest &, std::size_t) {
            ++runs;
            return ByteAnswer{
                {{{}, bytesOf(row, "id: 1\r\nsigned: 1\r\n", body)}}, row.End};
          },
          row.When);
      std::unique_ptr<OtherNode> other;
      if (isForwarded) {
        other =
            std::make_unique<OtherNode>(fixture, fixture.ByteUpstream->port());
        fixture.PeerPort = other->port();
        fixture.IsOpen = false;
      }
      fixture.setView(makeRouteTable(milliseconds(2500)));
      const HttpResponse answer =
          sendBytes(fixture, uploadOf(row.UploadBytes, isChunked));
      const unsigned status = answer.result_int();
      cr_assert_eq(runs, 1, "%s: %d", row.Name, runs);
      if (row.IsWhole) {
        cr_assert(std::string(row.StatusLine).find(std::to_string(status)) !=
                      std::string::npos,
                  "%s: %u", row.Name, status);
        cr_assert_eq(answer.body(), body, "%s: %s", row.Name,
                     answer.body().c_str());
        continue;
      }
      cr_assert_eq(status, 502U, "%s, forwarded %d, chunked %d: %u", row.Name,
                   isForwarded, isChunked, status);
      cr_assert(answer.body().find(Incomplete) != std::string::npos, "%s: %s",
                row.Name, answer.body().c_str());
      cr_assert_eq(net::fieldOf(answer, "signed"), "", "%s", row.Name);
    }
}

namespace {

struct RolloutRow {
  const char *Name;
  /// Of version v2.
  std::optional<rollouts::VersionShare> Rollout;
  /// Whether the former version's upstream accepts connections.
  bool IsFormerUp;
  /// Requests of 20 that version v2 runs.
  int LeastNext;
  int MostNext;
};

constexpr auto Never = core::TimePoint::max();
const RolloutRow RolloutRows[] = {
    {"no roll-out, the own data centre first", std::nullopt, true, 0, 0},
    {"no roll-out, the other version takes over", std::nullopt, false, 20, 20},
    {"a share", {{"v2", 0.2, Never, false, {"peer"}}}, true, 3, 5},
    {"a share that has run out",
     {{"v2", 0.2, core::TimePoint(), false, {"peer"}}},
     true,
     0,
     0},
    {"an instance that has no turn",
     {{"v2", 0.2, Never, false, {}}},
     true,
     0,
     0},
    {"no further attempt at a version that isn't taken",
     {{"v2", 0, Never, false, {"peer"}}},
     false,
     0,
     0},
    {"taken", {{"v2", 1, Never, true, {"peer"}}}, true, 20, 20},
    {"a further attempt at a version that is taken",
     {{"v2", 0, Never, true, {"peer"}}},
     false,
     20,
     20},
};

} // namespace

ACACIA_TABLE_TEST(EntryService, DividesRequestsBetweenVersions, RolloutRows) {
  constexpr int Requests = 20;
  Fixture fixture([](const std::shared_ptr<net::Exchange> &exchange) {
    HttpResponse out(net::http::status::ok, 11);
    out.set("id", exchange->request()["id"]);
    out.set("signed", "1");
    exchange->respond(std::move(out));
  });
  if (!row.IsFormerUp)
    fixture.useUpstream(1); // Nothing listens there.
  fixture.startPeer();
  fixture.Rollout = row.Rollout;
  fixture.setView(makeRouteTable(seconds(2)));
  for (int n = 0; n < Requests; ++n)
    fixture.ask("/open/x", "", fmt::format("r-{}", n));
  cr_assert(fixture.PeerRuns >= row.LeastNext &&
                fixture.PeerRuns <= row.MostNext,
            "%s: %d", row.Name, fixture.PeerRuns);
  std::uint64_t next = 0;
  for (const rollouts::CountReport &it : fixture.Entry->versions().reports())
    for (const rollouts::RouteCounts &route : it.Routes)
      next += route.Next.answers();
  // A further attempt isn't counted.
  const bool isCounted = row.Rollout && row.IsFormerUp;
  cr_assert_eq(next, isCounted ? fixture.PeerRuns : 0, "%s: %lu", row.Name,
               next);
}
