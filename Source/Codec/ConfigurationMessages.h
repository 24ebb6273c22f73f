/// \file
/// Conversion between configuration records and their messages. Each read
/// returns false if the message holds a value out of range.

#ifndef ACACIAROAD_CODEC_CONFIGURATIONMESSAGES_H
#define ACACIAROAD_CODEC_CONFIGURATIONMESSAGES_H

#include "Codec/Generated/Record.pb.h"
#include "Configuration/ConfigurationRecord.h"

namespace acaciaroad::codec {

void write(const configuration::ChangeOrigin &from, pb::ChangeOrigin &to);
void write(const configuration::WorkClass &from, pb::WorkClass &to);
void write(const configuration::ClientAccount &from, pb::ClientAccount &to);
void write(const configuration::ClassSet &from, pb::ClassSet &to);
void write(const configuration::ClassRemoved &from, pb::ClassRemoved &to);
void write(const configuration::AccountSet &from, pb::AccountSet &to);
void write(const configuration::AccountRemoved &from, pb::AccountRemoved &to);
void write(const configuration::KeyGranted &from, pb::KeyGranted &to);
void write(const configuration::KeyWithdrawn &from, pb::KeyWithdrawn &to);

bool read(const pb::ChangeOrigin &from, configuration::ChangeOrigin &to);
bool read(const pb::WorkClass &from, configuration::WorkClass &to);
bool read(const pb::ClientAccount &from, configuration::ClientAccount &to);
bool read(const pb::ClassSet &from, configuration::ClassSet &to);
bool read(const pb::ClassRemoved &from, configuration::ClassRemoved &to);
bool read(const pb::AccountSet &from, configuration::AccountSet &to);
bool read(const pb::AccountRemoved &from, configuration::AccountRemoved &to);
bool read(const pb::KeyGranted &from, configuration::KeyGranted &to);
bool read(const pb::KeyWithdrawn &from, configuration::KeyWithdrawn &to);

} // namespace acaciaroad::codec

#endif
