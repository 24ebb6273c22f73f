/// \file
/// What the samples of an experiment say.

#ifndef ACACIAROAD_LOAD_REPORT_H
#define ACACIAROAD_LOAD_REPORT_H

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "Programs/Load/Experiment.h"
#include "Programs/Load/Sample.h"

namespace acaciaroad::load {

/// Latencies of served requests from their intended start.
struct LatencySummary {
  core::Duration P50{};
  core::Duration P90{};
  core::Duration P99{};
  core::Duration P999{};
  core::Duration Max{};
};

/// Counts over a group of samples.
struct GroupReport {
  std::string Name;
  std::uint64_t Offered = 0;
  std::array<std::uint64_t, OutcomeCount> Outcomes{};
  /// Refusals and unknown outcomes by kind.
  std::map<core::ErrorKind, std::uint64_t> Kinds;
  /// Refused although the account was within its rate and burst.
  std::uint64_t WrongfullyRefused = 0;
  LatencySummary Latency;
  /// From the first to the last request that was not served although the
  /// account was within its rate.
  core::Duration Disturbance{};
  /// Mean over the divisions of the keys: time from the first request that the
  /// system did not serve, without a fault of the account, to the next one
  /// served. No finer than the time between two requests of a division.
  core::Duration Unavailable{};
  /// Longest such time of one division.
  core::Duration LongestOutage{};

  std::uint64_t count(Outcome outcome) const {
    return Outcomes[static_cast<std::size_t>(outcome)];
  }
  /// Share of offered requests served, 0 to 1; 1 without any.
  double servedShare() const;
};

/// One second of the experiment, or all of it.
struct Interval {
  core::Duration Start{};
  GroupReport Group;
};

/// Results of one run.
struct Report {
  GroupReport All;
  std::vector<GroupReport> Accounts;
  std::vector<GroupReport> Classes;
  std::vector<Interval> Seconds;
  /// Account with the lowest share of its requests within its rate served,
  /// and among equals with the highest 99th percentile; an index of Accounts.
  std::optional<std::size_t> WorstAccount;
  /// Numbers of the requests with an Idempotency-Key that were answered "not
  /// run"; none of them may have run.
  std::vector<std::uint64_t> RefusedOnce;
  /// 99th percentile of how late requests were sent; the tool's own delay.
  core::Duration SendDelayP99{};
};

/// Pure: the same samples give the same report.
Report analyse(const Experiment &experiment, std::span<const Sample> samples);

} // namespace acaciaroad::load

#endif
