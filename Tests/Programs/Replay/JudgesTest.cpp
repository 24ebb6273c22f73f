#include "Programs/Replay/Judges.h"

#include <functional>

#include <fmt/format.h>

#include "Support/Table.h"

using namespace acaciaroad::replay;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t NanosecondsPerMillisecond = 1'000'000;

struct TraceRow {
  const char *Name;
  std::function<Verdict(Events)> Judge;
  /// Boot time in milliseconds, and the other members of the line.
  std::vector<std::pair<int, const char *>> Lines;
  Outcome Expected;
  std::uint64_t Findings = 0;
};

template <typename T> std::function<Verdict(Events)> by(T judge) {
  return [judge](Events it) { return judge.judge(it); };
}

const auto Sole = by(SoleOwnerJudge{10ms});
const auto Cold = by(ColdStartJudge{});
const auto Out = by(DataCentreOutJudge{3s});
const auto Once = by(RunsOnceJudge{{"book"}});
const auto Rate = by(AccountRateJudge{{{"x", {10, 2}}}, 0});
const auto Key = by(WithdrawnKeyJudge{5s});
const auto Own = by(OwnAnswerJudge{});
const auto NotRun = by(NotRunJudge{});

const char *const StartA =
    R"("event":"own_start","instance":"a","slice":"q/1","epoch":1)";
const char *const StartB =
    R"("event":"own_start","instance":"b","slice":"q/1","epoch":2)";
const char *const StopA =
    R"("event":"own_stop","instance":"a","slice":"q/1","epoch":1)";
const char *const OrderA =
    R"("event":"order","instance":"a","slice":"q/1","epoch":1)";
const char *const OrderB =
    R"("event":"order","instance":"b","slice":"q/1","epoch":2)";
const char *const NodeA =
    R"("event":"node_start","instance":"a","data_centre":"dc1")";
const char *const ShareOut =
    R"("event":"data_centre_share","data_centre":"dc1","share_permille":0)";
const char *const ShareIn =
    R"("event":"data_centre_share","data_centre":"dc1","share_permille":500)";
const char *const Book =
    R"("event":"upstream_order","class":"book","account":"x",)"
    R"("idempotency_key":"k1","request_id":"r1")";
const char *const BookOther =
    R"("event":"upstream_order","class":"book","account":"y",)"
    R"("idempotency_key":"k1","request_id":"r2")";
const char *const BareOrder =
    R"("event":"upstream_order","idempotency_key":"k1","request_id":"r1")";
const char *const Joined =
    R"("event":"order","class":"book","account":"x","request_id":"r1")";
const char *const Admit = R"("event":"admit","account":"x","key_id":"k1")";
const char *const Withdrawn = R"("event":"key_withdrawn","key_id":"k1")";
const char *const RefusedNo =
    R"("event":"refuse","request_id":"r1","ran":"no")";
const char *const RefusedUnknown =
    R"("event":"refuse","request_id":"r1","ran":"unknown")";
const char *const UpstreamRefused =
    R"("event":"upstream_refuse","request_id":"r1")";

