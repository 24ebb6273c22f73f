/// \file
/// What one instance served and refused in one interval, as appended to the
/// stream of totals.

#ifndef ACACIAROAD_ADMINISTRATION_TOTALSRECORD_H
#define ACACIAROAD_ADMINISTRATION_TOTALSRECORD_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "Core/ErrorKind.h"
#include "Core/Identifiers.h"

namespace acaciaroad::administration {

/// Refusals of one kind.
struct RefusedCount {
  core::ErrorKind Kind = core::ErrorKind::Internal;
  std::uint64_t Count = 0;
  bool operator==(const RefusedCount &) const = default;
};

/// Requests in one bucket of LatencyHistogram.
struct BucketCount {
  std::uint32_t Bucket = 0;
  std::uint64_t Count = 0;
  bool operator==(const BucketCount &) const = default;
};

/// Totals of one client account and class of work.
struct TotalsLine {
  std::string Account;
  std::string Class;
  std::uint64_t Served = 0;
  std::vector<RefusedCount> Refused;
  std::vector<BucketCount> Latency;
  std::uint64_t BytesIn = 0;
  std::uint64_t BytesOut = 0;
  bool operator==(const TotalsLine &) const = default;
};

/// The record. Instance and sequence name it: a second copy counts nothing.
struct TotalsRecord {
  core::InstanceId Instance;
  /// Counts the records of the instance, from 1.
  std::uint64_t Sequence = 0;
  /// Start of the interval, in milliseconds since the Unix epoch.
  std::int64_t StartUnixMilliseconds = 0;
  std::chrono::milliseconds Interval{0};
  std::vector<TotalsLine> Lines;
  bool operator==(const TotalsRecord &) const = default;
};

} // namespace acaciaroad::administration

#endif
