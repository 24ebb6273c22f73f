/// \file
/// Recognises records that were counted before.

#ifndef ACACIAROAD_ADMINISTRATION_TOTALSWINDOW_H
#define ACACIAROAD_ADMINISTRATION_TOTALSWINDOW_H

#include <cstdint>

namespace acaciaroad::administration {

/// The sequence numbers seen from one incarnation, in constant memory: exact
/// for the last 64 numbers, older ones count as seen.
class TotalsWindow {
public:
  /// Returns whether \p sequence is new, and notes it.
  bool admit(std::uint64_t sequence) {
    if (sequence == 0)
      return false;
    if (sequence > Highest) {
      const std::uint64_t step = sequence - Highest;
      Seen = step < Bits ? (Seen << step) | 1U : 1U;
      Highest = sequence;
      return true;
    }
    const std::uint64_t age = Highest - sequence;
    if (age >= Bits)
      return false;
    const std::uint64_t bit = 1ULL << age;
    const bool isNew = (Seen & bit) == 0;
    Seen |= bit;
    return isNew;
  }

private:
  static constexpr std::uint64_t Bits = 64;
  std::uint64_t Highest = 0;
  std::uint64_t Seen = 0;
};

} // namespace acaciaroad::administration

#endif
