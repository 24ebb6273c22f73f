#include "Codec/Checkpoint.h"

#include <algorithm>

#include "Codec/CatalogueMessages.h"
#include "Codec/FleetMessages.h"
#include "Codec/Generated/Checkpoint.pb.h"

namespace acaciaroad::codec {

using core::ErrorKind;
using core::fail;
using core::Result;

namespace {

/// Whether no aggregate has folded more than the checkpoint says to cover.
bool isWithinOffset(const Checkpoint &checkpoint) {
  const auto fleet = checkpoint.Fleet.LastOffset;
  return checkpoint.Catalogue.NextOffset <= checkpoint.NextOffset &&
         (!fleet || *fleet < checkpoint.NextOffset);
}

} // namespace

Result<std::vector<CheckpointChunk>>
splitCheckpoint(const Checkpoint &checkpoint, std::uint64_t checkpointId) {
  pb::Checkpoint message;
  message.set_next_offset(checkpoint.NextOffset);
  write(checkpoint.Catalogue, *message.mutable_catalogue());
  write(checkpoint.Fleet, *message.mutable_fleet());
  const std::string bytes = message.SerializeAsString();
  const std::size_t count = std::max<std::size_t>(
      1, (bytes.size() + ChunkPayloadBytes - 1) / ChunkPayloadBytes);
  if (count > MaxChunks)
    return fail(ErrorKind::InvalidArgument, "the checkpoint is too large");
  std::vector<CheckpointChunk> out;
  for (std::size_t n = 0; n < count; ++n) {
    CheckpointChunk chunk;
    chunk.CheckpointId = checkpointId;
    chunk.NextOffset = checkpoint.NextOffset;
    chunk.Index = static_cast<std::uint32_t>(n);
    chunk.Count = static_cast<std::uint32_t>(count);
    chunk.Hash = core::hashOf(bytes);
    chunk.Payload = bytes.substr(n * ChunkPayloadBytes, ChunkPayloadBytes);
    out.push_back(std::move(chunk));
  }
  return out;
}

Result<Checkpoint> decodeCheckpoint(std::string_view bytes) {
  pb::Checkpoint message;
  Checkpoint out;
  const bool isParsed =
      message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
  out.NextOffset = message.next_offset();
  if (!isParsed || !read(message.catalogue(), out.Catalogue) ||
      !read(message.fleet(), out.Fleet) || !isWithinOffset(out))
    return fail(ErrorKind::CorruptMessage, "the checkpoint cannot be decoded");
  return out;
}

Result<std::optional<Checkpoint>>
CheckpointAssembler::add(const CheckpointChunk &chunk) {
  if (chunk.Count == 0 || chunk.Count > MaxChunks ||
      chunk.Index >= chunk.Count || chunk.Payload.size() > ChunkPayloadBytes)
    return fail(ErrorKind::CorruptMessage, "the chunk is out of range");
  if (Best && chunk.NextOffset <= *Best)
    return std::nullopt;
  const auto [it, isNew] = Unfinished.try_emplace(
      chunk.CheckpointId,
      Pending{chunk.NextOffset, chunk.Count, chunk.Hash, {}});
  Pending &pending = it->second;
  if (pending.NextOffset != chunk.NextOffset || pending.Count != chunk.Count ||
      pending.Hash != chunk.Hash)
    return fail(ErrorKind::CorruptMessage, "the chunks contradict each other");
  pending.Payloads.try_emplace(chunk.Index, chunk.Payload);
  if (pending.Payloads.size() == pending.Count)
    return finish(chunk.CheckpointId);
  if (isNew && Unfinished.size() > MaxPending)
    dropOldest();
  return std::nullopt;
}

Result<std::optional<Checkpoint>>
CheckpointAssembler::finish(std::uint64_t checkpointId) {
  const auto node = Unfinished.extract(checkpointId);
  const Pending &pending = node.mapped();
  std::string bytes;
  for (const auto &[index, payload] : pending.Payloads)
    bytes += payload;
  if (core::hashOf(bytes) != pending.Hash)
    return fail(ErrorKind::CorruptMessage, "the checkpoint is not intact");
  auto checkpoint = decodeCheckpoint(bytes);
  if (!checkpoint)
    return tl::unexpected(checkpoint.error());
  if (checkpoint->NextOffset != pending.NextOffset)
    return fail(ErrorKind::CorruptMessage, "the offsets contradict each other");
  Best = pending.NextOffset;
  dropCovered();
  return std::move(*checkpoint);
}

void CheckpointAssembler::dropCovered() {
  std::erase_if(Unfinished,
                [&](const auto &it) { return it.second.NextOffset <= *Best; });
}

void CheckpointAssembler::dropOldest() {
  const auto oldest = std::min_element(
      Unfinished.begin(), Unfinished.end(), [](const auto &a, const auto &b) {
        return a.second.NextOffset < b.second.NextOffset;
      });
  Unfinished.erase(oldest);
}

std::size_t CheckpointAssembler::pendingBytes() const {
  std::size_t out = 0;
  for (const auto &[id, pending] : Unfinished)
    for (const auto &[index, payload] : pending.Payloads)
      out += payload.size();
  return out;
}

} // namespace acaciaroad::codec
