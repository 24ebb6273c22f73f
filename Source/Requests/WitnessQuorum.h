/// \file
/// Majority of the witnesses that store one idempotency id.

#ifndef ACACIAROAD_REQUESTS_WITNESSQUORUM_H
#define ACACIAROAD_REQUESTS_WITNESSQUORUM_H

#include <cstdint>
#include <vector>

#include "Core/Identifiers.h"

namespace acaciaroad::requests {

/// Witness sets, each of which must reach a majority: two while an owner
/// replaces its witnesses (joint quorum), otherwise one.
using WitnessSets = std::vector<std::vector<core::InstanceId>>;

enum class QuorumState : std::uint8_t {
  Open,
  /// A majority of each set has stored the id.
  Reached,
  /// So many witnesses have refused that a set cannot reach a majority.
  Impossible,
};

/// Counts the witnesses' answers to one tell. An empty set counts as reached.
class WitnessQuorum {
public:
  explicit WitnessQuorum(const WitnessSets &sets);

  /// Adds an answer and returns the new state. Answers of instances that are
  /// not witnesses are ignored, as are further answers of the same witness.
  QuorumState add(core::InstanceId witness, bool isKept);

  QuorumState state() const;

private:
  enum class Vote : std::uint8_t { None, Kept, Refused };
  struct Member {
    core::InstanceId Id;
    Vote Answer = Vote::None;
  };

  static QuorumState stateOf(const std::vector<Member> &set);

  std::vector<std::vector<Member>> Sets;
};

} // namespace acaciaroad::requests

#endif
