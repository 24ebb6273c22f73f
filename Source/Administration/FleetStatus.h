/// \file
/// What the administration API tells of the fleet, as the node supplies it.

#ifndef ACACIAROAD_ADMINISTRATION_FLEETSTATUS_H
#define ACACIAROAD_ADMINISTRATION_FLEETSTATUS_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "Core/Identifiers.h"

namespace acaciaroad::administration {

/// One instance as this node knows it.
struct InstanceLine {
  core::InstanceId Id;
  std::string Name;
  std::string DataCentre;
  std::string Service;
  std::string HttpAddress;
  /// "live", "leaving" or "lost".
  std::string State;
  std::uint64_t WitnessVersion = 0;
  std::uint64_t Slices = 0;
  /// Whether a heartbeat came lately; false alone takes no rights away.
  bool Reachable = false;
  /// First offset that the instance has not folded, by its last heartbeat.
  core::Offset NextOffset = 0;
};

struct DataCentreLine {
  std::string Name;
  std::uint64_t Version = 0;
  std::uint32_t SharePermille = 0;
  std::uint64_t Instances = 0;
};

struct ServiceLine {
  std::string Name;
  std::uint32_t Slices = 0;
  /// Slices without an owner that serves them.
  std::uint32_t Unserved = 0;
};

/// The state of the answering node and its view of the fleet.
struct FleetStatus {
  core::InstanceId Self;
  std::string SelfName;
  core::Offset NextOffset = 0;
  bool LogReachable = false;
  bool LeaseHeld = false;
  std::vector<InstanceLine> Instances;
  std::vector<DataCentreLine> DataCentres;
  std::vector<ServiceLine> Services;
};

/// Who serves a key, and why.
struct OwnerReport {
  core::SliceId Slice;
  core::Epoch Epoch = 0;
  /// 0 while nobody is eligible.
  core::InstanceId Owner;
  std::string OwnerName;
  std::string HttpAddress;
  /// Whether the owner serves already, or waits for a predecessor.
  bool Serving = false;
  std::vector<core::InstanceId> WaitsFor;
  /// One sentence for the operator.
  std::string Reason;
};

/// How far a record has come.
struct InForceReport {
  core::Offset Offset = 0;
  std::uint64_t LiveInstances = 0;
  /// Live instances that have folded the record.
  std::uint64_t Applied = 0;
  /// Names of instances that have not; the first few.
  std::vector<std::string> Missing;
  bool isEverywhere() const { return Applied == LiveInstances; }
};

} // namespace acaciaroad::administration

#endif
