#include "Proxy/UpstreamService.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>
#include <vector>

#include "Core/Milliseconds.h"

namespace acaciaroad::proxy {

using boost::beast::error_code;
using core::ErrorKind;
using requests::AttemptOutcome;
using std::chrono::milliseconds;

namespace {

/// The upstream runs on the same instance, where connecting takes about 1 ms.
constexpr core::Duration ConnectTimeout = milliseconds(500);
constexpr core::Duration SendTimeout = milliseconds(1500);

/// Less than the 10 s after which upstreams that state no keep-alive time close
/// idle connections.
constexpr core::Duration IdleLimit = std::chrono::seconds(7);

/// Below the 120 that the platform's upstreams accept. The slots keep the
/// number far lower in practice.
constexpr std::size_t MaxConnections = 100;

/// Largest body of an answer, which is held in memory as a whole.
constexpr std::uint64_t MaxAnswerBytes = 16U << 20U;

/// Total size of the answers being received from the upstream and from other
/// nodes; a fifth of the smallest machine's 160 MB of memory.
constexpr std::uint64_t MaxTotalAnswerBytes = 32U << 20U;

/// Interval at which waiting orders are checked.
constexpr core::Duration TickInterval = milliseconds(20);

/// Interval at which overdue answers are checked while no order waits.
constexpr core::Duration OverdueInterval = milliseconds(100);

/// Upstreams answer by the deadline that they receive. An answer that is later
/// than this is not expected to come.
constexpr core::Duration AnswerGrace = milliseconds(300);

/// Time that an abandoned order may still take: if it ends by then, its
/// connection can be reused. It has to be cancelled within half a second.
constexpr core::Duration AbandonGrace = milliseconds(300);

/// Interval at which the load is reported to the control thread.
constexpr core::Duration LoadInterval = milliseconds(250);

/// Interval at which idle connections are checked. Until then, the kernel
/// buffers bytes that arrive on them.
constexpr core::Duration PruneInterval = std::chrono::seconds(1);

/// Time for which an upstream counts as cold after a connection to it failed,
/// unless a heartbeat comes first. Longer than two heartbeats.
constexpr core::Duration RestartSuspicionTime = std::chrono::seconds(4);

/// Reported for an upstream that answers nothing. Nodes give no keys to one of
/// such a load.
constexpr double BrokenUtilization = 2;

/// Whether callers read the status as "not run". That is only true if the
/// upstream states it; a 421 is such a statement by itself.
bool impliesNotRun(unsigned status) {
  return status == 408 || status == 429 || status == 503;
}

} // namespace

UpstreamService::UpstreamService(boost::asio::io_context &loop,
                                 const core::Endpoint &upstream,
                                 HeaderCodec codec,
                                 std::shared_ptr<logging::Logger> logger,
                                 TrafficCounters &counters, UpstreamHooks hooks)
    : Loop(loop), Codec(std::move(codec)), Log(std::move(logger)),
      Counters(counters), Hooks(std::move(hooks)),
      Memory(net::AnswerMemory::create(MaxTotalAnswerBytes)),
      View(std::make_shared<const TrafficView>()), Timer(loop),
      LoadTimer(loop) {
  net::ClientOptions options;
  options.ConnectTimeout = ConnectTimeout;
  options.SendTimeout = SendTimeout;
  options.IdleLimit = IdleLimit;
  options.BodyBytes = MaxAnswerBytes;
  options.MostConnections = MaxConnections;
  options.Memory = Memory;
  options.RequestName = [read = Codec.ReadCaller](const auto &fields) {
    return read(fields).RequestId;
  };
  options.AnswerName = [read = Codec.ReadAnswer](const auto &fields) {
    return read(fields).RequestId;
  };
  Client = net::HttpClient::create(loop, upstream, std::move(options));
  reportLoad();
}

void UpstreamService::reportLoad() {
  LoadTimer.expires_after(LoadInterval);
  LoadTimer.async_wait([this](error_code ec) {
    if (!ec)
      reportLoad();
  });
  const auto now = core::BootClock::now();
  if (now - PrunedAt >= PruneInterval) {
    PrunedAt = now;
    Client->closeStale();
  }
  if (!IsKeyed)
    return;
  Keys.decay(now);
  holdings::KeyedLoad out;
  out.BucketKeys = upstream::KeyLoad::KeysPerBucket;
  out.Rates.assign(Keys.rates().begin(), Keys.rates().end());
  const double growth = Keys.growth();
  if (growth > 1)
    for (double &it : out.Rates)
      it *= growth;
  const std::chrono::duration<double> mean = Queue.longTermServiceTime();
  out.Node.Cost = mean.count() / std::max(1U, Queue.slots());
  // Counts granted keys only: rates of keys that were given away take about a
  // second to fade.
  for (const holdings::Holding &it : View->Own.Granted)
    out.Node.Utilization +=
        out.Node.Cost * growth * Keys.rateOfRange(it.Keys.From, it.Keys.To);
  // An upstream that answers nothing must not get more keys.
  if (Breaker.isOpen())
    out.Node.Utilization = std::max(out.Node.Utilization, BrokenUtilization);
  Hooks.OnLoad(std::move(out));
}

void UpstreamService::setView(std::shared_ptr<const TrafficView> view,
                              const routing::Service *service) {
  const bool hasRestarted = !(view->Own.Process == View->Own.Process);
  View = std::move(view);
  const OwnUpstream &own = View->Own;
  if (hasRestarted)
    Client->dropIdle();
  if (RestartSuspectedAt && own.HeardAt > *RestartSuspectedAt)
    RestartSuspectedAt.reset();
  ColdRate = service == nullptr ? 0 : service->ColdRate;
  IsKeyed = service != nullptr && service->IsKeyed;
  Queue.setSlots(own.IsOpen ? own.Slots : 0);
  Queue.setTypicalServiceTime(own.TypicalServiceTime);
  if (!own.IsOpen)
    for (const upstream::Dequeued &it : Queue.refuseAll(ErrorKind::NoUpstream))
      refuse(it.Id, it.Reason);
  const auto now = core::BootClock::now();
  applyColdRate(now);
  resolveHandovers(now);
  readmitWaiting(now);
  advance();
  scheduleTick();
}

void UpstreamService::applyColdRate(core::TimePoint now) {
  if (RestartSuspectedAt && now - *RestartSuspectedAt > RestartSuspicionTime)
    RestartSuspectedAt.reset();
  const bool isCold = now < View->Own.ColdUntil || RestartSuspectedAt ||
                      !View->Own.Process.isKnown();
  Queue.setColdStartRate(
      isCold ? static_cast<std::uint32_t>(std::floor(ColdRate)) : 0);
}

std::span<const holdings::Holding> UpstreamService::holdingsOfService() const {
  const auto it = View->Services.find(View->Own.Service);
  if (it == View->Services.end())
    return {};
  return it->second.Holdings;
}

upstream::KeyOwnership UpstreamService::ownershipOf(holdings::Key key,
                                                    core::TimePoint now) const {
  const OwnUpstream &own = View->Own;
  if (now < own.GrantedUntil && findHolding(own.Granted, key))
    return upstream::KeyOwnership::Held;
  const auto *row = findHolding(holdingsOfService(), key);
  return row != nullptr && row->Node == own.Node
             ? upstream::KeyOwnership::InHandover
             : upstream::KeyOwnership::NotOwned;
}

upstream::KeyOwnership UpstreamService::ownershipOf(const Order &order,
                                                    core::TimePoint now) const {
  return IsKeyed && order.Key ? ownershipOf(*order.Key, now)
                              : upstream::KeyOwnership::Held;
}

std::optional<ErrorKind>
UpstreamService::refusalReason(const Order &order) const {
  const OwnUpstream &own = View->Own;
  if (Draining)
    return ErrorKind::NodeStopping;
  if (!own.IsOpen)
    return ErrorKind::NoUpstream;
  if (order.ExpectedUpstream != own.Process.Id)
    return ErrorKind::OwnerChanged;
  if (IsKeyed && !order.Key)
    return ErrorKind::RoutingKeyMissing;
  return std::nullopt;
}

bool UpstreamService::isMisdirected(const Order &order) const {
  return !order.Service.empty() && order.Service != View->Own.Service;
}

upstream::Ticket UpstreamService::offer(Order order, OrderHandler handler) {
  const auto now = core::BootClock::now();
  const upstream::Ticket id = NextTicket++;
  // The address of a lost node may be assigned to a node of another service,
  // while others still send orders for the lost one there.
  if (isMisdirected(order)) {
    Log->write(logging::Level::Info, "order_misdirected",
               {{"request_id", order.RequestId}, {"service", order.Service}});
    OrderResult out;
    out.Outcome.Outcome = AttemptOutcome::RefusedNotRun;
    out.Outcome.Reason = ErrorKind::OwnerChanged;
    handler(std::move(out));
    return id;
  }
  const auto ownership = ownershipOf(order, now);
  if (IsKeyed && order.Key && ownership != upstream::KeyOwnership::NotOwned)
    Keys.recordRequest(*order.Key);
  Orders.emplace(id,
                 OrderRun{std::move(order), std::move(handler), {}, {}, {}});
  admit(id, ownership, now);
  scheduleTick();
  return id;
}

void UpstreamService::admit(upstream::Ticket id,
                            upstream::KeyOwnership ownership,
                            core::TimePoint now) {
  if (ownership == upstream::KeyOwnership::Held) {
    enqueue(id, now);
    return;
  }
  const Order &order = Orders.at(id).Data;
  const bool isWaiting =
      ownership == upstream::KeyOwnership::InHandover && !Draining &&
      Handovers.add(id, *order.Key, order.Target - Queue.meanServiceTime(),
                    now);
  if (!isWaiting)
    refuse(id, ErrorKind::NoOwner);
}

void UpstreamService::enqueue(upstream::Ticket id, core::TimePoint now) {
  Order &order = Orders.at(id).Data;
  // The entry node may not know yet that the key's holder has restarted.
  if (IsKeyed && order.Key && !order.Service.empty())
    order.ExpectedUpstream = View->Own.Process.Id;
  if (const auto reason = refusalReason(order)) {
    refuse(id, *reason);
    return;
  }
  if (exceedsBandwidth(order, now)) {
    ++Counters.BandwidthRefusals;
    refuse(id, ErrorKind::QueueFull);
    return;
  }
  applyColdRate(now);
  // The answer is read that much later than it comes.
  const core::Duration delay = Delay.expected();
  const upstream::Decision decision =
      Queue.offer({id, order.WorkClass, order.Rank, order.Deadline - delay,
                   order.Target - delay},
                  now);
  if (decision.Status == upstream::AdmissionStatus::Start)
    send(id);
  else if (decision.Status == upstream::AdmissionStatus::Refused)
    refuse(id, decision.Reason);
}

bool UpstreamService::exceedsBandwidth(const Order &order,
                                       core::TimePoint now) const {
  return order.IsRemote &&
         !Bandwidth.admits(order.WorkClass, now + Queue.meanServiceTime(),
                           order.Target, now);
}

core::Duration UpstreamService::retryAfter(const Order &order,
                                           core::TimePoint now) const {
  const core::Duration queue = Queue.retryAfter(order.WorkClass);
  return order.IsRemote
             ? std::max(queue, Bandwidth.backlog(order.WorkClass, now))
             : queue;
}

void UpstreamService::readmitWaiting(core::TimePoint now) {
  if (!IsKeyed)
    return;
  std::map<upstream::Ticket, upstream::KeyOwnership> lost;
  for (const auto &[id, it] : Orders) {
    if (it.Call)
      continue;
    const auto ownership = ownershipOf(it.Data, now);
    if (ownership != upstream::KeyOwnership::Held)
      lost.emplace(id, ownership);
  }
  for (const auto &[id, ownership] : lost)
    if (Queue.cancel(id))
      admit(id, ownership, now);
}

void UpstreamService::resolveHandovers(core::TimePoint now) {
  if (Handovers.isEmpty())
    return;
  const auto keyOwnership = [&](std::uint32_t key) {
    return ownershipOf(key, now);
  };
  for (const auto &it : Handovers.takeResolved(keyOwnership, now)) {
    if (it.Ownership == upstream::KeyOwnership::Held)
      enqueue(it.Id, now);
    else
      refuse(it.Id, ErrorKind::NoOwner);
  }
}

void UpstreamService::send(upstream::Ticket id) {
  OrderRun &run = Orders.at(id);
  run.SentAt = core::BootClock::now();
  if (EndsAt)
    run.Data.Deadline = std::min(run.Data.Deadline, *EndsAt);
  erasePeerFields(run.Data.Request);
  ++Counters.OrdersSent;
  RunningIds.insert_or_assign(run.Data.RequestId, id);
  if (run.Data.IsRemote)
    Bandwidth.started(run.Data.WorkClass);
  Log->write(logging::Level::Debug, "order_sent",
             {{"request_id", run.Data.RequestId},
              {"upstream", run.Data.ExpectedUpstream},
              {"running", Queue.running()},
              {"waiting", Queue.waiting()}});
  run.Call = Client->send(
      std::move(run.Data.Request),
      [this, id](net::CallResult result) {
        onCallEnded(id, std::move(result));
      },
      nullptr,
      [this, id](net::HttpFields &fields) {
        return writeOrderFields(id, fields);
      });
  Counters.UpstreamConnects = Client->connectsStarted();
}

bool UpstreamService::writeOrderFields(upstream::Ticket id,
                                       net::HttpFields &fields) {
  const auto it = Orders.find(id);
  const auto now = core::BootClock::now();
  if (it == Orders.end() || !it->second.Handler ||
      now >= it->second.Data.Deadline)
    return false;
  const Order &order = it->second.Data;
  Codec.WriteOrder(fields, {order.Deadline - now, order.ExpectedUpstream,
                            order.Account, order.CallerService});
  return true;
}

ForwardOutcome UpstreamService::classifyResult(const OrderRun &run,
                                               const net::CallResult &result,
                                               core::TimePoint now) {
  ForwardOutcome out;
  out.ReachedUpstream = true;
  switch (result.End) {
  case net::CallEnd::NotSent:
    out.Outcome = AttemptOutcome::NotSent;
    out.Reason = ErrorKind::NoUpstream;
    out.ReachedUpstream = false;
    if (result.IsHeldBack) {
      out.Reason = ErrorKind::DeadlineTooShort;
      return out;
    }
    suspectRestart(now);
    if (result.IsRefused)
      Hooks.OnConnectionRefused();
    return out;
  case net::CallEnd::Broken:
    out.Outcome = AttemptOutcome::SentNoAnswer;
    out.Reason = result.IsTooLarge ? ErrorKind::AnswerTooLarge
                                   : ErrorKind::AnswerIncomplete;
    return out;
  case net::CallEnd::Answered:
    break;
  }
  const AnswerFields answer = Codec.ReadAnswer(result.Response);
  const auto status = result.Response.result_int();
  const bool isSuccess = status >= 200 && status < 300;
  const bool isUnverified =
      isSuccess &&
      (!answer.IsSigned ||
       result.Response.count(net::http::field::content_encoding) > 0);
  if (answer.IsNotRun) {
    out.Outcome = AttemptOutcome::RefusedNotRun;
    out.Reason =
        status == 421 ? ErrorKind::OwnerChanged : ErrorKind::UpstreamShedding;
  } else if (isUnverified || impliesNotRun(status)) {
    out.Outcome = AttemptOutcome::SentNoAnswer;
    out.Reason = ErrorKind::AnswerIncomplete;
  } else {
    out.Outcome = AttemptOutcome::Answered;
    Counters.UpstreamLatency.add(now - run.SentAt);
  }
  return out;
}

void UpstreamService::onCallEnded(upstream::Ticket id, net::CallResult result) {
  const auto now = core::BootClock::now();
  const auto it = Orders.find(id);
  if (it == Orders.end())
    return;
  OrderResult out;
  out.Outcome = classifyResult(it->second, result, now);
  updateBreaker(it->second, result, now);
  Queue.finished(id, out.Outcome.Outcome == AttemptOutcome::Answered, now);
  out.Outcome.Load = load();
  out.Outcome.RetryAfter = retryAfter(it->second.Data, now);
  if (it->second.Data.IsRemote)
    Bandwidth.ended(it->second.Data.WorkClass, result.Response.body().size(),
                    now);
  if (out.Outcome.Outcome != AttemptOutcome::Answered)
    Log->write(logging::Level::Info, "order_failed",
               {{"request_id", it->second.Data.RequestId},
                {"upstream", it->second.Data.ExpectedUpstream},
                {"reason", core::answerFor(out.Outcome.Reason).Name},
                {"detail", result.Detail},
                {"connection", net::connectionName(result.IsKept)},
                {"ms", core::toMilliseconds(now - it->second.SentAt)},
                {"status", result.End == net::CallEnd::Answered
                               ? result.Response.result_int()
                               : 0}});
  out.Answer = std::move(result.Response);
  completeOrder(id, std::move(out));
  advance();
}

void UpstreamService::updateBreaker(const OrderRun &run,
                                    const net::CallResult &result,
                                    core::TimePoint now) {
  if (result.End == net::CallEnd::Answered) {
    if (Breaker.answered())
      Log->write(logging::Level::Info, "upstream_resumed",
                 {{"upstream", run.Data.ExpectedUpstream}});
  } else if (run.Handler && !result.IsHeldBack && !result.IsTooLarge &&
             Breaker.failed(now)) {
    ++Counters.UpstreamPauses;
    Log->write(
        logging::Level::Warning, "upstream_paused",
        {{"upstream", run.Data.ExpectedUpstream},
         {"detail", result.Detail},
         {"pause_ms", core::toMilliseconds(Breaker.pausedUntil() - now)}});
  }
  Queue.pauseUntil(Breaker.pausedUntil());
  Queue.setProbing(Breaker.isOpen());
}

void UpstreamService::refuse(upstream::Ticket id, ErrorKind reason) {
  const auto it = Orders.find(id);
  if (it == Orders.end())
    return;
  const auto now = core::BootClock::now();
  OrderResult out;
  out.Outcome.Outcome = AttemptOutcome::RefusedNotRun;
  out.Outcome.Reason = reason;
  out.Outcome.Load = load();
  out.Outcome.RetryAfter = retryAfter(it->second.Data, now);
  if (reason == ErrorKind::NoOwner && it->second.Data.Key)
    if (const auto *row =
            findHolding(holdingsOfService(), *it->second.Data.Key))
      out.Outcome.Holder = row->Node;
  const auto left = it->second.Data.Deadline - now;
  Log->write(logging::Level::Info, "order_refused",
             {{"request_id", it->second.Data.RequestId},
              {"reason", core::answerFor(reason).Name},
              {"time_left_ms", core::toMilliseconds(left)},
              {"holder", out.Outcome.Holder},
              {"running", out.Outcome.Load.InFlight},
              {"waiting", out.Outcome.Load.Queued},
              {"slots", out.Outcome.Load.Limit}});
  completeOrder(id, std::move(out));
}

void UpstreamService::completeOrder(upstream::Ticket id, OrderResult result) {
  const auto it = Orders.find(id);
  const OrderHandler handler = std::move(it->second.Handler);
  const auto running = RunningIds.find(it->second.Data.RequestId);
  if (running != RunningIds.end() && running->second == id)
    RunningIds.erase(running);
  Orders.erase(it);
  if (handler)
    handler(std::move(result));
}

void UpstreamService::stopAt(core::TimePoint end) {
  EndsAt = end;
  Queue.setShutdownTime(end);
  advance();
}

void UpstreamService::refuseWaiting() {
  for (const upstream::Dequeued &it : Queue.refuseAll(ErrorKind::NodeStopping))
    refuse(it.Id, it.Reason);
  for (const upstream::Ticket it : Handovers.takeAll())
    refuse(it, ErrorKind::NodeStopping);
}

bool UpstreamService::withdraw(upstream::Ticket id) {
  if (!Queue.cancel(id) && !Handovers.cancel(id))
    return false;
  Orders.erase(id);
  return true;
}

void UpstreamService::abandon(upstream::Ticket id) {
  const auto it = Orders.find(id);
  if (it == Orders.end() || withdraw(id))
    return;
  it->second.Handler = nullptr;
  if (it->second.Data.Kind == routing::WorkKind::Idempotent)
    it->second.CancelAt = core::BootClock::now() + AbandonGrace;
}

std::optional<std::int32_t>
UpstreamService::rankOfRunning(std::string_view requestId) const {
  const auto it = RunningIds.find(requestId);
  if (it == RunningIds.end())
    return std::nullopt;
  return Orders.at(it->second).Data.Rank;
}

requests::ReportedLoad UpstreamService::load() const {
  const bool isOpen = View->Own.IsOpen && !EndsAt && !Draining;
  const std::uint32_t slots = isOpen ? Queue.slots() : 0;
  // Others choose it only if all are as loaded.
  if (Breaker.isOpen())
    return {slots, std::max(slots, Queue.waiting()), slots};
  return {Queue.running(), Queue.waiting(), slots};
}

void UpstreamService::advance() {
  const auto now = core::BootClock::now();
  for (const upstream::Dequeued &it : Queue.advance(now)) {
    if (it.Status != upstream::AdmissionStatus::Start) {
      refuse(it.Id, it.Reason);
      continue;
    }
    const auto ownership = ownershipOf(Orders.at(it.Id).Data, now);
    if (ownership == upstream::KeyOwnership::Held) {
      send(it.Id);
      continue;
    }
    // The upstream would reject it.
    Queue.finished(it.Id, false, now);
    admit(it.Id, ownership, now);
  }
}

void UpstreamService::scheduleTick() {
  if (Orders.empty())
    return;
  const bool isAnyWaiting = Queue.waiting() > 0 || !Handovers.isEmpty();
  const auto length = isAnyWaiting ? TickInterval : OverdueInterval;
  const auto next = core::BootClock::now() + length;
  if (NextTick && *NextTick <= next)
    return;
  NextTick = next;
  Timer.expires_after(length);
  Timer.async_wait([this, next](error_code ec) {
    if (ec)
      return;
    NextTick.reset();
    Delay.timerRan(next, core::BootClock::now());
    Counters.LoopDelay = Delay.expected();
    tick();
  });
}

void UpstreamService::tick() {
  const auto now = core::BootClock::now();
  applyColdRate(now);
  resolveHandovers(now);
  advance();
  std::vector<std::pair<upstream::Ticket, const char *>> late;
  for (const auto &[id, it] : Orders) {
    if (it.Call && it.CancelAt && now >= *it.CancelAt)
      late.emplace_back(id, "order abandoned by its sender");
    else if (it.Call && now >= it.Data.Deadline + AnswerGrace)
      late.emplace_back(id, "no answer after the deadline");
  }
  for (const auto &[id, detail] : late) {
    Orders.at(id).Call->cancel();
    onCallEnded(id, {net::CallEnd::Broken, {}, detail, false});
  }
  scheduleTick();
}

void UpstreamService::suspectRestart(core::TimePoint now) {
  RestartSuspectedAt = now;
  applyColdRate(now);
}

} // namespace acaciaroad::proxy
