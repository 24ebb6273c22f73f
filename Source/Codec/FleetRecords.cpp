#include "Codec/FleetRecords.h"

#include "Codec/Generated/Fleet.pb.h"

namespace acaciaroad::codec {

namespace {

constexpr std::string_view NodePrefix = "node/";
constexpr std::string_view HoldingsPrefix = "keys/";

tl::unexpected<core::Error> corrupt(std::string detail) {
  return core::fail(core::ErrorKind::CorruptMessage, std::move(detail));
}

} // namespace

std::string nodeKey(std::string_view node) {
  return std::string(NodePrefix).append(node);
}

std::string holdingsKey(std::string_view service) {
  return std::string(HoldingsPrefix).append(service);
}

FleetKey parseFleetKey(std::string_view key) {
  if (key.starts_with(NodePrefix))
    return {FleetKey::Kind::Node, std::string(key.substr(NodePrefix.size()))};
  if (key.starts_with(HoldingsPrefix))
    return {FleetKey::Kind::Holdings,
            std::string(key.substr(HoldingsPrefix.size()))};
  return {};
}

std::string encodeNode(const holdings::NodeRecord &record) {
  pb::FleetNode out;
  out.set_name(record.Name);
  out.set_data_centre(record.DataCentre);
  out.set_service(record.Service);
  out.set_peer(core::toString(record.Peer));
  out.set_incarnation(record.Incarnation);
  out.set_sequence(record.Sequence);
  out.set_upstream_id(record.Life.Id);
  out.set_upstream_born(record.Life.Born);
  out.set_state(static_cast<std::uint32_t>(record.State));
  out.set_slots(record.Slots);
  return out.SerializeAsString();
}

core::Result<holdings::NodeRecord> decodeNode(std::string_view value) {
  pb::FleetNode in;
  if (!in.ParseFromArray(value.data(), static_cast<int>(value.size())))
    return corrupt("a node's record can't be parsed");
  const auto peer = core::parseEndpoint(in.peer());
  if (!peer || in.name().empty())
    return corrupt("a node's record lacks its name or address");
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
  out.Life = {in.upstream_id(), in.upstream_born()};
  out.State = static_cast<holdings::UpstreamState>(in.state());
  out.Slots = in.slots();
  return out;
}

std::string encodeHoldings(std::span<const holdings::Holding> rows) {
  pb::FleetHoldings out;
  for (const holdings::Holding &it : rows) {
    pb::FleetHolding &row = *out.add_rows();
    row.set_from(it.Keys.From);
    row.set_to(it.Keys.To);
    row.set_node(it.Node);
    row.set_upstream_id(it.Life.Id);
    row.set_upstream_born(it.Life.Born);
    row.set_token(it.Token);
    row.set_handover(it.Handover);
  }
  return out.SerializeAsString();
}

core::Result<std::vector<holdings::Holding>>
decodeHoldings(std::string_view value) {
  pb::FleetHoldings in;
  if (!in.ParseFromArray(value.data(), static_cast<int>(value.size())))
    return corrupt("a record of holdings can't be parsed");
  std::vector<holdings::Holding> out;
  for (const pb::FleetHolding &it : in.rows()) {
    const bool isOrdered = out.empty() || out.back().Keys.To < it.from();
    if (!isOrdered || it.from() > it.to() || it.to() >= holdings::KeyCount)
      return corrupt("a record of holdings has rows out of order");
    out.push_back({{it.from(), it.to()},
                   it.node(),
                   {it.upstream_id(), it.upstream_born()},
                   it.token(),
                   it.handover()});
  }
  return out;
}

std::string encodeHint(const FleetHint &hint) {
  pb::FleetHint out;
  out.set_node(hint.Node);
  out.set_fleet_end(hint.FleetEnd);
  out.set_utilization(hint.Load.Utilization);
  out.set_cost(hint.Load.Cost);
  return out.SerializeAsString();
}

core::Result<FleetHint> decodeHint(std::string_view bytes) {
  pb::FleetHint in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return corrupt("a hint can't be parsed");
  if (!(in.utilization() >= 0) || !(in.cost() >= 0))
    return corrupt("a hint has a negative load");
  return FleetHint{in.node(), in.fleet_end(), {in.utilization(), in.cost()}};
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
  CreditDatagram out{in.account(), std::nullopt, in.ask(), in.amount()};
  if (!in.reply_to().empty()) {
    const auto address = core::parseEndpoint(in.reply_to());
    if (!address)
      return tl::unexpected(address.error());
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
  return out;
}

} // namespace acaciaroad::codec
