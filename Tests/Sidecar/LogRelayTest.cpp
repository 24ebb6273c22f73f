#include "Sidecar/LogRelay.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/post.hpp>

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::sidecar;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Rows run in parallel; each uses its own port, counted from here.
constexpr std::uint16_t FirstPort = 23480;

/// Accepted age of a relay's data.
constexpr core::Duration MaxAge = seconds(1);

/// Chooses \p hosts one after the other, the next one when one has failed, and
/// then the log itself. Sets \p cause when the log itself is read.
RelayHooks makeHooks(const std::vector<std::string> &hosts,
                     std::optional<StoreCallCause> &cause) {
  RelayHooks out;
  const auto left = std::make_shared<std::vector<std::string>>(hosts);
  out.Choose = [left](RelayedLog) -> RelayChoice {
    if (left->empty())
      return {{}, StoreCallCause::NoRelay};
    return {left->front(), StoreCallCause::Poll, MaxAge};
  };
  out.OnFailed = [left](std::string_view host, const core::Error &) {
    cr_assert_eq(host, left->front());
    left->erase(left->begin());
  };
  out.OnStoreRead = [&cause](StoreCallCause it) { cause = it; };
  return out;
}

struct ReadRow {
  const char *Name;
  /// Size of the record in the relay's buffer in bytes; 0 if it has not read
  /// the log.
  std::size_t Bytes;
  /// Age of the relay's data.
  core::Duration Age;
  /// Relays to be asked; 127.0.0.2 is the one with the record, and nothing
  /// listens at the others.
  std::vector<std::string> Hosts;
  /// Why the log is read directly; nullopt if it isn't.
  std::optional<StoreCallCause> Cause;
  /// Era that the reader knows of; the relay is in era 0.
  core::LogEra Era = 0;
};

const ReadRow ReadRows[] = {
    {"small record from the relay",
     100,
     milliseconds(300),
     {"127.0.0.2"},
     std::nullopt},
    {"record near the size limit from the relay",
     32'000,
     milliseconds(300),
     {"127.0.0.2"},
     std::nullopt},
    {"record over the size limit from the log",
     400'000,
     milliseconds(300),
     {"127.0.0.2", "127.0.0.2"},
     StoreCallCause::RelayRefused},
    {"relay without data",
     0,
     milliseconds(300),
     {"127.0.0.2", "127.0.0.2"},
     StoreCallCause::RelayRefused},
    {"one relay with outdated data",
     100,
     milliseconds(1050),
     {"127.0.0.2"},
     StoreCallCause::NoRelay},
    {"relays with outdated data",
     100,
     seconds(3),
     {"127.0.0.2", "127.0.0.2"},
     StoreCallCause::RelayOutdated},
    {"one lost relay",
     100,
     milliseconds(300),
     {"127.0.0.3", "127.0.0.2"},
     std::nullopt},
    {"all relays lost",
     100,
     milliseconds(300),
     {"127.0.0.3", "127.0.0.4", "127.0.0.2"},
     StoreCallCause::RelaySilent},
    {"relay of an earlier era",
     100,
     milliseconds(300),
     {"127.0.0.2", "127.0.0.2"},
     StoreCallCause::RelayOutdated,
     1},
};

struct RenewalRow {
  const char *Name;
  /// Whether the reader accepts the record.
  bool IsAccepted;
  /// What the reader tells once the batch has ended.
  std::optional<core::Duration> Round;
  const char *Host;
  std::optional<core::Duration> Expected;
};

const RenewalRow RenewalRows[] = {
    {"appended", true, milliseconds(1750), "127.0.0.2", milliseconds(1750)},
    {"not appended", true, std::nullopt, "127.0.0.2", std::nullopt},
    {"not accepted", false, std::nullopt, "127.0.0.2", std::nullopt},
    {"no reader listens", true, milliseconds(1750), "127.0.0.3", std::nullopt},
};

} // namespace

