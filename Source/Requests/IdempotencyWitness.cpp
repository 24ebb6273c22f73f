#include "Requests/IdempotencyWitness.h"

#include <algorithm>

namespace acaciaroad::requests {

core::Result<IdempotencyWitness>
IdempotencyWitness::create(core::InstanceId id, WitnessLimits limits) {
  if (!id || limits.Window.count() <= 0 || limits.MaxIds == 0)
    return core::fail(
        core::ErrorKind::InvalidArgument,
        "an idempotency witness needs a non-null id, a positive window "
        "and room for at least one id");
  return IdempotencyWitness(id, limits);
}

IdempotencyWitness::IdempotencyWitness(core::InstanceId id,
                                       WitnessLimits limits)
    : Id(id), Limits(limits) {}

IdempotencyAck IdempotencyWitness::onTell(const IdempotencyTell &message,
                                          core::TimePoint now) {
  expire(now);
  IdempotencyAck out{Id, message.Id, message.Sequence, false};
  SliceState &state = Slices[message.Slice];
  if (message.Epoch < state.MinEpoch)
    return out;
  const auto it = state.Ids.find(message.Id);
  if (it == state.Ids.end()) {
    if (ByAge.size() >= Limits.MaxIds)
      return out;
    add(state, message, now);
  } else if (message.Epoch > it->second->Epoch ||
             message.Sequence > it->second->Sequence) {
    Entry &entry = *it->second;
    entry.Epoch = message.Epoch;
    entry.Owner = message.Owner;
    entry.Fingerprint = message.Fingerprint;
    entry.Sequence = message.Sequence;
  }
  out.IsKept = true;
  return out;
}

void IdempotencyWitness::add(SliceState &state, const IdempotencyTell &message,
                             core::TimePoint now) {
  const Entry entry{message.Slice,    message.Epoch,       message.Owner,
                    message.Id,       message.Fingerprint, message.Sequence,
                    now - message.Age};
  const auto later =
      std::find_if(ByAge.rbegin(), ByAge.rend(), [&](const Entry &it) {
        return it.FirstSeen <= entry.FirstSeen;
      });
  state.Ids[message.Id] = ByAge.insert(later.base(), entry);
}

void IdempotencyWitness::forget(const IdempotencyForget &message) {
  const auto slice = Slices.find(message.Slice);
  if (slice == Slices.end())
    return;
  const auto it = slice->second.Ids.find(message.Id);
  if (it == slice->second.Ids.end())
    return;
  const Entry &entry = *it->second;
  // A delayed message must not remove a later use of the id.
  if (entry.Owner == message.Owner && entry.Epoch == message.Epoch &&
      entry.Sequence <= message.Sequence)
    erase(it->second);
}

IdempotencyHandover
IdempotencyWitness::handOver(const IdempotencyHandoverAsk &ask,
                             core::TimePoint now) {
  expire(now);
  SliceState &state = Slices[ask.Slice];
  state.MinEpoch = std::max(state.MinEpoch, ask.Epoch);
  IdempotencyHandover out{Id, ask.Slice, ask.Epoch, {}};
  for (const auto &[id, it] : state.Ids)
    out.Ids.push_back({id, it->Fingerprint, now - it->FirstSeen, false, {}});
  return out;
}

std::optional<core::TimePoint> IdempotencyWitness::nextDeadline() const {
  if (ByAge.empty())
    return std::nullopt;
  return ByAge.front().FirstSeen + Limits.Window;
}

void IdempotencyWitness::expire(core::TimePoint now) {
  while (!ByAge.empty() && ByAge.front().FirstSeen + Limits.Window <= now)
    erase(ByAge.begin());
}

void IdempotencyWitness::erase(Entries::iterator it) {
  Slices[it->Slice].Ids.erase(it->Id);
  ByAge.erase(it);
}

std::size_t IdempotencyWitness::size() const { return ByAge.size(); }

} // namespace acaciaroad::requests
