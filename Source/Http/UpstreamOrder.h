/// \file
/// What is sent to an upstream, and who takes its answer.

#ifndef ACACIAROAD_HTTP_UPSTREAMORDER_H
#define ACACIAROAD_HTTP_UPSTREAMORDER_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Http/HeadCheck.h"

namespace acaciaroad::http {

/// Gives the next bytes of a body, 0 at its end.
using BodySource =
    std::function<core::Result<std::size_t>(std::span<std::byte> out)>;

/// One request to an upstream.
struct UpstreamOrder {
  std::string Method;
  std::string Target;
  /// Without hop-by-hop headers and Content-Length.
  std::vector<Header> Headers;
  /// Empty for an order without a body.
  BodySource Body;
  /// Bytes of the body; it goes in chunks if not known.
  std::optional<std::uint64_t> BodyLength;
  core::TimePoint Deadline;
};

/// Takes an answer as it comes. An error ends the order and is returned.
struct UpstreamSinks {
  std::function<core::Result<void>(const ResponseHead &head)> OnHead;
  std::function<core::Result<void>(std::span<const std::byte> bytes)> OnBody;
};

} // namespace acaciaroad::http

#endif
