#include "Proxy/PeerService.h"

#include <utility>

namespace acaciaroad::proxy {

namespace {

/// Interval at which waiting bodies are looked at.
constexpr core::Duration RoomInterval = std::chrono::milliseconds(10);

/// After it, what waits now has come in.
constexpr core::Duration RefusedRetry = std::chrono::milliseconds(200);

} // namespace

void PeerService::askForRoom(const std::shared_ptr<net::Exchange> &exchange,
                             std::uint64_t bytes) {
  const upstream::Ticket room = ++LastRoom;
  switch (Gate.ask(room, bytes, core::BootClock::now())) {
  case upstream::AdmissionStatus::Start:
    giveRoom(*exchange, room);
    return;
  case upstream::AdmissionStatus::Refused:
    Log->write(logging::Level::Info, "body_refused", {{"bytes", bytes}});
    refuseRoom(*exchange, core::ErrorKind::QueueFull);
    return;
  case upstream::AdmissionStatus::Queued:
    break;
  }
  exchange->setOnAbandoned([this, room] {
    Gate.cancel(room);
    Waiting.erase(room);
  });
  Waiting.emplace(room, exchange);
  if (Waiting.size() == 1)
    advanceRooms();
}

void PeerService::refuseRoom(net::Exchange &exchange, core::ErrorKind reason) {
  ForwardOutcome outcome;
  outcome.Outcome = requests::AttemptOutcome::RefusedNotRun;
  outcome.Reason = reason;
  outcome.RetryAfter = RefusedRetry;
  outcome.Load = Upstream.load();
  net::HttpResponse out(net::http::status::service_unavailable, 11);
  writeOutcome(out, outcome);
  exchange.respond(std::move(out));
}

void PeerService::giveRoom(net::Exchange &exchange, upstream::Ticket room) {
  net::HttpResponse out(net::http::status::no_content, 11);
  writeRoom(out, room);
  exchange.respond(std::move(out));
}

void PeerService::advanceRooms() {
  for (const upstream::Ticket it : Gate.advance(core::BootClock::now())) {
    const auto exchange = Waiting.find(it);
    if (exchange == Waiting.end())
      continue;
    giveRoom(*exchange->second, it);
    Waiting.erase(exchange);
  }
  if (Waiting.empty())
    return;
  Timer.start(RoomInterval, [this] { advanceRooms(); });
}

void PeerService::conclude() {
  for (const auto &[room, exchange] : std::exchange(Waiting, {})) {
    Gate.cancel(room);
    refuseRoom(*exchange, core::ErrorKind::NodeStopping);
  }
}

void PeerService::handle(const std::shared_ptr<net::Exchange> &exchange) {
  net::HttpRequest &request = exchange->request();
  if (const auto bytes = readRoomRequest(request)) {
    askForRoom(exchange, *bytes);
    return;
  }
  if (const upstream::Ticket room = readRoom(request); room != 0)
    Gate.finished(room, core::BootClock::now());
  const CallerFields caller = Speech.ReadCaller(request);
  const ForwardFields forward = readForward(request);
  const OrderFields fields = Speech.ReadOrder(request);
  Order order;
  order.RequestId = caller.RequestId;
  order.Account = fields.Account;
  order.CallerService = fields.CallerService;
  order.ExpectedUpstream = fields.ExpectedUpstream;
  order.WorkClass = forward.WorkClass;
  order.Rank = forward.Rank;
  order.Kind = forward.Kind;
  order.Key = caller.Key;
  order.Deadline = exchange->Received + fields.TimeLeft;
  order.Target = exchange->Received + forward.TargetLeft;
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
