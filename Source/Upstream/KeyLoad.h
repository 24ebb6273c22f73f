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
/// average with a time constant of one second.
class KeyLoad {
public:
  static constexpr std::uint32_t KeysPerBucket = 4;

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

  /// Returns the requests per second of each bucket.
  std::span<const double> rates() const { return Rates; }

private:
  std::vector<double> Rates;
  core::TimePoint LastDecay{};
};

} // namespace acaciaroad::upstream

#endif
