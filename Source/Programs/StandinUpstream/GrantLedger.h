/// \file
/// The grants that an upstream has seen, and under which it has run orders.

#ifndef ACACIAROAD_STANDINUPSTREAM_GRANTLEDGER_H
#define ACACIAROAD_STANDINUPSTREAM_GRANTLEDGER_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Programs/StandinUpstream/OrderHeaders.h"

namespace acaciaroad::standinupstream {

/// Orders that ran for one slice under one epoch.
struct SliceUse {
  std::string Slice;
  core::Epoch Epoch = 0;
  std::uint64_t Orders = 0;
  core::TimePoint FirstStart{};
  core::TimePoint LastStart{};
};

/// Fences former owners and records which orders ran in spite of it. Not
/// thread-safe.
class GrantLedger {
public:
  /// Whether \p grant is neither expired nor older than one seen before. A
  /// valid grant fences all older ones.
  bool admit(const Grant &grant, core::TimePoint now);

  /// Records an order that starts, whether it was checked or not.
  void recordStart(const Grant &grant, core::TimePoint now);

  /// Orders that started under an epoch lower than the highest seen.
  std::uint64_t staleStarts() const { return StaleStarts; }
  /// Orders that started after their grant had expired.
  std::uint64_t expiredStarts() const { return ExpiredStarts; }
  std::vector<SliceUse> uses() const;

private:
  std::map<std::string, core::Epoch> Highest;
  std::map<std::pair<std::string, core::Epoch>, SliceUse> Uses;
  std::uint64_t StaleStarts = 0;
  std::uint64_t ExpiredStarts = 0;
};

} // namespace acaciaroad::standinupstream

#endif
