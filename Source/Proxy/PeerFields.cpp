#include "Proxy/PeerFields.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <fmt/format.h>

#include "Core/Milliseconds.h"

namespace acaciaroad::proxy {

using net::toBeast;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view ServiceField = "Acacia-Service";
constexpr std::string_view ClassField = "Acacia-Class";
constexpr std::string_view RankField = "Acacia-Rank";
constexpr std::string_view KindField = "Acacia-Kind";
constexpr std::string_view TargetField = "Acacia-Target";
constexpr std::string_view OutcomeField = "Acacia-Outcome";
constexpr std::string_view LoadField = "Acacia-Load";
constexpr std::string_view HolderField = "Acacia-Holder";
/// Number of a permit for a body.
constexpr std::string_view PermitField = "Acacia-Room";
/// Size of the body that a permit is requested for.
constexpr std::string_view PermitBytesField = "Acacia-Room-Bytes";
constexpr std::array AllFields{
    ServiceField, ClassField, RankField,   KindField,   TargetField,
    OutcomeField, LoadField,  HolderField, PermitField, PermitBytesField};

void set(net::HttpFields &fields, std::string_view name,
         std::string_view value) {
  fields.set(toBeast(name), toBeast(value));
}

/// Parses comma-separated numbers; missing ones stay 0.
template <std::size_t N>
std::array<std::int64_t, N> parseNumbers(std::string_view text) {
  std::array<std::int64_t, N> out{};
  const char *at = text.data();
  const char *end = at + text.size();
  for (std::int64_t &it : out) {
    const auto [next, ec] = std::from_chars(at, end, it);
    if (ec != std::errc() || next == end)
      break;
    at = next + 1;
  }
  return out;
}

} // namespace

void writeForward(net::HttpFields &fields, const ForwardFields &forward) {
  set(fields, ServiceField, forward.Service);
  set(fields, ClassField, forward.WorkClass);
  set(fields, RankField, fmt::to_string(forward.Rank));
  set(fields, KindField, fmt::to_string(static_cast<int>(forward.Kind)));
  set(fields, TargetField,
      fmt::to_string(core::toMilliseconds(forward.TargetLeft)));
}

ForwardFields readForward(const net::HttpFields &fields) {
  ForwardFields out;
  out.Service = net::fieldOf(fields, ServiceField);
  out.WorkClass = net::fieldOf(fields, ClassField);
  out.Rank = static_cast<std::int32_t>(
      parseNumbers<1>(net::fieldOf(fields, RankField))[0]);
  const auto kind = parseNumbers<1>(net::fieldOf(fields, KindField))[0];
  if (kind == static_cast<int>(routing::WorkKind::Idempotent) &&
      !net::fieldOf(fields, KindField).empty())
    out.Kind = routing::WorkKind::Idempotent;
  out.TargetLeft =
      milliseconds(parseNumbers<1>(net::fieldOf(fields, TargetField))[0]);
  return out;
}

void writeOutcome(net::HttpFields &fields, const ForwardOutcome &outcome) {
  set(fields, OutcomeField,
      fmt::format("{},{},{},{}", static_cast<int>(outcome.Outcome),
                  static_cast<int>(outcome.Reason),
                  static_cast<int>(outcome.ReachedUpstream),
                  core::toMilliseconds(outcome.RetryAfter)));
  set(fields, LoadField,
      fmt::format("{},{},{}", outcome.Load.InFlight, outcome.Load.Queued,
                  outcome.Load.Limit));
  if (!outcome.Holder.empty())
    set(fields, HolderField, outcome.Holder);
}

ForwardOutcome readOutcome(const net::HttpFields &fields) {
  ForwardOutcome out;
  const std::string_view text = net::fieldOf(fields, OutcomeField);
  if (text.empty()) {
    out.ReachedUpstream = true;
    return out;
  }
  const auto [outcome, reason, reached, ms] = parseNumbers<4>(text);
  if (outcome >= 0 &&
      outcome <= static_cast<int>(requests::AttemptOutcome::Answered))
    out.Outcome = static_cast<requests::AttemptOutcome>(outcome);
  if (reason >= 0 && static_cast<std::size_t>(reason) < core::ErrorKindCount)
    out.Reason = static_cast<core::ErrorKind>(reason);
  out.ReachedUpstream = reached != 0;
  out.RetryAfter = std::chrono::milliseconds(ms);
  out.Holder = net::fieldOf(fields, HolderField);
  const auto [running, waiting, limit] =
      parseNumbers<3>(net::fieldOf(fields, LoadField));
  out.Load = {static_cast<std::uint32_t>(running),
              static_cast<std::uint32_t>(waiting),
              static_cast<std::uint32_t>(limit)};
  return out;
}

net::HttpRequest makePermitRequest(std::uint64_t bytes) {
  net::HttpRequest out(net::http::verb::get, "/", 11);
  set(out, PermitBytesField, fmt::to_string(bytes));
  return out;
}

std::optional<std::uint64_t>
readPermitRequest(const net::HttpRequest &request) {
  const std::string_view text = net::fieldOf(request, PermitBytesField);
  if (text.empty())
    return std::nullopt;
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, parseNumbers<1>(text)[0]));
}

void writePermit(net::HttpFields &fields, std::uint64_t number) {
  set(fields, PermitField, fmt::to_string(number));
}

std::uint64_t readPermit(const net::HttpFields &fields) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(
      0, parseNumbers<1>(net::fieldOf(fields, PermitField))[0]));
}

void erasePeerFields(net::HttpFields &fields) {
  for (const std::string_view it : AllFields)
    fields.erase(toBeast(it));
}

} // namespace acaciaroad::proxy
