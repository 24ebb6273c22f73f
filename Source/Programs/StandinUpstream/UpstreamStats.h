/// \file
/// What an upstream has done since its start.

#ifndef ACACIAROAD_STANDINUPSTREAM_UPSTREAMSTATS_H
#define ACACIAROAD_STANDINUPSTREAM_UPSTREAMSTATS_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Programs/StandinUpstream/GrantLedger.h"
#include "Programs/StandinUpstream/OrderBook.h"

namespace acaciaroad::standinupstream {

/// Why an order did not run to its end.
enum class Refusal : std::uint8_t {
  StaleGrant,
  Shedding,
  Deadline,
  Cancelled,
  Incomplete,
};

/// Names in `X-Acacia-Not-Run` and in the statistics.
std::string_view toString(Refusal refusal);

/// Counts over all orders.
struct UpstreamStats {
  std::uint64_t Served = 0;
  /// Orders whose work was begun.
  std::uint64_t Started = 0;
  std::uint64_t CancelledRunning = 0;
  std::uint64_t Failed = 0;
  std::uint64_t LostAnswers = 0;
  /// Requests that carried an Authorization header.
  std::uint64_t LeakedKeys = 0;
  std::map<Refusal, std::uint64_t> Refused;
  /// How often the work of each Idempotency-Key was begun.
  std::map<std::string, std::uint32_t> StartsByKey;
};

/// Returns the JSON object of `GET /acacia/stats`.
std::string encodeStats(const UpstreamStats &stats, const OrderCounts &orders,
                        const GrantLedger &grants);

} // namespace acaciaroad::standinupstream

#endif
