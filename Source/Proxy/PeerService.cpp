#include "Proxy/PeerService.h"

#include <utility>

namespace acaciaroad::proxy {

namespace {

/// Interval at which waiting permits are checked.
constexpr core::Duration PermitInterval = std::chrono::milliseconds(10);

/// Retry-After of refused permits; the bodies that wait now have come in by
/// then.
constexpr core::Duration RefusedRetry = std::chrono::milliseconds(200);

} // namespace

void PeerService::requestPermit(const std::shared_ptr<net::Exchange> &exchange,
                                std::uint64_t bytes) {
  const upstream::Ticket permit = ++LastPermit;
  switch (Gate.ask(permit, bytes, core::BootClock::now())) {
  case upstream::AdmissionStatus::Start:
    grantPermit(*exchange, permit);
    return;
  case upstream::AdmissionStatus::Refused:
    Log->write(logging::Level::Info, "body_refused", {{"bytes", bytes}});
    refusePermit(*exchange, core::ErrorKind::QueueFull);
    return;
  case upstream::AdmissionStatus::Queued:
    break;
  }
  exchange->setOnAbandoned([this, permit] {
    Gate.cancel(permit);
    Waiting.erase(permit);
  });
  Waiting.emplace(permit, exchange);
  if (Waiting.size() == 1)
    advancePermits();
}

void PeerService::refusePermit(net::Exchange &exchange,
                               core::ErrorKind reason) {
  ForwardOutcome outcome;
  outcome.Outcome = requests::AttemptOutcome::RefusedNotRun;
  outcome.Reason = reason;
  outcome.RetryAfter = RefusedRetry;
  outcome.Load = Upstream.load();
  net::HttpResponse out(net::http::status::service_unavailable, 11);
  writeOutcome(out, outcome);
  exchange.respond(std::move(out));
}

void PeerService::grantPermit(net::Exchange &exchange,
                              upstream::Ticket permit) {
  net::HttpResponse out(net::http::status::no_content, 11);
  writePermit(out, permit);
  exchange.respond(std::move(out));
}

void PeerService::advancePermits() {
  for (const upstream::Ticket it : Gate.advance(core::BootClock::now())) {
    const auto exchange = Waiting.find(it);
    if (exchange == Waiting.end())
      continue;
    grantPermit(*exchange->second, it);
    Waiting.erase(exchange);
  }
  if (Waiting.empty())
    return;
  Timer.start(PermitInterval, [this] { advancePermits(); });
}

void PeerService::refuseWaiting() {
  for (const auto &[permit, exchange] : std::exchange(Waiting, {})) {
    Gate.cancel(permit);
    refusePermit(*exchange, core::ErrorKind::NodeStopping);
  }
}

void PeerService::handle(const std::shared_ptr<net::Exchange> &exchange) {
  net::HttpRequest &request = exchange->request();
  if (const auto bytes = readPermitRequest(request)) {
    requestPermit(exchange, *bytes);
    return;
  }
  if (const upstream::Ticket permit = readPermit(request); permit != 0)
    Gate.finished(permit, core::BootClock::now());
  const CallerFields caller = Codec.ReadCaller(request);
  // After a pause, an order and its withdrawal are there at once. The session
  // ends the exchange.
  if (exchange->hasClientLeft()) {
    Log->write(logging::Level::Info, "order_withdrawn",
               {{"request_id", caller.RequestId}});
    return;
  }
  const ForwardFields forward = readForward(request);
  const OrderFields fields = Codec.ReadOrder(request);
  Order order;
  order.RequestId = caller.RequestId;
  order.Account = fields.Account;
  order.CallerService = fields.CallerService;
  order.ExpectedUpstream = fields.ExpectedUpstream;
  order.Service = forward.Service;
  order.WorkClass = forward.WorkClass;
  order.Rank = forward.Rank;
  order.Kind = forward.Kind;
  order.Key = caller.Key;
  order.Deadline = exchange->Received + fields.TimeLeft;
  order.Target = exchange->Received + forward.TargetLeft;
  order.IsRemote = true;
  net::eraseConnectionFields(request);
  order.Request = std::move(request);
  const auto ticket =
      Upstream.offer(std::move(order), [exchange](OrderResult result) {
        net::HttpResponse answer = std::move(result.Answer);
        if (result.Outcome.Outcome != requests::AttemptOutcome::Answered)
          answer =
              net::HttpResponse(net::http::status::service_unavailable, 11);
        net::eraseConnectionFields(answer);
        writeOutcome(answer, result.Outcome);
        exchange->respond(std::move(answer));
      });
  if (!exchange->isAnswered())
    exchange->setOnAbandoned(
        [&upstream = Upstream, ticket] { upstream.abandon(ticket); });
}

} // namespace acaciaroad::proxy
