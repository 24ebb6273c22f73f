/// \file
/// The lease state that the holder keeps.

#ifndef ACACIAROAD_OWNERSHIP_LEASEHOLDER_H
#define ACACIAROAD_OWNERSHIP_LEASEHOLDER_H

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "Core/Clock.h"
#include "Core/Identifiers.h"
#include "Ownership/LeaseRules.h"

namespace acaciaroad::ownership {

/// Computes the lease expiry from the promises of a majority of the witnesses.
/// From the proposal of new witnesses until its outcome is read from the log, a
/// majority of the proposed ones is required as well (joint quorum).
class LeaseHolder {
public:
  LeaseHolder(LeaseRules rules, ProtocolFaults faults)
      : Rules(rules), InjectedFaults(faults) {}

  /// Adopts the witnesses recorded in the log. Drops a proposal that was based
  /// on an older version.
  void setWitnesses(std::span<const core::InstanceId> witnesses,
                    std::uint64_t version);

  /// Starts to request promises from \p witnesses too, before proposing them.
  void setCandidates(std::vector<core::InstanceId> witnesses);
  /// Drops the candidates unless they are already proposed.
  void dropCandidates();
  bool hasCandidates() const { return Next.has_value(); }
  bool isProposed() const { return Next && Next->IsProposed; }

  /// Returns whether the candidates can be proposed without shortening the
  /// lease: their promises cover every expiry published so far.
  bool canPropose(core::TimePoint now) const;

  /// Requires a majority of the candidates too. Must be called before the
  /// record is appended.
  void propose() { Next->IsProposed = true; }

  /// Returns the candidates, proposed or not.
  std::span<const core::InstanceId> candidates() const;
  std::span<const core::InstanceId> witnesses() const { return Current; }
  std::uint64_t version() const { return Version; }

  /// Returns the witnesses to send a request to and records \p now as the time
  /// of the request.
  std::vector<core::InstanceId> onRenew(core::TimePoint now);

  /// Records a promise by \p from for the request sent at \p askedAt. Times
  /// later than the last request cannot be our own and are ignored.
  void onPromise(core::InstanceId from, core::TimePoint askedAt,
                 core::TimePoint now);

  /// Records that \p from no longer promises anything.
  void onRefusal(core::InstanceId from) { Promises.erase(from); }

  /// Returns when the lease expires; a time in the past if there is none.
  core::TimePoint expiry() const;

  /// Records that \p expiry was published to traffic threads.
  void onPublished(core::TimePoint expiry);

  /// Returns when the request for the last promise by \p from was sent.
  std::optional<core::TimePoint> lastPromise(core::InstanceId from) const;

private:
  struct Candidates {
    std::vector<core::InstanceId> Witnesses;
    bool IsProposed = false;
  };

  core::TimePoint expiryOf(std::span<const core::InstanceId> set) const;

  LeaseRules Rules;
  ProtocolFaults InjectedFaults;
  std::vector<core::InstanceId> Current;
  std::uint64_t Version = 0;
  std::optional<Candidates> Next;
  core::TimePoint LastRenewal;
  core::TimePoint Published;
  /// Send time of the request behind each witness's last promise.
  std::map<core::InstanceId, core::TimePoint> Promises;
};

} // namespace acaciaroad::ownership

#endif
