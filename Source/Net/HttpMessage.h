/// \file
/// Whole HTTP messages, as the event loop reads and writes them.

#ifndef ACACIAROAD_NET_HTTPMESSAGE_H
#define ACACIAROAD_NET_HTTPMESSAGE_H

#include <algorithm>
#include <cstddef>
#include <cstdint>
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

/// Room for a head, of which requests and answers of some hundred bytes take
/// one read each. Beast reads as much as a buffer has room for, or 512 bytes.
inline constexpr std::size_t HeadReadBytes = 2U << 10U;

/// Most that is read of a body at a time.
inline constexpr std::size_t BodyReadBytes = 16U << 10U;

/// Makes room in \p buffer for what one read should take in of the message of
/// \p parser.
template <typename Buffer, typename Parser>
void reserveForRead(Buffer &buffer, const Parser &parser) {
  std::size_t wanted = HeadReadBytes;
  if (parser.is_header_done())
    wanted = static_cast<std::size_t>(std::min<std::uint64_t>(
        BodyReadBytes,
        parser.content_length_remaining().value_or(BodyReadBytes)));
  buffer.reserve(std::min(buffer.max_size(), buffer.size() + wanted));
}

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
