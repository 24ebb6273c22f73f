/// \file
/// Encoded sizes of control messages and log entries, and how the costs of
/// configuration and totals grow. Processor time is of the calling thread.

#include <algorithm>
#include <cstdint>
#include <ctime>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <fmt/format.h>
#include <malloc.h>

#include "Administration/TotalsRecord.h"
#include "Codec/ControlCodec.h"
#include "Codec/LogCodec.h"
#include "Configuration/Catalogue.h"

using namespace acaciaroad;
using core::InstanceId;

namespace {

constexpr std::size_t Repeats = 200;
constexpr InstanceId Self{0xFEDCBA9876543210U};
constexpr InstanceId Other{0xF123456789ABCDEFU};
constexpr std::int64_t BootTime = 30LL * 86'400 * 1'000'000'000;
constexpr core::Offset LogOffset = 500'000'000;
constexpr core::Duration HalfSecond = std::chrono::milliseconds(500);

double processorMicroseconds() {
  timespec ts{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
  return static_cast<double>(ts.tv_sec) * 1e6 +
         static_cast<double>(ts.tv_nsec) * 1e-3;
}

double microsecondsOf(const std::function<void(std::size_t)> &act) {
  const double from = processorMicroseconds();
  for (std::size_t n = 0; n < Repeats; ++n)
    act(n);
  return (processorMicroseconds() - from) / Repeats;
}

std::size_t heapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// Sizes ---------------------------------------------------------------------

void printControl(std::string_view name, codec::ControlBody body) {
  fmt::print("{:28} {:8}\n", name,
             codec::encode(codec::PeerControl{Self, std::move(body)}).size());
}

void printEntry(std::string_view name, const codec::LogEntry &entry) {
  fmt::print("{:28} {:8}\n", name, codec::encode(entry).size());
}

requests::IdempotencyHandover handoverOf(std::size_t ids) {
  requests::IdempotencyHandover out{Self, {"leases", 70'000}, 12, {}};
  for (std::size_t n = 0; n < ids; ++n)
    out.Ids.push_back({{core::hashOf("high", n), core::hashOf("low", n)},
                       core::hashOf("print", n),
                       std::chrono::hours(1),
                       false,
                       {}});
  return out;
}

void printMessages() {
  const std::string account = "account-12345";
  const core::SliceId slice{"leases", 70'000};
  const requests::IdempotencyId id{0xFEDCBA9876543210U, 0xF123456789ABCDEFU};
  printControl("LeaseAsk",
               ownership::LeaseAsk{Other, BootTime, LogOffset, 200});
  printControl("LeasePromise",
               ownership::LeasePromise{Other, BootTime, LogOffset});
  printControl("CreditAsk", accounts::CreditAsk{
                                Self, 1'000'000, account, 10, 100, {{1, 20}}});
  printControl("CreditGrant",
               accounts::CreditGrant{1'000'000, account,
                                     accounts::CreditStatus::Granted, 100,
                                     HalfSecond, core::Duration::zero()});
  printControl("IdempotencyTell",
               requests::IdempotencyTell{Self, slice, 12, id, id.High,
                                         1'000'000, HalfSecond});
  printControl("IdempotencyAck",
               requests::IdempotencyAck{Self, id, 1'000'000, true});
  printControl("IdempotencyHandoverAsk",
               requests::IdempotencyHandoverAsk{Self, slice, 12});
  for (const std::size_t n : {1U, 100U, 1000U, 10'000U})
    printControl(fmt::format("IdempotencyHandover {}", n), handoverOf(n));
  printControl("OffsetQuery", codec::OffsetQuery{LogOffset});
  printControl("OffsetReport", codec::OffsetReport{LogOffset});
}

// Log entries ---------------------------------------------------------------

administration::TotalsRecord totalsOf(std::size_t lines) {
  constexpr std::uint32_t Buckets = 20;
  administration::TotalsRecord out{
      Self, 1000, 1'900'000'000'000, std::chrono::seconds(60), {}};
  for (std::size_t n = 0; n < lines; ++n) {
    administration::TotalsLine line{fmt::format("account-{}", n),
                                    "leases",
                                    5000,
                                    {},
                                    {},
                                    5'000'000,
                                    5'000'000};
    for (std::uint32_t b = 0; b < Buckets; ++b)
      line.Latency.push_back({40 + b, 250});
    out.Lines.push_back(std::move(line));
  }
  return out;
}

void printEntries() {
  ownership::InstanceInfo info{Self,
                               "leases-12345",
                               "ro-east-a",
                               "rack-12",
                               "10.100.100.100:7001",
                               "10.100.100.100:8001",
                               "leases",
                               true};
  ownership::SlicesStarted started{Self, {}};
  for (std::uint32_t n = 0; n < 16; ++n)
    started.Slices.push_back({{"leases", 70'000 + n}, 12});
  printEntry("InstanceJoined",
             ownership::OwnershipRecord{
                 ownership::InstanceJoined{info, {Other, Other, Other}}});
  printEntry("InstanceRetired",
             ownership::OwnershipRecord{ownership::InstanceRetired{
                 Self, 3, ownership::RetireReason::Lost, Other}});
  printEntry("SlicesStarted of 16", ownership::OwnershipRecord{started});
  printEntry("SliceMoved", ownership::OwnershipRecord{ownership::SliceMoved{
                               {"leases", 70'000}, 12, Other}});
  for (const std::size_t n : {1U, 8U, 64U, 512U})
    printEntry(fmt::format("TotalsRecord of {}", n), totalsOf(n));
}

// Configuration -------------------------------------------------------------

configuration::CatalogueSnapshot snapshotOf(std::size_t accounts,
                                            std::size_t keys) {
  configuration::CatalogueSnapshot out;
  core::Offset offset = 1;
  for (std::size_t n = 0; n < accounts; ++n) {
    const core::Offset at = offset++;
    out.Accounts.push_back(
        {at, at, {fmt::format("account-{:06}", n), 1000, 1000}});
  }
  for (std::size_t n = 0; n < keys; ++n) {
    const configuration::AccountItem &account = out.Accounts[n % accounts];
    out.Keys.push_back({offset++,
                        fmt::format("{:016x}", n),
                        {account.Value.Name, account.Created, {}, {}}});
  }
  out.NextOffset = offset;
  return out;
}

void printConfiguration(std::size_t accounts) {
  configuration::CatalogueSnapshot from = snapshotOf(accounts, 2 * accounts);
  const std::size_t before = heapBytes();
  const auto catalogue = configuration::Catalogue::fromSnapshot(from);
  if (!catalogue) {
    fmt::print("{:8} not built: {}\n", accounts, catalogue.error().Detail);
    return;
  }
  const std::size_t bytes = heapBytes() - before;
  core::Offset offset = from.NextOffset;
  configuration::Version basis = from.Accounts.front().ItemVersion;
  std::size_t refused = 0;
  const double fold = microsecondsOf([&](std::size_t n) {
    configuration::AccountSet record;
    record.Origin = {n + 1, "operator", 1'900'000'000'000};
    record.Basis = basis;
    record.Value = from.Accounts.front().Value;
    const auto verdict = (*catalogue)->apply(record, offset);
    if (!verdict && refused++ == 0)
      fmt::print("refused: {}\n", verdict.error().Detail);
    basis = ++offset;
  });
  std::size_t seen = 0;
  const double publish = microsecondsOf([&](std::size_t) {
    seen += std::make_shared<const configuration::Catalogue>(**catalogue)
                ->accountCount();
  });
  const double list = microsecondsOf(
      [&](std::size_t) { seen += (*catalogue)->accounts().size(); });
  fmt::print("{:8} {:8} {:10.2f} {:10.2f} {:10.2f} {:12.1f}{}\n", accounts,
             2 * accounts, static_cast<double>(bytes) / 1e6, fold, publish,
             list, refused == 0 && seen != 0 ? "" : " ?");
}

} // namespace

int main() {
  fmt::print("{:28} {:>8}\n", "encoded", "bytes");
  printMessages();
  printEntries();
  fmt::print("\nconfiguration, CPU microseconds\n{:>8} {:>8} {:>10} {:>10} "
             "{:>10} {:>12}\n",
             "accounts", "keys", "heap MB", "fold", "copy", "list accounts");
  for (const std::size_t n : {1000U, 4000U, 16'000U, 64'000U})
    printConfiguration(n);
  return 0;
}
