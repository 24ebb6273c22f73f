#include "Codec/FleetRecords.h"

#include <cstddef>
#include <initializer_list>
#include <optional>
#include <utility>

#include <fmt/format.h>
#include <google/protobuf/stubs/logging.h>

#include "Codec/Generated/Fleet.pb.h"
#include "Core/ParseNumber.h"

namespace acaciaroad::codec {

namespace {

constexpr std::string_view NodePrefix = "node/";
/// Followed by "/" in era 0, and by ".ERA/" in later ones.
constexpr std::string_view HoldingsPrefix = "keys";
constexpr std::string_view ClaimPrefix = "claim";
constexpr std::string_view RolloutPrefix = "rollouts/";

/// Routes in a datagram of counts; a few kilobytes at most.
constexpr int MaxRoutes = 16;

/// Longest time of an order; a larger age would overflow a time.
constexpr core::Duration MaxAge = std::chrono::hours(24 * 30);

/// Counts up to this can be added for all nodes.
constexpr std::uint64_t MaxCount = std::uint64_t{1} << 40U;

tl::unexpected<core::Error> corrupt(std::string detail) {
  return core::fail(core::ErrorKind::CorruptMessage, std::move(detail));
}

void writeRow(const holdings::Holding &from, pb::FleetHolding &to) {
  to.set_from(from.Keys.From);
  to.set_to(from.Keys.To);
  to.set_node(from.Node);
  to.set_upstream_id(from.Process.Id);
  to.set_upstream_born(from.Process.StartUnixMs);
  to.set_token(from.Token);
  to.set_handover(from.Handover);
}

bool isBirth(std::int64_t born) {
  return born >= 0 && born <= holdings::MaxStartUnixMs;
}

/// Loads and costs are divided by each other; neither may overflow.
bool isLoad(const holdings::NodeLoad &load) {
  constexpr double Largest = 1e6;
  constexpr double LeastCost = 1e-12;
  const bool isCost =
      load.Cost == 0 || (load.Cost >= LeastCost && load.Cost <= Largest);
  return load.Utilization >= 0 && load.Utilization <= Largest && isCost;
}

/// A field that a message must have. An absent one has its default value.
struct RequiredField {
  std::string_view Name;
  bool IsPresent = false;
};

/// Fails with the name of the first field that \p message lacks.
core::Result<void> checkFields(std::string_view message,
                               std::initializer_list<RequiredField> fields) {
  for (const RequiredField &it : fields)
    if (!it.IsPresent)
      return corrupt(fmt::format("{}: {}: missing", message, it.Name));
  return {};
}

core::Result<void> checkNode(const pb::FleetNode &in) {
  const bool isPresent = in.state() != 0;
  return checkFields(
      "a node's record",
      {{"name", !in.name().empty()},
       {"data_centre", !in.data_centre().empty()},
       {"service", !in.service().empty()},
       {"peer", !in.peer().empty()},
       {"incarnation", in.incarnation() != 0},
       {"sequence", in.sequence() != 0},
       {"upstream_id", !isPresent || !in.upstream_id().empty()}});
}

core::Result<void> checkRow(std::string_view message,
                            const pb::FleetHolding &in) {
  return checkFields(message, {{"node", !in.node().empty()},
                               {"upstream_id", !in.upstream_id().empty()},
                               {"token", in.token() != 0}});
}

bool isRange(const pb::FleetHolding &row) {
  return row.from() <= row.to() && row.to() < holdings::KeyCount;
}

holdings::Holding readRow(const pb::FleetHolding &row) {
  return {{row.from(), row.to()},
          row.node(),
          {row.upstream_id(), row.upstream_born()},
          row.token(),
          row.handover()};
}

std::string eraPrefix(std::string_view prefix, core::LogEra era) {
  return era == 0 ? fmt::format("{}/", prefix)
                  : fmt::format("{}.{}/", prefix, era);
}

/// Removes what `eraPrefix` returns from \p key. Returns the era, or nullopt if
/// \p key begins otherwise.
std::optional<core::LogEra> removeEraPrefix(std::string_view prefix,
                                            std::string_view &key) {
  const std::size_t slash = key.find('/');
  if (!key.starts_with(prefix) || slash == std::string_view::npos)
    return std::nullopt;
  std::string_view text = key.substr(prefix.size(), slash - prefix.size());
  std::optional<core::LogEra> era = 0;
  if (!text.empty() && text.front() == '.')
    era = core::parseNumber<core::LogEra>(text.substr(1));
  else if (!text.empty())
    return std::nullopt;
  key.remove_prefix(slash + 1);
  return era;
}

core::Result<std::vector<holdings::Holding>>
readRows(std::string_view what,
         const google::protobuf::RepeatedPtrField<pb::FleetHolding> &rows,
         const holdings::KeyRange &range, holdings::FencingToken nextToken) {
  std::vector<holdings::Holding> out;
  holdings::Key from = range.From;
  for (const pb::FleetHolding &it : rows) {
    if (!isRange(it) || it.from() < from || it.to() > range.To)
      return corrupt(fmt::format("{} has rows out of order", what));
    if (auto done = checkRow(what, it); !done)
      return tl::unexpected(done.error());
    if (it.token() >= nextToken || !isBirth(it.upstream_born()))
      return corrupt(fmt::format("{} has a number out of range", what));
    out.push_back(readRow(it));
    from = it.to() + 1;
  }
  return out;
}

void writeCounts(const rollouts::AnswerCounts &from,
                 pb::FleetAnswerCounts &to) {
  to.set_failures(from.Failures);
  std::size_t used = rollouts::LatencyBins;
  while (used > 0 && from.Latency[used - 1] == 0)
    --used;
  for (std::size_t n = 0; n < used; ++n)
    to.add_latency(from.Latency[n]);
}

/// Returns nothing if a number is out of range.
std::optional<rollouts::AnswerCounts>
readCounts(const pb::FleetAnswerCounts &from) {
  rollouts::AnswerCounts out;
  if (from.latency_size() > static_cast<int>(rollouts::LatencyBins))
    return std::nullopt;
  for (int n = 0; n < from.latency_size(); ++n) {
    if (from.latency(n) > MaxCount)
      return std::nullopt;
    out.Latency[static_cast<std::size_t>(n)] = from.latency(n);
  }
  out.Failures = from.failures();
  if (out.Failures > out.answers())
    return std::nullopt;
  return out;
}

void writeReport(const rollouts::CountReport &from, pb::FleetCounts &to) {
  to.set_node(from.Node);
  to.set_incarnation(from.Incarnation);
  to.set_service(from.Service);
  to.set_version(from.Version);
  to.set_age(from.Age.count());
  for (const rollouts::RouteCounts &it : from.Routes) {
    if (to.routes_size() == MaxRoutes)
      break;
    pb::FleetRouteCounts &route = *to.add_routes();
    route.set_route(it.Route);
    writeCounts(it.Former, *route.mutable_former());
    writeCounts(it.Next, *route.mutable_next());
  }
}

core::Result<rollouts::CountReport> readReport(const pb::FleetCounts &from) {
  rollouts::CountReport out{
      from.node(),    from.incarnation(),         from.service(),
      from.version(), core::Duration(from.age()), {}};
  if (from.age() < 0 || from.age() > MaxAge.count() ||
      from.routes_size() > MaxRoutes)
    return corrupt("a report of counts has a number out of range");
  for (const pb::FleetRouteCounts &it : from.routes()) {
    const auto former = readCounts(it.former());
    const auto next = readCounts(it.next());
    if (!former || !next)
      return corrupt("a report of counts has a number out of range");
    out.Routes.push_back({it.route(), *former, *next});
  }
  return out;
}

} // namespace

void silenceLibrary() { google::protobuf::SetLogHandler(nullptr); }

std::string nodeKey(std::string_view node) {
  return std::string(NodePrefix).append(node);
}

std::string holdingsKey(core::LogEra era, std::string_view service,
                        holdings::Key part) {
  return fmt::format("{}{}/{}", eraPrefix(HoldingsPrefix, era), service, part);
}

std::string claimKey(core::LogEra era, std::string_view node) {
  return eraPrefix(ClaimPrefix, era).append(node);
}

std::string rolloutKey(std::string_view service) {
  return std::string(RolloutPrefix).append(service);
}

FleetKey parseFleetKey(std::string_view key) {
  if (key.starts_with(RolloutPrefix))
    return {FleetKey::Kind::Rollout,
            std::string(key.substr(RolloutPrefix.size())), 0};
  if (key.starts_with(NodePrefix))
    return {FleetKey::Kind::Node, std::string(key.substr(NodePrefix.size()))};
  if (const auto era = removeEraPrefix(ClaimPrefix, key))
    return {FleetKey::Kind::Claim, std::string(key), 0, *era};
  const auto era = removeEraPrefix(HoldingsPrefix, key);
  if (!era)
    return {};
  const std::size_t slash = key.rfind('/');
  if (slash == std::string_view::npos)
    return {};
  const auto part = core::parseNumber<holdings::Key>(key.substr(slash + 1));
  if (!part || *part >= holdings::PartCount)
    return {};
  return {FleetKey::Kind::Holdings, std::string(key.substr(0, slash)), *part,
          *era};
}

std::string encodeNode(const holdings::NodeRecord &record) {
  pb::FleetNode out;
  out.set_name(record.Name);
  out.set_data_centre(record.DataCentre);
  out.set_service(record.Service);
  out.set_peer(core::toString(record.Peer));
  out.set_incarnation(record.Incarnation);
  out.set_sequence(record.Sequence);
  out.set_upstream_id(record.Process.Id);
  out.set_upstream_born(record.Process.StartUnixMs);
  out.set_state(static_cast<std::uint32_t>(record.State));
  out.set_slots(record.Slots);
  out.set_stopping(record.IsStopping);
  out.set_generation(record.Generation);
  out.set_version(record.Version);
  return out.SerializeAsString();
}

core::Result<holdings::NodeRecord> decodeNode(std::string_view value) {
  pb::FleetNode in;
  if (!in.ParseFromArray(value.data(), static_cast<int>(value.size())))
    return corrupt("a node's record can't be parsed");
  if (auto done = checkNode(in); !done)
    return tl::unexpected(done.error());
  const auto peer = core::parseEndpoint(in.peer());
  if (!peer || !core::namesHost(*peer))
    return corrupt("a node's record: peer: not the address of a host");
  if (in.slots() > holdings::MaxSlots || !isBirth(in.upstream_born()))
    return corrupt("a node's record has a number out of range");
  constexpr auto LastState =
      static_cast<std::uint32_t>(holdings::UpstreamState::Leaving);
  if (in.state() > LastState)
    return corrupt("a node's record has an unknown state");
  holdings::NodeRecord out;
  out.Name = in.name();
  out.DataCentre = in.data_centre();
  out.Service = in.service();
  out.Peer = *peer;
  out.Incarnation = in.incarnation();
  out.Sequence = in.sequence();
  out.Process = {in.upstream_id(), in.upstream_born()};
  out.State = static_cast<holdings::UpstreamState>(in.state());
  out.Slots = in.slots();
  out.IsStopping = in.stopping();
  out.Generation = in.generation();
  out.Version = in.version();
  return out;
}

core::Result<holdings::NodeRecord> decodeNode(std::string_view value,
                                              std::string_view name) {
  auto out = decodeNode(value);
  if (out && out->Name != name)
    return corrupt("the node name in the record differs from its key");
  return out;
}

feed::KeyedRecord toLogRecord(const holdings::NodeRecord &record) {
  return {nodeKey(record.Name), encodeNode(record)};
}

std::string encodeHoldings(std::span<const holdings::Holding> rows) {
  pb::FleetHoldings out;
  for (const holdings::Holding &it : rows)
    writeRow(it, *out.add_rows());
  return out.SerializeAsString();
}

core::Result<holdings::HoldingPart>
decodeHoldings(std::string_view value, holdings::Key part,
               holdings::FencingToken nextToken) {
  pb::FleetHoldings in;
  if (!in.ParseFromArray(value.data(), static_cast<int>(value.size())))
    return corrupt("a record of holdings can't be parsed");
  const holdings::Key from = part * holdings::KeysPerPart;
  auto rows = readRows("a record of holdings", in.rows(),
                       {from, from + holdings::KeysPerPart - 1}, nextToken);
  if (!rows)
    return tl::unexpected(rows.error());
  return holdings::HoldingPart{part, std::move(*rows)};
}

std::string encodeClaim(const holdings::HoldingClaim &claim) {
  pb::FleetClaim out;
  out.set_service(claim.Service);
  for (const holdings::Holding &it : claim.Rows)
    writeRow(it, *out.add_rows());
  return out.SerializeAsString();
}

core::Result<holdings::HoldingClaim>
decodeClaim(std::string_view value, std::string_view node,
            holdings::FencingToken nextToken) {
  pb::FleetClaim in;
  if (!in.ParseFromArray(value.data(), static_cast<int>(value.size())))
    return corrupt("a claim can't be parsed");
  auto rows = readRows("a claim", in.rows(), {}, nextToken);
  if (!rows)
    return tl::unexpected(rows.error());
  return holdings::HoldingClaim{std::string(node), in.service(),
                                std::move(*rows)};
}

std::string encodeRollout(const rollouts::Rollout &record) {
  pb::FleetRollout out;
  out.set_service(record.Request.Service);
  out.set_version(record.Request.Version);
  out.set_length(record.Request.Length.count());
  out.set_phase(static_cast<std::uint32_t>(record.Current));
  for (const std::string &it : record.FormerVersions)
    out.add_former_versions(it);
  for (const std::string &it : record.RejectedVersions)
    out.add_rejected_versions(it);
  out.set_phase_began(record.PhaseBegan.count());
  out.set_cause(record.Cause);
  return out.SerializeAsString();
}

core::Result<rollouts::Rollout> decodeRollout(std::string_view value,
                                              std::string_view service) {
  pb::FleetRollout in;
  if (!in.ParseFromArray(value.data(), static_cast<int>(value.size())))
    return corrupt("a record of a roll-out can't be parsed");
  if (in.service() != service)
    return corrupt("the service in the record differs from its key");
  const auto isAge = [](std::int64_t ns) {
    return ns >= 0 && ns <= MaxAge.count();
  };
  if (in.phase() >= rollouts::PhaseCount || !isAge(in.length()) ||
      !isAge(in.phase_began()))
    return corrupt("a record of a roll-out has a number out of range");
  return rollouts::Rollout{
      {in.service(), in.version(), core::Duration(in.length())},
      static_cast<rollouts::Phase>(in.phase()),
      {in.former_versions().begin(), in.former_versions().end()},
      {in.rejected_versions().begin(), in.rejected_versions().end()},
      core::Duration(in.phase_began()),
      in.cause()};
}

std::string encodeDatagram(const FleetDatagram &datagram) {
  pb::FleetDatagram out;
  if (const auto *hint = std::get_if<FleetHint>(&datagram)) {
    pb::FleetHint &to = *out.mutable_hint();
    to.set_node(hint->Node);
    to.set_fleet_end(hint->FleetEnd);
    to.set_utilization(hint->Load.Utilization);
    to.set_cost(hint->Load.Cost);
    to.set_era(hint->Era);
  }
  if (const auto *report = std::get_if<rollouts::CountReport>(&datagram))
    writeReport(*report, *out.mutable_counts());
  if (const auto *notice = std::get_if<holdings::ReleaseNotice>(&datagram)) {
    pb::FleetRelease &to = *out.mutable_release();
    to.set_node(notice->Node);
    to.set_incarnation(notice->Incarnation);
    for (const holdings::ReleasedKeys &it : notice->Keys) {
      pb::FleetReleasedKeys &keys = *to.add_keys();
      writeRow(it.Row, *keys.mutable_row());
      keys.set_target(it.Target);
    }
  }
  return out.SerializeAsString();
}

core::Result<FleetDatagram> decodeDatagram(std::string_view bytes) {
  pb::FleetDatagram in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return corrupt("a datagram can't be parsed");
  if (in.has_hint()) {
    const pb::FleetHint &hint = in.hint();
    const holdings::NodeLoad load{hint.utilization(), hint.cost()};
    if (auto done = checkFields("a hint", {{"node", !hint.node().empty()}});
        !done)
      return tl::unexpected(done.error());
    if (!isLoad(load))
      return corrupt("a hint has a load out of range");
    return FleetHint{hint.node(), hint.fleet_end(), load, hint.era()};
  }
  if (in.has_counts()) {
    auto report = readReport(in.counts());
    if (!report)
      return tl::unexpected(report.error());
    return std::move(*report);
  }
  if (!in.has_release())
    return corrupt("a datagram is empty");
  holdings::ReleaseNotice out{
      in.release().node(), in.release().incarnation(), {}};
  if (auto done =
          checkFields("a notice", {{"node", !out.Node.empty()},
                                   {"incarnation", out.Incarnation != 0}});
      !done)
    return tl::unexpected(done.error());
  for (const pb::FleetReleasedKeys &it : in.release().keys()) {
    if (auto done = checkRow("a notice", it.row()); !done)
      return tl::unexpected(done.error());
    if (!isRange(it.row()) || !isBirth(it.row().upstream_born()))
      return corrupt("a notice has a number out of range");
    out.Keys.push_back({readRow(it.row()), it.target()});
  }
  return out;
}

std::string encodeCredit(const CreditDatagram &datagram) {
  pb::CreditDatagram out;
  out.set_account(datagram.Account);
  if (datagram.ReplyTo)
    out.set_reply_to(core::toString(*datagram.ReplyTo));
  out.set_ask(datagram.Ask);
  out.set_amount(datagram.Amount);
  return out.SerializeAsString();
}

core::Result<CreditDatagram> decodeCredit(std::string_view bytes) {
  pb::CreditDatagram in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return corrupt("a message about credit can't be parsed");
  if (auto done = checkFields("a message about credit",
                              {{"account", !in.account().empty()}});
      !done)
    return tl::unexpected(done.error());
  CreditDatagram out{in.account(), std::nullopt, in.ask(), in.amount()};
  if (!in.reply_to().empty()) {
    const auto address = core::parseEndpoint(in.reply_to());
    if (!address)
      return tl::unexpected(address.error());
    if (!core::namesHost(*address))
      return corrupt("a message about credit names no host");
    out.ReplyTo = *address;
  }
  return out;
}

std::string encodeTail(const feed::Tail &tail) {
  pb::RelayTail out;
  for (const feed::KeyedRecord &it : tail.Records) {
    pb::RelayRecord &record = *out.add_records();
    record.set_key(it.Key);
    if (it.Value)
      record.set_value(*it.Value);
  }
  out.set_next(tail.Next);
  out.set_age(tail.Age.count());
  out.set_era(tail.Era);
  return out.SerializeAsString();
}

core::Result<feed::Tail> decodeTail(std::string_view bytes) {
  pb::RelayTail in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      in.age() < 0)
    return corrupt("a part of a log can't be parsed");
  feed::Tail out;
  for (const pb::RelayRecord &it : in.records()) {
    out.Records.push_back({it.key(), std::nullopt});
    if (it.has_value())
      out.Records.back().Value = it.value();
  }
  out.Next = in.next();
  out.End = in.next();
  out.Age = core::Duration(in.age());
  out.Era = in.era();
  return out;
}

} // namespace acaciaroad::codec
