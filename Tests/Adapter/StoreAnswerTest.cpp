#include <optional>
#include <string>
#include <vector>

#include "Support/ByteServer.h"
#include "Support/EndingAnswers.h"
#include "Support/Table.h"
#include "platform/RecordFraming.h"
#include "platform/StoreClient.h"

using namespace acaciaroad;
using namespace acaciaroad::adapter;
using std::chrono::seconds;
using tests::ByteAnswer;
using tests::EndingAnswer;
using tests::EndingAnswers;

namespace {

/// Whether the answer of the store says that the call was carried out.
bool isOk(const EndingAnswer &row) {
  return std::string_view(row.StatusLine).find(" 200 ") !=
         std::string_view::npos;
}

/// How an append has ended.
struct AppendEnd {
  bool HasCome = false;
  std::optional<core::ErrorKind> Failure;
};

/// A store that answers each call with \p row and \p body.
class Store {
public:
  Store(const EndingAnswer &row, std::string body)
      : Server(
            Loop,
            [&row, body = std::move(body)](const net::HttpRequest &,
                                           std::size_t) {
              return ByteAnswer{{{{}, bytesOf(row, "", body)}}, row.End};
            },
            row.When),
        Log(StoreClient::create(Loop, {"127.0.0.1", Server.port()})
                ->operatorLog()) {}

  void run() { Loop.run_for(seconds(2)); }

  AppendEnd append(const std::string &value) {
    AppendEnd out;
    const std::vector<feed::KeyedRecord> records = {{"key", value}};
    Log.Append(records, {}, [&](const auto &it) {
      out.HasCome = true;
      if (!it)
        out.Failure = it.error().Kind;
      Loop.stop();
    });
    run();
    return out;
  }

  boost::asio::io_context Loop;
  tests::ByteServer Server;
  feed::KeyedLog Log;
};

} // namespace

// Half of the body reads like the whole one; what isn't whole doesn't tell
// whether the records were written.
ACACIA_TABLE_TEST(StoreClient, TakesWholeAnswersToAppends, EndingAnswers) {
  std::string body = R"({"offset": 12})";
  body.resize(2 * body.size(), ' ');
  Store store(row, body);
  const AppendEnd end = store.append(std::string(row.UploadBytes, 'v'));
  cr_assert(end.HasCome, "%s", row.Name);
  cr_assert_eq(!end.Failure, row.IsWhole && isOk(row), "%s", row.Name);
  if (end.Failure)
    cr_assert(*end.Failure == core::ErrorKind::LogOutcomeUnknown, "%s: %d",
              row.Name, static_cast<int>(*end.Failure));
}

namespace {

struct StatusRow {
  unsigned Status;
  core::ErrorKind Kind;
};

const StatusRow StatusRows[] = {
    {204, core::ErrorKind::LogOutcomeUnknown},
    {301, core::ErrorKind::LogOutcomeUnknown},
    {400, core::ErrorKind::LogUnavailable},
    {409, core::ErrorKind::LogUnavailable},
    {412, core::ErrorKind::Conflict},
    {429, core::ErrorKind::LogUnavailable},
    {500, core::ErrorKind::LogOutcomeUnknown},
    {502, core::ErrorKind::LogOutcomeUnknown},
    {503, core::ErrorKind::LogUnavailable},
    {504, core::ErrorKind::LogOutcomeUnknown},
    {507, core::ErrorKind::LogUnavailable},
};

} // namespace

ACACIA_TABLE_TEST(StoreClient, TellsWhetherAnAppendMayBeWritten, StatusRows) {
  const std::string line = "HTTP/1.1 " + std::to_string(row.Status) + " Failed";
  const EndingAnswer answer{"",
                            line.c_str(),
                            tests::Framing::Length,
                            tests::Extent::Whole,
                            tests::AnswerAfter::Body,
                            tests::ConnectionEnd::None,
                            0,
                            true};
  Store store(answer, "");
  const AppendEnd end = store.append("value");
  cr_assert(end.HasCome && end.Failure, "%u", row.Status);
  cr_assert(*end.Failure == row.Kind, "%u: %d", row.Status,
            static_cast<int>(*end.Failure));
}

// A read that isn't whole would leave records out.
ACACIA_TABLE_TEST(StoreClient, TakesWholeAnswersToReads, EndingAnswers) {
  std::string body(16, '\0');
  body[7] = 2;
  // Each half of the body ends with a whole record.
  const std::string record = frameRecord({"key", "value"});
  body += record;
  body += frameRecord({"key", std::string(body.size() + 8, 'v')});
  Store store(row, body);
  std::optional<core::Result<feed::Tail>> tail;
  store.Log.ReadFrom(0, {}, [&](core::Result<feed::Tail> it) {
    tail = std::move(it);
    store.Loop.stop();
  });
  store.run();
  cr_assert(tail.has_value(), "%s", row.Name);
  cr_assert_eq(tail->has_value(), row.IsWhole && isOk(row), "%s", row.Name);
  if (tail->has_value())
    cr_assert_eq((*tail)->Records.size(), 2U, "%s", row.Name);
}
