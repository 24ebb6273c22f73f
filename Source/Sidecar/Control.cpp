#include "Sidecar/Control.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "Codec/FleetRecords.h"
#include "Core/Identifiers.h"
#include "Core/Milliseconds.h"

namespace acaciaroad::sidecar {

using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

/// Polling of the fleet's log by nodes that read it directly. Nodes renew their
/// leases all the time, so a long poll would return at once; the pause bounds
/// the read rate.
constexpr feed::PollTiming FleetPollTiming{milliseconds(0), milliseconds(900)};

/// Nodes without a new record for this long are dropped from the view. Until
/// then they count for the shares of accounts, since a node that only lost the
/// log still serves callers, and they receive requests: what they refuse is
/// sent elsewhere.
constexpr core::Duration MemberRetention = std::chrono::seconds(30);

/// Polling of the fleet's log by nodes that read it through a relay.
constexpr feed::PollTiming FleetRelayPollTiming{milliseconds(0),
                                                milliseconds(500)};

/// Maximum age of a relay's records of the fleet's log. No limit depends on it:
/// a node itself refuses requests that its upstream may not get any more.
constexpr core::Duration MaxFleetRelayAge = milliseconds(2400);

/// Time after a read in which a change may be proposed. A proposal is refused
/// if the log's end has moved, for example by the lease renewal of another
/// node, which is rare so soon after a read.
constexpr core::Duration ProposalWindow = milliseconds(15);

/// Interval at which timeouts are checked; well under the heartbeat interval.
constexpr core::Duration TickInterval = milliseconds(50);

/// Time for which a leaving upstream still gets requests, until other nodes
/// know that it leaves. It keeps serving for two seconds after its leave
/// request is answered.
constexpr core::Duration LeavingGrace = milliseconds(1000);

/// Time for which a data centre that is taken out still gets requests, while
/// its keys move. It must stop getting them within five seconds.
constexpr core::Duration DataCentreOutGrace = milliseconds(2000);

/// Longest wait for the log to acknowledge a leave before the upstream is told
/// that the leave isn't acknowledged. It waits one second for an answer.
constexpr core::Duration LeaveRecordTimeout = milliseconds(800);

/// Time in which operators' records that the log has lost in another era are
/// written again.
constexpr core::Duration OperatorRestoreTime = std::chrono::seconds(10);

/// Interval at which the counts of calls to the platform are logged.
constexpr core::Duration StoreCallInterval = std::chrono::seconds(5);

/// Interval at which nodes send their load to each other.
constexpr core::Duration HintInterval = milliseconds(250);

/// Limits the datagrams per hint in a large fleet. The other nodes poll the log
/// as usual.
constexpr std::size_t MaxHintRecipients = 24;

/// Limits for the upstream's requests, which are small.
constexpr net::ServerLimits ControlLimits{
    16'384, 1U << 20U, std::chrono::seconds(3), std::chrono::seconds(60)};

/// Length of a list of ranges in a log line, in characters.
constexpr std::size_t MaxRangesLength = 2000;

/// Appends "FROM-TO:TOKEN" to a list for the log, which is cut off if it gets
/// too long.
void appendRange(std::string &list, const holdings::Holding &row) {
  if (list.size() > MaxRangesLength)
    return;
  list += fmt::format("{}{}-{}:{}", list.empty() ? "" : " ", row.Keys.From,
                      row.Keys.To, row.Token);
  if (list.size() > MaxRangesLength)
    list += " ...";
}

} // namespace

Control::Control(boost::asio::io_context &loop, ControlOptions options,
                 ControlCodec codec, ControlLogs logs,
                 std::shared_ptr<logging::Logger> logger, ControlHooks hooks)
    : Loop(loop), Options(std::move(options)), Codec(std::move(codec)),
      Logs(std::move(logs)), Log(std::move(logger)), Hooks(std::move(hooks)),
      Timer(loop), Readers(Options.Agent.Name, Options.Agent.DataCentre),
      Renewals(Logs.Fleet, Log, core::BootClock::now()),
      Agent(Options.Agent, Options.Timing, core::BootClock::now()) {
  if (Options.Rollouts)
    Rollouts.emplace(
        RolloutIdentity{Options.Agent.Name, Options.Agent.Incarnation},
        *Options.Rollouts, Codec, Logs.Status, Log, rolloutHooks());
}

core::Result<void> Control::start() {
  auto server = net::HttpServer::create(
      Loop, Options.Listen, ControlLimits,
      [this](const ExchangePointer &exchange) { handle(exchange); });
  if (!server)
    return tl::unexpected(server.error());
  Server = std::move(*server);
  auto gossip = net::DatagramSocket::create(
      Loop, Options.Gossip,
      [this](std::string_view bytes) { onDatagram(bytes); });
  if (!gossip)
    return tl::unexpected(gossip.error());
  Gossip = std::move(*gossip);
  auto relay = LogRelay::create(Loop, Options.Relay, relayHooks());
  if (!relay)
    return tl::unexpected(relay.error());
  Relay = std::move(*relay);
  Operators = std::make_unique<feed::KeyedFeed>(
      Loop, Relay->wrap(RelayedLog::Operators, Logs.Operators),
      Options.OperatorReads.Direct, operatorHooks());
  Fleet = std::make_unique<feed::KeyedFeed>(
      Loop, Relay->wrap(RelayedLog::Fleet, Logs.Fleet), FleetPollTiming,
      fleetHooks());
  Operators->start();
  Fleet->start();
  tick();
  return {};
}

void Control::beginDrain() {
  Agent.beginDrain();
  Log->write(logging::Level::Info, "drain_started", {});
  // Announces the drain before the node refuses requests from other nodes.
  appendPending(core::BootClock::now());
}

void Control::upstreamRefused() {
  const auto now = core::BootClock::now();
  if (!Agent.upstreamRefused(now))
    return;
  Log->write(logging::Level::Warning, "upstream_gone",
             {{"upstream", Agent.upstreamProcess().Id},
              {"silent_ms", core::toMilliseconds(now - HeardAt)}});
  IsViewStale = true;
  appendPending(now);
}

void Control::enterEra(RelayedLog log, core::LogEra era) {
  Relay->buffer(log).enterEra(era);
  Log->write(logging::Level::Warning, "log_era",
             {{"log", toString(log)}, {"era", era}});
  if (log == RelayedLog::Fleet) {
    Operators->eraHeard(era);
    const auto now = core::BootClock::now();
    Agent.enterEra(Ledger, now);
    Ledger.enterEra(era, now);
    IsEraSnapshot = IsFleetLoaded;
    if (const auto claim = Agent.pendingClaim(Ledger))
      logClaim(*claim);
    appendPending(now);
    return;
  }
  Fleet->eraHeard(era);
  if (!DataCentresOut.empty())
    OperatorsRestoredAt = core::BootClock::now() + OperatorRestoreTime;
}

feed::FeedHooks Control::operatorHooks() {
  return {
      [this](const std::vector<feed::KeyedRecord> &records, core::Offset end,
             core::TimePoint requestedAt) {
        Relay->buffer(RelayedLog::Operators).reset(end, requestedAt);
        applyOperators(records, true);
        onOperatorsConfirmed(requestedAt);
      },
      [this](const std::vector<feed::KeyedRecord> &records, core::Offset end,
             core::TimePoint requestedAt) {
        Relay->buffer(RelayedLog::Operators).add(records, end, requestedAt);
        applyOperators(records, false);
        onOperatorsConfirmed(requestedAt);
      },
      [this](bool isReachable, std::string_view detail) {
        logReachability("operators", isReachable, detail);
      },
      [this](const core::Error &error) { logDecodeError("operators", error); },
      [this](core::LogEra era) { enterEra(RelayedLog::Operators, era); }};
}

feed::FeedHooks Control::fleetHooks() {
  return {[this](const std::vector<feed::KeyedRecord> &records,
                 core::Offset end, core::TimePoint requestedAt) {
            Relay->buffer(RelayedLog::Fleet).reset(end, requestedAt);
            if (Rollouts)
              Rollouts->recordsConfirmed(requestedAt);
            applyFleet(records, end, true);
          },
          [this](const std::vector<feed::KeyedRecord> &records,
                 core::Offset end, core::TimePoint requestedAt) {
            Relay->buffer(RelayedLog::Fleet).add(records, end, requestedAt);
            if (Rollouts)
              Rollouts->recordsConfirmed(requestedAt);
            applyFleet(records, end, false);
          },
          [this](bool isReachable, std::string_view detail) {
            logReachability("fleet", isReachable, detail);
          },
          [this](const core::Error &error) { logDecodeError("fleet", error); },
          [this](core::LogEra era) { enterEra(RelayedLog::Fleet, era); }};
}

void Control::logReachability(std::string_view log, bool isReachable,
                              std::string_view detail) {
  Log->write(isReachable ? logging::Level::Info : logging::Level::Warning,
             isReachable ? "log_regained" : "log_lost",
             {{"log", log}, {"detail", detail}});
}

void Control::logDecodeError(std::string_view log, const core::Error &error) {
  Log->write(logging::Level::Error, "record_unreadable",
             {{"log", log}, {"detail", error.Detail}});
}

void Control::applyOperators(const std::vector<feed::KeyedRecord> &records,
                             bool isSnapshot) {
  std::set<std::string, std::less<>> ordered;
  // A data centre stays out while the record that took it out may be missing.
  if (isSnapshot && core::BootClock::now() >= OperatorsRestoredAt)
    DataCentresOut.clear();
  for (const feed::KeyedRecord &it : records) {
    const OperatorKey key = Codec.ParseOperatorKey(it.Key);
    if (key.What == OperatorKey::Kind::Configuration && it.Value) {
      applyConfiguration(*it.Value);
    } else if (key.What == OperatorKey::Kind::DataCentreOut) {
      Log->write(logging::Level::Info,
                 it.Value ? "data_centre_out" : "data_centre_in",
                 {{"data_centre", key.DataCentre}});
      if (it.Value)
        DataCentresOut.insert(key.DataCentre);
      else
        DataCentresOut.erase(key.DataCentre);
    } else if (key.What == OperatorKey::Kind::Rollout && Rollouts) {
      Rollouts->applyOrder(key.Service, it.Value, core::BootClock::now());
      ordered.insert(key.Service);
    }
  }
  if (isSnapshot && Rollouts)
    Rollouts->keepOrders(ordered);
  if (records.empty() && !isSnapshot)
    return;
  Ledger.setDataCentresOut(DataCentresOut);
  IsViewStale = true;
  const auto now = core::BootClock::now();
  if (!Ledger.isDataCentreOut(Options.Agent.DataCentre))
    DataCentreOutSince.reset();
  else if (!DataCentreOutSince)
    DataCentreOutSince = now;
  Agent.ledgerChanged(Ledger, now);
  publish(now);
}

void Control::applyConfiguration(const std::string &value) {
  auto decoded = Codec.DecodeConfiguration(value);
  auto table = decoded ? routing::RouteTable::create(std::move(*decoded))
                       : tl::unexpected(decoded.error());
  if (!table) {
    Log->write(logging::Level::Error, "configuration_unreadable",
               {{"detail", table.error().Detail}});
    return;
  }
  const std::uint64_t version = (*table)->configuration().Version;
  const std::uint64_t before = Routes ? Routes->configuration().Version : 0;
  if (version < before)
    return; // An older record, read again after a restart of the feed.
  if (version > before)
    Log->write(logging::Level::Info, "configuration",
               {{"version", version},
                {"before", before},
                {"routes", (*table)->configuration().Routes.size()}});
  if (version > before)
    for (const routing::Route &it : (*table)->configuration().Routes)
      if (it.Kind == routing::WorkKind::Unsupported)
        Log->write(logging::Level::Error, "route_unsupported",
                   {{"route", it.Name},
                    {"kind", it.UnknownKind},
                    {"version", version}});
  Routes = std::move(*table);
  if (Rollouts)
    Rollouts->setRoutes(*Routes);
}

void Control::onOperatorsConfirmed(core::TimePoint requestedAt) {
  Hooks.OnConfigurationConfirmed(requestedAt);
  if (!Rollouts)
    return;
  const bool hasAwaited = Rollouts->awaitsOrders();
  Rollouts->ordersConfirmed(requestedAt);
  IsViewStale = IsViewStale || (hasAwaited && !Rollouts->awaitsOrders());
}

void Control::applyFleet(const std::vector<feed::KeyedRecord> &records,
                         core::Offset end, bool isSnapshot) {
  const auto now = core::BootClock::now();
  if (isSnapshot && !std::exchange(IsEraSnapshot, false)) {
    std::set<std::string, std::less<>> presentKeys;
    for (const feed::KeyedRecord &it : records)
      presentKeys.insert(it.Key);
    std::vector<std::string> gone;
    for (const auto &[name, it] : Ledger.members())
      if (!presentKeys.contains(codec::nodeKey(name)))
        gone.push_back(name);
    for (const std::string &it : gone)
      Ledger.removeNode(it);
  }
  std::set<std::string, std::less<>> decided;
  for (const feed::KeyedRecord &it : records) {
    applyFleetRecord(it, end, now);
    if (const auto key = codec::parseFleetKey(it.Key);
        isSnapshot && key.What == codec::FleetKey::Kind::Rollout)
      decided.insert(key.Name);
  }
  if (isSnapshot && Rollouts)
    Rollouts->keepDecisions(decided);
  Ledger.setEnd(end);
  if (std::exchange(HasUnannouncedChange, false))
    sendHints(true);
  IsFleetLoaded = true;
  IsViewStale = IsViewStale || !records.empty();
  if (Rollouts) {
    Rollouts->setFleet(Ledger, now);
    // An order for a version that was just seen must be known before its use.
    if (Rollouts->awaitsOrders())
      Operators->readNow();
  }
  Agent.ledgerChanged(Ledger, now);
  updateReaders(now);
  answerDeferredHeartbeats(now);
  answerDeferredLeaves(now);
  ProposalDeadline = now + ProposalWindow;
  appendPending(now);
}

void Control::applyFleetRecord(const feed::KeyedRecord &record,
                               core::Offset end, core::TimePoint now) {
  const codec::FleetKey key = codec::parseFleetKey(record.Key);
  const auto logRecordError = [&](const core::Error &error) {
    Log->write(logging::Level::Error, "fleet_record_unreadable",
               {{"key", record.Key}, {"detail", error.Detail}});
  };
  switch (key.What) {
  case codec::FleetKey::Kind::Node:
    if (!record.Value)
      Ledger.removeNode(key.Name);
    else if (const auto node = codec::decodeNode(*record.Value, key.Name);
             !node)
      logRecordError(node.error());
    else
      Ledger.applyNode(*node, now);
    return;
  case codec::FleetKey::Kind::Holdings:
    if (key.Era != Ledger.era())
      return;
    if (!record.Value)
      Ledger.applyHoldings(key.Name, {key.Part, {}});
    else if (auto part =
                 codec::decodeHoldings(*record.Value, key.Part,
                                       holdings::makeToken(Ledger.era(), end)))
      Ledger.applyHoldings(key.Name, std::move(*part));
    else
      logRecordError(part.error());
    return;
  case codec::FleetKey::Kind::Claim:
    if (key.Era != Ledger.era() || !record.Value)
      return;
    if (auto claim = codec::decodeClaim(*record.Value, key.Name,
                                        holdings::makeToken(Ledger.era(), end)))
      Ledger.applyClaim(std::move(*claim));
    else
      logRecordError(claim.error());
    return;
  case codec::FleetKey::Kind::Rollout:
    if (Rollouts)
      Rollouts->applyDecision(key.Name, record.Value, now);
    return;
  case codec::FleetKey::Kind::Unknown:
    return;
  }
}

void Control::handle(const ExchangePointer &exchange) {
  const UpstreamCall call = Codec.ParseCall(exchange->request());
  switch (call.What) {
  case UpstreamCall::Kind::Heartbeat:
    handleHeartbeat(exchange, call.UpstreamId);
    return;
  case UpstreamCall::Kind::Leaves:
    Log->write(logging::Level::Info, "upstream_leaves",
               {{"upstream", call.UpstreamId}});
    Agent.upstreamLeaves(call.UpstreamId, core::BootClock::now());
    IsViewStale = true;
    DeferredLeaves.push_back({exchange, call.UpstreamId});
    appendPending(core::BootClock::now());
    answerDeferredLeaves(core::BootClock::now());
    return;
  case UpstreamCall::Kind::Unknown:
    exchange->respond(net::HttpResponse(net::http::status::not_found, 11));
    return;
  }
}

void Control::handleHeartbeat(const ExchangePointer &exchange,
                              const std::string &upstreamId) {
  const auto now = core::BootClock::now();
  const auto heartbeat =
      Codec.DecodeHeartbeat(upstreamId, exchange->request().body(), keyLists());
  if (!heartbeat) {
    Log->write(
        logging::Level::Warning, "heartbeat_unreadable",
        {{"upstream", upstreamId}, {"detail", heartbeat.error().Detail}});
    exchange->respond(net::HttpResponse(net::http::status::bad_request, 11));
    return;
  }
  const holdings::UpstreamProcess before = Agent.upstreamProcess();
  const holdings::UpstreamState stateBefore = Agent.state();
  const bool isOwn = heartbeat->Service == Options.Agent.Service;
  if (!isOwn || !Agent.acceptHeartbeat(*heartbeat, now)) {
    Log->write(logging::Level::Info, "heartbeat_ignored",
               {{"upstream", upstreamId},
                {"service", heartbeat->Service},
                {"sequence", heartbeat->Sequence},
                {"born", heartbeat->Process.StartUnixMs},
                {"known_born", before.StartUnixMs}});
    net::HttpResponse out(net::http::status::ok, 11);
    out.body() = Codec.EncodeGrant(std::nullopt);
    exchange->respond(std::move(out));
    return;
  }
  if (!(before == Agent.upstreamProcess()) || stateBefore != Agent.state()) {
    Log->write(logging::Level::Info, "upstream_changed",
               {{"upstream", upstreamId},
                {"born", Agent.upstreamProcess().StartUnixMs},
                {"state", static_cast<unsigned>(Agent.state())},
                {"before", before.Id}});
    LastGrant.reset();
  }
  HeardAt = now;
  ColdUntil = now + heartbeat->ColdRemaining;
  IsViewStale = true;
  Agent.ledgerChanged(Ledger, now);
  sendReleaseNotice(now);
  appendPending(now);
  const bool isDelayed =
      isKeyed() && IsFleetLoaded && Agent.answerDelay(Ledger).count() > 0;
  if (isDelayed || isLeaveUnrecorded())
    DeferredHeartbeats.push_back({exchange, heartbeat->Process});
  else
    answerHeartbeat({exchange, heartbeat->Process});
}

bool Control::isLeaveUnrecorded() const {
  return Agent.state() == holdings::UpstreamState::Leaving &&
         !Agent.isLeaveRecorded(Agent.upstreamProcess().Id, Ledger);
}

void Control::refuseLeave(const ExchangePointer &exchange,
                          std::string_view upstreamId) {
  Log->write(logging::Level::Warning, "leave_not_recorded",
             {{"upstream", upstreamId}});
  exchange->respond(
      net::HttpResponse(net::http::status::service_unavailable, 11));
}

void Control::answerDeferredLeaves(core::TimePoint now) {
  std::erase_if(DeferredLeaves, [&](const PendingLeave &it) {
    const bool isRecorded = Agent.isLeaveRecorded(it.UpstreamId, Ledger);
    const bool isLate = now - it.Exchange->Received >= LeaveRecordTimeout;
    if (isRecorded)
      it.Exchange->respond(net::HttpResponse(net::http::status::ok, 11));
    else if (isLate)
      refuseLeave(it.Exchange, it.UpstreamId);
    return isRecorded || isLate;
  });
}

void Control::answerHeartbeat(const PendingHeartbeat &heartbeat) {
  const auto now = core::BootClock::now();
  if (isLeaveUnrecorded()) {
    refuseLeave(heartbeat.Exchange, heartbeat.Process.Id);
    return;
  }
  std::optional<holdings::Grant> grant;
  if (isKeyed() && IsFleetLoaded)
    grant = Agent.grantTo(heartbeat.Process, Ledger, now);
  if (grant) {
    logGrant(*grant);
    LastGrant = grant;
    GrantedUntil = now + grant->Length;
    std::sort(
        LastGrant->Rows.begin(), LastGrant->Rows.end(),
        [](const auto &a, const auto &b) { return a.Keys.From < b.Keys.From; });
  }
  net::HttpResponse out(net::http::status::ok, 11);
  out.set(net::http::field::content_type, "application/json");
  out.body() = Codec.EncodeGrant(grant);
  heartbeat.Exchange->respond(std::move(out));
  IsViewStale = true;
  publish(now);
}

void Control::logGrant(const holdings::Grant &grant) {
  const bool isChanged = !LastGrant || LastGrant->Rows != grant.Rows;
  std::vector<logging::Field> fields{
      {"upstream", Agent.upstreamProcess().Id},
      {"heartbeat", Agent.heartbeatSequence()},
      {"ms", core::toMilliseconds(grant.Length)}};
  if (!isChanged) {
    Log->write(logging::Level::Debug, "keys_renewed", fields);
    return;
  }
  holdings::Key keys = 0;
  std::string ranges;
  for (const holdings::Holding &it : grant.Rows) {
    keys += it.Keys.size();
    appendRange(ranges, it);
  }
  fields.insert(fields.end(), {{"rows", grant.Rows.size()},
                               {"keys", keys},
                               {"ranges", ranges},
                               {"outgoing", Agent.outgoing().size()},
                               {"log_end", Ledger.end()},
                               {"utilization", OwnLoad.Utilization}});
  Log->write(logging::Level::Info, "keys_granted", fields);
}

void Control::logClaim(const holdings::HoldingClaim &claim) {
  std::string ranges;
  for (const holdings::Holding &it : claim.Rows)
    appendRange(ranges, it);
  Log->write(
      logging::Level::Info, "keys_claimed",
      {{"era", Ledger.era()}, {"rows", claim.Rows.size()}, {"ranges", ranges}});
}

void Control::logFreedKeys(const holdings::HoldingChange &change) {
  // One line for each former holder and cause.
  std::map<std::pair<std::string, holdings::FreeCause>, std::string> ranges;
  for (const holdings::ReleasedKeys &it : change.Freed)
    appendRange(ranges[{it.Row.Node, it.Cause}], it.Row);
  const auto now = core::BootClock::now();
  for (const auto &[from, text] : ranges) {
    const holdings::Member *holder = Ledger.findMember(from.first);
    const auto age = holder ? now - holder->ReadAt : core::Duration{};
    Log->write(logging::Level::Info, "keys_freed",
               {{"holder", from.first},
                {"cause", toString(from.second)},
                {"ranges", text},
                {"at", change.At},
                {"sequence", holder ? holder->Record.Sequence : 0},
                {"record_age_ms", core::toMilliseconds(age)}});
  }
}

void Control::answerDeferredHeartbeats(core::TimePoint now) {
  if (DeferredHeartbeats.empty())
    return;
  const core::Duration delay =
      isLeaveUnrecorded() ? LeaveRecordTimeout : Agent.answerDelay(Ledger);
  std::vector<PendingHeartbeat> due;
  std::erase_if(DeferredHeartbeats, [&](const PendingHeartbeat &it) {
    const bool isDue = now - it.Exchange->Received >= delay;
    if (isDue)
      due.push_back(it);
    return isDue;
  });
  for (const PendingHeartbeat &it : due)
    answerHeartbeat(it);
}

void Control::setLoad(holdings::KeyedLoad load) {
  OwnLoad = load.Node;
  Agent.setLoad(std::move(load));
}

RelayHooks Control::relayHooks() {
  return {[this](RelayedLog log) { return chooseRelay(log); },
          [this](std::string_view host, const core::Error &error) {
            onRelayFailed(host, error);
          },
          [this](StoreCallCause cause) { countStoreCall(cause); },
          [this](StoreCallCause cause) {
            if (cause != StoreCallCause::ProposalRead)
              return;
            const auto now = core::BootClock::now();
            Agent.proposalReadFailed(now);
            if (Rollouts)
              Rollouts->proposalEnded(false, now);
          },
          [this](const feed::KeyedRecord &record,
                 holdings::RenewalBatch::DoneHook onDone) {
            return Renewals.accept(record, std::move(onDone));
          }};
}

RelayChoice Control::chooseRelay(RelayedLog log) {
  const auto now = core::BootClock::now();
  // A proposal needs the actual end of the log, which a relay may not know.
  if (log == RelayedLog::Fleet && isKeyed() &&
      Agent.hasChangeToPropose(Ledger, now))
    return {{}, StoreCallCause::ProposalRead};
  if (log == RelayedLog::Fleet && Rollouts && Rollouts->hasProposal(now))
    return {{}, StoreCallCause::ProposalRead};
  if (log == RelayedLog::Operators && Rollouts && Rollouts->awaitsOrders())
    return {{}, StoreCallCause::Poll};
  const core::Duration maxAge = log == RelayedLog::Operators
                                    ? Options.OperatorReads.Relayed.MaxAge
                                    : MaxFleetRelayAge;
  if (log == RelayedLog::Fleet)
    if (const auto hintSenderHost = std::exchange(HintSenderHost, std::nullopt))
      return {*hintSenderHost, StoreCallCause::Poll, maxAge};
  if (Readers.isReader())
    return {{}, StoreCallCause::Poll};
  if (const auto host = Readers.select(now))
    return {*host, StoreCallCause::Poll, maxAge};
  return {{}, StoreCallCause::NoRelay};
}

void Control::onRelayFailed(std::string_view host, const core::Error &error) {
  Readers.failed(host, core::BootClock::now());
  Log->write(logging::Level::Debug, "relay_failed",
             {{"host", host}, {"detail", error.Detail}});
}

void Control::updateReaders(core::TimePoint now) {
  std::vector<feed::RelayCandidate> candidates;
  for (const auto &[name, it] : Ledger.members())
    if (!it.isLapsed(now) && !it.Record.IsStopping)
      candidates.push_back({name, it.Record.DataCentre, it.Record.Peer.Host});
  if (!Readers.update(candidates))
    return;
  const bool isReader = Readers.isReader();
  Log->write(logging::Level::Info, "log_readers",
             {{"reads_itself", isReader},
              {"reader", Readers.select(now).value_or("")}});
  Operators->setPollTiming(isReader ? Options.OperatorReads.Direct
                                    : Options.OperatorReads.Relayed);
  Fleet->setPollTiming(isReader ? FleetPollTiming : FleetRelayPollTiming);
}

void Control::onDatagram(std::string_view bytes) {
  auto datagram = codec::decodeDatagram(bytes);
  if (!datagram) {
    Log->write(logging::Level::Warning, "datagram_unreadable",
               {{"detail", datagram.error().Detail}});
    return;
  }
  const auto now = core::BootClock::now();
  if (auto *notice = std::get_if<holdings::ReleaseNotice>(&*datagram)) {
    Agent.receiveNotice(std::move(*notice), now);
    appendPending(now);
    return;
  }
  if (const auto *report = std::get_if<rollouts::CountReport>(&*datagram)) {
    if (Rollouts)
      Rollouts->receive(*report, now);
    return;
  }
  const auto *hint = std::get_if<codec::FleetHint>(&*datagram);
  if (hint == nullptr)
    return;
  Agent.setPeerLoad(hint->Node, hint->Load, now);
  Fleet->eraHeard(hint->Era);
  if (!IsFleetLoaded || hint->FleetEnd <= Ledger.end())
    return;
  const auto *member = Ledger.findMember(hint->Node);
  if (member != nullptr)
    HintSenderHost = member->Record.Peer.Host;
  Fleet->readNow();
}

void Control::sendHints(bool announcesChange) {
  HintsSentAt = core::BootClock::now();
  // Lease renewals move the end all the time, so periodic hints omit it.
  const std::string bytes = codec::encodeDatagram(
      codec::FleetHint{Options.Agent.Name, announcesChange ? Ledger.end() : 0,
                       OwnLoad, Ledger.era()});
  std::vector<const holdings::Member *> recipients;
  for (const auto &[name, it] : Ledger.members()) {
    const bool isRecipient =
        announcesChange || it.Record.Service == Options.Agent.Service;
    if (isRecipient && name != Options.Agent.Name && !it.isLapsed(HintsSentAt))
      recipients.push_back(&it);
  }
  if (recipients.size() > MaxHintRecipients)
    std::rotate(recipients.begin(),
                recipients.begin() + static_cast<std::ptrdiff_t>(
                                         core::randomId() % recipients.size()),
                recipients.end());
  // New holders first, so that their upstreams are granted the keys soon.
  std::stable_partition(
      recipients.begin(), recipients.end(), [&](const holdings::Member *it) {
        return announcesChange && NewHolders.contains(it->Record.Name);
      });
  if (announcesChange)
    NewHolders.clear();
  if (recipients.size() > MaxHintRecipients)
    recipients.resize(MaxHintRecipients);
  for (const holdings::Member *it : recipients)
    Gossip->send({it->Record.Peer.Host, Options.Gossip.Port}, bytes);
}

void Control::sendReleaseNotice(core::TimePoint now) {
  if (!isKeyed() || !IsFleetLoaded)
    return;
  while (const auto notice = Agent.nextNotice(Ledger, now)) {
    Log->write(
        logging::Level::Debug, "release_told",
        {{"coordinator", notice->To}, {"ranges", notice->Notice.Keys.size()}});
    sendToNode(notice->To, codec::encodeDatagram(notice->Notice));
  }
}

void Control::setVersionCounts(std::vector<rollouts::CountReport> counts) {
  if (Rollouts)
    Rollouts->setCounts(std::move(counts));
}

RolloutHooks Control::rolloutHooks() {
  return {[this](std::string_view node, std::string_view bytes) {
            sendToNode(node, bytes);
          },
          [this] { countStoreCall(StoreCallCause::RolloutStatus); }};
}

void Control::sendToNode(std::string_view node, std::string_view bytes) {
  if (const auto *to = Ledger.findMember(node))
    Gossip->send({to->Record.Peer.Host, Options.Gossip.Port}, bytes);
}

void Control::tick() {
  const auto now = core::BootClock::now();
  if (isKeyed() && now - HintsSentAt >= HintInterval)
    sendHints(false);
  Agent.ledgerChanged(Ledger, now);
  answerDeferredHeartbeats(now);
  answerDeferredLeaves(now);
  sendReleaseNotice(now);
  if (Rollouts && IsFleetLoaded) {
    // Nodes lapse without a record.
    if (Rollouts->isBusy())
      Rollouts->setFleet(Ledger, now);
    Rollouts->tick(now);
    IsViewStale = IsViewStale || Rollouts->isViewStale(now);
  }
  appendPending(now);
  if (Renewals.appendDue(Ledger, now))
    countStoreCall(StoreCallCause::Renewal);
  reportStoreCalls(now);
  if (OperatorsRestoredAt != core::TimePoint{} && now >= OperatorsRestoredAt) {
    OperatorsRestoredAt = {};
    Operators->readSnapshot();
  }
  publish(now);
  Timer.expires_after(TickInterval);
  Timer.async_wait([this](error_code ec) {
    if (!ec)
      tick();
  });
}

void Control::appendPending(core::TimePoint now) {
  if (IsAppending || !IsFleetLoaded)
    return;
  if (const auto record = Agent.nextRecord(Ledger, !isKeyed(), now)) {
    if (!holdings::isRenewal(*record, Ledger) || Agent.pendingClaim(Ledger)) {
      appendNodeRecord(*record);
      return;
    }
    renewLease(*record);
    if (IsAppending)
      return;
  }
  const bool hasDecision = Rollouts && Rollouts->hasProposal(now);
  const bool hasChange = isKeyed() && Agent.hasChangeToPropose(Ledger, now);
  if (!hasDecision && !hasChange)
    return;
  if (now >= ProposalDeadline) {
    Fleet->readNow();
    return;
  }
  const auto decision =
      hasDecision ? Rollouts->nextProposal(now) : std::nullopt;
  if (decision) {
    appendRolloutDecision(*decision);
    return;
  }
  if (!hasChange)
    return;
  if (const auto change = Agent.nextChange(Ledger, now))
    appendHoldingChange(*change);
}

void Control::appendNodeRecord(const holdings::NodeRecord &record) {
  IsAppending = true;
  Agent.recordSent(record.Sequence, core::BootClock::now());
  countStoreCall(holdings::isRenewal(record, Ledger)
                     ? StoreCallCause::Renewal
                     : StoreCallCause::StateChange);
  const holdings::Member *known = Ledger.findMember(record.Name);
  const bool isStateChange = known == nullptr ||
                             known->Record.State != record.State ||
                             known->Record.IsStopping != record.IsStopping;
  std::vector<feed::KeyedRecord> records{codec::toLogRecord(record)};
  if (const auto claim = Agent.pendingClaim(Ledger))
    records.push_back({codec::claimKey(Ledger.era(), claim->Node),
                       codec::encodeClaim(*claim)});
  const bool hasClaim = records.size() > 1;
  Logs.Fleet.Append(records, std::nullopt,
                    [this, isStateChange, hasClaim, sequence = record.Sequence](
                        const core::Result<feed::Appended> &result) {
                      // The lease of an earlier era may end soon.
                      if (hasClaim)
                        Fleet->readNow();
                      onNodeRecordAppended(sequence, isStateChange, result);
                    });
}

void Control::onNodeRecordAppended(std::uint64_t sequence, bool isStateChange,
                                   const core::Result<feed::Appended> &result) {
  IsAppending = false;
  if (!result) {
    Log->write(logging::Level::Warning, "record_not_appended",
               {{"detail", result.error().Detail}});
  } else {
    Fleet->eraHeard(result->Era);
    Agent.recordAcknowledged(sequence);
    answerDeferredHeartbeats(core::BootClock::now());
    answerDeferredLeaves(core::BootClock::now());
    if (isStateChange) {
      HasUnannouncedChange = true;
      Fleet->readNow();
    }
  }
  appendPending(core::BootClock::now());
}

void Control::renewLease(const holdings::NodeRecord &record) {
  const auto now = core::BootClock::now();
  const auto host = Readers.select(now);
  if (HasRenewalFailed || (!host && !Readers.isReader())) {
    HasRenewalFailed = false;
    appendNodeRecord(record);
    return;
  }
  Agent.recordSent(record.Sequence, now);
  auto onDone = [this, sequence = record.Sequence](auto round) {
    onLeaseRenewed(sequence, round);
  };
  if (host)
    Relay->sendRenewal(*host, codec::toLogRecord(record), std::move(onDone));
  else if (!Renewals.add({record, now, onDone}))
    onDone(std::nullopt);
}

void Control::onLeaseRenewed(std::uint64_t sequence,
                             std::optional<core::Duration> round) {
  const auto now = core::BootClock::now();
  // The renewal may follow a later record in the log, with an older state.
  if (round && Agent.isLastRecord(sequence)) {
    Agent.joinRenewalRound(now + *round);
    return;
  }
  HasRenewalFailed = true;
  Agent.renewAt(now);
  appendPending(now);
}

void Control::countStoreCall(StoreCallCause cause) {
  ++StoreCalls[static_cast<std::size_t>(cause)];
}

void Control::reportStoreCalls(core::TimePoint now) {
  if (now - StoreCallsReportedAt < StoreCallInterval)
    return;
  StoreCallsReportedAt = now;
  Hooks.OnStoreCalls(StoreCalls);
  std::vector<logging::Field> fields;
  for (std::size_t n = 0; n < StoreCalls.size(); ++n)
    if (StoreCalls[n] != 0)
      fields.push_back(
          {toString(static_cast<StoreCallCause>(n)), StoreCalls[n]});
  Log->write(logging::Level::Info, "store_calls", fields);
}

void Control::appendRolloutDecision(const feed::KeyedRecord &record) {
  IsAppending = true;
  const std::vector<feed::KeyedRecord> records{record};
  const auto sent = core::BootClock::now();
  Logs.Fleet.Append(
      records, Ledger.end(),
      [this, records, sent](const core::Result<feed::Appended> &result) {
        Rollouts->proposalEnded(result.has_value(), core::BootClock::now());
        finishChange(records, sent, result);
      });
}

void Control::appendHoldingChange(const holdings::HoldingChange &change) {
  IsAppending = true;
  Log->write(logging::Level::Info, "holdings_proposed",
             {{"service", change.Service},
              {"rows", change.Rows.size()},
              {"parts", change.Parts.size()},
              {"at", change.At},
              {"reason", change.Reason}});
  logFreedKeys(change);
  std::vector<feed::KeyedRecord> records;
  for (const holdings::HoldingPart &part : change.Parts)
    for (const holdings::Holding &it : part.Rows)
      if (it.Token == Ledger.nextToken())
        NewHolders.insert(it.Node);
  for (const holdings::HoldingPart &it : change.Parts)
    records.push_back(
        {codec::holdingsKey(Ledger.era(), change.Service, it.Number),
         codec::encodeHoldings(it.Rows)});
  const auto sent = core::BootClock::now();
  Logs.Fleet.Append(records, change.At,
                    [this, records, sent](core::Result<feed::Appended> result) {
                      onChangeAppended(records, sent, std::move(result));
                    });
}

void Control::onChangeAppended(const std::vector<feed::KeyedRecord> &records,
                               core::TimePoint sent,
                               core::Result<feed::Appended> result) {
  auto outcome = holdings::ChangeOutcome::Appended;
  if (!result)
    outcome = result.error().Kind == core::ErrorKind::LogOutcomeUnknown
                  ? holdings::ChangeOutcome::Unknown
                  : holdings::ChangeOutcome::Refused;
  Log->write(logging::Level::Info, "holdings_proposal_ended",
             {{"accepted", result.has_value()},
              {"detail", result ? "" : result.error().Detail}});
  Agent.changeCompleted(outcome, core::BootClock::now());
  finishChange(records, sent, result);
}

void Control::finishChange(const std::vector<feed::KeyedRecord> &records,
                           core::TimePoint sent,
                           const core::Result<feed::Appended> &result) {
  IsAppending = false;
  countStoreCall(result ? StoreCallCause::ChangeAccepted
                        : StoreCallCause::ChangeRefused);
  HasUnannouncedChange = HasUnannouncedChange || result.has_value();
  if (!result) {
    Fleet->readNow();
    return;
  }
  Fleet->eraHeard(result->Era);
  Fleet->appended(records, *result, sent);
}

bool Control::isKeyed() const {
  const auto *service =
      Routes ? Routes->findService(Options.Agent.Service) : nullptr;
  return service != nullptr && service->IsKeyed;
}

KeyLists Control::keyLists() const {
  // The log may have keys of the service before the configuration is read.
  const bool hasKeys = !Ledger.holdingsOf(Options.Agent.Service).empty();
  return isKeyed() || hasKeys ? KeyLists::Required : KeyLists::Optional;
}

proxy::OwnUpstream Control::describeOwnUpstream(core::TimePoint now) const {
  proxy::OwnUpstream out;
  out.Node = Options.Agent.Name;
  out.Service = Options.Agent.Service;
  out.Process = Agent.upstreamProcess();
  const bool isLeaving = LeavingSince && now - *LeavingSince > LeavingGrace;
  const bool isOut =
      DataCentreOutSince && now - *DataCentreOutSince > DataCentreOutGrace;
  // Until the log is read, the upstream may be one that has left.
  out.IsOpen = IsFleetLoaded &&
               Agent.state() != holdings::UpstreamState::Absent && !isLeaving &&
               !isOut;
  const auto *self = Ledger.findMember(Options.Agent.Name);
  out.Slots = self == nullptr ? 0 : self->Record.Slots;
  out.ColdUntil = ColdUntil;
  out.TypicalServiceTime = std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(Agent.typicalCost(now) * out.Slots));
  out.HeardAt = HeardAt;
  if (LastGrant)
    out.Granted = LastGrant->Rows;
  out.GrantedUntil = GrantedUntil;
  return out;
}

