#include "Membership/FailureDetector.h"

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::membership;
using std::chrono::milliseconds;

namespace {

constexpr core::InstanceId Holder{7};
constexpr core::InstanceId OtherWitness{8};
const core::TimePoint Start{std::chrono::hours(1)};

struct DetectorRow {
  const char *Name;
  WitnessRole Role;
  /// Time of the holder's only later sign of life; 0 for none.
  int SignAt;
  /// Time and content of the other witness's report; 0 for none.
  int ReportAt;
  int ReportedSilence;
  /// Pause of the detector itself after its start.
  int PausedUntil;
  /// Times of the first probe and the first proposal; 0 for none in 1.5 s.
  int ProbeAt;
  int ProposedAt;
};

const DetectorRow DetectorRows[] = {
    {"alone", {0, 1}, 0, 0, 0, 0, 450, 550},
    {"second rank waits", {1, 1}, 0, 0, 0, 0, 450, 700},
    {"agreed", {0, 2}, 0, 460, 455, 0, 450, 550},
    {"nobody agrees", {0, 2}, 0, 0, 0, 0, 450, 0},
    {"the other heard it lately", {0, 2}, 0, 460, 100, 0, 450, 0},
    {"a sign of life withdraws", {0, 1}, 500, 0, 0, 0, 450, 1050},
    {"own pause", {0, 1}, 0, 0, 0, 800, 1250, 1350},
};

int sinceStart(core::TimePoint time) {
  return static_cast<int>((time - Start) / milliseconds(1));
}

} // namespace

ACACIA_TABLE_TEST(FailureDetectorTest, proposesInTime, DetectorRows) {
  FailureDetector detector({});
  detector.watch(Holder, row.Role, Start);
  (void)detector.onTick(Start);
  int probeAt = 0;
  int proposedAt = 0;
  const int from = std::max(10, row.PausedUntil);
  for (auto now = Start + milliseconds(from); now < Start + milliseconds(1500);
       now += milliseconds(10)) {
    if (row.SignAt != 0 && sinceStart(now) == row.SignAt)
      detector.markAlive(Holder, now);
    if (row.ReportAt != 0 && sinceStart(now) == row.ReportAt)
      detector.onSilenceReport(Holder, OtherWitness,
                               milliseconds(row.ReportedSilence), now);
    for (const Action &it : detector.onTick(now)) {
      int &at = it.Kind == ActionKind::Probe ? probeAt : proposedAt;
      if (at == 0)
        at = sinceStart(now);
    }
  }
  cr_assert_eq(probeAt, row.ProbeAt, "%s: %d", row.Name, probeAt);
  cr_assert_eq(proposedAt, row.ProposedAt, "%s: %d", row.Name, proposedAt);
}
