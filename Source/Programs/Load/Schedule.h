/// \file
/// The requests of an experiment in order of time.

#ifndef ACACIAROAD_LOAD_SCHEDULE_H
#define ACACIAROAD_LOAD_SCHEDULE_H

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <vector>

#include "Core/Clock.h"
#include "Programs/Load/Experiment.h"
#include "Programs/Load/KeySampler.h"

namespace acaciaroad::load {

/// One request that is due.
struct Shot {
  std::uint64_t Number = 0;
  /// Intended time since the start.
  core::Duration Time{};
  std::size_t Flow = 0;
  std::uint32_t Key = 0;
  std::size_t Target = 0;
  /// How many targets took no connection.
  std::uint32_t Failovers = 0;
  /// Whether the account was within its rate and burst with this request.
  bool IsWithinRate = false;
};

/// Poisson arrivals for each flow, by seed alone.
class Schedule {
public:
  /// \p experiment must outlive the schedule.
  explicit Schedule(const Experiment &experiment);

  /// Returns the next request, or nothing at the end.
  std::optional<Shot> next();

private:
  struct Arrival {
    core::Duration Time{};
    std::size_t Flow = 0;
    bool operator>(const Arrival &other) const {
      return Time != other.Time ? Time > other.Time : Flow > other.Flow;
    }
  };

  /// What an account may send, as its rate and burst say.
  struct Bucket {
    double Level = 0;
    core::Duration Time{};
  };

  double factorAt(const Flow &flow, core::Duration time) const;
  double largestFactor(const Flow &flow) const;
  void arrive(std::size_t flow, core::Duration after);
  bool takeCredit(std::size_t account, core::Duration time);

  const Experiment &Plan;
  std::vector<KeySampler> Samplers;
  std::vector<std::mt19937_64> Random;
  std::vector<Bucket> Buckets;
  std::priority_queue<Arrival, std::vector<Arrival>, std::greater<>> Arrivals;
  std::uint64_t Number = 0;
};

} // namespace acaciaroad::load

#endif
