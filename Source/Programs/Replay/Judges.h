/// \file
/// The judges: one for each stated outcome. Each is a pure function of a trace
/// ordered by time.

#ifndef ACACIAROAD_PROGRAMS_REPLAY_JUDGES_H
#define ACACIAROAD_PROGRAMS_REPLAY_JUDGES_H

#include <chrono>
#include <map>
#include <set>
#include <span>
#include <string>

#include "Programs/Replay/TraceEvent.h"
#include "Programs/Replay/Verdict.h"

namespace acaciaroad::replay {

using Events = std::span<const TraceEvent>;

/// A slice has one owner at a time: once an owner has started (`own_start`, or
/// the first `order` of its epoch), no
/// other instance sends an `order` for the slice or ends an earlier ownership
/// (`own_stop`) later than the tolerance.
struct SoleOwnerJudge {
  std::chrono::nanoseconds Tolerance{0};
  Verdict judge(Events events) const;
};

/// An upstream in its cold start has at most as many orders in flight as it can
/// bear (`upstream_order`).
struct ColdStartJudge {
  Verdict judge(Events events) const;
};

/// A data centre that was taken out (`data_centre_share` of 0) receives no
/// `order` after the time given, until its share rises. `node_start` tells the
/// data centre of an instance.
struct DataCentreOutJudge {
  std::chrono::nanoseconds Within{0};
  Verdict judge(Events events) const;
};

/// An order of one of the classes runs at most once for each client account
/// and idempotency key (`upstream_order`). Lines of nodes about the same
/// request tell account and class where the upstream does not.
struct RunsOnceJudge {
  std::set<std::string> Classes;
  Verdict judge(Events events) const;
};

/// Rate in requests a second, burst in requests.
struct AccountLimit {
  double Rate = 0;
  double Burst = 0;
};

/// In no window are more requests of a client account admitted (`admit`) than
/// burst plus rate times its length, plus the tolerance.
struct AccountRateJudge {
  std::map<std::string, AccountLimit> Limits;
  /// Requests.
  double Tolerance = 0;
  Verdict judge(Events events) const;
};

/// No request is admitted with a key later than the time given after its
/// withdrawal (`key_withdrawn`).
struct WithdrawnKeyJudge {
  std::chrono::nanoseconds Within{0};
  Verdict judge(Events events) const;
};

/// Each answer that a caller got (`caller_answer`) is that to its own request.
struct OwnAnswerJudge {
  Verdict judge(Events events) const;
};

/// A request that was refused with `ran` "no" has no `upstream_order`, whatever
/// else an upstream refused of it. Not judged without lines of upstreams.
struct NotRunJudge {
  Verdict judge(Events events) const;
};

} // namespace acaciaroad::replay

#endif
