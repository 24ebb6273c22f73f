#include "Codec/ChunkMessages.h"

namespace acaciaroad::codec {

void write(const CheckpointChunk &from, pb::CheckpointChunk &to) {
  to.set_checkpoint_id(from.CheckpointId);
  to.set_next_offset(from.NextOffset);
  to.set_index(from.Index);
  to.set_count(from.Count);
  to.set_hash(from.Hash);
  to.set_payload(from.Payload);
}

bool read(const pb::CheckpointChunk &from, CheckpointChunk &to) {
  to.CheckpointId = from.checkpoint_id();
  to.NextOffset = from.next_offset();
  to.Index = from.index();
  to.Count = from.count();
  to.Hash = from.hash();
  to.Payload = from.payload();
  return to.Index < to.Count;
}

} // namespace acaciaroad::codec
