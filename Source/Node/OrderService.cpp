#include "Node/OrderService.h"

#include <algorithm>
#include <string>
#include <utility>

#include "Codec/StoredAnswer.h"

namespace acaciaroad::node {

using configuration::Execution;
using configuration::KeySource;
using configuration::WorkClass;
using ownership::Grant;

namespace {

/// Answers up to this size are kept for a repeated at-most-once request.
constexpr std::size_t LargestStoredBody = 3072;

/// Time that an order must have left; a shorter one would only be cut off.
constexpr std::chrono::milliseconds ShortestOrder{1};

upstream::Outcome toOutcome(const OrderOutcome &outcome) {
  switch (outcome.End) {
  case OrderEnd::Answered:
    return upstream::Outcome::Ok;
  case OrderEnd::NotRun:
    return outcome.Reason == core::ErrorKind::UpstreamShedding
               ? upstream::Outcome::Shed
               : upstream::Outcome::Cancelled;
  case OrderEnd::NotSent:
  case OrderEnd::NoAnswer:
  case OrderEnd::CutShort:
    break;
  }
  return upstream::Outcome::Failed;
}

std::string_view toString(OrderEnd end) {
  switch (end) {
  case OrderEnd::Answered:
    return "answered";
  case OrderEnd::NotSent:
    return "not_sent";
  case OrderEnd::NotRun:
    return "not_run";
  case OrderEnd::NoAnswer:
    return "no_answer";
  case OrderEnd::CutShort:
    break;
  }
  return "cut_short";
}

/// Passes an answer on and keeps a copy of it while it is small.
class AnswerRecorder {
public:
  explicit AnswerRecorder(const AnswerSink &sink) : Sink(sink) {}

  AnswerSink sink() {
    AnswerSink out;
    out.OnHead = [this](const wire::AnswerHead &head) {
      Answer.Head = head;
      return Sink.OnHead(head);
    };
    out.OnBody = [this](std::span<const std::byte> bytes) {
      record(bytes);
      return Sink.OnBody(bytes);
    };
    return out;
  }

  /// Returns the encoded answer; empty if it is too large to be kept.
  std::string encoded() const { return IsWhole ? codec::encode(Answer) : ""; }

private:
  void record(std::span<const std::byte> bytes) {
    IsWhole = IsWhole && Answer.Body.size() + bytes.size() <= LargestStoredBody;
    if (IsWhole)
      Answer.Body.append(reinterpret_cast<const char *>(bytes.data()),
                         bytes.size());
  }

