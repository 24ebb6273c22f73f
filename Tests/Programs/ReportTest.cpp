#include "Programs/Load/Report.h"

#include <nlohmann/json.hpp>

#include "Programs/Load/LatencyRecorder.h"
#include "Programs/Load/ReportJson.h"
#include "Programs/LoadPlan.h"
#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::load;
using namespace std::chrono_literals;
using acaciaroad::tests::twoAccounts;
using core::ErrorKind;

namespace {

/// A request of one account, with its end.
Sample sampleAt(core::Duration time, std::size_t account, Ending ending,
                bool isWithinRate = true) {
  Sample out;
  out.Request.Time = time;
  out.Request.Flow = account;
  out.Request.IsWithinRate = isWithinRate;
  out.End = ending;
  out.Latency = 5ms;
  return out;
}

constexpr Ending Served{Outcome::Served};

struct EndingRow {
  Ending End;
  bool IsWithinRate;
  std::uint64_t Wrongful;
  std::chrono::milliseconds Unavailable;
};

/// Ends of a request at 2 s, between ones served at 1 s and at 5 s.
const EndingRow EndingRows[] = {
    {Served, true, 0, 0ms},
    {{Outcome::Refused, ErrorKind::RateExceeded}, true, 1, 0ms},
    {{Outcome::Refused, ErrorKind::RateExceeded}, false, 0, 0ms},
    {{Outcome::Refused, ErrorKind::NoOwner}, true, 1, 3000ms},
    {{Outcome::Unknown, ErrorKind::OutcomeUnknown}, true, 0, 3000ms},
    {{Outcome::Timeout}, true, 0, 3000ms},
};

struct QuantileRow {
  double Quantile;
  double Milliseconds;
};

/// Of 1 ms to 1000 ms.
const QuantileRow QuantileRows[] = {
    {0.001, 1}, {0.5, 500}, {0.9, 900}, {0.99, 990}, {1, 1000}};

} // namespace

ACACIA_TABLE_TEST(ReportTest, endingIsCounted, EndingRows) {
  const Experiment experiment = twoAccounts();
  const Sample samples[] = {sampleAt(1s, 0, Served),
                            sampleAt(2s, 0, row.End, row.IsWithinRate),
                            sampleAt(5s, 0, Served)};
  const Report report = analyse(experiment, samples);
  cr_assert_eq(report.All.Offered, 3U);
  cr_assert_eq(report.All.WrongfullyRefused, row.Wrongful);
  cr_assert(report.All.Unavailable == row.Unavailable);
  cr_assert(report.All.LongestOutage == row.Unavailable);
  cr_assert_eq(report.Accounts[1].Offered, 0U);
}

ACACIA_TABLE_TEST(ReportTest, quantileIsWithinOnePercent, QuantileRows) {
  LatencyRecorder recorder;
  for (int n = 1; n <= 1000; ++n)
    recorder.add(std::chrono::milliseconds(n));
  const double ms =
      std::chrono::duration<double, std::milli>(recorder.quantile(row.Quantile))
          .count();
  cr_assert(ms >= row.Milliseconds * 0.999 && ms <= row.Milliseconds * 1.01);
}

Test(ReportTest, disturbanceSpansRequestsWithinTheRate) {
  const Sample samples[] = {
      sampleAt(1s, 0, {Outcome::Refused, ErrorKind::RateExceeded}, false),
      sampleAt(2s, 0, {Outcome::Refused, ErrorKind::RateExceeded}),
      sampleAt(3s, 0, Served), sampleAt(4s, 0, {Outcome::Timeout}),
      sampleAt(9s, 0, Served)};
  cr_assert(analyse(twoAccounts(), samples).All.Disturbance == 2s);
}

Test(ReportTest, outageWithoutEndLastsToTheEnd) {
  const Sample samples[] = {sampleAt(4s, 0, {Outcome::Broken})};
  const Report report = analyse(twoAccounts(), samples);
  cr_assert(report.All.LongestOutage == 6s);
}

Test(ReportTest, worstAccountIsTheOneWronglyRefused) {
  const Sample samples[] = {
      sampleAt(1s, 0, {Outcome::Refused, ErrorKind::RateExceeded}, false),
      sampleAt(1s, 1, {Outcome::Refused, ErrorKind::QueueFull}, true),
      sampleAt(2s, 0, Served), sampleAt(2s, 1, Served)};
  const Experiment experiment = twoAccounts();
  const Report report = analyse(experiment, samples);
  cr_assert(report.WorstAccount == std::optional<std::size_t>(1));
  const auto json = nlohmann::json::parse(renderJson(experiment, report, {}));
  cr_assert(json["worst_account"] == "rui");
  cr_assert(json["all"]["refused_by_kind"]["queue_full"] == 1);
}
