/// \file
/// Counts what one instance serves and refuses, and cuts records from it.

#ifndef ACACIAROAD_ADMINISTRATION_TOTALSCOLLECTOR_H
#define ACACIAROAD_ADMINISTRATION_TOTALSCOLLECTOR_H

#include <map>
#include <mutex>
#include <optional>
#include <string_view>

#include "Administration/DayTotals.h"
#include "Core/Clock.h"
#include "Core/ErrorKind.h"

namespace acaciaroad::administration {

/// One finished request.
struct RequestOutcome {
  std::string_view Account;
  std::string_view Class;
  /// Nothing if the request was served.
  std::optional<core::ErrorKind> Refused;
  core::Duration Latency{};
  std::uint64_t BytesIn = 0;
  std::uint64_t BytesOut = 0;
};

/// Traffic threads add outcomes, the control thread cuts records. An instance
/// that is lost takes at most the counts of the running interval with it.
class TotalsCollector {
public:
  /// Lines of a record; outcomes beyond are summed under DayTotals::OtherName.
  static constexpr std::size_t MaxLines = 512;

  TotalsCollector(core::InstanceId instance, std::int64_t startUnixMilliseconds)
      : Instance(instance), StartUnixMilliseconds(startUnixMilliseconds) {}

  void add(const RequestOutcome &outcome);

  /// Returns a record of everything since the last cut, or nothing if there was
  /// no request. A record whose append has an unknown outcome may be appended
  /// again as it is.
  std::optional<TotalsRecord> cut(std::int64_t nowUnixMilliseconds);

private:
  std::mutex Mutex;
  const core::InstanceId Instance;
  std::int64_t StartUnixMilliseconds;
  std::uint64_t Sequence = 0;
  std::map<TotalsKey, TotalsSum> Sums;
};

} // namespace acaciaroad::administration

#endif
