/// \file
/// Counts the witnesses that keep one id.

#ifndef ACACIAROAD_REQUESTS_WITNESSQUORUM_H
#define ACACIAROAD_REQUESTS_WITNESSQUORUM_H

#include <cstdint>
#include <vector>

#include "Core/Identifiers.h"

namespace acaciaroad::requests {

/// Sets of witnesses of which a majority each must agree; two while a holder
/// replaces its witnesses, otherwise one.
using WitnessSets = std::vector<std::vector<core::InstanceId>>;

enum class QuorumState : std::uint8_t {
  Open,
  /// A majority of each set keeps the id.
  Reached,
  /// Too many witnesses have refused.
  Impossible,
};

/// Answers of witnesses to one tell. A set without members counts as reached.
class WitnessQuorum {
public:
  explicit WitnessQuorum(const WitnessSets &sets);

  /// Adds an answer; those of others than the witnesses have no effect, and the
  /// first answer of a witness counts.
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