  const AnswerSink &Sink;
  codec::StoredAnswer Answer;
  bool IsWhole = true;
};

core::Result<void> replay(std::string_view stored, const AnswerSink &sink) {
  auto answer = codec::decodeStoredAnswer(stored);
  if (!answer)
    return core::fail(core::ErrorKind::DuplicateRequest);
  answer->Head.Body = wire::BodyMode::Sized;
  answer->Head.BodyLength = answer->Body.size();
  if (auto sent = sink.OnHead(answer->Head); !sent)
    return sent;
  return sink.OnBody(std::as_bytes(std::span(answer->Body)));
}

std::uint64_t fingerprintOf(const wire::ForwardHead &head) {
  return core::hashOf(head.Target, core::hashOf(head.Method, head.BodyLength));
}

} // namespace

core::Result<void> OrderService::serve(const OrderRequest &request,
                                       const AnswerSink &sink) {
  const auto view = Parts.View->load();
  const WorkClass *workClass =
      view->Configuration->findClassByName(request.Head.WorkClass);
  if (workClass == nullptr)
    return core::fail(core::ErrorKind::UnknownClass);
  Work work{request, sink, workClass->ExecutionMode == Execution::AtMostOnce,
            workClass->Key != KeySource::None, std::nullopt};
  if (work.IsAtMostOnce || work.IsFenced)
    work.Slice = request.Head.SliceIndex;
  const auto early = checkOwnership(*view, work, Parts.Now());
  if (!early)
    return tl::unexpected(early.error());
  if (*early)
    work.Slice = (*early)->Slice.Index;
  auto permit = Parts.Gate->acquire(
      PermitRequest{request.Head.Account, request.Head.WorkClass,
                    request.Deadline, work.Slice});
  if (!permit)
    return tl::unexpected(permit.error());
  return run(work, std::move(*permit));
}

core::Result<std::optional<Grant>>
OrderService::checkOwnership(const NodeView &view, const Work &work,
                             core::TimePoint now) const {
  if (view.Ownership->isIsolated(now))
    return core::fail(core::ErrorKind::NodeIsolated);
  if (!work.Slice) {
    if (auto takes = checkTakesWork(view); !takes)
      return tl::unexpected(takes.error());
    return std::nullopt;
  }
  const wire::ForwardHead &head = work.Request.Head;
  const auto grant = view.Ownership->mayServe(head.Service, head.KeyHash, now);
  if (!grant)
    return tl::unexpected(grant.error());
  return *grant;
}

core::Result<void> OrderService::checkTakesWork(const NodeView &view) const {
  const auto upstream = Parts.Gate->upstream();
  if (!upstream)
    return core::fail(core::ErrorKind::NoUpstream);
  const auto eligible = view.Ownership->fleet().eligible(upstream->Service);
  if (!std::binary_search(eligible.begin(), eligible.end(),
                          view.Ownership->self()))
    return core::fail(core::ErrorKind::NoUpstream, "takes no new work");
  return {};
}

core::Result<void> OrderService::run(const Work &work, Permit permit) {
  // The wait for the permit may have lasted: a slice that moved away meanwhile
  // is noticed here, and one that moves from now on waits for the permit.
  const auto view = Parts.View->load();
  const auto grant = checkOwnership(*view, work, Parts.Now());
  if (!grant) {
    permit.finish(upstream::Outcome::Cancelled, core::Duration::zero());
    return tl::unexpected(grant.error());
  }
  if (work.IsAtMostOnce)
    return runOnce(work, **grant, std::move(permit));
  const OrderOutcome outcome = send(work, *grant, work.Sink, std::move(permit));
  if (outcome.End == OrderEnd::Answered)
    return {};
  return core::fail(outcome.Reason);
}

core::Result<void> OrderService::runOnce(const Work &work, const Grant &grant,
                                         Permit permit) {
  const wire::ForwardHead &head = work.Request.Head;
  requests::IdempotentRequest request;
  request.Slice = grant.Slice;
  request.Epoch = grant.Epoch;
  request.Id = requests::IdempotencyId::of(head.Account, head.IdempotencyKey);
  request.Fingerprint = fingerprintOf(head);
  const auto ticket = Parts.Idempotency->begin(request, work.Request.Deadline);
  if (!ticket || ticket->Replay)
    permit.finish(upstream::Outcome::Cancelled, core::Duration::zero());
  if (!ticket)
    return tl::unexpected(ticket.error());
  if (ticket->Replay)
    return replay(*ticket->Replay, work.Sink);
  // The witnesses' answers took time as well.
  const auto view = Parts.View->load();
  const auto still = checkOwnership(*view, work, Parts.Now());
  if (!still) {
    permit.finish(upstream::Outcome::Cancelled, core::Duration::zero());
    Parts.Idempotency->notRun(ticket->Id);
    return tl::unexpected(still.error());
  }
  AnswerRecorder recorder(work.Sink);
  const OrderOutcome outcome =
      send(work, *still, recorder.sink(), std::move(permit));
  if (outcome.End == OrderEnd::Answered)
    Parts.Idempotency->completed(ticket->Id, recorder.encoded());
  else if (outcome.End == OrderEnd::NotSent || outcome.End == OrderEnd::NotRun)
    Parts.Idempotency->notRun(ticket->Id);
  else
    Parts.Idempotency->outcomeUnknown(ticket->Id);
  if (outcome.End == OrderEnd::Answered)
    return {};
  return core::fail(outcome.Reason);
}

OrderOutcome OrderService::send(const Work &work,
                                const std::optional<Grant> &owned,
                                const AnswerSink &sink, Permit permit) {
  const std::optional<Grant> grant = work.IsFenced ? owned : std::nullopt;
  const wire::ForwardHead &head = work.Request.Head;
  const auto upstream = Parts.Gate->upstream();
  const core::TimePoint start = Parts.Now();
  // A check may be followed by a pause: the order carries the end of the grant,
  // so that an upstream can refuse one that comes late.
  core::TimePoint deadline = work.Request.Deadline;
  if (grant)
    deadline = std::min(deadline, grant->Expiry);
  OrderOutcome outcome;
  if (!upstream) {
    outcome.Reason = core::ErrorKind::NoUpstream;
  } else if (deadline < start + ShortestOrder) {
    outcome.Reason = core::ErrorKind::DeadlineTooShort;
  } else {
    Parts.Decisions->order(head, owned);
    outcome = Parts.Send(
        upstream->Address,
        Order{head, deadline, grant, work.Request.Body, work.Request.Cancelled},
        sink);
    Parts.Decisions->orderEnd(head, toString(outcome.End));
  }
  permit.finish(toOutcome(outcome), Parts.Now() - start);
  return outcome;
}

} // namespace acaciaroad::node
