#include "Core/Endpoint.h"

#include <array>
#include <cstring>

#include <arpa/inet.h>

#include "Core/ParseNumber.h"

namespace acaciaroad::core {

namespace {

bool isNumber(int family, const std::string &host) {
  in6_addr buf{};
  return host.find('\0') == std::string::npos &&
         inet_pton(family, host.c_str(), &buf) == 1;
}

} // namespace

Result<Endpoint> parseEndpoint(std::string_view text) {
  const auto malformed = [&] {
    return fail(ErrorKind::InvalidArgument,
                "'" + std::string(text) + "' is not of the form ip:port");
  };
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return malformed();
  Endpoint out;
  std::string_view host = text.substr(0, colon);
  const bool isBracketed =
      host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (isBracketed)
    host = host.substr(1, host.size() - 2);
  out.Host = host;
  if (!isNumber(isBracketed ? AF_INET6 : AF_INET, out.Host))
    return malformed();
  const auto port = parseNumber<std::uint16_t>(text.substr(colon + 1));
  if (!port)
    return malformed();
  out.Port = *port;
  return out;
}

bool namesHost(const Endpoint &endpoint) {
  constexpr unsigned char FirstMulticast = 224;
  constexpr unsigned char MulticastV6 = 0xff;
  constexpr in6_addr Unspecified = IN6ADDR_ANY_INIT;
  if (endpoint.Port == 0)
    return false;
  std::array<unsigned char, sizeof(in6_addr)> buf{};
  if (inet_pton(AF_INET, endpoint.Host.c_str(), buf.data()) == 1)
    return buf.front() != 0 && buf.front() < FirstMulticast;
  return inet_pton(AF_INET6, endpoint.Host.c_str(), buf.data()) == 1 &&
         buf.front() != MulticastV6 &&
         std::memcmp(buf.data(), &Unspecified, buf.size()) != 0;
}

std::string toString(const Endpoint &endpoint) {
  const bool isV6 = endpoint.Host.find(':') != std::string::npos;
  const std::string host = isV6 ? "[" + endpoint.Host + "]" : endpoint.Host;
  return host + ":" + std::to_string(endpoint.Port);
}

} // namespace acaciaroad::core
