#include "Proxy/TrafficView.h"

#include <algorithm>

namespace acaciaroad::proxy {

const holdings::Holding *findHolding(std::span<const holdings::Holding> rows,
                                     holdings::Key key) {
  const auto it =
      std::lower_bound(rows.begin(), rows.end(), key,
                       [](const holdings::Holding &row, holdings::Key k) {
                         return row.Keys.To < k;
                       });
  if (it == rows.end() || !it->Keys.contains(key))
    return nullptr;
  return &*it;
}

const Peer *findPeer(const ServiceView &service, std::string_view node) {
  const auto it =
      std::find_if(service.Peers.begin(), service.Peers.end(),
                   [&](const Peer &peer) { return peer.Name == node; });
  return it == service.Peers.end() ? nullptr : &*it;
}

} // namespace acaciaroad::proxy
