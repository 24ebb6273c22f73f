#include "Node/ForwardAdapter.h"

#include <array>
#include <optional>
#include <string>
#include <utility>

namespace acaciaroad::node {

namespace {

/// Sends an answer down a call. The head waits for the first bytes of the body,
/// so that a small answer costs one message.
class CallSink {
public:
  explicit CallSink(wire::ForwardCall &call) : Call(call) {}

  AnswerSink sink() {
    AnswerSink out;
    out.OnHead = [this](const wire::AnswerHead &head) -> core::Result<void> {
      Head = head;
      return {};
    };
    out.OnBody = [this](std::span<const std::byte> bytes) {
      return onBody(bytes);
    };
    return out;
  }

  /// Ends the answer.
  core::Result<void> finish() {
    if (!Head)
      return Call.finishBody();
    const wire::AnswerHead head = *std::exchange(Head, std::nullopt);
    return Call.answerHead(head, {}, true);
  }

private:
  bool isWhole(std::span<const std::byte> bytes) const {
    return Head->Body == wire::BodyMode::Sized &&
           Head->BodyLength == bytes.size();
  }

  core::Result<void> onBody(std::span<const std::byte> bytes) {
    if (IsComplete)
      return {};
    if (!Head)
      return Call.write(bytes, Call.deadline());
    const auto first =
        bytes.first(std::min(bytes.size(), wire::ChunkLimitBytes));
    IsComplete = isWhole(first);
    const wire::AnswerHead head = *std::exchange(Head, std::nullopt);
    if (auto sent = Call.answerHead(head, first, IsComplete); !sent)
      return sent;
    return Call.write(bytes.subspan(first.size()), Call.deadline());
  }

  wire::ForwardCall &Call;
  std::optional<wire::AnswerHead> Head;
  bool IsComplete = false;
};

wire::BodyMode toBodyMode(http::Framing framing) {
  switch (framing) {
  case http::Framing::None:
    return wire::BodyMode::None;
  case http::Framing::Sized:
    return wire::BodyMode::Sized;
  case http::Framing::Chunked:
  case http::Framing::UntilClose:
    break;
  }
  return wire::BodyMode::Chunked;
}

core::Result<void> begin(http::Exchange &exchange,
                         const wire::AnswerHead &head) {
  std::optional<std::uint64_t> length;
  if (head.Body == wire::BodyMode::Sized)
    length = head.BodyLength;
  if (head.Body == wire::BodyMode::None)
    length = 0;
  return exchange.begin(head.Status, head.Headers, length);
}

} // namespace

void serveCall(OrderService &service,
               const std::shared_ptr<wire::ForwardCall> &call) {
  OrderRequest request;
  request.Head = call->head();
  request.Deadline = call->deadline();
  request.Body = [&](std::span<std::byte> out) {
    return call->read(out, call->deadline());
  };
  request.Cancelled = [&](std::function<void()> hook) {
    call->setOnCancelled(std::move(hook));
  };
  CallSink answer(*call);
  const auto served = service.serve(request, answer.sink());
  call->setOnCancelled(nullptr);
  if (served)
    (void)answer.finish();
  else
    call->refuse(served.error());
}

void serveExchange(EntryService &service,
                   const std::shared_ptr<http::Exchange> &exchange) {
  Caller caller;
  caller.Request.Method = exchange->method();
  caller.Request.Target = exchange->target();
  caller.Request.Headers = exchange->headers();
  caller.Request.Body = toBodyMode(exchange->bodyFraming());
  caller.Request.BodyLength = exchange->contentLength().value_or(0);
  caller.Body = [&](std::span<std::byte> out) {
    return exchange->readBody(out);
  };
  caller.Begin = [&](const wire::AnswerHead &head) {
    return begin(*exchange, head);
  };
  caller.Write = [&](std::span<const std::byte> bytes) {
    return exchange->write(bytes);
  };
  caller.End = [&] { return exchange->end(); };
  caller.Abort = [&] { exchange->abort(); };
  caller.Refuse = [&](const core::Error &error, std::string_view requestId) {
    exchange->refuse(error, requestId);
  };
  caller.IsGone = [&] { return exchange->isCallerGone(); };
  service.handle(caller);
}

} // namespace acaciaroad::node
