#include "Programs/StandinUpstream/OrderHeaders.h"

#include <cstdint>

#include "Core/ParseNumber.h"

namespace acaciaroad::standinupstream {

namespace {

template <typename T>
std::optional<T> numberOf(const httplib::Request &request, const char *name) {
  return core::parseNumber<T>(request.get_header_value(name));
}

std::optional<core::TimePoint> timeOf(const httplib::Request &request,
                                      const char *name) {
  const auto ns = numberOf<std::int64_t>(request, name);
  if (!ns)
    return std::nullopt;
  return core::fromNanoseconds(*ns);
}

} // namespace

OrderHeaders readOrderHeaders(const httplib::Request &request) {
  OrderHeaders out;
  out.RequestId = request.get_header_value("X-Request-Id");
  out.IdempotencyKey = request.get_header_value("Idempotency-Key");
  out.HasAuthorization = request.has_header("Authorization");
  out.Deadline = timeOf(request, "X-Acacia-Deadline-Ns");
  const std::string slice = request.get_header_value("X-Acacia-Slice");
  if (slice.empty())
    return out;
  // A grant without epoch or expiry is the lowest one, and long over.
  out.Slice = Grant{
      slice, numberOf<core::Epoch>(request, "X-Acacia-Epoch").value_or(0),
      timeOf(request, "X-Acacia-Grant-Expiry-Ns").value_or(core::TimePoint{})};
  return out;
}

} // namespace acaciaroad::standinupstream
