#include "Node/RequestRun.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace acaciaroad::node {

using requests::AttemptOutcome;
using requests::NextStep;
using requests::Step;

namespace {

/// A body up to this size is kept for further attempts.
constexpr std::size_t PrefixBytes = wire::ChunkLimitBytes;

/// How often a request that waits looks whether its caller is still there.
constexpr std::chrono::milliseconds CallerCheckInterval{100};

/// Longest wait for a new view before the owner is tried again.
constexpr std::chrono::milliseconds OwnerRetryInterval{50};

/// Whether the order of a request refused with \p reason met no upstream at
/// all, so that trying again as soon as ownership is settled costs nothing.
bool isOwnershipInMotion(core::ErrorKind reason) {
  switch (reason) {
  case core::ErrorKind::NoOwner:
  case core::ErrorKind::OwnerChanged:
  case core::ErrorKind::PeerUnreachable:
  case core::ErrorKind::NodeIsolated:
  case core::ErrorKind::NodeStopping:
    return true;
  default:
    return false;
  }
}

AttemptOutcome outcomeOf(core::ErrorKind reason) {
  if (reason == core::ErrorKind::PeerUnreachable)
    return AttemptOutcome::NotSent;
  if (core::answerFor(reason).HasRan == core::Ran::No)
    return AttemptOutcome::RefusedNotRun;
  return AttemptOutcome::SentNoAnswer;
}

} // namespace

RequestRun::RequestRun(const EntryServiceParts &parts, const Caller &caller,
                       AcceptedRequest request, core::TimePoint start)
    : Parts(parts), From(caller), Request(std::move(request)), Start(start),
      Deadline(start + Request.Class.Deadline) {}

core::Result<int> RequestRun::run() {
  auto traffic = Parts.Traffic->ofClass(Request.Class, Start);
  if (!traffic)
    return tl::unexpected(traffic.error());
  Class = *traffic;
  auto service = Parts.Traffic->ofService(Request.Class.Service);
  if (!service)
    return tl::unexpected(service.error());
  Service = *service;
  if (auto read = readPrefix(); !read)
    return tl::unexpected(read.error());
  Class->requested(Start);
  auto plan =
      requests::AttemptPlan::create(Class->policy(), Deadline, Parts.Now());
  if (!plan)
    return tl::unexpected(plan.error());
  auto status = runAttempts(*plan);
  abandonRest();
  return status;
}

core::Result<void> RequestRun::readPrefix() {
  if (Request.Head.Body == wire::BodyMode::None) {
    IsWhole = true;
    return {};
  }
  const bool isSized = Request.Head.Body == wire::BodyMode::Sized;
  const std::size_t wanted =
      isSized ? std::min<std::uint64_t>(Request.Head.BodyLength, PrefixBytes)
              : PrefixBytes;
  Prefix.resize(wanted);
  std::size_t filled = 0;
  bool atEnd = false;
  while (filled < wanted && !atEnd) {
    const auto n = From.Body(std::span(Prefix).subspan(filled));
    if (!n)
      return core::fail(n.error().Kind == core::ErrorKind::BodyIncomplete
                            ? core::ErrorKind::MalformedRequest
                            : n.error().Kind,
                        n.error().Detail);
    filled += *n;
    atEnd = *n == 0;
  }
  Prefix.resize(filled);
  BytesIn = filled;
  IsWhole = atEnd || (isSized && filled == Request.Head.BodyLength);
  if (BytesIn > Request.Class.BodyLimitBytes)
    return core::fail(core::ErrorKind::BodyTooLarge);
  return {};
}

core::Result<int> RequestRun::runAttempts(requests::AttemptPlan &plan) {
  std::optional<Step> step = startAttempt(plan, "first");
  for (;;) {
    if (!step) {
      const auto n = awaitAnswer(plan);
      step = n ? concludeAttempt(plan, *n) : plan.timedOut();
    }
    switch (step->Next) {
    case NextStep::Answer:
      return Outcome;
    case NextStep::Retry:
      step = startAttempt(plan, "retry");
      break;
    case NextStep::Wait:
      step.reset();
      break;
    case NextStep::Fail:
    case NextStep::Ignore:
      return core::fail(step->Error);
    }
  }
}

