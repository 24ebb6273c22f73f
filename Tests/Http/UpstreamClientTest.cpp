#include "Http/UpstreamClient.h"

#include <functional>
#include <future>
#include <thread>

#include "Http/RawSocket.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::http;
using tests::RawSocket;
using Kind = core::ErrorKind;

namespace {

constexpr std::chrono::seconds Patience{20};

core::TimePoint soon() { return core::BootClock::now() + Patience; }

/// An upstream that does what a script says for each connection in turn.
class ScriptedUpstream {
public:
  using Script = std::function<void(const RawSocket &connection, int number)>;

  ScriptedUpstream(int connections, Script script)
      : Descriptor(RawSocket::listen()), Port(RawSocket::portOf(Descriptor)),
        Thread([this, connections, run = std::move(script)] {
          for (int n = 0; n < connections; ++n) {
            const RawSocket connection(::accept(Descriptor, nullptr, nullptr));
            run(connection, n);
          }
        }) {}
  ~ScriptedUpstream() {
    // Releases a thread for which no connection came.
    ::shutdown(Descriptor, SHUT_RDWR);
    Thread.join();
    ::close(Descriptor);
  }
  int port() const { return Port; }

private:
  const int Descriptor;
  const int Port;
  std::thread Thread;
};

UpstreamClientOptions optionsFor(int port) {
  UpstreamClientOptions out;
  out.Port = port;
  return out;
}

struct Collected {
  std::optional<ResponseHead> Head;
  std::string Body;

