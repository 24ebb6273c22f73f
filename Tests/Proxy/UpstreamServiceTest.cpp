#include "Proxy/UpstreamService.h"

#include <string>
#include <thread>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "Net/HttpServer.h"
#include "Proxy/FieldCodec.h"
#include "Proxy/PeerClients.h"
#include "Proxy/PeerService.h"
#include "Support/ByteServer.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::proxy;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Who holds the key of all orders: the node's upstream by its latest grant,
/// and a node by the log.
struct Ownership {
  bool IsGranted;
  const char *Holder;
};

struct FollowRow {
  const char *Name;
  /// Views that are set one after the other while one order runs and two wait.
  std::vector<Ownership> Views;
  /// Orders that the upstream gets after its first one has ended.
  int Sent;
  /// Orders that are refused before that, with the holder to go to.
  int Refused;
};

const FollowRow FollowRows[] = {
    {"the key stays", {{true, "here"}}, 2, 0},
    {"the key goes to another node", {{false, "there"}}, 0, 2},
    {"the key is released first, then goes to another node",
     {{false, "here"}, {false, "there"}},
     0,
     2},
    {"the key is released and granted again",
     {{false, "here"}, {true, "here"}},
     2,
     0},
    {"the key is released", {{false, "here"}}, 0, 0},
};

struct WaitRow {
  const char *Name;
  core::Duration OfferedAfter;
  core::Duration TimeLeft;
  /// Orders that have ended 90 ms after the first was sent.
  std::size_t Refused;
};

const WaitRow WaitRows[] = {
    {"at once", milliseconds(0), milliseconds(40), 1},
    {"later", milliseconds(10), milliseconds(40), 1},
    {"with time left", milliseconds(10), milliseconds(2000), 0},
};

struct DelayRow {
  const char *Name;
  /// Timers run 400 ms late.
  bool IsLate;
  core::Duration TimeLeft;
  std::size_t Refused;
};

const DelayRow DelayRows[] = {
    {"on time", false, milliseconds(300), 0},
    {"late", true, milliseconds(300), 1},
    {"late, with time left", true, seconds(3), 0},
};

/// A node with one slot whose upstream answers only when told.
class Fixture {
public:
  Fixture() {
    UpstreamServer = *net::HttpServer::create(
        Loop, {"127.0.0.1", 0}, {4096, 4096, seconds(1), seconds(5)},
        [this](const auto &exchange) { Open.push_back(exchange); });
    useUpstream(UpstreamServer->port());
  }

  void useUpstream(std::uint16_t port) {
    logging::LoggerOptions options;
    options.Sink = [this](std::string_view line) { Lines += line; };
    Upstream = std::make_unique<UpstreamService>(
        Loop, core::Endpoint{"127.0.0.1", port}, tests::makeHeaderCodec(),
        *logging::Logger::create(std::move(options)), Counters,
        UpstreamHooks{[] {}, [](const auto &) {}});
  }

  void setView(const Ownership &ownership) {
    auto view = std::make_shared<TrafficView>();
    const holdings::Holding row{
        {}, ownership.Holder, {tests::UpstreamId, 1}, 1, {}};
    view->Services["service"].Holdings = {row};
    view->Own.Node = "here";
    view->Own.Service = "service";
    view->Own.Process = {tests::UpstreamId, 1};
    view->Own.IsOpen = true;
    view->Own.Slots = 1;
    view->Own.GrantedUntil = core::BootClock::now() + seconds(5);
    if (ownership.IsGranted)
      view->Own.Granted = {row};
    Upstream->setView(std::move(view), &Service);
  }

  upstream::Ticket offer(const std::string &id,
                         core::Duration timeLeft = seconds(3),
                         const char *service = "service",
                         const char *expectedUpstream = tests::UpstreamId) {
    Order order;
    order.Request = {net::http::verb::get, "/", 11};
    order.Request.set("id", id);
    order.RequestId = id;
    order.Service = service;
    order.Deadline = core::BootClock::now() + timeLeft;
    order.Target = order.Deadline;
    order.ExpectedUpstream = expectedUpstream;
    order.Key = tests::RequestKey;
    return Upstream->offer(std::move(order), [this](OrderResult result) {
      Results.push_back(std::move(result));
    });
  }