// Choice of the instance.

core::Result<RequestRun::Target> RequestRun::choose() {
  return Request.IsKeyed ? owner() : candidate();
}

core::Result<RequestRun::Target> RequestRun::owner() {
  const auto view = Parts.View->load();
  const auto owner =
      view->Ownership->ownerOf(Request.Head.Service, Request.Head.KeyHash);
  if (!owner)
    return tl::unexpected(owner.error());
  const auto info = view->Ownership->fleet().instance(owner->Instance);
  if (!info)
    return core::fail(core::ErrorKind::NoOwner);
  Request.Head.SliceIndex = owner->Slice.Index;
  return Target{owner->Instance, info->PeerAddress};
}

core::Result<RequestRun::Target> RequestRun::candidate() {
  const auto view = Parts.View->load();
  const auto &fleet = view->Ownership->fleet();
  const auto id =
      Service->choose(fleet, Request.Head.Service, Tried, Parts.Now());
  if (!id)
    return core::fail(core::ErrorKind::NoUpstream);
  const auto info = fleet.instance(*id);
  if (!info)
    return core::fail(core::ErrorKind::NoUpstream);
  return Target{*id, info->PeerAddress};
}

// Attempts.

std::optional<Step> RequestRun::startAttempt(requests::AttemptPlan &plan,
                                             std::string_view reason) {
  for (;;) {
    const auto target = choose();
    if (!target) {
      if (awaitOwner(target.error().Kind))
        continue;
      plan.started();
      return Class->ended(plan, AttemptOutcome::NotSent, target.error().Kind,
                          Parts.Now());
    }
    const core::TimePoint now = Parts.Now();
    Request.Head.DeadlineRemaining =
        std::chrono::duration_cast<std::chrono::microseconds>(Deadline - now);
    plan.started();
    ++AttemptCount;
    Parts.Decisions->route(Request.Head, target->Id, reason, AttemptCount);
    auto call = Parts.Open(target->Address, Request.Head, Prefix, IsWhole);
    Service->sent(target->Id);
    if (!call) {
      Attempts.push_back({target->Id, nullptr, now});
      return end(plan, Attempts.size() - 1, AttemptOutcome::NotSent,
                 call.error().Kind);
    }
    Attempts.push_back({target->Id, *call, now});
    // Failures of the body show in the call's answer.
    if (!IsWhole && !sendRest(**call)) {
      (*call)->cancel();
      return end(plan, Attempts.size() - 1, AttemptOutcome::SentNoAnswer,
                 core::ErrorKind::BodyIncomplete);
    }
    return std::nullopt;
  }
}

core::Result<void> RequestRun::sendRest(wire::ForwardCall &call) {
  std::array<std::byte, 32U << 10U> buf;
  while (!call.hasAnswer()) {
    const auto n = From.Body(buf);
    if (!n)
      return tl::unexpected(n.error());
    if (*n == 0) {
      (void)call.finishBody();
      return {};
    }
    IsConsumed = true;
    BytesIn += *n;
    if (BytesIn > Request.Class.BodyLimitBytes)
      return core::fail(core::ErrorKind::BodyTooLarge);
    // A failed write shows in the answer as well.
    (void)call.write(std::span(buf).first(*n), Deadline);
  }
  return {};
}

bool RequestRun::awaitOwner(core::ErrorKind reason) {
  if (!Request.IsKeyed || IsConsumed || !isOwnershipInMotion(reason))
    return false;
  const std::uint64_t seen = Parts.ViewChanges->count();
  const core::TimePoint now = Parts.Now();
  if (now >= Deadline || From.IsGone())
    return false;
  Parts.ViewChanges->awaitAfter(
      seen,
      std::min(Deadline, now + std::chrono::nanoseconds(OwnerRetryInterval)));
  return Parts.Now() < Deadline;
}

bool RequestRun::mayHedge() const {
  return !Request.IsKeyed && IsWhole && Attempts.size() == 1 &&
         Class->policy().Runs == configuration::Execution::Idempotent;
}

