#include "Codec/FleetMessages.h"

#include "Codec/Conversion.h"
#include "Codec/OwnershipMessages.h"

namespace acaciaroad::codec {

namespace {

using core::InstanceId;
using namespace acaciaroad::ownership;

template <typename Field>
void writeIds(const std::vector<InstanceId> &from, Field *to) {
  for (InstanceId it : from)
    to->Add(it.Value);
}

template <typename Field>
void readIds(const Field &from, std::vector<InstanceId> &to) {
  to.clear();
  for (std::uint64_t it : from)
    to.push_back(InstanceId{it});
}

void writePart(const SliceState &from, pb::SliceState &to) {
  to.set_owner(from.Owner.Value);
  to.set_epoch(from.Epoch);
  for (const Predecessor &it : from.Predecessors) {
    auto *message = to.add_predecessors();
    message->set_id(it.Id.Value);
    message->set_epoch(it.Epoch);
  }
}

bool readPart(const pb::SliceState &from, SliceState &to) {
  to.Owner = InstanceId{from.owner()};
  to.Epoch = from.epoch();
  return readAll(from.predecessors(), to.Predecessors,
                 [](const pb::Predecessor &message, Predecessor &it) {
                   it = {InstanceId{message.id()}, message.epoch()};
                   return true;
                 });
}

void writePart(const HotSlice &from, pb::HotSlice &to) {
  to.set_key_hash(from.KeyHash);
  to.set_index(from.Index);
  writePart(from.State, *to.mutable_state());
}

bool readPart(const pb::HotSlice &from, HotSlice &to) {
  to.KeyHash = from.key_hash();
  to.Index = from.index();
  return readPart(from.state(), to.State);
}

void writePart(const ServiceSnapshot &from, pb::ServiceSnapshot &to) {
  to.set_name(from.Name);
  to.set_next_hot(from.NextHot);
  for (const SliceState &it : from.Slices)
    writePart(it, *to.add_slices());
  for (const HotSlice &it : from.Hot)
    writePart(it, *to.add_hot());
}

bool readPart(const pb::ServiceSnapshot &from, ServiceSnapshot &to) {
  const auto readOne = [](const auto &message, auto &it) {
    return readPart(message, it);
  };
  to.NextHot = from.next_hot();
  return readString(from.name(), to.Name) &&
         readAll(from.slices(), to.Slices, readOne) &&
         readAll(from.hot(), to.Hot, readOne);
}

void writePart(const InstanceSnapshot &from, pb::InstanceSnapshot &to) {
  write(from.Info, *to.mutable_info());
  to.set_status(enumNumber(from.Status));
  to.set_joined_at(from.JoinedAt);
  to.set_witness_version(from.WitnessVersion);
  writeIds(from.Witnesses, to.mutable_witnesses());
}

bool readPart(const pb::InstanceSnapshot &from, InstanceSnapshot &to) {
  to.JoinedAt = from.joined_at();
  to.WitnessVersion = from.witness_version();
  readIds(from.witnesses(), to.Witnesses);
  return to.Witnesses.size() <= MaxWitnesses && read(from.info(), to.Info) &&
         readEnum(from.status(), InstanceStatus::Lost, to.Status);
}

void writePart(const DataCentreSnapshot &from, pb::DataCentreSnapshot &to) {
  to.set_name(from.Name);
  to.set_version(from.Version);
  to.set_share_permille(from.SharePermille);
}

bool readPart(const pb::DataCentreSnapshot &from, DataCentreSnapshot &to) {
  to.Version = from.version();
  to.SharePermille = from.share_permille();
  return readString(from.name(), to.Name);
}

} // namespace

void write(const FleetSnapshot &from, pb::FleetSnapshot &to) {
  if (from.LastOffset)
    to.set_last_offset(*from.LastOffset);
  for (const ServiceSnapshot &it : from.Services)
    writePart(it, *to.add_services());
  for (const InstanceSnapshot &it : from.Instances)
    writePart(it, *to.add_instances());
  for (const DataCentreSnapshot &it : from.DataCentres)
    writePart(it, *to.add_data_centres());
  writeIds(from.Retired, to.mutable_retired());
}

bool read(const pb::FleetSnapshot &from, FleetSnapshot &to) {
  to.LastOffset.reset();
  if (from.has_last_offset())
    to.LastOffset = from.last_offset();
  readIds(from.retired(), to.Retired);
  const auto readOne = [](const auto &message, auto &it) {
    return readPart(message, it);
  };
  return readAll(from.services(), to.Services, readOne) &&
         readAll(from.instances(), to.Instances, readOne) &&
         readAll(from.data_centres(), to.DataCentres, readOne);
}

} // namespace acaciaroad::codec