  void run() {
    Loop.restart();
    Loop.run_for(milliseconds(200));
  }

  void answerAll() {
    for (const auto &it : std::exchange(Open, {})) {
      net::HttpResponse out(net::http::status::ok, 11);
      out.set("id", it->request()["id"]);
      out.set("signed", "1");
      it->respond(std::move(out));
    }
  }

  boost::asio::io_context Loop;
  /// To be read once Upstream has gone, and the writer of the log with it.
  std::string Lines;
  TrafficCounters Counters;
  routing::Service Service = [] {
    routing::Service out;
    out.Name = "service";
    out.IsKeyed = true;
    return out;
  }();
  std::unique_ptr<net::HttpServer> UpstreamServer;
  std::vector<std::shared_ptr<net::Exchange>> Open;
  std::unique_ptr<UpstreamService> Upstream;
  std::vector<OrderResult> Results;
};

struct RunningRow {
  const char *Name;
  const char *Id;
  bool IsAnswered;
  bool IsRunning;
};

const RunningRow RunningRows[] = {
    {"sent", "1", false, true},
    {"waiting", "2", false, false},
    {"unknown", "3", false, false},
    {"answered", "1", true, false},
};

} // namespace

// The calls that an upstream makes for an order are told by the order's id.
ACACIA_TABLE_TEST(UpstreamService, KnowsWhatRuns, RunningRows) {
  Fixture fixture;
  fixture.setView({true, "here"});
  fixture.offer("1");
  fixture.offer("2");
  fixture.run();
  if (row.IsAnswered) {
    fixture.answerAll();
    fixture.run();
  }
  cr_assert_eq(fixture.Upstream->rankOfRunning(row.Id).has_value(),
               row.IsRunning, "%s", row.Name);
}

// Keys move away from a node because many requests wait there. Those requests
// go where the keys go; at the former holder they would wait for a slot and
// then be rejected.
ACACIA_TABLE_TEST(UpstreamService, WaitingOrdersFollowTheirKeys, FollowRows) {
  Fixture fixture;
  fixture.setView({true, "here"});
  for (const char *id : {"1", "2", "3"})
    fixture.offer(id);
  fixture.run();
  cr_assert_eq(fixture.Open.size(), 1U, "%s", row.Name);
  for (const Ownership &it : row.Views) {
    fixture.setView(it);
    fixture.run();
  }
  cr_assert_eq(fixture.Results.size(), static_cast<std::size_t>(row.Refused),
               "%s: %zu", row.Name, fixture.Results.size());
  for (const OrderResult &it : fixture.Results) {
    cr_assert(it.Outcome.Outcome == requests::AttemptOutcome::RefusedNotRun);
    cr_assert(it.Outcome.Reason == core::ErrorKind::NoOwner);
    cr_assert_eq(it.Outcome.Holder, row.Views.back().Holder);
    cr_assert_not(it.Outcome.ReachedUpstream);
  }
  int sent = 0;
  for (int n = 0; n < 4; ++n) {
    fixture.answerAll();
    fixture.run();
    sent += static_cast<int>(fixture.Open.size());
  }
  cr_assert_eq(sent, row.Sent, "%s: %d", row.Name, sent);
}

namespace {

struct PauseRow {
  const char *Name;
  /// For how long the process stands still while it connects; the order has
  /// 200 ms left.
  milliseconds Pause;
  /// Whether the order's sender gives it up during the pause.
  bool IsAbandoned;
  bool IsSent;
};

const PauseRow PauseRows[] = {
    {"before the deadline", milliseconds(100), false, true},
    {"beyond the deadline", milliseconds(250), false, false},
    {"given up by its sender", milliseconds(100), true, false},
};

} // namespace

