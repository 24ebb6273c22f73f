/// \file
/// Whole HTTP messages, as the event loop reads and writes them.

#ifndef ACACIAROAD_NET_HTTPMESSAGE_H
#define ACACIAROAD_NET_HTTPMESSAGE_H

#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "Core/Endpoint.h"

namespace acaciaroad::net {

namespace http = boost::beast::http;

using HttpFields = http::fields;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/// Converts without a copy; Beast has a string_view of its own.
inline std::string_view toView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}
inline boost::beast::string_view toBeast(std::string_view text) {
  return {text.data(), text.size()};
}

/// What is read of a message before it is parsed. HttpFields throws for a name
/// or value that doesn't fit into 16 bits, wherever in the message it stands.
class MessageBuffer : public boost::beast::flat_buffer {
public:
  static constexpr std::size_t MostBytes = 65'535;

  MessageBuffer() : basic_flat_buffer(MostBytes) {}
};

/// Returns the value of the field \p name, or nothing at all.
inline std::string_view fieldOf(const HttpFields &fields,
                                std::string_view name) {
  const auto it = fields.find(toBeast(name));
  return it == fields.end() ? std::string_view() : toView(it->value());
}

/// Removes the fields that concern one connection, and those that Connection
/// names (RFC 9110, section 7.6.1), with the length of the body.
void eraseConnectionFields(HttpFields &fields);

/// Whether HttpClient can send \p request; a TRACE has no body (RFC 9110,
/// section 9.3.8).
bool isSendable(const HttpRequest &request);

/// Converts an address that parseEndpoint accepted.
boost::asio::ip::tcp::endpoint toSocketAddress(const core::Endpoint &endpoint);

} // namespace acaciaroad::net

#endif
