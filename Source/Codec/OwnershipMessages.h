/// \file
/// Conversion between ownership records and their messages. Each read returns
/// false if the message holds a value out of range.

#ifndef ACACIAROAD_CODEC_OWNERSHIPMESSAGES_H
#define ACACIAROAD_CODEC_OWNERSHIPMESSAGES_H

#include "Codec/Generated/Record.pb.h"
#include "Ownership/OwnershipRecord.h"

namespace acaciaroad::codec {

void write(const ownership::InstanceInfo &from, pb::InstanceInfo &to);
void write(const ownership::ServiceDefined &from, pb::ServiceDefined &to);
void write(const ownership::InstanceJoined &from, pb::InstanceJoined &to);
void write(const ownership::InstanceLeaving &from, pb::InstanceLeaving &to);
void write(const ownership::InstanceRetired &from, pb::InstanceRetired &to);
void write(const ownership::WitnessesChanged &from, pb::WitnessesChanged &to);
void write(const ownership::SlicesReleased &from, pb::SlicesReleased &to);
void write(const ownership::SlicesStarted &from, pb::SlicesStarted &to);
void write(const ownership::SliceMoved &from, pb::SliceMoved &to);
void write(const ownership::HotKeyAdded &from, pb::HotKeyAdded &to);
void write(const ownership::HotKeyRemoved &from, pb::HotKeyRemoved &to);
void write(const ownership::DataCentreShareSet &from,
           pb::DataCentreShareSet &to);

bool read(const pb::InstanceInfo &from, ownership::InstanceInfo &to);
bool read(const pb::ServiceDefined &from, ownership::ServiceDefined &to);
bool read(const pb::InstanceJoined &from, ownership::InstanceJoined &to);
bool read(const pb::InstanceLeaving &from, ownership::InstanceLeaving &to);
bool read(const pb::InstanceRetired &from, ownership::InstanceRetired &to);
bool read(const pb::WitnessesChanged &from, ownership::WitnessesChanged &to);
bool read(const pb::SlicesReleased &from, ownership::SlicesReleased &to);
bool read(const pb::SlicesStarted &from, ownership::SlicesStarted &to);
bool read(const pb::SliceMoved &from, ownership::SliceMoved &to);
bool read(const pb::HotKeyAdded &from, ownership::HotKeyAdded &to);
bool read(const pb::HotKeyRemoved &from, ownership::HotKeyRemoved &to);
bool read(const pb::DataCentreShareSet &from,
          ownership::DataCentreShareSet &to);

} // namespace acaciaroad::codec

#endif
