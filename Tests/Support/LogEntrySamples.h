/// \file
/// One or more entries of every kind that may stand in the log.

#ifndef ACACIAROAD_TESTS_SUPPORT_LOGENTRYSAMPLES_H
#define ACACIAROAD_TESTS_SUPPORT_LOGENTRYSAMPLES_H

#include "Codec/LogEntry.h"
#include "Support/ConfigurationSamples.h"

namespace acaciaroad::tests {

struct LogEntrySample {
  const char *Name;
  codec::LogEntry Entry;
};

inline ownership::InstanceInfo sampleInfo() {
  return {core::InstanceId{0xfedcba9876543210},
          "q-1",
          "pt-norte-a",
          "rack-3",
          "10.0.0.1:7000",
          "10.0.0.1:8080",
          "questionnaires",
          true};
}

inline administration::TotalsRecord sampleTotals() {
  administration::TotalsLine line{"x", "next", 7, {}, {}, 100, 2000};
  line.Refused = {{core::ErrorKind::RateExceeded, 3},
                  {core::ErrorKind::QueueFull, 1}};
  line.Latency = {{0, 5}, {160, 2}};
  return {core::InstanceId{9},
          4,
          1'700'000'000'000,
          std::chrono::milliseconds(60'000),
          {line, {"y", "next", 0, {}, {}, 0, 0}}};
}

inline const LogEntrySample LogEntrySamples[] = {
    {"service defined", ownership::OwnershipRecord(
                            ownership::ServiceDefined{"questionnaires", 1024})},
    {"instance joined",
     ownership::OwnershipRecord(ownership::InstanceJoined{
         sampleInfo(), {core::InstanceId{1}, core::InstanceId{2}}})},
    {"instance leaving", ownership::OwnershipRecord(
                             ownership::InstanceLeaving{core::InstanceId{7}})},
    {"instance retired",
     ownership::OwnershipRecord(ownership::InstanceRetired{
         core::InstanceId{7}, 3, ownership::RetireReason::DeclaredLost,
         core::InstanceId{8}})},
    {"witnesses changed",
     ownership::OwnershipRecord(ownership::WitnessesChanged{
         core::InstanceId{7}, 3, {core::InstanceId{1}}})},
    {"slices released", ownership::OwnershipRecord(ownership::SlicesReleased{
                            core::InstanceId{7},
                            {{{"questionnaires", 5}, 9}, {{"quotas", 0}, 1}}})},
    {"slices started", ownership::OwnershipRecord(ownership::SlicesStarted{
                           core::InstanceId{7}, {{{"questionnaires", 5}, 9}}})},
    {"slice moved",
     ownership::OwnershipRecord(ownership::SliceMoved{
         {"questionnaires", 0x80000001}, 3, core::InstanceId{8}})},
    {"hot key added", ownership::OwnershipRecord(ownership::HotKeyAdded{
                          "questionnaires", 0xffffffffffffffff, 2})},
    {"hot key removed", ownership::OwnershipRecord(
                            ownership::HotKeyRemoved{"questionnaires", 1, 2})},
    {"data centre share set",
     ownership::OwnershipRecord(
         ownership::DataCentreShareSet{"pt-norte-a", 4, 250})},
    {"class set",
     configuration::ConfigurationRecord(classSet(3, "next", "/next"))},
    {"class removed",
     configuration::ConfigurationRecord(classRemoved(3, "next"))},
    {"account set",
     configuration::ConfigurationRecord(accountSet(3, "x", 12.5))},
    {"account removed",
     configuration::ConfigurationRecord(accountRemoved(3, "x"))},
    {"key granted",
     configuration::ConfigurationRecord(keyGranted(3, "k1", "x"))},
    {"key withdrawn", configuration::ConfigurationRecord(keyWithdrawn("k1"))},
    {"totals", sampleTotals()},
    {"checkpoint chunk",
     codec::CheckpointChunk{5, 100, 1, 3, 42, std::string("\0\xff x", 4)}},
};

} // namespace acaciaroad::tests

#endif
