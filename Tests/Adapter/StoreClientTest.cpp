#include "platform/StoreClient.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

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

namespace {

/// One response of the store and the result that the reader gets.
struct EraStep {
  /// Header line of the era; may be empty.
  const char *Header;
  /// Empty if the response must be dropped.
  std::optional<core::LogEra> Era;
};

struct EraRow {
  const char *Name;
  std::vector<EraStep> Steps;
};

const EraRow EraRows[] = {
    {"no header", {{"", 0}, {"", 0}}},
    {"constant", {{"Store-Era: 3\r\n", 3}, {"Store-Era: 3\r\n", 3}}},
    {"rises", {{"", 0}, {"store-era: 1\r\n", 1}, {"Store-Era: 4\r\n", 4}}},
    {"an earlier one is dropped",
     {{"Store-Era: 2\r\n", 2},
      {"Store-Era: 1\r\n", std::nullopt},
      {"", std::nullopt},
      {"Store-Era: 2\r\n", 2}}},
    {"not a number", {{"Store-Era: x\r\n", std::nullopt}, {"", 0}}},
};

/// Operations whose responses tell the era.
using EraCall = std::function<void(
    const feed::KeyedLog &,
    const std::function<void(std::optional<core::LogEra>)> &)>;

struct EraCallRow {
  const char *Name;
  EraCall Call;
  std::string Body;
};

template <typename T>
std::optional<core::LogEra> eraOf(const core::Result<T> &result) {
  return result ? std::optional(result->Era) : std::nullopt;
}

const EraCallRow EraCallRows[] = {
    {"newest",
     [](const auto &log, const auto &done) {
       log.ReadNewest("", [done](const auto &it) { done(eraOf(it)); });
     },
     R"({"items":[],"hasMore":false,"end":1})"},
    {"tail",
     [](const auto &log, const auto &done) {
       log.ReadFrom(0, {}, [done](const auto &it) { done(eraOf(it)); });
     },
     std::string(16, '\0')},
    {"append",
     [](const auto &log, const auto &done) {
       const feed::KeyedRecord records[] = {{"key", "value"}};
       log.Append(records, std::nullopt,
                  [done](const auto &it) { done(eraOf(it)); });
     },
     R"({"offset":0,"end":1})"},
};

} // namespace

// Offsets and records of an earlier era don't hold any more, however late a
// response that tells of them arrives.
ACACIA_TABLE_TEST(StoreClient, DropsResponsesOfEarlierEras, EraCallRows) {
  for (const EraRow &eras : EraRows) {
    boost::asio::io_context loop;
    std::size_t sent = 0;
    tests::ByteServer server(
        loop, [&](const net::HttpRequest &, std::size_t) -> tests::ByteAnswer {
          tests::ByteAnswer out;
          out.Pieces.push_back(
              {milliseconds(0),
               std::string("HTTP/1.1 200 OK\r\n") + eras.Steps[sent++].Header +
                   "Content-Length: " + std::to_string(row.Body.size()) +
                   "\r\n\r\n" + row.Body});
          return out;
        });
    const auto client = StoreClient::create(loop, {"127.0.0.1", server.port()});
    for (std::size_t n = 0; n < eras.Steps.size(); ++n) {
      bool isDone = false;
      row.Call(client->fleetLog(), [&](std::optional<core::LogEra> era) {
        cr_assert(era == eras.Steps[n].Era, "%s: %s, step %zu", row.Name,
                  eras.Name, n);
        isDone = true;
        loop.stop();
      });
      loop.restart();
      loop.run_for(seconds(3));
      cr_assert(isDone, "%s: %s, step %zu", row.Name, eras.Name, n);
    }
  }
}