std::optional<std::size_t>
RequestRun::awaitAnswer(requests::AttemptPlan &plan) {
  core::TimePoint hedgeAt = core::TimePoint::max();
  if (mayHedge())
    if (const auto delay = Class->hedgeDelay())
      hedgeAt = Attempts.front().Start + *delay;
  for (;;) {
    const core::TimePoint now = Parts.Now();
    if (now >= Deadline || From.IsGone())
      return std::nullopt;
    if (now >= hedgeAt) {
      hedgeAt = core::TimePoint::max();
      if (Class->takeHedge(plan, now)) {
        Tried.push_back(Attempts.front().To);
        if (const auto failed = startAttempt(plan, "hedge");
            failed && failed->Next == NextStep::Answer)
          return std::nullopt;
      }
      continue;
    }
    const core::TimePoint until =
        std::min({Deadline, hedgeAt,
                  now + std::chrono::nanoseconds(CallerCheckInterval)});
    std::vector<std::shared_ptr<wire::ForwardCall>> calls;
    for (const Attempt &it : Attempts)
      calls.push_back(it.Call);
    if (const auto n = wire::ForwardCall::waitAny(calls, until))
      return n;
  }
}

Step RequestRun::concludeAttempt(requests::AttemptPlan &plan, std::size_t n) {
  const std::shared_ptr<wire::ForwardCall> call = Attempts[n].Call;
  const auto answer = call->awaitHead(Parts.Now());
  if (!answer)
    return end(plan, n, outcomeOf(answer.error().Kind), answer.error().Kind);
  if (const auto *refusal = std::get_if<core::Error>(&*answer))
    return end(plan, n, outcomeOf(refusal->Kind), refusal->Kind);
  Outcome = relay(std::get<wire::AnswerHead>(*answer), *call);
  return end(plan, n, AttemptOutcome::Answered, core::ErrorKind::Internal);
}

Step RequestRun::end(requests::AttemptPlan &plan, std::size_t n,
                     AttemptOutcome outcome, core::ErrorKind reason) {
  const core::TimePoint now = Parts.Now();
  const Attempt attempt = Attempts[n];
  Attempts.erase(Attempts.begin() + static_cast<std::ptrdiff_t>(n));
  Service->ended(attempt.To, outcome, now - attempt.Start, now);
  if (outcome == AttemptOutcome::Answered)
    Class->observe(now - attempt.Start);
  if (!Request.IsKeyed)
    Tried.push_back(attempt.To);
  // The owner is the only one to ask: wait for ownership to settle rather than
  // use up the budget of attempts, as no upstream has had any work of it.
  if (outcome != AttemptOutcome::SentNoAnswer && Attempts.empty() &&
      awaitOwner(reason)) {
    plan.cancelLastAttempt();
    return {NextStep::Retry, reason};
  }
  Step step = Class->ended(plan, outcome, reason, now);
  if (step.Next != NextStep::Retry || !IsConsumed)
    return step;
  step = plan.timedOut();
  if (step.Error != core::ErrorKind::OutcomeUnknown)
    step.Error = reason;
  return step;
}

void RequestRun::abandonRest() {
  for (const Attempt &it : Attempts) {
    it.Call->cancel();
    Service->abandoned(it.To);
  }
  Attempts.clear();
}

// Answer.

core::Result<int> RequestRun::relay(const wire::AnswerHead &answer,
                                    wire::ForwardCall &call) {
  const auto cutOff = [&](core::ErrorKind reason) -> core::Result<int> {
    call.cancel();
    From.Abort();
    return core::fail(reason, "the answer had begun");
  };
  if (!From.Begin(answer))
    return cutOff(core::ErrorKind::AnswerIncomplete);
  std::vector<std::byte> buf(32U << 10U);
  for (;;) {
    const auto n = call.read(buf, Deadline);
    if (!n)
      return cutOff(core::ErrorKind::AnswerIncomplete);
    if (*n == 0)
      break;
    BytesOut += *n;
    if (!From.Write(std::span(buf).first(*n)))
      return cutOff(core::ErrorKind::AnswerIncomplete);
  }
  if (!From.End())
    return cutOff(core::ErrorKind::AnswerIncomplete);
  return answer.Status;
}

} // namespace acaciaroad::node
