#include "platform/StoreClient.h"

#include <optional>
#include <string>

#include "Support/ByteServer.h"
#include "Support/Table.h"
#include "platform/RecordFraming.h"

using namespace acaciaroad;
using namespace acaciaroad::adapter;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// How the server sends a read response: in equal parts, possibly not all.
struct ReadRow {
  const char *Name;
  std::size_t Parts;
  std::size_t PartsSent;
  milliseconds Interval;
  bool IsRead;
  /// The read must end within this time.
  milliseconds MaxLength;
};

const ReadRow ReadRows[] = {
    {"whole response at once", 1, 1, milliseconds(0), true, milliseconds(500)},
    {"six parts in 3 s", 6, 6, milliseconds(500), true, milliseconds(4000)},
    {"half of the response", 6, 3, milliseconds(300), false,
     milliseconds(3200)},
    {"no response", 1, 0, milliseconds(0), false, milliseconds(2300)},
};

} // namespace

// Guards against a read being abandoned and restarted while its response still
// arrives slowly over a saturated link, which delays the configuration.
ACACIA_TABLE_TEST(StoreClient, KeepsReadingWhileDataArrives, ReadRows) {
  boost::asio::io_context loop;
  std::string body(16, '\0');
  body[7] = 1;
  body += frameRecord({"key", std::string(600, 'v')});
  const std::string bytes =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
  tests::ByteServer server(
      loop, [&](const net::HttpRequest &, std::size_t) -> tests::ByteAnswer {
        tests::ByteAnswer out;
        const std::size_t size = bytes.size() / row.Parts;
        for (std::size_t n = 0; n < row.PartsSent; ++n)
          out.Pieces.push_back(
              {row.Interval,
               bytes.substr(n * size,
                            n + 1 < row.Parts ? size : std::string::npos)});
        return out;
      });
  const auto client = StoreClient::create(loop, {"127.0.0.1", server.port()});
  std::optional<core::Result<feed::Tail>> tail;
  const auto start = core::BootClock::now();
  client->operatorLog().ReadFrom(0, {}, [&](core::Result<feed::Tail> it) {
    tail = std::move(it);
    loop.stop();
  });
  loop.run_for(seconds(8));
  const auto length = core::BootClock::now() - start;
  cr_assert(tail.has_value(), "%s", row.Name);
  cr_assert_eq(tail->has_value(), row.IsRead, "%s", row.Name);
  cr_assert(length < row.MaxLength, "%s: %lld ms", row.Name,
            static_cast<long long>(length / milliseconds(1)));
}
