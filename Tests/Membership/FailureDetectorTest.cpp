#include "Membership/FailureDetector.h"

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::membership;
using std::chrono::milliseconds;

namespace {

constexpr core::InstanceId Holder{7};
constexpr core::InstanceId OtherWitness{8};
const core::TimePoint Start{std::chrono::hours(1)};

/// Times are milliseconds since the start.
struct DetectorRow {
  const char *Name;
  WitnessRole Role;
  /// Time of a sign of life of the holder; 0 for none.
  int SignAt;
  /// Time of the other witness's report and its silence; 0 for none.
  int ReportAt;
  int ReportedSilence;
  /// End of a pause of the detector from its start; 0 for none.
  int PausedUntil;
  /// Times of the first probe and the first proposal; 0 for none within 1.5 s.
  int ProbeAt;
  int ProposedAt;
};

const DetectorRow DetectorRows[] = {
    {"single witness", {0, 1}, 0, 0, 0, 0, 450, 550},
    {"second rank proposes later", {1, 1}, 0, 0, 0, 0, 450, 700},
    {"other witness agrees", {0, 2}, 0, 460, 455, 0, 450, 550},
    {"no other witness agrees", {0, 2}, 0, 0, 0, 0, 450, 0},
    {"other witness heard it recently", {0, 2}, 0, 460, 100, 0, 450, 0},
    {"sign of life clears the suspicion", {0, 1}, 500, 0, 0, 0, 450, 1050},
    {"pause of the detector", {0, 1}, 0, 0, 0, 800, 1250, 1350},
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
  cr_assert_eq(probeAt, row.ProbeAt, "%s: probed at %d ms", row.Name, probeAt);
  cr_assert_eq(proposedAt, row.ProposedAt, "%s: proposed at %d ms", row.Name,
               proposedAt);
}
