/// \file
/// Parameterised tables for Criterion: each row of a constant table is run as
/// a test case of its own. Rows stay in static storage and the case receives
/// its index, because Criterion copies parameters into another process.

#ifndef ACACIAROAD_TESTS_SUPPORT_TABLE_H
#define ACACIAROAD_TESTS_SUPPORT_TABLE_H

#include <array>
#include <cstddef>
#include <utility>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

namespace acaciaroad::tests {

/// Returns the indices of \p table as Criterion parameters.
template <typename Row, std::size_t N>
criterion_test_params indicesOf(const Row (&/*table*/)[N]) {
  static std::array<std::size_t, N> indices = [] {
    std::array<std::size_t, N> out{};
    for (std::size_t n = 0; n < N; ++n)
      out[n] = n;
    return out;
  }();
  return criterion_test_params(sizeof(std::size_t), indices.data(), N, nullptr);
}

} // namespace acaciaroad::tests

/// Declares a case that runs once for each row of \p Table, named `row`.
#define ACACIA_TABLE_TEST(Suite, Name, Table)                                  \
  static void Suite##Name##Row(                                                \
      const std::remove_cvref_t<decltype((Table)[0])> &row);                   \
  ParameterizedTestParameters(Suite, Name) {                                   \
    return acaciaroad::tests::indicesOf(Table);                                \
  }                                                                            \
  ParameterizedTest(std::size_t *index, Suite, Name) {                         \
    Suite##Name##Row((Table)[*index]);                                         \
  }                                                                            \
  static void Suite##Name##Row(                                                \
      const std::remove_cvref_t<decltype((Table)[0])> &row)

#endif
