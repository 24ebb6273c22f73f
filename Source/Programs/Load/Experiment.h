/// \file
/// What a load experiment sends, and when.

#ifndef ACACIAROAD_LOAD_EXPERIMENT_H
#define ACACIAROAD_LOAD_EXPERIMENT_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Core/Clock.h"
#include "Core/Endpoint.h"

namespace acaciaroad::load {

/// A client account and what it was promised.
struct Account {
  std::string Name;
  /// Presented as a bearer token.
  std::string Key;
  /// Requests a second over the whole fleet.
  double Rate = 0;
  /// Requests.
  double Burst = 0;
};

/// A class of work as callers use it.
struct WorkClass {
  std::string Name;
  std::string Method;
  /// "{key}" becomes a key and "{n}" the number of the request.
  std::string Path;
  std::size_t BodyBytes = 0;
  /// Bytes that the answer is asked to have; 0 takes the default answer.
  std::size_t AnswerBytes = 0;
  /// Send an Idempotency-Key.
  bool IsAtMostOnce = false;
  /// Keys in use, drawn by Zipf's law with this exponent.
  std::uint32_t Keys = 1;
  double ZipfExponent = 0;
  /// A set of keys that takes a share of the requests and moves to other keys.
  std::uint32_t HotKeys = 0;
  double HotShare = 0;
  core::Duration HotInterval{};
};

/// Requests of one account for one class.
struct Flow {
  std::size_t Account = 0;
  std::size_t Class = 0;
  /// Requests a second.
  double Rate = 0;
};

/// A time in which flows send at another rate.
struct Phase {
  std::string Name;
  core::Duration Start{};
  core::Duration Length{};
  /// Multiplies the rate.
  double Factor = 1;
  /// Which flows; all if absent.
  std::optional<std::size_t> Account;
  std::optional<std::size_t> Class;
};

/// A POST at a stated time, usually one that switches a fault.
struct Action {
  std::string Label;
  core::Duration Start{};
  core::Endpoint Target;
  std::string Path;
  std::string Body;
  /// Bearer token; empty sends none.
  std::string Token;
};

/// One experiment.
struct Experiment {
  std::string Name;
  std::uint64_t Seed = 1;
  core::Duration Length{};
  core::Duration Timeout{};
  /// Entry nodes.
  std::vector<core::Endpoint> Targets;
  /// Connections to each, with a thread each.
  std::uint32_t ConnectionsPerTarget = 1;
  std::vector<Account> Accounts;
  std::vector<WorkClass> Classes;
  std::vector<Flow> Flows;
  std::vector<Phase> Phases;
  std::vector<Action> Actions;
};

} // namespace acaciaroad::load

#endif