void Control::publish(core::TimePoint now) {
  if (IsFleetLoaded && Agent.state() == holdings::UpstreamState::Ready)
    LastReadyProcess = Agent.upstreamProcess();
  // An earlier incarnation of this node may have acknowledged the leave request
  // of an upstream that this one never saw ready. Its grace time is over then.
  if (Agent.state() != holdings::UpstreamState::Leaving)
    LeavingSince.reset();
  else if (!LeavingSince)
    LeavingSince = LastReadyProcess == Agent.upstreamProcess()
                       ? now
                       : now - 2 * LeavingGrace;
  const bool isTimed = LeavingSince || DataCentreOutSince;
  if (!IsViewStale && !isTimed)
    return;
  IsViewStale = false;
  auto view = std::make_shared<proxy::TrafficView>();
  view->Routes = Routes;
  view->Own = describeOwnUpstream(now);
  for (const auto &[name, it] : Ledger.members()) {
    if (now - it.ReadAt > MemberRetention)
      continue;
    view->Nodes.push_back(name);
    view->Services[it.Record.Service].Peers.push_back(
        {name, it.Record.DataCentre, it.Record.Peer,
         core::InstanceId{core::hashOf(name)}, it.Record.Process,
         it.Record.State == holdings::UpstreamState::Ready &&
             !Ledger.isDataCentreOut(it.Record.DataCentre),
         it.Record.IsStopping, it.Record.Version});
  }
  if (Routes)
    for (const routing::Service &it : Routes->configuration().Services) {
      auto &service = view->Services[it.Name];
      if (it.IsKeyed)
        service.Holdings = Ledger.routingRowsOf(it.Name);
    }
  if (Rollouts)
    Rollouts->describe(*view, now);
  // Adds this node, whose own record may not have been read yet.
  const auto self = std::lower_bound(view->Nodes.begin(), view->Nodes.end(),
                                     Options.Agent.Name);
  if (self == view->Nodes.end() || *self != Options.Agent.Name)
    view->Nodes.insert(self, Options.Agent.Name);
  Hooks.OnView(std::move(view));
}

} // namespace acaciaroad::sidecar
