#include "Proxy/ProxiedRequest.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "Core/Milliseconds.h"

namespace acaciaroad::proxy {

using core::ErrorKind;
using requests::AttemptOutcome;
using requests::NextStep;

namespace {

/// Other nodes that are tried after one refused before the request reached its
/// upstream. Further ones mostly refuse as well.
constexpr int MaxRedirects = 2;

/// The upstream's node gives up 0.3 s after the deadline and reports it; twice
/// that leaves time for the network.
constexpr core::Duration LateAnswerTimeout = std::chrono::milliseconds(600);

/// Rank of the calls of upstreams, relative to that of the request for which
/// they are made; lower ranks go first. If a call fails, the work on the outer
/// request is lost, so all of them go before all other requests.
constexpr std::int32_t NestedRankOffset = -1'000'000;

/// Rank of the calls on public routes whose outer request isn't known.
constexpr std::int32_t NestedCallRank = -1;

} // namespace

ProxiedRequest::ProxiedRequest(EntryService &entry,
                               std::shared_ptr<net::Exchange> exchange,
                               const CallerFields &caller,
                               std::shared_ptr<const TrafficView> view,
                               const routing::Route &route,
                               const routing::ClientAccount *account,
                               std::string service, requests::AttemptPlan plan,
                               core::TimePoint deadline, DeadlineLimit limit)
    : Entry(entry), Exchange(std::move(exchange)), View(std::move(view)),
      Route(route), Account(account), Service(std::move(service)), Plan(plan),
      Deadline(deadline), Limit(limit), Timer(entry.Loop),
      RequestId(caller.RequestId) {
  const routing::Service *target = View->Routes->findService(Service);
  if (target != nullptr && target->IsKeyed)
    Key = caller.Key;
  if (Route.IsPublic)
    NestedRank = NestedCallRank;
  if (!caller.ParentId.empty())
    if (const auto rank = Entry.Upstream.rankOfRunning(caller.ParentId))
      NestedRank = std::max(*rank, NestedCallRank) + NestedRankOffset;
  if (NestedRank)
    ++Entry.Counters.NestedCalls;
}

void ProxiedRequest::start() {
  Entry.Open.insert(shared_from_this());
  Exchange->setOnAbandoned(
      [self = shared_from_this()] { self->onCallerLeft(); });
  Timer.start(Deadline - core::BootClock::now(),
              [self = shared_from_this()] { self->onDeadline(); });
  attempt();
}

const Peer *ProxiedRequest::choosePeer(core::TimePoint now) {
  // Uses the newest view: keys may have moved since the request arrived.
  const auto service = Entry.View->Services.find(Service);
  if (service == Entry.View->Services.end())
    return nullptr;
  if (Key) {
    const auto *row = findHolding(service->second.Holdings, *Key);
    if (!Holder.empty())
      return findPeer(service->second, Holder);
    return row == nullptr ? nullptr : findPeer(service->second, row->Node);
  }
  EntryService::ServiceState *state = Entry.stateOf(Service);
  if (state == nullptr)
    return nullptr;
  const auto id = chooseInstance(*state, now);
  if (!id)
    return nullptr;
  for (const Peer &it : service->second.Peers)
    if (it.Id == *id)
      return &it;
  return nullptr;
}

std::optional<core::InstanceId>
ProxiedRequest::chooseInstance(EntryService::ServiceState &state,
                               core::TimePoint now) {
  IsNextVersion = false;
  if (!state.Next)
    return state.Choice.choose(Tried, now);
  // A further attempt goes to the version that is known to be good.
  IsNextVersion =
      Attempt == 0 ? Entry.Versions.takesNext(Service, now) : state.IsNextTaken;
  if (IsNextVersion) {
    const auto id = state.Next->choose(Tried, now);
    // A further attempt doesn't go to the version that is being left.
    if (id || Attempt > 0)
      return id;
  }
  IsNextVersion = false;
  if (const auto id = state.Choice.choose(Tried, now))
    return id;
  IsNextVersion = state.IsNextTaken;
  return IsNextVersion ? state.Next->choose(Tried, now) : std::nullopt;
}

requests::LoadBalancer &
ProxiedRequest::balancerOf(EntryService::ServiceState &state) const {
  return IsNextVersion && state.Next ? *state.Next : state.Choice;
}

void ProxiedRequest::countForVersion(AttemptOutcome outcome, unsigned status,
                                     core::TimePoint now) {
  constexpr unsigned FirstFailure = 500;
  const bool isAnswered = outcome == AttemptOutcome::Answered;
  if (Attempt != 1 || (!isAnswered && outcome != AttemptOutcome::SentNoAnswer))
    return;
  Entry.Versions.answered(Service, Route.Name, IsNextVersion,
                          !isAnswered || status >= FirstFailure, now - SentAt);
}

Order ProxiedRequest::makeOrder(const Peer &peer) {
  Order out;
  out.Request = Exchange->request();
  net::eraseConnectionFields(out.Request);
  erasePeerFields(out.Request);
  out.RequestId = RequestId;
  out.Service = Service;
  out.Account = Account == nullptr ? std::string() : Account->Name;
  out.CallerService = Entry.Identity.Service;
  out.WorkClass = Route.Name;
  out.Kind = Route.Kind;
  out.Deadline = Deadline;
  // A late answer to a nested call is still useful to the outer request.
  out.Target =
      NestedRank ? Deadline
                 : std::min(Deadline, Exchange->Received + Route.LatencyTarget);
  out.ExpectedUpstream = peer.Process.Id;
  out.Key = Key;
  if (NestedRank)
    out.Rank = *NestedRank;
  else if (Account != nullptr && Account->Priority >= 0)
    out.Rank = Account->Priority;
  else
    out.Rank = static_cast<std::int32_t>(Route.Priority);
  return out;
}

void ProxiedRequest::attempt() {
  const auto now = core::BootClock::now();
  const Peer *peer = choosePeer(now);
  if (peer == nullptr || !peer->Process.isKnown()) {
    // Reports an earlier attempt's error first: that attempt may have run.
    const ErrorKind none = Key ? ErrorKind::NoOwner : ErrorKind::NoUpstream;
    fail(Plan.giveUp(UnansweredReason.value_or(none)).Error);
    return;
  }
  // Services without keys do not choose a stopping node any more.
  const auto pause =
      Key ? Entry.Stopping.remainingPause(peer->Name, now) : core::Duration{};
  if (pause.count() > 0) {
    RetryAfter = pause;
    fail(Plan.giveUp(UnansweredReason.value_or(ErrorKind::NodeStopping)).Error);
    return;
  }
  Plan.started();
  TargetInstance = peer->Id;
  TargetNode = peer->Name;
  Tried.push_back(TargetInstance);
  SentAt = now;
  if (auto *state = Entry.stateOf(Service))
    balancerOf(*state).sent(TargetInstance);
  const std::uint64_t number = ++Attempt;
  Entry.Log->write(logging::Level::Debug, "attempt",
                   {{"request_id", RequestId},
                    {"service", Service},
                    {"node", peer->Name},
                    {"attempt", number}});
  auto handler = [self = shared_from_this(), number](OrderResult result) {
    self->onAttemptEnded(number, std::move(result));
  };
  if (peer->Name == Entry.Identity.Node) {
    const auto ticket =
        Entry.Upstream.offer(makeOrder(*peer), std::move(handler));
    if (Attempt == number && !IsOver)
      Ticket = ticket;
    return;
  }
  Call = Entry.Peers.send(peer->Address, makeOrder(*peer), Entry.Codec,
                          std::move(handler));
}

bool ProxiedRequest::mayTryElsewhere(const ForwardOutcome &outcome) const {
  const bool isUntouched = outcome.Outcome == AttemptOutcome::NotSent ||
                           (outcome.Outcome == AttemptOutcome::RefusedNotRun &&
                            !outcome.ReachedUpstream);
  // A key has only one holder, so no other node can take the request.
  return isUntouched && !Key && Redirects < MaxRedirects &&
         core::BootClock::now() < Deadline;
}

bool ProxiedRequest::hasKeyMoved(const ForwardOutcome &outcome) const {
  return Key && outcome.Outcome == AttemptOutcome::RefusedNotRun &&
         !outcome.ReachedUpstream && !outcome.Holder.empty() &&
         outcome.Holder != TargetNode && Redirects < MaxRedirects &&
         core::BootClock::now() < Deadline;
}

void ProxiedRequest::onAttemptEnded(std::uint64_t number, OrderResult result) {
  if (number != Attempt)
    return;
  if (IsOver) {
    Call.reset();
    Timer.cancel();
    return;
  }
  Call.reset();
  Ticket.reset();
  const auto now = core::BootClock::now();
  const ForwardOutcome &outcome = result.Outcome;
  if (!result.Detail.empty())
    logForwardFailed(outcome.Reason, result.Detail, result.IsKept);
  auto *state = Entry.stateOf(Service);
  if (state == nullptr) {
    fail(outcome.Reason);
    return;
  }
  balancerOf(*state).ended(TargetInstance, outcome.Outcome, now - SentAt, now);
  countForVersion(outcome.Outcome, result.Answer.result_int(), now);
  if (outcome.Outcome == AttemptOutcome::Answered ||
      outcome.Outcome == AttemptOutcome::RefusedNotRun)
    balancerOf(*state).reported(TargetInstance, outcome.Load, now);
  RetryAfter = outcome.RetryAfter;
  if (Key && outcome.Outcome == AttemptOutcome::RefusedNotRun &&
      outcome.Reason == ErrorKind::NodeStopping) {
    Entry.Stopping.refused(TargetNode, now);
    RetryAfter = Entry.Stopping.remainingPause(TargetNode, now);
  }
  if (outcome.Outcome == AttemptOutcome::SentNoAnswer)
    UnansweredReason = outcome.Reason;
  const bool isMoved = hasKeyMoved(outcome);
  if (isMoved)
    Holder = outcome.Holder;
  if (isMoved || mayTryElsewhere(outcome)) {
    ++Redirects;
    Plan.cancelLastAttempt();
    attempt();
    return;
  }
  const requests::Step step =
      Plan.ended(outcome.Outcome, outcome.Reason, state->Budget, now);
  switch (step.Next) {
  case NextStep::Answer:
    answer(std::move(result.Answer));
    return;
  case NextStep::Retry:
    ++Entry.Counters.Retries;
    if (Key && outcome.Outcome != AttemptOutcome::SentNoAnswer)
      // The only holder refused, so a retry would be refused too. giveUp
      // accounts for an earlier attempt that may have run.
      fail(Plan.giveUp(outcome.Reason).Error);
    else
      attempt();
    return;
  case NextStep::Fail:
    fail(step.Error);
    return;
  case NextStep::Wait:
  case NextStep::Ignore:
    return;
  }
}

void ProxiedRequest::answer(net::HttpResponse response) {
  finish();
  net::eraseConnectionFields(response);
  const core::Duration latency = core::BootClock::now() - Exchange->Received;
  ++Entry.Counters.Answered;
  Entry.Counters.CallerLatency.add(latency);
  Entry.Log->write(
      logging::Level::Info, "request_answered",
      {{"request_id", RequestId},
       {"route", Route.Name},
       {"account", Account == nullptr ? "" : Account->Name},
       {"service", Service},
       {"node", TargetNode},
       {"attempts", Attempt},
       {"status", response.result_int()},
       {"ms", std::chrono::duration<double, std::milli>(latency).count()},
       {"configuration", View->Routes->configuration().Version}});
  Exchange->respond(std::move(response));
}

void ProxiedRequest::fail(ErrorKind reason) {
  finish();
  if (core::answerFor(reason).HasRan == core::Ran::No)
    Entry.refundCredit(Account);
  const std::string detail =
      Attempt == 0 ? Service
                   : fmt::format("service {} on node {}, attempt {}", Service,
                                 TargetNode, Attempt);
  Entry.refuse(*Exchange, reason, RetryAfter, detail);
}

void ProxiedRequest::onCallerLeft() {
  if (IsOver)
    return;
  ++Entry.Counters.Abandoned;
  Entry.Log->write(logging::Level::Info, "caller_left",
                   {{"request_id", RequestId}, {"service", Service}});
  cancelAttempt();
  finish();
}

void ProxiedRequest::cancelAttempt() {
  if (Call)
    Call->cancel();
  if (Ticket)
    Entry.Upstream.abandon(*Ticket);
  if (Call || Ticket)
    if (auto *state = Entry.stateOf(Service))
      balancerOf(*state).abandoned(TargetInstance);
}

void ProxiedRequest::onDeadline() {
  if (IsOver)
    return;
  logGivenUp("deadline");
  if (withdrawOrder()) {
    fail(Plan.giveUp(Limit == DeadlineLimit::NodeStop
                         ? ErrorKind::NodeStopping
                         : ErrorKind::DeadlineTooShort)
             .Error);
    return;
  }
  const requests::Step step = Plan.timedOut();
  const auto now = core::BootClock::now();
  auto *state = Entry.stateOf(Service);
  if (state != nullptr && (Call || Ticket)) {
    balancerOf(*state).ended(TargetInstance, AttemptOutcome::SentNoAnswer,
                             now - SentAt, now);
    countForVersion(AttemptOutcome::SentNoAnswer, 0, now);
  }
  const auto late = Call;
  fail(step.Error);
  if (late)
    awaitLateAnswer(late);
}

void ProxiedRequest::awaitLateAnswer(std::shared_ptr<net::ClientCall> call) {
  Call = std::move(call);
  Timer.start(LateAnswerTimeout, [self = shared_from_this()] {
    std::exchange(self->Call, nullptr)->cancel();
    self->logForwardFailed(ErrorKind::OutcomeUnknown,
                           "no answer after the deadline", std::nullopt);
  });
}

void ProxiedRequest::logForwardFailed(ErrorKind reason, std::string_view detail,
                                      std::optional<bool> isKept) {
  Entry.Log->write(
      logging::Level::Info, "forward_failed",
      {{"request_id", RequestId},
       {"node", TargetNode},
       {"reason", core::answerFor(reason).Name},
       {"detail", detail},
       {"connection", net::connectionName(isKept)},
       {"ms", core::toMilliseconds(core::BootClock::now() - SentAt)}});
}

void ProxiedRequest::logGivenUp(std::string_view cause) {
  Entry.Log->write(
      logging::Level::Info, "request_given_up",
      {{"request_id", RequestId},
       {"cause", cause},
       {"node", TargetNode},
       {"attempt", Attempt},
       {"ms",
        core::toMilliseconds(core::BootClock::now() - Exchange->Received)},
       {"allowed_ms", core::toMilliseconds(Deadline - Exchange->Received)},
       {"limit", toString(Limit)},
       {"configuration", View->Routes->configuration().Version}});
}

bool ProxiedRequest::withdrawOrder() {
  if (!Ticket || !Entry.Upstream.withdraw(*Ticket))
    return false;
  Plan.cancelLastAttempt();
  Ticket.reset();
  return true;
}

void ProxiedRequest::failForNodeStop() {
  if (IsOver)
    return;
  logGivenUp("node stopping");
  withdrawOrder();
  const requests::Step step = Plan.giveUp(ErrorKind::NodeStopping);
  cancelAttempt();
  fail(step.Error);
}

void ProxiedRequest::finish() {
  IsOver = true;
  Entry.Open.erase(shared_from_this());
  Timer.cancel();
  Call.reset();
  Ticket.reset();
}

} // namespace acaciaroad::proxy
