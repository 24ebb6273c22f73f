/// \file
/// Conversion between checkpoint chunks and their messages.

#ifndef ACACIAROAD_CODEC_CHUNKMESSAGES_H
#define ACACIAROAD_CODEC_CHUNKMESSAGES_H

#include "Codec/Generated/Record.pb.h"
#include "Codec/LogEntry.h"

namespace acaciaroad::codec {

void write(const CheckpointChunk &from, pb::CheckpointChunk &to);

/// Returns false if the message holds a value out of range.
bool read(const pb::CheckpointChunk &from, CheckpointChunk &to);

} // namespace acaciaroad::codec

#endif
