/// \file
/// A numeric address and port.

#ifndef ACACIAROAD_CORE_ENDPOINT_H
#define ACACIAROAD_CORE_ENDPOINT_H

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "Core/Error.h"

namespace acaciaroad::core {

/// Where a process listens: an IP number and a port. Names are refused, since
/// no instance resolves any.
struct Endpoint {
  /// IPv4 or IPv6 number, without brackets.
  std::string Host;
  /// 0 lets the operating system choose when listening.
  std::uint16_t Port = 0;
  bool operator==(const Endpoint &) const = default;
  // clang-tidy 14 takes the 0 in rewritten comparisons for a pointer.
  auto operator<=>(const Endpoint &) const = default; // NOLINT
};

/// Parses "ip:port" or "[ip]:port". Fails with InvalidArgument.
Result<Endpoint> parseEndpoint(std::string_view text);

/// Whether one host and port are named that a message can be sent to: neither
/// port 0 nor an unspecified, multicast or broadcast address.
bool namesHost(const Endpoint &endpoint);

/// Inverse of parseEndpoint.
std::string toString(const Endpoint &endpoint);

} // namespace acaciaroad::core

#endif
