/// \file
/// The state derived from the ownership records: which instance owns each
/// slice, and which former owners each owner must wait for.

#ifndef ACACIAROAD_OWNERSHIP_FLEETMAP_H
#define ACACIAROAD_OWNERSHIP_FLEETMAP_H

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "Core/Error.h"
#include "Core/Identifiers.h"
#include "Ownership/FleetTypes.h"
#include "Ownership/FleetView.h"
#include "Ownership/OwnershipRecord.h"
#include "Ownership/ServiceSlices.h"

namespace acaciaroad::ownership {

/// State of one instance according to the log.
struct InstanceState {
  InstanceInfoPtr Info;
  InstanceStatus Status = InstanceStatus::Live;
  /// Offset of its InstanceJoined record.
  core::Offset JoinedAt = 0;
  std::uint64_t WitnessVersion = 0;
  std::vector<core::InstanceId> Witnesses;
  /// Instances that have this one as a witness.
  std::set<core::InstanceId> WitnessOf;
  /// Slices that list this instance as a predecessor.
  std::set<SliceRef> PredecessorOf;
};

/// Aggregate root of ownership: a pure, deterministic function of the log.
/// Readers that have applied the same records hold the same state. Each record
/// names the version it is based on and is rejected with Conflict if that
/// version is stale.
class FleetMap {
public:
  FleetMap() = default;
  FleetMap(const FleetMap &) = delete;
  FleetMap &operator=(const FleetMap &) = delete;
  FleetMap(FleetMap &&) noexcept = default;
  FleetMap &operator=(FleetMap &&) noexcept = default;
  ~FleetMap() = default;

  /// Restores a checkpoint. Errors: CorruptMessage if it is inconsistent.
  static core::Result<FleetMap> fromSnapshot(const FleetSnapshot &from);

  /// Returns the complete state, for a checkpoint.
  FleetSnapshot snapshot() const;

  /// Applies \p record. Errors: Conflict if its basis is stale or its offset
  /// was already applied, InvalidArgument if it is malformed. A rejected record
  /// changes nothing but the last offset.
  core::Result<void> apply(const OwnershipRecord &record, core::Offset offset);

  /// Returns the offset of the last record read, accepted or not.
  std::optional<core::Offset> lastOffset() const { return LastOffset; }

  /// Returns the owner of \p keyHash, or nothing if the service is unknown.
  std::optional<SliceOwner> ownerOf(std::string_view service,
                                    std::uint64_t keyHash) const;

  /// Returns the state of \p id, whether live, leaving or lost, or null.
  const InstanceState *instance(core::InstanceId id) const;

  /// Returns whether \p id is live or leaving and so may hold a lease.
  bool holdsLease(core::InstanceId id) const;

  /// Returns all known instances, including lost ones that are still listed as
  /// predecessors.
  const std::unordered_map<core::InstanceId, InstanceState> &instances() const {
    return Instances;
  }

  /// Returns the members of \p service that accept new work, sorted by id.
  std::vector<core::InstanceId> eligible(std::string_view service) const;

  /// Returns the slices that \p id owns.
  std::vector<SliceRef> slicesOf(core::InstanceId id) const;

  /// Returns the state of a slice, or null.
  const SliceState *slice(SliceRef ref) const;
  core::SliceId idOf(SliceRef ref) const;
  std::optional<SliceRef> refOf(const core::SliceId &id) const;

  /// Returns the service called \p name, or null.
  const ServiceSlices *service(std::string_view name) const;

  /// Returns share and version of a data centre. The default is the full share.
  DataCentreSnapshot dataCentre(std::string_view name) const;

  /// Returns the number of live instances in each data centre.
  const std::map<std::string, std::uint32_t, std::less<>> &
  dataCentreSizes() const {
    return DataCentreSizes;
  }

  /// Return the slices and instances changed by the last record, if accepted.
  std::span<const SliceRef> changedSlices() const { return ChangedSlices; }
  std::span<const core::InstanceId> changedInstances() const {
    return ChangedInstances;
  }

  /// Returns an immutable snapshot for traffic threads.
  FleetView share();

  /// Injects a fault, to verify that tests detect it: a takeover drops the
  /// earlier predecessors of the slice.
  void injectChainFaultForTest() { ForgetsPredecessors = true; }

private:
  core::Result<void> fold(const ServiceDefined &record);
  core::Result<void> fold(const InstanceJoined &record);
  core::Result<void> fold(const InstanceLeaving &record);
  core::Result<void> fold(const InstanceRetired &record);
  core::Result<void> fold(const WitnessesChanged &record);
  core::Result<void> fold(const SlicesReleased &record);
  core::Result<void> fold(const SlicesStarted &record);
  core::Result<void> fold(const SliceMoved &record);
  core::Result<void> fold(const HotKeyAdded &record);
  core::Result<void> fold(const HotKeyRemoved &record);
  core::Result<void> fold(const DataCentreShareSet &record);

  ServiceSlices &define(const std::string &name, std::uint32_t sliceCount);
  ServiceSlices *find(std::string_view name);
  /// Returns the services that the instance \p info is a member of.
  std::vector<ServiceSlices *> servicesOf(const InstanceInfo &info);
  void addToServices(const InstanceInfo &info, std::uint32_t sharePermille);
  void assignFairShare(ServiceSlices &service, core::InstanceId to);
  void assignOrphans(ServiceSlices &service);
  /// Moves all but \p keep slices of \p id to other members.
  void moveSlicesOff(ServiceSlices &service, core::InstanceId id,
                     std::size_t keep, bool mayStillServe);
  /// Changes the owner. The previous owner becomes a predecessor if it may
  /// still serve the slice.
  void reassign(ServiceSlices &service, core::SliceIndex index,
                core::InstanceId to, bool mayStillServe);
  bool clearPredecessor(SliceRef ref, const Predecessor &predecessor);
  void clearPredecessorEntries(core::InstanceId id);
  void retire(InstanceState &state, bool mayStillServe);
  void forget(core::InstanceId id);
  void eraseIfUnreferenced(core::InstanceId id);
  void setWitnesses(InstanceState &holder,
                    std::vector<core::InstanceId> witnesses);
  void addToShard(const InstanceInfoPtr &info);
  void removeFromShard(core::InstanceId id);
  void rememberRetired(core::InstanceId retired);
  void restoreInstance(const InstanceSnapshot &from);
  void restorePredecessors();

  std::optional<core::Offset> LastOffset;
  std::vector<ServiceSlices> Services;
  std::map<std::string, std::uint32_t, std::less<>> ServiceNumbers;
  std::unordered_map<core::InstanceId, InstanceState> Instances;
  std::map<std::string, DataCentreSnapshot, std::less<>> DataCentres;
  std::map<std::string, std::uint32_t, std::less<>> DataCentreSizes;
  InstanceShards Shards;
  std::deque<core::InstanceId> Retired;
  std::unordered_set<core::InstanceId> RetiredSet;
  std::vector<SliceRef> ChangedSlices;
  std::vector<core::InstanceId> ChangedInstances;
  bool ForgetsPredecessors = false;
};

} // namespace acaciaroad::ownership

#endif
