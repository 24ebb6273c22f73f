/// \file
/// Conversion between catalogue snapshots and their messages.

#ifndef ACACIAROAD_CODEC_CATALOGUEMESSAGES_H
#define ACACIAROAD_CODEC_CATALOGUEMESSAGES_H

#include "Codec/Generated/Checkpoint.pb.h"
#include "Configuration/Catalogue.h"

namespace acaciaroad::codec {

void write(const configuration::CatalogueSnapshot &from,
           pb::CatalogueSnapshot &to);

/// Returns false if the message holds a value out of range.
bool read(const pb::CatalogueSnapshot &from,
          configuration::CatalogueSnapshot &to);

} // namespace acaciaroad::codec

#endif
