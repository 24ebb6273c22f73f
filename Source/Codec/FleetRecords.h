/// \file
/// Keys and values of the records of the fleet's log.

#ifndef ACACIAROAD_CODEC_FLEETRECORDS_H
#define ACACIAROAD_CODEC_FLEETRECORDS_H

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Core/Error.h"
#include "Feed/FeedTypes.h"
#include "Holdings/HoldingTypes.h"
#include "Holdings/LoadMove.h"
#include "Holdings/ReleaseInbox.h"
#include "Rollouts/RolloutTypes.h"

namespace acaciaroad::codec {

/// Keeps the protobuf library from printing what it can't parse; the results
/// of the functions below tell it. To be called once, before they are used.
void silenceLibrary();

/// What a record of the fleet's log is about.
struct FleetKey {
  enum class Kind { Unknown, Node, Holdings, Claim, Rollout };
  Kind What = Kind::Unknown;
  /// Name of the node or of the service.
  std::string Name;
  /// Number of the part of the service's keys.
  holdings::Key Part = 0;
  /// Era of the log that holdings or a claim were written for. One of an
  /// earlier era may be appended late, and must not replace the present one.
  core::LogEra Era = 0;
};

std::string nodeKey(std::string_view node);
std::string holdingsKey(core::LogEra era, std::string_view service,
                        holdings::Key part);
std::string claimKey(core::LogEra era, std::string_view node);
std::string rolloutKey(std::string_view service);
FleetKey parseFleetKey(std::string_view key);

std::string encodeNode(const holdings::NodeRecord &record);
/// Fails with CorruptMessage.
core::Result<holdings::NodeRecord> decodeNode(std::string_view value);
/// Fails with CorruptMessage, also for the record of another node than \p name.
core::Result<holdings::NodeRecord> decodeNode(std::string_view value,
                                              std::string_view name);
/// Returns the record of the fleet's log that holds \p record.
feed::KeyedRecord toLogRecord(const holdings::NodeRecord &record);

std::string encodeHoldings(std::span<const holdings::Holding> rows);
/// Fails with CorruptMessage, also for rows that overlap, are out of order, lie
/// outside \p part, or have a token that is not below \p nextToken, that of a
/// record at the end of the log: upstreams refuse each later, lower one.
core::Result<holdings::HoldingPart>
decodeHoldings(std::string_view value, holdings::Key part,
               holdings::FencingToken nextToken);

std::string encodeClaim(const holdings::HoldingClaim &claim);
/// Fails with CorruptMessage, as `decodeHoldings` does.
core::Result<holdings::HoldingClaim>
decodeClaim(std::string_view value, std::string_view node,
            holdings::FencingToken nextToken);

std::string encodeRollout(const rollouts::Rollout &record);
/// Fails with CorruptMessage, also for the record of another service.
core::Result<rollouts::Rollout> decodeRollout(std::string_view value,
                                              std::string_view service);

/// What nodes tell each other often; a lost one is replaced by the next.
struct FleetHint {
  std::string Node;
  /// End of the fleet's log as far as the sender knows.
  core::Offset FleetEnd = 0;
  holdings::NodeLoad Load;
  core::LogEra Era = 0;
};

/// What one datagram between nodes carries.
using FleetDatagram =
    std::variant<FleetHint, holdings::ReleaseNotice, rollouts::CountReport>;

std::string encodeDatagram(const FleetDatagram &datagram);
/// Fails with CorruptMessage.
core::Result<FleetDatagram> decodeDatagram(std::string_view bytes);

/// Asks another node for a part of its share of an account, or answers.
struct CreditDatagram {
  std::string Account;
  /// Where the answer goes to; absent in an answer.
  std::optional<core::Endpoint> ReplyTo;
  std::uint64_t Ask = 0;
  /// Requests wanted, or lent.
  std::uint32_t Amount = 0;
};

std::string encodeCredit(const CreditDatagram &datagram);
/// Fails with CorruptMessage.
core::Result<CreditDatagram> decodeCredit(std::string_view bytes);

std::string encodeTail(const feed::Tail &tail);
/// Fails with CorruptMessage.
core::Result<feed::Tail> decodeTail(std::string_view bytes);

} // namespace acaciaroad::codec

#endif
