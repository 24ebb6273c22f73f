/// \file
/// Collection of the lease renewals of several nodes into one append.

#ifndef ACACIAROAD_HOLDINGS_RENEWALBATCH_H
#define ACACIAROAD_HOLDINGS_RENEWALBATCH_H

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "Core/Clock.h"
#include "Holdings/FleetLedger.h"
#include "Holdings/HoldingTypes.h"

namespace acaciaroad::holdings {

/// Interval between the regular appends of a batch. Shorter than the renewal
/// interval of a node that grants keys, so that each node can join one.
inline constexpr core::Duration RenewalRound = std::chrono::seconds(2);

/// Collects the renewals of the nodes that read through this one, for a fleet
/// in which appends of single renewals would be most calls to the platform, and
/// would move the end of the log so often that conditional appends fail.
///
/// An append follows the first renewal by a short wait. Each node is told when
/// the next regular append is, so that after one round all renewals come
/// together. A batch can't delay a lease: it runs from when the node itself
/// sent the renewal.
class RenewalBatch {
public:
  /// Called with the time until the next regular append, or with nullopt if
  /// the renewal was not appended.
  using DoneHook = std::function<void(std::optional<core::Duration>)>;

  struct Renewal {
    NodeRecord Record;
    core::TimePoint AddedAt{};
    DoneHook OnDone;
  };

  /// \p created is the time of the first regular append.
  explicit RenewalBatch(core::TimePoint created) : FirstRound(created) {}

  /// Adds a renewal. Returns false if the batch is full.
  bool add(Renewal renewal);

  /// Returns when the batch is to be appended; nullopt if it is empty.
  std::optional<core::TimePoint> dueAt() const;

  /// Returns the renewals to append now and starts the next batch. Those that
  /// \p ledger shows to be out of date, and those that have waited for so long
  /// that their nodes have appended them themselves, end as not appended.
  std::vector<Renewal> take(const FleetLedger &ledger, core::TimePoint now);

  /// Returns the time until the next regular append.
  core::Duration untilNextRound(core::TimePoint now) const;

private:
  core::TimePoint FirstRound;
  std::vector<Renewal> Pending;
};

} // namespace acaciaroad::holdings

#endif
