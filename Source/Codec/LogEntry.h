/// \file
/// Everything that may stand in the platform's log.

#ifndef ACACIAROAD_CODEC_LOGENTRY_H
#define ACACIAROAD_CODEC_LOGENTRY_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "Administration/TotalsRecord.h"
#include "Configuration/ConfigurationRecord.h"
#include "Core/Identifiers.h"
#include "Ownership/OwnershipRecord.h"

namespace acaciaroad::codec {

/// One part of an encoded checkpoint.
struct CheckpointChunk {
  /// Random; the same in all parts of one checkpoint.
  std::uint64_t CheckpointId = 0;
  /// First offset that the checkpoint does not cover.
  core::Offset NextOffset = 0;
  std::uint32_t Index = 0;
  std::uint32_t Count = 0;
  /// Hash of the whole encoded checkpoint.
  std::uint64_t Hash = 0;
  std::string Payload;
  bool operator==(const CheckpointChunk &) const = default;
};

using LogEntry =
    std::variant<ownership::OwnershipRecord, configuration::ConfigurationRecord,
                 administration::TotalsRecord, CheckpointChunk>;

} // namespace acaciaroad::codec

#endif
