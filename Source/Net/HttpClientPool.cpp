#include "Net/HttpClientPool.h"

#include <utility>

namespace acaciaroad::net {

HttpClientPool::HttpClientPool(boost::asio::io_context &loop,
                               ClientOptions options)
    : Loop(loop), Options(std::move(options)) {}

std::shared_ptr<HttpClient>
HttpClientPool::clientFor(const core::Endpoint &server) {
  auto &out = Clients[server];
  if (!out)
    out = HttpClient::create(Loop, server, Options);
  return out;
}

void HttpClientPool::retire(const core::Endpoint &server) {
  const auto it = Clients.find(server);
  if (it == Clients.end())
    return;
  it->second->retire();
  Clients.erase(it);
}

void HttpClientPool::keepOnly(const std::set<core::Endpoint> &servers) {
  std::erase_if(Clients, [&](const auto &it) {
    if (servers.contains(it.first)) {
      it.second->closeStale();
      return false;
    }
    it.second->retire();
    return true;
  });
}

} // namespace acaciaroad::net
