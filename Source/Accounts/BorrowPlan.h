/// \file
/// Order in which lenders are asked for credit.

#ifndef ACACIAROAD_ACCOUNTS_BORROWPLAN_H
#define ACACIAROAD_ACCOUNTS_BORROWPLAN_H

#include <cstddef>
#include <vector>

namespace acaciaroad::accounts {

/// Plans the search of one node for credit of one account, for a fleet with
/// many more nodes than the account has requests a second. Most nodes have no
/// share of it then, and the shares hold a few tokens each. So each lender is
/// asked at most once, until many of them had nothing: the account is then over
/// its rate.
class BorrowPlan {
public:
  /// A plan without lenders.
  BorrowPlan() = default;

  /// \p first selects the lender that is asked first; it should be random, so
  /// that all lenders are asked equally often.
  BorrowPlan(std::size_t lenders, std::size_t first, bool hasShare)
      : Lenders(lenders), First(first), HasShare(hasShare) {}

  /// Returns the positions of the lenders to ask next, at the same time; none
  /// if the search has ended.
  std::vector<std::size_t> next();

private:
  std::size_t Lenders = 0;
  std::size_t First = 0;
  bool HasShare = false;
  std::size_t Asked = 0;
};

} // namespace acaciaroad::accounts

#endif
