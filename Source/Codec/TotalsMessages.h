/// \file
/// Conversion between totals records and their messages.

#ifndef ACACIAROAD_CODEC_TOTALSMESSAGES_H
#define ACACIAROAD_CODEC_TOTALSMESSAGES_H

#include "Administration/TotalsRecord.h"
#include "Codec/Generated/Record.pb.h"

namespace acaciaroad::codec {

void write(const administration::TotalsRecord &from, pb::Totals &to);

/// Returns false if the message holds a value out of range.
bool read(const pb::Totals &from, administration::TotalsRecord &to);

} // namespace acaciaroad::codec

#endif
