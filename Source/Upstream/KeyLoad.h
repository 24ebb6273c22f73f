/// \file
/// Request rates by key range, for upstreams that own keys.

#ifndef ACACIAROAD_UPSTREAM_KEYLOAD_H
#define ACACIAROAD_UPSTREAM_KEYLOAD_H

#include <cstdint>
#include <span>
#include <vector>

#include "Core/Clock.h"

namespace acaciaroad::upstream {

/// Request rate of each bucket of adjacent keys, as an exponential moving
/// average with a time constant of one second. For keys that have become hot
/// within the last interval, the averages show only a part of the load; growth
/// tells how much more there is.
class KeyLoad {
public:
  /// One hot key may need a third of an upstream, so buckets are not larger.
  static constexpr std::uint32_t KeysPerBucket = 1;

  /// \p keys is the size of the key space.
  explicit KeyLoad(std::uint32_t keys);

  /// Counts a request for \p key, whether or not it is served.
  void recordRequest(std::uint32_t key);

  /// Applies the decay since the previous call. Must be called several times a
  /// second.
  void decay(core::TimePoint now);

  /// Returns the requests per second for the keys \p from to \p to (inclusive),
  /// rounded out to whole buckets.
  double rateOfRange(std::uint32_t from, std::uint32_t to) const;

  /// Returns the ratio of the requests since the previous decay to those that
  /// the averages predict; 1 unless there were significantly more.
  double growth() const { return Growth; }

  /// Returns the requests per second of each bucket.
  std::span<const double> rates() const { return Rates; }

private:
  std::vector<double> Rates;
  core::TimePoint LastDecay{};
  /// Requests since LastDecay.
  std::uint32_t Arrivals = 0;
  double Growth = 1;
};

} // namespace acaciaroad::upstream

#endif