// After a pause of the process, a connection that was made meanwhile is due
// before the timers.
ACACIA_TABLE_TEST(UpstreamService, SendsNothingThatIsGivenUp, PauseRows) {
  Fixture fixture;
  fixture.setView({true, "here"});
  const auto ticket = fixture.offer("1", milliseconds(200));
  std::this_thread::sleep_for(row.Pause);
  if (row.IsAbandoned)
    fixture.Upstream->abandon(ticket);
  fixture.run();
  cr_assert_eq(fixture.Open.size(), row.IsSent ? 1U : 0U, "%s", row.Name);
  if (row.IsSent) {
    // What its deadline left of it when the connection was there.
    const int left =
        std::stoi(std::string(fixture.Open[0]->request()["time-left-ms"]));
    cr_assert_leq(left, 100, "%s: %d", row.Name, left);
    return;
  }
  cr_assert_eq(fixture.Results.size(), row.IsAbandoned ? 0U : 1U, "%s",
               row.Name);
  for (const OrderResult &it : fixture.Results) {
    cr_assert(it.Outcome.Outcome == requests::AttemptOutcome::NotSent);
    cr_assert(it.Outcome.Reason == core::ErrorKind::DeadlineTooShort);
  }
  // The connection serves the next order.
  fixture.offer("2");
  fixture.run();
  cr_assert_eq(fixture.Open.size(), 1U, "%s", row.Name);
  cr_assert_eq(fixture.Counters.UpstreamConnects, 1U, "%s", row.Name);
}

// While nothing waits, the service looks at its orders less often; an order
// that comes to wait then mustn't wait for that.
ACACIA_TABLE_TEST(UpstreamService, RefusesWhatWaitsInTime, WaitRows) {
  Fixture fixture;
  fixture.setView({true, "here"});
  fixture.offer("runs");
  boost::asio::steady_timer check(fixture.Loop, milliseconds(90));
  boost::asio::steady_timer offer(fixture.Loop, row.OfferedAfter);
  offer.async_wait([&](error_code) { fixture.offer("waits", row.TimeLeft); });
  std::size_t refused = 0;
  check.async_wait([&](error_code) { refused = fixture.Results.size(); });
  fixture.run();
  cr_assert_eq(refused, row.Refused, "%s: %zu", row.Name, refused);
}

// A node that gets its processor late refuses what it couldn't answer in time.
ACACIA_TABLE_TEST(UpstreamService, CountsTheDelayOfItsLoop, DelayRows) {
  Fixture fixture;
  fixture.setView({true, "here"});
  fixture.offer("runs", seconds(10));
  for (int n = 0; n < 5; ++n) {
    if (row.IsLate)
      std::this_thread::sleep_for(milliseconds(500));
    else
      fixture.run();
    fixture.Loop.restart();
    fixture.Loop.poll();
  }
  fixture.offer("waits", row.TimeLeft);
  cr_assert_eq(fixture.Results.size(), row.Refused, "%s: %zu", row.Name,
               fixture.Results.size());
}

namespace {

struct SenderRow {
  const char *Name;
  /// Service that the order names.
  const char *Service;
  const char *ExpectedUpstream;
  bool IsSent;
};

// The node's upstream belongs to "service", is the process "u" and holds the
// key.
const SenderRow SenderRows[] = {
    {"names the service and the process", "service", tests::UpstreamId, true},
    {"names the service and a former process", "service", "former", true},
    {"names another service", "other", tests::UpstreamId, false},
    {"earlier release", "", tests::UpstreamId, true},
    {"earlier release, another process", "", "former", false},
};

} // namespace

// Nodes of an earlier release don't name the service of an order. Without it,
// an order for another process may be one for another service.
ACACIA_TABLE_TEST(UpstreamService, ChecksWhatAnOrderIsFor, SenderRows) {
  Fixture fixture;
  fixture.setView({true, "here"});
  fixture.offer("1", seconds(3), row.Service, row.ExpectedUpstream);
  fixture.run();
  cr_assert_eq(fixture.Open.size(), row.IsSent ? 1U : 0U, "%s", row.Name);
  cr_assert_eq(fixture.Results.size(), row.IsSent ? 0U : 1U, "%s", row.Name);
  for (const OrderResult &it : fixture.Results) {
    cr_assert(it.Outcome.Outcome == requests::AttemptOutcome::RefusedNotRun);
    cr_assert(it.Outcome.Reason == core::ErrorKind::OwnerChanged);
  }
}

