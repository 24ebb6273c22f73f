#include "Programs/Load/Schedule.h"

#include <cmath>
#include <map>

#include "Programs/LoadPlan.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::load;
using namespace std::chrono_literals;
using acaciaroad::tests::twoAccounts;

namespace {

std::vector<Shot> allShots(const Experiment &experiment) {
  std::vector<Shot> out;
  Schedule schedule(experiment);
  while (const auto shot = schedule.next())
    out.push_back(*shot);
  return out;
}

/// Whether \p count is within five standard deviations of a Poisson mean.
bool isNear(std::size_t count, double mean) {
  return std::abs(static_cast<double>(count) - mean) < 5 * std::sqrt(mean);
}

struct PhaseRow {
  double Factor;
  /// Of account 0 within the phase of 4 s.
  double Expected;
};

const PhaseRow PhaseRows[] = {{0.1, 40}, {1, 400}, {5, 2000}};

struct CreditRow {
  double Rate;
  double Burst;
  /// Requests of about 1,000 that are within the rate.
  double Expected;
};

const CreditRow CreditRows[] = {
    {1000, 1000, 1000}, {20, 100, 300}, {0, 100, 100}};

} // namespace

ACACIA_TABLE_TEST(ScheduleTest, phaseScalesItsFlowsAlone, PhaseRows) {
  Experiment experiment = twoAccounts();
  experiment.Phases.push_back({"p", 3s, 4s, row.Factor, 0, std::nullopt});
  std::map<std::size_t, std::size_t> within;
  for (const Shot &it : allShots(experiment))
    if (it.Time >= 3s && it.Time < 7s)
      ++within[it.Flow];
  cr_assert(isNear(within[0], row.Expected));
  cr_assert(isNear(within[1], 400));
}

ACACIA_TABLE_TEST(ScheduleTest, creditFollowsRateAndBurst, CreditRows) {
  Experiment experiment = twoAccounts();
  experiment.Accounts[0].Rate = row.Rate;
  experiment.Accounts[0].Burst = row.Burst;
  std::size_t within = 0;
  for (const Shot &it : allShots(experiment))
    if (it.Flow == 0 && it.IsWithinRate)
      ++within;
  cr_assert(isNear(within, row.Expected));
}

Test(ScheduleTest, sameSeedSendsTheSame) {
  Experiment experiment = twoAccounts();
  const auto first = allShots(experiment);
  const auto second = allShots(experiment);
  experiment.Seed = 2;
  const auto other = allShots(experiment);
  cr_assert_eq(first.size(), second.size());
  bool differs = first.size() != other.size();
  for (std::size_t n = 0; n < first.size(); ++n) {
    cr_assert(first[n].Time == second[n].Time);
    cr_assert_eq(first[n].Key, second[n].Key);
    cr_assert_eq(first[n].Target, second[n].Target);
    differs = differs || first[n].Time != other[n].Time;
  }
  cr_assert(differs);
}

Test(ScheduleTest, hotSetTakesItsShareAndMoves) {
  Experiment experiment = twoAccounts();
  experiment.Classes[0].Keys = 1'000'000;
  experiment.Classes[0].HotKeys = 1;
  experiment.Classes[0].HotShare = 0.5;
  experiment.Classes[0].HotInterval = 5s;
  std::map<std::uint32_t, std::size_t> counts[2];
  for (const Shot &it : allShots(experiment))
    ++counts[it.Time < 5s ? 0 : 1][it.Key];
  std::uint32_t hottest[2] = {};
  for (std::size_t half = 0; half < 2; ++half)
    for (const auto &[key, count] : counts[half])
      if (isNear(count, 500))
        hottest[half] = key;
  cr_assert_neq(hottest[0], 0U);
  cr_assert_neq(hottest[1], 0U);
  cr_assert_neq(hottest[0], hottest[1]);
}
