#include "Node/PeerDirectory.h"

namespace acaciaroad::node {

void PeerDirectory::learn(core::InstanceId id, std::string_view address) {
  const auto [it, isNew] = Learned.insert_or_assign(id, std::string(address));
  if (!isNew)
    return;
  ByAge.push_back(id);
  if (ByAge.size() <= MaxLearned)
    return;
  Learned.erase(ByAge.front());
  ByAge.pop_front();
}

std::optional<std::string>
PeerDirectory::addressOf(core::InstanceId id,
                         const ownership::FleetMap &map) const {
  const ownership::InstanceState *state = map.instance(id);
  if (state != nullptr && state->Info)
    return state->Info->PeerAddress;
  const auto it = Learned.find(id);
  if (it == Learned.end())
    return std::nullopt;
  return it->second;
}

} // namespace acaciaroad::node
