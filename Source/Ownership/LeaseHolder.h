/// \file
/// The holder's side of a lease.

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

/// Counts promises of the current witnesses and, from the proposal of new ones
/// until its outcome is read, of the proposed ones too.
class LeaseHolder {
public:
  LeaseHolder(LeaseRules rules, ProtocolFaults faults)
      : Rules(rules), InjectedFaults(faults) {}

  /// Takes over what the log says; a proposal on an older version is settled.
  void setWitnesses(std::span<const core::InstanceId> witnesses,
                    std::uint64_t version);

  /// Starts to ask \p witnesses as well, with a view to proposing them.
  void setCandidates(std::vector<core::InstanceId> witnesses);
  /// Gives candidates up that are not proposed yet.
  void dropCandidates();
  bool hasCandidates() const { return Next.has_value(); }
  bool isProposed() const { return Next && Next->IsProposed; }

  /// Returns whether the candidates can be proposed without any loss of lease:
  /// their promises reach as far as every expiry given out.
  bool canPropose(core::TimePoint now) const;

  /// Joins the candidates to the majorities needed. Call it before the record
  /// is appended.
  void propose() { Next->IsProposed = true; }

  /// Returns the candidates, proposed or not.
  std::span<const core::InstanceId> candidates() const;
  std::span<const core::InstanceId> witnesses() const { return Current; }
  std::uint64_t version() const { return Version; }

  /// Returns whom to ask now; notes the time of the asking.
  std::vector<core::InstanceId> onRenew(core::TimePoint now);

  /// Notes a promise of \p from for the ask at \p askedAt. Asks in the future
  /// are not ours and are ignored.
  void onPromise(core::InstanceId from, core::TimePoint askedAt,
                 core::TimePoint now);

  /// Notes that \p from promises nothing any more.
  void onRefusal(core::InstanceId from) { Promises.erase(from); }

  /// Returns until when the lease holds; a time in the past if it does not.
  core::TimePoint expiry() const;

  /// Notes that expiry() was shown to traffic threads.
  void onPublished(core::TimePoint expiry);

  /// Returns the time of the last promise that \p from gave, by its asking.
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
  /// Time of asking of each witness's last promise.
  std::map<core::InstanceId, core::TimePoint> Promises;
};

} // namespace acaciaroad::ownership

#endif