const TraceRow TraceRows[] = {
    {"sole owner: planned move",
     Sole,
     {{0, StartA}, {5, OrderA}, {10, StopA}, {11, StartB}},
     Outcome::Held},
    {"sole owner: lost without a stop",
     Sole,
     {{0, StartA}, {5, OrderA}, {900, StartB}},
     Outcome::Held},
    {"sole owner: former owner sends an order",
     Sole,
     {{0, StartA}, {10, StartB}, {30, OrderA}},
     Outcome::Broken,
     1},
    {"sole owner: former owner stops late",
     Sole,
     {{0, StartA}, {10, StartB}, {30, StopA}},
     Outcome::Broken,
     1},
    {"sole owner: within tolerance",
     Sole,
     {{0, StartA}, {10, StartB}, {15, StopA}},
     Outcome::Held},
    {"sole owner: orders alone, in order of epochs",
     Sole,
     {{0, OrderA}, {30, OrderB}},
     Outcome::Held},
    {"sole owner: orders alone, former owner goes on",
     Sole,
     {{0, OrderA}, {10, OrderB}, {30, OrderA}},
     Outcome::Broken,
     1},
    {"sole owner: nothing to judge", Sole, {{0, Admit}}, Outcome::NotJudged},
    {"cold start: bearable",
     Cold,
     {{0,
       R"("event":"upstream_order","cold":true,"in_flight":3,"bearable":3)"}},
     Outcome::Held},
    {"cold start: overload",
     Cold,
     {{0,
       R"("event":"upstream_order","cold":true,"in_flight":4,"bearable":3)"}},
     Outcome::Broken,
     1},
    {"cold start: warm upstreams are not meant",
     Cold,
     {{0, R"("event":"upstream_order","cold":false,"in_flight":9)"}},
     Outcome::NotJudged},
    {"data centre out: in time",
     Out,
     {{0, NodeA}, {1000, ShareOut}, {3999, OrderA}},
     Outcome::Held},
    {"data centre out: late work, also after a second report",
     Out,
     {{0, NodeA}, {1000, ShareOut}, {3000, ShareOut}, {4001, OrderA}},
     Outcome::Broken,
     1},
    {"data centre out: back in",
     Out,
     {{0, NodeA},
      {1000, ShareOut},
      {2000, OrderA},
      {3000, ShareIn},
      {9000, OrderA}},
     Outcome::Held},
    {"runs once: two accounts",
     Once,
     {{0, Book}, {1, BookOther}},
     Outcome::Held},
    {"runs once: class and account are those of the node's line",
     Once,
     {{0, Joined}, {1, BareOrder}, {2, BareOrder}},
     Outcome::Broken,
     1},
    {"runs once: no line tells the class",
     Once,
     {{0, BareOrder}, {1, BareOrder}},
     Outcome::NotJudged},
    {"runs once: repeated", Once, {{0, Book}, {1, Book}}, Outcome::Broken, 1},
    {"account rate: burst and refill",
     Rate,
     {{0, Admit}, {0, Admit}, {100, Admit}, {200, Admit}},
     Outcome::Held},
    {"account rate: over the burst",
     Rate,
     {{0, Admit}, {0, Admit}, {50, Admit}},
     Outcome::Broken,
     1},
    {"account rate: over the rate in a later window",
     Rate,
     {{0, Admit}, {1000, Admit}, {1000, Admit}, {1050, Admit}, {1100, Admit}},
     Outcome::Broken,
     2},
    {"withdrawn key: in time",
     Key,
     {{0, Admit}, {1000, Withdrawn}, {5999, Admit}},
     Outcome::Held},
    {"withdrawn key: late work",
     Key,
     {{0, Admit}, {1000, Withdrawn}, {6001, Admit}},
     Outcome::Broken,
     1},
    {"withdrawn key: no withdrawal", Key, {{0, Admit}}, Outcome::NotJudged},
    {"own answer",
     Own,
     {{0, R"("event":"caller_answer","sent_path":"/r1","echoed_path":"/r1")"}},
     Outcome::Held},
    {"own answer: crossed",
     Own,
     {{0, R"("event":"caller_answer","sent_path":"/r1","echoed_path":"/r2")"}},
     Outcome::Broken,
     1},
    {"not run: true", NotRun, {{0, BookOther}, {1, RefusedNo}}, Outcome::Held},
    {"not run: no evidence of upstreams",
     NotRun,
     {{0, RefusedNo}},
     Outcome::NotJudged},
    {"not run: ran before",
     NotRun,
     {{0, Book}, {1, RefusedNo}},
     Outcome::Broken,
     1},
    {"not run: ran later",
     NotRun,
     {{0, RefusedNo}, {1, Book}},
     Outcome::Broken,
     1},
    {"not run: refused by the upstream",
     NotRun,
     {{1, UpstreamRefused}, {2, RefusedNo}},
     Outcome::Held},
    {"not run: ran, and a second attempt was refused",
     NotRun,
     {{0, Book}, {1, UpstreamRefused}, {2, RefusedNo}},
     Outcome::Broken,
     1},
    {"not run: unknown is not claimed",
     NotRun,
     {{0, Book}, {1, RefusedUnknown}},
     Outcome::NotJudged},
};

} // namespace

ACACIA_TABLE_TEST(JudgesTest, judges, TraceRows) {
  std::vector<std::string> texts;
  for (const auto &[ms, line] : row.Lines)
    texts.push_back(fmt::format("{{\"boot_ns\":{},{}}}\n",
                                ms * NanosecondsPerMillisecond, line));
  const Trace trace = readTrace(texts, TraceClock::Boot);
  cr_assert_eq(trace.SkippedLines, 0U);
  const Verdict verdict = row.Judge(trace.Events);
  cr_assert(verdict.outcome() == row.Expected, "%s", row.Name);
  cr_assert_eq(verdict.broken(), row.Findings, "%s", row.Name);
}
