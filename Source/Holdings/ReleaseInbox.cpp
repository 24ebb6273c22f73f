#include "Holdings/ReleaseInbox.h"

#include <chrono>
#include <utility>

namespace acaciaroad::holdings {

namespace {

/// Notices expire after this time, in which nodes repeat them several times.
constexpr core::Duration NoticeLifetime = std::chrono::seconds(1);

bool hasSameHolder(const Holding &row, const Holding &released) {
  return row.Node == released.Node && row.Process == released.Process &&
         row.Token == released.Token && row.Keys.intersects(released.Keys);
}

} // namespace

void ReleaseInbox::add(ReleaseNotice notice, core::TimePoint now) {
  std::erase_if(Notices, [&](const auto &it) {
    return now - it.second.At > NoticeLifetime;
  });
  if (notice.Keys.empty())
    return;
  std::pair key(notice.Node, notice.Keys.front().Row.Keys.From);
  Notices.insert_or_assign(std::move(key), Entry{std::move(notice), now});
}

std::vector<ReleasedKeys> ReleaseInbox::valid(const FleetLedger &ledger,
                                              std::string_view service,
                                              core::TimePoint now) const {
  std::vector<ReleasedKeys> out;
  for (const auto &[key, it] : Notices) {
    const std::string &node = key.first;
    const Member *sender = ledger.findMember(node);
    if (now - it.At > NoticeLifetime || sender == nullptr ||
        sender->Record.Incarnation != it.Notice.Incarnation)
      continue;
    for (const ReleasedKeys &released : it.Notice.Keys)
      for (const Holding &row : ledger.holdingsOf(service)) {
        if (row.Node != node || !hasSameHolder(row, released.Row))
          continue;
        out.push_back(released);
        out.back().Row.Keys = row.Keys.intersection(released.Row.Keys);
        out.back().Cause = FreeCause::Notice;
      }
  }
  return out;
}

} // namespace acaciaroad::holdings
