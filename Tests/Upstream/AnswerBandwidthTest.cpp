#include "Upstream/AnswerBandwidth.h"

#include "Support/Table.h"

using namespace acaciaroad;
using namespace acaciaroad::upstream;
using core::TimePoint;
using std::chrono::milliseconds;

namespace {

/// 10 Mbit/s.
constexpr double NarrowRate = 1'250'000;

struct LoadRow {
  const char *Name;
  double BytesPerSecond;
  std::uint64_t AnswerBytes;
  /// Orders a second, for three seconds; each takes 130 ms at the upstream.
  int PerSecond;
  /// Milliseconds within which callers want the whole answer.
  int Wanted;
  /// Orders that are accepted, at least and at most.
  int AcceptedFrom;
  int AcceptedTo;
};

// Exports of 90 KB at instances with 10 Mbit/s: 11 answers a second fill four
// fifths of the network.
const LoadRow LoadRows[] = {
    {"within the network", NarrowRate, 90'000, 8, 1500, 24, 24},
    {"twice the network", NarrowRate, 90'000, 22, 1500, 30, 50},
    {"five times the network", NarrowRate, 90'000, 55, 1500, 30, 50},
    {"small answers", NarrowRate, 1500, 200, 1500, 600, 600},
    {"a wide network", 25'000'000, 90'000, 55, 1500, 165, 165},
    {"no limit", 0, 90'000, 200, 1500, 600, 600},
};

} // namespace

// Whatever the load, what is accepted is sent in time, and the network is used.
ACACIA_TABLE_TEST(AnswerBandwidth, AcceptsWhatTheNetworkCarries, LoadRows) {
  AnswerBandwidth bandwidth;
  bandwidth.setRate(row.BytesPerSecond);
  const auto work = milliseconds(130);
  const auto interval = core::Duration(std::chrono::seconds(1)) / row.PerSecond;
  TimePoint now{};
  bandwidth.started("export");
  bandwidth.ended("export", row.AnswerBytes, now);
  std::vector<TimePoint> running;
  TimePoint sent = now;
  int accepted = 0;
  for (int n = 0; n < 3 * row.PerSecond; ++n) {
    now += interval;
    for (auto it = running.begin(); it != running.end();) {
      if (*it > now) {
        ++it;
        continue;
      }
      bandwidth.ended("export", row.AnswerBytes, *it);
      if (row.BytesPerSecond > 0)
        sent =
            std::max(sent, *it) +
            std::chrono::duration_cast<core::Duration>(
                std::chrono::duration<double>(
                    static_cast<double>(row.AnswerBytes) / row.BytesPerSecond));
      cr_assert_leq((sent - *it + work).count(),
                    core::Duration(milliseconds(row.Wanted)).count(), "%s",
                    row.Name);
      it = running.erase(it);
    }
    if (!bandwidth.admits("export", now + work, now + milliseconds(row.Wanted),
                          now))
      continue;
    ++accepted;
    bandwidth.started("export");
    running.push_back(now + work);
  }
  cr_assert(row.AcceptedFrom <= accepted && accepted <= row.AcceptedTo,
            "%s: %d accepted", row.Name, accepted);
}

namespace {

struct SlowRow {
  const char *Name;
  std::uint64_t AnswerBytes;
  /// Milliseconds until the upstream's answer and until it is wanted.
  int Answered;
  int Wanted;
  bool IsAdmitted;
};

const SlowRow SlowRows[] = {
    {"small, in time", 1500, 100, 200, true},
    {"small, the mean of the upstream is long", 1500, 300, 200, true},
    {"large, in time", 90'000, 100, 200, true},
    {"large, the upstream is slow", 90'000, 300, 200, false},
};

} // namespace

// Short calls share an upstream with long work, whose mean service time says
// nothing about them.
ACACIA_TABLE_TEST(AnswerBandwidth, LeavesSmallAnswersAlone, SlowRows) {
  AnswerBandwidth bandwidth;
  bandwidth.setRate(NarrowRate);
  const TimePoint now{};
  bandwidth.started("call");
  bandwidth.ended("call", row.AnswerBytes, now - std::chrono::seconds(1));
  cr_assert_eq(bandwidth.admits("call", now + milliseconds(row.Answered),
                                now + milliseconds(row.Wanted), now),
               row.IsAdmitted, "%s", row.Name);
}

Test(AnswerBandwidth, TellsWhenToReturn) {
  AnswerBandwidth bandwidth;
  bandwidth.setRate(NarrowRate);
  const TimePoint now{};
  for (int n = 0; n < 11; ++n) {
    bandwidth.started("export");
    bandwidth.ended("export", 90'000, now);
  }
  cr_assert_geq(bandwidth.backlog("export", now).count(),
                core::Duration(milliseconds(950)).count());
  cr_assert_eq(bandwidth.backlog("other", now).count(), 0);
}
