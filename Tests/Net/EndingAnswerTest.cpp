#include <string>
#include <utility>

#include "Net/HttpClient.h"
#include "Support/ByteServer.h"
#include "Support/EndingAnswers.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::net;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::ByteAnswer;
using tests::EndingAnswer;
using tests::EndingAnswers;

namespace {

constexpr std::string_view Body = "the whole body";

/// Runs of each row, since the ends of a write and a read cross.
constexpr int Runs = 5;

/// Far below the time after which a call without an answer would be given up.
constexpr core::Duration LongestCall = seconds(1);

CallResult ask(const EndingAnswer &row) {
  boost::asio::io_context loop;
  const tests::ByteServer server(
      loop,
      [&](const HttpRequest &, std::size_t) {
        return ByteAnswer{{{{}, bytesOf(row, "id: 1\r\n", Body)}}, row.End};
      },
      row.When);
  ClientOptions options{
      milliseconds(500), seconds(5), seconds(5), 1U << 20U, 4, {}, {}};
  options.RequestName = [](const HttpFields &fields) {
    return fieldOf(fields, "id");
  };
  options.AnswerName = options.RequestName;
  const auto client =
      HttpClient::create(loop, {"127.0.0.1", server.port()}, options);
  HttpRequest request{http::verb::post, "/", 11};
  request.set("id", "1");
  request.body().assign(row.UploadBytes, 'x');
  CallResult out;
  out.Detail = "nothing came";
  const auto call = client->send(std::move(request), [&](CallResult it) {
    out = std::move(it);
    loop.stop();
  });
  loop.run_for(LongestCall);
  client->dropIdle();
  return out;
}

} // namespace

ACACIA_TABLE_TEST(ClientConnection, TakesWholeAnswersOnly, EndingAnswers) {
  for (int n = 0; n < Runs; ++n) {
    const CallResult result = ask(row);
    cr_assert(result.End == (row.IsWhole ? CallEnd::Answered : CallEnd::Broken),
              "%s, run %d: %d, %s", row.Name, n, static_cast<int>(result.End),
              result.Detail.c_str());
    if (row.IsWhole)
      cr_assert_eq(result.Response.body(), Body, "%s: %s", row.Name,
                   result.Response.body().c_str());
  }
}
