#include "Node/PlacementLog.h"

#include <string>

#include "Core/Clock.h"

namespace acaciaroad::node {

using logging::Level;

namespace {

std::int64_t bootNanoseconds() {
  return core::toNanoseconds(core::BootClock::now());
}

std::string_view toString(ownership::RetireReason reason) {
  switch (reason) {
  case ownership::RetireReason::Lost:
    return "lost";
  case ownership::RetireReason::Stopped:
    return "stopped";
  case ownership::RetireReason::DeclaredLost:
    break;
  }
  return "declared_lost";
}

} // namespace

void PlacementLog::ownStart(const core::SliceId &slice,
                            core::Epoch epoch) const {
  Logger->write(Level::Info, "own_start",
                {{"slice", core::toString(slice)},
                 {"epoch", epoch},
                 {"boot_ns", bootNanoseconds()}});
}

void PlacementLog::ownStop(const core::SliceId &slice,
                           core::Epoch epoch) const {
  Logger->write(Level::Info, "own_stop",
                {{"slice", core::toString(slice)},
                 {"epoch", epoch},
                 {"boot_ns", bootNanoseconds()}});
}

void PlacementLog::leaseLost() const {
  Logger->write(Level::Warning, "lease_lost", {{"boot_ns", bootNanoseconds()}});
}

void PlacementLog::takeover(core::InstanceId retired,
                            ownership::RetireReason reason) const {
  Logger->write(
      Level::Info, "takeover",
      {{"retired", core::toString(retired)}, {"reason", toString(reason)}});
}

void PlacementLog::creditGrant(core::InstanceId to,
                               const accounts::CreditGrant &grant) const {
  Logger->write(Level::Debug, "credit_grant",
                {{"account", grant.Account},
                 {"to", core::toString(to)},
                 {"amount", grant.Amount},
                 {"expires_ns", grant.Lifetime.count()}});
}

void PlacementLog::dataCentreShare(std::string_view name,
                                   std::uint32_t permille) const {
  Logger->write(Level::Info, "data_centre_share",
                {{"data_centre", name}, {"share_permille", permille}});
}

void PlacementLog::keyWithdrawn(std::string_view keyId) const {
  Logger->write(Level::Info, "key_withdrawn", {{"key_id", keyId}});
}

} // namespace acaciaroad::node
