#include "Sidecar/LogRelay.h"

#include <string>

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::sidecar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Rows run in parallel; each uses its own port, counted from here.
constexpr std::uint16_t FirstPort = 23480;

struct ReadRow {
  const char *Name;
  /// Size of the record in the relay's buffer in bytes; 0 if it has not read
  /// the log.
  std::size_t Bytes;
  /// Age of the relay's data.
  core::Duration Age;
  /// Whether the log is read directly.
  bool IsDirect;
};

const ReadRow ReadRows[] = {
    {"small record from the relay", 100, milliseconds(300), false},
    {"record near the size limit from the relay", 32'000, milliseconds(300),
     false},
    {"record over the size limit from the log", 400'000, milliseconds(300),
     true},
    {"relay without data", 0, milliseconds(300), true},
    {"relay with outdated data", 100, seconds(3), true},
};

} // namespace

ACACIA_TABLE_TEST(LogRelay, Reads, ReadRows) {
  boost::asio::io_context loop;
  const auto port = static_cast<std::uint16_t>(FirstPort + (&row - ReadRows));
  const auto noRelay = [](RelayedLog) { return std::nullopt; };
  const auto relay = LogRelay::create(loop, {"127.0.0.2", port}, noRelay);
  const auto reader =
      LogRelay::create(loop, {"127.0.0.1", port}, [](RelayedLog) {
        return std::optional<std::string>("127.0.0.2");
      });
  cr_assert(relay.has_value() && reader.has_value());
  if (row.Bytes > 0) {
    const auto requestedAt = core::BootClock::now() - row.Age;
    feed::RelayBuffer &buffer = (*relay)->buffer(RelayedLog::Operators);
    const feed::KeyedRecord record{"key", std::string(row.Bytes, 'x')};
    buffer.reset(0, requestedAt);
    buffer.add({&record, 1}, 1, requestedAt);
  }
  bool isDirect = false;
  feed::KeyedLog log;
  log.ReadFrom = [&](core::Offset, core::Duration,
                     const feed::TailHandler &handler) {
    isDirect = true;
    handler(feed::Tail{});
  };
  bool isDone = false;
  (*reader)
      ->wrap(RelayedLog::Operators, log)
      .ReadFrom(0, core::Duration{}, [&](const core::Result<feed::Tail> &tail) {
        cr_assert(tail.has_value(), "%s", row.Name);
        isDone = true;
        loop.stop();
      });
  loop.run_for(seconds(2));
  cr_assert(isDone, "%s", row.Name);
  cr_assert_eq(isDirect, row.IsDirect, "%s", row.Name);
}