  UpstreamSinks sinks() {
    return {[this](const ResponseHead &head) -> core::Result<void> {
              Head = head;
              return {};
            },
            [this](std::span<const std::byte> bytes) -> core::Result<void> {
              Body.append(reinterpret_cast<const char *>(bytes.data()),
                          bytes.size());
              return {};
            }};
  }
};

UpstreamOrder orderOf(std::string method) {
  UpstreamOrder out;
  out.Method = std::move(method);
  out.Target = "/a%20b?c=%2f";
  out.Headers = {{"Host", "x"}, {"X-A", "1%0d"}};
  out.Deadline = soon();
  return out;
}

BodySource sourceOf(std::string text) {
  return [text = std::move(text), used = std::size_t{0}](
             std::span<std::byte> out) mutable -> core::Result<std::size_t> {
    const std::size_t n = std::min(out.size(), text.size() - used);
    std::memcpy(out.data(), text.data() + used, n);
    used += n;
    return n;
  };
}

struct AnswerRow {
  const char *Name;
  const char *Method;
  /// What the upstream sends before it closes.
  std::string Bytes;
  std::optional<Kind> Failure;
  int Status;
  const char *Body;
};

const std::string Sized = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
const std::string Chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

const AnswerRow AnswerRows[] = {
    {"sized", "GET", Sized + "hello", {}, 200, "hello"},
    {"sized and cut", "GET", Sized + "hel", Kind::AnswerIncomplete, 200, "hel"},
    {"chunked", "GET", Chunked + "5\r\nhello\r\n0\r\n\r\n", {}, 200, "hello"},
    {"chunked and cut", "GET", Chunked + "5\r\nhello\r\n",
     Kind::AnswerIncomplete, 200, "hello"},
    {"chunk without its end", "GET", Chunked + "5\r\nhelloXX\r\n0\r\n\r\n",
     Kind::AnswerIncomplete, 200, "hello"},
    {"bad size of a chunk", "GET", Chunked + "5\r\nhello\r\nzz\r\n",
     Kind::AnswerIncomplete, 200, "hello"},
    {"until close", "GET", "HTTP/1.1 200 OK\r\n\r\nhello", {}, 200, "hello"},
    {"HEAD with a length", "HEAD", Sized, {}, 200, ""},
    {"304 with a length",
     "GET",
     "HTTP/1.1 304 -\r\nContent-Length: 5\r\n\r\n",
     {},
     304,
     ""},
    {"204", "DELETE", "HTTP/1.1 204 No Content\r\n\r\n", {}, 204, ""},
    {"interim answers",
     "GET",
     "HTTP/1.1 103 Early\r\nLink: a\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" +
         Sized + "hello",
     {},
     200,
     "hello"},
    {"redirect is passed on",
     "GET",
     "HTTP/1.1 302 -\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n",
     {},
     302,
     ""},
    {"no answer", "GET", "", Kind::OutcomeUnknown, 0, ""},
    {"half a head", "GET", "HTTP/1.1 200 OK\r\nContent-", Kind::OutcomeUnknown,
     0, ""},
    {"contradicting lengths", "GET",
     "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
     Kind::OutcomeUnknown, 0, ""},
};

struct OrderRow {
  const char *Method;
  std::optional<std::string> Body;
  bool Sized;
  const char *Expected;
};

const OrderRow OrderRows[] = {
    {"GET", {}, false, "GET /a%20b?c=%2f HTTP/1.1\r\n"},
    {"LOCK", {}, false, "X-A: 1%0d\r\n"},
    {"PUT", "hello", true, "Content-Length: 5\r\n"},
    {"GET", "hello", true, "\r\n\r\nhello"},
    {"POST", "hello", false, "\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
};

} // namespace

ACACIA_TABLE_TEST(UpstreamClientTest, answersAreWholeOrFail, AnswerRows) {
  const ScriptedUpstream upstream(1, [&](const RawSocket &it, int) {
    std::string seen;
    it.receiveUntil(seen, "\r\n\r\n");
    it.send(row.Bytes);
  });
  UpstreamClient client(optionsFor(upstream.port()));
  Collected answer;
  CancelToken cancel;
  const auto result =
      client.execute(orderOf(row.Method), answer.sinks(), cancel);
  cr_assert_eq(result.has_value(), !row.Failure, "%s", row.Name);
  if (row.Failure)
    cr_assert(result.error().Kind == *row.Failure, "%s", row.Name);
  cr_assert_eq(answer.Head ? answer.Head->Status : 0, row.Status, "%s",
               row.Name);
  cr_assert(answer.Body == row.Body, "%s: %s", row.Name, answer.Body.c_str());
}

ACACIA_TABLE_TEST(UpstreamClientTest, ordersAreSentAsTheyAre, OrderRows) {
  std::string seen;
  const bool chunked = row.Body && !row.Sized;
  const ScriptedUpstream upstream(1, [&](const RawSocket &it, int) {
    const std::string body = row.Body.value_or("");
    it.receiveUntil(seen, chunked ? "\r\n0\r\n\r\n" : "\r\n\r\n" + body);
    it.send(Sized + "hello");
  });
  UpstreamClient client(optionsFor(upstream.port()));
  UpstreamOrder order = orderOf(row.Method);
  if (row.Body)
    order.Body = sourceOf(*row.Body);
  if (row.Sized)
    order.BodyLength = row.Body->size();
  CancelToken cancel;
  cr_assert(client.execute(order, {}, cancel).has_value());
  cr_assert(seen.find(row.Expected) != seen.npos, "%s", seen.c_str());
}

Test(UpstreamClientTest, refusedConnectionIsNotSent) {
  const int descriptor = RawSocket::listen();
  UpstreamClient client(optionsFor(RawSocket::portOf(descriptor)));
  ::close(descriptor);
  CancelToken cancel;
  const auto result = client.execute(orderOf("POST"), {}, cancel);
  cr_assert(result.error().Kind == Kind::NoUpstream);
  cr_assert_eq(client.counters().OpenConnections, 0);
}

Test(UpstreamClientTest, closedIdleConnectionIsNoticedBeforeSending) {
  std::promise<void> closed;
  const ScriptedUpstream upstream(3, [&](const RawSocket &it, int number) {
    // The second connection comes from the test; the first is closed by then.
    if (number == 1)
      return closed.set_value();
    std::string seen;
    it.receiveUntil(seen, "\r\n\r\n");
    it.send(Sized + "hello");
  });
  UpstreamClient client(optionsFor(upstream.port()));
  CancelToken cancel;
  cr_assert(client.execute(orderOf("GET"), {}, cancel).has_value());
  const RawSocket probe(RawSocket::connect(upstream.port()));
  closed.get_future().wait();
  cr_assert(client.execute(orderOf("POST"), {}, cancel).has_value());
  cr_assert_eq(client.counters().Stale, 1);
  cr_assert_eq(client.counters().Connects, 2);
}

Test(UpstreamClientTest, cancelEndsAnOrderThatWaits) {
  std::promise<void> arrived;
  std::promise<void> done;
  const ScriptedUpstream upstream(1, [&](const RawSocket &it, int) {
    std::string seen;
    it.receiveUntil(seen, "\r\n\r\n");
    arrived.set_value();
    // The upstream sees the end of the connection.
    cr_assert(it.receiveAll().empty());
    done.set_value();
  });
  UpstreamClient client(optionsFor(upstream.port()));
  CancelToken cancel;
  std::thread canceller([&] {
    arrived.get_future().wait();
    cancel.cancel();
  });
  const auto result = client.execute(orderOf("GET"), {}, cancel);
  canceller.join();
  cr_assert(result.error().Kind == Kind::OutcomeUnknown);
  cr_assert(done.get_future().wait_for(Patience) == std::future_status::ready);
  // An order that is cancelled already does not leave.
  const auto second = client.execute(orderOf("GET"), {}, cancel);
  cr_assert(second.error().Kind != Kind::OutcomeUnknown);
}

Test(UpstreamClientTest, deadlineEndsAnOrder) {
  const ScriptedUpstream upstream(
      1, [](const RawSocket &it, int) { it.receiveAll(); });
  UpstreamClient client(optionsFor(upstream.port()));
  UpstreamOrder order = orderOf("GET");
  order.Deadline = core::BootClock::now() + std::chrono::milliseconds(50);
  CancelToken cancel;
  const auto result = client.execute(order, {}, cancel);
  cr_assert(result.error().Kind == Kind::OutcomeUnknown);
}

Test(UpstreamClientTest, earlyAnswerEndsTheBody) {
  const ScriptedUpstream upstream(1, [](const RawSocket &it, int) {
    std::string seen;
    it.receiveUntil(seen, "\r\n\r\n");
    it.send("HTTP/1.1 413 -\r\nContent-Length: 5\r\n\r\nlarge");
    it.receiveAll();
  });
  UpstreamClient client(optionsFor(upstream.port()));
  UpstreamOrder order = orderOf("POST");
  order.Body = [](std::span<std::byte> out) -> core::Result<std::size_t> {
    return out.size();
  };
  Collected answer;
  CancelToken cancel;
  cr_assert(client.execute(order, answer.sinks(), cancel).has_value());
  cr_assert_eq(answer.Head->Status, 413);
  cr_assert(answer.Body == "large");
}

Test(UpstreamClientTest, connectionsAreCapped) {
  std::promise<void> arrived;
  std::promise<void> release;
  const ScriptedUpstream upstream(1, [&](const RawSocket &it, int) {
    std::string seen;
    it.receiveUntil(seen, "\r\n\r\n");
    arrived.set_value();
    release.get_future().wait();
    it.send(Sized + "hello");
  });
  UpstreamClientOptions options = optionsFor(upstream.port());
  options.ConnectionLimit = 1;
  UpstreamClient client(options);
  CancelToken cancel;
  std::thread first([&] {
    cr_assert(client.execute(orderOf("GET"), {}, cancel).has_value());
  });
  arrived.get_future().wait();
  UpstreamOrder order = orderOf("GET");
  order.Deadline = core::BootClock::now() + std::chrono::milliseconds(20);
  CancelToken other;
  const auto refused = client.execute(order, {}, other);
  release.set_value();
  first.join();
  cr_assert(refused.error().Kind == Kind::QueueFull);
}
