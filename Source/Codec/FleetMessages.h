/// \file
/// Conversion between fleet snapshots and their messages.

#ifndef ACACIAROAD_CODEC_FLEETMESSAGES_H
#define ACACIAROAD_CODEC_FLEETMESSAGES_H

#include "Codec/Generated/Checkpoint.pb.h"
#include "Ownership/FleetTypes.h"

namespace acaciaroad::codec {

void write(const ownership::FleetSnapshot &from, pb::FleetSnapshot &to);

/// Returns false if the message holds a value out of range.
bool read(const pb::FleetSnapshot &from, ownership::FleetSnapshot &to);

} // namespace acaciaroad::codec

#endif
