/// \file
/// The totals of one day, folded from the records of all instances.

#ifndef ACACIAROAD_ADMINISTRATION_DAYTOTALS_H
#define ACACIAROAD_ADMINISTRATION_DAYTOTALS_H

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "Administration/LatencyHistogram.h"
#include "Administration/TotalsRecord.h"
#include "Administration/TotalsWindow.h"
#include "Core/Error.h"

namespace acaciaroad::administration {

/// A span of time in milliseconds since the Unix epoch, the end excluded.
struct DayRange {
  std::int64_t BeginUnixMilliseconds = 0;
  std::int64_t EndUnixMilliseconds = 0;
  bool operator==(const DayRange &) const = default;
};

/// Parses "YYYY-MM-DD" as a UTC day. InvalidArgument if there is no such day.
core::Result<DayRange> parseDay(std::string_view text);

/// A client account and a class of work.
struct TotalsKey {
  std::string Account;
  std::string Class;
  // clang-tidy 14 takes the 0 in rewritten comparisons for a pointer.
  auto operator<=>(const TotalsKey &) const = default; // NOLINT
};

/// The sums of one TotalsKey.
struct TotalsSum {
  std::uint64_t Served = 0;
  /// By ErrorKind.
  std::array<std::uint64_t, core::ErrorKindCount> Refused{};
  LatencyHistogram Latency;
  std::uint64_t BytesIn = 0;
  std::uint64_t BytesOut = 0;

  std::uint64_t refusedTotal() const;
};

/// The aggregate. An interval belongs to the day in which it starts. Folding a
/// record again changes nothing, so that copies in the log are harmless.
class DayTotals {
public:
  /// Rows beyond this bound are summed under OtherName.
  static constexpr std::size_t MaxRows = 16'384;
  /// Incarnations beyond this bound are not counted but reported.
  static constexpr std::size_t MaxInstances = 65'536;
  static constexpr std::string_view OtherName = "_other";

  explicit DayTotals(DayRange range) : Range(range) {}

  /// Adds a record of the day; returns whether it counted.
  bool fold(const TotalsRecord &record);

  const std::map<TotalsKey, TotalsSum> &rows() const { return Rows; }

  /// Records that counted.
  std::uint64_t recordCount() const { return Records; }
  /// Records left out because there are too many incarnations.
  std::uint64_t droppedCount() const { return Dropped; }
  std::size_t instanceCount() const { return Windows.size(); }

  /// Returns one line for each row under a header line, with CRLF line ends
  /// (RFC 4180). Latencies are in milliseconds.
  std::string toCsv(std::string_view day) const;

private:
  TotalsSum &sumOf(const TotalsLine &line);

  DayRange Range;
  std::unordered_map<core::InstanceId, TotalsWindow> Windows;
  std::map<TotalsKey, TotalsSum> Rows;
  std::uint64_t Records = 0;
  std::uint64_t Dropped = 0;
};

} // namespace acaciaroad::administration

#endif
