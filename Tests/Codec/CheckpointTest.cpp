#include "Codec/Checkpoint.h"

#include "Codec/LogCodec.h"
#include "Support/ConfigurationSamples.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::codec;
using namespace acaciaroad::tests;

namespace {

ownership::FleetSnapshot sampleFleet() {
  const ownership::SliceState state{
      core::InstanceId{1}, 4, {{core::InstanceId{2}, 3}}};
  ownership::FleetSnapshot out;
  out.LastOffset = 0;
  out.Services = {{"questionnaires",
                   ownership::HotSliceBase + 1,
                   {state, {}},
                   {{77, ownership::HotSliceBase, state}}}};
  out.Instances = {{{core::InstanceId{1}, "q-1", "a", "r", "10.0.0.1:1",
                     "10.0.0.1:2", "questionnaires", true},
                    ownership::InstanceStatus::Leaving,
                    0,
                    2,
                    {core::InstanceId{3}, core::InstanceId{4}}}};
  out.DataCentres = {{"a", 1, 250}};
  out.Retired = {core::InstanceId{9}};
  return out;
}

/// Makes a checkpoint that holds \p keys keys.
Checkpoint sampleCheckpoint(std::size_t keys) {
  configuration::Catalogue catalogue;
  core::Offset offset = 0;
  catalogue.apply(classSet(0, "next", "/next"), offset++);
  catalogue.apply(accountSet(0, "x"), offset++);
  catalogue.apply(accountSet(0, "gone"), offset++);
  catalogue.apply(accountRemoved(offset, "gone"), offset);
  ++offset;
  for (std::size_t n = 0; n < keys; ++n, ++offset)
    catalogue.apply(keyGranted(offset, "k" + std::to_string(n), "x"), offset);
  catalogue.apply(keyWithdrawn("k1"), offset++);
  return {offset, catalogue.snapshot(), sampleFleet()};
}

constexpr std::size_t ManyKeys = 3600;

std::vector<CheckpointChunk> chunksOf(std::size_t keys, std::uint64_t id) {
  return splitCheckpoint(sampleCheckpoint(keys), id).value();
}

struct ArrivalRow {
  const char *Name;
  /// Indices of chunks in the order they are read.
  std::vector<std::size_t> Order;
  bool IsWhole;
};

const ArrivalRow ArrivalRows[] = {
    {"in order", {0, 1, 2}, true},
    {"backwards", {2, 1, 0}, true},
    {"repeated", {0, 0, 1, 1, 2}, true},
    {"one missing", {0, 2, 2}, false},
};

} // namespace

ACACIA_TABLE_TEST(CheckpointTest, joinsChunks, ArrivalRows) {
  const auto chunks = chunksOf(ManyKeys, 1);
  cr_assert_eq(chunks.size(), 3U);
  CheckpointAssembler assembler;
  std::optional<Checkpoint> found;
  for (std::size_t n : row.Order) {
    const std::string bytes = encode(chunks[n]);
    const auto entry = decode(std::as_bytes(std::span(bytes)));
    auto result = assembler.add(std::get<CheckpointChunk>(*entry));
    cr_assert(result.has_value(), "%s", row.Name);
    if (*result)
      found = **result;
  }
  cr_assert_eq(found.has_value(), row.IsWhole, "%s", row.Name);
  if (found)
    cr_assert(*found == sampleCheckpoint(ManyKeys), "%s", row.Name);
}

namespace {

struct DamageRow {
  const char *Name;
  void (*Damage)(CheckpointChunk &);
};

const DamageRow DamageRows[] = {
    {"payload", [](CheckpointChunk &it) { it.Payload[7] ^= 1; }},
    {"hash", [](CheckpointChunk &it) { ++it.Hash; }},
    {"count", [](CheckpointChunk &it) { ++it.Count; }},
    {"too many", [](CheckpointChunk &it) { it.Count = MaxChunks + 1; }},
    {"index", [](CheckpointChunk &it) { it.Index = it.Count; }},
    {"offset", [](CheckpointChunk &it) { ++it.NextOffset; }},
    {"payload size",
     [](CheckpointChunk &it) {
       it.Payload.assign(ChunkPayloadBytes + 1, 'x');
     }},
};

} // namespace

ACACIA_TABLE_TEST(CheckpointTest, refusesDamagedChunks, DamageRows) {
  auto chunks = chunksOf(ManyKeys, 1);
  row.Damage(chunks.back());
  CheckpointAssembler assembler;
  cr_assert(assembler.add(chunks[0]).has_value(), "%s", row.Name);
  cr_assert(assembler.add(chunks[1]).has_value(), "%s", row.Name);
  const auto result = assembler.add(chunks[2]);
  cr_assert(!result.has_value(), "%s", row.Name);
  cr_assert(result.error().Kind == core::ErrorKind::CorruptMessage);
}

// A writer that was paused appends an old checkpoint after a newer one.
Test(CheckpointTest, olderCheckpointIsPassedOver) {
  CheckpointAssembler assembler;
  const auto newer = chunksOf(4, 2);
  const auto older = chunksOf(2, 1);
  cr_assert(assembler.add(newer[0])->has_value());
  cr_assert(!assembler.add(older[0])->has_value());
}

Test(CheckpointTest, aggregateBeyondTheCoveredOffsetIsCorrupt) {
  Checkpoint checkpoint = sampleCheckpoint(4);
  checkpoint.Fleet.LastOffset = checkpoint.NextOffset;
  const auto chunks = splitCheckpoint(checkpoint, 1).value();
  cr_assert(!decodeCheckpoint(chunks[0].Payload).has_value());
}

Test(CheckpointTest, unfinishedCheckpointsAreBounded) {
  CheckpointAssembler assembler;
  const auto chunks = chunksOf(ManyKeys, 1);
  for (std::uint64_t id = 1; id <= 50; ++id) {
    CheckpointChunk chunk = chunks[0];
    chunk.CheckpointId = id;
    cr_assert(assembler.add(chunk).has_value());
  }
  cr_assert_leq(assembler.pendingBytes(), 4 * ChunkPayloadBytes);
}
