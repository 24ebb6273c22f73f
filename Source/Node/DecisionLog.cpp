#include "Node/DecisionLog.h"

#include <chrono>

namespace acaciaroad::node {

using logging::Level;

void DecisionLog::route(const wire::ForwardHead &head, core::InstanceId to,
                        std::string_view reason, int attempt) const {
  if (!Logger->isEnabled(Level::Info))
    return;
  const std::string target = core::toString(to);
  Logger->write(Level::Info, "route",
                {{"request_id", head.RequestId},
                 {"account", head.Account},
                 {"class", head.WorkClass},
                 {"to", target},
                 {"reason", reason},
                 {"attempt", attempt}});
}

void DecisionLog::order(const wire::ForwardHead &head,
                        const std::optional<ownership::Grant> &grant) const {
  if (!Logger->isEnabled(Level::Info))
    return;
  const std::string slice = grant ? core::toString(grant->Slice) : "";
  Logger->write(Level::Info, "order",
                {{"request_id", head.RequestId},
                 {"account", head.Account},
                 {"class", head.WorkClass},
                 {"idempotency_key", head.IdempotencyKey},
                 {"slice", slice},
                 {"epoch", grant ? grant->Epoch : 0},
                 {"boot_ns", core::toNanoseconds(core::BootClock::now())}});
}

void DecisionLog::orderEnd(const wire::ForwardHead &head,
                           std::string_view outcome) const {
  Logger->write(Level::Info, "order_end",
                {{"request_id", head.RequestId},
                 {"outcome", outcome},
                 {"boot_ns", core::toNanoseconds(core::BootClock::now())}});
}

void DecisionLog::answer(const wire::ForwardHead &head, int status,
                         core::Duration latency) const {
  using std::chrono::duration_cast;
  Logger->write(Level::Info, "answer",
                {{"request_id", head.RequestId},
                 {"account", head.Account},
                 {"class", head.WorkClass},
                 {"status", status},
                 {"latency_us",
                  duration_cast<std::chrono::microseconds>(latency).count()}});
}

void DecisionLog::refuse(std::string_view requestId, std::string_view account,
                         std::string_view workClass,
                         const core::Error &error) const {
  const core::Answer &answer = core::answerFor(error.Kind);
  Logger->write(Level::Info, "refuse",
                {{"request_id", requestId},
                 {"account", account},
                 {"class", workClass},
                 {"kind", answer.Name},
                 {"ran", core::toString(answer.HasRan)},
                 {"detail", error.Detail}});
}

void DecisionLog::admit(std::string_view requestId, std::string_view account,
                        std::string_view keyId) const {
  Logger->write(Level::Info, "admit",
                {{"request_id", requestId},
                 {"account", account},
                 {"key_id", keyId},
                 {"boot_ns", core::toNanoseconds(core::BootClock::now())}});
}

} // namespace acaciaroad::node