namespace {

struct FailureRow {
  const char *Name;
  /// What the upstream answers before it closes the connection.
  const char *Bytes;
  /// In the log.
  const char *Detail;
  const char *Status;
};

const FailureRow FailureRows[] = {
    {"nothing", "", "end of stream", R"("status":0})"},
    {"a part of a success",
     "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 9\r\n\r\npart",
     "partial message", R"("status":0})"},
    {"status 000", "HTTP/1.1 000 Unknown\r\nid: 1\r\nContent-Length: 0\r\n\r\n",
     "answer with status 000", R"("status":0})"},
    {"a success that isn't signed",
     "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 0\r\n\r\n", R"("detail":"")",
     R"("status":200})"},
    {"a refusal",
     "HTTP/1.1 503 Busy\r\nid: 1\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n",
     R"("detail":"")", R"("status":503})"},
};

} // namespace

ACACIA_TABLE_TEST(UpstreamService, LogsTheStatusOfWholeAnswers, FailureRows) {
  Fixture fixture;
  const tests::ByteServer server(fixture.Loop, [&](const net::HttpRequest &,
                                                   std::size_t) {
    return tests::ByteAnswer{{{{}, row.Bytes}}, tests::ConnectionEnd::Close};
  });
  fixture.useUpstream(server.port());
  fixture.setView({true, "here"});
  fixture.offer("1");
  fixture.run();
  cr_assert_eq(fixture.Results.size(), 1U, "%s", row.Name);
  fixture.Upstream.reset();
  cr_assert(fixture.Lines.find("order_failed") != std::string::npos, "%s",
            row.Name);
  cr_assert(fixture.Lines.find(row.Detail) != std::string::npos, "%s: %s",
            row.Name, fixture.Lines.c_str());
  cr_assert(fixture.Lines.find(row.Status) != std::string::npos, "%s: %s",
            row.Name, fixture.Lines.c_str());
}

namespace {

struct WithdrawalRow {
  const char *Name;
  /// Whether the sender withdraws the order while the receiver stands still.
  bool IsWithdrawn;
  std::size_t Sent;
};

const WithdrawalRow WithdrawalRows[] = {
    {"the sender waits", false, 1},
    {"the sender withdraws it", true, 0},
};

} // namespace

// After a pause, a node finds an order and its withdrawal at once. It used to
// send the order to its upstream before it saw the withdrawal.
ACACIA_TABLE_TEST(PeerService, SendsNothingThatWasWithdrawnDuringAPause,
                  WithdrawalRows) {
  Fixture fixture;
  fixture.setView({true, "here"});
  fixture.offer("first"); // Makes the connection to the upstream.
  fixture.run();
  fixture.answerAll();
  fixture.run();
  logging::LoggerOptions options;
  options.Sink = [](std::string_view) {};
  PeerService service(fixture.Loop, tests::makeHeaderCodec(), *fixture.Upstream,
                      *logging::Logger::create(std::move(options)));
  const auto server = *net::HttpServer::create(
      fixture.Loop, {"127.0.0.1", 0}, {4096, 4096, seconds(1), seconds(5)},
      [&](const auto &it) { service.handle(it); });
  fixture.run();

  boost::asio::io_context senderLoop;
  PeerClients sender(senderLoop, net::AnswerMemory::create(1U << 20U));
  const HeaderCodec codec = tests::makeHeaderCodec();
  Order order;
  order.Request = {net::http::verb::get, "/", 11};
  order.Request.set("id", "second");
  order.RequestId = "second";
  order.Service = "service";
  order.Deadline = core::BootClock::now() + seconds(3);
  order.Target = order.Deadline;
  order.ExpectedUpstream = tests::UpstreamId;
  order.Key = tests::RequestKey;
  const auto call = sender.send({"127.0.0.1", server->port()}, std::move(order),
                                codec, [](const OrderResult &) {});
  senderLoop.run_for(milliseconds(100));
  if (row.IsWithdrawn)
    call->cancel();
  senderLoop.run_for(milliseconds(50));
  fixture.run();
  cr_assert_eq(fixture.Open.size(), row.Sent, "%s: %zu", row.Name,
               fixture.Open.size());
}
