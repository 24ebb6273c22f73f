/// \file
/// What the entry side of a node observes of classes of work and of peers.

#ifndef ACACIAROAD_NODE_TRAFFICSTATE_H
#define ACACIAROAD_NODE_TRAFFICSTATE_H

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "Configuration/ConfigurationRecord.h"
#include "Core/Clock.h"
#include "Core/Error.h"
#include "Ownership/FleetView.h"
#include "Requests/AttemptPlan.h"
#include "Requests/HedgePolicy.h"
#include "Requests/LoadBalancer.h"
#include "Requests/RetryBudget.h"

namespace acaciaroad::node {

/// Retry budget and hedge delay of one class of work. All members may be called
/// from any thread.
class ClassTraffic {
public:
  /// Errors: those of requests::RequestPolicy::of.
  static core::Result<std::shared_ptr<ClassTraffic>>
  create(const configuration::WorkClass &value, core::TimePoint now);

  const configuration::WorkClass &workClass() const { return Class; }
  const requests::RequestPolicy &policy() const { return Policy; }

  /// A request arrived from a caller.
  void requested(core::TimePoint now);

  /// See requests::AttemptPlan.
  requests::Step ended(requests::AttemptPlan &plan,
                       requests::AttemptOutcome outcome, core::ErrorKind reason,
                       core::TimePoint now);
  bool takeHedge(requests::AttemptPlan &plan, core::TimePoint now);

  std::optional<core::Duration> hedgeDelay() const;
  void observe(core::Duration latency);

private:
  ClassTraffic(configuration::WorkClass value, requests::RequestPolicy policy,
               requests::RetryBudget budget);

  const configuration::WorkClass Class;
  const requests::RequestPolicy Policy;
  mutable std::mutex Mutex;
  requests::RetryBudget Budget;
  requests::HedgePolicy Hedges;
};

/// The choice among the instances of one service. All members may be called
/// from any thread.
class ServiceTraffic {
public:
  /// Errors: those of requests::LoadBalancer::create.
  static core::Result<std::shared_ptr<ServiceTraffic>>
  create(std::string_view dataCentre);

  /// Chooses an instance of \p service that is not in \p tried.
  std::optional<core::InstanceId>
  choose(const ownership::FleetView &fleet, std::string_view service,
         std::span<const core::InstanceId> tried, core::TimePoint now);

  void sent(core::InstanceId id);
  void ended(core::InstanceId id, requests::AttemptOutcome outcome,
             core::Duration latency, core::TimePoint now);
  void abandoned(core::InstanceId id);
  void reported(core::InstanceId id, const requests::ReportedLoad &load,
                core::TimePoint now);

private:
  explicit ServiceTraffic(requests::LoadBalancer choice)
      : Choice(std::move(choice)) {}
  void follow(const ownership::FleetView &fleet, std::string_view service);

  std::mutex Mutex;
  requests::LoadBalancer Choice;
  /// Members that the choice was last given.
  std::shared_ptr<const std::vector<core::InstanceId>> Members;
};

/// Creates the states of classes and services as they are met.
class TrafficState {
public:
  explicit TrafficState(std::string dataCentre)
      : DataCentre(std::move(dataCentre)) {}

  /// Returns the state of a class; a new one if its definition has changed.
  core::Result<std::shared_ptr<ClassTraffic>>
  ofClass(const configuration::WorkClass &value, core::TimePoint now);

  core::Result<std::shared_ptr<ServiceTraffic>>
  ofService(std::string_view service);

private:
  const std::string DataCentre;
  std::mutex Mutex;
  std::map<std::string, std::shared_ptr<ClassTraffic>, std::less<>> Classes;
  std::map<std::string, std::shared_ptr<ServiceTraffic>, std::less<>> Services;
};

} // namespace acaciaroad::node

#endif
