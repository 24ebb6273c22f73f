#include "Node/TrafficState.h"

#include <random>
#include <utility>
#include <vector>

namespace acaciaroad::node {

namespace {

std::uint64_t randomNumber() {
  thread_local std::mt19937_64 engine(core::randomId());
  return engine();
}

} // namespace

core::Result<std::shared_ptr<ClassTraffic>>
ClassTraffic::create(const configuration::WorkClass &value,
                     core::TimePoint now) {
  const auto policy = requests::RequestPolicy::of(value);
  if (!policy)
    return tl::unexpected(policy.error());
  auto budget = requests::RetryBudget::create(policy->RetryRatio, now);
  if (!budget)
    return tl::unexpected(budget.error());
  return std::shared_ptr<ClassTraffic>(
      new ClassTraffic(value, *policy, *budget));
}

ClassTraffic::ClassTraffic(configuration::WorkClass value,
                           requests::RequestPolicy policy,
                           requests::RetryBudget budget)
    : Class(std::move(value)), Policy(policy), Budget(budget), Hedges(policy) {}

void ClassTraffic::requested(core::TimePoint now) {
  const std::lock_guard lock(Mutex);
  Budget.onRequest(now);
}

requests::Step ClassTraffic::ended(requests::AttemptPlan &plan,
                                   requests::AttemptOutcome outcome,
                                   core::ErrorKind reason,
                                   core::TimePoint now) {
  const std::lock_guard lock(Mutex);
  return plan.ended(outcome, reason, Budget, now);
}

bool ClassTraffic::takeHedge(requests::AttemptPlan &plan, core::TimePoint now) {
  const std::lock_guard lock(Mutex);
  return plan.tryAcquireHedge(Budget, now);
}

std::optional<core::Duration> ClassTraffic::hedgeDelay() const {
  const std::lock_guard lock(Mutex);
  return Hedges.delay();
}

void ClassTraffic::observe(core::Duration latency) {
  const std::lock_guard lock(Mutex);
  Hedges.observe(latency);
}

core::Result<std::shared_ptr<ServiceTraffic>>
ServiceTraffic::create(std::string_view dataCentre) {
  auto choice = requests::LoadBalancer::create(dataCentre, randomNumber);
  if (!choice)
    return tl::unexpected(choice.error());
  return std::shared_ptr<ServiceTraffic>(
      new ServiceTraffic(std::move(*choice)));
}

void ServiceTraffic::follow(const ownership::FleetView &fleet,
                            std::string_view service) {
  const ownership::ServiceView *view = fleet.service(service);
  const auto members = view == nullptr ? nullptr : view->Eligible;
  if (members == Members)
    return;
  Members = members;
  std::vector<requests::Candidate> candidates;
  for (const core::InstanceId it : fleet.eligible(service))
    if (const ownership::InstanceInfoPtr info = fleet.instance(it))
      candidates.push_back({it, info->DataCentre});
  Choice.setCandidates(candidates);
}

std::optional<core::InstanceId> ServiceTraffic::choose(
    const ownership::FleetView &fleet, std::string_view service,
    std::span<const core::InstanceId> tried, core::TimePoint now) {
  const std::lock_guard lock(Mutex);
  follow(fleet, service);
  return Choice.choose(tried, now);
}

void ServiceTraffic::sent(core::InstanceId id) {
  const std::lock_guard lock(Mutex);
  Choice.sent(id);
}

void ServiceTraffic::ended(core::InstanceId id,
                           requests::AttemptOutcome outcome,
                           core::Duration latency, core::TimePoint now) {
  const std::lock_guard lock(Mutex);
  Choice.ended(id, outcome, latency, now);
}

void ServiceTraffic::abandoned(core::InstanceId id) {
  const std::lock_guard lock(Mutex);
  Choice.abandoned(id);
}

void ServiceTraffic::reported(core::InstanceId id,
                              const requests::ReportedLoad &load,
                              core::TimePoint now) {
  const std::lock_guard lock(Mutex);
  Choice.reported(id, load, now);
}

core::Result<std::shared_ptr<ClassTraffic>>
TrafficState::ofClass(const configuration::WorkClass &value,
                      core::TimePoint now) {
  const std::lock_guard lock(Mutex);
  auto &state = Classes[value.Name];
  if (state && state->workClass() == value)
    return state;
  auto created = ClassTraffic::create(value, now);
  if (created)
    state = *created;
  return created;
}

core::Result<std::shared_ptr<ServiceTraffic>>
TrafficState::ofService(std::string_view service) {
  const std::lock_guard lock(Mutex);
  const auto it = Services.find(service);
  if (it != Services.end())
    return it->second;
  auto created = ServiceTraffic::create(DataCentre);
  if (created)
    Services.emplace(std::string(service), *created);
  return created;
}

} // namespace acaciaroad::node
