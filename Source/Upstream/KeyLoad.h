/// \file
/// How the requests of a keyed upstream spread over its keys.

#ifndef ACACIAROAD_UPSTREAM_KEYLOAD_H
#define ACACIAROAD_UPSTREAM_KEYLOAD_H

#include <cstdint>
#include <span>
#include <vector>

#include "Core/Clock.h"

namespace acaciaroad::upstream {

/// Rates of requests by bucket of neighbouring keys, averaged over about a
/// second.
class KeyLoad {
public:
  static constexpr std::uint32_t KeysPerBucket = 4;

  /// \p keys is the number of keys.
  explicit KeyLoad(std::uint32_t keys);

  /// A request for \p key came, served or not.
  void recordRequest(std::uint32_t key);

  /// Lets what is old fade; to be called several times a second.
  void decay(core::TimePoint now);

  /// Requests a second of the keys from \p from to \p to, both included, to
  /// whole buckets.
  double rateOfRange(std::uint32_t from, std::uint32_t to) const;

  /// Requests a second of each bucket.
  std::span<const double> rates() const { return Rates; }

private:
  std::vector<double> Rates;
  core::TimePoint LastDecay{};
};

} // namespace acaciaroad::upstream

#endif
