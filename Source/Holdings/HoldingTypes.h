/// \file
/// Value types for key assignment: key ranges, leases and node records.

#ifndef ACACIAROAD_HOLDINGS_HOLDINGTYPES_H
#define ACACIAROAD_HOLDINGS_HOLDINGTYPES_H

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Core/Clock.h"
#include "Core/Endpoint.h"
#include "Core/Identifiers.h"

namespace acaciaroad::holdings {

/// Routing key of a keyed service, in [0, KeyCount).
using Key = std::uint32_t;

inline constexpr Key KeyCount = 65536;

/// Increases each time a key is assigned to another holder.
using FencingToken = std::uint64_t;

/// Returns the token of an assignment that is appended at \p at. Tokens of a
/// later era are higher than all tokens of earlier ones, and stay below 2^53,
/// which JSON numbers can hold, for 8191 eras of 2^40 records.
constexpr FencingToken makeToken(core::LogEra era, core::Offset at) {
  constexpr unsigned OffsetBits = 40;
  return (era << OffsetBits) + at + 1;
}

/// Range of keys, including both ends.
struct KeyRange {
  Key From = 0;
  Key To = KeyCount - 1;
  bool operator==(const KeyRange &) const = default;
  Key size() const { return To - From + 1; }
  bool contains(Key key) const { return From <= key && key <= To; }
  bool contains(const KeyRange &other) const {
    return From <= other.From && other.To <= To;
  }
  bool intersects(const KeyRange &other) const {
    return From <= other.To && other.From <= To;
  }
  KeyRange intersection(const KeyRange &other) const {
    return {std::max(From, other.From), std::min(To, other.To)};
  }
};

/// The log has one record for each part of this many keys, which keeps the
/// record of a move small.
inline constexpr Key KeysPerPart = 1024;
inline constexpr Key PartCount = KeyCount / KeysPerPart;

/// Upper limit for the slots of one upstream. Each slot needs a connection, and
/// the number of ports limits the connections.
inline constexpr std::uint32_t MaxSlots = 65'535;

/// Latest accepted start time of an upstream process: the year 3000. A
/// process that started before the known one is ignored, so a value far in the
/// future would shut out every later process of the upstream.
inline constexpr std::int64_t MaxStartUnixMs = 32'503'680'000'000;

/// Identifies one run of an upstream's process.
struct UpstreamProcess {
  std::string Id;
  /// Start time in Unix milliseconds; 0 if not known.
  std::int64_t StartUnixMs = 0;
  bool operator==(const UpstreamProcess &) const = default;
  bool isKnown() const { return !Id.empty(); }
};

/// Assignment of a key range to a holder.
struct Holding {
  KeyRange Keys;
  /// Node of the upstream that holds the keys; empty if there is no holder.
  std::string Node;
  UpstreamProcess Process;
  FencingToken Token = 0;
  /// Opaque data from the previous holder for the next one; may be empty.
  std::string Handover;
  bool operator==(const Holding &) const = default;
};

/// Assignments of the KeysPerPart keys from Number * KeysPerPart on.
struct HoldingPart {
  Key Number = 0;
  /// Sorted by key, all within the part.
  std::vector<Holding> Rows;
  bool operator==(const HoldingPart &) const = default;
};

/// Keys that a node may grant when the log enters another era.
struct HoldingClaim {
  std::string Node;
  std::string Service;
  std::vector<Holding> Rows;
  bool operator==(const HoldingClaim &) const = default;
};

enum class UpstreamState : std::uint8_t {
  /// The node knows of no running upstream.
  Absent,
  Ready,
  /// Shutting down; accepts no new work.
  Leaving,
};

/// State that a node publishes in the fleet's log. Each new record renews the
/// node's lease.
struct NodeRecord {
  std::string Name;
  std::string DataCentre;
  std::string Service;
  core::Endpoint Peer;
  /// Random number, drawn at each start of the node.
  std::uint64_t Incarnation = 0;
  /// Number of the record within the incarnation.
  std::uint64_t Sequence = 0;
  UpstreamProcess Process;
  UpstreamState State = UpstreamState::Absent;
  std::uint32_t Slots = 0;
  /// The node is shutting down and ends within seconds.
  bool IsStopping = false;
  /// Orders the incarnations of the node: each start has a higher number than
  /// all earlier ones. 0 in records of earlier releases.
  std::uint64_t Generation = 0;
  /// Version of the upstream's software; empty in records of earlier releases.
  std::string Version{};
  bool operator==(const NodeRecord &) const = default;
};

/// Keys that an upstream holds or still has work in flight for.
struct HeldKeys {
  KeyRange Keys;
  FencingToken Token = 0;
};

/// Keys that an upstream has released, with the data for the next holder.
struct FreedKeys {
  KeyRange Keys;
  std::string Handover;
};

/// Periodic status report of an upstream.
struct Heartbeat {
  UpstreamProcess Process;
  std::string Service;
  std::string DataCentre;
  /// Version of the upstream's software; empty if it isn't known.
  std::string Version;
  core::Endpoint Address;
  UpstreamState State = UpstreamState::Ready;
  std::uint32_t Slots = 0;
  /// Increases with each heartbeat of one process.
  std::uint64_t Sequence = 0;
  /// Time until the upstream has warmed up.
  core::Duration ColdRemaining{};
  std::vector<HeldKeys> Holds;
  std::vector<FreedKeys> Freed;
};

/// Lease on keys for an upstream. It starts when the upstream sent the
/// heartbeat that the grant answers.
struct Grant {
  std::vector<Holding> Rows;
  core::Duration Length{};
};

} // namespace acaciaroad::holdings

#endif
