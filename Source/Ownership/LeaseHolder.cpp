#include "Ownership/LeaseHolder.h"

#include <algorithm>
#include <functional>

namespace acaciaroad::ownership {

void LeaseHolder::setWitnesses(std::span<const core::InstanceId> witnesses,
                               std::uint64_t version) {
  if (version != Version && Next && Next->IsProposed)
    Next.reset();
  Current.assign(witnesses.begin(), witnesses.end());
  Version = version;
}

void LeaseHolder::setCandidates(std::vector<core::InstanceId> witnesses) {
  Next = Candidates{std::move(witnesses), false};
}

void LeaseHolder::dropCandidates() {
  if (Next && !Next->IsProposed)
    Next.reset();
}

bool LeaseHolder::canPropose(core::TimePoint now) const {
  if (!Next || Next->IsProposed)
    return false;
  if (InjectedFaults.Joint)
    return true;
  const core::TimePoint reach = expiryOf(Next->Witnesses);
  return reach > now && reach >= Published;
}

std::span<const core::InstanceId> LeaseHolder::candidates() const {
  if (!Next)
    return {};
  return Next->Witnesses;
}

std::vector<core::InstanceId> LeaseHolder::onRenew(core::TimePoint now) {
  LastRenewal = now;
  std::vector<core::InstanceId> out = Current;
  for (const core::InstanceId it : candidates())
    if (std::find(out.begin(), out.end(), it) == out.end())
      out.push_back(it);
  std::erase_if(Promises, [&out](const auto &it) {
    return std::find(out.begin(), out.end(), it.first) == out.end();
  });
  return out;
}

void LeaseHolder::onPromise(core::InstanceId from, core::TimePoint askedAt,
                            core::TimePoint now) {
  if (askedAt > LastRenewal)
    return;
  core::TimePoint &last = Promises[from];
  last = std::max(last, InjectedFaults.Ask ? now : askedAt);
}

core::TimePoint LeaseHolder::expiry() const {
  const core::TimePoint current = expiryOf(Current);
  if (!isProposed() || InjectedFaults.Joint)
    return current;
  return std::min(current, expiryOf(Next->Witnesses));
}

void LeaseHolder::onPublished(core::TimePoint expiry) {
  Published = std::max(Published, expiry);
}

std::optional<core::TimePoint>
LeaseHolder::lastPromise(core::InstanceId from) const {
  const auto it = Promises.find(from);
  if (it == Promises.end())
    return std::nullopt;
  return it->second;
}

core::TimePoint
LeaseHolder::expiryOf(std::span<const core::InstanceId> set) const {
  // The log rejects RetireReason::Lost for an instance without witnesses, so
  // its lease ends only by its own record or by an operator's declaration.
  if (set.empty())
    return LastRenewal + Rules.Length;
  std::vector<core::TimePoint> asked;
  for (const core::InstanceId it : set)
    if (const auto last = lastPromise(it))
      asked.push_back(*last);
  const std::size_t majority = majorityCount(set.size());
  if (asked.size() < majority)
    return {};
  std::sort(asked.begin(), asked.end(), std::greater<>());
  return asked[majority - 1] + Rules.Length;
}

} // namespace acaciaroad::ownership
