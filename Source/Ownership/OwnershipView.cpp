#include "Ownership/OwnershipView.h"

namespace acaciaroad::ownership {

using core::ErrorKind;
using core::fail;

core::Result<SliceOwner> OwnershipView::ownerOf(std::string_view service,
                                                std::uint64_t keyHash) const {
  const auto owner = Fleet.ownerOf(service, keyHash);
  if (!owner || !owner->Instance)
    return fail(ErrorKind::NoOwner);
  return *owner;
}

core::Result<Grant> OwnershipView::mayServe(std::string_view service,
                                            std::uint64_t keyHash,
                                            core::TimePoint now) const {
  if (isIsolated(now))
    return fail(ErrorKind::NodeIsolated);
  auto owner = ownerOf(service, keyHash);
  if (!owner)
    return fail(ErrorKind::NoOwner);
  if (owner->Instance != Self)
    return fail(ErrorKind::OwnerChanged);
  const SliceRef ref{Fleet.service(service)->Number, owner->Slice.Index};
  const auto it = Grants->find(ref);
  if (it == Grants->end() || it->second != owner->Epoch)
    return fail(ErrorKind::NoOwner,
                "the slice is not started: it waits for a former owner");
  const auto expiry =
      core::fromNanoseconds(Clock->Expiry.load(std::memory_order_acquire));
  if (ChecksExpiry && now >= expiry)
    return fail(ErrorKind::NoOwner, "the lease of this instance has expired");
  return Grant{std::move(owner->Slice), owner->Epoch, expiry};
}

bool OwnershipView::isIsolated(core::TimePoint now) const {
  return now >= core::fromNanoseconds(
                    Clock->ContactExpiry.load(std::memory_order_acquire));
}

} // namespace acaciaroad::ownership
