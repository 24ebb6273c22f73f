/// \file
/// Keys that upstreams hold, and what nodes tell each other of themselves.

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

/// A key of a service whose upstreams hold keys.
using Key = std::uint32_t;

/// Keys are numbers below it.
inline constexpr Key KeyCount = 65536;

/// Rises each time a key changes its holder.
using FencingToken = std::uint64_t;

/// Both ends belong to it.
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

/// Keys are recorded in parts of this size, so that a move is a small record.
inline constexpr Key KeysPerPart = 1024;
inline constexpr Key PartCount = KeyCount / KeysPerPart;

/// Slots of one upstream: each needs a connection, and ports bound these.
inline constexpr std::uint32_t MaxSlots = 65'535;

/// Latest birth of an upstream, in Unix milliseconds: the year 3000. A later
/// one would shut out every further life of the upstream.
inline constexpr std::int64_t MaxStartUnixMs = 32'503'680'000'000;

/// One run of an upstream's process.
struct UpstreamProcess {
  std::string Id;
  /// Unix milliseconds of its start; 0 if not known.
  std::int64_t StartUnixMs = 0;
  bool operator==(const UpstreamProcess &) const = default;
  bool isKnown() const { return !Id.empty(); }
};

/// Keys with one holder.
struct Holding {
  KeyRange Keys;
  /// Node beside the holder; empty if the keys have none.
  std::string Node;
  UpstreamProcess Process;
  FencingToken Token = 0;
  /// What the former holder gave for the next one; may be empty.
  std::string Handover;
  bool operator==(const Holding &) const = default;
};

/// The holders of the keys from Number * PartKeys on.
struct HoldingPart {
  Key Number = 0;
  /// In the order of keys, all within the part.
  std::vector<Holding> Rows;
  bool operator==(const HoldingPart &) const = default;
};

enum class UpstreamState : std::uint8_t {
  /// None is known to run beside the node.
  Absent,
  Ready,
  /// Takes no new work.
  Leaving,
};

/// What a node records of itself; a new record renews its lease.
struct NodeRecord {
  std::string Name;
  std::string DataCentre;
  std::string Service;
  core::Endpoint Peer;
  /// Random, new at each start of the node.
  std::uint64_t Incarnation = 0;
  /// Counts the records of one incarnation.
  std::uint64_t Sequence = 0;
  UpstreamProcess Process;
  UpstreamState State = UpstreamState::Absent;
  std::uint32_t Slots = 0;
  /// The node was asked to stop, and ends within seconds.
  bool IsStopping = false;
  bool operator==(const NodeRecord &) const = default;
};

/// Keys that an upstream reports as held or still worked on.
struct HeldKeys {
  KeyRange Keys;
  FencingToken Token = 0;
};

/// Keys that an upstream has released, with what the next holder needs.
struct FreedKeys {
  KeyRange Keys;
  std::string Handover;
};

/// What an upstream says of itself.
struct Heartbeat {
  UpstreamProcess Process;
  std::string Service;
  std::string DataCentre;
  core::Endpoint Address;
  UpstreamState State = UpstreamState::Ready;
  std::uint32_t Slots = 0;
  /// Rises with each heartbeat of one life.
  std::uint64_t Sequence = 0;
  core::Duration ColdRemaining{};
  std::vector<HeldKeys> Holds;
  std::vector<FreedKeys> Freed;
};

/// What an upstream is to hold, counted from the sending of its heartbeat.
struct Grant {
  std::vector<Holding> Rows;
  core::Duration Length{};
};

} // namespace acaciaroad::holdings

#endif
