#include "Node/EntryService.h"

#include <random>
#include <utility>

#include <fmt/format.h>

#include "Node/RequestRun.h"

namespace acaciaroad::node {

namespace {

std::string newRequestId() {
  thread_local std::mt19937_64 engine(core::randomId());
  return fmt::format("{:016x}{:016x}", engine(), engine());
}

} // namespace

void EntryService::handle(const Caller &caller) {
  const core::TimePoint start = Parts.Now();
  const std::string requestId = newRequestId();
  auto accepted = accept(caller, requestId);
  if (!accepted) {
    wire::ForwardHead head;
    head.RequestId = requestId;
    refuse(caller, head, accepted.error());
    return;
  }
  RequestSummary summary;
  summary.Account = accepted->Head.Account;
  summary.WorkClass = accepted->Head.WorkClass;
  if (auto credit = Parts.Credit->take(accepted->Head.Account); !credit) {
    refuse(caller, accepted->Head, credit.error());
    summary.Refusal = credit.error().Kind;
    Parts.OnEnded(summary);
    return;
  }
  Parts.Decisions->admit(requestId, accepted->Head.Account, accepted->KeyId);
  RequestRun run(Parts, caller, std::move(*accepted), start);
  const auto status = run.run();
  summary.Latency = Parts.Now() - start;
  summary.BytesIn = run.bytesIn();
  summary.BytesOut = run.bytesOut();
  if (status)
    Parts.Decisions->answer(run.head(), *status, summary.Latency);
  else
    summary.Refusal = status.error().Kind;
  if (!status && status.error().Kind != core::ErrorKind::AnswerIncomplete)
    refuse(caller, run.head(), status.error());
  Parts.OnEnded(summary);
}

core::Result<AcceptedRequest>
EntryService::accept(const Caller &caller, const std::string &requestId) {
  const auto view = Parts.View->load();
  if (view->Ownership->isIsolated(Parts.Now()))
    return core::fail(core::ErrorKind::NodeIsolated);
  return acceptRequest(*view->Configuration, caller.Request, requestId);
}

void EntryService::refuse(const Caller &caller, const wire::ForwardHead &head,
                          const core::Error &error) {
  Parts.Decisions->refuse(head.RequestId, head.Account, head.WorkClass, error);
  caller.Refuse(error, head.RequestId);
}

} // namespace acaciaroad::node
