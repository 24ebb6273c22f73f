#include "Programs/StandinUpstream/OrderLog.h"

#include <string>

namespace acaciaroad::standinupstream {

using logging::Level;

namespace {

std::int64_t bootNanoseconds() {
  return core::toNanoseconds(core::BootClock::now());
}

} // namespace

void OrderLog::order(const OrderHeaders &headers, const OrderLoad &load) const {
  const std::string slice = headers.Slice ? headers.Slice->Slice : "";
  Logger->write(Level::Info, "upstream_order",
                {{"request_id", headers.RequestId},
                 {"idempotency_key", headers.IdempotencyKey},
                 {"slice", slice},
                 {"epoch", headers.Slice ? headers.Slice->Epoch : 0},
                 {"cold", load.IsCold},
                 {"in_flight", load.InFlight},
                 {"bearable", load.Bearable},
                 {"boot_ns", bootNanoseconds()}});
}

void OrderLog::refuse(const OrderHeaders &headers, Refusal refusal) const {
  Logger->write(Level::Info, "upstream_refuse",
                {{"request_id", headers.RequestId},
                 {"reason", toString(refusal)},
                 {"boot_ns", bootNanoseconds()}});
}

void OrderLog::end(const OrderHeaders &headers, int status) const {
  Logger->write(Level::Info, "upstream_end",
                {{"request_id", headers.RequestId},
                 {"status", status},
                 {"boot_ns", bootNanoseconds()}});
}

} // namespace acaciaroad::standinupstream
