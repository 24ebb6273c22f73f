#include "Node/UpstreamLink.h"

#include <algorithm>
#include <array>
#include <utility>

#include <fmt/format.h>

#include "Core/Endpoint.h"
#include "Core/Identifiers.h"

namespace acaciaroad::node {

using core::ErrorKind;

namespace {

/// The header in which an upstream says that it has not run an order.
constexpr std::string_view NotRunHeader = "X-Acacia-Not-Run";

/// Reasons in NotRunHeader and what the caller is told.
struct NotRunReason {
  std::string_view Value;
  ErrorKind Kind;
};
constexpr std::array<NotRunReason, 3> NotRunReasons{{
    {"shedding", ErrorKind::UpstreamShedding},
    {"stale_grant", ErrorKind::OwnerChanged},
    {"deadline", ErrorKind::DeadlineTooShort},
}};

ErrorKind kindOfNotRun(std::string_view reason) {
  for (const NotRunReason &it : NotRunReasons)
    if (it.Value == reason)
      return it.Kind;
  return ErrorKind::UpstreamShedding;
}

void addHeader(std::vector<core::Header> &headers, std::string_view name,
               std::string value) {
  headers.push_back({std::string(name), std::move(value)});
}

std::vector<core::Header> headersOf(const Order &order) {
  std::vector<core::Header> out = order.Head.Headers;
  addHeader(out, "X-Request-Id", order.Head.RequestId);
  if (!order.Head.IdempotencyKey.empty())
    addHeader(out, "Idempotency-Key", order.Head.IdempotencyKey);
  addHeader(out, "X-Acacia-Deadline-Ns",
            fmt::to_string(core::toNanoseconds(order.Deadline)));
  if (!order.Grant)
    return out;
  addHeader(out, "X-Acacia-Slice", core::toString(order.Grant->Slice));
  addHeader(out, "X-Acacia-Epoch", fmt::to_string(order.Grant->Epoch));
  addHeader(out, "X-Acacia-Grant-Expiry-Ns",
            fmt::to_string(core::toNanoseconds(order.Grant->Expiry)));
  return out;
}

wire::AnswerHead toAnswerHead(const http::ResponseHead &head) {
  wire::AnswerHead out;
  out.Status = head.Status;
  out.Headers = head.Headers;
  out.BodyLength = head.BodyLength;
  switch (head.Body) {
  case http::Framing::None:
    out.Body = wire::BodyMode::None;
    break;
  case http::Framing::Sized:
    out.Body = wire::BodyMode::Sized;
    break;
  case http::Framing::Chunked:
  case http::Framing::UntilClose:
    out.Body = wire::BodyMode::Chunked;
    break;
  }
  return out;
}

/// Passes an answer on, unless the upstream says that it has not run the order.
struct AnswerFilter {
  const AnswerSink &To;
  std::optional<ErrorKind> NotRun;
  bool HasBegun = false;

  core::Result<void> onHead(const http::ResponseHead &head) {
    if (const auto reason = http::findHeader(head.Headers, NotRunHeader)) {
      NotRun = kindOfNotRun(*reason);
      return {};
    }
    HasBegun = true;
    return To.OnHead(toAnswerHead(head));
  }

  core::Result<void> onBody(std::span<const std::byte> bytes) {
    if (NotRun)
      return {};
    return To.OnBody(bytes);
  }
};

/// Whether the client fails with \p kind only before any byte was sent.
bool isBeforeSending(ErrorKind kind) {
  return kind == ErrorKind::NoUpstream || kind == ErrorKind::QueueFull ||
         kind == ErrorKind::DeadlineTooShort;
}

OrderOutcome outcomeOf(const AnswerFilter &filter,
                       const core::Result<void> &result) {
  if (filter.NotRun)
    return {OrderEnd::NotRun, *filter.NotRun};
  if (result)
    return {OrderEnd::Answered, ErrorKind::Internal};
  const ErrorKind kind = result.error().Kind;
  if (filter.HasBegun)
    return {OrderEnd::CutShort, ErrorKind::AnswerIncomplete};
  if (isBeforeSending(kind))
    return {OrderEnd::NotSent, kind};
  const bool saysNotRun = core::answerFor(kind).HasRan == core::Ran::No;
  return {OrderEnd::NoAnswer, saysNotRun ? ErrorKind::OutcomeUnknown : kind};
}

} // namespace

void UpstreamLink::setConnectionLimit(std::size_t limit) {
  const std::lock_guard lock(Mutex);
  if (limit == ConnectionLimit)
    return;
  ConnectionLimit = std::max<std::size_t>(limit, 1);
  Client.reset();
}

core::Result<std::shared_ptr<http::UpstreamClient>>
UpstreamLink::clientOf(std::string_view address) {
  const std::lock_guard lock(Mutex);
  if (Client && address == Address)
    return Client;
  const auto endpoint = core::parseEndpoint(address);
  if (!endpoint)
    return tl::unexpected(endpoint.error());
  http::UpstreamClientOptions options;
  options.Host = endpoint->Host;
  options.Port = endpoint->Port;
  options.ConnectionLimit = ConnectionLimit;
  Client = std::make_shared<http::UpstreamClient>(options);
  Address = address;
  return Client;
}

OrderOutcome UpstreamLink::send(std::string_view address, const Order &order,
                                const AnswerSink &sink) {
  const auto client = clientOf(address);
  if (!client)
    return {OrderEnd::NotSent, ErrorKind::NoUpstream};
  http::UpstreamOrder out;
  out.Method = order.Head.Method;
  out.Target = order.Head.Target;
  out.Headers = headersOf(order);
  out.Deadline = order.Deadline;
  if (order.Head.Body != wire::BodyMode::None)
    out.Body = order.Body;
  if (order.Head.Body == wire::BodyMode::Sized)
    out.BodyLength = order.Head.BodyLength;
  AnswerFilter filter{sink, std::nullopt};
  http::UpstreamSinks sinks;
  sinks.OnHead = [&](const http::ResponseHead &head) {
    return filter.onHead(head);
  };
  sinks.OnBody = [&](std::span<const std::byte> bytes) {
    return filter.onBody(bytes);
  };
  const auto cancel = std::make_shared<http::CancelToken>();
  if (order.Cancelled)
    order.Cancelled([cancel] { cancel->cancel(); });
  return outcomeOf(filter, (*client)->execute(out, sinks, *cancel));
}

http::UpstreamClientCounters UpstreamLink::counters() const {
  const std::lock_guard lock(Mutex);
  return Client ? Client->counters() : http::UpstreamClientCounters{};
}

} // namespace acaciaroad::node
