#include "Codec/LogCodec.h"

#include "Codec/ChunkMessages.h"
#include "Codec/ConfigurationMessages.h"
#include "Codec/OwnershipMessages.h"
#include "Codec/TotalsMessages.h"

namespace acaciaroad::codec {

namespace {

using core::ErrorKind;
using core::fail;
using core::Result;

/// Writes a record into the member of the message that belongs to its type.
struct EntryWriter {
  pb::Entry &To;

  void operator()(const ownership::ServiceDefined &from) const {
    write(from, *To.mutable_service_defined());
  }
  void operator()(const ownership::InstanceJoined &from) const {
    write(from, *To.mutable_instance_joined());
  }
  void operator()(const ownership::InstanceLeaving &from) const {
    write(from, *To.mutable_instance_leaving());
  }
  void operator()(const ownership::InstanceRetired &from) const {
    write(from, *To.mutable_instance_retired());
  }
  void operator()(const ownership::WitnessesChanged &from) const {
    write(from, *To.mutable_witnesses_changed());
  }
  void operator()(const ownership::SlicesReleased &from) const {
    write(from, *To.mutable_slices_released());
  }
  void operator()(const ownership::SlicesStarted &from) const {
    write(from, *To.mutable_slices_started());
  }
  void operator()(const ownership::SliceMoved &from) const {
    write(from, *To.mutable_slice_moved());
  }
  void operator()(const ownership::HotKeyAdded &from) const {
    write(from, *To.mutable_hot_key_added());
  }
  void operator()(const ownership::HotKeyRemoved &from) const {
    write(from, *To.mutable_hot_key_removed());
  }
  void operator()(const ownership::DataCentreShareSet &from) const {
    write(from, *To.mutable_data_centre_share_set());
  }
  void operator()(const configuration::ClassSet &from) const {
    write(from, *To.mutable_class_set());
  }
  void operator()(const configuration::ClassRemoved &from) const {
    write(from, *To.mutable_class_removed());
  }
  void operator()(const configuration::AccountSet &from) const {
    write(from, *To.mutable_account_set());
  }
  void operator()(const configuration::AccountRemoved &from) const {
    write(from, *To.mutable_account_removed());
  }
  void operator()(const configuration::KeyGranted &from) const {
    write(from, *To.mutable_key_granted());
  }
  void operator()(const configuration::KeyWithdrawn &from) const {
    write(from, *To.mutable_key_withdrawn());
  }
  void operator()(const administration::TotalsRecord &from) const {
    write(from, *To.mutable_totals());
  }
  void operator()(const CheckpointChunk &from) const {
    write(from, *To.mutable_checkpoint_chunk());
  }

  void operator()(const ownership::OwnershipRecord &from) const {
    std::visit(*this, from);
  }
  void operator()(const configuration::ConfigurationRecord &from) const {
    std::visit(*this, from);
  }
};

/// Reads a record that stands in the entry as a \p Variant.
template <typename Variant, typename Record, typename Message>
Result<LogEntry> readAs(const Message &message) {
  Record record;
  if (!read(message, record))
    return fail(ErrorKind::CorruptMessage, "a value is out of range");
  return LogEntry(Variant(std::move(record)));
}

Result<LogEntry> readOwnership(const pb::Entry &entry) {
  using Variant = ownership::OwnershipRecord;
  switch (entry.entry_case()) {
  case pb::Entry::kServiceDefined:
    return readAs<Variant, ownership::ServiceDefined>(entry.service_defined());
  case pb::Entry::kInstanceJoined:
    return readAs<Variant, ownership::InstanceJoined>(entry.instance_joined());
  case pb::Entry::kInstanceLeaving:
    return readAs<Variant, ownership::InstanceLeaving>(
        entry.instance_leaving());
  case pb::Entry::kInstanceRetired:
    return readAs<Variant, ownership::InstanceRetired>(
        entry.instance_retired());
  case pb::Entry::kWitnessesChanged:
    return readAs<Variant, ownership::WitnessesChanged>(
        entry.witnesses_changed());
  case pb::Entry::kSlicesReleased:
    return readAs<Variant, ownership::SlicesReleased>(entry.slices_released());
  case pb::Entry::kSlicesStarted:
    return readAs<Variant, ownership::SlicesStarted>(entry.slices_started());
  case pb::Entry::kSliceMoved:
    return readAs<Variant, ownership::SliceMoved>(entry.slice_moved());
  case pb::Entry::kHotKeyAdded:
    return readAs<Variant, ownership::HotKeyAdded>(entry.hot_key_added());
  case pb::Entry::kHotKeyRemoved:
    return readAs<Variant, ownership::HotKeyRemoved>(entry.hot_key_removed());
  case pb::Entry::kDataCentreShareSet:
    return readAs<Variant, ownership::DataCentreShareSet>(
        entry.data_centre_share_set());
  default:
    return fail(ErrorKind::CorruptMessage, "the kind of entry is unknown");
  }
}

Result<LogEntry> readConfiguration(const pb::Entry &entry) {
  using Variant = configuration::ConfigurationRecord;
  switch (entry.entry_case()) {
  case pb::Entry::kClassSet:
    return readAs<Variant, configuration::ClassSet>(entry.class_set());
  case pb::Entry::kClassRemoved:
    return readAs<Variant, configuration::ClassRemoved>(entry.class_removed());
  case pb::Entry::kAccountSet:
    return readAs<Variant, configuration::AccountSet>(entry.account_set());
  case pb::Entry::kAccountRemoved:
    return readAs<Variant, configuration::AccountRemoved>(
        entry.account_removed());
  case pb::Entry::kKeyGranted:
    return readAs<Variant, configuration::KeyGranted>(entry.key_granted());
  case pb::Entry::kKeyWithdrawn:
    return readAs<Variant, configuration::KeyWithdrawn>(entry.key_withdrawn());
  default:
    return readOwnership(entry);
  }
}

} // namespace

std::string encode(const LogEntry &entry) {
  pb::Entry message;
  std::visit(EntryWriter{message}, entry);
  return message.SerializeAsString();
}

Result<LogEntry> decode(std::span<const std::byte> bytes) {
  if (bytes.size() > MaxEntryBytes)
    return fail(ErrorKind::CorruptMessage, "the entry is too long");
  pb::Entry entry;
  if (!entry.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return fail(ErrorKind::CorruptMessage, "the entry cannot be parsed");
  switch (entry.entry_case()) {
  case pb::Entry::kTotals:
    return readAs<administration::TotalsRecord, administration::TotalsRecord>(
        entry.totals());
  case pb::Entry::kCheckpointChunk:
    return readAs<CheckpointChunk, CheckpointChunk>(entry.checkpoint_chunk());
  default:
    return readConfiguration(entry);
  }
}

} // namespace acaciaroad::codec
