#include "Proxy/PeerService.h"

#include <utility>

namespace acaciaroad::proxy {

void PeerService::handle(const std::shared_ptr<net::Exchange> &exchange) {
  net::HttpRequest &request = exchange->request();
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
