#include "Requests/WitnessQuorum.h"

#include <algorithm>

namespace acaciaroad::requests {

WitnessQuorum::WitnessQuorum(const WitnessSets &sets) {
  for (const std::vector<core::InstanceId> &set : sets) {
    std::vector<Member> &members = Sets.emplace_back();
    for (const core::InstanceId id : set)
      members.push_back({id, Vote::None});
  }
}

QuorumState WitnessQuorum::add(core::InstanceId witness, bool isKept) {
  for (std::vector<Member> &set : Sets)
    for (Member &it : set)
      if (it.Id == witness && it.Answer == Vote::None)
        it.Answer = isKept ? Vote::Kept : Vote::Refused;
  return state();
}

QuorumState WitnessQuorum::state() const {
  QuorumState joint = QuorumState::Reached;
  for (const std::vector<Member> &set : Sets) {
    const QuorumState own = stateOf(set);
    if (own == QuorumState::Impossible)
      return own;
    if (own == QuorumState::Open)
      joint = own;
  }
  return joint;
}

QuorumState WitnessQuorum::stateOf(const std::vector<Member> &set) {
  const auto count = [&](Vote vote) {
    return static_cast<std::size_t>(
        std::count_if(set.begin(), set.end(),
                      [&](const Member &it) { return it.Answer == vote; }));
  };
  const std::size_t majority = set.size() / 2 + 1;
  if (set.empty() || count(Vote::Kept) >= majority)
    return QuorumState::Reached;
  if (set.size() - count(Vote::Refused) < majority)
    return QuorumState::Impossible;
  return QuorumState::Open;
}

} // namespace acaciaroad::requests
