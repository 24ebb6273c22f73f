#include "Net/HttpMessage.h"

#include <vector>

#include <boost/beast/http/rfc7230.hpp>

namespace acaciaroad::net {

void eraseConnectionFields(HttpFields &fields) {
  std::vector<std::string> named;
  for (const auto &it : http::token_list(fields[http::field::connection]))
    named.emplace_back(it);
  for (const auto &it : named)
    fields.erase(toBeast(it));
  for (const auto it :
       {http::field::connection, http::field::keep_alive,
        http::field::proxy_connection, http::field::te, http::field::trailer,
        http::field::transfer_encoding, http::field::upgrade,
        http::field::expect, http::field::content_length})
    fields.erase(it);
}

bool isSendable(const HttpRequest &request) {
  return request.method() != http::verb::trace || request.body().empty();
}

boost::asio::ip::tcp::endpoint toSocketAddress(const core::Endpoint &endpoint) {
  return {boost::asio::ip::make_address(endpoint.Host), endpoint.Port};
}

} // namespace acaciaroad::net