ACACIA_TABLE_TEST(LogRelay, Reads, ReadRows) {
  boost::asio::io_context loop;
  const auto port = static_cast<std::uint16_t>(FirstPort + (&row - ReadRows));
  const auto relay = LogRelay::create(loop, {"127.0.0.2", port}, {});
  std::optional<StoreCallCause> cause;
  const auto reader =
      LogRelay::create(loop, {"127.0.0.1", port}, makeHooks(row.Hosts, cause));
  cr_assert(relay.has_value() && reader.has_value());
  if (row.Bytes > 0) {
    const auto requestedAt = core::BootClock::now() - row.Age;
    feed::RelayBuffer &buffer = (*relay)->buffer(RelayedLog::Operators);
    const feed::KeyedRecord record{"key", std::string(row.Bytes, 'x')};
    buffer.reset(0, requestedAt);
    buffer.add({&record, 1}, 1, requestedAt);
  }
  feed::KeyedLog log;
  (*reader)->buffer(RelayedLog::Operators).enterEra(row.Era);
  bool isDirect = false;
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
        cr_assert_eq(tail->IsRelayed, !row.Cause, "%s", row.Name);
        isDone = true;
        loop.stop();
      });
  loop.run_for(seconds(2));
  cr_assert(isDone, "%s", row.Name);
  cr_assert_eq(isDirect, row.Cause.has_value(), "%s", row.Name);
  cr_assert(cause == row.Cause, "%s: %s", row.Name,
            cause ? toString(*cause).data() : "not read");
}

namespace {

struct FailureRow {
  const char *Name;
  /// How the read of the log itself ends; nullopt if it succeeds.
  std::optional<core::ErrorKind> Error;
  bool IsReported;
};

const FailureRow FailureRows[] = {
    {"read", std::nullopt, false},
    {"log unavailable", core::ErrorKind::LogUnavailable, true},
    {"records trimmed, read as a snapshot next", core::ErrorKind::LogTrimmed,
     false},
};

} // namespace

ACACIA_TABLE_TEST(LogRelay, ReportsFailedReads, FailureRows) {
  boost::asio::io_context loop;
  const auto port =
      static_cast<std::uint16_t>(FirstPort + std::size(ReadRows) +
                                 std::size(RenewalRows) + (&row - FailureRows));
  std::optional<StoreCallCause> cause;
  std::optional<StoreCallCause> failed;
  RelayHooks hooks = makeHooks({}, cause);
  hooks.OnStoreReadFailed = [&](StoreCallCause it) { failed = it; };
  const auto relay = LogRelay::create(loop, {"127.0.0.1", port}, hooks);
  cr_assert(relay.has_value());
  feed::KeyedLog log;
  log.ReadFrom = [&](core::Offset, core::Duration,
                     const feed::TailHandler &handler) {
    if (row.Error)
      handler(core::fail(*row.Error));
    else
      handler(feed::Tail{});
  };
  bool isDone = false;
  (*relay)
      ->wrap(RelayedLog::Fleet, log)
      .ReadFrom(0, core::Duration{}, [&](const core::Result<feed::Tail> &tail) {
        cr_assert_eq(tail.has_value(), !row.Error, "%s", row.Name);
        isDone = true;
      });
  cr_assert(isDone, "%s", row.Name);
  cr_assert_eq(failed.has_value(), row.IsReported, "%s", row.Name);
  cr_assert(!failed || failed == cause, "%s", row.Name);
}

ACACIA_TABLE_TEST(LogRelay, PassesRenewalsOn, RenewalRows) {
  boost::asio::io_context loop;
  const auto port = static_cast<std::uint16_t>(FirstPort + std::size(ReadRows) +
                                               (&row - RenewalRows));
  const feed::KeyedRecord record{"node/n", "record"};
  RelayHooks hooks;
  hooks.OnRenewal = [&](const feed::KeyedRecord &it, const auto &onDone) {
    cr_assert_eq(it.Key, record.Key);
    cr_assert(it.Value == record.Value);
    if (row.IsAccepted)
      boost::asio::post(loop, [&, onDone] { onDone(row.Round); });
    return row.IsAccepted;
  };
  const auto relay = LogRelay::create(loop, {"127.0.0.2", port}, hooks);
  const auto node = LogRelay::create(loop, {"127.0.0.1", port}, {});
  cr_assert(relay.has_value() && node.has_value());
  bool isDone = false;
  (*node)->sendRenewal(row.Host, record, [&](auto round) {
    cr_assert(round == row.Expected, "%s", row.Name);
    isDone = true;
    loop.stop();
  });
  loop.run_for(seconds(2));
  cr_assert(isDone, "%s", row.Name);
}
