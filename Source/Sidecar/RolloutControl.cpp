#include "Sidecar/RolloutControl.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "Codec/FleetRecords.h"
#include "Core/Identifiers.h"
#include "Core/Milliseconds.h"

namespace acaciaroad::sidecar {

using std::chrono::milliseconds;

namespace {

/// Interval at which a node reports its counts.
constexpr core::Duration ReportInterval = milliseconds(500);

/// A view whose shares end later by less than this isn't published anew.
constexpr core::Duration ViewTolerance = milliseconds(250);

/// A share that grew by less than this isn't published.
constexpr double ShareTolerance = 0.02;

constexpr core::Duration ShortestPause = milliseconds(100);
constexpr core::Duration LongestPause = milliseconds(1000);

std::string joined(std::span<const std::string> names) {
  return fmt::format("{}", fmt::join(names, " "));
}

bool isAlike(const rollouts::VersionShare &a, const rollouts::VersionShare &b) {
  return a.Version == b.Version && a.IsTaken == b.IsTaken &&
         a.Nodes == b.Nodes &&
         (a.Share == b.Share ||
          (a.IsTaken && b.Share < 1 && b.Share - a.Share < ShareTolerance)) &&
         (a.IsTaken || b.Until - a.Until < ViewTolerance);
}

} // namespace

RolloutControl::RolloutControl(RolloutIdentity identity,
                               rollouts::Bounds bounds,
                               const ControlCodec &codec, feed::KeyedLog status,
                               std::shared_ptr<logging::Logger> logger,
                               RolloutHooks hooks)
    : Identity(std::move(identity)), Codec(codec), Status(std::move(status)),
      Log(std::move(logger)), Hooks(std::move(hooks)),
      Agent(Identity.Node, bounds),
      ProposalPauses(ShortestPause, LongestPause, Identity.Incarnation),
      StatusPauses(ShortestPause, LongestPause, Identity.Incarnation + 1) {}

void RolloutControl::applyOrder(const std::string &service,
                                const std::optional<std::string> &value,
                                core::TimePoint now) {
  if (!value) {
    Agent.orderWithdrawn(service);
    Log->write(logging::Level::Info, "rollout_withdrawn",
               {{"service", service}});
    return;
  }
  const auto order = Codec.DecodeOrder(service, *value);
  if (!order) {
    Log->write(logging::Level::Error, "rollout_order_unreadable",
               {{"service", service}, {"detail", order.error().Detail}});
    return;
  }
  Agent.orderRead(*order, now);
  Log->write(logging::Level::Info, "rollout_ordered",
             {{"service", service},
              {"version", order->Version},
              {"length_ms", core::toMilliseconds(order->Length)}});
  Unsupported.erase(service);
  logUnsupported();
}

void RolloutControl::keepOrders(
    const std::set<std::string, std::less<>> &services) {
  for (const std::string &it : Agent.orderedServices())
    if (!services.contains(it))
      Agent.orderWithdrawn(it);
}

void RolloutControl::applyDecision(const std::string &service,
                                   const std::optional<std::string> &value,
                                   core::TimePoint now) {
  if (!value)
    return;
  const auto decision = codec::decodeRollout(*value, service);
  if (!decision) {
    Log->write(logging::Level::Error, "fleet_record_unreadable",
               {{"key", codec::rolloutKey(service)},
                {"detail", decision.error().Detail}});
    return;
  }
  const rollouts::Rollout *known = Agent.find(service);
  const bool isNew = known == nullptr || !(*known == *decision);
  Agent.recordRead(*decision, now);
  if (isNew)
    logDecision(*decision);
}

void RolloutControl::logDecision(const rollouts::Rollout &decision) {
  Log->write(logging::Level::Info, "rollout_phase",
             {{"service", decision.Request.Service},
              {"version", decision.Request.Version},
              {"phase", rollouts::toString(decision.Current)},
              {"cause", decision.Cause},
              {"age_ms", core::toMilliseconds(decision.PhaseBegan)},
              {"length_ms", core::toMilliseconds(decision.Request.Length)},
              {"former", joined(decision.FormerVersions)},
              {"rejected", joined(decision.RejectedVersions)}});
}

void RolloutControl::setRoutes(const routing::RouteTable &routes) {
  std::map<std::string, rollouts::ServiceFacts, std::less<>> facts;
  for (const routing::Service &it : routes.configuration().Services)
    facts[it.Name].IsKeyed = it.IsKeyed;
  for (const routing::Route &route : routes.configuration().Routes)
    for (const routing::WeightedService &it : route.Services) {
      core::Duration &longest = facts[it.Service].LongestRequest;
      longest = std::max(longest, route.Timeout);
    }
  Keyed.clear();
  for (const auto &[service, it] : facts)
    if (it.IsKeyed)
      Keyed.insert(service);
  Agent.setFacts(std::move(facts));
  logUnsupported();
}

void RolloutControl::logUnsupported() {
  for (const std::string &it : Agent.orderedServices())
    if (Keyed.contains(it) && Unsupported.insert(it).second)
      Log->write(
          logging::Level::Error, "rollout_unsupported",
          {{"service", it}, {"detail", "keys are not placed by version"}});
}

void RolloutControl::setFleet(const holdings::FleetLedger &ledger,
                              core::TimePoint now) {
  std::vector<rollouts::Instance> instances;
  std::vector<std::string> nodes;
  for (const auto &[name, it] : ledger.members()) {
    if (it.isLapsed(now))
      continue;
    if (!it.Record.IsStopping)
      nodes.push_back(name);
    const bool isOpen = it.Record.State == holdings::UpstreamState::Ready &&
                        !ledger.isDataCentreOut(it.Record.DataCentre);
    if (it.Record.Process.isKnown())
      instances.push_back({name, it.Record.Service, it.Record.Version,
                           it.Record.Process.Id, isOpen});
  }
  Agent.setFleet(std::move(instances), std::move(nodes), now);
}

bool RolloutControl::hasProposal(core::TimePoint now) const {
  return now >= NextProposal && Agent.proposal(now).has_value();
}

std::optional<feed::KeyedRecord>
RolloutControl::nextProposal(core::TimePoint now) {
  const auto proposal = Agent.proposal(now);
  if (!proposal)
    return std::nullopt;
  const rollouts::Rollout &record = proposal->Record;
  std::uint64_t former = 0;
  std::uint64_t next = 0;
  std::uint64_t failures = 0;
  for (const rollouts::RouteCounts &it : Agent.counts(record.Request.Service)) {
    former += it.Former.answers();
    next += it.Next.answers();
    failures += it.Next.Failures;
  }
  Log->write(
      logging::Level::Info, "rollout_proposed",
      {{"service", record.Request.Service},
       {"version", record.Request.Version},
       {"phase", rollouts::toString(record.Current)},
       {"before", proposal->Before ? rollouts::toString(*proposal->Before)
                                   : std::string_view()},
       {"cause", record.Cause},
       {"former_answers", former},
       {"answers", next},
       {"failures", failures}});
  return feed::KeyedRecord{codec::rolloutKey(record.Request.Service),
                           codec::encodeRollout(record)};
}

void RolloutControl::proposalEnded(bool isAppended, core::TimePoint now) {
  if (isAppended) {
    ProposalPauses.reset();
    return;
  }
  NextProposal = now + ProposalPauses.next();
}

void RolloutControl::tick(core::TimePoint now) {
  Agent.advance(now);
  if (now - CountsSentAt >= ReportInterval)
    sendCounts(now);
  writeStatus(now);
}

void RolloutControl::sendCounts(core::TimePoint now) {
  CountsSentAt = now;
  for (rollouts::CountReport &it : OwnCounts) {
    const auto receivers = Agent.receivers(it.Service);
    if (receivers.empty())
      continue;
    it.Node = Identity.Node;
    it.Incarnation = Identity.Incarnation;
    it.Age = Agent.orderAge(it.Service, now);
    std::string bytes;
    for (const std::string &to : receivers) {
      if (to == Identity.Node) {
        Agent.receive(it, now);
        continue;
      }
      if (bytes.empty())
        bytes = codec::encodeDatagram(it);
      Hooks.Send(to, bytes);
    }
  }
}

void RolloutControl::writeStatus(core::TimePoint now) {
  if (IsWritingStatus || now < NextStatus || !Status.ReadNewest)
    return;
  const auto untold = Agent.untoldDecisions();
  if (untold.empty())
    return;
  IsWritingStatus = true;
  const rollouts::Rollout &decision = untold.front();
  // The first page from the key's prefix on holds the key.
  std::string after = Codec.EncodeRolloutStatus(decision).Key;
  after.pop_back();
  Hooks.OnStoreCall();
  Status.ReadNewest(after,
                    [this, decision](const core::Result<feed::NewestPage> &it) {
                      if (it)
                        appendStatus(decision, *it);
                      else
                        onStatusEnded(decision, false);
                    });
}

void RolloutControl::appendStatus(const rollouts::Rollout &decision,
                                  const feed::NewestPage &page) {
  const feed::KeyedRecord record = Codec.EncodeRolloutStatus(decision);
  const auto known =
      std::find_if(page.Records.begin(), page.Records.end(),
                   [&](const auto &it) { return it.Key == record.Key; });
  if (known != page.Records.end() &&
      (known->Value == record.Value || isVerdict(decision, known->Value))) {
    onStatusEnded(decision, true);
    return;
  }
  // A late append of an earlier status must not replace a verdict.
  Hooks.OnStoreCall();
  Status.Append({{record}}, page.End,
                [this, decision](const core::Result<feed::Appended> &it) {
                  onStatusEnded(decision, it.has_value());
                });
}

bool RolloutControl::isVerdict(const rollouts::Rollout &decision,
                               const std::optional<std::string> &status) const {
  if (isFinal(decision.Current))
    return false;
  rollouts::Rollout verdict = decision;
  for (const auto it :
       {rollouts::Phase::Complete, rollouts::Phase::RolledBack}) {
    verdict.Current = it;
    if (Codec.EncodeRolloutStatus(verdict).Value == status)
      return true;
  }
  return false;
}

void RolloutControl::onStatusEnded(const rollouts::Rollout &decision,
                                   bool isWritten) {
  IsWritingStatus = false;
  if (!isWritten) {
    NextStatus = core::BootClock::now() + StatusPauses.next();
    return;
  }
  StatusPauses.reset();
  Agent.told(decision);
  Log->write(logging::Level::Info, "rollout_status_written",
             {{"service", decision.Request.Service},
              {"version", decision.Request.Version},
              {"phase", rollouts::toString(decision.Current)}});
}

bool RolloutControl::isViewStale(core::TimePoint now) const {
  const Shares present = Agent.shares(now);
  return present.size() != Shown.size() ||
         !std::equal(present.begin(), present.end(), Shown.begin(),
                     [](const auto &a, const auto &b) {
                       return a.first == b.first && isAlike(b.second, a.second);
                     });
}

void RolloutControl::describe(proxy::TrafficView &view, core::TimePoint now) {
  Shown = Agent.shares(now);
  for (auto &[name, service] : view.Services) {
    if (const auto it = Shown.find(name); it != Shown.end())
      service.Rollout = it->second;
    for (proxy::Peer &it : service.Peers)
      it.IsOpen = it.IsOpen && Agent.isUsable({it.Name, name, it.Version,
                                               it.Process.Id, true});
  }
}

} // namespace acaciaroad::sidecar
