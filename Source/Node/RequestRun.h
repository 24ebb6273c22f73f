/// \file
/// One accepted request on its way to an upstream and back.

#ifndef ACACIAROAD_NODE_REQUESTRUN_H
#define ACACIAROAD_NODE_REQUESTRUN_H

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Node/Caller.h"
#include "Node/EntryService.h"
#include "Requests/AttemptPlan.h"
#include "Wire/ForwardCall.h"

namespace acaciaroad::node {

/// Sends attempts until one is answered or none may follow. Belongs to the
/// traffic thread of its request.
class RequestRun {
public:
  RequestRun(const EntryServiceParts &parts, const Caller &caller,
             AcceptedRequest request, core::TimePoint start);

  /// Serves the request. Returns the status that the caller received, or the
  /// refusal to give. AnswerIncomplete says that the answer had begun and was
  /// cut off.
  core::Result<int> run();

  const wire::ForwardHead &head() const { return Request.Head; }
  std::uint64_t bytesIn() const { return BytesIn; }
  std::uint64_t bytesOut() const { return BytesOut; }

private:
  struct Target {
    core::InstanceId Id;
    std::string Address;
  };
  struct Attempt {
    core::InstanceId To;
    std::shared_ptr<wire::ForwardCall> Call;
    core::TimePoint Start{};
  };

  core::Result<void> readPrefix();
  core::Result<int> runAttempts(requests::AttemptPlan &plan);
  core::Result<Target> choose();
  core::Result<Target> owner();
  core::Result<Target> candidate();
  std::optional<requests::Step> startAttempt(requests::AttemptPlan &plan,
                                             std::string_view reason);
  core::Result<void> sendRest(wire::ForwardCall &call);
  std::optional<std::size_t> awaitAnswer(requests::AttemptPlan &plan);
  bool mayHedge() const;
  requests::Step concludeAttempt(requests::AttemptPlan &plan, std::size_t n);
  requests::Step end(requests::AttemptPlan &plan, std::size_t n,
                     requests::AttemptOutcome outcome, core::ErrorKind reason);
  core::Result<int> relay(const wire::AnswerHead &answer,
                          wire::ForwardCall &call);
  bool awaitOwner(core::ErrorKind reason);
  void abandonRest();

  const EntryServiceParts &Parts;
  const Caller &From;
  AcceptedRequest Request;
  const core::TimePoint Start;
  core::TimePoint Deadline;
  std::shared_ptr<ClassTraffic> Class;
  std::shared_ptr<ServiceTraffic> Service;
  /// Start of the body, kept for further attempts.
  std::vector<std::byte> Prefix;
  bool IsWhole = false;
  /// Part of the body beyond the prefix has been sent; no retry is possible.
  bool IsConsumed = false;
  std::vector<Attempt> Attempts;
  std::vector<core::InstanceId> Tried;
  int AttemptCount = 0;
  core::Result<int> Outcome = 0;
  std::uint64_t BytesIn = 0;
  std::uint64_t BytesOut = 0;
};

} // namespace acaciaroad::node

#endif
