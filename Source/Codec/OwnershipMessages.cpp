#include "Codec/OwnershipMessages.h"

#include "Codec/Conversion.h"

namespace acaciaroad::codec {

using core::InstanceId;

namespace {

/// More witnesses than any instance has.
constexpr int MaxWitnesses = 64;

void write(const core::SliceId &from, pb::Slice &to) {
  to.set_service(from.Service);
  to.set_index(from.Index);
}

bool read(const pb::Slice &from, core::SliceId &to) {
  to.Index = from.index();
  return readString(from.service(), to.Service);
}

void write(const ownership::SliceEpoch &from, pb::SliceEpoch &to) {
  write(from.Slice, *to.mutable_slice());
  to.set_epoch(from.Epoch);
}

bool read(const pb::SliceEpoch &from, ownership::SliceEpoch &to) {
  to.Epoch = from.epoch();
  return read(from.slice(), to.Slice);
}

template <typename Message>
void writeWitnesses(const std::vector<InstanceId> &from, Message &to) {
  for (InstanceId it : from)
    to.add_witnesses(it.Value);
}

template <typename Message>
bool readWitnesses(const Message &from, std::vector<InstanceId> &to) {
  if (from.witnesses_size() > MaxWitnesses)
    return false;
  to.clear();
  for (std::uint64_t it : from.witnesses())
    to.push_back(InstanceId{it});
  return true;
}

template <typename Record, typename Message>
void writeSlices(const Record &from, Message &to) {
  to.set_by(from.By.Value);
  for (const ownership::SliceEpoch &it : from.Slices)
    write(it, *to.add_slices());
}

template <typename Record, typename Message>
bool readSlices(const Message &from, Record &to) {
  to.By = InstanceId{from.by()};
  return readAll(
      from.slices(), to.Slices,
      [](const pb::SliceEpoch &message, ownership::SliceEpoch &slice) {
        return read(message, slice);
      });
}

template <typename Record, typename Message>
void writeHotKey(const Record &from, Message &to) {
  to.set_service(from.Service);
  to.set_key_hash(from.KeyHash);
  to.set_basis(from.Basis);
}

template <typename Record, typename Message>
bool readHotKey(const Message &from, Record &to) {
  to.KeyHash = from.key_hash();
  to.Basis = from.basis();
  return readString(from.service(), to.Service);
}

} // namespace

void write(const ownership::InstanceInfo &from, pb::InstanceInfo &to) {
  to.set_id(from.Id.Value);
  to.set_name(from.Name);
  to.set_data_centre(from.DataCentre);
  to.set_rack(from.Rack);
  to.set_peer_address(from.PeerAddress);
  to.set_http_address(from.HttpAddress);
  to.set_service(from.Service);
  to.set_checks_grants(from.ChecksGrants);
}

bool read(const pb::InstanceInfo &from, ownership::InstanceInfo &to) {
  to.Id = InstanceId{from.id()};
  to.ChecksGrants = from.checks_grants();
  return readString(from.name(), to.Name) &&
         readString(from.data_centre(), to.DataCentre) &&
         readString(from.rack(), to.Rack) &&
         readString(from.peer_address(), to.PeerAddress) &&
         readString(from.http_address(), to.HttpAddress) &&
         readString(from.service(), to.Service);
}

void write(const ownership::ServiceDefined &from, pb::ServiceDefined &to) {
  to.set_service(from.Service);
  to.set_slice_count(from.SliceCount);
}

bool read(const pb::ServiceDefined &from, ownership::ServiceDefined &to) {
  to.SliceCount = from.slice_count();
  return readString(from.service(), to.Service);
}

void write(const ownership::InstanceJoined &from, pb::InstanceJoined &to) {
  write(from.Info, *to.mutable_info());
  writeWitnesses(from.Witnesses, to);
}

bool read(const pb::InstanceJoined &from, ownership::InstanceJoined &to) {
  return read(from.info(), to.Info) && readWitnesses(from, to.Witnesses);
}

void write(const ownership::InstanceLeaving &from, pb::InstanceLeaving &to) {
  to.set_id(from.Id.Value);
}

bool read(const pb::InstanceLeaving &from, ownership::InstanceLeaving &to) {
  to.Id = InstanceId{from.id()};
  return true;
}

void write(const ownership::InstanceRetired &from, pb::InstanceRetired &to) {
  to.set_id(from.Id.Value);
  to.set_witness_version(from.WitnessVersion);
  to.set_reason(enumNumber(from.Reason));
  to.set_by(from.By.Value);
}

bool read(const pb::InstanceRetired &from, ownership::InstanceRetired &to) {
  to.Id = InstanceId{from.id()};
  to.WitnessVersion = from.witness_version();
  to.By = InstanceId{from.by()};
  return readEnum(from.reason(), ownership::RetireReason::DeclaredLost,
                  to.Reason);
}

void write(const ownership::WitnessesChanged &from, pb::WitnessesChanged &to) {
  to.set_holder(from.Holder.Value);
  to.set_basis(from.Basis);
  writeWitnesses(from.Witnesses, to);
}

bool read(const pb::WitnessesChanged &from, ownership::WitnessesChanged &to) {
  to.Holder = InstanceId{from.holder()};
  to.Basis = from.basis();
  return readWitnesses(from, to.Witnesses);
}

void write(const ownership::SlicesReleased &from, pb::SlicesReleased &to) {
  writeSlices(from, to);
}

bool read(const pb::SlicesReleased &from, ownership::SlicesReleased &to) {
  return readSlices(from, to);
}

void write(const ownership::SlicesStarted &from, pb::SlicesStarted &to) {
  writeSlices(from, to);
}

bool read(const pb::SlicesStarted &from, ownership::SlicesStarted &to) {
  return readSlices(from, to);
}

void write(const ownership::SliceMoved &from, pb::SliceMoved &to) {
  write(from.Slice, *to.mutable_slice());
  to.set_basis(from.Basis);
  to.set_to(from.To.Value);
}

bool read(const pb::SliceMoved &from, ownership::SliceMoved &to) {
  to.Basis = from.basis();
  to.To = InstanceId{from.to()};
  return read(from.slice(), to.Slice);
}

void write(const ownership::HotKeyAdded &from, pb::HotKeyAdded &to) {
  writeHotKey(from, to);
}

bool read(const pb::HotKeyAdded &from, ownership::HotKeyAdded &to) {
  return readHotKey(from, to);
}

void write(const ownership::HotKeyRemoved &from, pb::HotKeyRemoved &to) {
  writeHotKey(from, to);
}

bool read(const pb::HotKeyRemoved &from, ownership::HotKeyRemoved &to) {
  return readHotKey(from, to);
}

void write(const ownership::DataCentreShareSet &from,
           pb::DataCentreShareSet &to) {
  to.set_data_centre(from.DataCentre);
  to.set_basis(from.Basis);
  to.set_share_permille(from.SharePermille);
}

bool read(const pb::DataCentreShareSet &from,
          ownership::DataCentreShareSet &to) {
  to.Basis = from.basis();
  to.SharePermille = from.share_permille();
  return readString(from.data_centre(), to.DataCentre);
}

} // namespace acaciaroad::codec
