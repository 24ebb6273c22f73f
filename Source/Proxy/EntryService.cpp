#include "Proxy/EntryService.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "Core/Milliseconds.h"
#include "Proxy/ProxiedRequest.h"

namespace acaciaroad::proxy {

using core::ErrorKind;
using requests::AttemptPlan;

namespace {

/// Part of the fleet's retry allowance that is divided among the nodes. The
/// rest covers requests whose windows overlap.
constexpr double AllowanceShare = 0.5;

/// Part of the permitted retry ratio that is used.
constexpr double RatioShare = 0.6;

/// Retry-After of refusals that have no better estimate.
constexpr core::Duration DefaultRetryAfter = std::chrono::milliseconds(100);

requests::RequestPolicy policyOf(const routing::Route &route) {
  requests::RequestPolicy out;
  out.Runs = route.Kind == routing::WorkKind::Idempotent
                 ? configuration::Execution::Idempotent
                 : configuration::Execution::AtMostOnce;
  out.Deadline = route.Timeout;
  out.LatencyTarget = route.LatencyTarget;
  out.MaxAttempts = route.MaxAttempts;
  return out;
}

} // namespace

std::string_view toString(DeadlineLimit limit) {
  switch (limit) {
  case DeadlineLimit::Caller:
    return "caller";
  case DeadlineLimit::Route:
    return "route";
  case DeadlineLimit::NodeStop:
    return "node stop";
  }
  return "";
}

EntryService::EntryService(boost::asio::io_context &loop,
                           EntryIdentity identity, EntryLimits limits,
                           HeaderCodec codec,
                           std::shared_ptr<logging::Logger> logger,
                           TrafficCounters &counters, UpstreamService &own)
    : Loop(loop), Identity(std::move(identity)), Limits(limits),
      Codec(std::move(codec)), Log(std::move(logger)), Counters(counters),
      Upstream(own), Peers(loop, own.answerMemory()),
      View(std::make_shared<const TrafficView>()),
      Shares(limits.AccountWindow.value_or(core::Duration{})), Versions([] {
        constexpr double Range = 0x1p64;
        return static_cast<double>(core::randomId()) / Range;
      }) {}

void EntryService::setView(std::shared_ptr<const TrafficView> view) {
  View = std::move(view);
  const auto now = core::BootClock::now();
  Shares.setNodes(View->Nodes, Identity.Node, now);
  if (View->Routes && Limits.AccountWindow)
    for (const routing::ClientAccount &it :
         View->Routes->configuration().Accounts)
      Shares.prepare(it.Name, it.Rate, now);
  refreshCandidates(now);
  Peers.prune(*View, now);
  if (!Credit)
    return;
  std::map<std::string, std::string, std::less<>> hosts;
  for (const auto &[name, service] : View->Services)
    for (const Peer &it : service.Peers)
      hosts.emplace(it.Name, it.Address.Host);
  Credit->setPeers(std::move(hosts));
}

void EntryService::refreshCandidates(core::TimePoint now) {
  for (const auto &[name, service] : View->Services) {
    auto found = Services.find(name);
    if (found == Services.end()) {
      auto choice = makeBalancer();
      const double share =
          Limits.RetryAllowance * AllowanceShare /
          static_cast<double>(std::max<std::size_t>(1, View->Nodes.size()));
      auto budget = requests::RetryBudget::create(
          Limits.RetryRatio * RatioShare, now, {0, share, share});
      if (!choice || !budget)
        continue; // Not reached: both accept the arguments above.
      found = Services
                  .emplace(name, ServiceState{std::move(*choice), std::nullopt,
                                              false, *budget})
                  .first;
    }
    setCandidates(found->second, name, service);
  }
}

core::Result<requests::LoadBalancer> EntryService::makeBalancer() const {
  return requests::LoadBalancer::create(Identity.DataCentre,
                                        [] { return core::randomId(); });
}

void EntryService::setCandidates(ServiceState &state, std::string_view name,
                                 const ServiceView &service) {
  const auto &rollout = service.Rollout;
  std::vector<requests::Candidate> former;
  std::vector<requests::Candidate> next;
  for (const Peer &it : service.Peers) {
    if (!it.IsOpen)
      continue;
    if (!rollout || it.Version != rollout->Version)
      former.push_back({it.Id, it.DataCentre});
    else if (std::binary_search(rollout->Nodes.begin(), rollout->Nodes.end(),
                                it.Name))
      next.push_back({it.Id, it.DataCentre});
  }
  // A version that was taken serves the service from now on.
  if (!rollout && state.Next && state.IsNextTaken)
    state.Choice = std::move(*state.Next);
  if (!rollout)
    state.Next.reset();
  else if (!state.Next)
    if (auto balancer = makeBalancer())
      state.Next = std::move(*balancer);
  state.IsNextTaken = rollout && rollout->IsTaken;
  state.Choice.setCandidates(former);
  if (state.Next)
    state.Next->setCandidates(next);
  Versions.setShare(name, rollout);
}

EntryService::ServiceState *EntryService::stateOf(std::string_view service) {
  const auto it = Services.find(service);
  return it == Services.end() ? nullptr : &it->second;
}

bool EntryService::isConfirmedWithin(core::Duration age,
                                     core::TimePoint now) const {
  return now - ConfirmedAt < age;
}

core::Result<const routing::ClientAccount *>
EntryService::authenticate(const routing::Route &route,
                           const CallerFields &caller,
                           core::TimePoint now) const {
  if (route.IsPublic || View->Routes->configuration().Accounts.empty())
    return nullptr;
  if (Limits.KeyFreshness && !isConfirmedWithin(*Limits.KeyFreshness, now))
    return core::fail(
        ErrorKind::NodeIsolated,
        "configuration too old to accept keys of client accounts");
  if (caller.AccountKey.empty())
    return core::fail(ErrorKind::KeyMissing);
  const auto *account = View->Routes->findAccount(caller.AccountKey);
  if (account == nullptr)
    return core::fail(ErrorKind::KeyUnknown);
  return account;
}

void EntryService::handle(const std::shared_ptr<net::Exchange> &exchange) {
  ++Counters.Requests;
  const auto now = core::BootClock::now();
  const net::HttpRequest &request = exchange->request();
  const CallerFields caller = Codec.ReadCaller(request);
  if (Draining) {
    refuse(*exchange, ErrorKind::NodeStopping, DefaultRetryAfter, {});
    return;
  }
  if (!net::isSendable(request)) {
    refuse(*exchange, ErrorKind::MalformedRequest, {},
           "TRACE request has a body");
    return;
  }
  if (!View->Routes) {
    refuse(*exchange, ErrorKind::NodeIsolated, DefaultRetryAfter,
           "no configuration loaded");
    return;
  }
  const routing::Route *route =
      View->Routes->findRoute(net::toView(request[net::http::field::host]),
                              net::toView(request.target()));
  if (route == nullptr) {
    const bool isKnown = isConfirmedWithin(Limits.RouteFreshness, now);
    refuse(*exchange,
           isKnown ? ErrorKind::UnknownClass : ErrorKind::NodeIsolated,
           DefaultRetryAfter, "no route for this host and path");
    return;
  }
  if (route->Kind == routing::WorkKind::Unsupported) {
    refuse(*exchange, ErrorKind::NoUpstream, DefaultRetryAfter,
           fmt::format("route {} has the unknown kind {}", route->Name,
                       route->UnknownKind));
    return;
  }
  const auto account = authenticate(*route, caller, now);
  if (!account) {
    refuse(*exchange, account.error().Kind, DefaultRetryAfter,
           account.error().Detail);
    return;
  }
  if (*account != nullptr && Limits.AccountWindow &&
      !Shares.take((*account)->Name, (*account)->Rate, now))
    borrow(exchange, caller, *route, **account);
  else
    run(exchange, caller, View, *route, *account);
}

core::Result<void>
EntryService::openCreditExchange(const core::Endpoint &listen) {
  auto credit = CreditExchange::create(Loop, listen, Shares, Log);
  if (!credit)
    return tl::unexpected(credit.error());
  Credit = std::move(*credit);
  return {};
}

void EntryService::borrow(const std::shared_ptr<net::Exchange> &exchange,
                          const CallerFields &caller,
                          const routing::Route &route,
                          const routing::ClientAccount &account) {
  const auto decide = [this, exchange, caller, view = View, &route,
                       &account](bool isLent) {
    if (isLent)
      run(exchange, caller, view, route, &account);
    else
      refuse(*exchange, ErrorKind::RateExceeded,
             Shares.timeUntilNext(account.Name), account.Name);
  };
  if (Credit)
    Credit->borrow(account.Name, account.Rate, decide);
  else
    decide(false);
}

void EntryService::run(const std::shared_ptr<net::Exchange> &exchange,
                       const CallerFields &caller,
                       std::shared_ptr<const TrafficView> view,
                       const routing::Route &route,
                       const routing::ClientAccount *account) {
  if (exchange->isAnswered()) {
    refundCredit(account); // The caller left while credit was borrowed.
    return;
  }
  const auto now = core::BootClock::now();
  const std::string service = Split.next(route).Service;
  const routing::Service *target = view->Routes->findService(service);
  if (target != nullptr && target->IsKeyed && !caller.Key) {
    refundCredit(account);
    refuse(*exchange, ErrorKind::RoutingKeyMissing, {}, service);
    return;
  }
  const core::Duration timeLimit =
      std::min(caller.TimeLimit.value_or(route.Timeout), route.Timeout);
  core::TimePoint deadline = exchange->Received + timeLimit;
  auto limit =
      timeLimit < route.Timeout ? DeadlineLimit::Caller : DeadlineLimit::Route;
  if (EndsAt && *EndsAt < deadline) {
    deadline = *EndsAt;
    limit = DeadlineLimit::NodeStop;
  }
  auto plan = AttemptPlan::create(policyOf(route), deadline, now);
  ServiceState *state = stateOf(service);
  if (!plan || state == nullptr) {
    refundCredit(account);
    refuse(*exchange,
           plan ? ErrorKind::NoUpstream : ErrorKind::DeadlineTooShort,
           DefaultRetryAfter, service);
    return;
  }
  state->Budget.onRequest(now);
  std::make_shared<ProxiedRequest>(*this, exchange, caller, std::move(view),
                                   route, account, service, *plan, deadline,
                                   limit)
      ->start();
}

void EntryService::failOpenRequests() {
  // Iterates over a copy because each request removes itself from Open.
  for (const auto &it : std::set(Open))
    it->failForNodeStop();
}

void EntryService::refundCredit(const routing::ClientAccount *account) {
  if (account == nullptr || !Limits.AccountWindow)
    return;
  if (Credit)
    Credit->giveBack(account->Name);
  else
    Shares.giveBack(account->Name, core::BootClock::now());
}

void EntryService::refuse(net::Exchange &exchange, ErrorKind reason,
                          core::Duration retryAfter, std::string_view detail) {
  const core::Answer &answer = core::answerFor(reason);
  ++Counters.Errors[static_cast<std::size_t>(reason)];
  const CallerFields caller = Codec.ReadCaller(exchange.request());
  const auto now = core::BootClock::now();
  Log->write(
      logging::Level::Info, "request_refused",
      {{"request_id", caller.RequestId},
       {"reason", answer.Name},
       {"status", answer.HttpStatus},
       {"ran", core::toString(answer.HasRan)},
       {"detail", detail},
       {"ms", core::toMilliseconds(now - exchange.Received)},
       {"configuration",
        View->Routes ? View->Routes->configuration().Version : 0},
       {"configuration_age_ms", core::toMilliseconds(now - ConfirmedAt)}});
  net::HttpResponse out(static_cast<net::http::status>(answer.HttpStatus), 11);
  Codec.WriteRequestId(out, caller.RequestId);
  if (answer.HttpStatus == 503 || answer.HttpStatus == 429) {
    const std::chrono::duration<double> wait =
        retryAfter.count() > 0 ? retryAfter : DefaultRetryAfter;
    out.set(net::http::field::retry_after, fmt::format("{:.3f}", wait.count()));
  }
  out.set(net::http::field::content_type, "application/problem+json");
  out.body() =
      fmt::format(R"({{"kind":"{}","title":"{}","ran":"{}"}})", answer.Name,
                  answer.Title, core::toString(answer.HasRan));
  exchange.respond(std::move(out));
}

} // namespace acaciaroad::proxy
