#include "Requests/IdempotencyRegister.h"

#include <algorithm>
#include <utility>

namespace acaciaroad::requests {

using core::ErrorKind;

core::Result<IdempotencyRegister>
IdempotencyRegister::create(core::InstanceId owner, RegisterLimits limits) {
  if (!owner || limits.Window.count() <= 0 || limits.MaxIds == 0)
    return core::fail(
        ErrorKind::InvalidArgument,
        "an idempotency register needs a non-null owner, a positive "
        "window and room for at least one id");
  return IdempotencyRegister(owner, limits);
}

IdempotencyRegister::IdempotencyRegister(core::InstanceId owner,
                                         RegisterLimits limits)
    : Owner(owner), Limits(limits) {}

void IdempotencyRegister::setWitnesses(WitnessSets witnesses) {
  Witnesses = std::move(witnesses);
}

BeginDecision IdempotencyRegister::begin(const IdempotentRequest &request,
                                         core::TimePoint now) {
  expire(now);
  if (const Entry *entry = find(request.Id))
    return repeated(*entry, request.Fingerprint);
  BeginDecision out;
  if (ByAge.size() >= Limits.MaxIds)
    return out;
  Entry entry;
  entry.Slice = request.Slice;
  entry.Epoch = request.Epoch;
  entry.Id = request.Id;
  entry.Fingerprint = request.Fingerprint;
  entry.Sequence = NextSequence++;
  entry.FirstSeen = now;
  entry.Quorum.emplace(Witnesses);
  const bool mustWait = entry.Quorum->state() != QuorumState::Reached;
  if (!mustWait) {
    entry.Quorum.reset();
    entry.Status = State::Sent;
  }
  out.Verdict = mustWait ? BeginVerdict::AwaitWitnesses : BeginVerdict::Send;
  out.Message = tell(add(std::move(entry)), now);
  return out;
}

BeginDecision IdempotencyRegister::repeated(const Entry &entry,
                                            std::uint64_t fingerprint) {
  BeginDecision out;
  out.Error = ErrorKind::DuplicateRequest;
  if (entry.Fingerprint != fingerprint) {
    out.Error = ErrorKind::IdempotencyKeyReused;
  } else if (entry.HasAnswer) {
    out.Verdict = BeginVerdict::Replay;
    out.Answer = entry.Answer;
  } else if (entry.Status == State::Unknown) {
    out.Error = ErrorKind::OutcomeUnknown;
  }
  return out;
}

QuorumState IdempotencyRegister::onAck(const IdempotencyAck &ack) {
  Entry *entry = find(ack.Id);
  if (!entry || !entry->Quorum || entry->Sequence != ack.Sequence)
    return QuorumState::Open;
  const QuorumState state = entry->Quorum->add(ack.Witness, ack.IsKept);
  if (state == QuorumState::Reached)
    entry->Quorum.reset();
  // Only an id in this state has a request that waits for the witnesses; others
  // are being replicated again.
  if (entry->Status != State::AwaitingWitnesses)
    return QuorumState::Open;
  if (state == QuorumState::Reached)
    entry->Status = State::Sent;
  return state;
}

void IdempotencyRegister::markCompleted(IdempotencyId id,
                                        std::string_view answer) {
  Entry *entry = find(id);
  if (!entry || entry->Status == State::AwaitingWitnesses ||
      entry->Status == State::Done)
    return;
  entry->Status = State::Done;
  store(*entry, answer);
}

void IdempotencyRegister::store(Entry &entry, std::string_view answer) {
  if (answer.size() > Limits.MaxBytesPerAnswer ||
      AnswerBytes + answer.size() > Limits.MaxTotalAnswerBytes)
    return;
  entry.HasAnswer = true;
  entry.Answer = answer;
  AnswerBytes += answer.size();
}

void IdempotencyRegister::markOutcomeUnknown(IdempotencyId id) {
  Entry *entry = find(id);
  if (entry && entry->Status == State::Sent)
    entry->Status = State::Unknown;
}

std::optional<IdempotencyForget>
IdempotencyRegister::removeNotRun(IdempotencyId id) {
  const auto it = ById.find(id);
  if (it == ById.end())
    return std::nullopt;
  const Entry &entry = *it->second;
  if (entry.Status == State::Done || entry.Status == State::Unknown)
    return std::nullopt;
  IdempotencyForget out{Owner, entry.Slice, entry.Epoch, id, entry.Sequence};
  erase(it->second);
  return out;
}

core::Result<void>
IdempotencyRegister::importIds(const IdempotencyHandover &handover,
                               core::TimePoint now) {
  for (const HandedId &it : handover.Ids) {
    if (it.Age >= Limits.Window || find(it.Id))
      continue;
    if (ByAge.size() >= Limits.MaxIds)
      return core::fail(
          ErrorKind::RegisterFull,
          "the idempotency register has no room for the ids of the "
          "former owner");
    Entry entry;
    entry.Slice = handover.Slice;
    entry.Epoch = handover.Epoch;
    entry.Id = it.Id;
    entry.Fingerprint = it.Fingerprint;
    entry.Sequence = NextSequence++;
    entry.FirstSeen = now - it.Age;
    entry.Status = it.IsDone ? State::Done : State::Unknown;
    Entry &added = add(std::move(entry));
    if (!it.Answer.empty())
      store(added, it.Answer);
  }
  return {};
}

std::vector<IdempotencyTell>
IdempotencyRegister::replicateSlice(const core::SliceId &slice,
                                    core::Epoch epoch, core::TimePoint now) {
  std::vector<IdempotencyTell> out;
  for (Entry &entry : ByAge) {
    if (entry.Slice != slice)
      continue;
    entry.Epoch = epoch;
    entry.Quorum.emplace(Witnesses);
    if (entry.Quorum->state() == QuorumState::Reached)
      entry.Quorum.reset();
    out.push_back(tell(entry, now));
  }
  return out;
}

std::vector<IdempotencyTell>
IdempotencyRegister::pendingTells(const core::SliceId &slice,
                                  core::TimePoint now) const {
  std::vector<IdempotencyTell> out;
  for (const Entry &entry : ByAge)
    if (entry.Slice == slice && entry.Quorum)
      out.push_back(tell(entry, now));
  return out;
}

bool IdempotencyRegister::isReplicated(const core::SliceId &slice) const {
  return std::none_of(ByAge.begin(), ByAge.end(), [&](const Entry &it) {
    return it.Slice == slice && it.Quorum.has_value();
  });
}

std::map<core::SliceId, core::Epoch> IdempotencyRegister::slices() const {
  std::map<core::SliceId, core::Epoch> out;
  for (const Entry &it : ByAge)
    out[it.Slice] = it.Epoch;
  return out;
}

IdempotencyHandover IdempotencyRegister::release(const core::SliceId &slice,
                                                 core::Epoch epoch,
                                                 core::TimePoint now) {
  IdempotencyHandover out{Owner, slice, epoch, {}};
  for (auto it = ByAge.begin(); it != ByAge.end();) {
    const auto next = std::next(it);
    if (it->Slice == slice) {
      out.Ids.push_back({it->Id, it->Fingerprint, now - it->FirstSeen,
                         it->Status == State::Done, it->Answer});
      erase(it);
    }
    it = next;
  }
  return out;
}

IdempotencyTell IdempotencyRegister::tell(const Entry &entry,
                                          core::TimePoint now) const {
  return {Owner,
          entry.Slice,
          entry.Epoch,
          entry.Id,
          entry.Fingerprint,
          entry.Sequence,
          now - entry.FirstSeen};
}

std::optional<core::TimePoint> IdempotencyRegister::nextDeadline() const {
  if (ByAge.empty())
    return std::nullopt;
  return ByAge.front().FirstSeen + Limits.Window;
}

void IdempotencyRegister::expire(core::TimePoint now) {
  while (!ByAge.empty() && ByAge.front().FirstSeen + Limits.Window <= now)
    erase(ByAge.begin());
}

IdempotencyRegister::Entry *IdempotencyRegister::find(IdempotencyId id) {
  const auto it = ById.find(id);
  return it == ById.end() ? nullptr : &*it->second;
}

IdempotencyRegister::Entry &IdempotencyRegister::add(Entry entry) {
  const auto later =
      std::find_if(ByAge.rbegin(), ByAge.rend(), [&](const Entry &it) {
        return it.FirstSeen <= entry.FirstSeen;
      });
  const auto it = ByAge.insert(later.base(), std::move(entry));
  ById[it->Id] = it;
  return *it;
}

void IdempotencyRegister::erase(Entries::iterator it) {
  AnswerBytes -= it->Answer.size();
  ById.erase(it->Id);
  ByAge.erase(it);
}

std::size_t IdempotencyRegister::size() const { return ByAge.size(); }

std::size_t IdempotencyRegister::answerBytes() const { return AnswerBytes; }

} // namespace acaciaroad::requests
