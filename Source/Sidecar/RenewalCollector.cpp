#include "Sidecar/RenewalCollector.h"

#include <utility>
#include <vector>

#include "Codec/FleetRecords.h"

namespace acaciaroad::sidecar {

RenewalCollector::RenewalCollector(feed::KeyedLog fleet,
                                   std::shared_ptr<logging::Logger> logger,
                                   core::TimePoint created)
    : Fleet(std::move(fleet)), Log(std::move(logger)), Batch(created) {}

bool RenewalCollector::accept(const feed::KeyedRecord &record,
                              holdings::RenewalBatch::DoneHook onDone) {
  const codec::FleetKey key = codec::parseFleetKey(record.Key);
  auto node = record.Value && key.What == codec::FleetKey::Kind::Node
                  ? codec::decodeNode(*record.Value, key.Name)
                  : core::fail(core::ErrorKind::CorruptMessage,
                               "not the record of a node");
  if (!node) {
    Log->write(logging::Level::Warning, "renewal_unreadable",
               {{"key", record.Key}, {"detail", node.error().Detail}});
    return false;
  }
  return Batch.add(
      {std::move(*node), core::BootClock::now(), std::move(onDone)});
}

bool RenewalCollector::appendDue(const holdings::FleetLedger &ledger,
                                 core::TimePoint now) {
  const auto due = Batch.dueAt();
  if (!due || now < *due)
    return false;
  const auto renewals =
      std::make_shared<std::vector<holdings::RenewalBatch::Renewal>>(
          Batch.take(ledger, now));
  if (renewals->empty())
    return false;
  std::vector<feed::KeyedRecord> records;
  records.reserve(renewals->size());
  for (const auto &it : *renewals)
    records.push_back(codec::toLogRecord(it.Record));
  Fleet.Append(records, std::nullopt,
               [this, renewals](const core::Result<feed::Appended> &result) {
                 if (!result)
                   Log->write(logging::Level::Warning, "renewals_not_appended",
                              {{"records", renewals->size()},
                               {"detail", result.error().Detail}});
                 std::optional<core::Duration> round;
                 if (result)
                   round = Batch.untilNextRound(core::BootClock::now());
                 for (const auto &it : *renewals)
                   it.OnDone(round);
               });
  return true;
}

} // namespace acaciaroad::sidecar
