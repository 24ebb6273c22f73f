#include "Accounts/BorrowPlan.h"

#include <algorithm>

namespace acaciaroad::accounts {

namespace {

/// Lenders asked at once by a node that has a share of the account. A node
/// without one asks a single lender: it can't keep credit beyond its need.
constexpr std::size_t LendersPerTry = 2;

/// Bounds the time of a search. At this number, nearly all tokens of an account
/// that is used at its usual rate are found.
constexpr std::size_t MaxLenders = 8;

} // namespace

std::vector<std::size_t> BorrowPlan::next() {
  const std::size_t end = std::min(Lenders, MaxLenders);
  const std::size_t n = std::min(HasShare ? LendersPerTry : 1, end - Asked);
  std::vector<std::size_t> out;
  for (std::size_t it = 0; it < n; ++it)
    out.push_back((First + Asked++) % Lenders);
  return out;
}

} // namespace acaciaroad::accounts
