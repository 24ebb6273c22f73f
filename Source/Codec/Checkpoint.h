/// \file
/// Checkpoints of the folded state, split into entries of the log.

#ifndef ACACIAROAD_CODEC_CHECKPOINT_H
#define ACACIAROAD_CODEC_CHECKPOINT_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Codec/LogEntry.h"
#include "Configuration/Catalogue.h"
#include "Core/Error.h"
#include "Ownership/FleetTypes.h"

namespace acaciaroad::codec {

/// Bytes of an encoded checkpoint that one chunk carries.
inline constexpr std::size_t ChunkPayloadBytes = 128U << 10U;

/// Most chunks of one checkpoint; 64 MiB.
inline constexpr std::uint32_t MaxChunks = 512;

/// The state of all aggregates that fold the log, covering the same offsets.
struct Checkpoint {
  /// First offset that is not covered.
  core::Offset NextOffset = 0;
  configuration::CatalogueSnapshot Catalogue;
  ownership::FleetSnapshot Fleet;
  bool operator==(const Checkpoint &) const = default;
};

/// Splits a checkpoint. InvalidArgument if it needs more than MaxChunks.
core::Result<std::vector<CheckpointChunk>>
splitCheckpoint(const Checkpoint &checkpoint, std::uint64_t checkpointId);

/// Decodes the joined payloads of a checkpoint, or CorruptMessage.
core::Result<Checkpoint> decodeCheckpoint(std::string_view bytes);

/// Joins the chunks that a reader meets in the log. Chunks of several
/// checkpoints may be mixed, repeated or missing.
class CheckpointAssembler {
public:
  /// Takes a chunk; returns the checkpoint if it is now whole, intact and
  /// covers more than every one returned before. CorruptMessage for a chunk
  /// that contradicts the others.
  core::Result<std::optional<Checkpoint>> add(const CheckpointChunk &chunk);

  /// Bytes held for unfinished checkpoints.
  std::size_t pendingBytes() const;

private:
  static constexpr std::size_t MaxPending = 4;

  struct Pending {
    core::Offset NextOffset = 0;
    std::uint32_t Count = 0;
    std::uint64_t Hash = 0;
    std::map<std::uint32_t, std::string> Payloads;
  };

  core::Result<std::optional<Checkpoint>> finish(std::uint64_t checkpointId);
  void dropCovered();
  void dropOldest();

  std::map<std::uint64_t, Pending> Unfinished;
  std::optional<core::Offset> Best;
};

} // namespace acaciaroad::codec

#endif
