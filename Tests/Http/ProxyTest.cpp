#include <numeric>

#include <sys/resource.h>

#include "Http/CallerServer.h"
#include "Http/RawSocket.h"
#include "Http/UpstreamClient.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::http;
using tests::RawSocket;

namespace {

constexpr std::size_t Large = std::size_t{64} << 20U;
constexpr std::size_t PieceBytes = 65536;

std::unique_ptr<CallerServer> start(CallerServer::Handler handler) {
  CallerServerOptions options;
  options.Threads = 4;
  auto out = CallerServer::create(options, std::move(handler));
  cr_assert(out.has_value());
  return std::move(*out);
}

/// Reads the body away and answers with one as long.
void answerInKind(const std::shared_ptr<Exchange> &it) {
  std::vector<std::byte> buf(PieceBytes);
  std::size_t total = 0;
  while (const std::size_t n = it->readBody(buf).value_or(0))
    total += n;
  const bool chunked = it->bodyFraming() == Framing::Chunked;
  (void)it->begin(200, {},
                  chunked ? std::nullopt : std::optional<std::uint64_t>(total));
  for (; total > 0; total -= std::min(total, buf.size()))
    (void)it->write(std::span(buf).first(std::min(total, buf.size())));
  (void)it->end();
}

/// Passes an exchange on to \p client.
void forward(UpstreamClient &client, const std::shared_ptr<Exchange> &it) {
  UpstreamOrder order;
  order.Method = it->method();
  order.Target = it->target();
  order.Headers.assign(it->headers().begin(), it->headers().end());
  order.BodyLength = it->contentLength();
  order.Deadline = core::BootClock::now() + std::chrono::seconds(30);
  if (it->bodyFraming() != Framing::None)
    order.Body = [&](std::span<std::byte> out) { return it->readBody(out); };
  const UpstreamSinks sinks{
      [&](const ResponseHead &head) {
        std::optional<std::uint64_t> length;
        if (head.Body == Framing::Sized)
          length = head.BodyLength;
        return it->begin(head.Status, head.Headers, length);
      },
      [&](std::span<const std::byte> bytes) { return it->write(bytes); }};
  CancelToken cancel;
  const auto done = client.execute(order, sinks, cancel);
  if (done)
    (void)it->end();
  else
    it->refuse(done.error(), "r-1");
}

struct LargeRow {
  bool Chunked;
};

const LargeRow LargeRows[] = {{false}, {true}};

} // namespace

ACACIA_TABLE_TEST(ProxyTest, largeBodiesAreNeverHeldWhole, LargeRows) {
  constexpr long GrowthLimitKiB = 24576;
  const auto back = start(answerInKind);
  UpstreamClientOptions options;
  options.Port = back->port();
  UpstreamClient client(options);
  const auto front =
      start([&](const std::shared_ptr<Exchange> &it) { forward(client, it); });
  rusage before{};
  getrusage(RUSAGE_SELF, &before);
  UpstreamClientOptions toFront;
  toFront.Port = front->port();
  UpstreamClient caller(toFront);
  UpstreamOrder order;
  order.Method = "PUT";
  order.Target = "/recording";
  order.Deadline = core::BootClock::now() + std::chrono::seconds(60);
  if (!row.Chunked)
    order.BodyLength = Large;
  std::size_t sent = 0;
  order.Body = [&](std::span<std::byte> out) -> core::Result<std::size_t> {
    const std::size_t n = std::min(out.size(), Large - sent);
    sent += n;
    return n;
  };
  std::size_t received = 0;
  UpstreamSinks sinks;
  sinks.OnBody = [&](std::span<const std::byte> it) -> core::Result<void> {
    received += it.size();
    return {};
  };
  CancelToken cancel;
  const auto done = caller.execute(order, sinks, cancel);
  cr_assert(done.has_value(), "%s", done ? "" : done.error().Detail.c_str());
  rusage after{};
  getrusage(RUSAGE_SELF, &after);
  cr_assert_eq(received, Large);
  cr_assert_lt(after.ru_maxrss - before.ru_maxrss, GrowthLimitKiB);
}

Test(ProxyTest, answerCutByTheUpstreamIsCutForTheCaller) {
  const auto back = start([](const std::shared_ptr<Exchange> &it) {
    const std::vector<std::byte> part(10);
    (void)it->begin(200, {}, std::nullopt);
    (void)it->write(part);
    it->abort();
  });
  UpstreamClientOptions options;
  options.Port = back->port();
  UpstreamClient client(options);
  const auto front =
      start([&](const std::shared_ptr<Exchange> &it) { forward(client, it); });
  const RawSocket caller(RawSocket::connect(front->port()));
  caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  cr_assert(caller.receiveAll().find("0\r\n\r\n") == std::string::npos);
}
