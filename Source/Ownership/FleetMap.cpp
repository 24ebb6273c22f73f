#include "Ownership/FleetMap.h"

#include <algorithm>

namespace acaciaroad::ownership {

namespace {

using core::ErrorKind;
using core::fail;

/// Number of retired ids kept to reject repeated InstanceJoined records. Safety
/// does not depend on it: see LeaseAsk::JoinedAt.
constexpr std::size_t RememberedRetired = 16'384;

/// Returns a tie-break hash that distributes equal choices over the members.
std::uint64_t tieBreakOf(const ServiceSlices &service, core::SliceIndex index) {
  return core::hashOf(service.name(), index);
}

/// Removes the items for which \p isDone returns true. Frees the memory of a
/// list that becomes empty, as there are hundreds of thousands of lists.
template <typename Function>
void removeFrom(std::vector<Predecessor> &list, Function isDone) {
  std::erase_if(list, isDone);
  if (list.empty())
    list = std::vector<Predecessor>();
}

bool areWitnessesValid(core::InstanceId holder,
                       std::vector<core::InstanceId> witnesses) {
  if (witnesses.size() > MaxWitnesses)
    return false;
  std::sort(witnesses.begin(), witnesses.end());
  const bool isUnique =
      std::adjacent_find(witnesses.begin(), witnesses.end()) == witnesses.end();
  const bool hasHolder =
      std::binary_search(witnesses.begin(), witnesses.end(), holder);
  const bool hasNone = !witnesses.empty() && !witnesses.front();
  return isUnique && !hasHolder && !hasNone;
}

} // namespace

core::Result<void> FleetMap::apply(const OwnershipRecord &record,
                                   core::Offset offset) {
  ChangedSlices.clear();
  ChangedInstances.clear();
  if (LastOffset && offset <= *LastOffset)
    return fail(ErrorKind::Conflict, "the record offset was already applied");
  LastOffset = offset;
  return std::visit([this](const auto &it) { return fold(it); }, record);
}

// Records -------------------------------------------------------------------

core::Result<void> FleetMap::fold(const ServiceDefined &record) {
  if (record.Service.empty() || record.SliceCount == 0 ||
      record.SliceCount > MaxSliceCount)
    return fail(ErrorKind::InvalidArgument,
                "the service name is empty or the slice count is out of range");
  if (find(record.Service) != nullptr)
    return fail(ErrorKind::Conflict, "the service is already defined");
  define(record.Service, record.SliceCount);
  return {};
}

core::Result<void> FleetMap::fold(const InstanceJoined &record) {
  const InstanceInfo &info = record.Info;
  if (!info.Id || !areWitnessesValid(info.Id, record.Witnesses))
    return fail(ErrorKind::InvalidArgument,
                "the instance id is 0 or the witness list is invalid");
  if (Instances.contains(info.Id) || RetiredSet.contains(info.Id))
    return fail(ErrorKind::Conflict, "the instance id was already used");
  InstanceState &state = Instances[info.Id];
  state.Info = std::make_shared<const InstanceInfo>(info);
  state.JoinedAt = *LastOffset;
  setWitnesses(state, record.Witnesses);
  addToShard(state.Info);
  ++DataCentreSizes[info.DataCentre];
  addToServices(info, dataCentre(info.DataCentre).SharePermille);
  for (ServiceSlices *it : servicesOf(info)) {
    assignOrphans(*it);
    assignFairShare(*it, info.Id);
  }
  ChangedInstances.push_back(info.Id);
  return {};
}

core::Result<void> FleetMap::fold(const InstanceLeaving &record) {
  const auto it = Instances.find(record.Id);
  if (it == Instances.end() || it->second.Status != InstanceStatus::Live)
    return fail(ErrorKind::Conflict, "the instance is not live");
  it->second.Status = InstanceStatus::Leaving;
  for (ServiceSlices *service : servicesOf(*it->second.Info)) {
    service->placement().setShare(record.Id, 0);
    service->membersChanged();
    moveSlicesOff(*service, record.Id, 0, true);
  }
  ChangedInstances.push_back(record.Id);
  return {};
}

core::Result<void> FleetMap::fold(const InstanceRetired &record) {
  const auto it = Instances.find(record.Id);
  if (it == Instances.end())
    return fail(ErrorKind::Conflict, "the instance is not live");
  InstanceState &state = it->second;
  const bool isDeclared = record.Reason == RetireReason::DeclaredLost;
  if (state.Status == InstanceStatus::Lost) {
    if (!isDeclared)
      return fail(ErrorKind::Conflict, "the instance is already retired");
    clearPredecessorEntries(record.Id);
    forget(record.Id);
    return {};
  }
  if (record.WitnessVersion != state.WitnessVersion)
    return fail(ErrorKind::Conflict, "the witness version is stale");
  if (record.Reason == RetireReason::Stopped && record.By != record.Id)
    return fail(ErrorKind::InvalidArgument,
                "only the instance itself can report that it stopped");
  if (record.Reason == RetireReason::Lost) {
    // Without witnesses nobody could confirm that the lease has expired, and a
    // retired instance must not retire the remaining ones.
    const auto &witnesses = state.Witnesses;
    const bool isWitness = std::find(witnesses.begin(), witnesses.end(),
                                     record.By) != witnesses.end();
    if (!isWitness || !holdsLease(record.By))
      return fail(ErrorKind::Conflict,
                  "the loss was not proposed by a live witness");
  }
  retire(state, record.Reason == RetireReason::Lost);
  return {};
}

core::Result<void> FleetMap::fold(const WitnessesChanged &record) {
  if (!areWitnessesValid(record.Holder, record.Witnesses))
    return fail(ErrorKind::InvalidArgument, "the witness list is invalid");
  if (!holdsLease(record.Holder))
    return fail(ErrorKind::Conflict, "the holder is not live");
  InstanceState &state = Instances.at(record.Holder);
  if (state.WitnessVersion != record.Basis)
    return fail(ErrorKind::Conflict, "the witness version is stale");
  setWitnesses(state, record.Witnesses);
  ++state.WitnessVersion;
  ChangedInstances.push_back(record.Holder);
  return {};
}

core::Result<void> FleetMap::fold(const SlicesReleased &record) {
  for (const SliceEpoch &it : record.Slices) {
    const auto ref = refOf(it.Slice);
    if (ref && clearPredecessor(*ref, {record.By, it.Epoch}))
      ChangedSlices.push_back(*ref);
  }
  if (ChangedSlices.empty())
    return fail(ErrorKind::Conflict,
                "no slice lists this predecessor at the given epoch");
  eraseIfUnreferenced(record.By);
  return {};
}

core::Result<void> FleetMap::fold(const SlicesStarted &record) {
  for (const SliceEpoch &it : record.Slices) {
    const auto ref = refOf(it.Slice);
    if (!ref)
      continue;
    const SliceState &state = *slice(*ref);
    if (state.Owner != record.By || state.Epoch != it.Epoch ||
        state.Predecessors.empty())
      continue;
    const std::vector<Predecessor> done = state.Predecessors;
    for (const Predecessor &predecessor : done) {
      clearPredecessor(*ref, predecessor);
      eraseIfUnreferenced(predecessor.Id);
    }
    ChangedSlices.push_back(*ref);
  }
  if (ChangedSlices.empty())
    return fail(ErrorKind::Conflict,
                "no slice of this owner waits at the given epoch");
  return {};
}

core::Result<void> FleetMap::fold(const SliceMoved &record) {
  const auto ref = refOf(record.Slice);
  if (!ref)
    return fail(ErrorKind::Conflict, "the slice does not exist");
  ServiceSlices &service = Services[ref->Service];
  const SliceState &state = *service.find(ref->Index);
  const bool isSettled = state.Owner && state.Predecessors.empty();
  if (state.Epoch != record.Basis || !isSettled)
    return fail(ErrorKind::Conflict,
                "the slice epoch is stale or a move is in progress");
  if (state.Owner == record.To || !service.placement().isEligible(record.To))
    return fail(ErrorKind::Conflict,
                "the target already owns the slice or is not eligible");
  reassign(service, ref->Index, record.To, true);
  return {};
}

core::Result<void> FleetMap::fold(const HotKeyAdded &record) {
  ServiceSlices *service = find(record.Service);
  if (service == nullptr || service->hot().size() >= MaxHotKeys)
    return fail(ErrorKind::Conflict,
                "the service does not exist or has too many hot keys");
  const core::SliceIndex index = service->indexOf(record.KeyHash);
  const SliceState parent = *service->find(index);
  // The new slice starts without waiting, so its parent must not be waiting
  // for a predecessor.
  if (index >= HotSliceBase || parent.Epoch != record.Basis || !parent.Owner ||
      !parent.Predecessors.empty())
    return fail(ErrorKind::Conflict,
                "the slice epoch is stale or a move is in progress");
  const core::SliceIndex hot = service->addHot(record.KeyHash, parent);
  ChangedSlices.push_back({service->number(), hot});
  return {};
}

core::Result<void> FleetMap::fold(const HotKeyRemoved &record) {
  ServiceSlices *service = find(record.Service);
  if (service == nullptr)
    return fail(ErrorKind::Conflict, "the service does not exist");
  const HotSlice *hot = findHot(service->hot(), record.KeyHash);
  if (hot == nullptr || hot->State.Epoch != record.Basis)
    return fail(ErrorKind::Conflict, "no such hot key at the given epoch");
  const SliceState &parent = *service->find(
      static_cast<core::SliceIndex>(record.KeyHash % service->sliceCount()));
  const bool isSettled =
      hot->State.Predecessors.empty() && parent.Predecessors.empty();
  if (!isSettled || !parent.Owner || parent.Owner != hot->State.Owner)
    return fail(ErrorKind::Conflict,
                "the owners differ or a move is in progress");
  ChangedSlices.push_back({service->number(), hot->Index});
  service->removeHot(record.KeyHash);
  return {};
}

core::Result<void> FleetMap::fold(const DataCentreShareSet &record) {
  if (record.DataCentre.empty() || record.SharePermille > FullSharePermille)
    return fail(ErrorKind::InvalidArgument,
                "the data centre is empty or the share exceeds 1000");
  DataCentreSnapshot now = dataCentre(record.DataCentre);
  if (now.Version != record.Basis)
    return fail(ErrorKind::Conflict, "the share version is stale");
  const bool isLess = record.SharePermille < now.SharePermille;
  now.SharePermille = record.SharePermille;
  ++now.Version;
  DataCentres[record.DataCentre] = now;
  std::vector<core::InstanceId> inside;
  for (const auto &[id, state] : Instances)
    if (state.Status == InstanceStatus::Live &&
        state.Info->DataCentre == record.DataCentre)
      inside.push_back(id);
  std::sort(inside.begin(), inside.end());
  for (const core::InstanceId id : inside)
    for (ServiceSlices *it : servicesOf(*Instances.at(id).Info)) {
      it->placement().setShare(id, record.SharePermille);
      it->membersChanged();
    }
  for (const core::InstanceId id : inside)
    for (ServiceSlices *it : servicesOf(*Instances.at(id).Info)) {
      assignOrphans(*it);
      const auto share = it->placement().fairShare(id, it->totalCount());
      // Rounded up, so that the others do not receive more than their own
      // shares.
      const std::uint32_t keep = record.SharePermille == 0 ? 0 : share + 1;
      if (isLess)
        moveSlicesOff(*it, id, keep, true);
      else
        assignFairShare(*it, id);
    }
  return {};
}

// Moves ---------------------------------------------------------------------

void FleetMap::addToServices(const InstanceInfo &info,
                             std::uint32_t sharePermille) {
  if (find(AccountsService) == nullptr)
    define(std::string(AccountsService), DefaultSliceCount);
  if (!info.Service.empty() && find(info.Service) == nullptr)
    define(info.Service, DefaultSliceCount);
  for (ServiceSlices *it : servicesOf(info)) {
    it->placement().addMember(info.Id, sharePermille);
    it->membersChanged();
  }
}

void FleetMap::assignFairShare(ServiceSlices &service, core::InstanceId to) {
  Placement &placement = service.placement();
  if (!placement.isEligible(to))
    return;
  const std::uint32_t due = placement.fairShare(to, service.totalCount());
  while (placement.ownedBy(to).size() < due) {
    const auto count =
        static_cast<core::SliceIndex>(placement.ownedBy(to).size());
    const auto from = placement.mostLoaded(core::hashOf(service.name(), count));
    if (!from || *from == to || placement.ownedBy(*from).empty())
      return;
    reassign(service, placement.ownedBy(*from).back(), to, true);
  }
}

void FleetMap::assignOrphans(ServiceSlices &service) {
  const std::vector<core::SliceIndex> orphans(service.orphans().begin(),
                                              service.orphans().end());
  for (const core::SliceIndex it : orphans) {
    const auto to = service.placement().leastLoaded(tieBreakOf(service, it));
    if (!to)
      return;
    reassign(service, it, *to, false);
  }
}

void FleetMap::moveSlicesOff(ServiceSlices &service, core::InstanceId id,
                             std::size_t keep, bool mayStillServe) {
  while (service.placement().ownedBy(id).size() > keep) {
    const core::SliceIndex index = service.placement().ownedBy(id).back();
    const auto to = service.placement().leastLoaded(tieBreakOf(service, index));
    if (to == id)
      return;
    reassign(service, index, to.value_or(core::InstanceId{}), mayStillServe);
  }
}

void FleetMap::reassign(ServiceSlices &service, core::SliceIndex index,
                        core::InstanceId to, bool mayStillServe) {
  const SliceRef ref{service.number(), index};
  SliceState &state = service.edit(index);
  if (ForgetsPredecessors) {
    const std::vector<Predecessor> earlier = state.Predecessors;
    for (const Predecessor &it : earlier)
      clearPredecessor(ref, it);
  }
  if (state.Owner && mayStillServe) {
    state.Predecessors.push_back({state.Owner, state.Epoch});
    Instances.at(state.Owner).PredecessorOf.insert(ref);
  }
  // A new owner tracks its own requests from earlier epochs itself.
  removeFrom(state.Predecessors,
             [to](const Predecessor &it) { return it.Id == to; });
  if (to)
    Instances.at(to).PredecessorOf.erase(ref);
  service.setOwner(index, to);
  ChangedSlices.push_back(ref);
}

bool FleetMap::clearPredecessor(SliceRef ref, const Predecessor &predecessor) {
  ServiceSlices &service = Services[ref.Service];
  const auto &before = service.find(ref.Index)->Predecessors;
  if (std::find(before.begin(), before.end(), predecessor) == before.end())
    return false;
  auto &list = service.edit(ref.Index).Predecessors;
  removeFrom(list, [&](const Predecessor &it) { return it == predecessor; });
  const auto it = Instances.find(predecessor.Id);
  const bool isListed =
      std::any_of(list.begin(), list.end(), [&](const Predecessor &other) {
        return other.Id == predecessor.Id;
      });
  if (it != Instances.end() && !isListed)
    it->second.PredecessorOf.erase(ref);
  return true;
}

void FleetMap::clearPredecessorEntries(core::InstanceId id) {
  const std::set<SliceRef> refs = Instances.at(id).PredecessorOf;
  for (const SliceRef ref : refs) {
    removeFrom(Services[ref.Service].edit(ref.Index).Predecessors,
               [id](const Predecessor &it) { return it.Id == id; });
    ChangedSlices.push_back(ref);
  }
  Instances.at(id).PredecessorOf.clear();
}

// Instances -----------------------------------------------------------------

void FleetMap::retire(InstanceState &state, bool mayStillServe) {
  const InstanceInfoPtr info = state.Info;
  const std::vector<core::InstanceId> witnesses = state.Witnesses;
  state.Status = InstanceStatus::Lost;
  for (ServiceSlices *it : servicesOf(*info)) {
    it->placement().setShare(info->Id, 0);
    it->membersChanged();
    moveSlicesOff(*it, info->Id, 0, mayStillServe);
    it->placement().removeMember(info->Id);
  }
  removeFromShard(info->Id);
  if (--DataCentreSizes[info->DataCentre] == 0)
    DataCentreSizes.erase(info->DataCentre);
  for (const core::InstanceId it : witnesses)
    if (const auto found = Instances.find(it); found != Instances.end())
      found->second.WitnessOf.erase(info->Id);
  rememberRetired(info->Id);
  ChangedInstances.push_back(info->Id);
  if (!mayStillServe)
    clearPredecessorEntries(info->Id);
  eraseIfUnreferenced(info->Id);
}

void FleetMap::eraseIfUnreferenced(core::InstanceId id) {
  const auto it = Instances.find(id);
  if (it != Instances.end() && it->second.Status == InstanceStatus::Lost &&
      it->second.PredecessorOf.empty())
    forget(id);
}

void FleetMap::forget(core::InstanceId id) {
  Instances.erase(id);
  ChangedInstances.push_back(id);
}

void FleetMap::rememberRetired(core::InstanceId retired) {
  Retired.push_back(retired);
  RetiredSet.insert(retired);
  if (Retired.size() <= RememberedRetired)
    return;
  RetiredSet.erase(Retired.front());
  Retired.pop_front();
}

void FleetMap::setWitnesses(InstanceState &holder,
                            std::vector<core::InstanceId> witnesses) {
  const core::InstanceId id = holder.Info->Id;
  for (const core::InstanceId it : holder.Witnesses)
    if (const auto found = Instances.find(it); found != Instances.end())
      found->second.WitnessOf.erase(id);
  for (const core::InstanceId it : witnesses)
    if (const auto found = Instances.find(it); found != Instances.end())
      found->second.WitnessOf.insert(id);
  holder.Witnesses = std::move(witnesses);
}

void FleetMap::addToShard(const InstanceInfoPtr &info) {
  auto &shard = Shards[shardOf(info->Id)];
  auto changed = shard ? std::make_shared<InstanceShard>(*shard)
                       : std::make_shared<InstanceShard>();
  const auto at =
      std::lower_bound(changed->begin(), changed->end(), info->Id,
                       [](const InstanceInfoPtr &it, core::InstanceId id) {
                         return it->Id < id;
                       });
  changed->insert(at, info);
  shard = std::move(changed);
}

void FleetMap::removeFromShard(core::InstanceId id) {
  auto &shard = Shards[shardOf(id)];
  auto changed = std::make_shared<InstanceShard>(*shard);
  std::erase_if(*changed,
                [id](const InstanceInfoPtr &it) { return it->Id == id; });
  shard = std::move(changed);
}

// Services ------------------------------------------------------------------

ServiceSlices &FleetMap::define(const std::string &name,
                                std::uint32_t sliceCount) {
  const auto number = static_cast<std::uint32_t>(Services.size());
  ServiceNumbers.emplace(name, number);
  return Services.emplace_back(name, number, sliceCount);
}

ServiceSlices *FleetMap::find(std::string_view name) {
  const auto it = ServiceNumbers.find(name);
  return it == ServiceNumbers.end() ? nullptr : &Services[it->second];
}

std::vector<ServiceSlices *> FleetMap::servicesOf(const InstanceInfo &info) {
  std::vector<ServiceSlices *> out;
  if (ServiceSlices *accounts = find(AccountsService))
    out.push_back(accounts);
  if (info.Service.empty() || info.Service == AccountsService)
    return out;
  if (ServiceSlices *own = find(info.Service))
    out.push_back(own);
  return out;
}

// Queries -------------------------------------------------------------------

const ServiceSlices *FleetMap::service(std::string_view name) const {
  const auto it = ServiceNumbers.find(name);
  return it == ServiceNumbers.end() ? nullptr : &Services[it->second];
}

std::optional<SliceOwner> FleetMap::ownerOf(std::string_view service,
                                            std::uint64_t keyHash) const {
  const ServiceSlices *found = this->service(service);
  if (found == nullptr)
    return std::nullopt;
  const core::SliceIndex index = found->indexOf(keyHash);
  const SliceState &state = *found->find(index);
  return SliceOwner{state.Owner, {found->name(), index}, state.Epoch};
}

const InstanceState *FleetMap::instance(core::InstanceId id) const {
  const auto it = Instances.find(id);
  return it == Instances.end() ? nullptr : &it->second;
}

bool FleetMap::holdsLease(core::InstanceId id) const {
  const InstanceState *state = instance(id);
  return state != nullptr && state->Status != InstanceStatus::Lost;
}

std::vector<core::InstanceId>
FleetMap::eligible(std::string_view service) const {
  const ServiceSlices *found = this->service(service);
  if (found == nullptr)
    return {};
  return found->placement().eligible();
}

std::vector<SliceRef> FleetMap::slicesOf(core::InstanceId id) const {
  std::vector<SliceRef> out;
  for (const ServiceSlices &it : Services)
    for (const core::SliceIndex index : it.placement().ownedBy(id))
      out.push_back({it.number(), index});
  return out;
}

const SliceState *FleetMap::slice(SliceRef ref) const {
  return ref.Service < Services.size() ? Services[ref.Service].find(ref.Index)
                                       : nullptr;
}

core::SliceId FleetMap::idOf(SliceRef ref) const {
  return {Services[ref.Service].name(), ref.Index};
}

std::optional<SliceRef> FleetMap::refOf(const core::SliceId &id) const {
  const ServiceSlices *found = service(id.Service);
  if (found == nullptr || found->find(id.Index) == nullptr)
    return std::nullopt;
  return SliceRef{found->number(), id.Index};
}

DataCentreSnapshot FleetMap::dataCentre(std::string_view name) const {
  const auto it = DataCentres.find(name);
  return it == DataCentres.end() ? DataCentreSnapshot{std::string(name)}
                                 : it->second;
}

FleetView FleetMap::share() {
  FleetView::ServiceMap services;
  for (ServiceSlices &it : Services)
    services.emplace(it.name(), it.share());
  return {std::move(services), Shards};
}

// Checkpoints ---------------------------------------------------------------

FleetSnapshot FleetMap::snapshot() const {
  FleetSnapshot out;
  out.LastOffset = LastOffset;
  for (const ServiceSlices &it : Services)
    out.Services.push_back(it.snapshot());
  for (const auto &[id, state] : Instances)
    out.Instances.push_back({*state.Info, state.Status, state.JoinedAt,
                             state.WitnessVersion, state.Witnesses});
  std::sort(out.Instances.begin(), out.Instances.end(),
            [](const InstanceSnapshot &a, const InstanceSnapshot &b) {
              return a.Info.Id < b.Info.Id;
            });
  for (const auto &[name, it] : DataCentres)
    out.DataCentres.push_back(it);
  out.Retired.assign(Retired.begin(), Retired.end());
  return out;
}

core::Result<FleetMap> FleetMap::fromSnapshot(const FleetSnapshot &from) {
  FleetMap map;
  map.LastOffset = from.LastOffset;
  for (const DataCentreSnapshot &it : from.DataCentres)
    map.DataCentres[it.Name] = it;
  for (const ServiceSnapshot &it : from.Services) {
    const auto number = static_cast<std::uint32_t>(map.Services.size());
    if (it.Slices.empty() ||
        !map.ServiceNumbers.emplace(it.Name, number).second)
      return fail(ErrorKind::CorruptMessage,
                  "snapshot: service without slices or defined twice");
    map.Services.emplace_back(it, number);
  }
  for (const InstanceSnapshot &it : from.Instances)
    map.restoreInstance(it);
  for (const InstanceSnapshot &it : from.Instances)
    if (it.Status != InstanceStatus::Lost)
      map.setWitnesses(map.Instances.at(it.Info.Id), it.Witnesses);
  for (const ServiceSnapshot &it : from.Services)
    for (const SliceState &state : it.Slices)
      if (state.Owner && !map.holdsLease(state.Owner))
        return fail(ErrorKind::CorruptMessage,
                    "snapshot: slice owner is not live");
  for (ServiceSlices &it : map.Services)
    it.addSlicesToPlacement();
  map.restorePredecessors();
  for (const core::InstanceId it : from.Retired)
    map.rememberRetired(it);
  return map;
}

void FleetMap::restoreInstance(const InstanceSnapshot &from) {
  InstanceState &state = Instances[from.Info.Id];
  state.Info = std::make_shared<const InstanceInfo>(from.Info);
  state.Status = from.Status;
  state.JoinedAt = from.JoinedAt;
  state.WitnessVersion = from.WitnessVersion;
  state.Witnesses = from.Witnesses;
  if (from.Status == InstanceStatus::Lost)
    return;
  addToShard(state.Info);
  ++DataCentreSizes[from.Info.DataCentre];
  const bool isLive = from.Status == InstanceStatus::Live;
  addToServices(from.Info,
                isLive ? dataCentre(from.Info.DataCentre).SharePermille : 0);
}

void FleetMap::restorePredecessors() {
  const auto restore = [this](SliceRef ref, const SliceState &state) {
    for (const Predecessor &it : state.Predecessors)
      if (const auto found = Instances.find(it.Id); found != Instances.end())
        found->second.PredecessorOf.insert(ref);
  };
  for (const ServiceSlices &it : Services) {
    for (core::SliceIndex n = 0; n < it.sliceCount(); ++n)
      restore({it.number(), n}, *it.find(n));
    for (const HotSlice &hot : it.hot())
      restore({it.number(), hot.Index}, hot.State);
  }
}

} // namespace acaciaroad::ownership
